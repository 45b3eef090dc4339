"""greengagetack.settings.objects: settings as they lie in the platform."""

import re
from dataclasses import dataclass
from typing import Any

import msgspec

from greengagetack.errors import NotFound
from greengagetack.objects.base import PlatformObject

__all__ = [
    "FLEET_PATH",
    "PREFIX",
    "HistoryEntry",
    "SettingsObject",
    "from_platform",
    "object_path",
    "settings_path",
    "stored_value",
    "team_of_path",
    "team_path",
]

PREFIX = "settings/"
FLEET_PATH = "/fleet"
TEAMS_PREFIX = "/teams/"

MAX_HISTORY_ENTRIES = 20
MAX_HISTORY_BYTES = 256 * 1024

_PATH = re.compile(r"/fleet|/teams/[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?")


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A former version of a subtree, its plain JSON value and who wrote it."""

    version: int
    value: Any
    author: str = ""
    changed_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SettingsObject:
    """One version of a subtree: its path, plain JSON value and who wrote it.

    `change_id` names the write in the platform; `changed_at_s` is in seconds since
    the epoch, by the clock of the daemon that accepted the change.
    """

    path: str
    version: int
    value: Any
    author: str = ""
    changed_at_s: float = 0.0
    change_id: str = ""
    history: tuple[HistoryEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class _StoredSettings:
    """The value of a platform object that holds settings."""

    settings: Any
    author: str = ""
    changed_at_s: float = 0.0
    history: tuple[HistoryEntry, ...] = ()


def team_path(team: str) -> str:
    """Return the settings path of a team."""
    return TEAMS_PREFIX + team


def team_of_path(path: str) -> str:
    """Return the team of a settings path, empty for the fleet's."""
    return path.removeprefix(TEAMS_PREFIX) if path.startswith(TEAMS_PREFIX) else ""


def settings_path(text: str) -> str:
    """Return the settings path that a user wrote, with its leading slash.

    Raises
    ------
    NotFound
        If no settings can stand under that path.
    """
    path = "/" + text.strip("/")
    if not _PATH.fullmatch(path):
        raise NotFound(f"no settings under {path[:100]!r}; use /fleet or /teams/TEAM")
    return path


def object_path(path: str) -> str:
    """Return the path of the platform object that holds a settings path."""
    return PREFIX + path.removeprefix("/")


def from_platform(stored: PlatformObject) -> SettingsObject:
    """Return the settings that a platform object holds.

    A value without the wrapping keys, written by hand, is taken as bare settings.
    """
    path = "/" + stored.path.removeprefix(PREFIX)
    value = stored.value
    if not isinstance(value, dict) or "settings" not in value:
        return SettingsObject(path, stored.version, value, change_id=stored.change_id)
    try:
        wrapped = msgspec.convert(value, _StoredSettings)
    except msgspec.ValidationError:
        return SettingsObject(path, stored.version, value, change_id=stored.change_id)
    return SettingsObject(
        path,
        stored.version,
        wrapped.settings,
        wrapped.author,
        wrapped.changed_at_s,
        stored.change_id,
        wrapped.history,
    )


def stored_value(
    value: Any, author: str, changed_at_s: float, former: SettingsObject | None
) -> Any:
    """Return the platform value for a new version that follows `former`."""
    entries: list[HistoryEntry] = []
    if former is not None:
        latest = HistoryEntry(
            former.version, former.value, former.author, former.changed_at_s
        )
        entries = [latest, *former.history]
    kept = _bounded(entries)
    return msgspec.to_builtins(_StoredSettings(value, author, changed_at_s, kept))


def _bounded(entries: list[HistoryEntry]) -> tuple[HistoryEntry, ...]:
    """Return the newest entries that fit both bounds."""
    kept: list[HistoryEntry] = []
    size_bytes = 0
    for entry in entries[:MAX_HISTORY_ENTRIES]:
        size_bytes += len(msgspec.json.encode(entry))
        if size_bytes > MAX_HISTORY_BYTES:
            break
        kept.append(entry)
    return tuple(kept)
