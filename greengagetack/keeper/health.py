"""greengagetack.keeper.health: ejection of failing and slow endpoints."""

from collections.abc import Callable
from statistics import median
from typing import Any

from loguru import logger
from transitions import Machine

__all__ = ["EndpointHealth"]

FAILURES_TO_EJECT = 3
SMOOTHING = 0.2
MIN_TOKENS_TO_JUDGE = 32
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
    """Whether an endpoint gets work, judged by failures and time per token.

    An ejected endpoint gets nothing but the keeper's own probe, one at a time.
    After a good probe the number of requests grows with each that ends well.

    Parameters
    ----------
    endpoint_id : str
        For logs.
    slots : int
        Concurrent requests of a healthy endpoint.
    """

    # Set by the machine.
    state: str
    eject: Callable[[], bool]
    readmit: Callable[[], bool]
    heal: Callable[[], bool]

    def __init__(self, endpoint_id: str, slots: int) -> None:
        self._endpoint_id = endpoint_id
        self._slots = slots
        self._failures = 0
        self._judged_tokens = 0
        self._ejections = 0
        self._recovered_slots = SLOW_START_SLOTS
        self.seconds_per_token = 0.0
        self.probe_at_s = 0.0
        _MACHINE.add_model(self, initial="healthy")

    def forget(self) -> None:
        """Release the state machine's hold on this endpoint."""
        _MACHINE.remove_model(self)

    @property
    def ejected(self) -> bool:
        """Whether the endpoint gets no work."""
        return self.state == "ejected"

    def allowed(self) -> int:
        """Return how many requests may run now."""
        if self.state == "ejected":
            return 0
        if self.state == "recovering":
            return min(self._slots, self._recovered_slots)
        return self._slots

    def observe(self, token_count: int, duration_s: float) -> None:
        """Take the time between two chunks of a stream."""
        if not token_count:
            return
        sample_s = duration_s / token_count
        if not self.seconds_per_token:
            self.seconds_per_token = sample_s
        change = (sample_s - self.seconds_per_token) * SMOOTHING
        self.seconds_per_token += change
        self._judged_tokens += token_count

    def succeeded(self) -> None:
        """Take a request that ended well."""
        self._failures = 0
        if self.state != "recovering":
            return
        self._recovered_slots += 1
        if self._recovered_slots >= self._slots:
            self._ejections = 0
            self.heal()
            logger.info("keeper: endpoint {} recovered", self._endpoint_id)

    def failed(self, now_s: float, ejection_s: float) -> bool:
        """Take a request that failed, and return whether it led to ejection."""
        self._failures += 1
        if self.state == "ejected":
            # Requests that were in flight at the ejection say nothing new.
            if now_s >= self.probe_at_s:
                self._postpone_probe(now_s, ejection_s)
            return False
        if self.state == "healthy" and self._failures < FAILURES_TO_EJECT:
            return False
        self._eject(now_s, ejection_s, "failing")
        return True

    def judge_pace(
        self, others: tuple[float, ...], factor: float, now_s: float, ejection_s: float
    ) -> bool:
        """Eject if far slower than the median of the other replicas of its model.

        `others` are their seconds per token. Returns whether it was ejected.
        """
        known = [pace for pace in others if pace > 0]
        if self.state == "ejected" or not known:
            return False
        if self._judged_tokens < MIN_TOKENS_TO_JUDGE:
            return False
        if self.seconds_per_token <= factor * median(known):
            return False
        self._eject(now_s, ejection_s, "slow")
        return True

    def probed(
        self,
        seconds_per_token: float,
        others: tuple[float, ...],
        factor: float,
        now_s: float,
        ejection_s: float,
    ) -> None:
        """Take a probe that ended well, and readmit unless it was slow."""
        known = [pace for pace in others if pace > 0]
        if known and seconds_per_token > factor * median(known):
            self._postpone_probe(now_s, ejection_s)
            return
        self._failures = 0
        self._judged_tokens = 0
        self.seconds_per_token = seconds_per_token
        self._recovered_slots = SLOW_START_SLOTS
        self.readmit()
        logger.info("keeper: endpoint {} gets work again", self._endpoint_id)

    def _eject(self, now_s: float, ejection_s: float, why: str) -> None:
        self.eject()
        self._postpone_probe(now_s, ejection_s)
        logger.warning("keeper: endpoint {} ejected, {}", self._endpoint_id, why)

    def _postpone_probe(self, now_s: float, ejection_s: float) -> None:
        pause_s = min(MAX_EJECTION_S, ejection_s * 2.0**self._ejections)
        self._ejections += 1
        self.probe_at_s = now_s + pause_s
