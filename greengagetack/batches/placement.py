"""greengagetack.batches.placement: which replica gets an item."""

from collections.abc import Iterable
from dataclasses import dataclass

from greengagetack.batches.pace import SLOW_RATIO, usual_pace_s

__all__ = ["Candidate", "choose_candidate"]

# A replica that holds the group's prompt may be this much fuller than the emptiest.
AFFINITY_SLACK = 0.3


@dataclass(frozen=True, slots=True)
class Candidate:
    """A replica that may run an item.

    Attributes
    ----------
    pace_s : float
        Time per event as observed, in seconds.
    free_tokens : int
        Memory that its runs leave within the next moments, in tokens.
    memory_share : float
        Share of the memory that its runs would fill if all came to their ends
        together; it may be over 1.
    holds_prompt : bool
        Whether an item of the same group was sent there under the same weights.
    """

    replica_id: str
    in_flight: int
    slots: int
    pace_s: float
    free_tokens: int
    memory_share: float
    holds_prompt: bool


def choose_candidate(
    candidates: Iterable[Candidate], expected_tokens: int
) -> Candidate | None:
    """Return the replica for an item, None if all are full.

    Answers batches of equal slots with shared prompts, and memory that a few long
    items fill: the emptiest replica by share of slots or of memory, whichever is
    larger, one that holds the prompt if it is not much fuller, and a slow one only
    when the others are full.

    Parameters
    ----------
    expected_tokens : int
        What the item takes within the next moments.
    """
    open_ones = [
        candidate
        for candidate in candidates
        if candidate.in_flight < candidate.slots
        and (candidate.free_tokens >= expected_tokens or candidate.in_flight == 0)
    ]
    if not open_ones:
        return None
    usual_s = usual_pace_s(candidate.pace_s for candidate in open_ones)
    best: Candidate | None = None
    best_cost = float("inf")
    for candidate in open_ones:
        cost = max(candidate.in_flight / candidate.slots, candidate.memory_share)
        if candidate.holds_prompt:
            cost -= AFFINITY_SLACK
        if candidate.pace_s > SLOW_RATIO * usual_s:
            cost += candidate.pace_s / usual_s
        if cost < best_cost:
            best, best_cost = candidate, cost
    return best
