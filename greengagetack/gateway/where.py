"""greengagetack.gateway.where: explains where a request would go now, and why.

Everything here reads what it is given and changes nothing: no measurement, share or
permit, and no random number is drawn. Jitter is left out, so that the chosen replica
is the one with the shortest expected wait in the zone that most requests go to.
"""

import enum
import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, replace

from greengagetack.errors import Overloaded
from greengagetack.gateway.choice import choose_replica
from greengagetack.gateway.zone_routing import ZoneReading, expected_wait_s
from greengagetack.replicas.replica import ReplicaState

__all__ = [
    "MAX_LISTED",
    "CandidateRow",
    "Excluded",
    "Exclusions",
    "Placement",
    "Rate",
    "Reason",
    "ServiceView",
    "explain_request",
    "find_reason",
    "last_resort_ids",
]

# Bounds the answer: a service may have thousands of replicas.
MAX_LISTED = 50
# An explanation looks at all replicas of a service, so that callers are bounded.
MAX_PER_S = 5
PERIOD_S = 1.0
MS_PER_S = 1_000


# Expected wait with the cost of the way, number in the list, wait, and replica.
Entry = tuple[float, int, float, ReplicaState]


class Reason(enum.StrEnum):
    """Why a replica gets no request now."""

    GONE = "gone"
    DRAINING = "draining"
    LEAVING = "leaving"
    EJECTED = "ejected"
    SUSPENDED = "suspended"
    BUSY = "busy"
    RATE_LIMITED = "rate_limited"
    PATH_LOST = "path_lost"
    OLD_WEIGHTS = "old_weights"
    LOADING = "loading"
    FULL = "full"
    NO_MEMORY = "no_memory"


@dataclass(frozen=True, slots=True)
class Excluded:
    """A replica that gets no request now.

    `ends_in_s` is when the reason ends, None if that is not known; `age_s` the age of
    the fact or observation, None if no time was kept.
    """

    replica: str
    zone: str
    reason: Reason
    detail: str = ""
    ends_in_s: float | None = None
    age_s: float | None = None


@dataclass(frozen=True, slots=True)
class CandidateRow:
    """A replica that may get the request, with what its expected time is made of.

    Attributes
    ----------
    expected_ms : float
        Expected wait of a request or time to the end of an item, with `way_ms`; None
        if only the dispatcher knows it.
    measured_ms : float or None
        Measured time of a request, or of an event of an item, None if there is none.
    way_ms : float
        Cost of the way to another zone.
    zone_share : float or None
        Share of this daemon's requests that goes to the zone, None for items.
    """

    replica: str
    zone: str
    expected_ms: float | None
    measured_ms: float | None
    measured_age_s: float | None
    in_flight: int
    slots: int
    way_ms: float
    zone_share: float | None = None
    zone_has_places: bool = True
    version: int | None = None
    needs_permit: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request or item would go, and what was not considered."""

    chosen: str | None
    is_last_resort: bool
    candidates: tuple[CandidateRow, ...]
    candidate_count: int
    excluded: tuple[Excluded, ...]
    excluded_counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class ServiceView:
    """What a daemon knows of a service's replicas.

    Attributes
    ----------
    listed, serving : sequence of ReplicaState
        All listed replicas, and those that may get new requests.
    ejection_age_s : callable
        Returns the age of the fact that ejects a replica, None without a fact.
    lacks_permit : callable
        Returns whether this daemon grants the permits of a replica and has none left.
    """

    service: str
    listed: Sequence[ReplicaState]
    serving: Sequence[ReplicaState]
    is_path_lost: bool
    ejection_age_s: Callable[[ReplicaState], float | None]
    lacks_permit: Callable[[ReplicaState], bool]
    now_s: float


class Rate:
    """Bounds how often explanations are given."""

    def __init__(self) -> None:
        self._given_s: deque[float] = deque(maxlen=MAX_PER_S)

    def admit(self, now_s: float) -> None:
        """Count an explanation.

        Raises
        ------
        Overloaded
            If `MAX_PER_S` have been given within the last second.
        """
        is_full = len(self._given_s) == MAX_PER_S
        free_s = self._given_s[0] + PERIOD_S if is_full else now_s
        if now_s < free_s:
            raise Overloaded(
                f"a daemon explains at most {MAX_PER_S} requests a second",
                free_s - now_s,
            )
        self._given_s.append(now_s)


class _NoJitter(random.Random):
    """Makes the choice of a replica depend on the expected waits only."""

    def random(self) -> float:
        return 0.0


def last_resort_ids(view: ServiceView) -> set[str]:
    """Return the leaving replicas that get requests, as no other one is listed."""
    return {
        state.replica.replica_id
        for state in view.serving
        if state.leaving_since_s is not None
    }


def find_reason(
    view: ServiceView, state: ReplicaState, last_resorts: Collection[str]
) -> Reason | None:
    """Return why a replica gets no request now, None if it may get one."""
    now_s = view.now_s
    if state.is_gone:
        return Reason.GONE
    if state.replica.is_draining:
        return Reason.DRAINING
    if state.leaving_since_s is not None and (
        state.replica.replica_id not in last_resorts
    ):
        return Reason.LEAVING
    if view.is_path_lost:
        return Reason.PATH_LOST
    if now_s < state.rate_limited_until_s:
        return Reason.RATE_LIMITED
    if now_s < state.ejected_until_s:
        return Reason.EJECTED
    if now_s < state.suspended_until_s:
        return Reason.SUSPENDED
    if now_s < state.busy_until_s:
        return Reason.BUSY
    if state.rate_limit_per_s is not None and view.lacks_permit(state):
        return Reason.RATE_LIMITED
    return None


def describe(view: ServiceView, state: ReplicaState, reason: Reason) -> Excluded:
    """Return a reason found by `find_reason` with its details."""
    replica, now_s = state.replica, view.now_s
    found = Excluded(replica.replica_id, replica.availability_zone, reason)
    match reason:
        case Reason.LEAVING:
            since_s = state.leaving_since_s
            age_s = None if since_s is None else round(now_s - since_s, 3)
            return replace(found, detail="by its own response", age_s=age_s)
        case Reason.PATH_LOST:
            return replace(found, detail="this daemon reaches no replica")
        case Reason.RATE_LIMITED:
            return replace(
                found,
                detail=f"no permit left of {state.rate_limit_per_s or 0.0:g} a second",
                ends_in_s=_left_s(state.rate_limited_until_s, now_s),
                age_s=round(now_s - state.rate_limit_since_s, 3),
            )
        case Reason.EJECTED:
            return _ejection(view, state, found)
        case Reason.SUSPENDED:
            return replace(
                found,
                detail=f"after {state.consecutive_failures} failures",
                ends_in_s=_left_s(state.suspended_until_s, now_s),
            )
        case Reason.BUSY:
            return replace(
                found,
                detail="it refused a request",
                ends_in_s=_left_s(state.busy_until_s, now_s),
            )
    return found


def _left_s(until_s: float, now_s: float) -> float | None:
    return round(until_s - now_s, 3) if now_s < until_s < float("inf") else None


def _ejection(view: ServiceView, state: ReplicaState, found: Excluded) -> Excluded:
    age_s = view.ejection_age_s(state)
    if state.ejected_until_s == float("inf"):
        return replace(found, detail="by a fact of other daemons", age_s=age_s)
    detail = "a probe runs" if state.is_probed else "by this daemon's evidence"
    ends_in_s = _left_s(state.ejected_until_s, view.now_s)
    return replace(found, detail=detail, ends_in_s=ends_in_s, age_s=age_s)


class Exclusions:
    """Counts excluded replicas by reason, and describes the first ones."""

    def __init__(self, view: ServiceView) -> None:
        self._view = view
        self.listed: list[Excluded] = []
        self._counts: Counter[str] = Counter()

    def add(self, state: ReplicaState, reason: Reason, detail: str = "") -> None:
        """Count a replica."""
        self._counts[reason.value] += 1
        if len(self.listed) < MAX_LISTED:
            found = describe(self._view, state, reason)
            self.listed.append(replace(found, detail=detail) if detail else found)

    def counts(self) -> dict[str, int]:
        """Return the number of excluded replicas by reason."""
        return dict(sorted(self._counts.items()))


def explain_request(view: ServiceView, zones: ZoneReading) -> Placement:
    """Return where a request to a service would go now."""
    last_resorts = last_resort_ids(view)
    way_s = zones.cost_s(view.service)
    usable: list[Entry] = []
    exclusions = Exclusions(view)
    for number, state in enumerate(view.listed):
        reason = find_reason(view, state, last_resorts)
        if reason is not None:
            exclusions.add(state, reason)
            continue
        wait_s = expected_wait_s(state, state.service_time_s)
        is_own = state.replica.availability_zone == zones.zone
        usable.append((wait_s if is_own else wait_s + way_s, number, wait_s, state))
    chosen = _choose(view, zones, usable)
    nearest = [entry[3] for entry in heapq.nsmallest(MAX_LISTED, usable)]
    if chosen is not None and usable and chosen not in nearest:
        # Shares may prefer a zone with longer waits.
        nearest[-1] = chosen
    return Placement(
        None if chosen is None else chosen.replica.replica_id,
        chosen is not None and not usable,
        tuple(_row(view, zones, state, way_s) for state in nearest),
        len(usable),
        tuple(exclusions.listed),
        exclusions.counts(),
    )


def _choose(
    view: ServiceView, zones: ZoneReading, usable: Sequence[Entry]
) -> ReplicaState | None:
    """Return the chosen replica; the best of each zone decide, so only they are given.

    With no usable replica, all are given, as one of them may be the last resort.
    """
    if view.is_path_lost:
        return None
    best: dict[str, tuple[float, ReplicaState]] = {}
    for _, _, wait_s, state in usable:
        zone = state.replica.availability_zone
        known = best.get(zone)
        if known is None or wait_s < known[0]:
            best[zone] = (wait_s, state)
    states = [state for _, state in best.values()] or view.serving
    return choose_replica(view.service, states, (), zones, view.now_s, _NoJitter())


def _row(
    view: ServiceView, zones: ZoneReading, state: ReplicaState, way_s: float
) -> CandidateRow:
    replica = state.replica
    zone, measured_s = replica.availability_zone, state.service_time_s
    own_way_s = 0.0 if zone == zones.zone else way_s
    return CandidateRow(
        replica.replica_id,
        zone,
        _to_ms(expected_wait_s(state, measured_s) + own_way_s),
        None if measured_s is None else _to_ms(measured_s),
        None if measured_s is None else round(view.now_s - state.measured_s, 3),
        state.in_flight,
        replica.slots,
        _to_ms(own_way_s),
        round(zones.share_of(view.service, zone, view.now_s), 3),
        zone == zones.zone or zones.has_places(view.service, zone),
        needs_permit=state.rate_limit_per_s is not None,
    )


def _to_ms(time_s: float) -> float:
    return round(time_s * MS_PER_S, 2)
