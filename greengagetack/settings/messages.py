"""greengagetack.settings.messages: messages that carry settings between daemons."""

from dataclasses import dataclass
from typing import Any

from greengagetack.peers.codec import message
from greengagetack.settings.objects import SettingsObject
from greengagetack.settings.view import SettingsVersion

__all__ = [
    "AskApplied",
    "CompareSettings",
    "FetchSettings",
    "MemberVersions",
    "PushSettings",
    "SettingsConfirmed",
    "SpreadResult",
    "SettingsVersions",
    "SpreadSettings",
]


@message("settings_push")
@dataclass(frozen=True, slots=True)
class PushSettings:
    """Carries one version of a subtree; answered by `SettingsConfirmed`."""

    path: str
    version: int
    value: Any
    author: str = ""
    changed_at_s: float = 0.0
    change_id: str = ""

    @classmethod
    def from_object(cls, settings: SettingsObject) -> "PushSettings":
        """Return the message for a subtree, without its history."""
        return cls(
            settings.path,
            settings.version,
            settings.value,
            settings.author,
            settings.changed_at_s,
            settings.change_id,
        )

    def to_object(self) -> SettingsObject:
        """Return the subtree in this message."""
        return SettingsObject(
            self.path,
            self.version,
            self.value,
            self.author,
            self.changed_at_s,
            self.change_id,
        )


@message("settings_confirmed")
@dataclass(frozen=True, slots=True)
class SettingsConfirmed:
    """The version of a subtree that the receiver has applied, 0 for none."""

    path: str
    version: int


@message("settings_compare")
@dataclass(frozen=True, slots=True)
class CompareSettings:
    """Digest of the sender's versions; answered by `Done` or `SettingsVersions`."""

    digest: int


@message("settings_versions")
@dataclass(frozen=True, slots=True)
class SettingsVersions:
    """The versions that a daemon has applied, and whether it has loaded all."""

    loaded: bool
    versions: tuple[SettingsVersion, ...]


@message("settings_fetch")
@dataclass(frozen=True, slots=True)
class FetchSettings:
    """Request subtrees, all if `paths` is empty; answered by `PushSettings`."""

    paths: tuple[str, ...] = ()


@message("settings_spread")
@dataclass(frozen=True, slots=True)
class SpreadSettings:
    """Apply an accepted change on the receiver and push it to all members.

    Answered by `SpreadResult` once all members have confirmed, or after
    `wait_s` seconds.
    """

    pushed: PushSettings
    wait_s: float


@message("settings_spread_result")
@dataclass(frozen=True, slots=True)
class SpreadResult:
    """The members that have confirmed a change and those that have not."""

    confirmed_vm_ids: tuple[str, ...]
    missing_vm_ids: tuple[str, ...]


@message("settings_ask_applied")
@dataclass(frozen=True, slots=True)
class AskApplied:
    """Request the versions of all members; answered by `MemberVersions`."""


@message("settings_member_versions")
@dataclass(frozen=True, slots=True)
class MemberVersions:
    """Versions that one member has applied; `reason` says why they are unknown."""

    vm_id: str
    versions: tuple[SettingsVersion, ...] = ()
    reason: str = ""
