"""greengagetack.scaling.scaler: the loop that orders replicas.

Only the holder of the scaling duty orders. Its orders are absolute targets, so a
successor that decides from the same list of replicas repeats them without harm. What
was there at the start is counted by each daemon for itself, in memory.
"""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

from loguru import logger

from greengagetack.coordination.duty_api import (
    DutyApi,
    DutyEnd,
    DutyTerms,
    ReplicaOrder,
)
from greengagetack.errors import CodedError
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.rate_limit import TokenBucket
from greengagetack.replicas.replica import ReplicaState
from greengagetack.scaling.decision import Decision, choose_orders
from greengagetack.scaling.listing import ReplicaList, ViewBuilder
from greengagetack.scaling.memory import ServiceMemory
from greengagetack.scaling.need import DemandReport, ServiceDemand
from greengagetack.scaling.spec import ScalingSpec
from greengagetack.scaling.standing import (
    decode_standing,
    digest_of,
    encode_standing,
)
from greengagetack.scaling.view import Pool, ServiceView, pool_of

__all__ = ["DutyTenure", "Scaler"]

# An order must be sent within 1 s of the loss of a replica.
TICK_INTERVAL_S = 0.25
# In large fleets the list is read less often: 6,600 replicas take about 6 ms.
TICK_INTERVAL_PER_REPLICA_S = 0.000_1
MAX_TICK_INTERVAL_S = 0.75
DEMAND_INTERVAL_S = 1.0
MAX_DEMAND_AGE_S = 2.0
MAX_VIEW_AGE_S = 2.0
# A new holder waits this long for the dispatcher's first report.
FIRST_DEMAND_S = 0.75
# Growth of the time that the VM was suspended for that shows a thaw.
MIN_SUSPENSION_S = 0.1
# What is read sooner after a thaw may have arrived before the suspension.
THAW_SETTLE_S = 0.2
# After a refusal the next pool is tried at once, at most so often in one tick.
MAX_ROUNDS = 4
# Share of the API's rate limit that orders use; usage reports use the rest.
RATE_SHARE = 0.5


def suspended_s() -> float:
    """Return for how long the VM was suspended; the monotonic clock stops then."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


class DutyTenure(Protocol):
    """The scaling duty as this daemon holds it or not."""

    @property
    def is_holder(self) -> bool:
        """Whether this daemon holds the duty."""

    @property
    def fence(self) -> int:
        """The fencing token of the lease."""

    async def call(self, send: Callable[[DutyTerms], Awaitable[DutyEnd]]) -> DutyEnd:
        """Make a call under the lease; NOT_SENT if it is not held."""


class Scaler:
    """Orders replicas for all scaled services while this daemon holds the duty.

    Parameters
    ----------
    specs : callable
        Returns the services that are scaled.
    read_replicas : callable
        Returns the list of replicas, None while there is no complete one.
    fetch_demand : callable
        Returns the dispatcher's report. It is called with the numbers of replicas to
        keep, empty for none, and whether the report is to have an earlier holder's.
    calls_per_s : float
        Limit of the platform's API on the calls of all daemons.
    """

    def __init__(
        self,
        tenure: DutyTenure,
        api: DutyApi,
        specs: Callable[[], tuple[ScalingSpec, ...]],
        read_replicas: Callable[[], ReplicaList | None],
        fetch_demand: Callable[[str, bool], Awaitable[DemandReport]],
        calls_per_s: float,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
        suspended: Callable[[], float] = suspended_s,
    ) -> None:
        self._tenure = tenure
        self._api = api
        self._specs = specs
        self._read_replicas = read_replicas
        self._fetch_demand = fetch_demand
        self._metrics = metrics
        self._clock = clock
        self._suspended = suspended
        self._suspended_s = suspended()
        self._thawed_s = float("-inf")
        self._memories: dict[str, ServiceMemory] = {}
        self._report: DemandReport | None = None
        self._report_s = float("-inf")
        self._held_fence = 0
        self._held_since_s = float("-inf")
        # The lease under which an earlier holder's numbers were asked for.
        self._adopted_fence = 0
        self._is_stale = False
        self._views = ViewBuilder()
        self._rate_per_s = calls_per_s * RATE_SHARE
        self._permits = TokenBucket(max(1.0, self._rate_per_s), clock())

    # -- loops

    async def run(self) -> None:
        """Decide and order until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_demand())
            group.create_task(self._run_orders())

    async def _run_orders(self) -> None:
        while True:
            interval_s = (
                TICK_INTERVAL_S
                + TICK_INTERVAL_PER_REPLICA_S * self._views.replica_count
            )
            await asyncio.sleep(min(MAX_TICK_INTERVAL_S, interval_s))
            await self.tick()

    async def _run_demand(self) -> None:
        while True:
            is_holder = self._tenure.is_holder
            await asyncio.sleep(DEMAND_INTERVAL_S if is_holder else TICK_INTERVAL_S)
            await self.update_demand()

    async def update_demand(self) -> None:
        """Ask the dispatcher for the demand while this daemon holds the duty."""
        if not self._tenure.is_holder or not self._specs():
            return
        asked_s = self._clock()
        fence = self._tenure.fence
        is_first = fence != self._adopted_fence
        try:
            report = await self._fetch_demand(self._unsent_standing(), is_first)
        except CodedError as error:
            self._metrics.add("scaling_demand_failures")
            logger.info("scaling: demand not known", reason=error.reason)
            return
        if is_first:
            self._adopt_standing(report.standing)
            self._adopted_fence = fence
        self._report = report
        self._report_s = asked_s

    def _unsent_standing(self) -> str:
        """Return the numbers of replicas to keep if the dispatcher has others."""
        report = self._fresh_report()
        if report is None or self._tenure.fence != self._adopted_fence:
            return ""
        standing = encode_standing(
            {service: memory.standing for service, memory in self._memories.items()}
        )
        return standing if digest_of(standing) != report.standing_digest else ""

    def _adopt_standing(self, encoded: str) -> None:
        try:
            standing = decode_standing(encoded)
        except ValueError as error:
            logger.warning("scaling: numbers of replicas not decoded: {}", error)
            return
        for service, counts in standing.items():
            self._memory(service).adopt_standing(counts)
        if standing:
            logger.info("scaling: earlier numbers of replicas adopted", kept=encoded)

    # -- one tick

    async def tick(self) -> None:
        """Observe the replicas and, as the holder, order what is due."""
        self._check_thaw()
        specs = self._specs()
        for service in self._memories.keys() - {spec.service for spec in specs}:
            del self._memories[service]
        if not specs:
            return
        if not self._tenure.is_holder:
            self._held_fence = 0
            self._observe_start(specs)
            return
        if not self._begin_tenure(self._tenure.fence):
            return
        for _ in range(MAX_ROUNDS):
            listed = self._fresh_list()
            if listed is None:
                return
            grouped = self._views.group(listed, specs)
            # A slow answer about one service must not delay the others.
            refusals = await asyncio.gather(
                *(
                    self._decide_service(spec, listed, grouped[spec.service])
                    for spec in specs
                )
            )
            if not any(refusals):
                return

    def _check_thaw(self) -> None:
        """Distrust what was known before the VM was suspended."""
        if not self._was_suspended():
            return
        self._suspended_s = self._suspended()
        self._thawed_s = self._clock()
        self._report = None
        for memory in self._memories.values():
            memory.surplus_since_s = None

    def _was_suspended(self) -> bool:
        return self._suspended() - self._suspended_s > MIN_SUSPENSION_S

    def _begin_tenure(self, fence: int) -> bool:
        """Return whether orders may begin: a new holder first asks for the demand."""
        now_s = self._clock()
        if fence != self._held_fence:
            self._held_fence = fence
            self._held_since_s = now_s
            for memory in self._memories.values():
                memory.begin_tenure()
            logger.info("scaling: this daemon orders replicas", fence=fence)
        is_informed = self._adopted_fence == fence
        return is_informed or now_s - self._held_since_s >= FIRST_DEMAND_S

    def _observe_start(self, specs: tuple[ScalingSpec, ...]) -> None:
        """Count the replicas that are there at the start, for a later tenure."""
        now_s = self._clock()
        starting = [
            spec for spec in specs if self._memory(spec.service).is_starting(now_s)
        ]
        listed = self._read_replicas() if starting else None
        if listed is None or listed.age_s > MAX_VIEW_AGE_S:
            return
        grouped = self._views.group(listed, specs)
        for spec in starting:
            view = self._views.build(grouped[spec.service], frozenset())
            self._memory(spec.service).observe(spec, view, None, now_s)

    def _memory(self, service: str) -> ServiceMemory:
        return self._memories.setdefault(service, ServiceMemory())

    def _fresh_list(self) -> ReplicaList | None:
        """Return the list of replicas, None if it is not complete or too old.

        A follower's copy was confirmed by the dispatcher's, so both ages add up.
        """
        listed = self._read_replicas()
        is_stale = listed is not None and (
            self._age_s(listed) > MAX_VIEW_AGE_S
            or self._clock() - listed.age_s < self._thawed_s + THAW_SETTLE_S
        )
        if is_stale and not self._is_stale:
            self._metrics.add("scaling_stale_views")
            assert listed is not None
            logger.warning(
                "scaling: nothing is ordered, the list of replicas is too old",
                revision=listed.revision,
                age_ms=int(self._age_s(listed) * 1000),
            )
        self._is_stale = is_stale
        return None if is_stale else listed

    def _age_s(self, listed: ReplicaList) -> float:
        report = self._fresh_report()
        return listed.age_s + (report.view_age_s if report is not None else 0.0)

    def _fresh_report(self) -> DemandReport | None:
        is_fresh = self._clock() - self._report_s <= MAX_DEMAND_AGE_S
        return self._report if is_fresh else None

    async def _decide_service(
        self, spec: ScalingSpec, listed: ReplicaList, states: list[ReplicaState]
    ) -> bool:
        """Order what one service needs; return whether a pool refused an order."""
        report = self._fresh_report()
        slow_ids = frozenset(report.slow_ids) if report else frozenset()
        view = self._views.build(states, slow_ids)
        demand = report.services.get(spec.service) if report else None
        memory = self._memory(spec.service)
        memory.observe(spec, view, demand, self._clock())
        decision = choose_orders(spec, view, demand, memory, self._clock())
        self._publish(spec, view, decision)
        allowed = self._admit(decision.orders)
        ends = await asyncio.gather(*(self._send(order) for order in allowed))
        for order, end in zip(allowed, ends, strict=True):
            self._log_order(spec, view, demand, listed, memory, decision, order, end)
            memory.record_result(order, end, view, self._clock())
        return DutyEnd.CONFLICT in ends

    def _admit(self, orders: tuple[ReplicaOrder, ...]) -> list[ReplicaOrder]:
        """Return the orders that the API's rate limit allows now."""
        burst = max(1.0, self._rate_per_s)
        self._permits.refill(self._clock(), self._rate_per_s, burst)
        allowed = []
        for order in orders:
            if self._permits.level < 1.0:
                break
            self._permits.take()
            allowed.append(order)
        return allowed

    async def _send(self, order: ReplicaOrder) -> DutyEnd:
        async def send(terms: DutyTerms) -> DutyEnd:
            # The VM may have been suspended since the decision.
            def may_send() -> bool:
                return not self._was_suspended() and terms.may_send()

            checked = dataclasses.replace(terms, may_send=may_send)
            return await self._api.order_replicas(order, checked)

        return await self._tenure.call(send)

    # -- what operators see

    def _publish(
        self, spec: ScalingSpec, view: ServiceView, decision: Decision
    ) -> None:
        service = spec.service
        prices = dict(spec.zone_prices)
        price = sum(
            count * _unit_price(spec, prices, pool)
            for pool, count in view.living.items()
        )
        self._metrics.set("scaling_price_per_s", price, service=service)
        self._metrics.set("scaling_wanted", decision.wanted, service=service)
        self._metrics.set("scaling_usable", decision.usable, service=service)

    def _log_order(
        self,
        spec: ScalingSpec,
        view: ServiceView,
        demand: ServiceDemand | None,
        listed: ReplicaList,
        memory: ServiceMemory,
        decision: Decision,
        order: ReplicaOrder,
        end: DutyEnd,
    ) -> None:
        pool = pool_of(order)
        kind = "spot" if order.is_spot else "regular"
        self._metrics.add("scaling_orders", service=spec.service, end=end.value)
        logger.info(
            "scaling: order",
            service=spec.service,
            zone=order.availability_zone,
            kind=kind,
            target=order.replicas,
            end=end.value,
            reason=decision.reason,
            wanted=decision.wanted,
            usable=decision.usable,
            living_here=view.living[pool],
            living=view.living_count,
            slow=view.slow_count,
            booting=memory.booting_count,
            steps=-1 if demand is None else len(demand.steps),
            tokens_left=-1 if demand is None else int(_tokens_left(demand)),
            tokens_per_s=-1 if demand is None else int(demand.tokens_per_s),
            arrivals_per_s=-1 if demand is None else round(demand.arrivals_per_s, 1),
            busy_slots=-1 if demand is None else round(demand.busy_slots, 1),
            price=round(_unit_price(spec, dict(spec.zone_prices), pool), 4),
            revision=listed.revision,
            view_age_ms=int(self._age_s(listed) * 1000),
            fence=self._held_fence,
        )


def _unit_price(spec: ScalingSpec, prices: dict[str, float], pool: Pool) -> float:
    ratio = spec.spot_price_ratio if pool.is_spot else 1.0
    return prices.get(pool.zone, 0.0) * ratio


def _tokens_left(demand: ServiceDemand) -> float:
    return sum(step.tokens_left for step in demand.steps)
