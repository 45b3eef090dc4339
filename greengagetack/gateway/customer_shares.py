"""greengagetack.gateway.customer_shares: keeps customers to their fair shares.

Each daemon counts its requests by customer and reports those for congested services
with its pings to the owner of the facts. The owner publishes which customers ask for
more than their fair share, and each daemon refuses their surplus.
"""

import heapq
import random
import time
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import quote, unquote

from loguru import logger

from greengagetack.facts import FactTable, fact_type
from greengagetack.gateway.congestion import Congestion
from greengagetack.gateway.customers import DEFAULT_RANK, CustomerDirectory
from greengagetack.gateway.shares import (
    ServiceDemand,
    fair_shares,
    newcomer_share,
)
from greengagetack.gateway.zone_load import report_interval_s
from greengagetack.observability.metrics import Metrics

__all__ = ["TICK_S", "CustomerShares", "RequestOutcome", "ServiceShares"]

TICK_S = 1.0
# One report names this many customers of a service at most, the busiest ones.
MAX_REPORTED_CUSTOMERS = 24
MAX_REPORTED_SERVICES = 4
MEMORY_S = 10.0
# Bounds the owner's memory; further customers count among the rest.
MAX_REMEMBERED_CUSTOMERS = 1_000
MAX_PUBLISHED_PER_TICK = 3
# A wrong fact ends by itself after this time.
LIFETIME_S = 4.0
RENEWAL_S = 2.0
# Smaller changes of a share are not published before the next renewal.
SHARE_STEP = 0.05
MAX_LOGGED_PER_TICK = 5
HEAD_FIELDS = 6


@fact_type("service-shares", is_lasting=False)
@dataclass(frozen=True, slots=True)
class ServiceShares:
    """Shares for the congested service in the fact's key.

    Attributes
    ----------
    fair_rate_per_s : float
        Requests that a customer may have served at most.
    admitted : dict of str to float
        Share of the requests to admit of each customer that asks for more.
    newcomer_share : float
        Share of the requests to admit of those that were not refused before.
    renewal : int
        Grows with each publication, so that unchanged shares are renewed.
    """

    fair_rate_per_s: float
    admitted: dict[str, float]
    newcomer_share: float = 1.0
    renewal: int = 0


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """How a request of a customer ended at a daemon."""

    customer: str
    is_served: bool
    has_returned: bool
    is_surplus: bool = False


@dataclass(slots=True)
class _Counts:
    """Requests for a service: by customer, and by what decides on newcomers."""

    asked: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    served: int = 0
    newcomers: int = 0
    returned: int = 0
    rest_asked: int = 0
    rest_count: int = 0

    def record(self, outcome: RequestOutcome) -> None:
        self.asked[outcome.customer] += 1
        self.served += outcome.is_served
        if not outcome.is_surplus:
            self.newcomers += not outcome.has_returned
            self.returned += outcome.has_returned

    def add_customer(self, customer: str, asked: int) -> None:
        if customer in self.asked or len(self.asked) < MAX_REMEMBERED_CUSTOMERS:
            self.asked[customer] += asked
        else:
            self.rest_asked += asked

    def encode(self) -> str:
        busiest = heapq.nlargest(
            MAX_REPORTED_CUSTOMERS, self.asked.items(), key=lambda entry: entry[1]
        )
        rest_asked = sum(self.asked.values()) - sum(asked for _, asked in busiest)
        head = (
            self.served,
            self.newcomers,
            self.returned,
            rest_asked,
            len(self.asked) - len(busiest),
        )
        fields = [str(count) for count in head]
        fields += [f"{quote(name, safe='')}:{asked}" for name, asked in busiest]
        return ",".join(fields)


class CustomerShares:
    """Counts requests by customer and decides which to refuse by their shares.

    Parameters
    ----------
    node : str
        Name of this VM.
    customers : callable
        Returns the customers of the configuration in force.
    daemon_count : callable
        Returns the number of listed daemons.
    """

    def __init__(
        self,
        node: str,
        facts: FactTable,
        customers: Callable[[], CustomerDirectory],
        congestion: Congestion,
        daemon_count: Callable[[], int],
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._node = node
        self._facts = facts
        self._customers = customers
        self._congestion = congestion
        self._daemon_count = daemon_count
        self._metrics = metrics
        self._clock = clock
        self._rng = rng or random.Random()
        self._counts: dict[str, _Counts] = {}
        self._reported_s = float("-inf")
        self._refused: dict[tuple[str, str], int] = defaultdict(int)
        # Of all daemons, in seconds of the owner's clock.
        self._memory: dict[str, deque[tuple[int, _Counts]]] = {}
        self._published: dict[str, tuple[float, ServiceShares]] = {}
        self._renewal = 0

    # -- decisions

    def is_surplus(self, service: str, customer: str) -> bool:
        """Whether to refuse a request, as its customer is above its fair share."""
        shares = self._shares(service)
        if shares is None:
            return False
        admitted = shares.admitted.get(customer, 1.0)
        if admitted >= 1.0 or self._rng.random() < admitted:
            return False
        self._refused[service, customer] += 1
        self._metrics.add("share_refusals", service=service)
        return True

    def yields(self, service: str) -> bool:
        """Whether to refuse a newcomer, as enough others have come back."""
        shares = self._shares(service)
        return shares is not None and self._rng.random() >= shares.newcomer_share

    def _shares(self, service: str) -> ServiceShares | None:
        """Return the shares in force, None while places are free."""
        if not self._customers() or not self._congestion.is_congested(service):
            return None
        if self._congestion.has_places(service):
            return None
        return self._facts.get(ServiceShares, service)

    # -- reports of this daemon

    def record(self, service: str, outcome: RequestOutcome) -> None:
        """Count a request of a customer."""
        counts = self._counts.get(service)
        if counts is None:
            counts = self._counts[service] = _Counts()
        counts.record(outcome)

    def _take_counts(self) -> dict[str, _Counts]:
        taken, self._counts = self._counts, {}
        congested = [name for name in taken if self._congestion.is_congested(name)]
        congested.sort(key=lambda name: -sum(taken[name].asked.values()))
        return {name: taken[name] for name in congested[:MAX_REPORTED_SERVICES]}

    def take_report(self) -> str:
        """Return what to report with the next ping, an empty text if not due."""
        now_s = self._clock()
        if now_s - self._reported_s < report_interval_s(self._daemon_count()):
            return ""
        self._reported_s = now_s
        return ";".join(
            f"{quote(service, safe='')},{counts.encode()}"
            for service, counts in self._take_counts().items()
        )

    # -- the owner's part

    def handle_report(self, node: str, text: str) -> None:
        """Add the report of another daemon."""
        for entry in filter(None, text.split(";")):
            fields = entry.split(",")
            try:
                # All of an entry is read before any of it counts.
                numbers = [int(value) for value in fields[1:HEAD_FIELDS]]
                served, newcomers, returned, rest_asked, rest_count = numbers
                pairs = [value.split(":") for value in fields[HEAD_FIELDS:]]
                asked = {unquote(name): int(count) for name, count in pairs}
            except ValueError:
                logger.warning("shares: invalid report of {}: {}", node, entry[:80])
                continue
            counts = self._current(unquote(fields[0]))
            counts.served += served
            counts.newcomers += newcomers
            counts.returned += returned
            counts.rest_asked += rest_asked
            counts.rest_count = max(counts.rest_count, rest_count)
            for name, count in asked.items():
                counts.add_customer(name, count)

    def _current(self, service: str) -> _Counts:
        """Return the counts of the current second."""
        second = int(self._clock())
        memory = self._memory.setdefault(service, deque())
        if not memory or memory[-1][0] != second:
            memory.append((second, _Counts()))
        return memory[-1][1]

    async def tick(self) -> None:
        """Log the refusals; as the owner, publish the shares that have changed."""
        self._log_refusals()
        if not self._facts.is_owner:
            # What an owner remembers is taken from reports within the memory's length.
            self._memory.clear()
            self._published.clear()
            return
        if text := self.take_report():
            self.handle_report(self._node, text)
        oldest = self._clock() - MEMORY_S
        for service, memory in list(self._memory.items()):
            while memory and memory[0][0] < oldest:
                memory.popleft()
            if not memory:
                del self._memory[service]
        self._publish()

    def _demand(self, service: str) -> ServiceDemand:
        demand = ServiceDemand()
        for _, counts in self._memory[service]:
            demand.served += counts.served
            demand.newcomers += counts.newcomers
            demand.returned += counts.returned
            demand.rest_asked += counts.rest_asked
            demand.rest_count = max(demand.rest_count, counts.rest_count)
            for name, asked in counts.asked.items():
                demand.asked[name] = demand.asked.get(name, 0.0) + asked
        return demand

    def _publish(self) -> None:
        now_s = self._clock()
        for service in list(self._published):
            if service not in self._memory or not self._congestion.is_congested(
                service
            ):
                self._facts.retract(ServiceShares, service)
                del self._published[service]
        changed = 0
        for service in self._memory:
            if changed >= MAX_PUBLISHED_PER_TICK or not self._congestion.is_congested(
                service
            ):
                continue
            shares = self._compute(service)
            published_s, known = self._published.get(service, (float("-inf"), None))
            if shares is None:
                if known is not None:
                    self._facts.retract(ServiceShares, service)
                    del self._published[service]
                continue
            is_due = now_s - published_s >= RENEWAL_S
            if not is_due and known is not None and not _differs(known, shares):
                continue
            changed += 1
            self._renewal += 1
            self._facts.publish(service, shares, LIFETIME_S)
            self._published[service] = (now_s, shares)

    def _compute(self, service: str) -> ServiceShares | None:
        """Return the shares to publish, None if nobody has to be refused by them."""
        demand = self._demand(service)
        fair = fair_shares(demand, self._customers().rank_of, DEFAULT_RANK)
        newcomers = newcomer_share(demand)
        if not fair.admitted and newcomers >= 1.0:
            return None
        memory = self._memory[service]
        period_s = max(TICK_S, self._clock() - memory[0][0])
        rate_per_s = 0.0 if fair.level == float("inf") else fair.level / period_s
        admitted = {name: round(share, 3) for name, share in fair.admitted.items()}
        return ServiceShares(
            round(rate_per_s, 2), admitted, round(newcomers, 3), self._renewal + 1
        )

    def _log_refusals(self) -> None:
        refused, self._refused = self._refused, defaultdict(int)
        most = heapq.nlargest(
            MAX_LOGGED_PER_TICK, refused.items(), key=lambda entry: entry[1]
        )
        for (service, customer), count in most:
            shares = self._facts.get(ServiceShares, service)
            logger.info(
                "shares: surplus of a customer refused",
                service=service,
                customer=customer,
                refused=count,
                admitted=None if shares is None else shares.admitted.get(customer),
                fair_per_s=None if shares is None else shares.fair_rate_per_s,
            )


def _differs(known: ServiceShares, shares: ServiceShares) -> bool:
    if abs(known.newcomer_share - shares.newcomer_share) >= SHARE_STEP:
        return True
    return any(
        abs(known.admitted.get(name, 1.0) - shares.admitted.get(name, 1.0))
        >= SHARE_STEP
        for name in known.admitted.keys() | shares.admitted.keys()
    )
