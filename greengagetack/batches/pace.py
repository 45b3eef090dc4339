"""greengagetack.batches.pace: tracks replica speed and selects runs to move."""

import time
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "SLOW_RATIO",
    "PaceTracker",
    "Paces",
    "RunningItem",
    "choose_moves",
    "usual_pace_s",
]

SMOOTHING_FACTOR = 0.06
# Fewer observations are unreliable: the replica also processes other items' prompts.
MIN_OBSERVATIONS = 20
# Older observations do not reflect the replica's current speed.
MAX_OBSERVATION_AGE_S = 3.0
# Assumed while no replica has enough observations.
DEFAULT_EVENT_S = 0.05
# A replica counts as slow if its time per event exceeds the typical one by this factor.
SLOW_RATIO = 1.8
# A move costs a new connection and reprocessing the prompt, so it must save more.
MIN_MOVE_GAIN_S = 0.4


@dataclass(frozen=True, slots=True)
class _Pace:
    event_s: float
    observation_count: int
    observed_s: float


@dataclass(frozen=True, slots=True)
class Paces:
    """Snapshot of the times per event, in seconds.

    `reliable_s` has the replicas with enough recent observations; `usual_s` is the
    typical value among them.
    """

    reliable_s: dict[str, float]
    usual_s: float

    def pace_of(self, replica_id: str) -> float:
        """Return a replica's time per event, the typical one if it is unknown."""
        return self.reliable_s.get(replica_id, self.usual_s)


class PaceTracker:
    """Moving average of the time per event of each replica."""

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}

    def record(self, replica_id: str, gap_s: float) -> None:
        """Record the time between two events of a run."""
        now_s = time.monotonic()
        pace = self._paces.get(replica_id)
        if pace is None or now_s - pace.observed_s > MAX_OBSERVATION_AGE_S:
            pace = _Pace(gap_s, 0, now_s)
        pace_s = pace.event_s + SMOOTHING_FACTOR * (gap_s - pace.event_s)
        self._paces[replica_id] = _Pace(pace_s, pace.observation_count + 1, now_s)

    def forget(self, replica_id: str) -> None:
        """Remove the observations of a replica that is gone."""
        self._paces.pop(replica_id, None)

    def current(self) -> Paces:
        """Return the paces that are recent and based on enough observations."""
        oldest_s = time.monotonic() - MAX_OBSERVATION_AGE_S
        reliable_s = {
            replica_id: pace.event_s
            for replica_id, pace in self._paces.items()
            if pace.observed_s > oldest_s and pace.observation_count >= MIN_OBSERVATIONS
        }
        return Paces(reliable_s, usual_pace_s(reliable_s.values()))


def usual_pace_s(paces_s: Iterable[float]) -> float:
    """Return the typical time per event.

    This is the lower median, so that of two replicas the faster one is typical.
    """
    ranked = sorted(paces_s)
    return ranked[(len(ranked) - 1) // 2] if ranked else DEFAULT_EVENT_S


@dataclass(frozen=True, slots=True)
class RunningItem:
    """A run on a replica with its expected number of remaining events."""

    item_id: str
    replica_id: str
    events_left: int


def choose_moves(
    running: Iterable[RunningItem],
    paces_s: dict[str, float],
    free_slots: dict[str, int],
) -> list[str]:
    """Return the items to move off slow replicas, those with the largest gain first.

    This handles a replica that becomes slow while it runs items of many jobs. A run
    resumes elsewhere from its last event, at the cost of reprocessing its prompt.

    Parameters
    ----------
    paces_s : dict of str to float
        Time per event of each usable replica, in seconds.
    free_slots : dict of str to int
        Free slots of each usable replica.
    """
    if not paces_s:
        return []
    usual_s = usual_pace_s(paces_s.values())
    targets = {
        name for name, pace_s in paces_s.items() if pace_s <= SLOW_RATIO * usual_s
    }
    free_count = sum(free_slots.get(name, 0) for name in targets)
    gains: list[tuple[float, str]] = []
    for run in running:
        pace_s = paces_s.get(run.replica_id)
        if pace_s is None or run.replica_id in targets:
            continue
        gain_s = run.events_left * (pace_s - usual_s)
        if gain_s > MIN_MOVE_GAIN_S:
            gains.append((gain_s, run.item_id))
    gains.sort(reverse=True)
    return [item_id for _, item_id in gains[:free_count]]
