"""features.support.raw_http: a test server and a client that sends raw bytes."""

import asyncio
import json
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import uvicorn

from greengagetack.daemons.protocol import HttpBounds, bounded_config
from greengagetack.peers.node import listening_socket
from greengagetack.world import Address

__all__ = ["RawAnswer", "ServedApp", "request_bytes", "send_raw"]

READ_TIMEOUT_S = 20.0


@dataclass(frozen=True)
class RawAnswer:
    """Status, lower-case headers and body of a response; status 0 without one."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Decode the body as JSON."""
        return json.loads(self.body)


class ServedApp:
    """Serves an ASGI application in its own thread."""

    def __init__(
        self,
        app: Any,
        bounds: Callable[[], HttpBounds] | None = None,
        address: Address | None = None,
    ) -> None:
        self._listener = listening_socket(address or Address("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        config = bounded_config(app, bounds) if bounds else bounded_config(app)
        self._server = uvicorn.Server(config)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        asyncio.run(self._server.serve(sockets=[self._listener]))

    def close(self) -> None:
        """Stop the server."""
        self._server.should_exit = True
        self._thread.join(READ_TIMEOUT_S)


def request_bytes(
    method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return the bytes of a request with ``Connection: close``."""
    fields = {"Host": "test", "Connection": "close", **(headers or {})}
    if body or method in ("POST", "PUT"):
        fields.setdefault("Content-Length", str(len(body)))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def send_raw(
    address: Address, parts: list[bytes], pause_s: float = 0.0, half_close: bool = False
) -> RawAnswer:
    """Send the parts with pauses between them and return the response."""
    with socket.create_connection((address.host, address.port)) as connection:
        connection.settimeout(READ_TIMEOUT_S)
        data = b""
        try:
            for index, part in enumerate(parts):
                if index and _wait_for_answer(connection, pause_s):
                    break
                connection.sendall(part)
            if half_close:
                connection.shutdown(socket.SHUT_WR)
            while received := connection.recv(65_536):
                data += received
        except ConnectionError:
            # The server may close while a large body is still being sent.
            pass
    return _parse(data)


def _wait_for_answer(connection: socket.socket, pause_s: float) -> bool:
    """Wait up to `pause_s`; return whether the server answered or closed."""
    connection.settimeout(max(pause_s, 0.001))
    try:
        connection.recv(1, socket.MSG_PEEK)
    except TimeoutError:
        return False
    finally:
        connection.settimeout(READ_TIMEOUT_S)
    return True


def _parse(data: bytes) -> RawAnswer:
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    if len(lines[0].split(" ")) < 2:
        return RawAnswer(0, {}, b"")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return RawAnswer(int(lines[0].split(" ")[1]), headers, body)
