"""greengagetack.gateway.call: a request to be run by a replica, and its dialect."""

import enum
from dataclasses import dataclass
from typing import Protocol

from greengagetack.http1.message import AnswerHead, Headers, Request
from greengagetack.replicas.replica import Replica

__all__ = ["Call", "ReplicaDialect", "Verdict"]


class Verdict(enum.Enum):
    """What the head of a replica's answer says about the request."""

    RAN = "ran"
    # The replica is full, or its deadline passed in the queue.
    NOT_RUN = "not_run"
    # Another replica has taken over the address.
    OTHER_REPLICA = "other_replica"


@dataclass(frozen=True, slots=True)
class Call:
    """A request as its sender gave it; header names are lower case."""

    request_id: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class ReplicaDialect(Protocol):
    """How replicas are spoken to."""

    def attempt(
        self,
        call: Call,
        replica: Replica,
        left_ms: float | None,
        after_event: str | None = None,
    ) -> Request:
        """Return the request for one replica, with the time that is left."""

    def verdict(self, head: AnswerHead) -> Verdict:
        """Tell whether the replica ran the request."""

    def is_genuine(self, head: AnswerHead) -> bool:
        """Whether the answer bears the mark of the replica that made it."""

    def event_version(self, fields: tuple[tuple[str, str], ...]) -> int | None:
        """Return the version that an event of a stream changes to, None for none."""

    def versions(self, head: AnswerHead) -> int | None:
        """Return the version of the weights that the answer names."""
