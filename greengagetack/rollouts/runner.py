"""greengagetack.rollouts.runner: makes the samples of one step."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from functools import partial
from typing import Protocol

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.keeper.messages import Chunk, Complete, Completed, Work
from greengagetack.observability.logs import REQUEST_ID
from greengagetack.observability.traces import span
from greengagetack.rollouts.records import StepRecords
from greengagetack.rollouts.spec import FinishedSample, SampleId, StepSpec, step_key
from greengagetack.rollouts.state import StepState
from greengagetack.rollouts.versions import ranges_of_chunks
from greengagetack.routing.relay import Restarted
from greengagetack.timer import Timer

__all__ = ["Completions", "Scoring", "StepRunner"]

DEFAULT_RETRY_S = 0.5
MAX_RETRY_S = 5.0
LAST_MEMBERS_PRIORITY = 10
SEED_FACTOR = 1_000_003


def _count_tokens(chunks: list[Chunk]) -> int:
    return sum(chunk.token_count for chunk in chunks)


class Completions(Protocol):
    """Routes a completion to an endpoint and relays it."""

    def complete(
        self, request: Complete
    ) -> AsyncGenerator[Chunk | Completed | Restarted, None]:
        """Yield the chunks of a completion, then its end."""

    async def release(self, request_id: str, endpoint_id: str) -> None:
        """Tell the endpoint's keeper that the answer is kept safely."""

    async def cancel(self, request_id: str) -> None:
        """Stop a request wherever it runs."""


Scoring = Callable[[StepSpec, tuple[FinishedSample, ...]], Awaitable[dict[int, float]]]


class StepRunner:
    """Dispatches the samples of a step and keeps what comes back.

    Parameters
    ----------
    state : StepState
        Progress of the step.
    records : StepRecords
        Where finished samples are kept.
    completions : Completions
        How completions are made.
    scoring : Scoring
        How whole groups are scored.
    concurrency : callable
        Returns how many samples may be in flight now.
    timer : Timer
        Clock.
    time_left_s : callable
        Returns the seconds to the step's deadline.
    """

    def __init__(
        self,
        state: StepState,
        records: StepRecords,
        completions: Completions,
        scoring: Scoring,
        concurrency: Callable[[], int],
        timer: Timer,
        time_left_s: Callable[[], float],
    ) -> None:
        self.state = state
        self._records = records
        self._completions = completions
        self._scoring = scoring
        self._concurrency = concurrency
        self._timer = timer
        self._time_left_s = time_left_s
        self._changed = asyncio.Event()
        self._tasks: dict[SampleId, asyncio.Task[None]] = {}
        self._scoring_tasks: dict[int, asyncio.Task[None]] = {}
        self._waiters: set[asyncio.Event] = set()
        self._main: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start making samples, or go on after the trainer wants more."""
        if self._main is None or self._main.done():
            self._main = asyncio.create_task(self._run())
        self._changed.set()

    @property
    def running(self) -> bool:
        """Whether samples are still to be made."""
        return self._main is not None and not self._main.done()

    async def _run(self) -> None:
        while not self.state.complete:
            if self._time_left_s() <= 0:
                break
            self._score_whole_groups()
            self._dispatch()
            self._changed.clear()
            try:
                async with asyncio.timeout(MAX_RETRY_S):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _dispatch(self) -> None:
        limit = self._concurrency()
        while self.state.in_flight < limit:
            sample_id = self.state.next_sample()
            if sample_id is None:
                return
            attempt = self.state.start(sample_id)
            task = asyncio.create_task(self._make(sample_id, attempt))
            self._tasks[sample_id] = task
            task.add_done_callback(partial(self._forget, sample_id))

    def _forget(self, sample_id: SampleId, task: asyncio.Task[None]) -> None:
        if self._tasks.get(sample_id) is task:
            del self._tasks[sample_id]

    def _request(self, sample_id: SampleId, attempt: int) -> Complete:
        spec = self.state.spec
        job_id = step_key(spec.team, spec.job, spec.step)
        index = sample_id.index
        last_members = self.state.unfinished_in_group(sample_id.group_id) <= 1
        return Complete(
            request_id=f"{job_id}/{sample_id.group_id}/{index}",
            team=spec.team,
            work=Work.ROLLOUT,
            endpoint_id="",
            model=spec.model,
            prompt=self.state.prompt_of(sample_id),
            max_tokens=spec.max_tokens,
            seed=spec.seed * SEED_FACTOR + sample_id.group_id * 1_000 + index,
            time_left_s=max(0.0, self._time_left_s()),
            oldest_version=self.state.oldest_allowed,
            priority=LAST_MEMBERS_PRIORITY if last_members else 0,
            expected_tokens=int(self.state.expected_tokens(sample_id.group_id)),
            job_id=job_id,
            attempt=attempt,
        )

    async def _make(self, sample_id: SampleId, attempt: int) -> None:
        request = self._request(sample_id, attempt)
        REQUEST_ID.set(request.request_id)
        chunks: list[Chunk] = []
        endpoint_id = ""
        try:
            with span("owner sample", team=request.team):
                async with aclosing(self._completions.complete(request)) as items:
                    async for item in items:
                        if isinstance(item, Chunk):
                            chunks.append(item)
                            continue
                        if isinstance(item, Restarted):
                            self.state.add_waste(_count_tokens(chunks))
                            chunks.clear()
                            continue
                        endpoint_id = item.load.endpoint_id
        except CodedError as error:
            await self._retry_later(sample_id, chunks, error)
            return
        except asyncio.CancelledError:
            self.state.put_back(sample_id, remake=False)
            raise
        await self._keep(request, sample_id, attempt, chunks, endpoint_id)

    async def _keep(
        self,
        request: Complete,
        sample_id: SampleId,
        attempt: int,
        chunks: list[Chunk],
        endpoint_id: str,
    ) -> None:
        sample = FinishedSample(
            group_id=sample_id.group_id,
            index=sample_id.index,
            text="".join(chunk.text for chunk in chunks),
            token_count=_count_tokens(chunks),
            versions=ranges_of_chunks(chunks),
            endpoint_id=endpoint_id,
            attempt=attempt,
        )
        if self.state.finish(sample):
            await self._records.put_sample(self.state.spec, sample)
        await self._completions.release(request.request_id, endpoint_id)
        self.notify()

    async def _retry_later(
        self, sample_id: SampleId, chunks: list[Chunk], error: CodedError
    ) -> None:
        remake = error.code == "stale_version"
        lost_tokens = _count_tokens(chunks) if remake else 0
        logger.info("rollout: sample failed with {}: {}", error.code, error.reason)
        retry_s = min(error.retry_after_s or DEFAULT_RETRY_S, MAX_RETRY_S)
        try:
            await self._timer.sleep(self._timer.jittered_s(retry_s))
        finally:
            self.state.put_back(sample_id, remake=remake, lost_tokens=lost_tokens)
        self.notify()

    def _score_whole_groups(self) -> None:
        for group_id in self.state.whole_unscored_groups():
            if group_id in self._scoring_tasks:
                continue
            task = asyncio.create_task(self._score(group_id))
            self._scoring_tasks[group_id] = task

    async def _score(self, group_id: int) -> None:
        samples = self.state.samples_of(group_id)
        try:
            scores = await self._scoring(self.state.spec, samples)
        except CodedError as error:
            logger.info("rollout: group {} not scored: {}", group_id, error.reason)
            await self._timer.sleep(error.retry_after_s or DEFAULT_RETRY_S)
        else:
            if samples == self.state.samples_of(group_id):
                self.state.set_scores(group_id, scores)
        del self._scoring_tasks[group_id]
        self.notify()

    async def set_held(self, held: frozenset[int]) -> None:
        """Take what the trainer holds and stop work that it needs no more."""
        for sample_id in self.state.set_held(held):
            await self._stop_sample(sample_id)

    async def _stop_sample(self, sample_id: SampleId) -> None:
        task = self._tasks.get(sample_id)
        if task is None:
            return
        task.cancel()
        spec = self.state.spec
        job_id = step_key(spec.team, spec.job, spec.step)
        await self._completions.cancel(
            f"{job_id}/{sample_id.group_id}/{sample_id.index}"
        )

    async def drop_stale(self) -> None:
        """Make finished samples beyond the staleness bound again."""
        for sample_id in self.state.drop_stale():
            await self._records.delete_sample(
                self.state.spec, sample_id.group_id, sample_id.index
            )
        self.start()

    def notify(self) -> None:
        """Wake the runner and all waiting fetches."""
        self._changed.set()
        for waiter in self._waiters:
            waiter.set()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until something changed or the time is over."""
        waiter = asyncio.Event()
        self._waiters.add(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await waiter.wait()
        except TimeoutError:
            return
        finally:
            self._waiters.discard(waiter)

    async def stop(self, *, cancel_requests: bool) -> None:
        """Stop dispatching; with `cancel_requests` stop the engines' work too."""
        if self._main is not None:
            self._main.cancel()
        for sample_id, task in list(self._tasks.items()):
            if cancel_requests:
                await self._stop_sample(sample_id)
            else:
                task.cancel()
        for scoring in self._scoring_tasks.values():
            scoring.cancel()
