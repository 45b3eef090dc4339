"""features.support.admission_load: daemons and callers before a plain service."""

import heapq
import itertools
import random
from collections import defaultdict, deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any
from unittest.mock import patch

from greengagetack.errors import CodedError, Overloaded
from greengagetack.facts import FactTable
from greengagetack.gateway.call import Call
from greengagetack.gateway.congestion import Congestion
from greengagetack.gateway.customer_shares import TICK_S, CustomerShares
from greengagetack.gateway.customers import Customer, CustomerDirectory
from greengagetack.gateway.request_admission import RequestAdmission
from greengagetack.gateway.routes import RequestKind, Route
from greengagetack.gateway.zone_load import ZoneLoads
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import Replica, ReplicaState
from greengagetack.world import Address

SERVICE = "plain"
SLOTS = 6
QUEUE = 24
WORK_S = 0.04
START_S = 1_000.0
PING_S = 1.0
REPLACE_S = 3.0
# The owner is replaced with every third of these.
OWNER_REPLACEMENTS = 3
MAX_RETURNS = 2
HEAVY = "c0"
ROUTE = Route(
    "route",
    "host",
    "/",
    RequestKind.IDEMPOTENT,
    ((SERVICE, 1.0),),
    10_000.0,
    0.0,
    1,
    2,
)


@dataclass(eq=False)
class SimulatedReplica:
    """A replica with its places and its own queue."""

    running: int = 0
    queue: deque["Attempt"] = field(default_factory=deque)


@dataclass(eq=False)
class Caller:
    """A request of a customer over all its returns."""

    customer: str
    arrived_s: float
    deadline_s: float
    returns: int = 0


@dataclass(eq=False)
class Attempt:
    """A request at a replica."""

    caller: Caller
    state: ReplicaState
    sent_s: float
    admission: RequestAdmission


class Daemon:
    """A daemon with what it knows."""

    def __init__(self, load: "AdmissionLoad", number: int) -> None:
        self.number = number
        self.table = FactTable(
            f"daemon-{next(load.numbers)}", lambda: load.owner is self
        )
        self.fleet = Fleet(lambda: float("-inf"))
        self.fleet.update(load.replicas, [])
        clock = lambda: load.now_s  # noqa: E731
        count = lambda: len(load.daemons)  # noqa: E731
        rng = load.rng
        self.zones = ZoneLoads(f"n{number}", self.fleet, self.table, count, clock)
        self.congestion = Congestion(self.fleet, self.zones.used_share, clock, rng)
        self.shares = CustomerShares(
            f"n{number}",
            self.table,
            lambda: load.customers,
            self.congestion,
            count,
            Metrics(),
            clock,
            rng,
        )


def _run(step: Coroutine[Any, Any, None]) -> None:
    try:
        step.send(None)
    except StopIteration:
        return
    raise AssertionError("the step has waited")


class AdmissionLoad:
    """Poisson arrivals of customers' requests at random daemons."""

    def __init__(
        self,
        daemons: int,
        customers: int,
        replicas: int = 3,
        seed: int = 1,
        time_s: float = 1.0,
        is_changing: bool = False,
        has_shares: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.numbers = itertools.count()
        self.now_s = START_S
        self._time_s = time_s
        self._is_changing = is_changing
        self._has_shares = has_shares
        self.capacity_per_s = replicas * SLOTS / WORK_S
        self.replicas = [
            Replica(f"r{n}", SERVICE, Address("10.0.0.1", n + 1), "z", SLOTS, False)
            for n in range(replicas)
        ]
        self.names = [f"c{n}" for n in range(customers)]
        self.customers = CustomerDirectory(
            Customer(name, (f"key-{name}",)) for name in self.names
        )
        self._places = {r.replica_id: SimulatedReplica() for r in self.replicas}
        self.owner: Daemon | None = None
        self._replacements = 0
        self.daemons: list[Daemon] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.weights = dict.fromkeys(self.names, 1.0)
        # Requests offered a second, as a multiple of the capacity, by the second.
        self.factor: Callable[[float], float] = lambda at_s: 1.0
        self.asked: dict[str, int] = defaultdict(int)
        self.served: dict[str, int] = defaultdict(int)
        # Time, customer and whether by share, of each refusal, and of each return.
        self.refusals: list[tuple[float, str, bool]] = []
        self.returns_s: list[float] = []
        # Decisions on requests that all replicas or a daemon may refuse.
        self.first: list[bool] = []
        self.again: list[bool] = []
        self.idle_refusals = 0
        self.ran_late = 0

    def _at(self, at_s: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self.numbers), step))

    def run(self, seconds: float, daemons: int) -> None:
        """Run from the start."""
        with patch("time.monotonic", lambda: self.now_s):
            for number in range(daemons):
                self._join(number)
            self.owner = self.daemons[0]
            self._arrive()
            if self._is_changing:
                self._at(START_S + REPLACE_S, self._replace)
            while self._events:
                self.now_s, _, step = heapq.heappop(self._events)
                if self.now_s > START_S + seconds:
                    return
                step()

    # -- daemons

    def _join(self, number: int) -> None:
        daemon = Daemon(self, number)
        if number < len(self.daemons):
            self.daemons[number] = daemon
        else:
            self.daemons.append(daemon)
        self._at(self.now_s + self.rng.random() * PING_S, lambda: self._tick(daemon, 0))

    def _tick(self, daemon: Daemon, count: int) -> None:
        if self.daemons[daemon.number] is not daemon:
            return
        _run(daemon.zones.tick())
        if count % 2 == 0:
            _run(daemon.shares.tick())
            daemon.table.forget_expired()
            self._ping(daemon)
        self._at(self.now_s + TICK_S * 0.503, lambda: self._tick(daemon, count + 1))

    def _ping(self, daemon: Daemon) -> None:
        owner = self.owner
        if owner is None or owner is daemon:
            return
        for sender, receiver in (
            (daemon.zones, owner.zones),
            (daemon.shares, owner.shares),
        ):
            if text := sender.take_report():
                receiver.handle_report(f"n{daemon.number}", text)
        daemon.table.apply(owner.table.update_after(daemon.table.cursor))

    def _replace(self) -> None:
        """Replace a tenth of the daemons, which forget all, and at times the owner."""
        count = max(1, len(self.daemons) // 10)
        for number in self.rng.sample(range(len(self.daemons)), count):
            self._join(number)
        self._replacements += 1
        if self.owner not in self.daemons or not (
            self._replacements % OWNER_REPLACEMENTS
        ):
            self.owner = self.rng.choice(self.daemons)
        self._at(self.now_s + REPLACE_S, self._replace)

    # -- callers

    def _arrive(self) -> None:
        rate_per_s = self.capacity_per_s * self.factor(self.now_s - START_S)
        self._at(self.now_s + self.rng.expovariate(rate_per_s), self._arrive)
        weights = list(self.weights.values())
        self.send(self.rng.choices(self.names, weights)[0])

    def burst(self, count: int, at_s: float) -> None:
        """Let callers of all customers send requests at the same time."""
        for number in range(count):
            name = self.names[number % len(self.names)]
            self._at(START_S + at_s, lambda name=name: self.send(name))

    def send(self, customer: str) -> None:
        """Let a caller send a request now."""
        self.asked[customer] += 1
        self._offer(Caller(customer, self.now_s, self.now_s + self._time_s))

    def _offer(self, caller: Caller) -> None:
        daemon = self.rng.choice(self.daemons)
        call = Call(
            f"q{next(self.numbers)}",
            b"POST",
            b"/",
            (),
            b"",
            customer=caller.customer if self._has_shares else None,
        )
        admission = RequestAdmission(
            daemon.congestion,
            daemon.shares if self._has_shares else None,
            call,
            ROUTE,
            caller.deadline_s,
        )
        is_free = any(place.running < SLOTS for place in self._places.values())
        try:
            admission.check()
        except CodedError as error:
            self.idle_refusals += is_free
            assert error.retry_after_s is not None
            is_by_share = isinstance(error, Overloaded)
            self._refuse(caller, admission, error.retry_after_s, is_by_share)
            return
        states = sorted(
            daemon.fleet.all_replicas(), key=lambda s: (s.in_flight, self.rng.random())
        )
        for state in states:
            place = self._places[state.replica.replica_id]
            if place.running >= SLOTS and len(place.queue) >= QUEUE:
                continue
            state.record_send()
            place.queue.append(Attempt(caller, state, self.now_s, admission))
            self._count(caller, True)
            self._start(place)
            return
        admission.record_full()
        self._refuse(caller, admission, admission.retry_after_s(), False)

    def _count(self, caller: Caller, is_admitted: bool) -> None:
        (self.again if caller.returns else self.first).append(is_admitted)

    def _refuse(
        self,
        caller: Caller,
        admission: RequestAdmission,
        retry_s: float,
        is_by_share: bool,
    ) -> None:
        admission.record_outcome(False)
        self.refusals.append((self.now_s - START_S, caller.customer, is_by_share))
        if not is_by_share:
            self._count(caller, False)
        if caller.returns >= MAX_RETURNS:
            return
        caller.returns += 1
        at_s = self.now_s + min(retry_s, (caller.deadline_s - self.now_s) / 3)
        self.returns_s.append(at_s - START_S)
        self._at(at_s, lambda: self._offer(caller))

    # -- replicas

    def _start(self, place: SimulatedReplica) -> None:
        while place.queue and place.running < SLOTS:
            attempt = place.queue.popleft()
            if attempt.caller.deadline_s < self.now_s:
                attempt.state.in_flight -= 1
                attempt.admission.record_outcome(False)
                self.ran_late += 1
                continue
            place.running += 1
            self._end_later(place, attempt)

    def _end_later(self, place: SimulatedReplica, attempt: Attempt) -> None:
        work_s = WORK_S * self.rng.uniform(0.8, 1.2)
        self._at(self.now_s + work_s, lambda: self._end(place, attempt))

    def _end(self, place: SimulatedReplica, attempt: Attempt) -> None:
        place.running -= 1
        attempt.state.in_flight -= 1
        attempt.state.record_success(self.now_s - attempt.sent_s)
        attempt.admission.record_outcome(True)
        self.served[attempt.caller.customer] += 1
        self._start(place)

    # -- results

    def worst_tenth_ratio(self) -> float:
        """Return how often the worst tenth is served, relative to all but the heavy."""
        ratios = sorted(
            self.served[name] / max(1, self.asked[name])
            for name in self.names
            if name != HEAVY
        )
        worst = ratios[: max(1, len(ratios) // 10)]
        return (sum(worst) / len(worst)) / (sum(ratios) / len(ratios))
