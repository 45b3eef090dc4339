"""greengagetack.limits.forecast: forecast of a team's spend at the end of a period."""

__all__ = ["SpendForecast"]

WINDOW_RATIO = 0.02
MIN_WINDOW_S = 10.0


class SpendForecast:
    """Estimates the spend at the end of a period from the recent rate.

    Parameters
    ----------
    period_s : float
        Length of the period; the rate is measured over a small share of it.
    """

    def __init__(self, period_s: float) -> None:
        self._window_s = max(MIN_WINDOW_S, period_s * WINDOW_RATIO)
        self._samples: list[tuple[float, int]] = []

    def observe(self, now_s: float, spent_tokens: int) -> None:
        """Add a sample of the spend so far."""
        if self._samples and spent_tokens < self._samples[-1][1]:
            # The spend decreases only when a new period starts.
            self._samples.clear()
        self._samples.append((now_s, spent_tokens))
        oldest_s = now_s - self._window_s
        while len(self._samples) > 2 and self._samples[1][0] <= oldest_s:
            self._samples.pop(0)

    def tokens_per_s(self) -> float:
        """Return the rate over the window, 0 with fewer than two samples."""
        if len(self._samples) < 2:
            return 0.0
        first_s, first_tokens = self._samples[0]
        last_s, last_tokens = self._samples[-1]
        if last_s <= first_s:
            return 0.0
        return (last_tokens - first_tokens) / (last_s - first_s)

    def tokens_at_end(self, spent_tokens: int, period_left_s: float) -> int:
        """Return the expected spend at the end of the period."""
        return int(spent_tokens + self.tokens_per_s() * period_left_s)
