"""standins.server: runs a stand-in's application until it is asked to stop."""

import asyncio
import contextlib
import json
import signal
from collections.abc import Iterator
from typing import Any

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
GRACEFUL_STOP_S = 1


class StandInServer(uvicorn.Server):
    """Uvicorn's server without its signal handlers, so that SIGTERM exits 0."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signals to `run_stand_in`."""
        yield


async def serve(app: Any, name: str, port: int) -> None:
    """Serve `app` and print one JSON line once it listens."""
    listener = listening_socket(Address(HOST, port))
    config = uvicorn.Config(
        app,
        http="httptools",
        loop="asyncio",
        log_level="critical",
        access_log=False,
        timeout_keep_alive=60,
        timeout_graceful_shutdown=GRACEFUL_STOP_S,
    )
    server = StandInServer(config)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, setattr, server, "should_exit", True)
    url = f"http://{HOST}:{listener.getsockname()[1]}"
    print(json.dumps({"ready": True, "name": name, "url": url}), flush=True)
    await server.serve(sockets=[listener])


def run_stand_in(app: Any, name: str, port: int, latency_s: float = 0.0) -> None:
    """Serve `app` on loopback until SIGTERM; port 0 lets the system choose.

    `latency_s` is the one-way time to the stand-in; each call waits for the
    round trip before it is served.
    """
    if latency_s > 0:
        app = delayed(app, 2 * latency_s)
    asyncio.run(serve(app, name, port))


def delayed(app: Any, delay_s: float) -> Any:
    """Return an application that serves calls after a delay."""

    async def serve_later(scope: Any, receive: Any, send: Any) -> None:
        is_call = scope["type"] == "http"
        if is_call and not scope["path"].startswith("/control/"):
            await asyncio.sleep(delay_s)
        await app(scope, receive, send)

    return serve_later


def json_answer(
    body: Any, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Return an answer with `body` as JSON."""
    return Response(
        msgspec.json.encode(body), status, headers, media_type="application/json"
    )


async def read_body(request: Request, body_type: type) -> Any:
    """Return the request's JSON body as a `body_type`.

    Raises
    ------
    msgspec.MsgspecError
        If the body is no JSON or has other fields.
    """
    return msgspec.json.decode(await request.body(), type=body_type)


async def drop_connection(request: Request) -> Response:
    """Close the connection without an answer."""
    cycle = getattr(request._receive, "__self__", None)
    if cycle is not None:
        cycle.transport.abort()
    await wait_for_disconnect(request)
    return Response(status_code=500)


async def wait_for_disconnect(request: Request) -> None:
    """Return once the client has gone."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return
