"""greengagetack.coordination.duty_api: calls that only the holder of a duty makes."""

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

__all__ = ["DutyApi", "DutyEnd", "DutyTerms", "ReplicaOrder"]


class DutyEnd(enum.Enum):
    """How a call to the platform's API ended."""

    ACCEPTED = "accepted"
    # An order that cannot be carried out now.
    CONFLICT = "conflict"
    # Too many calls a second.
    LIMITED = "limited"
    # Any other answer.
    REFUSED = "refused"
    # No answer; the call may have taken effect or may yet do so.
    UNKNOWN = "unknown"
    # No byte of the call has left this VM.
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class DutyTerms:
    """The holder's right to call.

    Attributes
    ----------
    holder : str
        Name of the VM that holds the duty.
    fence : int
        Fencing token of the holder's lease.
    may_send : callable
        Returns whether the lease still allows a call. It is called immediately before
        the call is written to the connection.
    """

    holder: str
    fence: int
    may_send: Callable[[], bool]


@dataclass(frozen=True, slots=True)
class ReplicaOrder:
    """The number of replicas of one kind that a service is to have in a zone."""

    service: str
    availability_zone: str
    replicas: int
    is_spot: bool = False


class DutyApi(Protocol):
    """The platform's API."""

    async def report_usage(
        self, window: int, counts: Mapping[str, int], terms: DutyTerms
    ) -> DutyEnd:
        """Report each customer's requests of a window."""

    async def order_replicas(self, order: ReplicaOrder, terms: DutyTerms) -> DutyEnd:
        """Order the number of replicas of a service in a zone."""

    async def is_reachable(self) -> bool:
        """Return whether the API accepts a connection from this VM now."""
