"""greengagetack.gateway.choice: which replica gets a caller's request."""

import random
from collections.abc import Collection, Iterable

from greengagetack.replicas.replica import ReplicaState

__all__ = ["choose_replica"]

# Until a replica has been observed it counts as this fast.
USUAL_SERVICE_TIME_S = 0.04
# Time added for a replica in another availability zone.
OTHER_ZONE_S = 0.004
# Spreads equal choices of many daemons.
SPREAD_RATIO = 0.1


def choose_replica(
    states: Iterable[ReplicaState],
    tried: Collection[str],
    zone: str,
    now_s: float,
    rng: random.Random,
) -> ReplicaState | None:
    """Return the replica with the shortest expected wait, None if none is usable.

    Answers the load of short requests against few slots: the wait grows with the
    requests in flight over the slots. A replica that failed is used again only
    after its pause, or where nothing else is left.
    """
    best: ReplicaState | None = None
    best_cost = float("inf")
    spare: ReplicaState | None = None
    for state in states:
        replica = state.replica
        if replica.replica_id in tried or state.is_gone or replica.is_draining:
            continue
        if not state.is_usable(now_s):
            is_sooner = spare is None or (
                state.suspended_until_s < spare.suspended_until_s
            )
            spare = state if is_sooner else spare
            continue
        service_time_s = state.service_time_s or USUAL_SERVICE_TIME_S
        cost = service_time_s * (1 + state.in_flight / max(1, replica.slots))
        cost += OTHER_ZONE_S * (replica.availability_zone != zone)
        cost *= 1 + SPREAD_RATIO * rng.random()
        if cost < best_cost:
            best, best_cost = state, cost
    return best or spare
