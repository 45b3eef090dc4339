"""greengagetack.gateway.stream: splits streams into events and resumes broken ones."""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable

from loguru import logger

from greengagetack.gateway.call import Call
from greengagetack.http1.message import ExchangeError, IncompleteResponse

__all__ = ["EventBlocks", "resumable_stream"]

# A stream without a complete event for this long counts as broken. This leaves time to
# resume it, as callers disconnect after 2 s.
MAX_SILENCE_S = 0.9
# A stream that cannot be resumed is given up only once nobody can still wait for it.
MAX_STALL_S = 30.0
MAX_RESUMPTIONS = 4
MAX_EVENT_BYTES = 4 * 1024 * 1024

# Resumes the stream after the given event; None if no replica accepted it.
ResumeStream = Callable[[str], Awaitable[AsyncIterator[bytes] | None]]


class EventBlocks:
    """Splits a stream into complete events and records the last event identifier.

    `event_lines` counts the lines that belong to events, unlike blank lines and
    comments.
    """

    def __init__(self) -> None:
        self._pending = b""
        self.last_event_id = ""
        self.event_lines = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received so far end within an event."""
        return bool(self._pending)

    def feed(self, part: bytes) -> bytes:
        """Add received bytes; return the events that are now complete, unchanged.

        Raises
        ------
        IncompleteResponse
            If an event is larger than ``MAX_EVENT_BYTES``.
        """
        data = self._pending + part
        end = data.rfind(b"\n\n") + 2
        if end < 2:
            if len(data) > MAX_EVENT_BYTES:
                raise IncompleteResponse("an event is larger than the size limit")
            self._pending = data
            return b""
        complete, self._pending = data[:end], data[end:]
        for line in complete.split(b"\n"):
            if line.startswith((b"id:", b"data:")):
                self.event_lines += 1
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode()
        return complete


async def resumable_stream(
    call: Call,
    first_parts: AsyncIterator[bytes],
    resume: ResumeStream | None,
    on_first_event: Callable[[], None] | None = None,
) -> AsyncIterator[bytes]:
    """Yield complete events; resume at another replica when the stream breaks.

    Parameters
    ----------
    resume : callable or None
        Opens the stream resumed after an event; None if it may not be resumed.
    on_first_event : callable or None
        Called when the first event has arrived.

    Raises
    ------
    IncompleteResponse
        If the stream ends early and cannot be resumed.
    """
    blocks = EventBlocks()
    parts = first_parts
    stall_s = MAX_SILENCE_S if resume else MAX_STALL_S
    for _ in range(MAX_RESUMPTIONS + 1):
        reason = ""
        # Only complete events are progress: a stalled replica may go on sending bytes.
        progress_s = time.monotonic()
        try:
            while True:
                async with asyncio.timeout(progress_s + stall_s - time.monotonic()):
                    part = await anext(parts, b"")
                if not part:
                    break
                former_lines = blocks.event_lines
                complete = blocks.feed(part)
                if on_first_event is not None and blocks.event_lines:
                    on_first_event()
                    on_first_event = None
                if complete:
                    yield complete
                if blocks.event_lines > former_lines:
                    progress_s = time.monotonic()
            if not blocks.has_partial_event:
                return
            reason = "it ended within an event"
        except (ExchangeError, TimeoutError) as error:
            reason = repr(error)
        finally:
            await _close(parts)
        if resume is None or not blocks.last_event_id:
            raise IncompleteResponse(f"the stream broke: {reason}")
        logger.info(
            "forward: stream resumed",
            request_id=call.request_id,
            after_event=blocks.last_event_id,
            reason=reason,
        )
        resumed = await resume(blocks.last_event_id)
        if resumed is None:
            raise IncompleteResponse(
                f"the stream broke and no replica resumed it: {reason}"
            )
        after_event = blocks.last_event_id
        blocks = EventBlocks()
        blocks.last_event_id = after_event
        parts = resumed
    raise IncompleteResponse("the stream broke more often than it may be resumed")


async def _close(parts: AsyncIterator[bytes]) -> None:
    close = getattr(parts, "aclose", None)
    if close is not None:
        await close()
