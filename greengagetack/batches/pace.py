"""greengagetack.batches.pace: how fast replicas make events, and when to move a run."""

import time
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["SLOW_RATIO", "PaceBook", "Paces", "Running", "choose_moves", "usual_pace_s"]

SMOOTHING = 0.06
# Fewer observations than this say little: prompts of others are read meanwhile.
TRUSTED_COUNT = 20
# An observation that is older says nothing about the replica now.
MEMORY_S = 3.0
# Until any replica has been observed.
USUAL_EVENT_S = 0.05
# A replica this many times slower than the usual one is slow.
SLOW_RATIO = 1.8
# A move costs a new connection and reading the prompt again; it must save more.
MIN_GAIN_S = 0.4


@dataclass(frozen=True, slots=True)
class _Pace:
    event_s: float
    count: int
    seen_s: float


@dataclass(frozen=True, slots=True)
class Paces:
    """Times per event of replicas at one moment, in seconds."""

    trusted: dict[str, float]
    usual_s: float

    def of(self, replica_id: str) -> float:
        """Return a replica's time per event; the usual one's if it is not known."""
        return self.trusted.get(replica_id, self.usual_s)


class PaceBook:
    """Moving averages of the time per event of each replica."""

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}

    def note(self, replica_id: str, gap_s: float) -> None:
        """Take the time between two events of a run."""
        now_s = time.monotonic()
        known = self._paces.get(replica_id)
        if known is None or now_s - known.seen_s > MEMORY_S:
            known = _Pace(gap_s, 0, now_s)
        pace_s = known.event_s + SMOOTHING * (gap_s - known.event_s)
        self._paces[replica_id] = _Pace(pace_s, known.count + 1, now_s)

    def forget(self, replica_id: str) -> None:
        """Drop what is known of a replica that is gone."""
        self._paces.pop(replica_id, None)

    def current(self) -> Paces:
        """Return the paces that are recent and observed often enough."""
        oldest_s = time.monotonic() - MEMORY_S
        trusted = {
            replica_id: pace.event_s
            for replica_id, pace in self._paces.items()
            if pace.seen_s > oldest_s and pace.count >= TRUSTED_COUNT
        }
        return Paces(trusted, usual_pace_s(trusted.values()))


def usual_pace_s(paces_s: Iterable[float]) -> float:
    """Return the lower median: one slow replica of two is not the usual one."""
    ranked = sorted(paces_s)
    return ranked[(len(ranked) - 1) // 2] if ranked else USUAL_EVENT_S


@dataclass(frozen=True, slots=True)
class Running:
    """A run at a replica and the events that it is still expected to make."""

    item_id: str
    replica_id: str
    events_left: int


def choose_moves(
    running: Iterable[Running], paces_s: dict[str, float], free_slots: dict[str, int]
) -> list[str]:
    """Return the items to take from slow replicas, those that gain most first.

    Answers a replica that turns slow while it runs items of many jobs: a run goes on
    elsewhere from its last event, which costs only the reading of its prompt.

    Parameters
    ----------
    paces_s : dict of str to float
        Time per event of each usable replica, in seconds.
    free_slots : dict of str to int
        Slots that the usable replicas have left.
    """
    if not paces_s:
        return []
    usual_s = usual_pace_s(paces_s.values())
    targets = {
        name for name, pace_s in paces_s.items() if pace_s <= SLOW_RATIO * usual_s
    }
    room = sum(free_slots.get(name, 0) for name in targets)
    gains: list[tuple[float, str]] = []
    for run in running:
        pace_s = paces_s.get(run.replica_id)
        if pace_s is None or run.replica_id in targets:
            continue
        gain_s = run.events_left * (pace_s - usual_s)
        if gain_s > MIN_GAIN_S:
            gains.append((gain_s, run.item_id))
    gains.sort(reverse=True)
    return [item_id for _, item_id in gains[:room]]
