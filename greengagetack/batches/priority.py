"""greengagetack.batches.priority: priority of the items of open jobs."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["ItemSortKey", "WaitingGroup", "item_sort_key", "needed_groups"]

ItemSortKey = tuple[bool, int, float, bool, int]


@dataclass(frozen=True, slots=True)
class WaitingGroup:
    """An incomplete group with the expected remaining events of each unfinished item.

    `is_required` marks a group that the trainer always waits for.
    """

    group: str
    is_required: bool
    events_left: tuple[int, ...]


def needed_groups(groups: Iterable[WaitingGroup], wanted_groups: int) -> set[str]:
    """Return the groups that are needed to satisfy the trainer.

    A trainer waits for a number of complete groups, and the slowest item of a group
    determines when it is complete. Required groups are selected first, then those
    whose longest item is shortest.
    """
    ranked = sorted(
        groups,
        key=lambda group: (not group.is_required, max(group.events_left, default=0)),
    )
    count = wanted_groups if wanted_groups > 0 else len(ranked)
    return {group.group for group in ranked[:count]}


def item_sort_key(
    due_ms: float,
    is_needed: bool,
    is_required: bool,
    events_left: int,
    customer_rank: int,
) -> ItemSortKey:
    """Return the sort key of a waiting item; the smallest is sent first.

    In jobs where a few items take many times longer than the rest, the longest items
    determine when the job completes. Among the needed groups these are therefore sent
    first. An older job has priority over a newer one of customers of the same rank. A
    customer's rank does not let its surplus groups delay groups that others wait for.
    """
    return (not is_needed, customer_rank, due_ms, not is_required, -events_left)
