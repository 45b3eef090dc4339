"""greengagetack.batches.order: which items of open jobs are sent first."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["WaitingGroup", "needed_groups", "rank_items"]


@dataclass(frozen=True, slots=True)
class WaitingGroup:
    """A group of a job with the expected events left of each unfinished item.

    `is_required` marks a group that the trainer waits for in any case.
    """

    group: str
    is_required: bool
    events_left: tuple[int, ...]


def needed_groups(groups: Iterable[WaitingGroup], wanted_groups: int) -> set[str]:
    """Return the groups that the trainer is to get.

    A trainer waits for a number of whole groups, and the slowest member of a group
    decides when it is whole. Groups that must come are taken first, then those
    whose longest member is shortest.
    """
    ranked = sorted(
        groups,
        key=lambda group: (not group.is_required, max(group.events_left, default=0)),
    )
    count = wanted_groups if wanted_groups > 0 else len(ranked)
    return {group.group for group in ranked[:count]}


def rank_items(
    due_ms: float, is_needed: bool, is_required: bool, events_left: int
) -> tuple[bool, float, bool, int]:
    """Return the sort key of a waiting item; the smallest is sent first.

    Answers jobs with a few items that take many times longer than the rest: of the
    groups that are needed, the longest items start first, as they decide when the
    job is whole. An older job goes before a newer one.
    """
    return (not is_needed, due_ms, not is_required, -events_left)
