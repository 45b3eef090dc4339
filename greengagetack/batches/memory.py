"""greengagetack.batches.memory: what items take of a replica's memory, now and later.

A run holds its prompt and the tokens that it has made, so a long item takes little at
first; by the time it is large, the short ones beside it have ended. Room for its whole
length, kept from its start, would keep the longest items waiting behind short ones that
fit.
"""

from dataclasses import dataclass

from greengagetack.batches.progress import ItemProgress

__all__ = ["MemoryBook", "MemoryNeed", "memory_need"]

# Runs that grow together beyond the memory are put back one by one, which costs reading
# them in again; room for the tokens of this time keeps that rare.
HORIZON_S = 1.0


@dataclass(frozen=True, slots=True)
class MemoryNeed:
    """Tokens that an item holds within the horizon, and at its end."""

    soon_tokens: int
    final_tokens: int


def memory_need(
    progress: ItemProgress, tokens_per_event: int, event_s: float
) -> MemoryNeed:
    """Return what an item takes of a replica's memory.

    Parameters
    ----------
    event_s : float
        Usual time between two events of a run, in seconds.
    """
    held = progress.item.prompt_tokens + len(progress.outputs) * tokens_per_event
    left_events = progress.events_left(tokens_per_event)
    soon_events = min(left_events, int(HORIZON_S / event_s) + 1)
    return MemoryNeed(
        held + soon_events * tokens_per_event, held + left_events * tokens_per_event
    )


class MemoryBook:
    """Sums of the needs of the runs at each replica, for one turn of placing."""

    def __init__(self) -> None:
        self._soon: dict[str, int] = {}
        self._final: dict[str, int] = {}

    def add(self, replica_id: str, need: MemoryNeed) -> None:
        """Count a run."""
        self._soon[replica_id] = self._soon.get(replica_id, 0) + need.soon_tokens
        self._final[replica_id] = self._final.get(replica_id, 0) + need.final_tokens

    def soon_tokens(self, replica_id: str) -> int:
        """Return what the runs of a replica hold within the horizon."""
        return self._soon.get(replica_id, 0)

    def final_tokens(self, replica_id: str) -> int:
        """Return what they would hold if all came to their ends together."""
        return self._final.get(replica_id, 0)
