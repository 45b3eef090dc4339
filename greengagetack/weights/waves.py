"""greengagetack.weights.waves: which replicas load a named version, and when."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["LoadCandidate", "choose_loads", "most_loads"]

# Loads at a time as a share of all replicas; more of them slow each other.
AT_ONCE_RATIO = 0.4


@dataclass(frozen=True, slots=True)
class LoadCandidate:
    """A replica that serves the model, as the daemon that orders sees it.

    `is_waiting` tells that an order is in progress or its outcome is not known yet.
    """

    replica_id: str
    version: int
    in_flight: int
    is_loading: bool
    is_waiting: bool


def choose_loads(
    candidates: Iterable[LoadCandidate], target_version: int, room: int
) -> list[str]:
    """Return the replicas that are to load `target_version` now.

    A load holds up a replica's runs, so only some load at a time; the one with the
    fewest runs goes first. Those that still serve the version before keep the
    trainer's next job going meanwhile.

    Parameters
    ----------
    room : int
        How many more loads may begin in the whole fleet.
    """
    behind = [
        candidate
        for candidate in candidates
        if candidate.version < target_version
        and not candidate.is_loading
        and not candidate.is_waiting
    ]
    behind.sort(key=lambda candidate: (candidate.version, candidate.in_flight))
    return [candidate.replica_id for candidate in behind[: max(0, room)]]


def most_loads(replica_count: int) -> int:
    """Return how many of a fleet's replicas may load at a time."""
    return max(1, int(AT_ONCE_RATIO * replica_count))
