"""greengagetack.keeper.generation: one completion and everyone who reads it."""

import asyncio
from bisect import bisect_right
from collections.abc import AsyncGenerator

from greengagetack.engines.state import Finish
from greengagetack.errors import CodedError
from greengagetack.keeper.messages import Chunk, Complete, Work
from greengagetack.observability.logs import REQUEST_ID
from greengagetack.observability.traces import current_traceparent

__all__ = ["Generation"]


class Generation:
    """The tokens of a completion, kept for readers that come and go.

    Parameters
    ----------
    request : Complete
        The request that started it.
    now_s : float
        Monotonic time of its arrival.

    Attributes
    ----------
    started_s, ended_s : float
        When it was sent to the engine and when it ended, 0 before.
    idle_since_s : float
        Since when it has had no reader.
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
        self.log_id = REQUEST_ID.get()
        self._chunks: list[Chunk] = []
        self._ends: list[int] = []
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
        """The identifier under which the engine knows the work."""
        request = self.request
        if not request.attempt:
            return request.request_id
        return f"{request.request_id}~{request.attempt}"

    @property
    def end_tokens(self) -> int:
        """Offset after the last token so far."""
        return self._ends[-1] if self._ends else self.first_offset

    @property
    def token_count(self) -> int:
        """Number of tokens that were generated here."""
        return self.end_tokens - self.first_offset

    @property
    def size_bytes(self) -> int:
        """Bytes of text that are kept."""
        return sum(len(chunk.text) for chunk in self._chunks)

    def add(self, chunk: Chunk) -> None:
        """Take the next chunk from the engine."""
        if not self._chunks and chunk.offset_tokens < self.first_offset:
            # The engine started anew; readers are to see and compare it all.
            self.first_offset = chunk.offset_tokens
            self._restarts += 1
        self._chunks.append(chunk)
        self._ends.append(chunk.offset_tokens + chunk.token_count)
        self._notify()

    def rewind(self, offset_tokens: int) -> None:
        """Forget the chunks, since a reader needs earlier ones."""
        self.first_offset = offset_tokens
        self._chunks.clear()
        self._ends.clear()

    def end(self, finish: Finish, now_s: float) -> None:
        """Mark the normal end."""
        if self.ended:
            return
        self.finish = finish
        self.ended_s = now_s
        self._notify()

    def fail(self, error: CodedError, now_s: float) -> None:
        """Mark the end by an error."""
        if self.ended:
            return
        self.error = error
        self.ended_s = now_s
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def read(self, offset_tokens: int) -> AsyncGenerator[Chunk | Finish, None]:
        """Yield the chunks that hold tokens from `offset_tokens` on, then the end.

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
                index = bisect_right(self._ends, position)
                if index < len(self._chunks):
                    chunk = self._chunks[index]
                    position = self._ends[index]
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

    def abandoned_s(self, now_s: float) -> float:
        """Return for how many seconds nobody has been reading."""
        if self.readers:
            self.idle_since_s = now_s
        return now_s - self.idle_since_s
