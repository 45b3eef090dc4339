"""greengagetack.batches.ending: takes runs off replicas that the platform reclaims.

A reclaimed replica names the time that it has left. A run that would not complete by
then resumes elsewhere from its last event while the replica still serves; otherwise it
would break off at the end, or stay silent until its time-out.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger

from greengagetack.batches.pace import Paces, RunningItem
from greengagetack.replicas.replica import ReplicaState

__all__ = ["Departure", "choose_departures", "departing_runs", "ending_replicas"]

# Runs must be off a replica this long before its end. The dispatcher checks at least
# every 0.25 s.
END_MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class Departure:
    """A run that does not complete before its replica ends.

    `is_due` is true if it must end now, even if no other replica has a free slot.
    """

    item_id: str
    is_due: bool
    left_s: float


def ending_replicas(states: Iterable[ReplicaState]) -> dict[str, float]:
    """Return the replicas that the platform reclaims, with the seconds they have."""
    now_s = time.monotonic()
    return {
        state.replica.replica_id: state.ends_at_s - now_s
        for state in states
        if state.ends_at_s is not None and not state.is_gone
    }


def choose_departures(
    running: Iterable[RunningItem], left_s: dict[str, float], paces: Paces
) -> list[Departure]:
    """Return the runs to take off ending replicas, the longest first.

    Parameters
    ----------
    left_s : dict of str to float
        Time that is left to each ending replica, in seconds.
    """
    found: list[tuple[float, Departure]] = []
    for run in running:
        replica_left_s = left_s.get(run.replica_id)
        if replica_left_s is None:
            continue
        needed_s = run.events_left * paces.pace_of(run.replica_id)
        is_due = replica_left_s <= END_MARGIN_S
        if is_due or needed_s > replica_left_s - END_MARGIN_S:
            found.append((needed_s, Departure(run.item_id, is_due, replica_left_s)))
    found.sort(key=lambda entry: entry[0], reverse=True)
    return [departure for _, departure in found]


def departing_runs(
    running: Iterable[RunningItem],
    left_s: dict[str, float],
    paces: Paces,
    find_target: Callable[[str], str],
) -> list[str]:
    """Return the runs to cancel now.

    Free slots are not updated for the runs of one check, so each target takes one.

    Parameters
    ----------
    find_target : callable
        Returns the replica that would take an item now, empty without one.
    """
    found: list[str] = []
    taken: set[str] = set()
    for departure in choose_departures(running, left_s, paces):
        target = find_target(departure.item_id)
        if not departure.is_due and (not target or target in taken):
            continue
        taken.add(target)
        found.append(departure.item_id)
        logger.info(
            "dispatch: run taken off a replica that ends",
            request_id=departure.item_id,
            target=target,
            left_ms=int(departure.left_s * 1000),
            is_due=departure.is_due,
        )
    return found
