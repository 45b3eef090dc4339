"""greengagetack.gateway.zone_load: how many of a zone's places all daemons use.

Each daemon knows its own requests only. It reports them with its pings to the owner of
the facts, which publishes the sums that matter to others: those of zones in which more
than half of a service's places are taken.
"""

import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from greengagetack.facts import FactTable, fact_type
from greengagetack.replicas.fleet import Fleet

__all__ = ["TICK_S", "ZoneLoad", "ZoneLoads", "report_interval_s"]

TICK_S = 0.5
# Less use of a service and zone is not reported.
MIN_REPORTED = 0.1
# One report of a daemon names this many places of use at most, the largest ones.
MAX_REPORTED = 24
# The owner reads at most this many reports a second.
MAX_REPORTS_PER_S = 200.0
# Sums below this are not published; one that was is until it falls below the second.
MIN_PUBLISHED_SHARE = 0.5
MIN_KEPT_SHARE = 0.45
SHARE_STEP = 0.05
# Bounds the bytes that each daemon gets, whatever the number of zones and services.
MAX_PUBLISHED_PER_TICK = 2
LIFETIME_S = 10.0
# Use from which a sum is published before others, just below the bound for callers of
# other zones.
URGENT_SHARE = 0.65
# The places of all replicas are counted again after this time.
SLOTS_AGE_S = 5.0
RENEWAL_S = 4.0
# Weight of the newest sum in the average.
SMOOTHING_FACTOR = 0.5

# Report of a daemon that has become idle. An empty text is not sent, and the owner
# would count the report before it for three intervals.
NO_USE = ";"

ServiceZone = tuple[str, str]


@fact_type("zone-load", is_lasting=False)
@dataclass(frozen=True, slots=True)
class ZoneLoad:
    """Share of the places that are used of the service and zone in the fact's key.

    `renewal` grows with each publication, so that an unchanged share is renewed.
    """

    used_share: float
    renewal: int = 0


def report_interval_s(daemon_count: int) -> float:
    """Return the time between a daemon's reports, in seconds."""
    return max(1.0, daemon_count / MAX_REPORTS_PER_S)


@dataclass(frozen=True, slots=True)
class _Report:
    received_s: float
    in_flight: dict[ServiceZone, float]


class ZoneLoads:
    """Averages this daemon's requests in flight; as the owner, sums up all daemons'.

    Parameters
    ----------
    node : str
        Name of this VM.
    daemon_count : callable
        Returns the number of listed daemons.
    """

    def __init__(
        self,
        node: str,
        fleet: Fleet,
        facts: FactTable,
        daemon_count: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._node = node
        self._fleet = fleet
        self._facts = facts
        self._daemon_count = daemon_count
        self._clock = clock
        self._samples: list[dict[ServiceZone, int]] = []
        self._reported_s = float("-inf")
        self._has_use = False
        self._reports: dict[str, _Report] = {}
        self._shares: dict[ServiceZone, float] = {}
        self._published: dict[ServiceZone, tuple[float, float]] = {}
        self._renewal = 0
        self._slots: dict[ServiceZone, int] = {}
        self._slots_counted_s = float("-inf")

    def used_share(self, service: str, zone: str) -> float:
        """Return the share of used places, 0 while it is low or not known."""
        fact = self._facts.get(ZoneLoad, f"{service}/{zone}")
        return 0.0 if fact is None else fact.used_share

    # -- reports of this daemon

    def _sample(self) -> dict[ServiceZone, int]:
        counts: dict[ServiceZone, int] = defaultdict(int)
        for state in self._fleet.all_replicas():
            if state.in_flight:
                replica = state.replica
                counts[replica.service, replica.availability_zone] += state.in_flight
        return counts

    def _take_averages(self) -> dict[ServiceZone, float]:
        samples, self._samples = self._samples, []
        sums: dict[ServiceZone, float] = defaultdict(float)
        for sample in samples:
            for key, count in sample.items():
                sums[key] += count / len(samples)
        used = [entry for entry in sums.items() if entry[1] >= MIN_REPORTED]
        ranked = sorted(used, key=lambda entry: -entry[1])
        return dict(ranked[:MAX_REPORTED])

    def take_report(self) -> str:
        """Return what to report with the next ping, an empty text if not due."""
        now_s = self._clock()
        if now_s - self._reported_s < report_interval_s(self._daemon_count()):
            return ""
        self._reported_s = now_s
        averages = self._take_averages()
        had_use, self._has_use = self._has_use, bool(averages)
        if had_use and not averages:
            return NO_USE
        return ";".join(f"{s},{z},{count:.1f}" for (s, z), count in averages.items())

    # -- sums of the owner

    def handle_report(self, node: str, text: str) -> None:
        """Keep the report of another daemon."""
        in_flight: dict[ServiceZone, float] = {}
        for entry in filter(None, text.split(";")):
            try:
                service, zone, count = entry.rsplit(",", 2)
                in_flight[service, zone] = float(count)
            except ValueError:
                logger.warning("zones: invalid report of {}: {}", node, entry[:80])
        self._reports[node] = _Report(self._clock(), in_flight)

    async def tick(self) -> None:
        """Take a sample; as the owner, publish the sums that have changed."""
        self._samples.append(self._sample())
        if not self._facts.is_owner:
            # Samples that no ping has taken up are not kept without bound.
            del self._samples[:-8]
            self._reports.clear()
            self._published.clear()
            return
        self._reports[self._node] = _Report(self._clock(), self._take_averages())
        self._publish(self._sums())

    def _sums(self) -> dict[ServiceZone, float]:
        """Return the share of used places, averaged over the last seconds."""
        now_s = self._clock()
        oldest_s = now_s - 3 * report_interval_s(self._daemon_count())
        in_flight: dict[ServiceZone, float] = defaultdict(float)
        for node, report in list(self._reports.items()):
            if report.received_s < oldest_s:
                del self._reports[node]
                continue
            for key, count in report.in_flight.items():
                in_flight[key] += count
        slots = self._counted_slots(now_s)
        for key, count in slots.items():
            known = self._shares.get(key, 0.0)
            share = in_flight[key] / max(1, count)
            self._shares[key] = known + SMOOTHING_FACTOR * (share - known)
        return {key: self._shares[key] for key in slots}

    def _counted_slots(self, now_s: float) -> dict[ServiceZone, int]:
        """Return the places of each service and zone, as counted lately."""
        if now_s - self._slots_counted_s < SLOTS_AGE_S:
            return self._slots
        self._slots_counted_s = now_s
        slots: dict[ServiceZone, int] = defaultdict(int)
        for state in self._fleet.all_replicas():
            if state.is_serving:
                replica = state.replica
                slots[replica.service, replica.availability_zone] += replica.slots
        self._slots = dict(slots)
        return self._slots

    def _publish(self, shares: dict[ServiceZone, float]) -> None:
        now_s = self._clock()
        changes: list[tuple[float, ServiceZone, float]] = []
        for key, share in shares.items():
            known, published_s = self._published.get(key, (0.0, float("-inf")))
            if share < (MIN_KEPT_SHARE if known else MIN_PUBLISHED_SHARE):
                if known:
                    self._facts.retract(ZoneLoad, "/".join(key))
                    del self._published[key]
                continue
            is_due = now_s - published_s > RENEWAL_S
            if is_due or abs(share - known) >= SHARE_STEP:
                urgency = abs(share - known) + (share > URGENT_SHARE)
                changes.append((urgency, key, share))
        changes.sort(reverse=True)
        for _, key, share in changes[:MAX_PUBLISHED_PER_TICK]:
            self._renewal += 1
            fact = ZoneLoad(round(share, 2), self._renewal)
            self._facts.publish("/".join(key), fact, LIFETIME_S)
            self._published[key] = (share, now_s)
