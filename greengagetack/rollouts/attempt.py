"""greengagetack.rollouts.attempt: one attempt at generating a sample."""

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
    """Routes completions to endpoints and relays their output."""

    def complete(
        self, request: Complete, exclude: frozenset[str] = frozenset()
    ) -> AsyncGenerator[Chunk | Completed | Restarted, None]:
        """Yield the chunks of a completion, then `Completed`."""

    def endpoint_of(self, request_id: str) -> str:
        """Return the endpoint that runs a request, an empty string if unknown."""

    async def release(self, request_id: str) -> None:
        """Let the keeper discard the answer of a completed request."""

    async def cancel(self, request_id: str) -> None:
        """Cancel a request on the endpoint that runs it."""


class SampleAttempt:
    """The progress of one completion request for a sample.

    Parameters
    ----------
    sample_id : SampleId
        The sample.
    request : Complete
        The completion request that is sent to the endpoint.
    timer : Timer
        Clock; the start time of the attempt is read from it.
    """

    def __init__(self, sample_id: SampleId, request: Complete, timer: Timer) -> None:
        self.sample_id = sample_id
        self.request = request
        self.started_s = timer.now_s()
        self.first_token_s = 0.0
        self._timer = timer
        self.tokens = 0
        self.discarded_tokens = 0
        self.has_failed = False
        self.load: EndpointLoad | None = None
        self._chunks: list[Chunk] = []
        self._endpoint_id = ""

    async def run(self, completions: Completions, exclude: frozenset[str]) -> None:
        """Run the completion until it has ended.

        Raises
        ------
        CodedError
            If the completion fails.
        """
        REQUEST_ID.set(self.request.request_id)
        with span("owner.sample", team=self.request.team):
            answers = completions.complete(self.request, exclude)
            async with aclosing(answers) as items:
                async for item in items:
                    self._process_item(item)

    def _process_item(self, item: Chunk | Completed | Restarted) -> None:
        if isinstance(item, Chunk):
            if not self._chunks:
                self.first_token_s = self._timer.now_s() - self.started_s
            self._chunks.append(item)
            self.tokens += item.token_count
            return
        if isinstance(item, Restarted):
            self.discarded_tokens += self.tokens
            self.tokens = 0
            self._chunks.clear()
            return
        self._endpoint_id = item.load.endpoint_id
        self.load = item.load

    def finished_sample(self) -> FinishedSample:
        """Return the finished sample; only valid after `run` has returned."""
        return FinishedSample(
            group_id=self.sample_id.group_id,
            index=self.sample_id.index,
            text="".join(chunk.text for chunk in self._chunks),
            token_count=self.tokens,
            versions=ranges_of_chunks(self._chunks),
            endpoint_id=self._endpoint_id,
            attempt=self.request.attempt,
        )
