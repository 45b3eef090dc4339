"""greengagetack.rollouts.orders: which pending sample is dispatched next."""

from collections.abc import Callable
from dataclasses import dataclass

from greengagetack.errors import OptionError

__all__ = ["ORDERS", "GroupProgress", "Order", "get_order", "order"]


@dataclass(frozen=True, slots=True)
class GroupProgress:
    """What an order may look at: the state of one group with pending samples."""

    group_id: int
    pending: int
    unfinished: int
    expected_tokens: float


Order = Callable[[GroupProgress], tuple[float, ...]]

ORDERS: dict[str, Order] = {}


def order(name: str) -> Callable[[Order], Order]:
    """Register a sort key of groups; the smallest is dispatched first."""

    def register(sort_key: Order) -> Order:
        ORDERS[name] = sort_key
        return sort_key

    return register


def get_order(name: str) -> Order:
    """Return the order called `name`.

    Raises
    ------
    OptionError
        If there is no such order.
    """
    if name not in ORDERS:
        raise OptionError(f"order {name!r}: use one of {', '.join(sorted(ORDERS))}")
    return ORDERS[name]


@order("fifo")
def fifo(group: GroupProgress) -> tuple[float, ...]:
    """Dispatch groups in the order of their numbers."""
    return (group.group_id,)


@order("longest-first")
def longest_first(group: GroupProgress) -> tuple[float, ...]:
    """Dispatch the longest expected samples first, then nearly complete groups."""
    return (-group.expected_tokens, group.unfinished, group.group_id)


@order("nearly-complete")
def nearly_complete(group: GroupProgress) -> tuple[float, ...]:
    """Dispatch groups with the fewest unfinished samples first."""
    return (group.unfinished, -group.expected_tokens, group.group_id)
