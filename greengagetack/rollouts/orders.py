"""greengagetack.rollouts.orders: dispatch orders for pending samples."""

from collections.abc import Callable
from dataclasses import dataclass

from greengagetack.errors import OptionError

__all__ = [
    "DISPATCH_ORDERS",
    "DispatchOrder",
    "GroupProgress",
    "dispatch_order",
    "get_dispatch_order",
]


@dataclass(frozen=True, slots=True)
class GroupProgress:
    """State of a group with pending samples, the input of a dispatch order."""

    group_id: int
    pending: int
    unfinished: int
    expected_tokens: float


DispatchOrder = Callable[[GroupProgress], tuple[float, ...]]

DISPATCH_ORDERS: dict[str, DispatchOrder] = {}


def dispatch_order(name: str) -> Callable[[DispatchOrder], DispatchOrder]:
    """Register a sort key for groups; the smallest key is dispatched first."""

    def register(sort_key: DispatchOrder) -> DispatchOrder:
        DISPATCH_ORDERS[name] = sort_key
        return sort_key

    return register


def get_dispatch_order(name: str) -> DispatchOrder:
    """Return the dispatch order registered under `name`.

    Raises
    ------
    OptionError
        If no order has this name.
    """
    if name not in DISPATCH_ORDERS:
        raise OptionError(
            f"order {name!r}: use one of {', '.join(sorted(DISPATCH_ORDERS))}"
        )
    return DISPATCH_ORDERS[name]


@dispatch_order("fifo")
def fifo(group: GroupProgress) -> tuple[float, ...]:
    """Dispatch groups by ascending group number."""
    return (group.group_id,)


@dispatch_order("longest-first")
def longest_first(group: GroupProgress) -> tuple[float, ...]:
    """Dispatch the longest expected samples first, ties by fewest unfinished."""
    return (-group.expected_tokens, group.unfinished, group.group_id)


@dispatch_order("nearly-complete")
def nearly_complete(group: GroupProgress) -> tuple[float, ...]:
    """Dispatch groups with the fewest unfinished samples first."""
    return (group.unfinished, -group.expected_tokens, group.group_id)
