"""greengagetack.accounting.reporter: stores and reports usage under the duty."""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol

import msgspec
from loguru import logger

from greengagetack.accounting.collection import UsageTable
from greengagetack.accounting.report import (
    REPORTS_PATH,
    ReportPlan,
    ReportTimings,
    StoredReports,
    StoredWindow,
    add_windows,
    plan_reports,
)
from greengagetack.accounting.windows import UsageCounter
from greengagetack.coordination.duty_api import DutyEnd, DutyTerms
from greengagetack.errors import CodedError
from greengagetack.objects.base import ObjectConflict, PlatformObject
from greengagetack.observability.metrics import Metrics

__all__ = ["ReportApi", "ReportSeat", "ReportStore", "Reporter"]

TICK_INTERVAL_S = 0.1
# The API limits the calls of all duties together.
MIN_CALL_PAUSE_S = 0.25
LIMITED_PAUSE_S = 1.0
STORE_PAUSE_S = 0.5
WRITE_LIMIT_S = 1.0
# Within this time, all daemons learn of a new holder with their pings, and send it
# their totals.
COLLECTION_S = 1.8
MAX_LOGGED_NODES = 5
# More than the store keeps.
REMEMBERED_WINDOWS = 24


class ReportSeat(Protocol):
    """The duty of this daemon."""

    @property
    def is_holder(self) -> bool:
        """Whether this daemon may make the duty's calls now."""

    @property
    def known_s(self) -> float:
        """Seconds since which the others can know this daemon, 0 if they do not."""

    @property
    def is_confirmed(self) -> bool:
        """Whether the others know this holder."""

    @property
    def fence(self) -> int:
        """The fencing token of the held lease."""

    async def call(self, send: Callable[[DutyTerms], Awaitable[DutyEnd]]) -> DutyEnd:
        """Make one call under the lease."""


class ReportApi(Protocol):
    """The platform's API."""

    async def report_usage(
        self, window: int, counts: Mapping[str, int], terms: DutyTerms
    ) -> DutyEnd:
        """Report each customer's requests of a window."""


class ReportStore(Protocol):
    """The operations of the object store that reports need."""

    async def read(self, path: str) -> PlatformObject | None:
        """Return an object, None if it does not exist."""

    async def write(
        self, path: str, value: Any, expected_version: int, limit_s: float = 2.0
    ) -> int:
        """Write if the version is `expected_version`; return the new version."""


class Reporter:
    """Stores each window's counts, and reports them until that is answered.

    Parameters
    ----------
    nodes : callable
        Returns the VMs whose daemons count requests.
    update : callable
        Merges this daemon's own totals into the table.
    """

    def __init__(
        self,
        seat: ReportSeat,
        api: ReportApi,
        store: ReportStore,
        counter: UsageCounter,
        table: UsageTable,
        nodes: Callable[[], list[str]],
        update: Callable[[], None],
        timings: ReportTimings,
        calls_per_s: float,
        metrics: Metrics,
    ) -> None:
        self._seat = seat
        self._api = api
        self._store = store
        self._counter = counter
        self._table = table
        self._nodes = nodes
        self._update = update
        self._timings = timings
        self._call_pause_s = max(MIN_CALL_PAUSE_S, 2.0 / max(0.1, calls_per_s))
        self._metrics = metrics
        # What is stored, None until it has been read by this holder.
        self._reports: StoredReports | None = None
        self._version = 0
        self._fence = 0
        self._answered: set[int] = set()
        self._tries: Counter[int] = Counter()
        self._dropped: set[int] = set()
        # Windows that this daemon has stored, until their counts are settled.
        self._unsettled: set[int] = set()
        self._store_due_s = float("-inf")
        self._call_due_s = float("-inf")

    async def run(self) -> None:
        """Report while this daemon holds the duty, until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            await self.tick()

    async def tick(self) -> None:
        """Take what is due: read the store, store windows, or report one."""
        if not self._seat.is_holder:
            return
        if self._seat.fence != self._fence:
            # Another holder may have stored windows in between.
            self._reports, self._fence = None, self._seat.fence
        now_s = time.monotonic()
        if self._reports is None and (
            now_s < self._store_due_s or not await self._read()
        ):
            return
        plan = self._plan()
        self._log_dropped(plan.drop)
        if plan.store and now_s >= self._store_due_s and self._seat.is_confirmed:
            await self._store_windows(plan.store)
            plan = self._plan()
        if plan.send and time.monotonic() >= self._call_due_s:
            await self._send(self._next_window(plan.send))
        self._check_late()

    def _plan(self) -> ReportPlan:
        stored = self._stored()
        return plan_reports(
            self._counter.now_s(),
            self._timings,
            stored,
            self._answered,
            self._first_window(),
            self._table.is_known,
            self._is_complete,
            self._seat.known_s >= COLLECTION_S,
        )

    def _stored(self) -> dict[int, StoredWindow]:
        windows = () if self._reports is None else self._reports.windows
        return {one.window: one for one in windows}

    def _first_window(self) -> int:
        """Return the first window that a daemon has counted in."""
        return min([self._counter.first_window, *self._table.windows()])

    def _is_complete(self, window: int) -> bool:
        return not self._table.missing(window, self._nodes(), self._seat.known_s)

    # -- the store

    async def _read(self) -> bool:
        try:
            stored = await self._store.read(REPORTS_PATH)
        except CodedError as error:
            logger.warning("usage: stored reports not read: {}", error.reason)
            self._store_due_s = time.monotonic() + STORE_PAUSE_S
            return False
        self._version = 0 if stored is None else stored.version
        self._reports = StoredReports()
        if stored is None:
            return True
        try:
            self._reports = msgspec.convert(stored.value, StoredReports)
        except msgspec.ValidationError as error:
            # Reports of windows that were stored there may differ from now on, so none
            # is sent for windows that have ended.
            logger.error("usage: stored reports cannot be decoded: {}", error)
            last = self._counter.current_window()
            self._reports = StoredReports((StoredWindow(last, {}, True),))
        return True

    async def _store_windows(self, windows: tuple[int, ...]) -> None:
        assert self._reports is not None
        self._update()
        added = {window: self._table.counts(window) for window in windows}
        reports = add_windows(self._reports, added, self._answered)
        value = msgspec.to_builtins(reports)
        try:
            self._version = await self._store.write(
                REPORTS_PATH, value, self._version, WRITE_LIMIT_S
            )
        except ObjectConflict:
            logger.info("usage: another daemon has stored reports", windows=windows)
            self._reports = None
            return
        except CodedError as error:
            # The write may have taken effect, so what is stored must be read.
            logger.warning(
                "usage: windows not stored", windows=windows, reason=error.reason
            )
            self._reports = None
            self._store_due_s = time.monotonic() + STORE_PAUSE_S
            return
        self._reports = reports
        for window, counts in added.items():
            self._unsettled.add(window)
            self._log_stored(window, counts)

    def _log_stored(self, window: int, counts: dict[str, int]) -> None:
        missing = self._table.missing(window, self._nodes(), self._seat.known_s)
        age_s = self._timings.age_s(window, self._counter.now_s())
        logger.info(
            "usage: window stored",
            window=window,
            age_s=round(age_s, 2),
            requests=sum(counts.values()),
            customers=len(counts),
            daemons=len(self._table.entries(window)),
            missing=len(missing),
            missing_nodes=",".join(missing[:MAX_LOGGED_NODES]),
        )
        self._metrics.set("usage_window_lag_s", age_s)

    # -- the API

    def _next_window(self, windows: tuple[int, ...]) -> int:
        """Return the window to report next: in time, and tried least."""
        now_s = self._counter.now_s()

        def sort_key(window: int) -> tuple[bool, int]:
            is_late = self._timings.age_s(window, now_s) > self._timings.due_s
            return is_late, self._tries[window]

        return min(windows, key=sort_key)

    async def _send(self, window: int) -> None:
        self._tries[window] += 1
        counts = self._stored()[window].counts
        end = await self._seat.call(
            lambda terms: self._api.report_usage(window, counts, terms)
        )
        pause_s = LIMITED_PAUSE_S if end is DutyEnd.LIMITED else self._call_pause_s
        self._call_due_s = time.monotonic() + pause_s
        age_s = self._timings.age_s(window, self._counter.now_s())
        is_late = age_s > self._timings.due_s
        logger.info(
            "usage: report sent",
            window=window,
            result=end.value,
            age_s=round(age_s, 2),
            is_late=is_late,
            requests=sum(counts.values()),
            fence=self._seat.fence,
        )
        self._metrics.add("usage_reports", result=end.value, late=str(is_late).lower())
        if end is DutyEnd.ACCEPTED:
            self._answered.add(window)

    def _log_dropped(self, windows: tuple[int, ...]) -> None:
        for window in windows:
            if window in self._dropped:
                continue
            self._dropped.add(window)
            logger.error(
                "usage: window not reported in time",
                window=window,
                was_stored=window in self._stored(),
            )
            self._metrics.add("usage_windows_dropped")

    def _check_late(self) -> None:
        """Log what arrived too late for a report, before it is forgotten."""
        now_s = self._counter.now_s()
        for window in sorted(self._unsettled):
            if self._timings.age_s(window, now_s) <= self._timings.due_s:
                continue
            self._unsettled.discard(window)
            stored = self._stored().get(window)
            if stored is not None and self._table.is_known(window):
                self._log_late(window, stored.counts)
        oldest = self._counter.current_window() - REMEMBERED_WINDOWS
        self._dropped = {one for one in self._dropped if one > oldest}
        self._answered = {one for one in self._answered if one > oldest}
        for window in [one for one in self._tries if one <= oldest]:
            del self._tries[window]

    def _log_late(self, window: int, reported: dict[str, int]) -> None:
        counts = self._table.counts(window)
        late = sum(
            abs(counts.get(name, 0) - reported.get(name, 0))
            for name in counts | reported
        )
        if not late:
            return
        logger.warning(
            "usage: counts changed after the report",
            window=window,
            requests=sum(reported.values()),
            changed=late,
        )
        self._metrics.add("usage_late_counts", late, where="holder")
