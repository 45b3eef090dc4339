"""greengagetack.batches.placement: chooses the replica for an item."""

from collections.abc import Iterable
from dataclasses import dataclass

from greengagetack.batches.pace import SLOW_RATIO, usual_pace_s

__all__ = ["Candidate", "choose_candidate"]

# A replica that holds the group's prompt is preferred unless its load share exceeds the
# lowest one by more than this.
PROMPT_AFFINITY = 0.3


@dataclass(frozen=True, slots=True)
class Candidate:
    """A replica that may run an item.

    Attributes
    ----------
    pace_s : float
        Observed time per event, in seconds.
    free_tokens : int
        Memory expected to stay free of its runs in the near future, in tokens.
    memory_share : float
        Share of the memory that its runs would fill if all reached their ends at the
        same time; it may exceed 1.
    has_prompt : bool
        Whether an item of the same group was sent there with the same weight version.
    """

    replica_id: str
    in_flight: int
    slots: int
    pace_s: float
    free_tokens: int
    memory_share: float
    has_prompt: bool


def choose_candidate(
    candidates: Iterable[Candidate], expected_tokens: int
) -> Candidate | None:
    """Return the replica for an item, None if all are full.

    Engines have a fixed number of slots, groups share a prompt, and a few long items
    can fill the memory. The replica with the lowest load is chosen, where load is the
    larger of its shares of used slots and memory. A replica that holds the prompt is
    preferred unless it is much fuller, and a slow one is used only if the others are
    full.

    Parameters
    ----------
    expected_tokens : int
        Memory that the item will occupy in the near future.
    """
    available = [
        candidate
        for candidate in candidates
        if candidate.in_flight < candidate.slots
        and (candidate.free_tokens >= expected_tokens or candidate.in_flight == 0)
    ]
    if not available:
        return None
    usual_s = usual_pace_s(candidate.pace_s for candidate in available)
    best: Candidate | None = None
    best_cost = float("inf")
    for candidate in available:
        cost = max(candidate.in_flight / candidate.slots, candidate.memory_share)
        if candidate.has_prompt:
            cost -= PROMPT_AFFINITY
        if candidate.pace_s > SLOW_RATIO * usual_s:
            cost += candidate.pace_s / usual_s
        if cost < best_cost:
            best, best_cost = candidate, cost
    return best
