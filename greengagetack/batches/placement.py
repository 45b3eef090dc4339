"""greengagetack.batches.placement: chooses the replica for an item."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["Candidate", "ItemWork", "choose_candidate", "expected_end_s"]

# Speed at which an engine reads a prompt. Every run of the engine waits meanwhile.
PROMPT_TOKENS_PER_S = 400_000.0
# Assumed increase of the time per event between an empty and a full replica. The
# measured time contains the present load, not that of the items placed with this one.
LOAD_SLOWDOWN = 0.25


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
    is_other_zone : bool
        Whether it is in another availability zone than the sender.
    """

    replica_id: str
    in_flight: int
    slots: int
    pace_s: float
    free_tokens: int
    memory_share: float
    has_prompt: bool
    is_other_zone: bool = False

    @property
    def load(self) -> float:
        """The larger of the shares of used slots and memory."""
        return max(self.in_flight / self.slots, self.memory_share)


@dataclass(frozen=True, slots=True)
class ItemWork:
    """What is left to do for an item.

    Attributes
    ----------
    events_left : int
        Expected number of remaining events.
    soon_tokens : int
        Memory that the item will occupy in the near future.
    prompt_tokens : int
        Tokens that a replica without the prompt has to read first.
    other_zone_s : float
        Cost of the way to a replica in another availability zone, in seconds.
    """

    events_left: int
    soon_tokens: int
    prompt_tokens: int = 0
    other_zone_s: float = 0.0


def expected_end_s(candidate: Candidate, work: ItemWork) -> float:
    """Return the expected time until an item ends at a replica, in seconds.

    Reading a prompt delays the replica's other runs too, so it counts once for each.
    """
    event_s = candidate.pace_s * (1 + LOAD_SLOWDOWN * candidate.load)
    end_s = work.events_left * event_s
    if not candidate.has_prompt:
        read_s = work.prompt_tokens / PROMPT_TOKENS_PER_S
        end_s += read_s * (1 + candidate.in_flight)
    if candidate.is_other_zone:
        end_s += work.other_zone_s
    return end_s


def choose_candidate(
    candidates: Iterable[Candidate], work: ItemWork
) -> Candidate | None:
    """Return the replica at which an item should end first, None if all are full.

    Engines have a fixed number of slots, groups share a prompt, a few long items can
    fill the memory, and replicas differ in speed. The time that a faster replica saves
    grows with the item, so long items, which are placed first, take its slots.
    """
    best: Candidate | None = None
    best_end_s = float("inf")
    for candidate in candidates:
        if candidate.in_flight >= candidate.slots:
            continue
        if candidate.free_tokens < work.soon_tokens and candidate.in_flight:
            continue
        end_s = expected_end_s(candidate, work)
        if end_s < best_end_s:
            best, best_end_s = candidate, end_s
    return best
