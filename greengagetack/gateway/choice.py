"""greengagetack.gateway.choice: selects the replica for a caller's request."""

import random
from collections.abc import Collection, Sequence

from greengagetack.gateway.zone_routing import ZoneChoice, expected_wait_s
from greengagetack.replicas.replica import ReplicaState

__all__ = ["choose_replica"]

# Random increase of the expected wait, so that daemons with equal candidates choose
# different ones.
MAX_JITTER_RATIO = 0.1


def choose_replica(
    service: str,
    states: Sequence[ReplicaState],
    tried: Collection[str],
    routing: ZoneChoice,
    now_s: float,
    rng: random.Random,
) -> ReplicaState | None:
    """Return the replica with the shortest expected wait, None if none is usable.

    The zone is chosen first: the own one, except for the share of requests that leaves
    it. While the own zone has no place left as far as this daemon knows, the way is
    counted as a part of the wait instead, and a zone without a place for others is not
    used. A suspended or busy replica is used only if
    no other is left; then the one whose suspension ends first is returned. A replica
    without a permit left is never used.
    """
    best: dict[str, tuple[float, ReplicaState]] = {}
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
        cost = expected_wait_s(state, state.service_time_s)
        cost *= 1 + MAX_JITTER_RATIO * rng.random()
        known = best.get(replica.availability_zone)
        if known is None or cost < known[0]:
            best[replica.availability_zone] = (cost, state)
    if not best:
        return fallback
    zone = routing.pick(service, states, best, now_s, rng.random())
    own = best.get(routing.zone)
    if own is None:
        zone = min(best, key=lambda name: best[name][0])
    elif zone == routing.zone and _is_full(own[1]):
        cost_s = routing.cost_s(service)
        zones = [
            name for name in best if name == zone or routing.has_places(service, name)
        ]
        zone = min(zones, key=lambda name: best[name][0] + cost_s * (name != zone))
    return best[zone][1]


def _is_full(state: ReplicaState) -> bool:
    return state.in_flight >= max(1, state.replica.slots)
