"""greengagetack.batches.pace: tracks replica speed and selects runs to move."""

import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

__all__ = [
    "SLOW_RATIO",
    "PaceTracker",
    "Paces",
    "RunningItem",
    "choose_moves",
    "is_worth_moving",
    "usual_pace_s",
]

SMOOTHING_FACTOR = 0.06
# Fewer observations are unreliable: the replica also processes other items' prompts.
MIN_OBSERVATIONS = 20
# Older observations do not reflect the replica's current speed.
MAX_OBSERVATION_AGE_S = 3.0
# Time constant of the average that is used for a replica without recent observations.
# Phases in which a replica is slow last some seconds, its own speed lasts.
SETTLING_S = 20.0
# Assumed while no replica has enough observations.
DEFAULT_EVENT_S = 0.05
# A run leaves a replica whose time per event exceeds that of another by this factor.
SLOW_RATIO = 1.8
# A move costs a new connection and reading the prompt again. It has to save a part of
# the step that its trainer would notice.
MIN_MOVE_GAIN_S = 1.0


@dataclass(frozen=True, slots=True)
class _Pace:
    event_s: float
    settled_s: float
    observation_count: int
    observed_s: float


@dataclass(frozen=True, slots=True)
class Paces:
    """Snapshot of the times per event, in seconds.

    `reliable_s` has the replicas with enough recent observations; `usual_s` is the
    typical value among them. `settled_s` has long-term averages, also of replicas that
    have been idle since.
    """

    reliable_s: dict[str, float]
    usual_s: float
    settled_s: Mapping[str, float] = field(default_factory=dict)

    def pace_of(self, replica_id: str) -> float:
        """Return a replica's time per event, the typical one if it is unknown."""
        pace_s = self.reliable_s.get(replica_id)
        return (
            self.settled_s.get(replica_id, self.usual_s) if pace_s is None else pace_s
        )


class PaceTracker:
    """Moving average of the time per event of each replica."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._paces: dict[str, _Pace] = {}

    def record(self, replica_id: str, gap_s: float) -> None:
        """Record the time between two events of a run."""
        now_s = self._clock()
        pace = self._paces.get(replica_id)
        if pace is None:
            pace = _Pace(gap_s, gap_s, 0, now_s)
        elif now_s - pace.observed_s > MAX_OBSERVATION_AGE_S:
            pace = _Pace(gap_s, pace.settled_s, 0, now_s)
        event_s = pace.event_s + SMOOTHING_FACTOR * (gap_s - pace.event_s)
        # Until there are enough observations, both averages are the same.
        weight = min(1.0, (now_s - pace.observed_s) / SETTLING_S)
        settled_s = pace.settled_s + weight * (event_s - pace.settled_s)
        self._paces[replica_id] = _Pace(
            event_s, settled_s, pace.observation_count + 1, now_s
        )

    def forget(self, replica_id: str) -> None:
        """Remove the observations of a replica that is gone."""
        self._paces.pop(replica_id, None)

    def current(self) -> Paces:
        """Return the paces that are recent and based on enough observations."""
        oldest_s = self._clock() - MAX_OBSERVATION_AGE_S
        reliable_s = {
            replica_id: pace.event_s
            for replica_id, pace in self._paces.items()
            if pace.observed_s > oldest_s and pace.observation_count >= MIN_OBSERVATIONS
        }
        settled_s = {name: pace.settled_s for name, pace in self._paces.items()}
        return Paces(reliable_s, usual_pace_s(reliable_s.values()), settled_s)


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


def is_worth_moving(events_left: int, pace_s: float, target_pace_s: float) -> bool:
    """Whether a run should move to a replica with another time per event."""
    gain_s = events_left * (pace_s - target_pace_s)
    return gain_s > MIN_MOVE_GAIN_S and pace_s > SLOW_RATIO * target_pace_s


def choose_moves(
    running: Iterable[RunningItem],
    paces_s: dict[str, float],
    free_slots: dict[str, int],
) -> list[str]:
    """Return the items to move to faster replicas, those that would end last first.

    This handles a replica that becomes slow while it runs items of many jobs, and free
    slots of fast replicas at the end of a job. A run resumes elsewhere from its last
    event, at the cost of reading its prompt again. The items that would end last get
    the fastest slots.

    Parameters
    ----------
    paces_s : dict of str to float
        Time per event of each usable replica, in seconds.
    free_slots : dict of str to int
        Free slots of each usable replica.
    """
    slot_paces_s = sorted(
        pace_s
        for name, pace_s in paces_s.items()
        for _ in range(free_slots.get(name, 0))
    )
    if not slot_paces_s:
        return []
    ends = sorted(
        (
            (run.events_left * paces_s[run.replica_id], run.item_id, run)
            for run in running
            if run.replica_id in paces_s
        ),
        key=lambda entry: entry[:2],
        reverse=True,
    )
    moves: list[str] = []
    for _, item_id, run in ends:
        if len(moves) == len(slot_paces_s):
            break
        target_pace_s = slot_paces_s[len(moves)]
        if is_worth_moving(run.events_left, paces_s[run.replica_id], target_pace_s):
            moves.append(item_id)
    return moves
