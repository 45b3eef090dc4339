"""greengagetack.keeper.admission: which requests can still be served in time."""

import random

from greengagetack.errors import Overloaded
from greengagetack.keeper.fair_queue import FairQueue
from greengagetack.keeper.messages import Complete, Work
from greengagetack.settings.schema import AdmissionSettings

__all__ = ["Admission", "CallerReserve", "LengthRatio", "spread_retry_s"]

MIN_RETRY_S = 0.1
CALLER_WINDOW_S = 10.0
LENGTH_SMOOTHING = 0.2


def spread_retry_s(wait_s: float, limit_s: float, chance: random.Random) -> float:
    """Return a time to come back, spread so that the refused do not return at once."""
    return min(limit_s, max(MIN_RETRY_S, wait_s) * chance.uniform(0.5, 1.5))


class CallerReserve:
    """Slots of an endpoint that rollouts leave free for callers.

    It follows the most callers seen at once in the last seconds, and is at
    least one and at most `ratio` of the slots, so that what callers do not use
    is lent to rollouts.
    """

    def __init__(self, slots: int, ratio: float) -> None:
        self._limit = max(1, int(slots * ratio)) if slots > 1 and ratio > 0 else 0
        self._peak = 0
        self._peak_at_s = 0.0

    @property
    def limit(self) -> int:
        """Most slots that are ever reserved."""
        return self._limit

    def observe(self, callers: int, now_s: float) -> None:
        """Take how many callers run or wait now."""
        if callers >= self._peak or now_s - self._peak_at_s > CALLER_WINDOW_S:
            self._peak = callers
            self._peak_at_s = now_s

    def slots(self, now_s: float) -> int:
        """Return how many slots rollouts leave free now."""
        seen = self._peak if now_s - self._peak_at_s <= CALLER_WINDOW_S else 0
        return min(self._limit, max(1, seen))


class LengthRatio:
    """Actual over expected tokens of late, by which queues are judged.

    Senders that do not know their lengths expect far too many tokens.
    """

    def __init__(self) -> None:
        self.value = 1.0

    def observe(self, expected_tokens: int, actual_tokens: int) -> None:
        """Take a request that ended well."""
        ratio = actual_tokens / max(1, expected_tokens)
        self.value += (ratio - self.value) * LENGTH_SMOOTHING


class Admission:
    """Refuses at once what cannot be served in the time that it has left.

    Parameters
    ----------
    settings : AdmissionSettings
        Bounds of the queue and of the time to come back.
    seed : int or None
        Seed of the spread of returns.
    """

    def __init__(self, settings: AdmissionSettings, seed: int | None = None) -> None:
        self._settings = settings
        self._chance = random.Random(seed)

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
        """Return about how long a new request waits before it runs."""
        if free_slots > 0 and not len(queue):
            return 0.0
        if tokens_per_s <= 0:
            return 0.0
        ahead = queue.tokens_ahead(team, work, weight)
        if work == Work.ROLLOUT:
            # The first slot to become free has about half of its work done.
            ahead += running_tokens / 2
        return ahead / tokens_per_s

    def check_time(self, request: Complete, wait_s: float, service_s: float) -> None:
        """Refuse a request whose deadline cannot be met.

        Raises
        ------
        Overloaded
            With a time to come back that spreads the returns.
        """
        late_s = wait_s + service_s - request.time_left_s
        if late_s <= 0:
            return
        limit_s = self._settings.max_retry_after_s
        raise Overloaded(
            f"the queue takes {wait_s:.1f} s and {request.time_left_s:.1f} s are left",
            spread_retry_s(late_s, limit_s, self._chance),
        )

    def queue_full(self, wait_s: float) -> Overloaded:
        """Return the refusal of a request for which the queue has no place."""
        limit_s = self._settings.max_retry_after_s
        return Overloaded(
            f"the queue is full with {self._settings.queue_limit} requests",
            spread_retry_s(wait_s, limit_s, self._chance),
        )
