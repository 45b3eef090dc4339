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
    "SettingsSpread",
    "SettingsVersions",
    "SpreadSettings",
]


@message("settings_push")
@dataclass(frozen=True, slots=True)
class PushSettings:
    """A version of a subtree; answered by `SettingsConfirmed`."""

    path: str
    version: int
    value: Any
    author: str = ""
    changed_at_s: float = 0.0
    change_id: str = ""

    @classmethod
    def from_object(cls, pushed: SettingsObject) -> "PushSettings":
        """Return the message that carries a subtree, without its history."""
        return cls(
            pushed.path,
            pushed.version,
            pushed.value,
            pushed.author,
            pushed.changed_at_s,
            pushed.change_id,
        )

    def to_object(self) -> SettingsObject:
        """Return the subtree that this message carries."""
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
    """The version of a subtree that the receiver has in force, 0 for none."""

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
    """The versions that a daemon has in force."""

    loaded: bool
    versions: tuple[SettingsVersion, ...]


@message("settings_fetch")
@dataclass(frozen=True, slots=True)
class FetchSettings:
    """Ask for subtrees, all of them without paths; answered by `PushSettings`."""

    paths: tuple[str, ...] = ()


@message("settings_spread")
@dataclass(frozen=True, slots=True)
class SpreadSettings:
    """Put an accepted change in force here and at all members.

    Answered by `SettingsSpread` once all have confirmed, or after `wait_s`.
    """

    pushed: PushSettings
    wait_s: float


@message("settings_spread_result")
@dataclass(frozen=True, slots=True)
class SettingsSpread:
    """Which members have a change in force and which have not said so."""

    confirmed_vm_ids: tuple[str, ...]
    missing_vm_ids: tuple[str, ...]


@message("settings_ask_applied")
@dataclass(frozen=True, slots=True)
class AskApplied:
    """Ask this daemon what each member has in force; answers `MemberVersions`."""


@message("settings_member_versions")
@dataclass(frozen=True, slots=True)
class MemberVersions:
    """What one member has in force; `reason` says why it is not known."""

    vm_id: str
    versions: tuple[SettingsVersion, ...] = ()
    reason: str = ""
