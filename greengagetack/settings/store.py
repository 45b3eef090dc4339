"""greengagetack.settings.store: the settings versions that this daemon has applied."""

from collections.abc import Callable

import xxhash
from loguru import logger

from greengagetack.errors import NotReady
from greengagetack.leases.decisions import accept_version
from greengagetack.settings.objects import (
    FLEET_PATH,
    SettingsObject,
    team_of_path,
    team_path,
)
from greengagetack.settings.parse import InvalidSettings, parse_fleet, parse_team
from greengagetack.settings.schema import FleetSettings, TeamSettings
from greengagetack.settings.view import SettingsVersion

__all__ = ["SettingsStore"]

NOT_READY_RETRY_S = 1.0


class SettingsStore:
    """Holds the newest version of each subtree; implements `SettingsView`.

    A version is applied only if it is higher than the current one, so late and
    repeated messages are harmless.
    """

    def __init__(self) -> None:
        self._objects: dict[str, SettingsObject] = {}
        self._refused: dict[str, int] = {}
        self._fleet: FleetSettings | None = None
        self._teams: dict[str, TeamSettings] = {}
        self._callbacks: list[Callable[[], None]] = []
        self._loaded = False

    @property
    def ready(self) -> bool:
        """Whether all settings have been loaded, including those of the fleet."""
        return self._loaded and self._fleet is not None

    @property
    def loaded(self) -> bool:
        """Whether all subtrees have been loaded from the platform or the peers."""
        return self._loaded

    def mark_loaded(self) -> None:
        """Record that all subtrees have been loaded from the platform or the peers."""
        if not self._loaded:
            self._loaded = True
            self._notify()

    def digest(self) -> int:
        """Return a 64-bit digest of the applied versions."""
        text = "\n".join(f"{one.path}\0{one.version}" for one in self.versions())
        return xxhash.xxh3_64_intdigest(text.encode())

    def fleet(self) -> FleetSettings:
        """Return the current settings of the fleet.

        Raises
        ------
        NotReady
            If none have been loaded yet.
        """
        if self._fleet is None:
            raise NotReady("the settings are not loaded yet", NOT_READY_RETRY_S)
        return self._fleet

    def team(self, team: str) -> TeamSettings | None:
        """Return the current settings of a team, None if there is no such team."""
        return self._teams.get(team)

    def teams(self) -> tuple[TeamSettings, ...]:
        """Return the settings of all teams, sorted by name."""
        return tuple(self._teams[name] for name in sorted(self._teams))

    def versions(self) -> tuple[SettingsVersion, ...]:
        """Return the applied versions, sorted by path."""
        return tuple(
            SettingsVersion(path, self._objects[path].version)
            for path in sorted(self._objects)
        )

    def version(self, path: str) -> int:
        """Return the applied version of a path, 0 if there is none."""
        known = self._objects.get(path)
        return known.version if known is not None else 0

    def get(self, path: str) -> SettingsObject | None:
        """Return the applied subtree of a path, None if there is none."""
        return self._objects.get(path)

    def objects(self) -> tuple[SettingsObject, ...]:
        """Return all applied subtrees, sorted by path."""
        return tuple(self._objects[path] for path in sorted(self._objects))

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change."""
        self._callbacks.append(callback)

    def offer(self, offered: SettingsObject) -> bool:
        """Apply a subtree if its version is higher than the current one.

        Returns
        -------
        bool
            Whether the offered version or a higher one is now applied. False only if
            it is invalid; its faults are logged and the current version stays.
        """
        if not accept_version(self.version(offered.path), offered.version):
            return True
        if self._refused.get(offered.path) == offered.version:
            return False
        try:
            self._apply(offered)
        except InvalidSettings as error:
            self._refused[offered.path] = offered.version
            logger.error(
                "settings: {} version {} is invalid and was not applied: {}",
                offered.path,
                offered.version,
                error.reason,
            )
            return False
        logger.info("settings: {} version {} applied", offered.path, offered.version)
        self._notify()
        return True

    def _notify(self) -> None:
        for callback in self._callbacks:
            try:
                callback()
            except Exception as error:
                logger.opt(exception=error).error("settings: a subscriber failed")

    def _apply(self, offered: SettingsObject) -> None:
        team = team_of_path(offered.path)
        if offered.path == FLEET_PATH:
            self._fleet = parse_fleet(offered.value)
        elif team and offered.path == team_path(team):
            self._teams[team] = parse_team(team, offered.value)
        else:
            raise InvalidSettings(f"{offered.path!r} is not a settings path")
        self._objects[offered.path] = offered
