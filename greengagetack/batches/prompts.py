"""greengagetack.batches.prompts: which replicas have read which groups' prompts."""

from collections import OrderedDict

__all__ = ["PromptHomes"]

# Far more prompts than fit into a replica's memory.
KEPT_PROMPTS = 1_000


class PromptHomes:
    """Remembers the prompts that were sent to each replica, by weights' version."""

    def __init__(self) -> None:
        self._prompts: dict[str, OrderedDict[tuple[str, int], None]] = {}

    def note(self, replica_id: str, group: str, version: int) -> None:
        """Take that an item of a group was sent to a replica."""
        prompts = self._prompts.setdefault(replica_id, OrderedDict())
        prompts[(group, version)] = None
        prompts.move_to_end((group, version))
        while len(prompts) > KEPT_PROMPTS:
            prompts.popitem(last=False)

    def holds(self, replica_id: str, group: str, version: int) -> bool:
        """Whether a replica has read a group's prompt under a version."""
        return (group, version) in self._prompts.get(replica_id, {})

    def forget(self, replica_id: str) -> None:
        """Drop what is known of a replica that is gone."""
        self._prompts.pop(replica_id, None)
