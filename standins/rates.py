"""standins.rates: a rate limiter for calls."""

import time

__all__ = ["RateLimit"]


class RateLimit:
    """A token bucket that holds one second's worth of calls.

    Parameters
    ----------
    calls_per_s : float
        Rate limit; 0 means no limit.
    """

    def __init__(self, calls_per_s: float) -> None:
        self.calls_per_s = calls_per_s
        self._capacity = max(1.0, calls_per_s)
        self._available = self._capacity
        self._filled_at_s = time.monotonic()

    def try_acquire(self) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
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
