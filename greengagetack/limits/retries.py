"""greengagetack.limits.retries: a retry budget per team."""

from greengagetack.settings.view import SettingsView

__all__ = ["RetryBudgets"]

INITIAL_RETRIES = 10.0
MAX_RETRIES = 100.0
DEFAULT_RETRY_RATIO = 0.1


class RetryBudgets:
    """Limits the retries of each team to a share of its recent successes.

    Each success adds the team's ``retry_ratio`` to its budget and each retry
    takes 1, so that a failure of many endpoints does not multiply the load.
    """

    def __init__(self, settings: SettingsView) -> None:
        self._settings = settings
        self._retries_left: dict[str, float] = {}

    def record_success(self, team: str) -> None:
        """Add to a team's retry budget after a success."""
        settings = self._settings.team(team)
        ratio = settings.retry_ratio if settings is not None else DEFAULT_RETRY_RATIO
        left = self._retries_left.get(team, INITIAL_RETRIES) + ratio
        self._retries_left[team] = min(MAX_RETRIES, left)

    def try_take(self, team: str) -> bool:
        """Take one retry from a team's budget, and return whether one was left."""
        left = self._retries_left.get(team, INITIAL_RETRIES)
        if left < 1:
            return False
        self._retries_left[team] = left - 1
        return True
