"""greengagetack.rollouts.attempt: one try to make a sample."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Protocol

from greengagetack.keeper.messages import Chunk, Complete, Completed, EndpointLoad
from greengagetack.observability.logs import REQUEST_ID
from greengagetack.observability.traces import span
from greengagetack.rollouts.spec import FinishedSample, SampleId
from greengagetack.rollouts.versions import ranges_of_chunks
from greengagetack.routing.relay import Restarted
from greengagetack.timer import Timer

__all__ = ["Completions", "SampleAttempt"]


class Completions(Protocol):
    """Routes a completion to an endpoint and relays it."""

    def complete(
        self, request: Complete, exclude: frozenset[str] = frozenset()
    ) -> AsyncGenerator[Chunk | Completed | Restarted, None]:
        """Yield the chunks of a completion, then its end."""

    def endpoint_of(self, request_id: str) -> str:
        """Return the endpoint that a request in flight is at, empty if unknown."""

    async def release(self, request_id: str) -> None:
        """Tell the keeper that the answer is kept safely."""

    async def cancel(self, request_id: str) -> None:
        """Stop a request wherever it runs."""


class SampleAttempt:
    """A completion of a sample in flight, with its progress.

    Parameters
    ----------
    sample_id : SampleId
        The sample.
    request : Complete
        What is asked of the endpoint.
    timer : Timer
        Clock; the attempt starts now.
    """

    def __init__(self, sample_id: SampleId, request: Complete, timer: Timer) -> None:
        self.sample_id = sample_id
        self.request = request
        self.started_s = timer.now_s()
        self.first_token_s = 0.0
        self._timer = timer
        self.tokens = 0
        self.restarted_tokens = 0
        self.has_failed = False
        self.load: EndpointLoad | None = None
        self._chunks: list[Chunk] = []
        self._endpoint_id = ""

    async def run(self, completions: Completions, exclude: frozenset[str]) -> None:
        """Take the completion to its end.

        Raises
        ------
        CodedError
            If it cannot be had.
        """
        REQUEST_ID.set(self.request.request_id)
        with span("owner.sample", team=self.request.team):
            answers = completions.complete(self.request, exclude)
            async with aclosing(answers) as items:
                async for item in items:
                    self._take(item)

    def _take(self, item: Chunk | Completed | Restarted) -> None:
        if isinstance(item, Chunk):
            if not self._chunks:
                self.first_token_s = self._timer.now_s() - self.started_s
            self._chunks.append(item)
            self.tokens += item.token_count
            return
        if isinstance(item, Restarted):
            self.restarted_tokens += self.tokens
            self.tokens = 0
            self._chunks.clear()
            return
        self._endpoint_id = item.load.endpoint_id
        self.load = item.load

    def sample(self) -> FinishedSample:
        """Return the whole sample after the end."""
        return FinishedSample(
            group_id=self.sample_id.group_id,
            index=self.sample_id.index,
            text="".join(chunk.text for chunk in self._chunks),
            token_count=self.tokens,
            versions=ranges_of_chunks(self._chunks),
            endpoint_id=self._endpoint_id,
            attempt=self.request.attempt,
        )
