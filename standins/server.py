"""standins.server: serves the application of a stand-in until SIGTERM or SIGINT."""

import asyncio
import contextlib
import json
import signal
import socket
from collections.abc import Iterator
from typing import Any

import anyio
import msgspec
import uvicorn
from starlette.requests import Request
from starlette.responses import Response

from greengagetack.peers.node import listening_socket
from greengagetack.world import Address

__all__ = [
    "drop_connection",
    "json_answer",
    "read_body",
    "run_stand_in",
    "wait_for_disconnect",
]

HOST = "127.0.0.1"
GRACEFUL_SHUTDOWN_S = 1


class StandInServer(uvicorn.Server):
    """Uvicorn's server without its signal handlers, so that SIGTERM exits 0."""

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Load what would otherwise be loaded while the first request waits."""
        anyio.get_cancelled_exc_class()
        await super().startup(sockets)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signals to the handlers that `serve` installs."""
        yield


async def serve(app: Any, name: str, port: int) -> None:
    """Serve `app`; print one JSON line once the socket is listening."""
    listener = listening_socket(Address(HOST, port))
    config = uvicorn.Config(
        app,
        http="httptools",
        loop="asyncio",
        log_level="critical",
        access_log=False,
        timeout_keep_alive=60,
        timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_S,
    )
    server = StandInServer(config)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, setattr, server, "should_exit", True)
    url = f"http://{HOST}:{listener.getsockname()[1]}"
    print(json.dumps({"ready": True, "name": name, "url": url}), flush=True)
    await server.serve(sockets=[listener])


def run_stand_in(app: Any, name: str, port: int, latency_s: float = 0.0) -> None:
    """Serve `app` on loopback until SIGTERM; port 0 picks a free one.

    `latency_s` is the one-way latency to the stand-in; each call is with_delay by a
    round trip before it is served.
    """
    if latency_s > 0:
        app = with_delay(app, 2 * latency_s)
    asyncio.run(serve(app, name, port))


def with_delay(app: Any, delay_s: float) -> Any:
    """Return an application that delays all calls but those to ``/control/``."""

    async def serve_delayed(scope: Any, receive: Any, send: Any) -> None:
        is_call = scope["type"] == "http"
        if is_call and not scope["path"].startswith("/control/"):
            await asyncio.sleep(delay_s)
        await app(scope, receive, send)

    return serve_delayed


def json_answer(
    body: Any, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Return a response with `body` as JSON."""
    return Response(
        msgspec.json.encode(body), status, headers, media_type="application/json"
    )


async def read_body(request: Request, body_type: type) -> Any:
    """Decode the request's JSON body as a `body_type`.

    Raises
    ------
    msgspec.MsgspecError
        If the body is not valid JSON or does not match the type.
    """
    return msgspec.json.decode(await request.body(), type=body_type)


async def drop_connection(request: Request) -> Response:
    """Abort the connection without an answer."""
    cycle = getattr(request._receive, "__self__", None)
    if cycle is not None:
        cycle.transport.abort()
    await wait_for_disconnect(request)
    return Response(status_code=500)


async def wait_for_disconnect(request: Request) -> None:
    """Wait until the client has disconnected."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return
