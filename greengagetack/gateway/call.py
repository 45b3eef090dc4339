"""greengagetack.gateway.call: a request for a replica, and the replicas' protocol."""

import enum
from dataclasses import dataclass
from typing import Protocol

from greengagetack.http1.message import Headers, Request, ResponseHead
from greengagetack.replicas.replica import Replica, ReplicaState

__all__ = ["Call", "ExecutionStatus", "ReplicaDialect", "record_announcements"]


class ExecutionStatus(enum.Enum):
    """Whether a replica ran a request, according to the head of its response."""

    RAN = "ran"
    # The replica is full, or the request's deadline passed in its queue.
    NOT_RUN = "not_run"
    # Another replica now serves this address.
    OTHER_REPLICA = "other_replica"


@dataclass(frozen=True, slots=True)
class Call:
    """A request as the caller sent it; header names are lower case.

    `resumes` is the identifier of the request that began the stream, if this one takes
    a stream up, and `after_event` that of the last event received; both are empty for
    a new stream. `is_deferred` tells that the
    request belongs to an item that was accepted earlier and is owed.

    `customer` is the name that replicas get: empty on a public route, None if the
    deployment has no customers and headers pass unchanged. `urgency` is the customer's
    priority, 0 for the highest, None if it has none.
    """

    request_id: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    resumes: str = ""
    is_deferred: bool = False
    customer: str | None = None
    urgency: int | None = None
    after_event: str = ""

    @property
    def routing_id(self) -> str:
        """The identifier that decides which of a route's services gets the request."""
        return self.resumes or self.request_id


class ReplicaDialect(Protocol):
    """Encodes requests to replicas and interprets the heads of their responses."""

    def build_request(
        self,
        call: Call,
        replica: Replica,
        remaining_ms: float | None,
        after_event: str | None = None,
    ) -> Request:
        """Build the request for one replica.

        `remaining_ms` is the time left until the caller's deadline, None without one;
        `after_event` is the last event received of a stream to be resumed.
        """

    def execution_status(self, head: ResponseHead) -> ExecutionStatus:
        """Return whether the replica ran the request."""

    def is_genuine(self, head: ResponseHead) -> bool:
        """Whether the response carries the proof that the replica produced it."""

    def score(self, head: ResponseHead) -> str:
        """Return the score that a genuine response to a reward call carries."""

    def is_leaving(self, head: ResponseHead) -> bool:
        """Whether the response announces that its replica is leaving."""

    def rate_limit_per_s(self, head: ResponseHead) -> float | None:
        """Return the rate limit that the replica announces, None without one."""

    def event_version(self, fields: tuple[tuple[str, str], ...]) -> int | None:
        """Return the weight version that a stream event announces, None without one."""

    def weight_version(self, head: ResponseHead) -> int | None:
        """Return the weight version named in the headers, None without one."""


def record_announcements(
    state: ReplicaState, dialect: ReplicaDialect, head: ResponseHead
) -> None:
    """Record what a replica announces about itself in a response."""
    if dialect.is_leaving(head):
        state.record_leaving()
    state.observe_rate_limit(dialect.rate_limit_per_s(head))
