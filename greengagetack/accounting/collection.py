"""greengagetack.accounting.collection: the totals of all daemons, merged by window."""

import math
import time
from collections import Counter
from collections.abc import Collection, Iterable

import xxhash

from greengagetack.accounting.windows import CLOSE_DELAY_S, WindowCounts

__all__ = [
    "MAX_DIRECT_DAEMONS",
    "EntryKey",
    "UsageTable",
    "collector_of",
    "next_send_s",
    "send_interval_s",
]

# Up to this many daemons, each sends to the holder itself.
MAX_DIRECT_DAEMONS = 128
# A daemon that fails takes with it what it has counted since it last sent its totals.
# That is a larger share of all requests in a small fleet, which can send more often at
# the same cost for the holder.
MIN_SEND_INTERVAL_S = 0.5
MAX_SEND_INTERVAL_S = 2.0
MESSAGES_PER_S = 32
# A daemon that has sent nothing for this long, more than a window, is not waited for.
EXPECTED_S = 7.0

# VM, incarnation and window of a total.
EntryKey = tuple[str, str, int]


def send_interval_s(daemons: int) -> float:
    """Return the interval in which each of a number of daemons sends its totals."""
    return min(MAX_SEND_INTERVAL_S, max(MIN_SEND_INTERVAL_S, daemons / MESSAGES_PER_S))


def next_send_s(now_s: float, window_s: float, interval_s: float) -> float:
    """Return when totals are to be sent next, in true time.

    That is soon after a window's end, and then at intervals.
    """
    start_s = now_s // window_s * window_s + CLOSE_DELAY_S
    if now_s < start_s:
        return start_s
    passed = math.floor((now_s - start_s) / interval_s) + 1
    return min(start_s + passed * interval_s, start_s + window_s)


def collector_of(node: str, nodes: Collection[str]) -> str:
    """Return the daemon that collects for another one, an empty string for none."""
    if len(nodes) <= MAX_DIRECT_DAEMONS:
        return ""
    ordered = sorted(nodes, key=lambda name: xxhash.xxh64_intdigest(name.encode()))
    chosen = ordered[: math.isqrt(len(nodes))]
    if node in chosen:
        return ""
    return chosen[xxhash.xxh64_intdigest(f"usage/{node}".encode()) % len(chosen)]


class UsageTable:
    """The latest totals of each daemon's processes."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[EntryKey, WindowCounts]] = {}
        self._heard_s: dict[str, float] = {}

    def merge(self, entry: WindowCounts) -> bool:
        """Take an entry if it is newer than the known one; return whether it is."""
        self._heard_s[entry.node] = time.monotonic()
        key = (entry.node, entry.incarnation, entry.window)
        entries = self._windows.setdefault(entry.window, {})
        known = entries.get(key)
        if known is not None and known.revision >= entry.revision:
            return False
        entries[key] = entry
        return True

    def get(self, key: EntryKey) -> WindowCounts | None:
        """Return an entry, None if it is not kept."""
        return self._windows.get(key[2], {}).get(key)

    def entries(self, window: int) -> Collection[WindowCounts]:
        """Return the entries of a window."""
        return self._windows.get(window, {}).values()

    def is_known(self, window: int) -> bool:
        """Whether any daemon has counted in a window."""
        return bool(self._windows.get(window))

    def windows(self) -> list[int]:
        """Return the windows of which something is known."""
        return sorted(window for window, known in self._windows.items() if known)

    def prune(self, first: int) -> None:
        """Forget the windows before the first one that is needed."""
        for window in [one for one in self._windows if one < first]:
            del self._windows[window]
        limit_s = time.monotonic() - 2 * EXPECTED_S
        self._heard_s = {
            node: heard_s
            for node, heard_s in self._heard_s.items()
            if heard_s > limit_s
        }

    def counts(self, window: int) -> dict[str, int]:
        """Return each customer's requests of a window, open ones included."""
        total: Counter[str] = Counter()
        for entry in self.entries(window):
            total.update(entry.counts)
            total.update(entry.open_counts)
        return dict(sorted(total.items()))

    def is_silent(self, node: str) -> bool:
        """Whether a daemon has sent nothing for long."""
        heard_s = self._heard_s.get(node, float("-inf"))
        return time.monotonic() - heard_s > EXPECTED_S

    def missing(self, window: int, nodes: Iterable[str], known_s: float) -> list[str]:
        """Return the daemons that have not closed a window but may still do so.

        Parameters
        ----------
        known_s : float
            For how long the daemons have known where to send their totals.
        """
        closed = {entry.node for entry in self.entries(window) if entry.is_closed}
        is_new = known_s < EXPECTED_S
        return [
            node
            for node in nodes
            if node not in closed and (is_new or not self.is_silent(node))
        ]
