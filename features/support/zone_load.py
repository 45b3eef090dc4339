"""features.support.zone_load: daemons of several zones before their replicas."""

import heapq
import itertools
import random
from collections import defaultdict, deque
from dataclasses import dataclass, field, replace
from unittest.mock import patch

from greengagetack.gateway.choice import choose_replica
from greengagetack.gateway.zone_load import MIN_PUBLISHED_SHARE
from greengagetack.gateway.zone_routing import ZoneRouting, expected_wait_s
from greengagetack.replicas.replica import Replica, ReplicaState
from greengagetack.replicas.zone_cost import ZoneCost
from greengagetack.world import Address

SERVICE = "plain"
ADDRESS = Address("10.0.0.1", 1)
SERVICE_S = 0.04
COST_S = 0.004
# Age of what daemons know of the use of a zone's places.
REPORT_S = 1.0


@dataclass(eq=False)
class SimulatedZone:
    """The replicas of a zone, as one queue before all their places."""

    name: str
    slots: int
    rate_per_s: float
    speed: float = 1.0
    running: int = 0
    queue: deque[tuple["SimulatedDaemon", float, bool]] = field(default_factory=deque)
    # Places used, summed over the time since the last report.
    used_slot_s: float = 0.0
    changed_s: float = 0.0
    reported: deque[float] = field(default_factory=lambda: deque([0.0], maxlen=2))

    def record_use(self, now_s: float) -> None:
        """Add the use since the last change to that of the period."""
        held = self.running + len(self.queue)
        self.used_slot_s += held * (now_s - self.changed_s)
        self.changed_s = now_s


class SimulatedDaemon:
    """A daemon with what it has observed of the replicas of each zone."""

    def __init__(self, zone: SimulatedZone, zones: list[SimulatedZone]) -> None:
        self.zone = zone
        self.states = {
            z.name: ReplicaState(Replica(z.name, SERVICE, ADDRESS, z.name, 0, False))
            for z in zones
        }
        self.routing = ZoneRouting(
            zone.name, ZoneCost(COST_S * 1_000, 0.0), lambda service, zone: used(zone)
        )
        by_name = {z.name: z for z in zones}

        def used(name: str) -> float:
            share = by_name[name].reported[0]
            return share if share >= MIN_PUBLISHED_SHARE else 0.0


class ZoneLoad:
    """Poisson arrivals at all daemons; `sent` counts the requests by second and way."""

    def __init__(
        self,
        zones: list[SimulatedZone],
        daemons: int,
        seed: int,
        has_shares: bool = True,
    ) -> None:
        self._has_shares = has_shares
        self._rng = random.Random(seed)
        self.zones = {zone.name: zone for zone in zones}
        self.daemons = [
            SimulatedDaemon(zones[n % len(zones)], zones) for n in range(daemons)
        ]
        self.sent: dict[tuple[int, str, str], int] = defaultdict(int)
        # Times of the requests by second, and by the zone and the way of their replica.
        self.taken_s: dict[tuple[int, str, bool], list[float]] = defaultdict(list)
        self.used: dict[str, list[float]] = defaultdict(list)
        self._events: list[tuple[float, int, str, object]] = []
        self._numbers = itertools.count()
        self.now_s = 0.0

    def _push(self, at_s: float, kind: str, what: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), kind, what))

    def run(self, until_s: float, changes: dict[float, tuple[str, str, float]]) -> None:
        """Run; `changes` sets a field of a zone at a time."""
        with patch("time.monotonic", lambda: self.now_s):
            self._run(until_s, changes)

    def _run(
        self, until_s: float, changes: dict[float, tuple[str, str, float]]
    ) -> None:
        for daemon in self.daemons:
            self._push(self._rng.random(), "arrival", daemon)
        self._push(0.0, "report", None)
        for at_s, change in changes.items():
            self._push(at_s, "change", change)
        while self._events:
            self.now_s, _, kind, what = heapq.heappop(self._events)
            if self.now_s > until_s:
                return
            if isinstance(what, SimulatedDaemon):
                self._arrive(what)
            elif kind == "report":
                self._report()
            elif kind == "change":
                zone, name, value = what  # type: ignore[misc]
                setattr(self.zones[zone], name, value)
            else:
                self._end(*what)  # type: ignore[misc]

    def _report(self) -> None:
        for zone in self.zones.values():
            zone.record_use(self.now_s)
            used = zone.used_slot_s / REPORT_S / max(1, zone.slots)
            zone.used_slot_s = 0.0
            self.used[zone.name].append(used)
            zone.reported.append(used)
        self._push(self.now_s + REPORT_S, "report", None)

    def _arrive(self, daemon: SimulatedDaemon) -> None:
        own = daemon.zone
        count = sum(d.zone is own for d in self.daemons)
        gap_s = self._rng.expovariate(max(1e-9, own.rate_per_s / count))
        self._push(self.now_s + gap_s, "arrival", daemon)
        states = []
        for zone in self.zones.values():
            state = daemon.states[zone.name]
            if zone.slots:
                state.replica = replace(state.replica, slots=zone.slots)
                states.append(state)
        chosen = self._choose(daemon, states)
        target = chosen.replica.replica_id
        chosen.record_send()
        self.sent[int(self.now_s), own.name, target] += 1
        zone = self.zones[target]
        zone.record_use(self.now_s)
        zone.queue.append((daemon, self.now_s, target != own.name))
        self._start(zone)

    def _choose(
        self, daemon: SimulatedDaemon, states: list[ReplicaState]
    ) -> ReplicaState:
        if self._has_shares:
            chosen = choose_replica(
                SERVICE, states, (), daemon.routing, self.now_s, self._rng
            )
            assert chosen is not None
            return chosen

        def cost(state: ReplicaState) -> float:
            """Return the cost before there were shares: with a fixed penalty."""
            wait_s = expected_wait_s(state, state.service_time_s)
            wait_s += COST_S * (state.replica.availability_zone != daemon.zone.name)
            return wait_s * (1 + 0.1 * self._rng.random())

        return min(states, key=cost)

    def _start(self, zone: SimulatedZone) -> None:
        while zone.queue and zone.running < zone.slots:
            daemon, arrived_s, is_far = zone.queue.popleft()
            zone.running += 1
            work_s = SERVICE_S / zone.speed * self._rng.uniform(0.8, 1.2)
            what = (zone, daemon, arrived_s, is_far)
            self._push(self.now_s + work_s, "end", what)

    def _end(
        self,
        zone: SimulatedZone,
        daemon: SimulatedDaemon,
        arrived_s: float,
        is_far: bool,
    ) -> None:
        zone.record_use(self.now_s)
        zone.running -= 1
        taken_s = self.now_s - arrived_s + COST_S * is_far
        daemon.states[zone.name].in_flight -= 1
        daemon.states[zone.name].record_success(taken_s)
        self.taken_s[int(self.now_s), zone.name, is_far].append(taken_s)
        self._start(zone)

    def share(self, zone: str, first_s: int, last_s: int) -> float:
        """Return the share of a zone's requests that left it in a period."""
        counts = {True: 0, False: 0}
        for (second, source, target), count in self.sent.items():
            if source == zone and first_s <= second < last_s:
                counts[source != target] += count
        return counts[True] / max(1, sum(counts.values()))

    def mean_ms(self, first_s: int, last_s: int) -> float:
        """Return the mean time of the requests that ended in a period."""
        taken_s = [
            one
            for (second, _, _), times_s in self.taken_s.items()
            if first_s <= second < last_s
            for one in times_s
        ]
        return 1_000 * sum(taken_s) / max(1, len(taken_s))
