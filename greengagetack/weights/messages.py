"""greengagetack.weights.messages: how a new weight version reaches the engines."""

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
    """Tell the lead that the weight store has a new version of a model."""

    model: str
    version: int
    announced_by: str


@message("get-rollout")
@dataclass(frozen=True, slots=True)
class GetRollout:
    """Ask the lead how far the newest version of a model has come."""

    model: str


@message("order-endpoint")
@dataclass(frozen=True, slots=True)
class OrderEndpoint:
    """Ask an endpoint's keeper to order a prefetch or an activation."""

    endpoint_id: str
    kind: str
    model: str
    version: int


@message("replica-state")
@dataclass(frozen=True, slots=True)
class ReplicaState:
    """Versions at an endpoint, read back from it."""

    endpoint_id: str
    active: int
    prefetched: tuple[int, ...]


@message("replica-status")
@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """Where one replica is in a rollout; `doing` is empty between orders."""

    endpoint_id: str
    active: int
    prefetched: bool
    doing: str
    failures: int
    last_error: str


@message("rollout-status")
@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """How far a version has come; `recorded` says that the platform has it.

    `duration_s` is the time from the announcement to the last replica, or to
    now, and `lost_share` the share of the replicas' time that switching took.
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
