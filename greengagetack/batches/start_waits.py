"""greengagetack.batches.start_waits: how long items wait for a slot, and how many do.

A step ends with its longest items, and which these are is not known when they start. So
a step is in time only if nearly all of its items start soon after the submission.
"""

import math
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from greengagetack.batches.job_run import JobRun
from greengagetack.batches.progress import ItemProgress

__all__ = ["StartDemand", "StartWaits"]

# A trainer's last two steps are within this time.
WINDOW_S = 10.0
MAX_SAMPLES = 1_000
MIN_DURATIONS = 300
WAIT_QUANTILE = 0.9
LONG_RUN_QUANTILE = 0.98
# Time for committing and reading the last results of a step.
COMPLETION_S = 0.5
# Items start one after the other even with free slots.
MIN_ALLOWED_WAIT_S = 0.2


@dataclass(frozen=True, slots=True)
class StartDemand:
    """What the starts of a service's items need.

    Attributes
    ----------
    wait_s : float
        Time that the late starters of recent steps have waited for a slot.
    allowed_wait_s : float
        Time that an item may wait so that a long one still ends in time.
    peak_items : tuple of int
        Most items that were open at a time in the last seconds, for each model.
    """

    wait_s: float = 0.0
    allowed_wait_s: float = math.inf
    peak_items: tuple[int, ...] = ()


class StartWaits:
    """Records the starts and runs of items on the daemon that sends them."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        # Time and wait of each first start, by service.
        self._waits: dict[str, deque[tuple[float, float]]] = {}
        self._durations_s: dict[str, deque[float]] = {}
        # Open items in each second, by service and model.
        self._open_items: dict[tuple[str, str], dict[int, int]] = {}

    def record_start(self, run: JobRun, progress: ItemProgress) -> None:
        """Record that an item is about to run; only its first start in a job counts."""
        if progress.run_started_s >= run.opened_s:
            return
        now_s = self._clock()
        waits = self._waits.setdefault(run.job.service, deque(maxlen=MAX_SAMPLES))
        waits.append((now_s, now_s - run.opened_s))

    def record_duration(self, service: str, duration_s: float) -> None:
        """Record how long a whole item ran."""
        durations_s = self._durations_s.setdefault(service, deque(maxlen=MAX_SAMPLES))
        durations_s.append(duration_s)

    def record_open_items(self, runs: Iterable[JobRun]) -> None:
        """Record how many items are open."""
        counts: dict[tuple[str, str], int] = {}
        for run in runs:
            key = run.job.service, run.job.model
            counts[key] = counts.get(key, 0) + len(run.unfinished)
        second = int(self._clock())
        for key, count in counts.items():
            seconds = self._open_items.setdefault(key, {})
            seconds[second] = max(count, seconds.get(second, 0))
            for old in [s for s in seconds if s < second - WINDOW_S]:
                del seconds[old]

    def demand_of(
        self, service: str, due_after_s: float, longest_s: float
    ) -> StartDemand:
        """Return the demand of a service whose steps are due after a time.

        Parameters
        ----------
        longest_s : float
            Time that an open item may run by its token limit. It counts until enough
            items have ended: of the first ones, short items end first.
        """
        durations_s = sorted(self._durations_s.get(service, ()))
        now_s = self._clock()
        waits_s = sorted(
            wait_s
            for started_s, wait_s in self._waits.get(service, ())
            if started_s > now_s - WINDOW_S
        )
        if len(durations_s) >= MIN_DURATIONS:
            long_run_s = _quantile(durations_s, LONG_RUN_QUANTILE)
        else:
            long_run_s = longest_s
        slack_s = due_after_s - long_run_s - COMPLETION_S
        peaks = [
            max(
                (n for s, n in seconds.items() if s >= int(now_s) - WINDOW_S), default=0
            )
            for (name, _), seconds in sorted(self._open_items.items())
            if name == service
        ]
        return StartDemand(
            _quantile(waits_s, WAIT_QUANTILE) if waits_s else 0.0,
            max(MIN_ALLOWED_WAIT_S, slack_s),
            tuple(peak for peak in peaks if peak),
        )


def _quantile(ranked: list[float], share: float) -> float:
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]
