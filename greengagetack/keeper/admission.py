"""greengagetack.keeper.admission: refuses requests that cannot be served in time."""

import random

from greengagetack.errors import Overloaded
from greengagetack.keeper.fair_queue import FairQueue
from greengagetack.keeper.messages import Complete, Work
from greengagetack.settings.schema import AdmissionSettings

__all__ = ["Admission", "CallerReserve", "LengthRatio", "jittered_retry_s"]

MIN_RETRY_S = 0.1
CALLER_PEAK_WINDOW_S = 10.0
LENGTH_SMOOTHING_RATIO = 0.2


def jittered_retry_s(wait_s: float, limit_s: float, rng: random.Random) -> float:
    """Return a jittered retry delay, so that refused senders don't retry at once."""
    return min(limit_s, max(MIN_RETRY_S, wait_s) * rng.uniform(0.5, 1.5))


class CallerReserve:
    """Slots of an endpoint that rollouts leave free for callers.

    The reserve follows the peak number of concurrent callers in the last
    ``CALLER_PEAK_WINDOW_S`` seconds. It is at least one slot and at most `ratio`
    of all slots; slots that callers do not use are available to rollouts.
    """

    def __init__(self, slots: int, ratio: float) -> None:
        self._max_reserved_slots = (
            max(1, int(slots * ratio)) if slots > 1 and ratio > 0 else 0
        )
        self._peak = 0
        self._peak_at_s = 0.0

    @property
    def max_reserved_slots(self) -> int:
        """Upper bound of the number of reserved slots."""
        return self._max_reserved_slots

    def observe_callers(self, callers: int, now_s: float) -> None:
        """Record how many callers run or wait now."""
        if callers >= self._peak or now_s - self._peak_at_s > CALLER_PEAK_WINDOW_S:
            self._peak = callers
            self._peak_at_s = now_s

    def reserved_slots(self, now_s: float) -> int:
        """Return how many slots are reserved for callers now."""
        recent_peak = (
            self._peak if now_s - self._peak_at_s <= CALLER_PEAK_WINDOW_S else 0
        )
        return min(self._max_reserved_slots, max(1, recent_peak))


class LengthRatio:
    """Moving average of actual over expected tokens, for wait estimates.

    The correction is needed because senders that do not know the length of
    their completions state far too many expected tokens.
    """

    def __init__(self) -> None:
        self.value = 1.0

    def observe_length(self, expected_tokens: int, actual_tokens: int) -> None:
        """Record a request that succeeded."""
        ratio = actual_tokens / max(1, expected_tokens)
        self.value += (ratio - self.value) * LENGTH_SMOOTHING_RATIO


class Admission:
    """Refuses requests that cannot be served before their deadline.

    Parameters
    ----------
    settings : AdmissionSettings
        Bounds of the queue length and of the retry delay.
    seed : int or None
        Seed of the retry jitter.
    """

    def __init__(self, settings: AdmissionSettings, seed: int | None = None) -> None:
        self._settings = settings
        self._rng = random.Random(seed)

    def expected_wait_s(
        self,
        queue: FairQueue,
        team: str,
        work: str,
        weight: float,
        running_tokens: int,
        free_slots: int,
        tokens_per_s: float,
    ) -> float:
        """Estimate how long a new request waits before it starts."""
        if free_slots > 0 and not len(queue):
            return 0.0
        if tokens_per_s <= 0:
            return 0.0
        ahead = queue.tokens_ahead(team, work, weight)
        if work == Work.ROLLOUT:
            # Running requests are on average half done.
            ahead += running_tokens / 2
        return ahead / tokens_per_s

    def check_deadline(
        self, request: Complete, wait_s: float, service_s: float
    ) -> None:
        """Refuse a request whose deadline cannot be met.

        Raises
        ------
        Overloaded
            With a jittered retry delay.
        """
        late_s = wait_s + service_s - request.time_left_s
        if late_s <= 0:
            return
        limit_s = self._settings.max_retry_after_s
        raise Overloaded(
            f"the expected wait is {wait_s:.1f} s, but the deadline is in "
            f"{request.time_left_s:.1f} s",
            jittered_retry_s(late_s, limit_s, self._rng),
        )

    def queue_full_error(self, wait_s: float) -> Overloaded:
        """Return the error for a request that finds the queue full."""
        limit_s = self._settings.max_retry_after_s
        return Overloaded(
            f"the queue has reached its limit of {self._settings.queue_limit} requests",
            jittered_retry_s(wait_s, limit_s, self._rng),
        )
