"""greengagetack.gateway.stream: splits streams into events and resumes broken ones."""

import asyncio
import re
import time
from collections.abc import AsyncIterator, Awaitable, Callable

from loguru import logger

from greengagetack.gateway.call import Call
from greengagetack.http1.blocks import BLOCK_END, BlockSplitter, OversizedBlock
from greengagetack.http1.memory import ResponseMemory
from greengagetack.http1.message import ExchangeError, IncompleteResponse

__all__ = ["EventBlocks", "resumable_stream"]

# A stream without a complete event for this long counts as broken. This leaves time to
# resume it, as callers disconnect after 2 s.
MAX_SILENCE_S = 0.9
# A stream that cannot be resumed is given up only once nobody can still wait for it.
MAX_STALL_S = 30.0
MAX_RESUMPTIONS = 4
MAX_LOGGED_BYTES = 80
# A comment, or a field with its value. An error's text or head has other lines.
FIELD_LINE = re.compile(rb":|[a-z][a-z0-9-]*(?::|$)")

# Resumes the stream after the given event; None if no replica accepted it.
ResumeStream = Callable[[str], Awaitable[AsyncIterator[bytes] | None]]


class EventBlocks:
    """Splits a stream into complete events and checks that they follow each other.

    `event_lines` counts the lines that belong to events, unlike blank lines and
    comments. `error` describes the first bytes that are no event of this stream, empty
    without any; nothing is returned from there on.

    Parameters
    ----------
    last_event_id : str
        Identifier of the event that the stream follows, empty at its beginning.
    needs_ids : bool
        Whether each event must have an identifier.
    has_gaps : bool
        Whether the identifiers of the stream so far have had gaps. Where they have
        not, a resumed stream must go on with the next number.
    """

    def __init__(
        self, last_event_id: str = "", needs_ids: bool = False, has_gaps: bool = False
    ) -> None:
        self._splitter = BlockSplitter()
        self._needs_ids = needs_ids
        self.has_gaps = has_gaps
        # Whether the next event must have the next number.
        self._is_successor_due = bool(last_event_id) and not has_gaps
        self.last_event_id = last_event_id
        self.event_lines = 0
        self.error = ""

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received so far end within an event."""
        return bool(self._splitter.pending_bytes)

    @property
    def held_bytes(self) -> int:
        """What the event that is not complete yet occupies."""
        return self._splitter.held_bytes

    def feed(self, part: bytes) -> bytes:
        """Add received bytes; return the events that are now complete, unchanged.

        Raises
        ------
        IncompleteResponse
            If an event is larger than the bounds of `BlockSplitter`.
        """
        if self.error:
            return b""
        try:
            blocks = self._splitter.feed(part)
        except OversizedBlock as error:
            raise IncompleteResponse(str(error)) from error
        valid: list[bytes] = []
        for block in blocks:
            self._add(block)
            if self.error:
                break
            valid.append(block + BLOCK_END)
        return b"".join(valid)

    def discard(self, reason: str) -> None:
        """Drop the event that is not complete yet; nothing more is returned."""
        self._splitter = BlockSplitter()
        self.error = reason

    def _add(self, block: bytes) -> None:
        """Record one event, or why it is none."""
        event_id: bytes | None = None
        lines = [line for line in block.split(b"\n") if line]
        for line in lines:
            if FIELD_LINE.match(line) is None:
                self.error = f"{line[:MAX_LOGGED_BYTES]!r} is no line of an event"
                return
            if line.startswith(b"id:"):
                event_id = line[3:].strip()
        fields = [line for line in lines if not line.startswith(b":")]
        if event_id is not None:
            self._check_order(event_id.decode(errors="replace"))
        elif fields and self._needs_ids:
            self.error = f"{fields[0][:MAX_LOGGED_BYTES]!r} has no event identifier"
        if not self.error:
            self.event_lines += sum(
                line.startswith((b"id:", b"data:")) for line in fields
            )

    def _check_order(self, event_id: str) -> None:
        former = self.last_event_id
        if former.isdecimal() and event_id.isdecimal():
            step = int(event_id) - int(former)
            if step < 1 or (step > 1 and self._is_successor_due):
                self.error = f"event {event_id} does not follow event {former}"
                return
            self.has_gaps = self.has_gaps or step > 1
        self._is_successor_due = False
        self.last_event_id = event_id


async def resumable_stream(
    call: Call,
    first_parts: AsyncIterator[bytes],
    resume: ResumeStream | None,
    on_first_event: Callable[[], None] | None = None,
    memory: ResponseMemory | None = None,
) -> AsyncIterator[bytes]:
    """Yield complete events; resume at another replica when the stream breaks.

    Parameters
    ----------
    resume : callable or None
        Opens the stream resumed after an event; None if it may not be resumed.
    on_first_event : callable or None
        Called when the first event has arrived.
    memory : ResponseMemory or None
        Counts the event that is not complete yet.

    Raises
    ------
    IncompleteResponse
        If the stream ends early and cannot be resumed.
    """
    after_event = "" if resume is None else call.after_event
    blocks = EventBlocks(after_event, needs_ids=resume is not None)
    parts = first_parts
    memory = memory or ResponseMemory()
    pending = memory.open(f"stream {call.request_id}", blocks.discard)
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
                pending.resize(blocks.held_bytes)
                if on_first_event is not None and blocks.event_lines:
                    on_first_event()
                    on_first_event = None
                if complete:
                    yield complete
                if blocks.error:
                    break
                if blocks.event_lines > former_lines:
                    progress_s = time.monotonic()
            if not (blocks.has_partial_event or blocks.error):
                return
            reason = blocks.error or "it ended within an event"
        except (ExchangeError, TimeoutError) as error:
            reason = repr(error)
        finally:
            pending.resize(0)
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
        blocks = EventBlocks(
            blocks.last_event_id, needs_ids=True, has_gaps=blocks.has_gaps
        )
        pending = memory.open(f"stream {call.request_id}", blocks.discard)
        parts = resumed
    raise IncompleteResponse("the stream broke more often than it may be resumed")


async def _close(parts: AsyncIterator[bytes]) -> None:
    close = getattr(parts, "aclose", None)
    if close is not None:
        await close()
