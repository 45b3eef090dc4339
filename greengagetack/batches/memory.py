"""greengagetack.batches.memory: estimates the replica memory that items need.

A run occupies memory for its prompt and the tokens generated so far, so a long item
needs little memory at first. By the time it is large, shorter items on the same replica
have ended. Reserving memory for the full length from the start would make the longest
items wait behind short ones that fit.
"""

from dataclasses import dataclass

from greengagetack.batches.progress import ItemProgress

__all__ = ["MemoryNeed", "MemoryUsage", "memory_need"]

# If the runs of a replica outgrow its memory, it preempts them one by one and must
# process their tokens again. Reserving the tokens of this period makes that rare.
MEMORY_HORIZON_S = 1.0


@dataclass(frozen=True, slots=True)
class MemoryNeed:
    """Tokens that an item occupies at the end of the horizon and at its completion."""

    soon_tokens: int
    final_tokens: int


def memory_need(
    progress: ItemProgress, tokens_per_event: int, event_s: float
) -> MemoryNeed:
    """Return the replica memory that an item is expected to need.

    Parameters
    ----------
    event_s : float
        Typical time between two events of a run, in seconds.
    """
    used_tokens = progress.item.prompt_tokens + len(progress.outputs) * tokens_per_event
    left_events = progress.events_left(tokens_per_event)
    soon_events = min(left_events, int(MEMORY_HORIZON_S / event_s) + 1)
    return MemoryNeed(
        used_tokens + soon_events * tokens_per_event,
        used_tokens + left_events * tokens_per_event,
    )


class MemoryUsage:
    """Expected memory use of each replica, summed over its runs for one placement."""

    def __init__(self) -> None:
        self._soon_tokens: dict[str, int] = {}
        self._final_tokens: dict[str, int] = {}

    def add(self, replica_id: str, need: MemoryNeed) -> None:
        """Add the memory need of a run."""
        self._soon_tokens[replica_id] = (
            self._soon_tokens.get(replica_id, 0) + need.soon_tokens
        )
        self._final_tokens[replica_id] = (
            self._final_tokens.get(replica_id, 0) + need.final_tokens
        )

    def soon_tokens(self, replica_id: str) -> int:
        """Return the tokens that a replica's runs occupy at the end of the horizon."""
        return self._soon_tokens.get(replica_id, 0)

    def final_tokens(self, replica_id: str) -> int:
        """Return the tokens of a replica's runs if all reached their ends together."""
        return self._final_tokens.get(replica_id, 0)
