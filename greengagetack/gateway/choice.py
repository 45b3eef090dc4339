"""greengagetack.gateway.choice: selects the replica for a caller's request."""

import random
from collections.abc import Collection, Iterable

from greengagetack.replicas.replica import ReplicaState

__all__ = ["choose_replica"]

# Assumed service time of a replica without any measured one.
DEFAULT_SERVICE_TIME_S = 0.04
# Added to the expected wait at a replica in another availability zone.
OTHER_ZONE_PENALTY_S = 0.004
# Random increase of the expected wait, so that daemons with equal candidates choose
# different ones.
MAX_JITTER_RATIO = 0.1


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
    only if no other is left; then the one whose suspension ends first is returned.
    """
    best: ReplicaState | None = None
    best_cost = float("inf")
    fallback: ReplicaState | None = None
    for state in states:
        replica = state.replica
        if replica.replica_id in tried or state.is_gone or replica.is_draining:
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
