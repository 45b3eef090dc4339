"""features.support.limited_fleet: daemons that share a replica's limit, simulated."""

import asyncio
import random
from unittest.mock import patch

from greengagetack.errors import PeerUnreachable
from greengagetack.facts import FactTable
from greengagetack.grants import Grant
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.permits import (
    PermitRequest,
    Permits,
    RateLimitNotice,
)
from greengagetack.replicas.replica import Replica
from greengagetack.world import Address

__all__ = ["LimitedFleet", "most_in_window"]

CHANGE_INTERVAL_S = 10.0
# Time until a dead owner's successor takes over.
TAKEOVER_S = 1.0
# For how long a part of the daemons goes on asking a former owner.
SPLIT_S = 3.0
CLOCK = "greengagetack.replicas.permits.time.monotonic"


def most_in_window(times_s: list[float], window_s: float) -> int:
    """Return the largest number of times within any window."""
    ordered = sorted(times_s)
    first = most = 0
    for last, time_s in enumerate(ordered):
        while time_s - ordered[first] > window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


class _Daemon:
    """A daemon's permits; it asks the owner that it knows of."""

    def __init__(self, fleet: "LimitedFleet", number: int, limit_per_s: float) -> None:
        self._fleet = fleet
        self.number = number
        self.owner_number: int | None = 0
        listed = Fleet(lambda: float("-inf"))
        address = Address("10.0.0.1", 80)
        listed.update([Replica("r", "service", address, "zone", 8, False, (), 1)], [])
        facts = FactTable(f"daemon-{number}", lambda: self.owner_number == number)
        self.permits = Permits(listed, self, facts, Metrics())
        state = listed.get("r")
        assert state is not None
        self.state = state
        state.record_rate_limit(limit_per_s)

    async def request_permit(self, request: PermitRequest) -> Grant:
        if self.owner_number is None:
            raise PeerUnreachable("no owner at present")
        return self._fleet.daemons[self.owner_number].permits.handle_request(request)

    async def send_rate_limit(self, notice: RateLimitNotice) -> None:
        raise AssertionError("the limit does not change")


class LimitedFleet:
    """Daemons before one replica that names a limit from the start."""

    def __init__(self, count: int, limit_per_s: float) -> None:
        self.sent_s: list[float] = []
        self.daemons = [_Daemon(self, number, limit_per_s) for number in range(count)]
        self._rng = random.Random(3)

    def run(self, rate_per_s: float, duration_s: float, events: str) -> None:
        """Let requests arrive at random daemons; record when one is sent."""
        clock = [0.0]
        with patch(CLOCK, lambda: clock[0]):
            asyncio.run(self._run(clock, rate_per_s, duration_s, events))

    async def _run(
        self, clock: list[float], rate_per_s: float, duration_s: float, events: str
    ) -> None:
        next_change_s = CHANGE_INTERVAL_S
        changes: list[tuple[float, int | None, range]] = []
        owner = 0
        while clock[0] < duration_s:
            clock[0] += self._rng.expovariate(rate_per_s)
            if events != "none" and clock[0] > next_change_s:
                former, owner = owner, (owner + 1) % len(self.daemons)
                changes += self._changes(next_change_s, former, owner, events)
                next_change_s += CHANGE_INTERVAL_S
            while changes and changes[0][0] <= clock[0]:
                _, number, part = changes.pop(0)
                for daemon in self.daemons[part.start : part.stop]:
                    daemon.owner_number = number
            daemon = self._rng.choice(self.daemons)
            if await daemon.permits.acquire(daemon.state):
                self.sent_s.append(clock[0])

    def _changes(
        self, at_s: float, former: int, owner: int, events: str
    ) -> list[tuple[float, int | None, range]]:
        everyone = range(len(self.daemons))
        if events.startswith("owner dies"):
            return [(at_s, None, everyone), (at_s + TAKEOVER_S, owner, everyone)]
        # The former owner and the daemons before it learn of the change later.
        late = range(former + 1)
        return [
            (at_s, owner, everyone),
            (at_s, former, late),
            (at_s + SPLIT_S, owner, late),
        ]
