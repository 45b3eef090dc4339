"""greengagetack.batches.loading_pause: how long loads of weights pause running items.

Some engines pause their runs while they load, others go on. Where they go on, a replica
that falls silent in a load has failed, and its items need not wait for the load to end.
"""

from collections import deque

__all__ = ["LoadingPause"]

# An engine under load emits an event well within this time.
STALL_TIMEOUT_S = 1.5
# Assumed for engines whose pauses are not known.
LOADING_STALL_TIMEOUT_S = 3.5
# Gaps between events in loads that show whether runs pause: those of about ten loads.
MIN_SAMPLES = 100
MAX_SAMPLES = 1_000
# Runs go on if no gap was longer than this.
MAX_GAP_OF_RUNNING_S = 0.5


class LoadingPause:
    """Remembers the gaps between events of items whose replicas were loading."""

    def __init__(self) -> None:
        self._gaps_s: deque[float] = deque(maxlen=MAX_SAMPLES)

    def record_gap(self, gap_s: float) -> None:
        """Record the time between two events of a run on a replica that loads."""
        self._gaps_s.append(gap_s)

    @property
    def pauses_runs(self) -> bool:
        """Whether loads may pause the runs of a replica."""
        if len(self._gaps_s) < MIN_SAMPLES:
            return True
        return max(self._gaps_s) > MAX_GAP_OF_RUNNING_S

    def stall_timeout_s(self, is_loading: bool) -> float:
        """Return how long a run may emit no event."""
        is_paused = is_loading and self.pauses_runs
        return LOADING_STALL_TIMEOUT_S if is_paused else STALL_TIMEOUT_S
