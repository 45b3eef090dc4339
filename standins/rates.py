"""standins.rates: a call rate that refuses what goes beyond it."""

import time

__all__ = ["RateLimit"]


class RateLimit:
    """A token bucket that holds one second's worth of calls.

    Parameters
    ----------
    calls_per_s : float
        Rate; 0 means without a limit.
    """

    def __init__(self, calls_per_s: float) -> None:
        self.calls_per_s = calls_per_s
        self._capacity = max(1.0, calls_per_s)
        self._available = self._capacity
        self._filled_at_s = time.monotonic()

    def refuse_for_s(self) -> float:
        """Take one call; return 0 if it may go on, else the seconds to wait."""
        if self.calls_per_s <= 0:
            return 0.0
        now_s = time.monotonic()
        gained = (now_s - self._filled_at_s) * self.calls_per_s
        self._available = min(self._capacity, self._available + gained)
        self._filled_at_s = now_s
        if self._available < 1.0:
            return (1.0 - self._available) / self.calls_per_s
        self._available -= 1.0
        return 0.0
