"""greengagetack.settings.objects: settings stored as platform objects."""

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
    "settings_from_platform",
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
    """An earlier version of a subtree: its plain JSON value and its author."""

    version: int
    value: Any
    author: str = ""
    changed_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SettingsObject:
    """One version of a subtree: its path, plain JSON value and author.

    `change_id` identifies the write in the platform. `changed_at_s` is in seconds
    since the epoch, by the clock of the daemon that accepted the change.
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
    """Return the team of a settings path, empty for ``/fleet``."""
    return path.removeprefix(TEAMS_PREFIX) if path.startswith(TEAMS_PREFIX) else ""


def settings_path(text: str) -> str:
    """Return a settings path as given by a user, with a leading slash.

    Raises
    ------
    NotFound
        If the path cannot hold settings.
    """
    path = "/" + text.strip("/")
    if not _PATH.fullmatch(path):
        raise NotFound(f"no settings under {path[:100]!r}; use /fleet or /teams/TEAM")
    return path


def object_path(path: str) -> str:
    """Return the path of the platform object that stores a settings path."""
    return PREFIX + path.removeprefix("/")


def settings_from_platform(stored: PlatformObject) -> SettingsObject:
    """Return the settings stored in a platform object.

    A value without the keys of `_StoredSettings`, such as one written by hand, is
    taken as the settings themselves.
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
    kept = _trim_history(entries)
    return msgspec.to_builtins(_StoredSettings(value, author, changed_at_s, kept))


def _trim_history(entries: list[HistoryEntry]) -> tuple[HistoryEntry, ...]:
    """Return the newest entries that fit the limits on count and size."""
    kept: list[HistoryEntry] = []
    size_bytes = 0
    for entry in entries[:MAX_HISTORY_ENTRIES]:
        size_bytes += len(msgspec.json.encode(entry))
        if size_bytes > MAX_HISTORY_BYTES:
            break
        kept.append(entry)
    return tuple(kept)
