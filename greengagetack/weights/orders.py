"""greengagetack.weights.orders: orders to replicas, independent of their protocol."""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from greengagetack.replicas.replica import Replica

__all__ = ["EngineReport", "LoadMode", "LoadOrder", "OrderEnd", "OrderSender"]


class LoadMode(enum.Enum):
    """How a replica treats its current runs when it loads a version."""

    # The runs continue with the new version.
    RETAIN = "retain"
    # The load waits for the runs to end.
    WAIT = "wait"


class OrderEnd(enum.Enum):
    """Outcome of an order."""

    ACCEPTED = "accepted"
    ALREADY_SO = "already_so"
    # Another order is in progress, or the replica has accepted other orders meanwhile.
    CONFLICT = "conflict"
    # A newer holder has sent orders.
    FENCED = "fenced"
    REFUSED = "refused"
    # The order may still be executed, possibly later.
    UNKNOWN = "unknown"
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load a version.

    `expected_orders` is the number of orders that the replica must have accepted
    before in order to execute this one.
    """

    model: str
    version: int
    mode: LoadMode
    holder: str
    fence: int
    expected_orders: int | None


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State reported by a replica; it may be some hundred milliseconds old."""

    versions: dict[str, int]
    is_busy: bool
    accepted_orders: int
    is_leaving: bool = False


class OrderSender(Protocol):
    """Sends orders to replicas and reads their state back."""

    async def send(
        self, replica: Replica, order: LoadOrder, may_send: Callable[[], bool]
    ) -> OrderEnd:
        """Send one order if `may_send` still holds right before it is written."""

    async def report(self, replica: Replica) -> EngineReport | None:
        """Return the state of a replica, None if it does not answer."""
