"""greengagetack.gateway.choice: selects the replica for a caller's request."""

import random
from collections.abc import Collection, Iterable

from greengagetack.replicas.replica import ReplicaState

__all__ = ["choose_replica", "suggested_retry_s"]

# Assumed service time of a replica without any measured one.
DEFAULT_SERVICE_TIME_S = 0.04
# Added to the expected wait at a replica in another availability zone.
OTHER_ZONE_PENALTY_S = 0.004
# Random increase of the expected wait, so that daemons with equal candidates choose
# different ones.
MAX_JITTER_RATIO = 0.1
# Delay after which a refused caller should come back.
RETRY_S = 0.25
MIN_RETRY_S = 0.05
# Spreads the return of callers that wait for the same permits.
MAX_RETRY_SPREAD_RATIO = 0.5


def choose_replica(
    states: Iterable[ReplicaState],
    tried: Collection[str],
    zone: str,
    now_s: float,
    rng: random.Random,
) -> ReplicaState | None:
    """Return the replica with the shortest expected wait, None if none is usable.

    Replicas have few slots and requests are short, so the expected wait grows with
    the ratio of requests in flight to slots. A suspended or busy replica is used
    only if no other is left; then the one whose suspension ends first is returned. A
    replica without a permit left is never used.
    """
    best: ReplicaState | None = None
    best_cost = float("inf")
    fallback: ReplicaState | None = None
    for state in states:
        replica = state.replica
        if replica.replica_id in tried or state.is_gone or replica.is_draining:
            continue
        if now_s < state.rate_limited_until_s:
            continue
        if not state.is_usable(now_s):
            resumes_sooner = fallback is None or (
                state.suspended_until_s < fallback.suspended_until_s
            )
            fallback = state if resumes_sooner else fallback
            continue
        service_time_s = state.service_time_s or DEFAULT_SERVICE_TIME_S
        cost = service_time_s * (1 + state.in_flight / max(1, replica.slots))
        cost += OTHER_ZONE_PENALTY_S * (replica.availability_zone != zone)
        cost *= 1 + MAX_JITTER_RATIO * rng.random()
        if cost < best_cost:
            best, best_cost = state, cost
    return best or fallback


def suggested_retry_s(
    states: Iterable[ReplicaState], now_s: float, rng: random.Random
) -> float:
    """Return when a refused caller should come back, in seconds.

    While all replicas are at their rate limits, this is when the first permit is due:
    an earlier return would be refused again, a later one would leave the permit unused.
    """
    due_s = [max(0.0, state.rate_limited_until_s - now_s) for state in states]
    if not due_s or min(due_s) == 0.0:
        return RETRY_S
    spread = 1 + MAX_RETRY_SPREAD_RATIO * rng.random()
    return max(MIN_RETRY_S, min(due_s) * spread)
