"""greengagetack.gateway.zone_routing: chooses the zones of callers' requests."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from loguru import logger

from greengagetack.gateway.zone_shares import (
    MAX_USED_SHARE,
    ShareChange,
    ZoneShares,
    ZoneView,
)
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.replica import ReplicaState
from greengagetack.replicas.zone_cost import ZoneCost

__all__ = [
    "DEFAULT_SERVICE_TIME_S",
    "ZoneChoice",
    "ZoneReading",
    "ZoneRouting",
    "expected_wait_s",
]

# Assumed service time of a replica without any measured one.
DEFAULT_SERVICE_TIME_S = 0.04
# Views are taken at most this often, since each looks at all replicas of the service.
SAMPLE_INTERVAL_S = 0.05
# An older measurement does not tell how long a request would take now.
MAX_MEASUREMENT_AGE_S = 5.0
# Time constant of the average that stands for replicas without a recent measurement.
BASELINE_S = 30.0
# Weight of the newest request in the average size of a service's requests.
SIZE_SMOOTHING = 0.05
BYTES_PER_KB = 1_000
MS_PER_S = 1_000


def expected_wait_s(state: ReplicaState, service_time_s: float | None) -> float:
    """Return the time until a replica should answer a request that is sent now.

    Replicas have few slots and requests are short, so it grows with the ratio of
    requests in flight to slots.
    """
    in_use = state.in_flight / max(1, state.replica.slots)
    return (service_time_s or DEFAULT_SERVICE_TIME_S) * (1 + in_use)


class ZoneChoice(Protocol):
    """Decides for a request which zone it goes to."""

    @property
    def zone(self) -> str:
        """Availability zone of this VM."""

    def cost_s(self, service: str) -> float:
        """Return what it costs to send a request of a service to another zone."""

    def has_places(self, service: str, zone: str) -> bool:
        """Whether a zone's own callers leave places for those of other zones."""

    def pick(
        self,
        service: str,
        states: Iterable[ReplicaState],
        zones: Collection[str],
        now_s: float,
        draw: float,
    ) -> str:
        """Return the zone for a request, one of `zones`, the own one if in doubt."""


@dataclass(slots=True)
class _Service:
    shares: ZoneShares = field(default_factory=ZoneShares)
    sampled_s: float = float("-inf")
    # Usual service time of all zones, and average size of a request and its response.
    baseline_s: float | None = None
    size_bytes: float = 0.0


class ZoneRouting:
    """Observes waits by zone and decides which requests of a service leave the zone.

    Parameters
    ----------
    zone : str
        Availability zone of this VM.
    used_share : callable
        Returns the share of the places of a service and zone that all daemons use
        together, 0 while it is low or not known.
    """

    def __init__(
        self,
        zone: str,
        cost: ZoneCost,
        used_share: Callable[[str, str], float] = lambda service, zone: 0.0,
        metrics: Metrics | None = None,
    ) -> None:
        self.zone = zone
        self._cost = cost
        self._used_share = used_share
        self._metrics = metrics
        self._services: dict[str, _Service] = {}

    def _service(self, name: str) -> _Service:
        known = self._services.get(name)
        if known is None:
            known = self._services[name] = _Service()
        return known

    def reading(self) -> "ZoneReading":
        """Return a view that decides by the present shares and changes nothing."""
        return ZoneReading(self)

    def known_shares(self, service: str, now_s: float) -> dict[str, float]:
        """Return the shares in force, without taking a view of the replicas."""
        known = self._services.get(service)
        return {} if known is None else known.shares.in_force(now_s)

    def cost_s(self, service: str) -> float:
        """Return what it costs to send a request of a service to another zone."""
        known = self._services.get(service)
        return self._cost.seconds(0.0 if known is None else known.size_bytes)

    def used_share(self, service: str, zone: str) -> float:
        """Return the share of used places, 0 while it is low or not known."""
        return self._used_share(service, zone)

    def has_places(self, service: str, zone: str) -> bool:
        """Whether a zone's own callers leave places for those of other zones."""
        return self._used_share(service, zone) <= MAX_USED_SHARE

    def record_size(
        self, service: str, replica_zone: str, size_bytes: int, is_whole: bool = True
    ) -> None:
        """Record the bytes of a request and its response.

        A part of a stream (not `is_whole`) counts only as sent between zones.
        """
        if is_whole:
            known = self._service(service)
            known.size_bytes += SIZE_SMOOTHING * (size_bytes - known.size_bytes)
        if replica_zone != self.zone and self._metrics is not None:
            kb = size_bytes / BYTES_PER_KB
            self._metrics.add("zone_kb", kb, service=service, zone=replica_zone)

    def pick(
        self,
        service: str,
        states: Iterable[ReplicaState],
        zones: Collection[str],
        now_s: float,
        draw: float,
    ) -> str:
        """Return the zone for a request, one of `zones`, the own one if in doubt.

        Parameters
        ----------
        draw : float
            A random number from 0 to 1.
        """
        known = self._service(service)
        if now_s - known.sampled_s >= SAMPLE_INTERVAL_S:
            self._observe(service, known, states, now_s)
        others = [zone for zone in zones if zone != self.zone]
        return known.shares.pick(draw, others) or self.zone

    def _observe(
        self,
        service: str,
        known: _Service,
        states: Iterable[ReplicaState],
        now_s: float,
    ) -> None:
        since_s = min(BASELINE_S, now_s - known.sampled_s)
        known.sampled_s = now_s
        views: dict[str, ZoneView] = {}
        fresh_s: list[float] = []
        for state in states:
            zone = state.replica.availability_zone
            views.setdefault(zone, ZoneView(None))
            if not state.is_usable(now_s) or now_s < state.rate_limited_until_s:
                continue
            age_s = now_s - state.measured_s
            service_time_s = state.service_time_s
            if service_time_s is None or age_s > MAX_MEASUREMENT_AGE_S:
                service_time_s, age_s = known.baseline_s, 0.0
            else:
                fresh_s.append(service_time_s)
            wait_s = expected_wait_s(state, service_time_s)
            best_s = views[zone].wait_s
            if best_s is None or wait_s < best_s:
                used_share = self._used_share(service, zone)
                views[zone] = ZoneView(wait_s, used_share, age_s)
        if fresh_s:
            mean_s = sum(fresh_s) / len(fresh_s)
            former_s = mean_s if known.baseline_s is None else known.baseline_s
            known.baseline_s = former_s + since_s / BASELINE_S * (mean_s - former_s)
        changes = known.shares.observe(now_s, self.zone, views, self.cost_s(service))
        for change in changes:
            self._report(service, change)
        if known.shares.decided_s == now_s:
            self._set_metrics(service, known.shares)

    def _report(self, service: str, change: ShareChange) -> None:
        logger.info(
            "zones: share of requests to another zone changed",
            service=service,
            zone=change.zone,
            former=round(change.former, 3),
            share=round(change.share, 3),
            own_ms=_to_ms(change.own.wait_s),
            other_ms=_to_ms(change.other.wait_s),
            cost_ms=round(change.cost_s * MS_PER_S, 1),
            own_used=round(change.own.used_share, 2),
            other_used=round(change.other.used_share, 2),
            age_ms=int(max(change.own.age_s, change.other.age_s) * MS_PER_S),
        )

    def _set_metrics(self, service: str, shares: ZoneShares) -> None:
        if self._metrics is None:
            return
        for zone, wait_s in shares.waits_s.items():
            labels = {"service": service, "zone": zone}
            if wait_s is not None:
                self._metrics.set("zone_wait_s", wait_s, **labels)
            if zone != self.zone:
                share = shares.shares.get(zone, 0.0)
                self._metrics.set("zone_share", share, **labels)


class ZoneReading:
    """Reads the shares of a `ZoneRouting`: no view is taken, no share moves."""

    def __init__(self, routing: ZoneRouting) -> None:
        self._routing = routing
        self.zone = routing.zone

    def cost_s(self, service: str) -> float:
        """Return what it costs to send a request of a service to another zone."""
        return self._routing.cost_s(service)

    def has_places(self, service: str, zone: str) -> bool:
        """Whether a zone's own callers leave places for those of other zones."""
        return self._routing.has_places(service, zone)

    def share_of(self, service: str, zone: str, now_s: float) -> float:
        """Return the share of this daemon's requests that goes to a zone."""
        shares = self._routing.known_shares(service, now_s)
        if zone != self.zone:
            return shares.get(zone, 0.0)
        return max(0.0, 1.0 - sum(shares.values()))

    def pick(
        self,
        service: str,
        states: Iterable[ReplicaState],
        zones: Collection[str],
        now_s: float,
        draw: float,
    ) -> str:
        """Return the zone that most requests go to, whatever `draw` is."""
        shares = self._routing.known_shares(service, now_s)
        others = {name: shares.get(name, 0.0) for name in zones if name != self.zone}
        likeliest = max(others, key=lambda name: others[name], default=self.zone)
        own = 1.0 - sum(others.values())
        return likeliest if others.get(likeliest, 0.0) > own else self.zone


def _to_ms(wait_s: float | None) -> float | None:
    return None if wait_s is None else round(wait_s * MS_PER_S, 1)
