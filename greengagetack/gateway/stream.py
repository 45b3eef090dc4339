"""greengagetack.gateway.stream: whole events of a stream, resumed where allowed."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from loguru import logger

from greengagetack.gateway.call import Call
from greengagetack.http1.message import AnswerBroken, ExchangeError

__all__ = ["EventBlocks", "resumed_stream"]

# A stream that is silent for longer has lost its replica; callers leave after 2 s.
SILENCE_S = 0.9
MAX_RESUMPTIONS = 4

# Opens the stream after an event; None while no replica takes it.
Reopen = Callable[[str], Awaitable[AsyncIterator[bytes] | None]]


class EventBlocks:
    """Cuts a stream's bytes into whole events and remembers the last identifier."""

    def __init__(self) -> None:
        self._pending = b""
        self.last_event_id = ""

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._pending)

    def feed(self, part: bytes) -> bytes:
        """Take bytes and return the whole events among them, unchanged."""
        data = self._pending + part
        end = data.rfind(b"\n\n") + 2
        if end < 2:
            self._pending = data
            return b""
        whole, self._pending = data[:end], data[end:]
        for line in whole.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode()
        return whole


async def resumed_stream(
    call: Call, first: AsyncIterator[bytes], reopen: Reopen | None
) -> AsyncIterator[bytes]:
    """Yield whole events; go on at another replica when the stream breaks.

    Parameters
    ----------
    reopen : callable or None
        None for a stream that may not be resumed.

    Raises
    ------
    AnswerBroken
        If the stream ends early and cannot go on.
    """
    blocks = EventBlocks()
    parts = first
    for _ in range(MAX_RESUMPTIONS + 1):
        reason = ""
        try:
            while True:
                async with asyncio.timeout(SILENCE_S if reopen else None):
                    part = await anext(parts, b"")
                if not part:
                    break
                if whole := blocks.feed(part):
                    yield whole
            if not blocks.has_partial_event:
                return
            reason = "it ended within an event"
        except (ExchangeError, TimeoutError) as error:
            reason = repr(error)
        finally:
            await _close(parts)
        if reopen is None or not blocks.last_event_id:
            raise AnswerBroken(f"the stream broke: {reason}")
        logger.info(
            "forward: stream resumed",
            request_id=call.request_id,
            after_event=blocks.last_event_id,
            reason=reason,
        )
        again = await reopen(blocks.last_event_id)
        if again is None:
            raise AnswerBroken(f"the stream broke and no replica goes on: {reason}")
        after_event = blocks.last_event_id
        blocks = EventBlocks()
        blocks.last_event_id = after_event
        parts = again
    raise AnswerBroken("the stream broke too often")


async def _close(parts: AsyncIterator[bytes]) -> None:
    close = getattr(parts, "aclose", None)
    if close is not None:
        await close()
