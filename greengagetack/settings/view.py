"""greengagetack.settings.view: the settings in force on this daemon."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from greengagetack.settings.schema import FleetSettings, TeamSettings

__all__ = ["SettingsVersion", "SettingsView"]


@dataclass(frozen=True, slots=True)
class SettingsVersion:
    """Version of one subtree that a daemon has in force."""

    path: str
    version: int


class SettingsView(Protocol):
    """What other parts may ask of the settings."""

    @property
    def ready(self) -> bool:
        """Whether settings are known from the platform or a peer."""

    def fleet(self) -> FleetSettings:
        """Return the fleet's settings in force."""

    def team(self, team: str) -> TeamSettings | None:
        """Return a team's settings in force, None if there is no such team."""

    def teams(self) -> tuple[TeamSettings, ...]:
        """Return the settings of all teams."""

    def versions(self) -> tuple[SettingsVersion, ...]:
        """Return the versions in force, by path."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change."""
