"""features.support.ejection_fleet: daemons that eject replicas, without a network."""

import asyncio
import heapq
import itertools
import random
from collections import defaultdict
from unittest.mock import patch

from greengagetack.errors import PeerUnreachable
from greengagetack.facts import FactTable
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.ejections import EjectionNotice, Ejections
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import Replica, ReplicaState
from greengagetack.world import Address

SERVICE = "plain"
REQUEST_S = 0.04
HANG_S = 0.6
PING_S = 1.0
STEP_S = 0.01


class _Daemon:
    """A daemon; daemon 0 owns the facts."""

    def __init__(self, parent: "EjectionFleet", number: int, replicas: int) -> None:
        self._parent = parent
        self.number = number
        self.fleet = Fleet(lambda: float("-inf"))
        entries = [
            Replica(f"r{n}", SERVICE, Address("10.0.0.1", n), "z", 6, False)
            for n in range(1, replicas + 1)
        ]
        self.facts = FactTable(f"daemon-{number}", lambda: number == 0)
        self.ejections = Ejections(
            f"n{number}",
            self.fleet,
            self,
            self.facts,
            Metrics(),
            lambda: len(parent.daemons),
        )
        self.fleet.update(entries, [])

    async def send_ejection(self, notice: EjectionNotice) -> None:
        """Send a notice to the owner."""
        if not self._parent.daemons:
            raise PeerUnreachable("no owner")
        self._parent.daemons[0].ejections.handle_notice(notice)

    def usable(self, now_s: float) -> list[ReplicaState]:
        """Return the replicas that may get a request."""
        return [s for s in self.fleet.all_replicas() if s.is_usable(now_s)]


class EjectionFleet:
    """Sends requests; `sent` counts them by second, daemon and replica."""

    def __init__(self, daemons: int, replicas: int, rate_per_s: float) -> None:
        self.now_s = 0.0
        self.daemons: list[_Daemon] = []
        self.daemons += [_Daemon(self, n, replicas) for n in range(daemons)]
        self.replicas = replicas
        self._rate_per_s = rate_per_s
        self._rng = random.Random(5)
        self.sent: dict[tuple[int, int, str], int] = defaultdict(int)
        # Seconds in which a daemon had ejected a replica.
        self.ejected: set[tuple[int, int, str]] = set()

    def run(self, fault: str, first_s: float, last_s: float, end_s: float) -> None:
        """Run with a fault of replica r1 for a time."""
        with patch("time.monotonic", lambda: self.now_s):
            asyncio.run(self._run(fault, first_s, last_s, end_s))

    async def _run(
        self, fault: str, first_s: float, last_s: float, end_s: float
    ) -> None:
        ends: list[tuple[float, int, _Daemon, ReplicaState, bool]] = []
        numbers = itertools.count()
        next_ping_s = self.now_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            is_faulty = first_s <= self.now_s < last_s
            for daemon in self.daemons:
                if self._rng.random() < self._rate_per_s * STEP_S:
                    state = self._rng.choice(daemon.usable(self.now_s))
                    state.record_send()
                    name = state.replica.replica_id
                    self.sent[int(self.now_s), daemon.number, name] += 1
                    failed = name == "r1" and is_faulty and self._fails(fault, daemon)
                    took_s = HANG_S if failed and fault == "hangs" else REQUEST_S
                    at_s = self.now_s + took_s
                    heapq.heappush(ends, (at_s, next(numbers), daemon, state, failed))
            while ends and ends[0][0] <= self.now_s:
                _, _, daemon, state, failed = heapq.heappop(ends)
                state.in_flight -= 1
                daemon.ejections.record(state, failed)
            # Lets the notices be sent.
            await asyncio.sleep(0)
            if self.now_s >= next_ping_s:
                next_ping_s += PING_S
                self._ping()

    def _fails(self, fault: str, daemon: _Daemon) -> bool:
        if fault == "fails half of its requests":
            return self._rng.random() < 0.5
        if fault.startswith("fails all requests of daemon"):
            return daemon.number == int(fault.split()[-1])
        assert fault == "hangs", fault
        return True

    def _ping(self) -> None:
        owner = self.daemons[0].facts
        for daemon in self.daemons:
            if daemon.number:
                daemon.facts.apply(owner.update_after(daemon.facts.cursor))
            daemon.facts.forget_expired()
            for state in daemon.fleet.all_replicas():
                if state.is_ejected:
                    name = state.replica.replica_id
                    self.ejected.add((int(self.now_s), daemon.number, name))

    def sent_to(self, name: str, first_s: int, last_s: int) -> int:
        """Return how many requests a replica got in a period."""
        return sum(
            count
            for (second, _, replica), count in self.sent.items()
            if replica == name and first_s <= second < last_s
        )
