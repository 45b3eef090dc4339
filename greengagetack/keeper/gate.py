"""greengagetack.keeper.gate: the queue and the requests of one model engine."""

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
from greengagetack.keeper.runner import GenerationRunner, expired
from greengagetack.keeper.spending import Spending
from greengagetack.keeper.versions import LoadedVersions
from greengagetack.observability.logs import REQUEST_ID
from greengagetack.observability.traces import attached, span
from greengagetack.world import Endpoint

__all__ = ["EngineGate"]

CALLER_GRACE_S = 2.0
DRAIN_RETRY_S = 0.2
LEAVING_RETRY_S = 0.5
MOVE_FACTOR = 1.5


class EngineGate:
    """Admits, orders and relays all requests for one model engine.

    One task owns the queue and starts requests in free slots; each running
    request has a task of its own.

    Parameters
    ----------
    endpoint : Endpoint
        The engine.
    adapter : EngineAdapter
        Speaks to it.
    services : Services
        What the daemon offers.
    held : HeldAnswers
        Where requests and finished answers are found by identifier.
    spending : Spending
        Bounds the tokens of each team.
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
        self.prefixes = PrefixCache(adapter.prefix_blocks)
        self.draining = False
        self._told_leaving = False
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
        """Whether the endpoint takes no new work for good."""
        return self._services.directory.is_leaving(self.endpoint.endpoint_id)

    @property
    def busy(self) -> bool:
        """Whether any request waits or runs."""
        return bool(self._running) or len(self._queue) > 0

    def _count(self, work: str) -> int:
        return sum(item.request.work == work for item in self._running)

    def _weight(self, team: str) -> float:
        settings = self._services.settings.team(team)
        return settings.weight if settings is not None else 1.0

    def load(self) -> EndpointLoad:
        """Return the load at this moment."""
        pace_s = self.health.seconds_per_token
        rate = self.endpoint.slots / pace_s if pace_s else 0.0
        return EndpointLoad(
            endpoint_id=self.endpoint.endpoint_id,
            running=len(self._running),
            waiting=len(self._queue),
            waiting_tokens=self._queue.waiting_tokens,
            slots=self.health.allowed(),
            tokens_per_s=rate,
            expected_wait_s=self._backlog_s(),
            weight_version=self.versions.active,
            ejected=self.health.ejected,
            leaving=self.leaving,
            seconds_per_token=pace_s,
        )

    def _backlog_s(self) -> float:
        """Return about how long all waiting work takes to be started."""
        allowed = self.health.allowed()
        pace_s = self.health.seconds_per_token
        if not allowed or len(self._running) + len(self._queue) < allowed:
            return 0.0
        running_tokens = sum(_tokens_left(item) for item in self._running)
        tokens = self._queue.waiting_tokens + running_tokens / 2
        return tokens * self._lengths.value * pace_s / allowed

    def _expected_wait_s(self, team: str, work: str) -> float:
        allowed = self.health.allowed()
        pace_s = self.health.seconds_per_token
        running_tokens = sum(_tokens_left(item) for item in self._running)
        free = allowed - len(self._running)
        if work == Work.ROLLOUT:
            free -= self._reserved(self._count(Work.CALLER))
        return self._admission.expected_wait_s(
            self._queue,
            team,
            work,
            self._weight(team),
            running_tokens,
            free,
            allowed / (pace_s * self._lengths.value) if pace_s else 0.0,
        )

    async def open(self, request: Complete) -> Generation:
        """Join the request in flight, find its held answer, or admit it anew.

        Raises
        ------
        CodedError
            If it is refused; it was then not run.
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
            self._spending.forgo(request)
            raise
        self._spending.forgo(request)
        return self._join(known, request)

    def _admit(self, request: Complete) -> Generation:
        self._check_open()
        self.versions.require(request)
        self._check_queue(request)
        generation = Generation(request, self._services.timer.now_s())
        self._spending.admitted(generation)
        self._held.keep(generation, self)
        self._queue.push(generation, self._weight(request.team))
        self.used_at_s = generation.arrived_s
        self._wake.set()
        return generation

    def _join(self, generation: Generation, request: Complete) -> Generation:
        self._services.metrics.add("keeper_joins_total")
        if request.offset_tokens < generation.first_offset:
            self._rewind(generation, request.offset_tokens)
        return generation

    def _rewind(self, generation: Generation, offset_tokens: int) -> None:
        """Replay from an earlier token, which the engine still knows."""
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
        wait_s = self._expected_wait_s(request.team, request.work)
        service_s = request.expected_tokens * self._lengths.value
        service_s *= self.health.seconds_per_token
        self._admission.check_time(request, wait_s, service_s)
        if len(self._queue) < self._queue_limit:
            return
        weight = self._weight(request.team)
        crowded_out = self._queue.crowded_out(request.team, weight)
        if crowded_out is None:
            raise self._admission.queue_full(wait_s)
        self._queue.remove(crowded_out)
        self._end(crowded_out, self._admission.queue_full(wait_s))

    async def _dispatch(self) -> None:
        while True:
            self._wake.clear()
            while (generation := self._next()) is not None:
                self._start(generation)
            await self._wake.wait()

    def _next(self) -> Generation | None:
        callers = self._count(Work.CALLER)
        if self._queue.waits(Work.CALLER):
            now_s = self._services.timer.now_s()
            self._reserve.observe(callers + 1, now_s)
        allowed = self.health.allowed()
        if len(self._running) >= allowed:
            return None
        works: tuple[str, ...] = (Work.CALLER, Work.ROLLOUT)
        if callers < self._reserve.limit and self._queue.waits(Work.CALLER):
            # Callers go first within the reserve; beyond it, teams compete.
            return self._queue.pop((Work.CALLER,))
        if len(self._running) + self._reserved(callers) >= allowed:
            works = (Work.CALLER,)
        return self._queue.pop(works)

    def _reserved(self, callers: int) -> int:
        """Return how many slots are kept free of rollouts, never all of them."""
        slots = self._reserve.slots(self._services.timer.now_s())
        return max(0, min(slots - callers, self.health.allowed() - 1))

    def _start(self, generation: Generation) -> None:
        task = asyncio.create_task(self._run(generation))
        self._running[generation] = task

    async def _run(self, generation: Generation) -> None:
        error: CodedError | None = None
        REQUEST_ID.set(generation.log_id)
        try:
            with (
                attached(generation.traceparent),
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
        self._judge(generation, error)
        self._end(generation, error)
        self._wake.set()

    def _judge(self, generation: Generation, error: CodedError | None) -> None:
        if error is None:
            self.health.succeeded()
            request = generation.request
            expected = request.expected_tokens or request.max_tokens
            self._lengths.observe(expected, generation.end_tokens)
            return
        if isinstance(error, EndpointUnreachable | EndpointFailed):
            routing = self._services.settings.fleet().routing
            now_s = self._services.timer.now_s()
            if self.health.failed(now_s, routing.ejection_s):
                self.hand_back("is ejected")

    def _end(self, generation: Generation, error: CodedError | None) -> None:
        now_s = self._services.timer.now_s()
        if error is not None:
            generation.fail(error, now_s)
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
            # A failed request may be tried again; only answers are kept.
            self._held.drop(generation)

    async def check_leaving(self) -> None:
        """Ask the engine whether it leaves, and pass the sign on.

        The sign is taken back only by the keeper that gave it: others know of
        reasons that the engine does not.
        """
        directory = self._services.directory
        endpoint_id = self.endpoint.endpoint_id
        with suppress(CodedError):
            leaves = await self.adapter.is_leaving()
            if leaves and not self.leaving:
                self._told_leaving = True
                directory.report_leaving(endpoint_id)
            if not leaves and self._told_leaving:
                self._told_leaving = False
                directory.report_returned(endpoint_id)
        if self.leaving:
            self.hand_back("is leaving")

    def refuse_expired(self) -> None:
        """Refuse waiting requests whose time has run out."""
        now_s = self._services.timer.now_s()
        for generation in self._held.of_gate(self):
            if generation.deadline_s > now_s or not self._queue.remove(generation):
                continue
            self._end(generation, expired())

    def hand_back(self, why: str) -> None:
        """Refuse all waiting requests, so that they run elsewhere."""
        for generation in self._queue.drain():
            reason = f"{self.endpoint.endpoint_id} {why}"
            self._end(generation, EndpointRefused(reason, LEAVING_RETRY_S))

    async def cancel(self, generation: Generation, why: str) -> None:
        """Stop a request, waiting or running."""
        if self._queue.remove(generation):
            self._end(generation, EndpointRefused(why))
            return
        if generation not in self._running:
            self._held.drop(generation)
            return
        await self._abort(generation, DeadlineExceeded(why))

    async def _abort(self, generation: Generation, error: CodedError) -> None:
        """Stop a running request, here and at the engine."""
        self._running.pop(generation).cancel()
        self._queue.settle(generation)
        self._end(generation, error)
        self._wake.set()
        await self._runner.cancel(generation)

    async def move_slow(self, usual_pace_s: float) -> None:
        """Give up the running requests that another engine would end far earlier.

        They start anew there, so what they have so far is wasted.
        """
        pace_s = self.health.seconds_per_token
        reason = f"{self.endpoint.endpoint_id} is slow"
        for generation in list(self._running):
            left = _tokens_left(generation) * self._lengths.value
            here_s = left * pace_s
            there_s = (generation.end_tokens + left) * usual_pace_s
            if here_s < MOVE_FACTOR * there_s or generation not in self._running:
                continue
            self._services.metrics.add("keeper_moved_requests_total")
            await self._abort(generation, EndpointFailed(reason))

    async def drop_abandoned(self) -> None:
        """Cancel callers' requests that nobody has been reading for a while."""
        now_s = self._services.timer.now_s()
        for generation in self._held.of_gate(self):
            if generation.is_rollout:
                continue
            if generation.abandoned_s(now_s) < CALLER_GRACE_S:
                continue
            await self.cancel(generation, "nobody reads the answer any more")

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        tasks = [self._task, *self._running.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.health.forget()
        await self.adapter.close()

    def wake(self) -> None:
        """Look for work that can start now."""
        self._wake.set()


def _tokens_left(generation: Generation) -> int:
    request = generation.request
    expected = request.expected_tokens or request.max_tokens
    return max(1, expected - generation.end_tokens)
