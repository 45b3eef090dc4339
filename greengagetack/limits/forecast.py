"""greengagetack.limits.forecast: a team's rate of spend and where it leads."""

__all__ = ["SpendForecast"]

WINDOW_RATIO = 0.02
MIN_WINDOW_S = 10.0


class SpendForecast:
    """Estimates the spend at the end of a period from the rate of late.

    Parameters
    ----------
    period_s : float
        Length of the period; the rate looks back over a small share of it.
    """

    def __init__(self, period_s: float) -> None:
        self._window_s = max(MIN_WINDOW_S, period_s * WINDOW_RATIO)
        self._marks: list[tuple[float, int]] = []

    def observe(self, now_s: float, spent_tokens: int) -> None:
        """Take the spend so far."""
        if self._marks and spent_tokens < self._marks[-1][1]:
            # A new period has begun.
            self._marks.clear()
        self._marks.append((now_s, spent_tokens))
        oldest_s = now_s - self._window_s
        while len(self._marks) > 2 and self._marks[1][0] <= oldest_s:
            self._marks.pop(0)

    def tokens_per_s(self) -> float:
        """Return the rate over the window, 0 while unknown."""
        if len(self._marks) < 2:
            return 0.0
        first_s, first_tokens = self._marks[0]
        last_s, last_tokens = self._marks[-1]
        if last_s <= first_s:
            return 0.0
        return (last_tokens - first_tokens) / (last_s - first_s)

    def at_end(self, spent_tokens: int, period_left_s: float) -> int:
        """Return the expected spend at the end of the period."""
        return int(spent_tokens + self.tokens_per_s() * period_left_s)
