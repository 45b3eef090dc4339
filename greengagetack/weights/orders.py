"""greengagetack.weights.orders: orders to replicas, independent of their dialect."""

import enum
from dataclasses import dataclass
from typing import Protocol

from greengagetack.replicas.replica import Replica

__all__ = ["EngineReport", "LoadMode", "LoadOrder", "OrderEnd", "OrderSender"]


class LoadMode(enum.Enum):
    """What becomes of a replica's runs while it loads."""

    # The runs go on under the new version.
    RETAIN = "retain"
    # The load waits for the runs to end.
    WAIT = "wait"


class OrderEnd(enum.Enum):
    """What is known of an order that was sent."""

    ACCEPTED = "accepted"
    ALREADY_SO = "already_so"
    # Another order is in progress, or the replica has accepted others meanwhile.
    CONFLICT = "conflict"
    # A newer holder has given orders.
    FENCED = "fenced"
    REFUSED = "refused"
    # It may be carried out, also later.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load a version.

    `expected_orders` is how many orders the replica must have accepted before for
    this one to be carried out.
    """

    model: str
    version: int
    mode: LoadMode
    holder: str
    fence: int
    expected_orders: int | None


@dataclass(frozen=True, slots=True)
class EngineReport:
    """A replica's state as it reports it, some hundred ms old."""

    versions: dict[str, int]
    is_busy: bool
    accepted_orders: int


class OrderSender(Protocol):
    """Sends orders to replicas and reads their state back."""

    async def send(self, replica: Replica, order: LoadOrder) -> OrderEnd:
        """Send one order."""

    async def report(self, replica: Replica) -> EngineReport | None:
        """Return the replica's state, None if it does not answer."""
