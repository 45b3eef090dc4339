"""greengagetack.gateway.customer_metrics: requests and refusals of each customer.

The number of time series is bounded: the busiest customers have their own, and the rest
share one. Each series only grows while it exists, so that rates can be computed.
"""

import heapq
import time
from collections.abc import Callable

from greengagetack.observability.metrics import Metrics

__all__ = ["CustomerMetrics"]

MAX_LISTED = 20
RANKING_INTERVAL_S = 10.0
# Ratio by which earlier requests count less at each ranking: half after 43 s.
DECAY_RATIO = 0.85
# A customer whose requests count less than this is forgotten.
MIN_WEIGHT = 0.05
# Names in brackets, as those of customers usually have none.
OTHERS = "(other)"
PUBLIC = "(public)"
REQUESTS = "customer_requests"
REFUSALS = "customer_refusals"


class CustomerMetrics:
    """Counts requests and refusals by customer.

    Parameters
    ----------
    now_s : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self, metrics: Metrics, now_s: Callable[[], float] = time.monotonic
    ) -> None:
        self._metrics = metrics
        self._now_s = now_s
        self._ranked_s = now_s()
        self._weights: dict[str, float] = {}
        self._listed: set[str] = set()

    def add_request(self, customer: str | None) -> None:
        """Count a request; None, without customers in the deployment, is ignored."""
        if customer is None:
            return
        if self._now_s() - self._ranked_s >= RANKING_INTERVAL_S:
            self._rank()
        self._weights[customer] = self._weights.get(customer, 0.0) + 1
        if customer and len(self._listed) < MAX_LISTED:
            self._listed.add(customer)
        self._metrics.add(REQUESTS, customer=self._label(customer))

    def add_refusal(self, customer: str | None) -> None:
        """Count a request that was refused before it ran."""
        if customer is not None:
            self._metrics.add(REFUSALS, customer=self._label(customer))

    def _label(self, customer: str) -> str:
        if not customer:
            return PUBLIC
        return customer if customer in self._listed else OTHERS

    def _rank(self) -> None:
        """List the customers that sent most lately; the others' series end."""
        self._ranked_s = self._now_s()
        self._weights = {
            customer: weight * DECAY_RATIO
            for customer, weight in self._weights.items()
            if weight * DECAY_RATIO >= MIN_WEIGHT
        }
        names = [customer for customer in self._weights if customer]
        listed = set(
            heapq.nlargest(
                MAX_LISTED,
                names,
                # Among equals, those listed already stay.
                key=lambda name: (self._weights[name], name in self._listed),
            )
        )
        for customer in self._listed - listed:
            self._metrics.remove(REQUESTS, customer=customer)
            self._metrics.remove(REFUSALS, customer=customer)
        self._listed = listed
