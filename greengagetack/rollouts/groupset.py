"""greengagetack.rollouts.groupset: sets of group numbers encoded as ranges."""

from collections.abc import Iterable
from dataclasses import dataclass

from greengagetack.errors import InvalidRequest

__all__ = ["GroupRange", "expand_ranges", "to_ranges"]

MAX_GROUPS = 100_000


@dataclass(frozen=True, slots=True)
class GroupRange:
    """Group numbers from `first` up to but not including `end`."""

    first: int
    end: int


def to_ranges(group_ids: Iterable[int]) -> tuple[GroupRange, ...]:
    """Return the group numbers as sorted, disjoint ranges."""
    ranges: list[GroupRange] = []
    for group_id in sorted(set(group_ids)):
        if ranges and ranges[-1].end == group_id:
            ranges[-1] = GroupRange(ranges[-1].first, group_id + 1)
            continue
        ranges.append(GroupRange(group_id, group_id + 1))
    return tuple(ranges)


def expand_ranges(ranges: Iterable[GroupRange]) -> frozenset[int]:
    """Return the group numbers of the ranges.

    Raises
    ------
    InvalidRequest
        If a range is empty or negative, or if the set is too large.
    """
    group_ids: set[int] = set()
    for part in ranges:
        if part.first < 0 or part.end <= part.first:
            raise InvalidRequest(
                f"held: range {part.first}..{part.end} is empty or negative"
            )
        if part.end - part.first + len(group_ids) > MAX_GROUPS:
            raise InvalidRequest(f"held: more than {MAX_GROUPS} groups")
        group_ids.update(range(part.first, part.end))
    return frozenset(group_ids)
