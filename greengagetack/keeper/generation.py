"""greengagetack.keeper.generation: one completion and its readers."""

import asyncio
from bisect import bisect_right
from collections.abc import AsyncGenerator

from greengagetack.engines.state import Finish
from greengagetack.errors import CodedError
from greengagetack.keeper.messages import Chunk, Complete, Work
from greengagetack.observability.logs import REQUEST_ID
from greengagetack.observability.traces import current_traceparent
from greengagetack.rollouts.request_ids import engine_request_id

__all__ = ["Generation"]


class Generation:
    """The tokens of a completion, buffered for readers that join and leave.

    Parameters
    ----------
    request : Complete
        The request that started the completion.
    now_s : float
        Monotonic time of its arrival.

    Attributes
    ----------
    started_s, ended_s : float
        When it was sent to the engine and when it ended; 0 until then.
    idle_since_s : float
        When it was last seen with a reader.
    """

    def __init__(self, request: Complete, now_s: float) -> None:
        self.request = request
        self.arrived_s = now_s
        self.started_s = 0.0
        self.ended_s = 0.0
        self.idle_since_s = now_s
        self.deadline_s = now_s + request.time_left_s
        self.readers = 0
        self.error: CodedError | None = None
        self.finish: Finish | None = None
        self.first_offset = request.offset_tokens
        self.traceparent = current_traceparent()
        self.log_request_id = REQUEST_ID.get()
        self._chunks: list[Chunk] = []
        self._end_offsets: list[int] = []
        self._restarts = 0
        self._changed = asyncio.Event()

    @property
    def is_rollout(self) -> bool:
        """Whether the answer is kept until its owner releases it."""
        return self.request.work == Work.ROLLOUT and bool(self.request.job_id)

    @property
    def ended(self) -> bool:
        """Whether no more tokens will come."""
        return self.finish is not None or self.error is not None

    @property
    def engine_request_id(self) -> str:
        """The identifier of the request and its attempt at the engine."""
        return engine_request_id(self.request.request_id, self.request.attempt)

    @property
    def end_tokens(self) -> int:
        """Offset after the last received token."""
        return self._end_offsets[-1] if self._end_offsets else self.first_offset

    @property
    def token_count(self) -> int:
        """Number of tokens that were generated here."""
        return self.end_tokens - self.first_offset

    @property
    def size_bytes(self) -> int:
        """Size of the buffered text."""
        return sum(len(chunk.text) for chunk in self._chunks)

    def add_chunk(self, chunk: Chunk) -> None:
        """Append the next chunk from the engine."""
        if not self._chunks and chunk.offset_tokens < self.first_offset:
            # The engine restarted the completion; readers get all of its tokens
            # again, to compare them with those that they already have.
            self.first_offset = chunk.offset_tokens
            self._restarts += 1
        self._chunks.append(chunk)
        self._end_offsets.append(chunk.offset_tokens + chunk.token_count)
        self._notify()

    def rewind(self, offset_tokens: int) -> None:
        """Discard the chunks, because a reader needs earlier ones."""
        self.first_offset = offset_tokens
        self._chunks.clear()
        self._end_offsets.clear()

    def mark_finished(self, finish: Finish, now_s: float) -> None:
        """Mark the completion as finished."""
        if self.ended:
            return
        self.finish = finish
        self.ended_s = now_s
        self._notify()

    def mark_failed(self, error: CodedError, now_s: float) -> None:
        """Mark the completion as failed."""
        if self.ended:
            return
        self.error = error
        self.ended_s = now_s
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def read(self, offset_tokens: int) -> AsyncGenerator[Chunk | Finish, None]:
        """Yield the chunks with tokens from `offset_tokens` on, then the finish.

        Raises
        ------
        CodedError
            If the completion failed.
        """
        position = offset_tokens
        restarts = self._restarts
        self.readers += 1
        try:
            while True:
                changed = self._changed
                if restarts != self._restarts:
                    restarts = self._restarts
                    position = self.first_offset
                index = bisect_right(self._end_offsets, position)
                if index < len(self._chunks):
                    chunk = self._chunks[index]
                    position = self._end_offsets[index]
                    yield chunk
                    continue
                if self.error is not None:
                    raise self.error
                if self.finish is not None:
                    yield self.finish
                    return
                await changed.wait()
        finally:
            self.readers -= 1

    def unread_s(self, now_s: float) -> float:
        """Return for how many seconds there has been no reader."""
        if self.readers:
            self.idle_since_s = now_s
        return now_s - self.idle_since_s
