"""greengagetack.weights.load_concurrency: how many replicas may load at a time.

Replicas read weights from a store of limited rate: beyond some number, loads at the
same time slow each other down, and each replica refuses new runs for longer.
"""

from collections import deque

__all__ = ["LoadConcurrency"]

# Maximum share of all replicas that load at the same time.
MAX_LOADING_RATIO = 0.4
# Loads that take this many times the shortest one slow each other down.
SLOWDOWN_RATIO = 1.4
DECREASE_FACTOR = 0.7
MIN_CONCURRENT_LOADS = 2
# The first loads show how long one takes when few others are in progress.
INITIAL_CONCURRENT_LOADS = 6
# Recent loads that are compared with the shortest one.
SAMPLE_COUNT = 5
MAX_REMEMBERED_LOADS = 200


class LoadConcurrency:
    """Lowers the limit while loads slow each other down, and raises it slowly again."""

    def __init__(self) -> None:
        self._limit = float(INITIAL_CONCURRENT_LOADS)
        self._durations_s: deque[float] = deque(maxlen=MAX_REMEMBERED_LOADS)

    def limit(self, replica_count: int) -> int:
        """Return how many replicas of a fleet may load at the same time."""
        highest = max(1, int(MAX_LOADING_RATIO * replica_count))
        return int(min(highest, self._limit))

    def record(self, duration_s: float, concurrent_loads: int) -> None:
        """Record a load that ended while others were in progress."""
        self._durations_s.append(duration_s)
        recent_s = sorted(list(self._durations_s)[-SAMPLE_COUNT:])
        if len(recent_s) < SAMPLE_COUNT:
            return
        median_s = recent_s[SAMPLE_COUNT // 2]
        if median_s <= SLOWDOWN_RATIO * min(self._durations_s):
            self._limit += 1 / max(1.0, min(self._limit, concurrent_loads))
            return
        lowered = DECREASE_FACTOR * min(self._limit, concurrent_loads)
        self._limit = max(MIN_CONCURRENT_LOADS, lowered)
        # The loads that are under way were started under the former limit.
        shortest_s = min(self._durations_s)
        self._durations_s.clear()
        self._durations_s.append(shortest_s)
