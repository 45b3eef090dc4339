"""greengagetack.accounting.report: which windows to store and to report, and when.

A window's counts are stored with a conditional write before they are reported. So all
holders report the same counts: a window in the store is reported with exactly the
stored counts, and one that is not there has never been reported.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

import msgspec

__all__ = [
    "REPORTS_PATH",
    "ReportPlan",
    "ReportTimings",
    "StoredReports",
    "StoredWindow",
    "add_windows",
    "plan_reports",
]

REPORTS_PATH = "usage/main"
MAX_STORED_WINDOWS = 12


class StoredWindow(msgspec.Struct, frozen=True):
    """A window's counts as they are reported.

    `is_reported` says that an earlier report was answered; it is stored with the next
    window, so that a successor repeats few reports.
    """

    window: int
    counts: dict[str, int]
    is_reported: bool = False


class StoredReports(msgspec.Struct, frozen=True):
    """The last windows, oldest first."""

    windows: tuple[StoredWindow, ...] = ()


@dataclass(frozen=True, slots=True)
class ReportTimings:
    """Times after a window's end.

    Attributes
    ----------
    window_s : float
        Length of a window.
    ready_s : float
        The counts are stored if all daemons have closed the window. Early enough for a
        successor of a holder that fails just before it reports: it may take 6.3 s to
        acquire the lease, and the report is due after 10 s.
    limit_s : float
        The counts are stored even if daemons are missing.
    due_s : float
        A report is late after this.
    end_s : float
        A report is given up after this.
    """

    window_s: float = 5.0
    ready_s: float = 3.0
    limit_s: float = 6.0
    due_s: float = 10.0
    end_s: float = 30.0

    @classmethod
    def for_due(cls, window_s: float, due_s: float) -> "ReportTimings":
        """Return the timings for a report that is due after `due_s`."""
        return cls(window_s, min(3.0, 0.3 * due_s), min(6.0, 0.6 * due_s), due_s)

    def age_s(self, window: int, now_s: float) -> float:
        """Return the time since a window's end."""
        return now_s - (window + 1) * self.window_s


@dataclass(frozen=True, slots=True)
class ReportPlan:
    """Windows to store now, to report in this order, and those to give up."""

    store: tuple[int, ...]
    send: tuple[int, ...]
    drop: tuple[int, ...]


def plan_reports(
    now_s: float,
    timings: ReportTimings,
    stored: Mapping[int, StoredWindow],
    answered: Collection[int],
    first_window: int,
    is_known: Callable[[int], bool],
    is_complete: Callable[[int], bool],
    has_collected: bool = True,
) -> ReportPlan:
    """Decide what the holder does about the windows.

    Parameters
    ----------
    now_s : float
        True time.
    stored : mapping
        The windows in the store.
    answered : collection of int
        Windows whose reports were answered.
    first_window : int
        The first window to report if none is stored.
    is_known : callable
        Returns whether any daemon has counted in a window. If none has, because all
        were lost, there is nothing to report.
    is_complete : callable
        Returns whether all daemons have closed a window.
    has_collected : bool
        Whether the holder has been known long enough that all daemons that can have
        sent it their totals.
    """
    last = int((now_s - timings.ready_s) // timings.window_s) - 1
    next_window = max(stored) + 1 if stored else first_window
    store: list[int] = []
    drop: list[int] = []
    for window in range(max(next_window, last - MAX_STORED_WINDOWS), last + 1):
        age_s = timings.age_s(window, now_s)
        if age_s > timings.end_s:
            drop.append(window)
            continue
        is_over = has_collected and age_s >= timings.limit_s
        if not is_over and not is_complete(window):
            # In order: a window in the store shows that the earlier ones are settled.
            break
        (store if is_known(window) else drop).append(window)
    waiting = [
        window
        for window, one in sorted(stored.items())
        if not one.is_reported and window not in answered
    ]
    ages_s = {window: timings.age_s(window, now_s) for window in waiting}
    drop += [window for window in waiting if ages_s[window] > timings.end_s]
    in_time = [window for window in waiting if ages_s[window] <= timings.due_s]
    late = [
        window for window in waiting if timings.due_s < ages_s[window] <= timings.end_s
    ]
    return ReportPlan(tuple(store), tuple(in_time + late), tuple(drop))


def add_windows(
    reports: StoredReports,
    added: Mapping[int, dict[str, int]],
    answered: Collection[int],
) -> StoredReports:
    """Return what to store: the last windows, with what is known of their reports.

    Raises
    ------
    ValueError
        If a window is already stored; its counts must not change.
    """
    known = {one.window for one in reports.windows}
    if known & set(added):
        raise ValueError(f"windows {sorted(known & set(added))} are already stored")
    windows = [
        msgspec.structs.replace(
            one, is_reported=one.is_reported or one.window in answered
        )
        for one in reports.windows
    ]
    windows += [StoredWindow(window, counts) for window, counts in added.items()]
    windows.sort(key=lambda one: one.window)
    return StoredReports(tuple(windows[-MAX_STORED_WINDOWS:]))
