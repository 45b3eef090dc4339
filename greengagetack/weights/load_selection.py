"""greengagetack.weights.load_selection: selects the replicas to load next."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "LoadCandidate",
    "choose_loads",
    "max_concurrent_loads_of_model",
]

# The other half of a model's replicas runs its items meanwhile.
MAX_MODEL_LOADING_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class LoadCandidate:
    """A replica that serves the model, as seen by the daemon that sends the orders.

    `is_waiting` is set while an order is in progress or its outcome is unknown.
    """

    replica_id: str
    version: int
    in_flight: int
    is_loading: bool
    is_waiting: bool


def choose_loads(
    candidates: Iterable[LoadCandidate], target_version: int, load_budget: int
) -> list[str]:
    """Return the replicas that should load `target_version` now.

    A load pauses a replica's runs, so only some replicas load at a time: those with
    the oldest version first, then those with the fewest runs. Replicas that still
    serve the previous version run the trainer's next job meanwhile.

    Parameters
    ----------
    load_budget : int
        Number of additional loads that may start in the whole fleet.
    """
    outdated = [
        candidate
        for candidate in candidates
        if candidate.version < target_version
        and not candidate.is_loading
        and not candidate.is_waiting
    ]
    outdated.sort(key=lambda candidate: (candidate.version, candidate.in_flight))
    return [candidate.replica_id for candidate in outdated[: max(0, load_budget)]]


def max_concurrent_loads_of_model(replica_count: int) -> int:
    """Return how many replicas of one model may load at the same time."""
    return max(1, math.ceil(MAX_MODEL_LOADING_RATIO * replica_count))
