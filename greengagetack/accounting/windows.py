"""greengagetack.accounting.windows: counts of each customer's requests by window."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from greengagetack.observability.metrics import Metrics

__all__ = [
    "CLOSE_DELAY_S",
    "KEPT_WINDOWS",
    "RequestUsage",
    "UsageBundle",
    "UsageCounter",
    "WindowCounts",
]

# Windows whose counts are kept for a new holder of the duty.
KEPT_WINDOWS = 6
# A window's counts are told after its end plus this, when the attempts sent at its end
# are noted and clocks differ by less.
CLOSE_DELAY_S = 0.3


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """One daemon's totals of a window.

    Attributes
    ----------
    counts : dict
        Requests of each customer that replicas executed.
    open_counts : dict
        Requests that were sent to a replica, which has neither answered nor refused
        them yet. They count as executed if a report is due before that is known.
    revision : int
        Grows with each change; of two totals, the one with the larger is right.
    is_closed : bool
        Whether the window had ended.
    """

    node: str
    incarnation: str
    window: int
    counts: dict[str, int]
    open_counts: dict[str, int]
    revision: int
    is_closed: bool = False


@dataclass(frozen=True, slots=True)
class UsageBundle:
    """Totals of one or more daemons."""

    entries: tuple[WindowCounts, ...]


@dataclass(slots=True)
class _Window:
    counts: Counter[str]
    open_counts: Counter[str]
    revision: int = 0
    is_closed: bool = False


class UsageCounter:
    """Counts the requests of callers that this daemon has accepted.

    Parameters
    ----------
    now_s : callable
        Returns the estimate of true time.
    window_s : float
        Length of a window.
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        now_s: Callable[[], float],
        window_s: float,
        metrics: Metrics,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self.now_s = now_s
        self.window_s = window_s
        self._metrics = metrics
        self._windows: dict[int, _Window] = {}
        # Requests before this window may have been counted by an earlier process.
        self.first_window = self.window_of(now_s())

    def window_of(self, at_s: float) -> int:
        """Return the window of a time."""
        return int(at_s // self.window_s)

    def current_window(self) -> int:
        """Return the window that is open now."""
        return self.window_of(self.now_s())

    def record(self, customer: str, at_s: float) -> None:
        """Count a request that began to run at a time."""
        window = self._window(self.window_of(at_s))
        if window is None:
            self._log_late(customer, at_s)
            return
        window.counts[customer] += 1
        window.revision += 1

    def open(self, customer: str, number: int) -> None:
        """Note a request that was sent in a window and may have run."""
        window = self._window(number)
        if window is not None:
            window.open_counts[customer] += 1
            window.revision += 1

    def withdraw(self, customer: str, number: int) -> None:
        """Forget a request that was noted as open."""
        window = self._windows.get(number)
        if window is None:
            return
        window.open_counts[customer] -= 1
        window.revision += 1

    def keeps(self, number: int) -> bool:
        """Whether a window's counts can still change."""
        return number > self.current_window() - KEPT_WINDOWS

    def _window(self, number: int) -> _Window | None:
        """Return a window, None if it is no longer kept."""
        known = self._windows.get(number)
        if known is None and self.keeps(number):
            known = self._windows[number] = _Window(Counter(), Counter())
        return known

    def _log_late(self, customer: str, at_s: float) -> None:
        logger.warning(
            "usage: request not counted, as its window is no longer kept",
            customer=customer,
            late_s=round(self.now_s() - at_s, 1),
        )
        self._metrics.add("usage_late_counts", where="counter")

    def totals(self, is_final: bool = False) -> list[WindowCounts]:
        """Return the totals of all windows that are kept, oldest first.

        With `is_final`, no more requests will come, so that all windows are closed.
        """
        now_s = self.now_s()
        last = self.window_of(now_s)
        # The clock may have been ahead when this process started.
        self.first_window = min(self.first_window, last)
        for number in range(max(self.first_window, last - KEPT_WINDOWS + 1), last + 1):
            self._window(number)
        for number in [one for one in self._windows if one <= last - KEPT_WINDOWS]:
            del self._windows[number]
        return [
            self._total(number, window, now_s, is_final)
            for number, window in sorted(self._windows.items())
        ]

    def _total(
        self, number: int, window: _Window, now_s: float, is_final: bool
    ) -> WindowCounts:
        has_ended = now_s >= (number + 1) * self.window_s + CLOSE_DELAY_S
        if not window.is_closed and (has_ended or is_final):
            window.is_closed = True
            window.revision += 1
        return WindowCounts(
            self._node,
            self._incarnation,
            number,
            dict(+window.counts),
            dict(+window.open_counts),
            window.revision,
            window.is_closed,
        )


class RequestUsage:
    """Counts one request of a caller in the window of its first executed attempt."""

    def __init__(self, counter: UsageCounter, customer: str) -> None:
        self._counter = counter
        self._customer = customer
        # When the attempts were sent that replicas have not refused.
        self._sent_s: list[float] = []
        self._open_window: int | None = None
        self._is_settled = False

    def record_sent(self) -> float:
        """Record that an attempt is sent now; return the time."""
        now_s = self._counter.now_s()
        self._sent_s.append(now_s)
        self._update()
        return now_s

    def record_refused(self, sent_s: float) -> None:
        """Record that a replica refused the attempt that was sent at a time."""
        if not self._is_settled:
            self._sent_s.remove(sent_s)
            self._update()

    def record_began(self) -> None:
        """Count the request as one that begins to run now."""
        if not self._is_settled:
            self._is_settled = True
            self._counter.record(self._customer, self._counter.now_s())

    def settle(self) -> None:
        """Count the request if an attempt was executed, as no other will be sent."""
        if self._is_settled:
            return
        self._is_settled = True
        if self._open_window is None:
            return
        if not self._counter.keeps(self._open_window):
            # It was reported as an open request.
            return
        self._counter.withdraw(self._customer, self._open_window)
        self._counter.record(self._customer, min(self._sent_s))

    def _update(self) -> None:
        if self._is_settled:
            return
        window = self._counter.window_of(min(self._sent_s)) if self._sent_s else None
        if window == self._open_window:
            return
        if self._open_window is not None:
            self._counter.withdraw(self._customer, self._open_window)
        if window is not None:
            self._counter.open(self._customer, window)
        self._open_window = window
