"""greengagetack.gateway.congestion: what this daemon knows of each service's queue.

Combines the published use of a service's places with the response times and refusals
that this daemon has seen, and decides by them on requests and on callers' return.
"""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from greengagetack.gateway.backlog import (
    Backlog,
    Outcomes,
    estimate_backlog,
    may_be_in_time,
    pass_share,
    suggested_retry_s,
)
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import ReplicaState

__all__ = ["Congestion"]

# The published use changes about once a second.
VIEW_LIFETIME_S = 0.1
# An older measurement does not tell how long a request would take now.
MAX_MEASUREMENT_AGE_S = 5.0
# A served request tells for this time that there are places, if it took less than this
# multiple of the time in a place.
LATEST_LIFETIME_S = 3.0
QUICK_FACTOR = 2.0
# Slow, as the published use and the measured times differ in age at each change.
WORK_SMOOTHING = 0.02
# A request with less than this share of its route's usual time has come back after a
# refusal, since callers name the time that is left.
RETURNED_SHARE = 0.9
# Time after which the longest time seen on a route is forgotten.
USUAL_TIME_LIFETIME_S = 20.0


@dataclass(slots=True)
class _View:
    outcomes: Outcomes = field(default_factory=Outcomes)
    backlog: Backlog | None = None
    is_congested: bool = False
    taken_s: float = float("-inf")
    # Time of a request in a place, averaged while the service was congested.
    work_s: float | None = None
    # Duration of the newest served request, and when it ended.
    latest_s: float = 0.0
    latest_at_s: float = float("-inf")


class Congestion:
    """Observes the queues of all services.

    Parameters
    ----------
    used_share : callable
        Returns the share of the places of a service and zone that all daemons use
        together, 0 while it is low or not known.
    """

    def __init__(
        self,
        fleet: Fleet,
        used_share: Callable[[str, str], float],
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._fleet = fleet
        self._used_share = used_share
        self._clock = clock
        self._rng = rng or random.Random()
        self._views: dict[str, _View] = {}
        # Longest time of recent requests by route, and when it was seen.
        self._usual_s: dict[str, tuple[float, float]] = {}

    def record(self, service: str, is_served: bool, duration_s: float) -> None:
        """Count a request that was served or refused."""
        view, now_s = self._view(service), self._clock()
        view.outcomes.record(is_served, now_s)
        if is_served:
            view.latest_s, view.latest_at_s = duration_s, now_s

    def record_full(self, service: str) -> None:
        """Record that all replicas refused a request because they were full."""
        view, now_s = self._view(service), self._clock()
        view.outcomes.fade(now_s)
        view.outcomes.full += 1
        view.taken_s = float("-inf")

    def is_congested(self, service: str) -> bool:
        """Whether all places of a service are in use, as far as known."""
        return self._observed(service).is_congested

    def has_places(self, service: str) -> bool:
        """Whether the newest request found a place almost at once.

        The published use is some seconds old when a congestion ends.
        """
        view = self._observed(service)
        if view.work_s is None or self._clock() - view.latest_at_s > LATEST_LIFETIME_S:
            return False
        return view.latest_s < QUICK_FACTOR * view.work_s

    def backlog(self, service: str) -> Backlog | None:
        """Return the backlog, None if the service is not congested or not known."""
        return self._observed(service).backlog

    def has_returned(self, route: str, remaining_s: float) -> bool:
        """Whether a request has come back after a refusal, by the time it has left."""
        now_s = self._clock()
        usual_s, seen_s = self._usual_s.get(route, (0.0, float("-inf")))
        if remaining_s >= usual_s or now_s - seen_s > USUAL_TIME_LIFETIME_S:
            self._usual_s[route] = (remaining_s, now_s)
            return False
        return remaining_s < RETURNED_SHARE * usual_s

    def is_too_late(self, service: str, remaining_s: float) -> bool:
        """Whether to refuse a request now, as it cannot be served in time.

        At most as many are refused as replicas would refuse anyway.
        """
        view = self._observed(service)
        if may_be_in_time(remaining_s, view.backlog):
            return False
        return self._rng.random() >= pass_share(view.outcomes)

    def retry_after_s(
        self, service: str, remaining_s: float, has_returned: bool
    ) -> float:
        """Return when a caller whose request was refused should come back."""
        return suggested_retry_s(
            self._fleet.serving_replicas(service),
            self._clock(),
            self._rng,
            self.backlog(service),
            remaining_s,
            has_returned,
        )

    def _view(self, service: str) -> _View:
        known = self._views.get(service)
        if known is None:
            known = self._views[service] = _View()
        return known

    def _observed(self, service: str) -> _View:
        view, now_s = self._view(service), self._clock()
        if now_s - view.taken_s < VIEW_LIFETIME_S:
            return view
        view.taken_s = now_s
        view.outcomes.fade(now_s)
        slots, in_use = 0, 0.0
        times_s: list[float] = []
        for state in self._fleet.serving_replicas(service):
            replica = state.replica
            slots += replica.slots
            in_use += replica.slots * self._used_share(
                service, replica.availability_zone
            )
            times_s.extend(_recent_time_s(state, now_s))
        view.is_congested = in_use >= slots > 0
        response_s = sum(times_s) / len(times_s) if times_s else None
        view.backlog = estimate_backlog(
            slots,
            in_use,
            response_s,
            view.outcomes.refused_ratio,
            view.outcomes.is_full,
        )
        if view.is_congested and view.backlog is not None:
            former_s = view.work_s or view.backlog.work_s
            change_s = view.backlog.work_s - former_s
            view.work_s = former_s + WORK_SMOOTHING * change_s
        return view


def _recent_time_s(state: ReplicaState, now_s: float) -> list[float]:
    if state.service_time_s is None or now_s - state.measured_s > MAX_MEASUREMENT_AGE_S:
        return []
    return [state.service_time_s]
