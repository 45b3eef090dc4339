"""features.support.scaling_world: a platform that grants replicas, on a fake clock."""

import asyncio
import itertools
import math
from collections.abc import Awaitable, Callable

from greengagetack.coordination.duty_api import DutyEnd, DutyTerms, ReplicaOrder
from greengagetack.errors import PeerUnreachable
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.replica import Replica, ReplicaState
from greengagetack.scaling.listing import ReplicaList
from greengagetack.scaling.need import DemandReport, ServiceDemand, StepDemand
from greengagetack.scaling.scaler import TICK_INTERVAL_S, Scaler
from greengagetack.scaling.spec import ScalingSpec
from greengagetack.scaling.standing import digest_of
from greengagetack.scaling.view import Pool, pool_of
from greengagetack.world import Address

__all__ = ["ScalingWorld", "parse_pools"]

SERVICE = "writer"
BOOT_S = 4.0
SLOTS = 4
TOKENS_PER_S = 100.0
DRAIN_S = 1.0
WAVE_S = 11.0
CALLS_PER_S = 10.0


def parse_pools(text: str) -> dict[Pool, int]:
    """Return counts written as ``a:4 b~:2``; a tilde marks the spot kind."""
    found = {}
    for part in text.split():
        name, _, count = part.partition(":")
        found[Pool(name.rstrip("~"), name.endswith("~"))] = int(count)
    return found


class FakeTenure:
    """Holds the duty or not, as the test says."""

    def __init__(self) -> None:
        self.is_holder = True
        self.fence = 1

    async def call(self, send: Callable[[DutyTerms], Awaitable[DutyEnd]]) -> DutyEnd:
        """Make a call if the duty is held."""
        if not self.is_holder:
            return DutyEnd.NOT_SENT
        return await send(DutyTerms("vm", self.fence, lambda: self.is_holder))


class ScalingWorld:
    """Replicas of one service, and the scalers of two daemons.

    `orders` lists the orders as ``a~:3``, with ``!`` for a refusal and ``?`` for a lost
    answer, each with its time.
    """

    def __init__(self, pools: dict[Pool, int], spec: ScalingSpec) -> None:
        self.now_s = 1_000.0
        self.spec = spec
        self.states: dict[str, ReplicaState] = {}
        self.orders: list[tuple[float, str]] = []
        self.dry: set[Pool] = set()
        self.lost_answers = 0
        self.view_age_s = 0.0
        self.suspended_s = 0.0
        self.is_demand_known = True
        self.caller_load = 0.0
        self.wave = 0.0
        self.steps: list[tuple[float, int, float]] = []
        self.slow_ids: list[str] = []
        # What the dispatcher keeps for a successor.
        self.standing = ""
        self._numbers = itertools.count(1)
        self._pending: list[tuple[float, Pool]] = []
        self._ends: list[tuple[float, str]] = []
        for pool, count in pools.items():
            for _ in range(count):
                self._list(pool)
        self.tenures = [FakeTenure(), FakeTenure()]
        self.tenures[1].is_holder = False
        self.scalers = [self._scaler(tenure) for tenure in self.tenures]

    def _scaler(self, tenure: FakeTenure) -> Scaler:
        return Scaler(
            tenure,
            self,  # type: ignore[arg-type]
            lambda: (self.spec,),
            lambda: ReplicaList(tuple(self.states.values()), 7, self.view_age_s),
            self._fetch_demand,
            CALLS_PER_S,
            Metrics(),
            lambda: self.now_s,
            lambda: self.suspended_s,
        )

    def _list(self, pool: Pool) -> None:
        name = f"r{next(self._numbers)}"
        address = Address("127.0.0.1", 1)
        replica = Replica(
            name, SERVICE, address, pool.zone, SLOTS, False, is_spot=pool.is_spot
        )
        self.states[name] = ReplicaState(replica)

    def members(self, pool: Pool) -> list[str]:
        """Return the replicas of a pool that do not leave."""
        return [
            name
            for name, state in self.states.items()
            if pool == Pool(state.replica.availability_zone, state.replica.is_spot)
            and not state.replica.is_draining
        ]

    def drain(self, name: str, leaves_in_ms: float | None) -> None:
        """Let a replica leave; `leaves_in_ms` is set for one that is reclaimed."""
        replica = self.states[name].replica
        self.states[name].replica = Replica(
            name,
            SERVICE,
            replica.address,
            replica.availability_zone,
            SLOTS,
            True,
            is_spot=replica.is_spot,
            leaves_in_ms=leaves_in_ms,
        )
        left_s = DRAIN_S if leaves_in_ms is None else leaves_in_ms / 1_000
        self._ends.append((self.now_s + left_s, name))

    # -- the platform's API

    async def order_replicas(self, order: ReplicaOrder, terms: DutyTerms) -> DutyEnd:
        """Carry an order out, as the platform does."""
        pool = pool_of(order)
        text = f"{pool.zone}{'~' if pool.is_spot else ''}:{order.replicas}"
        if pool in self.dry:
            self.orders.append((self.now_s, f"{text}!"))
            return DutyEnd.CONFLICT
        members = self.members(pool)
        booting = sum(1 for _, other in self._pending if other == pool)
        for _ in range(order.replicas - len(members) - booting):
            self._pending.append((self.now_s + BOOT_S, pool))
        for name in members[order.replicas :]:
            self.drain(name, None)
        if self.lost_answers:
            self.lost_answers -= 1
            self.orders.append((self.now_s, f"{text}?"))
            return DutyEnd.UNKNOWN
        self.orders.append((self.now_s, text))
        return DutyEnd.ACCEPTED

    # -- demand

    async def _fetch_demand(self, standing: str, wants_standing: bool) -> DemandReport:
        if not self.is_demand_known:
            raise PeerUnreachable("the test says so", 0.1)
        self.standing = standing or self.standing
        swing = self.wave * math.sin(2 * math.pi * self.now_s / WAVE_S)
        busy = self.caller_load * (1 + swing) * SLOTS
        steps = tuple(
            StepDemand(tokens, items, due_s - self.now_s)
            for tokens, items, due_s in self.steps
        )
        demand = ServiceDemand(steps, TOKENS_PER_S, float(SLOTS), 1.0, busy)
        return DemandReport(
            {SERVICE: demand},
            tuple(self.slow_ids),
            standing_digest=digest_of(self.standing),
            standing=self.standing if wants_standing else "",
        )

    # -- time

    async def _advance(self, duration_s: float) -> None:
        ticks = round(duration_s / TICK_INTERVAL_S)
        for tick in range(ticks):
            for scaler in self.scalers:
                if tick % 4 == 0:
                    await scaler.update_demand()
                await scaler.tick()
            self.now_s += TICK_INTERVAL_S
            self._apply_due()

    def _apply_due(self) -> None:
        due = [entry for entry in self._pending if entry[0] <= self.now_s]
        self._pending = [entry for entry in self._pending if entry[0] > self.now_s]
        for _, pool in due:
            self._list(pool)
        for ends_s, name in self._ends:
            if ends_s <= self.now_s:
                self.states.pop(name, None)

    def advance(self, duration_s: float) -> None:
        """Let time pass."""
        asyncio.run(self._advance(duration_s))

    def take_orders(self) -> list[str]:
        """Return the orders since the last call."""
        found = [text for _, text in self.orders]
        self.orders.clear()
        return found
