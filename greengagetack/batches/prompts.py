"""greengagetack.batches.prompts: tracks which prompts were sent to each replica."""

from collections import OrderedDict

__all__ = ["PromptTracker"]

# Far more prompts than fit into a replica's memory.
MAX_PROMPTS_PER_REPLICA = 1_000


class PromptTracker:
    """Tracks the prompts that were sent to each replica, by weight version."""

    def __init__(self) -> None:
        self._prompts: dict[str, OrderedDict[tuple[str, int], None]] = {}

    def record(self, replica_id: str, group: str, version: int) -> None:
        """Record that an item of a group was sent to a replica."""
        prompts = self._prompts.setdefault(replica_id, OrderedDict())
        prompts[(group, version)] = None
        prompts.move_to_end((group, version))
        while len(prompts) > MAX_PROMPTS_PER_REPLICA:
            prompts.popitem(last=False)

    def has_prompt(self, replica_id: str, group: str, version: int) -> bool:
        """Whether a group's prompt was sent to a replica with a weight version."""
        return (group, version) in self._prompts.get(replica_id, {})

    def forget(self, replica_id: str) -> None:
        """Remove the prompts of a replica that is gone."""
        self._prompts.pop(replica_id, None)
