"""greengagetack.accounting.clock: an estimate of true time from all VMs' clocks.

The wall clocks of VMs differ by some hundred milliseconds or more; their median stands
for true time. All daemons agree on it through the pings that they send to the
dispatcher anyway. Between pings, time advances with a steady clock, so that a wall
clock that is set does not move a daemon's windows.
"""

import statistics
import time
from collections.abc import Callable

from loguru import logger

__all__ = ["FleetClock"]

# With fewer offsets, the median of all clocks can be a wrong one.
MIN_OFFSETS = 5
OFFSET_LIFETIME_S = 5.0
# The pings of a large fleet arrive more often than the median changes.
MEDIAN_INTERVAL_S = 0.5
# An answer that took longer says too little about the time.
MAX_ROUND_TRIP_S = 0.2
LOGGED_CHANGE_S = 0.05
MS_PER_S = 1_000


def _boottime_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FleetClock:
    """True time as this daemon estimates it.

    Parameters
    ----------
    steady_s : callable
        Returns a clock that advances steadily, also while the VM is suspended.
    wall_s : callable
        Returns this VM's wall clock.
    """

    def __init__(
        self,
        steady_s: Callable[[], float] = _boottime_s,
        wall_s: Callable[[], float] = time.time,
    ) -> None:
        self.steady_s = steady_s
        self._wall_s = wall_s
        # True time minus the steady clock.
        self._base_s = wall_s() - steady_s()
        # As a follower: the dispatcher's steady clock minus this VM's, in the process
        # that `_source` identifies.
        self._source = ""
        self._lead_s = 0.0
        # As the dispatcher: wall clocks minus this VM's steady clock.
        self._offsets_s: dict[str, tuple[float, float]] = {}
        self._median_due_s = float("-inf")

    def now_s(self) -> float:
        """Return the estimate of true time as Unix time."""
        return self.steady_s() + self._base_s

    # -- as a follower

    def offset_ms(self, dispatcher: str) -> float | None:
        """Return this wall clock minus a dispatcher's steady clock, None if unknown.

        Parameters
        ----------
        dispatcher : str
            Incarnation of the dispatcher.
        """
        if dispatcher != self._source:
            return None
        wall_s, steady_s = self._wall_s(), self.steady_s()
        return (wall_s - steady_s - self._lead_s) * MS_PER_S

    def learn(
        self, dispatcher: str, clock_s: float, fleet_time_s: float, sent_s: float
    ) -> None:
        """Learn the time from an answer of the dispatcher that has just arrived.

        Parameters
        ----------
        clock_s, fleet_time_s : float
            The dispatcher's steady clock and its estimate of true time.
        sent_s : float
            This VM's steady clock when it sent the ping.
        """
        round_trip_s = self.steady_s() - sent_s
        if not 0 <= round_trip_s <= MAX_ROUND_TRIP_S and self._source:
            return
        answered_s = sent_s + round_trip_s / 2
        self._source = dispatcher
        self._lead_s = clock_s - answered_s
        self._set_base(fleet_time_s - answered_s)

    # -- as the dispatcher

    def record_offset(self, node: str, offset_ms: float) -> None:
        """Record another VM's wall clock minus this VM's steady clock."""
        now_s = self.steady_s()
        self._offsets_s[node] = (offset_ms / MS_PER_S, now_s + OFFSET_LIFETIME_S)

    def times(self) -> tuple[float, float]:
        """Return the steady clock and true time for an answer to a ping."""
        now_s = self.steady_s()
        if now_s >= self._median_due_s:
            self._median_due_s = now_s + MEDIAN_INTERVAL_S
            self._update_median(now_s)
        return now_s, now_s + self._base_s

    def _update_median(self, now_s: float) -> None:
        self._offsets_s = {
            node: (offset_s, expires_s)
            for node, (offset_s, expires_s) in self._offsets_s.items()
            if expires_s > now_s
        }
        if len(self._offsets_s) >= MIN_OFFSETS:
            offsets_s = [offset_s for offset_s, _ in self._offsets_s.values()]
            offsets_s.append(self._wall_s() - now_s)
            self._set_base(statistics.median(offsets_s))

    def _set_base(self, base_s: float) -> None:
        change_s = base_s - self._base_s
        if abs(change_s) > LOGGED_CHANGE_S:
            logger.info(
                "usage: estimate of true time changed",
                change_ms=int(change_s * MS_PER_S),
                wall_ms=int((self._wall_s() - self.steady_s() - base_s) * MS_PER_S),
            )
        self._base_s = base_s
