"""greengagetack.replicas.replica: a listed replica and its observed state."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from greengagetack.world import Address

__all__ = ["Incarnation", "Replica", "ReplicaState"]

INITIAL_SUSPENSION_S = 0.3
MAX_SUSPENSION_S = 2.0
# Weight of the newest sample in the moving average of the service time, and of one that
# comes so long after the previous one that the average is out of date.
SMOOTHING_FACTOR = 0.3
MS_PER_S = 1_000.0
STALE_SMOOTHING_FACTOR = 0.7
STALE_S = 2.0

# Time after which a probe of an ejected replica has no outcome, as it was refused.
PROBE_TIMEOUT_S = 3.0

# Identifier and start of a replica: it may start again under its identifier.
Incarnation = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Replica:
    """One incarnation of a replica.

    Attributes
    ----------
    model_versions : tuple of (str, int)
        Weight version of each loaded model.
    started_ms : int
        Unix time of the start, in milliseconds; 0 if unknown.
    cold_left_ms : float
        Remaining time of slow operation after the start, in milliseconds.
    software_version : str
        Version of the replica's software, empty if unknown.
    is_spot : bool
        Whether the replica is of the kind that the platform may reclaim.
    leaves_in_ms : float or None
        Time from the entry's publication until a reclaimed replica ends, in
        milliseconds, None if it is not reclaimed.
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
    software_version: str = ""
    is_spot: bool = False
    leaves_in_ms: float | None = None

    @property
    def incarnation(self) -> Incarnation:
        """What tells this start of the replica from others under its identifier."""
        return self.replica_id, self.started_ms

    def version_of(self, model: str) -> int | None:
        """Return the listed weight version of a model, None if it is not listed."""
        for name, version in self.model_versions:
            if name == model:
                return version
        return None


@dataclass(slots=True, eq=False)
class ReplicaState:
    """A replica and its state as observed by this VM.

    `leaving_since_s` is the monotonic time at which the replica first announced in a
    response that it leaves, None before. `rate_limit_per_s` is the number of requests a
    second that the replica, by its last response, takes from all VMs together, None
    without a limit; `sent_under_limit` counts the requests that this VM sent since.
    """

    replica: Replica
    in_flight: int = 0
    consecutive_failures: int = 0
    suspended_until_s: float = float("-inf")
    busy_until_s: float = float("-inf")
    # An ejected replica gets no requests before this time, then one at a time.
    ejected_until_s: float = float("-inf")
    is_ejected: bool = False
    is_probed: bool = False
    is_gone: bool = False
    service_time_s: float | None = None
    # Time of the newest sample of the service time.
    measured_s: float = float("-inf")
    known_versions: dict[str, int] = field(default_factory=dict)
    leaving_since_s: float | None = None
    rate_limit_per_s: float | None = None
    sent_under_limit: int = 0
    # Time of the last change of the rate limit.
    rate_limit_since_s: float = float("-inf")
    # No permit is due before this time.
    rate_limited_until_s: float = float("-inf")
    on_observed_limit: Callable[["ReplicaState"], None] | None = None
    # Monotonic time at which a reclaimed replica ends, None for others.
    ends_at_s: float | None = None

    def __post_init__(self) -> None:
        self.apply_entry(self.replica)

    def apply_entry(self, replica: Replica) -> None:
        """Take over an entry of the same incarnation."""
        self.replica = replica
        if replica.leaves_in_ms is None:
            self.ends_at_s = None
            return
        ends_at_s = time.monotonic() + replica.leaves_in_ms / MS_PER_S
        # An entry may arrive late, so the earliest end that was announced counts.
        known_s = self.ends_at_s
        self.ends_at_s = ends_at_s if known_s is None else min(known_s, ends_at_s)

    @property
    def is_serving(self) -> bool:
        """Whether the replica is listed and has not announced that it leaves."""
        return not (
            self.is_gone or self.replica.is_draining or self.leaving_since_s is not None
        )

    def record_leaving(self) -> None:
        """Record that the replica announced in a response that it leaves."""
        if self.leaving_since_s is not None:
            return
        self.leaving_since_s = time.monotonic()
        logger.info(
            "replicas: {} announced in a response that it leaves",
            self.replica.replica_id,
        )

    def observe_rate_limit(self, rate_per_s: float | None) -> None:
        """Record the rate limit that a response announced, and report a change."""
        is_change = rate_per_s != self.rate_limit_per_s
        self.record_rate_limit(rate_per_s)
        if is_change and self.on_observed_limit is not None:
            self.on_observed_limit(self)

    def record_rate_limit(self, rate_per_s: float | None) -> None:
        """Record the newest known rate limit, None for no limit."""
        if rate_per_s == self.rate_limit_per_s:
            return
        logger.info(
            "replicas: {} changed its rate limit",
            self.replica.replica_id,
            service=self.replica.service,
            former_per_s=self.rate_limit_per_s,
            limit_per_s=rate_per_s,
            sent=self.sent_under_limit,
        )
        self.rate_limit_per_s = rate_per_s
        self.sent_under_limit = 0
        self.rate_limited_until_s = float("-inf")
        self.rate_limit_since_s = time.monotonic()

    def record_send(self) -> None:
        """Count a request that is about to be sent to the replica."""
        self.in_flight += 1
        if self.is_ejected and self.ejected_until_s < float("inf"):
            self.is_probed = True
            self.ejected_until_s = time.monotonic() + PROBE_TIMEOUT_S
        if self.rate_limit_per_s is not None:
            self.sent_under_limit += 1

    def version_of(self, model: str) -> int:
        """Return the newest weight version known to be loaded, 0 if none."""
        listed = self.replica.version_of(model) or 0
        return max(listed, self.known_versions.get(model, 0))

    def record_version(self, model: str, version: int) -> None:
        """Record a weight version named in a response, unless a newer one is known."""
        if version > self.known_versions.get(model, 0):
            self.known_versions[model] = version

    def override_version(self, model: str, version: int) -> None:
        """Record the weight version that produced a response, even an older one.

        The version known so far may belong to weights that the replica no longer has.
        """
        if version < self.version_of(model):
            logger.warning(
                "replicas: weights are older than assumed",
                replica=self.replica.replica_id,
                model=model,
                version=version,
                believed=self.version_of(model),
                listed=self.replica.version_of(model) or 0,
            )
        self.known_versions[model] = version

    def is_usable(self, now_s: float) -> bool:
        """Whether new requests may be sent to the replica now."""
        return not (
            self.is_gone
            or self.replica.is_draining
            or now_s < self.suspended_until_s
            or now_s < self.busy_until_s
            or now_s < self.ejected_until_s
        )

    def eject(self) -> None:
        """Send no requests until `end_ejection` is called."""
        self.is_ejected = True
        self.ejected_until_s = float("inf")

    def begin_probation(self, pause_s: float) -> None:
        """Send no requests for a pause, then one until its outcome is known."""
        self.is_ejected = True
        self.is_probed = False
        self.ejected_until_s = time.monotonic() + pause_s

    def end_ejection(self) -> None:
        """Send requests as before an ejection."""
        self.is_ejected = self.is_probed = False
        self.ejected_until_s = float("-inf")

    def record_success(self, duration_s: float | None = None) -> None:
        """Clear the suspension; average in the duration, if it is known."""
        self.consecutive_failures = 0
        self.suspended_until_s = float("-inf")
        if duration_s is None:
            return
        now_s = time.monotonic()
        is_stale = now_s - self.measured_s > STALE_S
        weight = STALE_SMOOTHING_FACTOR if is_stale else SMOOTHING_FACTOR
        average_s = self.service_time_s
        self.service_time_s = (
            duration_s
            if average_s is None
            else average_s + weight * (duration_s - average_s)
        )
        self.measured_s = now_s

    def record_failure(self) -> float:
        """Suspend the replica with exponential backoff; return the pause in seconds."""
        pause_s = min(
            MAX_SUSPENSION_S, INITIAL_SUSPENSION_S * 2**self.consecutive_failures
        )
        self.consecutive_failures += 1
        self.suspended_until_s = time.monotonic() + pause_s
        return pause_s

    def record_refusal(self, pause_s: float) -> None:
        """Send no new requests for a while, as the replica reported that it is full."""
        self.busy_until_s = max(self.busy_until_s, time.monotonic() + pause_s)
