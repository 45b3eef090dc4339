"""greengagetack.keeper.health: ejection of failing and slow endpoints."""

from collections.abc import Callable
from statistics import median
from typing import Any

from loguru import logger
from transitions import Machine

__all__ = ["EndpointHealth"]

FAILURES_TO_EJECT = 3
PACE_SMOOTHING_RATIO = 0.2
MIN_TOKENS_FOR_SLOW_EJECTION = 32
MAX_EJECTION_S = 15.0
SLOW_START_SLOTS = 1

STATES = ["healthy", "ejected", "recovering"]
TRANSITIONS: list[Any] = [
    {"trigger": "eject", "source": ["healthy", "recovering"], "dest": "ejected"},
    {"trigger": "readmit", "source": "ejected", "dest": "recovering"},
    {"trigger": "heal", "source": "recovering", "dest": "healthy"},
]
# One machine serves all endpoints; each holds only its own state.
_MACHINE = Machine(
    model=None,
    states=STATES,
    transitions=TRANSITIONS,
    initial="healthy",
    auto_transitions=False,
)


class EndpointHealth:
    """Decides whether an endpoint gets work, by failures and time per token.

    An ejected endpoint gets only probes from its keeper, one at a time. After a
    successful probe the concurrency limit grows with each successful request.

    Parameters
    ----------
    endpoint_id : str
        For logs.
    slots : int
        Concurrency limit of a healthy endpoint.
    """

    # Set by the state machine.
    state: str
    eject: Callable[[], bool]
    readmit: Callable[[], bool]
    heal: Callable[[], bool]

    def __init__(self, endpoint_id: str, slots: int) -> None:
        self._endpoint_id = endpoint_id
        self._slots = slots
        self._failures = 0
        self._measured_tokens = 0
        self._ejections = 0
        self._recovered_slots = SLOW_START_SLOTS
        self.seconds_per_token = 0.0
        self.probe_at_s = 0.0
        _MACHINE.add_model(self, initial="healthy")

    def unregister(self) -> None:
        """Remove this endpoint from the shared state machine."""
        _MACHINE.remove_model(self)

    @property
    def ejected(self) -> bool:
        """Whether the endpoint gets no work."""
        return self.state == "ejected"

    def concurrency_limit(self) -> int:
        """Return how many requests may run concurrently now."""
        if self.state == "ejected":
            return 0
        if self.state == "recovering":
            return min(self._slots, self._recovered_slots)
        return self._slots

    def observe_pace(self, token_count: int, duration_s: float) -> None:
        """Record the time between two chunks of a stream."""
        if not token_count:
            return
        sample_s = duration_s / token_count
        if not self.seconds_per_token:
            self.seconds_per_token = sample_s
        change = (sample_s - self.seconds_per_token) * PACE_SMOOTHING_RATIO
        self.seconds_per_token += change
        self._measured_tokens += token_count

    def record_success(self) -> None:
        """Record a successful request."""
        self._failures = 0
        if self.state != "recovering":
            return
        self._recovered_slots += 1
        if self._recovered_slots >= self._slots:
            self._ejections = 0
            self.heal()
            logger.info("keeper: endpoint {} recovered", self._endpoint_id)

    def record_failure(self, now_s: float, ejection_s: float) -> bool:
        """Record a failed request and return whether it caused an ejection."""
        self._failures += 1
        if self.state == "ejected":
            # Failures of requests that were in flight at the ejection add no
            # information, so they don't postpone the probe.
            if now_s >= self.probe_at_s:
                self._postpone_probe(now_s, ejection_s)
            return False
        if self.state == "healthy" and self._failures < FAILURES_TO_EJECT:
            return False
        self._eject(now_s, ejection_s, "failing")
        return True

    def eject_if_slow(
        self,
        sibling_paces: tuple[float, ...],
        slow_factor: float,
        now_s: float,
        ejection_s: float,
    ) -> bool:
        """Eject the endpoint if it is far slower than its siblings' median.

        `sibling_paces` are the seconds per token of other replicas of the model.
        Returns whether the endpoint was ejected.
        """
        known_paces = [pace for pace in sibling_paces if pace > 0]
        if self.state == "ejected" or not known_paces:
            return False
        if self._measured_tokens < MIN_TOKENS_FOR_SLOW_EJECTION:
            return False
        if self.seconds_per_token <= slow_factor * median(known_paces):
            return False
        self._eject(now_s, ejection_s, "slow")
        return True

    def record_probe(
        self,
        seconds_per_token: float,
        sibling_paces: tuple[float, ...],
        slow_factor: float,
        now_s: float,
        ejection_s: float,
    ) -> None:
        """Record a successful probe and readmit the endpoint unless it was slow."""
        known_paces = [pace for pace in sibling_paces if pace > 0]
        if known_paces and seconds_per_token > slow_factor * median(known_paces):
            self._postpone_probe(now_s, ejection_s)
            return
        self._failures = 0
        self._measured_tokens = 0
        self.seconds_per_token = seconds_per_token
        self._recovered_slots = SLOW_START_SLOTS
        self.readmit()
        logger.info("keeper: endpoint {} gets work again", self._endpoint_id)

    def _eject(self, now_s: float, ejection_s: float, reason: str) -> None:
        self.eject()
        self._postpone_probe(now_s, ejection_s)
        logger.warning("keeper: endpoint {} ejected, {}", self._endpoint_id, reason)

    def _postpone_probe(self, now_s: float, ejection_s: float) -> None:
        pause_s = min(MAX_EJECTION_S, ejection_s * 2.0**self._ejections)
        self._ejections += 1
        self.probe_at_s = now_s + pause_s
