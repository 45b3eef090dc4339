"""greengagetack.gateway.clients: the client's side of a request, over ASGI."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from greengagetack.errors import RequestTooLarge

__all__ = ["ClientGone", "Receive", "Scope", "Send", "read_body", "while_connected"]

T = TypeVar("T")
Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class ClientGone(Exception):
    """The client closed its connection."""


async def read_body(receive: Receive, max_bytes: int) -> bytes:
    """Return a request's body.

    Raises
    ------
    ClientGone
        If the client leaves before its end.
    RequestTooLarge
        If it has more than `max_bytes`.
    """
    parts: list[bytes] = []
    size_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientGone
        part = message.get("body", b"")
        size_bytes += len(part)
        if size_bytes > max_bytes:
            raise RequestTooLarge(f"bodies may have {max_bytes} bytes")
        parts.append(part)
        if not message.get("more_body"):
            return b"".join(parts)


async def while_connected(work: Awaitable[T], receive: Receive) -> T:
    """Return the work's result; cancel it when the client leaves.

    Raises
    ------
    ClientGone
        If the client leaves before.
    """
    task = asyncio.ensure_future(work)
    leaving = asyncio.ensure_future(_until_disconnect(receive))
    try:
        await asyncio.wait({task, leaving}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise ClientGone
        return task.result()
    finally:
        task.cancel()
        leaving.cancel()


async def _until_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        continue
