"""greengagetack.rollouts.runner: generates the samples of one step."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.keeper.messages import Complete, Work
from greengagetack.rollouts.attempt import Completions, SampleAttempt
from greengagetack.rollouts.hedging import HedgeLimits, SampleLatencies, may_hedge
from greengagetack.rollouts.records import StepRecords
from greengagetack.rollouts.request_ids import hedge_id
from greengagetack.rollouts.spec import FinishedSample, SampleId, StepSpec, step_key
from greengagetack.rollouts.state import StepState
from greengagetack.rollouts.window import DispatchWindow
from greengagetack.timer import Timer

__all__ = ["Scoring", "StepRunner"]

DEFAULT_RETRY_S = 0.5
MAX_RETRY_S = 5.0
MAX_WAIT_FOR_CHANGE_S = 0.5
LAST_SAMPLE_PRIORITY = 10
SEED_FACTOR = 1_000_003
SEED_PER_GROUP = 1_000
STALE_CODE = "stale_version"

Scoring = Callable[[StepSpec, tuple[FinishedSample, ...]], Awaitable[dict[int, float]]]


class StepRunner:
    """Dispatches the samples of a step and records the results.

    Parameters
    ----------
    state : StepState
        Progress of the step.
    records : StepRecords
        Storage of finished samples.
    completions : Completions
        Runs completion requests.
    scoring : Scoring
        Scores complete groups.
    concurrency_limit : callable
        Returns the current maximum number of samples in flight.
    timer : Timer
        Clock.
    time_left_s : callable
        Returns the seconds until the step's deadline.
    hedging : HedgeLimits
        Bounds of hedging.
    """

    def __init__(
        self,
        state: StepState,
        records: StepRecords,
        completions: Completions,
        scoring: Scoring,
        concurrency_limit: Callable[[], int],
        timer: Timer,
        time_left_s: Callable[[], float],
        hedging: HedgeLimits,
    ) -> None:
        self.state = state
        self._records = records
        self._completions = completions
        self._scoring = scoring
        self._concurrency_limit = concurrency_limit
        self._timer = timer
        self._time_left_s = time_left_s
        self._changed = asyncio.Event()
        self._hedging = hedging
        self._latencies = SampleLatencies()
        self._window = DispatchWindow()
        self._attempts: dict[SampleId, dict[SampleAttempt, asyncio.Task[None]]] = {}
        self._scoring_tasks: dict[int, asyncio.Task[None]] = {}
        self._waiters: set[asyncio.Event] = set()
        self._main_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start generating samples, or resume after new samples became pending."""
        if self._main_task is None or self._main_task.done():
            self._main_task = asyncio.create_task(self._run())
        self._changed.set()

    @property
    def running(self) -> bool:
        """Whether the runner is still generating samples."""
        return self._main_task is not None and not self._main_task.done()

    async def _run(self) -> None:
        while not self.state.complete:
            if self._time_left_s() <= 0:
                break
            self._score_complete_groups()
            self._dispatch()
            self._hedge_slow_samples()
            self._changed.clear()
            try:
                async with asyncio.timeout(MAX_WAIT_FOR_CHANGE_S):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _dispatch(self) -> None:
        limit = self._window.size(self._concurrency_limit())
        while self.state.in_flight < limit:
            sample_id = self.state.next_sample()
            if sample_id is None:
                return
            attempt = self.state.mark_in_flight(sample_id)
            self._start_attempt(
                sample_id, self._request(sample_id, attempt), frozenset()
            )

    def _start_attempt(
        self, sample_id: SampleId, request: Complete, exclude: frozenset[str]
    ) -> None:
        attempts = self._attempts.setdefault(sample_id, {})
        attempt = SampleAttempt(sample_id, request, self._timer)
        attempts[attempt] = asyncio.create_task(self._run_attempt(attempt, exclude))

    def _request(self, sample_id: SampleId, attempt: int) -> Complete:
        spec = self.state.spec
        job_id = step_key(spec.team, spec.job, spec.step)
        index = sample_id.index
        is_last_sample = self.state.unfinished_in_group(sample_id.group_id) <= 1
        return Complete(
            request_id=f"{job_id}/{sample_id.group_id}/{index}",
            team=spec.team,
            work=Work.ROLLOUT,
            endpoint_id="",
            model=spec.model,
            prompt=self.state.prompt_of(sample_id),
            max_tokens=spec.max_tokens,
            seed=spec.seed * SEED_FACTOR + sample_id.group_id * SEED_PER_GROUP + index,
            time_left_s=max(0.0, self._time_left_s()),
            oldest_version=self.state.oldest_allowed_version,
            priority=LAST_SAMPLE_PRIORITY if is_last_sample else 0,
            expected_tokens=int(self.state.expected_tokens(sample_id.group_id)),
            job_id=job_id,
            attempt=attempt,
        )

    def _hedge_slow_samples(self) -> None:
        """Hedge slow samples once no sample is waiting for dispatch."""
        if self.state.pending:
            return
        now_s = self._timer.now_s()
        typical = self._latencies.typical()
        tokens_at_risk = self._tokens_at_risk()
        for sample_id, attempts in list(self._attempts.items()):
            if len(attempts) != 1:
                continue
            (slow,) = attempts
            if slow.has_failed:
                # A failed attempt is retried after a delay, not hedged.
                continue
            is_slow = may_hedge(
                slow.tokens,
                now_s - slow.started_s,
                typical,
                self.state.wasted_tokens + tokens_at_risk,
                self.state.tokens,
                self._hedging,
            )
            if is_slow and self._start_hedge(sample_id, slow):
                tokens_at_risk += self._cost_of_losing(slow)

    def _tokens_at_risk(self) -> int:
        """Return the tokens that hedges in flight may still waste."""
        tokens_at_risk = 0
        for attempts in self._attempts.values():
            if len(attempts) > 1:
                tokens_at_risk += min(
                    self._cost_of_losing(attempt) for attempt in attempts
                )
        return tokens_at_risk

    def _cost_of_losing(self, attempt: SampleAttempt) -> int:
        """Return the expected tokens that are wasted if the attempt loses."""
        expected = self.state.expected_tokens(attempt.sample_id.group_id)
        return max(attempt.tokens, int(expected))

    def _start_hedge(self, sample_id: SampleId, slow: SampleAttempt) -> bool:
        endpoint_id = self._completions.endpoint_of(slow.request.request_id)
        if not endpoint_id:
            return False
        logger.info("rollout: hedging a slow sample at {}", endpoint_id)
        request = replace(
            slow.request,
            request_id=hedge_id(slow.request.request_id),
            time_left_s=max(0.0, self._time_left_s()),
            endpoint_id="",
        )
        self._start_attempt(sample_id, request, frozenset({endpoint_id}))
        return True

    async def _run_attempt(
        self, attempt: SampleAttempt, exclude: frozenset[str]
    ) -> None:
        try:
            await attempt.run(self._completions, exclude)
        except CodedError as error:
            await self._handle_failure(attempt, error)
            return
        finally:
            self.state.add_waste(attempt.discarded_tokens)
        await self._handle_success(attempt)

    async def _handle_success(self, attempt: SampleAttempt) -> None:
        self._remove_attempt(attempt)
        sample = attempt.finished_sample()
        duration_s = self._timer.now_s() - attempt.started_s
        self._latencies.record(attempt.tokens, attempt.first_token_s, duration_s)
        if attempt.load is not None:
            self._window.record_load(attempt.load)
        if self.state.add_finished(sample):
            await self._record_sample(sample)
        await self._cancel_attempts(attempt.sample_id)
        await self._completions.release(attempt.request.request_id)
        self.notify()

    async def _record_sample(self, sample: FinishedSample) -> None:
        try:
            await self._records.put_sample(self.state.spec, sample)
        except CodedError as error:
            # The sample stays in memory; at worst the next owner generates it again.
            logger.warning("rollout: could not record a sample: {}", error.reason)

    async def _handle_failure(self, attempt: SampleAttempt, error: CodedError) -> None:
        """Rely on the other attempt if there is one, else requeue after a delay."""
        logger.info(
            "rollout: sample attempt failed with {}: {}", error.code, error.reason
        )
        sample_id = attempt.sample_id
        if len(self._attempts.get(sample_id, {})) > 1:
            self._remove_attempt(attempt)
            await self._completions.cancel(attempt.request.request_id)
            return
        attempt.has_failed = True
        remake = error.code == STALE_CODE
        lost_tokens = attempt.tokens if remake else 0
        retry_s = min(error.retry_after_s or DEFAULT_RETRY_S, MAX_RETRY_S)
        try:
            await self._timer.sleep(self._timer.jittered_s(retry_s))
        finally:
            self._remove_attempt(attempt)
            self.state.requeue(sample_id, remake=remake, lost_tokens=lost_tokens)
        self.notify()

    def _remove_attempt(self, attempt: SampleAttempt) -> None:
        attempts = self._attempts.get(attempt.sample_id, {})
        attempts.pop(attempt, None)
        if not attempts:
            self._attempts.pop(attempt.sample_id, None)

    async def _cancel_attempts(self, sample_id: SampleId) -> None:
        """Cancel the remaining attempts of a sample; their tokens are wasted."""
        for attempt, task in list(self._attempts.get(sample_id, {}).items()):
            self.state.add_waste(attempt.tokens)
            self._remove_attempt(attempt)
            task.cancel()
            await self._completions.cancel(attempt.request.request_id)

    def _score_complete_groups(self) -> None:
        for group_id in self.state.complete_unscored_groups():
            if group_id in self._scoring_tasks:
                continue
            task = asyncio.create_task(self._score(group_id))
            self._scoring_tasks[group_id] = task

    async def _score(self, group_id: int) -> None:
        samples = self.state.samples_of(group_id)
        try:
            scores = await self._scoring(self.state.spec, samples)
        except CodedError as error:
            logger.info("rollout: could not score group {}: {}", group_id, error.reason)
            await self._timer.sleep(error.retry_after_s or DEFAULT_RETRY_S)
        else:
            if samples == self.state.samples_of(group_id):
                self.state.set_scores(group_id, scores)
        del self._scoring_tasks[group_id]
        self.notify()

    async def set_held(self, held: frozenset[int]) -> None:
        """Set the groups the trainer holds and cancel their remaining work."""
        for sample_id in self.state.set_held(held):
            await self._abandon_sample(sample_id)

    async def _abandon_sample(self, sample_id: SampleId) -> None:
        if sample_id not in self._attempts:
            return
        self.state.requeue(sample_id, remake=False)
        await self._cancel_attempts(sample_id)

    async def drop_stale(self) -> None:
        """Discard finished samples beyond the staleness bound and make them pending."""
        for sample_id in self.state.drop_stale():
            await self._records.delete_sample(
                self.state.spec, sample_id.group_id, sample_id.index
            )
        self.start()

    def notify(self) -> None:
        """Wake up the runner and all waiting fetches."""
        self._changed.set()
        for waiter in self._waiters:
            waiter.set()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the step changes or the timeout expires."""
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
        """Stop dispatching; with `cancel_requests` also cancel running requests."""
        if self._main_task is not None:
            self._main_task.cancel()
        for sample_id in list(self._attempts):
            if cancel_requests:
                await self._abandon_sample(sample_id)
                continue
            for task in self._attempts.pop(sample_id).values():
                task.cancel()
        for scoring in self._scoring_tasks.values():
            scoring.cancel()
