"""greengagetack.keeper.gate: admission, queue and running requests of one engine."""

import asyncio
from contextlib import suppress

from loguru import logger

from greengagetack.daemons.role import Services
from greengagetack.engines.base import EngineAdapter
from greengagetack.errors import (
    CodedError,
    DeadlineExceeded,
    EndpointFailed,
    EndpointRefused,
    NotReady,
)
from greengagetack.keeper.admission import Admission, CallerReserve, LengthRatio
from greengagetack.keeper.errors import EndpointUnreachable
from greengagetack.keeper.fair_queue import FairQueue
from greengagetack.keeper.generation import Generation
from greengagetack.keeper.health import EndpointHealth
from greengagetack.keeper.held import HeldAnswers
from greengagetack.keeper.messages import Complete, EndpointLoad, Work
from greengagetack.keeper.prefixes import PrefixCache
from greengagetack.keeper.runner import GenerationRunner, expired_error
from greengagetack.keeper.spending import Spending
from greengagetack.keeper.versions import LoadedVersions
from greengagetack.observability.logs import REQUEST_ID
from greengagetack.observability.traces import span, use_traceparent
from greengagetack.world import Endpoint

__all__ = ["EngineGate"]

UNREAD_CALLER_TIMEOUT_S = 2.0
DRAIN_RETRY_S = 0.2
LEAVING_RETRY_S = 0.5
MOVE_SPEEDUP_RATIO = 1.5


class EngineGate:
    """Admits, schedules and relays all requests for one model engine.

    One task takes requests from the queue and starts them in free slots; each
    running request has its own task.

    Parameters
    ----------
    endpoint : Endpoint
        The engine.
    adapter : EngineAdapter
        Client of the engine's protocol.
    services : Services
        Shared services of the daemon.
    held : HeldAnswers
        Index of requests and finished answers by identifier.
    spending : Spending
        Token and concurrency limits of each team.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        adapter: EngineAdapter,
        services: Services,
        held: HeldAnswers,
        spending: Spending,
    ) -> None:
        admission = services.settings.fleet().admission
        self.endpoint = endpoint
        self.adapter = adapter
        self.health = EndpointHealth(endpoint.endpoint_id, endpoint.slots)
        self.versions = LoadedVersions(endpoint, adapter)
        self.prefixes = PrefixCache(adapter.prefix_block_hashes)
        self.draining = False
        self._reported_leaving = False
        self.used_at_s = services.timer.now_s()
        self.sibling_paces: tuple[float, ...] = ()
        self._services = services
        self._held = held
        self._spending = spending
        self._queue_limit = admission.queue_limit
        self._admission = Admission(admission)
        self._reserve = CallerReserve(endpoint.slots, admission.caller_reserve_ratio)
        self._lengths = LengthRatio()
        self._queue = FairQueue()
        self._runner = GenerationRunner(
            adapter, self.versions, self.health, self.prefixes, spending, services.timer
        )
        self._running: dict[Generation, asyncio.Task[None]] = {}
        self._wake = asyncio.Event()
        self._task = asyncio.create_task(
            self._dispatch(), name=f"gate {endpoint.endpoint_id}"
        )

    @property
    def leaving(self) -> bool:
        """Whether the endpoint is leaving and takes no new work."""
        return self._services.directory.is_leaving(self.endpoint.endpoint_id)

    @property
    def busy(self) -> bool:
        """Whether any request waits or runs."""
        return bool(self._running) or len(self._queue) > 0

    def _running_count(self, work: str) -> int:
        return sum(item.request.work == work for item in self._running)

    def _team_weight(self, team: str) -> float:
        settings = self._services.settings.team(team)
        return settings.weight if settings is not None else 1.0

    def load(self) -> EndpointLoad:
        """Return the current load."""
        pace_s = self.health.seconds_per_token
        rate = self.endpoint.slots / pace_s if pace_s else 0.0
        return EndpointLoad(
            endpoint_id=self.endpoint.endpoint_id,
            running=len(self._running),
            waiting=len(self._queue),
            waiting_tokens=self._queue.waiting_tokens,
            slots=self.health.concurrency_limit(),
            tokens_per_s=rate,
            expected_wait_s=self._estimate_backlog_s(),
            weight_version=self.versions.active,
            ejected=self.health.ejected,
            leaving=self.leaving,
            seconds_per_token=pace_s,
        )

    def _estimate_backlog_s(self) -> float:
        """Estimate the time until all waiting requests have started."""
        limit = self.health.concurrency_limit()
        pace_s = self.health.seconds_per_token
        if not limit or len(self._running) + len(self._queue) < limit:
            return 0.0
        running_tokens = sum(_tokens_left(item) for item in self._running)
        tokens = self._queue.waiting_tokens + running_tokens / 2
        return tokens * self._lengths.value * pace_s / limit

    def _estimate_wait_s(self, team: str, work: str) -> float:
        limit = self.health.concurrency_limit()
        pace_s = self.health.seconds_per_token
        running_tokens = sum(_tokens_left(item) for item in self._running)
        free = limit - len(self._running)
        if work == Work.ROLLOUT:
            free -= self._reserved_free_slots(self._running_count(Work.CALLER))
        return self._admission.expected_wait_s(
            self._queue,
            team,
            work,
            self._team_weight(team),
            running_tokens,
            free,
            limit / (pace_s * self._lengths.value) if pace_s else 0.0,
        )

    async def join_or_admit(self, request: Complete) -> Generation:
        """Return the request's run in flight or held answer, or admit a new run.

        Raises
        ------
        CodedError
            If the request is refused; it was then not run.
        """
        known = self._held.find(request)
        if known is not None:
            return self._join(known, request)
        await self.versions.ensure_known()
        await self._spending.admit(request)
        try:
            known = self._held.find(request)
            if known is None:
                return self._admit(request)
        except CodedError:
            self._spending.release_permit(request)
            raise
        self._spending.release_permit(request)
        return self._join(known, request)

    def _admit(self, request: Complete) -> Generation:
        self._check_open()
        self.versions.require_allowed_version(request)
        self._check_queue(request)
        generation = Generation(request, self._services.timer.now_s())
        self._spending.hold_permit(generation)
        self._held.add(generation, self)
        self._queue.push(generation, self._team_weight(request.team))
        self.used_at_s = generation.arrived_s
        self._wake.set()
        return generation

    def _join(self, generation: Generation, request: Complete) -> Generation:
        self._services.metrics.add("keeper_joins_total")
        if request.offset_tokens < generation.first_offset:
            self._rewind(generation, request.offset_tokens)
        return generation

    def _rewind(self, generation: Generation, offset_tokens: int) -> None:
        """Replay from an earlier token, which the engine has kept."""
        task = self._running.pop(generation, None)
        generation.rewind(offset_tokens)
        if task is None:
            return
        task.cancel()
        self._start(generation)

    def _check_open(self) -> None:
        endpoint_id = self.endpoint.endpoint_id
        if self.draining:
            raise NotReady("this daemon is stopping", DRAIN_RETRY_S)
        if self.leaving:
            raise EndpointRefused(f"{endpoint_id} is leaving", LEAVING_RETRY_S)
        if self.health.ejected:
            wait_s = self.health.probe_at_s - self._services.timer.now_s()
            raise EndpointRefused(f"{endpoint_id} is ejected", max(0.1, wait_s))

    def _check_queue(self, request: Complete) -> None:
        wait_s = self._estimate_wait_s(request.team, request.work)
        service_s = request.expected_tokens * self._lengths.value
        service_s *= self.health.seconds_per_token
        self._admission.check_deadline(request, wait_s, service_s)
        if len(self._queue) < self._queue_limit:
            return
        weight = self._team_weight(request.team)
        victim = self._queue.find_eviction_victim(request.team, weight)
        if victim is None:
            raise self._admission.queue_full_error(wait_s)
        self._queue.remove(victim)
        self._end(victim, self._admission.queue_full_error(wait_s))

    async def _dispatch(self) -> None:
        while True:
            self._wake.clear()
            while (generation := self._next_generation()) is not None:
                self._start(generation)
            await self._wake.wait()

    def _next_generation(self) -> Generation | None:
        callers = self._running_count(Work.CALLER)
        if self._queue.has_waiting(Work.CALLER):
            now_s = self._services.timer.now_s()
            self._reserve.observe_callers(callers + 1, now_s)
        limit = self.health.concurrency_limit()
        if len(self._running) >= limit:
            return None
        work_classes: tuple[str, ...] = (Work.CALLER, Work.ROLLOUT)
        if callers < self._reserve.max_reserved_slots and self._queue.has_waiting(
            Work.CALLER
        ):
            # Callers have priority within the reserve; beyond it, teams share fairly.
            return self._queue.pop((Work.CALLER,))
        if len(self._running) + self._reserved_free_slots(callers) >= limit:
            work_classes = (Work.CALLER,)
        return self._queue.pop(work_classes)

    def _reserved_free_slots(self, callers: int) -> int:
        """Return how many free slots rollouts may not use, never all of them."""
        slots = self._reserve.reserved_slots(self._services.timer.now_s())
        return max(0, min(slots - callers, self.health.concurrency_limit() - 1))

    def _start(self, generation: Generation) -> None:
        task = asyncio.create_task(self._run(generation))
        self._running[generation] = task

    async def _run(self, generation: Generation) -> None:
        error: CodedError | None = None
        REQUEST_ID.set(generation.log_request_id)
        try:
            with (
                use_traceparent(generation.traceparent),
                span("engine.stream", endpoint=self.endpoint.endpoint_id),
            ):
                await self._runner.run(generation)
        except CodedError as failure:
            error = failure
        except asyncio.CancelledError:
            if self._running.get(generation) is not asyncio.current_task():
                return
            raise
        except Exception as failure:
            logger.opt(exception=failure).error("keeper: request failed")
            error = EndpointFailed(f"internal failure: {failure}")
        self._running.pop(generation, None)
        self._queue.settle(generation)
        if isinstance(error, EndpointRefused):
            await self.check_leaving()
        self._record_outcome(generation, error)
        self._end(generation, error)
        self._wake.set()

    def _record_outcome(self, generation: Generation, error: CodedError | None) -> None:
        if error is None:
            self.health.record_success()
            request = generation.request
            expected = request.expected_tokens or request.max_tokens
            self._lengths.observe_length(expected, generation.end_tokens)
            return
        if isinstance(error, EndpointUnreachable | EndpointFailed):
            routing = self._services.settings.fleet().routing
            now_s = self._services.timer.now_s()
            if self.health.record_failure(now_s, routing.ejection_s):
                self.refuse_waiting("is ejected")

    def _end(self, generation: Generation, error: CodedError | None) -> None:
        now_s = self._services.timer.now_s()
        if error is not None:
            generation.mark_failed(error, now_s)
        self._spending.settle(generation)
        request = generation.request
        metrics = self._services.metrics
        outcome = error.code if error is not None else "done"
        metrics.add("keeper_requests_total", work=request.work, outcome=outcome)
        metrics.add(
            "keeper_tokens_total",
            generation.token_count,
            team=request.team,
            work=request.work,
        )
        if error is not None:
            # A failed request may be retried; only successful answers are held.
            self._held.drop(generation)

    async def check_leaving(self) -> None:
        """Read from the engine whether it is leaving and report it to the cell.

        Only the keeper that reported the engine as leaving withdraws the
        report: other keepers may have reasons that the engine does not report.
        """
        directory = self._services.directory
        endpoint_id = self.endpoint.endpoint_id
        with suppress(CodedError):
            is_leaving = await self.adapter.is_leaving()
            if is_leaving and not self.leaving:
                self._reported_leaving = True
                directory.report_leaving(endpoint_id)
            if not is_leaving and self._reported_leaving:
                self._reported_leaving = False
                directory.report_returned(endpoint_id)
        if self.leaving:
            self.refuse_waiting("is leaving")

    def refuse_expired(self) -> None:
        """Refuse waiting requests whose deadline has passed."""
        now_s = self._services.timer.now_s()
        for generation in self._held.requests_of_gate(self):
            if generation.deadline_s > now_s or not self._queue.remove(generation):
                continue
            self._end(generation, expired_error())

    def refuse_waiting(self, reason: str) -> None:
        """Refuse all waiting requests, so that they run elsewhere."""
        for generation in self._queue.drain():
            message = f"{self.endpoint.endpoint_id} {reason}"
            self._end(generation, EndpointRefused(message, LEAVING_RETRY_S))

    async def cancel(self, generation: Generation, reason: str) -> None:
        """Cancel a waiting or running request, or drop its held answer."""
        if self._queue.remove(generation):
            self._end(generation, EndpointRefused(reason))
            return
        if generation not in self._running:
            self._held.drop(generation)
            return
        await self._abort(generation, DeadlineExceeded(reason))

    async def _abort(self, generation: Generation, error: CodedError) -> None:
        """Stop a running request here and at the engine."""
        self._running.pop(generation).cancel()
        self._queue.settle(generation)
        self._end(generation, error)
        self._wake.set()
        await self._runner.cancel(generation)

    async def abort_slow_requests(self, usual_pace_s: float) -> None:
        """Abort running requests that another engine would finish much earlier.

        The other engine restarts a request from its first token and the tokens
        generated here are wasted. A request is therefore aborted only if its
        rest takes at least ``MOVE_SPEEDUP_RATIO`` times as long here as all of
        it takes there.
        """
        pace_s = self.health.seconds_per_token
        reason = f"{self.endpoint.endpoint_id} is slow"
        for generation in list(self._running):
            tokens_left = _tokens_left(generation) * self._lengths.value
            finish_here_s = tokens_left * pace_s
            restart_s = (generation.end_tokens + tokens_left) * usual_pace_s
            if (
                finish_here_s < MOVE_SPEEDUP_RATIO * restart_s
                or generation not in self._running
            ):
                continue
            self._services.metrics.add("keeper_moved_requests_total")
            await self._abort(generation, EndpointFailed(reason))

    async def cancel_unread(self) -> None:
        """Cancel callers' requests that have long been without a reader."""
        now_s = self._services.timer.now_s()
        for generation in self._held.requests_of_gate(self):
            if generation.is_rollout:
                continue
            if generation.unread_s(now_s) < UNREAD_CALLER_TIMEOUT_S:
                continue
            await self.cancel(generation, "the answer has had no reader for too long")

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        tasks = [self._task, *self._running.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.health.unregister()
        await self.adapter.close()

    def wake_dispatch(self) -> None:
        """Make the dispatch task start waiting requests in free slots."""
        self._wake.set()


def _tokens_left(generation: Generation) -> int:
    request = generation.request
    expected = request.expected_tokens or request.max_tokens
    return max(1, expected - generation.end_tokens)
