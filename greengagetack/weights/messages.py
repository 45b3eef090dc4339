"""greengagetack.weights.messages: messages that distribute new weight versions."""

from dataclasses import dataclass

from greengagetack.peers.codec import message

__all__ = [
    "AnnounceVersion",
    "GetRollout",
    "OrderEndpoint",
    "ReplicaState",
    "ReplicaStatus",
    "RolloutStatus",
]


@message("announce-version")
@dataclass(frozen=True, slots=True)
class AnnounceVersion:
    """Announce to the lead that the weight store has a new version of a model."""

    model: str
    version: int
    announced_by: str


@message("get-rollout")
@dataclass(frozen=True, slots=True)
class GetRollout:
    """Request the rollout status of a model's newest version from the lead."""

    model: str


@message("order-endpoint")
@dataclass(frozen=True, slots=True)
class OrderEndpoint:
    """Request that an endpoint's keeper order a prefetch or an activation."""

    endpoint_id: str
    kind: str
    model: str
    version: int


@message("replica-state")
@dataclass(frozen=True, slots=True)
class ReplicaState:
    """Active and prefetched versions, as read back from an endpoint."""

    endpoint_id: str
    active: int
    prefetched: tuple[int, ...]


@message("replica-status")
@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """Rollout status of one replica; `doing` is empty between orders."""

    endpoint_id: str
    active: int
    prefetched: bool
    doing: str
    failures: int
    last_error: str


@message("rollout-status")
@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Rollout status of a version; `recorded` is set once the platform stores it.

    `duration_s` is the time from the announcement until the last replica had the
    version, or until now if the rollout is incomplete. `lost_share` is the share of
    the replicas' time that was spent on switching.
    """

    model: str
    version: int
    announced_by: str
    announced_at_s: float
    recorded: bool
    complete: bool
    duration_s: float
    lost_share: float
    replicas: tuple[ReplicaStatus, ...]
