"""greengagetack.limits.retries: a retry budget per team."""

from greengagetack.settings.view import SettingsView

__all__ = ["RetryBudgets"]

MIN_RETRIES = 10.0
MAX_RETRIES = 100.0
DEFAULT_RATIO = 0.1


class RetryBudgets:
    """Lets each team retry a share of what has lately succeeded.

    A success adds the team's ``retry_ratio``, a retry takes one, so that a
    fault of many endpoints does not multiply the load.
    """

    def __init__(self, settings: SettingsView) -> None:
        self._settings = settings
        self._tokens: dict[str, float] = {}

    def succeeded(self, team: str) -> None:
        """Count a success."""
        settings = self._settings.team(team)
        ratio = settings.retry_ratio if settings is not None else DEFAULT_RATIO
        left = self._tokens.get(team, MIN_RETRIES) + ratio
        self._tokens[team] = min(MAX_RETRIES, left)

    def take(self, team: str) -> bool:
        """Return whether the team may retry now, and count it."""
        left = self._tokens.get(team, MIN_RETRIES)
        if left < 1:
            return False
        self._tokens[team] = left - 1
        return True
