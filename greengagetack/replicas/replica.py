"""greengagetack.replicas.replica: a replica as discovery lists it, and its load."""

import time
from dataclasses import dataclass, field

from loguru import logger

from greengagetack.world import Address

__all__ = ["Replica", "ReplicaState"]

SUSPEND_FIRST_S = 0.3
SUSPEND_MOST_S = 2.0
# Weight of the newest observation in moving averages.
SMOOTHING = 0.3


@dataclass(frozen=True, slots=True)
class Replica:
    """One incarnation of a replica.

    Attributes
    ----------
    model_versions : tuple of (str, int)
        Versions of the weights of each model.
    started_ms : int
        Unix time of its start, in milliseconds; 0 if unknown.
    cold_left_ms : float
        How much longer it stays slow after its start, in milliseconds.
    """

    replica_id: str
    service: str
    address: Address
    availability_zone: str
    slots: int
    is_draining: bool
    model_versions: tuple[tuple[str, int], ...] = ()
    started_ms: int = 0
    cold_left_ms: float = 0.0

    def version_of(self, model: str) -> int | None:
        """Return the version of a model's weights, None without that model."""
        for name, version in self.model_versions:
            if name == model:
                return version
        return None


@dataclass(slots=True, eq=False)
class ReplicaState:
    """A replica and what this VM has observed of it."""

    replica: Replica
    in_flight: int = 0
    consecutive_failures: int = 0
    suspended_until_s: float = float("-inf")
    busy_until_s: float = float("-inf")
    is_gone: bool = False
    service_time_s: float | None = None
    known_versions: dict[str, int] = field(default_factory=dict)

    def version_of(self, model: str) -> int:
        """Return the newest version known to be loaded, 0 if none is."""
        listed = self.replica.version_of(model) or 0
        return max(listed, self.known_versions.get(model, 0))

    def note_version(self, model: str, version: int) -> None:
        """Take a version that the replica named in an answer."""
        if version > self.known_versions.get(model, 0):
            self.known_versions[model] = version

    def correct_version(self, model: str, version: int) -> None:
        """Take the version that an answer was made by, also a lower one.

        What was believed before may have been said of the replica's former weights.
        """
        if version < self.version_of(model):
            logger.warning(
                "replicas: older weights than believed",
                replica=self.replica.replica_id,
                model=model,
                version=version,
                believed=self.version_of(model),
                listed=self.replica.version_of(model) or 0,
            )
        self.known_versions[model] = version

    def is_usable(self, now_s: float) -> bool:
        """Whether new work may be sent to it now."""
        return not (
            self.is_gone
            or self.replica.is_draining
            or now_s < self.suspended_until_s
            or now_s < self.busy_until_s
        )

    def note_success(self, duration_s: float | None = None) -> None:
        """Take a good answer and, where it says something, how long it took."""
        self.consecutive_failures = 0
        self.suspended_until_s = float("-inf")
        if duration_s is None:
            return
        known = self.service_time_s
        self.service_time_s = (
            duration_s if known is None else known + SMOOTHING * (duration_s - known)
        )

    def note_failure(self) -> float:
        """Suspend the replica, longer each time; return the pause in seconds."""
        pause_s = min(SUSPEND_MOST_S, SUSPEND_FIRST_S * 2**self.consecutive_failures)
        self.consecutive_failures += 1
        self.suspended_until_s = time.monotonic() + pause_s
        return pause_s

    def note_refusal(self, pause_s: float) -> None:
        """Send nothing new for a while; the replica said that it is full."""
        self.busy_until_s = max(self.busy_until_s, time.monotonic() + pause_s)
