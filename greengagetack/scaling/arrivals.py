"""greengagetack.scaling.arrivals: the arrival rates of callers' requests.

Callers' requests reach all daemons. Each daemon adds its rates to the pings that it
sends the dispatcher anyway, which costs about 40 bytes per second and service. The
dispatcher holds them in memory only; its successor has them after one ping interval.
"""

import time
from collections import deque
from collections.abc import Callable, Iterable
from urllib.parse import quote, unquote

import xxhash
from loguru import logger

__all__ = ["ArrivalCounter", "ArrivalReports", "decode_arrivals", "encode_arrivals"]

# Period over which arrivals are counted.
ARRIVAL_PERIOD_S = 3.0
# Daemons ping at least once a second, and a ping may be lost.
REPORT_LIFETIME_S = 3.0
# In larger fleets a sample of this size reports.
MAX_REPORTERS = 128


class ArrivalCounter:
    """Counts the callers' requests that this daemon got for each service."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._started_s = clock()
        # Numbers of requests with the time of the first, in steps of a tenth of the
        # period.
        self._counts: dict[str, deque[tuple[float, int]]] = {}

    def record(self, service: str) -> None:
        """Count a request, executed or not."""
        now_s = self._clock()
        counts = self._counts.setdefault(service, deque())
        if counts and now_s - counts[-1][0] < ARRIVAL_PERIOD_S / 10:
            counts[-1] = (counts[-1][0], counts[-1][1] + 1)
            return
        counts.append((now_s, 1))
        self._drop_old(counts, now_s)

    @staticmethod
    def _drop_old(counts: deque[tuple[float, int]], now_s: float) -> None:
        while counts and now_s - counts[0][0] > ARRIVAL_PERIOD_S:
            counts.popleft()

    def rate_per_s(self, service: str) -> float:
        """Return the arrival rate over the last period."""
        counts = self._counts.get(service)
        if not counts:
            return 0.0
        now_s = self._clock()
        self._drop_old(counts, now_s)
        period_s = min(ARRIVAL_PERIOD_S, max(1.0, now_s - self._started_s))
        return sum(count for _, count in counts) / period_s


def encode_arrivals(rates: Iterable[tuple[str, float, float]]) -> str:
    """Return services with rates and busy slots in the form that pings carry."""
    return ",".join(
        f"{quote(service, safe='')}:{rate:.2f}:{busy:.3f}"
        for service, rate, busy in rates
    )


def decode_arrivals(text: str) -> list[tuple[str, float, float]]:
    """Return the services, rates and busy slots of a ping.

    Raises
    ------
    ValueError
        If the text is not valid.
    """
    found = []
    for part in text.split(",") if text else ():
        service, rate, busy = part.split(":")
        found.append((unquote(service), float(rate), float(busy)))
    return found


class ArrivalReports:
    """Sums the arrivals that daemons report; kept in memory by the dispatcher.

    Parameters
    ----------
    member_count : callable
        Returns the number of listed daemons.
    """

    def __init__(
        self,
        member_count: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._member_count = member_count
        self._clock = clock
        self._reports: dict[str, tuple[float, list[tuple[str, float, float]]]] = {}

    def sample_divisor(self) -> int:
        """Return of how many daemons one reports."""
        return max(1, -(-self._member_count() // MAX_REPORTERS))

    def is_reporter(self, node: str) -> bool:
        """Whether a daemon belongs to the sample that reports."""
        return xxhash.xxh32_intdigest(node.encode()) % self.sample_divisor() == 0

    def record(self, node: str, text: str) -> None:
        """Record the arrivals that a ping of a daemon carries."""
        try:
            self._reports[node] = (self._clock(), decode_arrivals(text))
        except ValueError as error:
            logger.warning("scaling: arrivals of {} not decoded: {}", node, error)

    def totals(self, service: str) -> tuple[float, float]:
        """Return the arrival rate of a service at all daemons, and its busy slots."""
        oldest_s = self._clock() - REPORT_LIFETIME_S
        total_per_s, total_busy = 0.0, 0.0
        for node, (reported_s, rates) in list(self._reports.items()):
            if reported_s < oldest_s:
                del self._reports[node]
                continue
            for name, rate_per_s, busy in rates:
                if name == service:
                    total_per_s += rate_per_s
                    total_busy += busy
        divisor = self.sample_divisor()
        return total_per_s * divisor, total_busy * divisor
