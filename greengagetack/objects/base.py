"""greengagetack.objects.base: the object API as other parts see it."""

from dataclasses import dataclass
from typing import Any, Protocol

from greengagetack.errors import CodedError, Outcome, register_error
from greengagetack.world import VmState

__all__ = [
    "HistoryGone",
    "ListedVm",
    "ObjectConflict",
    "ObjectStore",
    "PlatformObject",
    "WatchAnswer",
    "WatchedStore",
    "WriteUnknown",
]


@register_error
class ObjectConflict(CodedError):
    """The object's version differs from the one that the write named."""

    code = "object_conflict"
    http_status = 409
    remedy = "Read the object again and apply the change to its new version."


@register_error
class WriteUnknown(CodedError):
    """The write may or may not have taken effect; even read-back failed."""

    code = "write_unknown"
    http_status = 503
    outcome = Outcome.UNKNOWN
    remedy = "Read the object once the platform answers again."


@register_error
class HistoryGone(CodedError):
    """The platform no longer has the changes after the named revision."""

    code = "history_gone"
    http_status = 410
    remedy = "List the objects again and watch from the listing's revision."


@dataclass(frozen=True, slots=True)
class PlatformObject:
    """An object; `version` grows with each write, `change_id` names the writer's."""

    path: str
    version: int
    change_id: str
    value: Any


@dataclass(frozen=True, slots=True)
class WatchAnswer:
    """Objects changed or removed after a revision, and the next revision to watch.

    `deleted` holds the paths of removed objects.
    """

    revision: int
    objects: tuple[PlatformObject, ...]
    deleted: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM as the platform's lagging list shows it."""

    vm_id: str
    availability_zone: str
    state: VmState


class WatchedStore(Protocol):
    """Conditional writes and watches of objects.

    Every method raises `PlatformUnavailable` in an outage or when the platform
    refuses by rate.
    """

    async def read(self, path: str) -> PlatformObject | None:
        """Return an object, None if it does not exist."""

    async def write(self, path: str, value: Any, expected_version: int) -> int:
        """Write if the version is `expected_version` (0 = must not exist).

        After a lost answer it reads back and compares the change identifier,
        so that the answer is sure. Returns the new version. Raises
        `ObjectConflict` if another writer was first, `WriteUnknown` if even
        the read-back failed.
        """

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects under a prefix with the current revision."""

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes under a prefix after a revision."""


class ObjectStore(WatchedStore, Protocol):
    """Client of the object API, VM list and weight store's catalogue."""

    async def vms(self) -> tuple[ListedVm, ...]:
        """Return the VM list."""
