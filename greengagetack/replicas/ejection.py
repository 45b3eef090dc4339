"""greengagetack.replicas.ejection: when a replica that fails requests gets no more.

A replica may fail a part of its requests, or hang, while its entry and its connections
look well. Its neighbours show whether that is its own fault: a request that fails
everywhere, or a lost path, raises the rates of all replicas of the service.
"""

import statistics
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

__all__ = ["Outcomes", "Probation", "may_eject", "should_eject"]

# Requests that a failure rate is computed from, and the least number of them.
MAX_OUTCOMES = 20
MIN_OUTCOMES = 10
# Older outcomes do not tell how a replica serves now.
OUTCOME_RETENTION_S = 30.0
MAX_FAILURE_RATE = 0.3
# A rate must exceed the service's median by this factor.
MEDIAN_FACTOR = 3.0
# At most one in so many is ejected: the others could not carry the load of more.
REPLICAS_PER_EJECTED = 3
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 8.0
# A replica that fails half of its requests passes this many probes once in eight times.
PASSED_PROBES = 3


class Outcomes:
    """The outcomes of the last requests to a replica."""

    def __init__(self) -> None:
        self._failures: deque[tuple[float, bool]] = deque(maxlen=MAX_OUTCOMES)

    def record(self, now_s: float, is_failure: bool) -> None:
        """Add the outcome of a request."""
        self._failures.append((now_s, is_failure))

    def rate(self, now_s: float) -> float | None:
        """Return the share of recent requests that failed, None for too few."""
        since_s = now_s - OUTCOME_RETENTION_S
        recent = [failed for at_s, failed in self._failures if at_s >= since_s]
        return sum(recent) / len(recent) if len(recent) >= MIN_OUTCOMES else None


def should_eject(rate: float | None, rates: Collection[float]) -> bool:
    """Whether a replica's failure rate is its own fault.

    Parameters
    ----------
    rates : collection of float
        The rates of all replicas of its service, 0 for those without enough requests.
    """
    if rate is None or rate <= MAX_FAILURE_RATE:
        return False
    return rate > MEDIAN_FACTOR * statistics.median(rates)


def may_eject(ejected_count: int, replica_count: int) -> bool:
    """Whether one more of a service's replicas may be ejected."""
    return (ejected_count + 1) * REPLICAS_PER_EJECTED <= replica_count


@dataclass(frozen=True, slots=True)
class Probation:
    """State of a replica that gets one request at a time after each pause."""

    pause_s: float = FIRST_PAUSE_S
    passed: int = 0

    @property
    def is_over(self) -> bool:
        """Whether the replica may get requests as before."""
        return self.passed >= PASSED_PROBES

    def after(self, is_failure: bool) -> "Probation":
        """Return the state after a probe."""
        if is_failure:
            return Probation(min(MAX_PAUSE_S, 2 * self.pause_s))
        return Probation(self.pause_s, self.passed + 1)
