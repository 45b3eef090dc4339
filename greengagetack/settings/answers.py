"""greengagetack.settings.answers: HTTP response bodies of the settings API."""

from dataclasses import dataclass
from typing import Any

from greengagetack.errors import Conflict, register_error
from greengagetack.settings.changes import Change, redact
from greengagetack.settings.messages import MemberVersions
from greengagetack.settings.objects import SettingsObject
from greengagetack.settings.view import SettingsVersion

__all__ = [
    "AppliedAnswer",
    "CheckAnswer",
    "HistoryAnswer",
    "SettingsAnswer",
    "SettingsConflict",
    "SettingsList",
    "WrittenAnswer",
    "answer_from_object",
]


@dataclass(frozen=True, slots=True)
class SettingsAnswer:
    """One version of a settings subtree, with token hashes shortened."""

    path: str
    version: int
    author: str
    changed_at_s: float
    value: Any


@dataclass(frozen=True, slots=True)
class SettingsList:
    """The subtrees that the requesting principal may read."""

    settings: tuple[SettingsVersion, ...]


@dataclass(frozen=True, slots=True)
class CheckAnswer:
    """Result of validating a document: `changes` lists what it would change."""

    path: str
    version: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class HistoryAnswer:
    """The current version and the earlier ones, newest first."""

    path: str
    versions: tuple[SettingsAnswer, ...]


@dataclass(frozen=True, slots=True)
class WrittenAnswer:
    """An accepted change and the members that have or have not applied it."""

    path: str
    version: int
    confirmed_vm_ids: tuple[str, ...]
    missing_vm_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AppliedAnswer:
    """The settings versions that each member has applied."""

    members: tuple[MemberVersions, ...]


@register_error
class SettingsConflict(Conflict):
    """The subtree changed since it was read; both versions are returned."""

    code = "settings_conflict"
    remedy = "Read the current version, apply your change to it and send it again."

    def __init__(
        self,
        reason: str,
        retry_after_s: float | None = None,
        current: SettingsAnswer | None = None,
        yours: SettingsAnswer | None = None,
    ) -> None:
        super().__init__(reason, retry_after_s)
        self.current = current
        self.yours = yours

    def details(self) -> Any:
        """Return the stored version and the one that the request contained."""
        return {"current": self.current, "yours": self.yours}


def answer_from_object(settings: SettingsObject) -> SettingsAnswer:
    """Return the response body for a subtree, with token hashes shortened."""
    return SettingsAnswer(
        settings.path,
        settings.version,
        settings.author,
        settings.changed_at_s,
        redact(settings.value),
    )
