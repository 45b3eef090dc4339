"""features.support.duty_fleet: daemons that hold duties, on simulated time."""

import asyncio
import time
from collections import Counter
from collections.abc import Mapping
from typing import Any
from unittest.mock import patch

from features.support.memory_objects import MemoryObjects
from greengagetack.accounting.clock import FleetClock
from greengagetack.accounting.collection import UsageTable
from greengagetack.accounting.report import ReportTimings
from greengagetack.accounting.reporter import Reporter
from greengagetack.accounting.sender import UsageSender
from greengagetack.accounting.windows import UsageBundle, UsageCounter
from greengagetack.coordination.duty_api import DutyEnd, DutyTerms
from greengagetack.coordination.duty_board import (
    DutyBoard,
    DutyHeartbeat,
    DutyHolder,
)
from greengagetack.coordination.duty_lease import DutyLease
from greengagetack.coordination.duty_seat import DutySeat
from greengagetack.coordination.messages import Member
from greengagetack.errors import PeerUnreachable, PlatformUnavailable
from greengagetack.facts import FactTable
from greengagetack.objects.base import PlatformObject
from greengagetack.observability.metrics import Metrics
from greengagetack.world import Address
from standins.duty_api import DutyCall, DutyJudge

__all__ = ["DUTY", "DutyFleet", "SimulatedDaemon"]

DUTY = "usage"
STEP_S = 0.1
# No step is at the end of a window.
START_S = 1_700_000_000.05
SPACING_S = 3.0
DISPATCHER_TAKEOVER_S = 1.5
PING_STEPS = 10
# Rounds of the event loop in which everything that does not wait is done.
LOOP_ROUNDS = 12
CUSTOMERS = ("acme", "birch", "cedar")


class _Store:
    """A daemon's way to the store."""

    def __init__(self, daemon: "SimulatedDaemon") -> None:
        self._daemon = daemon

    def _objects(self) -> MemoryObjects:
        if "store" in self._daemon.cut_from:
            raise PlatformUnavailable("cut from the store")
        return self._daemon.fleet.store

    async def read(self, path: str) -> PlatformObject | None:
        return await self._objects().read(path)

    async def write(
        self, path: str, value: Any, expected_version: int, limit_s: float = 2.0
    ) -> int:
        version = await self._objects().write(path, value, expected_version)
        if self._daemon.fleet.lost_writes:
            self._daemon.fleet.lost_writes -= 1
            raise PlatformUnavailable("the answer was lost")
        return version


class _Peers:
    """A daemon's calls to the others."""

    def __init__(self, daemon: "SimulatedDaemon") -> None:
        self._daemon = daemon

    def _receiver(self, address: Address | None) -> "SimulatedDaemon":
        fleet = self._daemon.fleet
        receiver = fleet.dispatcher if address is None else fleet.at(address)
        if receiver is None or not receiver.is_running:
            raise PeerUnreachable("no answer")
        if fleet.is_cut(self._daemon, receiver):
            raise PeerUnreachable("cut off")
        return receiver

    async def send_duty_heartbeat(
        self, heartbeat: DutyHeartbeat, address: Address | None = None
    ) -> bool:
        receiver = self._receiver(address)
        receiver.seat.hear(heartbeat)
        return receiver.board.receive(heartbeat)

    async def reaches_api(self, address: Address) -> bool:
        return await self._receiver(address).api.is_reachable()

    async def send_usage(self, address: Address, bundle: UsageBundle) -> None:
        self._daemon.fleet.usage_messages += 1
        self._receiver(address).sender.receive(bundle)


class _Api:
    """A daemon's way to the platform's API."""

    def __init__(self, daemon: "SimulatedDaemon") -> None:
        self._daemon = daemon

    async def is_reachable(self) -> bool:
        return "api" not in self._daemon.cut_from and not self._daemon.fleet.is_api_down

    async def report_usage(
        self, window: int, counts: Mapping[str, int], terms: DutyTerms
    ) -> DutyEnd:
        fleet = self._daemon.fleet
        if not await self.is_reachable():
            return DutyEnd.NOT_SENT
        # A connection is open; the VM may be frozen before the call is written to it.
        await self._daemon.may_write.wait()
        if not terms.may_send():
            return DutyEnd.NOT_SENT
        body = {"window": window, "counts": dict(counts)}
        call = DutyCall(DUTY, terms.holder, terms.fence, fleet.now_s, body)
        fleet.judge.judge(call)
        if fleet.lost_answers:
            fleet.lost_answers -= 1
            return DutyEnd.UNKNOWN
        return DutyEnd.ACCEPTED


class _Claim:
    """What a daemon knows of the dispatcher."""

    def __init__(self, daemon: "SimulatedDaemon") -> None:
        self._daemon = daemon

    @property
    def holder(self) -> Member | None:
        dispatcher = self._daemon.fleet.dispatcher
        return None if dispatcher is None else dispatcher.member

    @property
    def is_acting(self) -> bool:
        return self._daemon.fleet.dispatcher is self._daemon


class SimulatedDaemon:
    """The parts of a daemon that take part in duties."""

    def __init__(self, fleet: "DutyFleet", number: int, process: int = 1) -> None:
        self.fleet = fleet
        self.number = number
        self.node = f"vm-{number}"
        self.is_running = True
        self.is_frozen = False
        self.may_write = asyncio.Event()
        self.may_write.set()
        self.cut_from: set[str] = set()
        cores = fleet.cores[number % len(fleet.cores)]
        control = f"10.0.0.{number}:1"
        incarnation = f"{self.node}-{process}"
        self.member = Member(self.node, incarnation, control, "zone-a", cores=cores)
        skew_s = fleet.skews_s.get(number, 0.0)
        self.clock = FleetClock(lambda: fleet.now_s, lambda: fleet.now_s + skew_s)
        metrics = Metrics()
        self.facts = FactTable(incarnation, lambda: fleet.dispatcher is self)
        self.board = DutyBoard(self.facts)
        self.api = _Api(self)
        store = _Store(self)
        lease = DutyLease(
            self.node,
            store,
            "duties/usage",
            SPACING_S,
            DUTY,
            3.0,
            1.2,  # type: ignore[arg-type]
        )
        peers = _Peers(self)
        self.seat = DutySeat(
            DUTY,
            self.member,
            lease,
            self.board,
            fleet,
            _Claim(self),
            peers,
            self.api,  # type: ignore[arg-type]
            metrics,
        )
        self.counter = UsageCounter(
            self.node, incarnation, self.clock.now_s, fleet.window_s, metrics
        )
        self.table = UsageTable()
        self.sender = UsageSender(
            self.node,
            self.counter,
            self.table,
            lambda: self.board.holder(DUTY),
            fleet.members,
            self.seat.successors,
            peers,
            metrics,
        )
        self.seat.on_release = self.sender.hand_over
        self.reporter = Reporter(
            self.seat,
            self.api,
            store,
            self.counter,
            self.table,
            lambda: list(fleet.members()),
            self.sender.update,
            ReportTimings.for_due(fleet.window_s, 10.0),
            10.0,
            metrics,
        )
        self._is_send_due = False
        self._next_send_s = 0.0
        self.facts.subscribe(DutyHolder, self._on_holder)
        self._step: asyncio.Task[None] | None = None
        self._report: asyncio.Task[None] | None = None

    def _on_holder(self, duty: str, holder: DutyHolder | None) -> None:
        self._is_send_due = True

    def start_step(self, number: int) -> None:
        """Do what is due in a step of time; what still waits goes on."""
        self._count(number)
        if self._step is None or self._step.done():
            self._step = asyncio.create_task(self._run_step(number))
        if self._report is None or self._report.done():
            self._report = asyncio.create_task(self.reporter.tick())

    def _count(self, number: int) -> None:
        if self.fleet.is_idle:
            return
        customer = CUSTOMERS[(number + self.number) % len(CUSTOMERS)]
        self.counter.record(customer, self.clock.now_s())
        window = int(self.fleet.now_s // self.fleet.window_s)
        self.fleet.truth[window, customer] += 1

    async def _run_step(self, number: int) -> None:
        if (number + self.number) % PING_STEPS == 0:
            self._ping()
        self.board.tick()
        await self.seat.tick()
        if number % 10 == 0 or self.seat.is_candidate:
            await self.seat.beat()
        if number % 10 == 5:
            await self.seat.check_contact()
        if self._is_send_due or self.clock.now_s() >= self._next_send_s:
            self._is_send_due = False
            self._next_send_s = self.sender.next_send_s()
            await self.sender.send()

    def _ping(self) -> None:
        dispatcher = self.fleet.dispatcher
        if dispatcher is None or dispatcher is self or not dispatcher.is_running:
            return
        if dispatcher.is_frozen or self.fleet.is_cut(self, dispatcher):
            return
        offset_ms = self.clock.offset_ms(dispatcher.member.incarnation)
        if offset_ms is not None:
            dispatcher.clock.record_offset(self.node, offset_ms)
        times = dispatcher.clock.times()
        incarnation = dispatcher.member.incarnation
        self.clock.learn(incarnation, *times, self.clock.steady_s())
        self.facts.apply(dispatcher.facts.update_after(self.facts.cursor))


class DutyFleet:
    """Daemons, a store and the platform's API."""

    def __init__(
        self,
        count: int,
        cores: tuple[float, ...] = (2.0,),
        skews_s: dict[int, float] | None = None,
        window_s: float = 5.0,
    ) -> None:
        self.now_s = START_S
        self.cores = cores
        self.skews_s = skews_s or {}
        self.window_s = window_s
        self.is_idle = False
        self.is_api_down = False
        self.lost_answers = 0
        self.lost_writes = 0
        self.usage_messages = 0
        self.store = MemoryObjects()
        self.judge = DutyJudge(SPACING_S, window_s, 10.0, lambda: self.now_s)
        self.truth: Counter[tuple[int, str]] = Counter()
        self.pair_cuts: set[frozenset[str]] = set()
        self.dispatcher: SimulatedDaemon | None = None
        # When the failure of a scenario began.
        self.failed_s = START_S
        self._dispatcher_lost_s = 0.0
        self._step = 0
        self.daemons: dict[str, SimulatedDaemon] = {}
        with self.simulated_time():
            for number in range(1, count + 1):
                daemon = SimulatedDaemon(self, number)
                self.daemons[daemon.node] = daemon
        self.dispatcher = self.daemons[f"vm-{count}"]

    def members(self) -> dict[str, Member]:
        """Return the listed daemons, also those that have failed."""
        return {node: daemon.member for node, daemon in self.daemons.items()}

    def at(self, address: Address) -> SimulatedDaemon | None:
        """Return the daemon at an address."""
        number = address.host.rpartition(".")[2]
        return self.daemons.get(f"vm-{number}")

    def is_cut(self, one: SimulatedDaemon, other: SimulatedDaemon) -> bool:
        """Whether two daemons cannot reach each other, or one does not answer."""
        pair = frozenset((one.node, other.node))
        return pair in self.pair_cuts or one.is_frozen or other.is_frozen

    def holders(self) -> list[SimulatedDaemon]:
        """Return the daemons that may make calls now."""
        with self.simulated_time():
            return [
                daemon
                for daemon in self.daemons.values()
                if daemon.is_running and not daemon.is_frozen and daemon.seat.is_holder
            ]

    def simulated_time(self) -> Any:
        """Return a context in which all clocks show the simulated time."""

        def clock_gettime(clock: int) -> float:
            return self.now_s

        return patch.multiple(
            time,
            monotonic=lambda: self.now_s,
            time=lambda: self.now_s,
            clock_gettime=clock_gettime,
        )

    def restart(self, node: str) -> None:
        """Start a daemon's process again, on the same VM."""
        with self.simulated_time():
            self.daemons[node] = SimulatedDaemon(self, self.daemons[node].number, 2)

    async def run(self, duration_s: float) -> None:
        """Let time pass for all daemons."""
        for _ in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            self._step += 1
            with self.simulated_time():
                self._replace_dispatcher()
                for daemon in self.daemons.values():
                    if daemon.is_running and not daemon.is_frozen:
                        daemon.start_step(self._step)
                for _ in range(LOOP_ROUNDS):
                    await asyncio.sleep(0)

    def _replace_dispatcher(self) -> None:
        dispatcher = self.dispatcher
        if dispatcher is None or (dispatcher.is_running and not dispatcher.is_frozen):
            self._dispatcher_lost_s = self.now_s
            return
        if self.now_s - self._dispatcher_lost_s < DISPATCHER_TAKEOVER_S:
            return
        running = [d for d in self.daemons.values() if d.is_running and not d.is_frozen]
        if running:
            self.dispatcher = running[-1]

    def true_counts(self, window: int) -> dict[str, int]:
        """Return each customer's requests of a window."""
        return {customer: self.truth[window, customer] for customer in CUSTOMERS}

    def errors(self) -> dict[int, float]:
        """Return the largest relative error of a customer's count by window."""
        return {
            window: max(
                abs(counts.get(customer, 0) - count) / max(1, count)
                for customer, count in self.true_counts(window).items()
            )
            for window, counts in self.judge.reports.items()
        }
