"""greengagetack.gateway.backlog: how long the queue before a service's places is.

Requests do not wait at a daemon but in the short queues of replicas, and refused
callers wait before they come back. Both are ahead of a caller that is refused now.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from greengagetack.replicas.replica import ReplicaState

__all__ = [
    "Backlog",
    "Outcomes",
    "estimate_backlog",
    "may_be_in_time",
    "pass_share",
    "retry_after_s",
    "suggested_retry_s",
]

# Delay after which a refused caller comes back if nothing is known of the backlog.
RETRY_S = 0.25
MIN_RETRY_S = 0.05
MAX_RETRY_S = 5.0
# Spreads the return of callers that wait for the same permits.
MAX_RETRY_SPREAD_RATIO = 0.5
# Callers wait at most this share of the time that they have left. Those that are told
# to wait longer would all come back at this limit.
MAX_WAIT_SHARE = 1 / 3
# Refused callers of this period are expected to come back.
RETURN_PERIOD_S = 1.0
OUTCOME_MEMORY_S = 2.0
# Fewer outcomes tell too little of the ratio of refused requests.
MIN_OUTCOMES = 4.0
# One refusal counts for half of the memory's period.
MIN_FULL = 0.5
# Shortest spread if all replicas were full; its mean is the delay without a view.
MIN_SPREAD_S = 0.45
# Share of the requests let through above the one that was served lately, so that
# refusals by estimate never leave places unused.
PASS_HEADROOM = 1.1


@dataclass(frozen=True, slots=True)
class Backlog:
    """What is ahead of a request for a congested service.

    Attributes
    ----------
    wait_s : float
        Expected wait for a place.
    work_s : float
        Time in a place.
    rate_per_s : float
        Rate at which the service completes requests.
    clear_s : float
        Time until those that wait now, and those refused lately, have been served.
    """

    wait_s: float
    work_s: float
    rate_per_s: float
    clear_s: float


class Outcomes:
    """Served and refused requests of a service at this daemon, of the last seconds."""

    def __init__(self) -> None:
        self.served = 0.0
        self.refused = 0.0
        # Requests that all replicas refused because they were full.
        self.full = 0.0
        self._changed_s = float("-inf")

    def fade(self, now_s: float) -> None:
        """Let earlier outcomes count less."""
        age_s = now_s - self._changed_s
        kept = max(0.0, 1 - age_s / OUTCOME_MEMORY_S)
        self.served *= kept
        self.refused *= kept
        self.full *= kept
        self._changed_s = now_s

    def record(self, is_served: bool, now_s: float) -> None:
        """Count a request."""
        self.fade(now_s)
        if is_served:
            self.served += 1
        else:
            self.refused += 1

    @property
    def is_full(self) -> bool:
        """Whether all replicas were full when this daemon last sent them requests."""
        return self.full >= MIN_FULL

    @property
    def refused_ratio(self) -> float:
        """Refused requests for each served one, 0 if little is known."""
        if self.served + self.refused < MIN_OUTCOMES:
            return 0.0
        return self.refused / max(1.0, self.served)


def estimate_backlog(
    slots: int,
    in_use: float,
    response_s: float | None,
    refused_ratio: float,
    is_full: bool = False,
) -> Backlog | None:
    """Return the backlog of a service, None if it is not congested or not known.

    Requests in flight divided by the time of a response are the rate of completions
    (Little's law), whatever part of that time they spend in queues.

    Parameters
    ----------
    in_use : float
        Requests in flight of all daemons.
    response_s : float or None
        Measured time of a request, including its wait at the replica.
    refused_ratio : float
        Refused requests for each served one.
    is_full : bool
        Whether all replicas were full lately, even if others do not know it yet.
    """
    if is_full:
        in_use = max(in_use, float(slots))
    if slots <= 0 or in_use < slots or not response_s:
        return None
    rate_per_s = in_use / response_s
    wait_s = (in_use - slots) / rate_per_s
    clear_s = wait_s + refused_ratio * RETURN_PERIOD_S
    if is_full:
        clear_s = max(MIN_SPREAD_S, clear_s)
    return Backlog(wait_s, slots / rate_per_s, rate_per_s, clear_s)


def may_be_in_time(remaining_s: float, backlog: Backlog | None) -> bool:
    """Whether a request may be served within the time that its caller still waits."""
    return backlog is None or backlog.wait_s + backlog.work_s <= remaining_s


def pass_share(outcomes: Outcomes) -> float:
    """Return the share of the requests that are sent although they seem too late.

    The view of the fleet's queue is up to some seconds old. If all daemons refused all
    requests by it, the queue would run empty before they noticed.
    """
    return min(1.0, PASS_HEADROOM / (1 + outcomes.refused_ratio))


def retry_after_s(
    backlog: Backlog | None,
    remaining_s: float,
    draw: float,
    has_returned: bool = False,
) -> float:
    """Return when a refused caller should come back, in seconds.

    Its place is due when the callers ahead of it have been served. Callers that are
    refused together get times spread over this period, so that they do not come back
    together. A caller that has come back is never told a shorter time than one that
    came first, although it has less time left.

    Parameters
    ----------
    remaining_s : float
        Time until the caller's deadline.
    draw : float
        A random number from 0 to 1.
    """
    if backlog is None:
        return RETRY_S
    limit_s = min(MAX_RETRY_S, max(MIN_RETRY_S, remaining_s * MAX_WAIT_SHARE))
    if has_returned:
        limit_s = MAX_RETRY_S
    return MIN_RETRY_S + draw * max(0.0, min(backlog.clear_s, limit_s) - MIN_RETRY_S)


def suggested_retry_s(
    states: Iterable[ReplicaState],
    now_s: float,
    rng: random.Random,
    backlog: Backlog | None = None,
    remaining_s: float = float("inf"),
    has_returned: bool = False,
) -> float:
    """Return when a refused caller should come back, in seconds.

    While all replicas are at their rate limits, this is when the first permit is due:
    an earlier return would be refused again, a later one would leave the permit unused.
    """
    due_s = [max(0.0, state.rate_limited_until_s - now_s) for state in states]
    if not due_s or min(due_s) == 0.0:
        return retry_after_s(backlog, remaining_s, rng.random(), has_returned)
    spread = 1 + MAX_RETRY_SPREAD_RATIO * rng.random()
    return max(MIN_RETRY_S, min(due_s) * spread)
