"""greengagetack.settings.view: read access to the applied settings."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from greengagetack.settings.schema import FleetSettings, TeamSettings

__all__ = ["SettingsVersion", "SettingsView"]


@dataclass(frozen=True, slots=True)
class SettingsVersion:
    """The version of one subtree that a daemon has applied."""

    path: str
    version: int


class SettingsView(Protocol):
    """Read access to the current settings."""

    @property
    def ready(self) -> bool:
        """Whether all settings have been loaded from the platform or the peers."""

    def fleet(self) -> FleetSettings:
        """Return the current settings of the fleet."""

    def team(self, team: str) -> TeamSettings | None:
        """Return the current settings of a team, None if there is no such team."""

    def teams(self) -> tuple[TeamSettings, ...]:
        """Return the settings of all teams."""

    def versions(self) -> tuple[SettingsVersion, ...]:
        """Return the applied versions, sorted by path."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change."""
