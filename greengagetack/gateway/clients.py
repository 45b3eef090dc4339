"""greengagetack.gateway.clients: request bodies and disconnects of ASGI clients."""

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, TypeVar

from greengagetack.errors import RequestTooLarge

__all__ = [
    "ClientDisconnected",
    "Receive",
    "Scope",
    "Send",
    "cancel_on_disconnect",
    "discard_body",
    "read_body",
]

T = TypeVar("T")
Scope = dict[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class ClientDisconnected(Exception):
    """The client closed its connection."""


async def read_body(receive: Receive, max_bytes: int) -> bytes:
    """Read the body of a request.

    Raises
    ------
    ClientDisconnected
        If the client disconnects before the end of the body.
    RequestTooLarge
        If the body has more than `max_bytes`.
    """
    parts: list[bytes] = []
    size_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnected
        part = message.get("body", b"")
        size_bytes += len(part)
        if size_bytes > max_bytes:
            raise RequestTooLarge(f"the request body exceeds {max_bytes} bytes")
        parts.append(part)
        if not message.get("more_body"):
            return b"".join(parts)


async def discard_body(receive: Receive, limit_s: float) -> bool:
    """Discard the body of a request that was answered; return whether it has ended.

    A client that still sends while its connection is closed may lose the response.
    """
    try:
        async with asyncio.timeout(limit_s):
            while True:
                message = await receive()
                if message["type"] != "http.request":
                    return False
                if not message.get("more_body"):
                    return True
    except TimeoutError:
        return False


async def cancel_on_disconnect(work: Awaitable[T], receive: Receive) -> T:
    """Return the result of `work`; cancel it if the client disconnects.

    Raises
    ------
    ClientDisconnected
        If the client disconnects before `work` is done.
    """
    task = asyncio.ensure_future(work)
    disconnect = asyncio.ensure_future(_wait_for_disconnect(receive))
    try:
        await asyncio.wait({task, disconnect}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise ClientDisconnected
        return task.result()
    finally:
        task.cancel()
        disconnect.cancel()


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        continue
