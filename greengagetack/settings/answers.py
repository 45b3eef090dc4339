"""greengagetack.settings.answers: what the settings calls answer over HTTP."""

from dataclasses import dataclass
from typing import Any

from greengagetack.errors import Conflict, register_error
from greengagetack.settings.changes import Change, redacted
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
    """A version of a subtree with its secrets shortened."""

    path: str
    version: int
    author: str
    changed_at_s: float
    value: Any


@dataclass(frozen=True, slots=True)
class SettingsList:
    """The subtrees that the sender may read."""

    settings: tuple[SettingsVersion, ...]


@dataclass(frozen=True, slots=True)
class CheckAnswer:
    """The document is valid; `changes` is what it would change."""

    path: str
    version: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class HistoryAnswer:
    """The present version and former ones, newest first."""

    path: str
    versions: tuple[SettingsAnswer, ...]


@dataclass(frozen=True, slots=True)
class WrittenAnswer:
    """An accepted change, and which members have it in force."""

    path: str
    version: int
    confirmed_vm_ids: tuple[str, ...]
    missing_vm_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AppliedAnswer:
    """What each member has in force."""

    members: tuple[MemberVersions, ...]


@register_error
class SettingsConflict(Conflict):
    """Another operator changed the subtree first; both versions are shown."""

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
        """Return both versions."""
        return {"current": self.current, "yours": self.yours}


def answer_from_object(shown: SettingsObject) -> SettingsAnswer:
    """Return a subtree as it is shown, without its secrets."""
    return SettingsAnswer(
        shown.path,
        shown.version,
        shown.author,
        shown.changed_at_s,
        redacted(shown.value),
    )
