"""greengagetack.settings.writer: validates changes and writes them to the platform."""

from typing import Any

import msgspec
from loguru import logger

from greengagetack.daemons.auth import Principal
from greengagetack.errors import (
    CodedError,
    Forbidden,
    Outcome,
    PlatformUnavailable,
    RequestTooLarge,
)
from greengagetack.objects.base import ObjectConflict, ObjectStore
from greengagetack.settings.answers import (
    SettingsAnswer,
    SettingsConflict,
    answer_from_object,
)
from greengagetack.settings.changes import find_changes, redact
from greengagetack.settings.objects import (
    FLEET_PATH,
    SettingsObject,
    object_path,
    settings_from_platform,
    stored_value,
    team_of_path,
)
from greengagetack.settings.parse import parse_fleet, parse_team
from greengagetack.settings.schema import TeamSettings
from greengagetack.timer import Timer

__all__ = ["SettingsWriter", "check_document"]

MAX_OBJECT_BYTES = 1_000_000
OPERATOR_FIELDS = ("budget", "weight")


def check_document(path: str, value: Any) -> None:
    """Validate a plain value as the settings of a path.

    Raises
    ------
    InvalidSettings
        If the value is invalid; lists all problems.
    """
    if path == FLEET_PATH:
        parse_fleet(value)
        return
    parse_team(team_of_path(path), value)


class SettingsWriter:
    """Writes validated changes to the platform by conditional update."""

    def __init__(self, platform: ObjectStore, timer: Timer) -> None:
        self._platform = platform
        self._timer = timer

    async def write(
        self, path: str, value: Any, expected_version: int, principal: Principal
    ) -> SettingsObject:
        """Write a change and return the accepted version.

        Raises
        ------
        InvalidSettings
            If the value is invalid.
        Forbidden
            If a team changes fields that only operators may change.
        SettingsConflict
            If the version in the platform is not `expected_version`.
        PlatformUnavailable, WriteUnknown
            As raised by the client of the platform.
        """
        check_document(path, value)
        current = await self.read(path)
        current_version = current.version if current is not None else 0
        if current_version != expected_version:
            raise _conflict(path, value, expected_version, current, principal)
        if not principal.is_operator:
            _check_operator_fields(path, current, value)
        now_s = self._timer.wall_s()
        stored = stored_value(value, principal.name, now_s, current)
        if len(msgspec.json.encode(stored)) > MAX_OBJECT_BYTES:
            raise RequestTooLarge(
                f"settings and history exceed {MAX_OBJECT_BYTES} bytes"
            )
        try:
            version = await self._platform.write(
                object_path(path), stored, expected_version
            )
        except ObjectConflict:
            current = await self.read(path)
            raise _conflict(path, value, expected_version, current, principal) from None
        logger.info(
            "settings: {} version {} written by {}", path, version, principal.name
        )
        return SettingsObject(path, version, value, principal.name, now_s)

    async def read(self, path: str) -> SettingsObject | None:
        """Return a subtree with its history, None if there is none.

        Raises
        ------
        PlatformUnavailable
            With the outcome *not run*, because a read changes nothing.
        """
        try:
            stored = await self._platform.read(object_path(path))
        except PlatformUnavailable as error:
            error.outcome = Outcome.NOT_RUN
            raise
        return settings_from_platform(stored) if stored is not None else None


def _conflict(
    path: str,
    value: Any,
    expected_version: int,
    current: SettingsObject | None,
    principal: Principal,
) -> CodedError:
    yours = SettingsAnswer(path, expected_version, principal.name, 0.0, redact(value))
    if current is None:
        reason = (
            f"{path} does not exist; your change is based on version {expected_version}"
        )
        return SettingsConflict(reason, None, None, yours)
    reason = (
        f"{path} is at version {current.version} by {current.author or 'unknown'}; "
        f"your change is based on version {expected_version}"
    )
    return SettingsConflict(reason, None, answer_from_object(current), yours)


def _check_operator_fields(
    path: str, current: SettingsObject | None, value: Any
) -> None:
    team = team_of_path(path)
    if current is None:
        raise Forbidden(f"only operators create a team such as {team!r}")
    before = parse_team(team, current.value)
    after = parse_team(team, value)
    for name in OPERATOR_FIELDS:
        changes = _changed_fields(before, after, name, path)
        if changes:
            raise Forbidden(f"only operators change {', '.join(changes)}")


def _changed_fields(
    before: TeamSettings, after: TeamSettings, name: str, path: str
) -> list[str]:
    changes = find_changes(
        msgspec.to_builtins(getattr(before, name)),
        msgspec.to_builtins(getattr(after, name)),
        f"{path}/{name}",
    )
    return [change.path for change in changes]
