"""greengagetack.objects.base: interface, types and errors of the object store."""

from dataclasses import dataclass
from typing import Any, Protocol

from greengagetack.errors import (
    CodedError,
    Outcome,
    PlatformUnavailable,
    register_error,
)
from greengagetack.world import VmState

__all__ = [
    "HistoryGone",
    "ListedVm",
    "ObjectConflict",
    "ObjectStore",
    "PlatformObject",
    "StoreRateLimited",
    "WatchAnswer",
    "WatchedStore",
    "WriteUnknown",
]


@register_error
class ObjectConflict(CodedError):
    """The version of the object differs from the one that the write expected."""

    code = "object_conflict"
    http_status = 409
    remedy = "Read the object again and apply the change to its new version."


@register_error
class WriteUnknown(CodedError):
    """The write may or may not have taken effect; reading back did not settle it."""

    code = "write_unknown"
    http_status = 503
    outcome = Outcome.UNKNOWN
    remedy = "Read the object once the platform answers again."


@register_error
class HistoryGone(CodedError):
    """The source of a watch no longer has the changes after the given revision."""

    code = "history_gone"
    http_status = 410
    remedy = "List the objects again and watch from the listing's revision."


class StoreRateLimited(PlatformUnavailable):
    """The store refused a call because too many are made; it serves others."""


@dataclass(frozen=True, slots=True)
class PlatformObject:
    """An object; `version` grows with each write, `change_id` names the last one."""

    path: str
    version: int
    change_id: str
    value: Any


@dataclass(frozen=True, slots=True)
class WatchAnswer:
    """Objects changed or removed after a revision, and the revision to watch from.

    `deleted` holds the paths of removed objects. `age_s` is the time since the store
    confirmed the copy from which a daemon answers; the store's own answers have none.
    `since_return_s` is the time since the end of the store's last outage, infinite if
    that daemon knows of none. `waited_s` is the time from the call to its answer,
    without the time that the answer was on its way; infinite if that is not known.
    """

    revision: int
    objects: tuple[PlatformObject, ...]
    deleted: tuple[str, ...] = ()
    age_s: float = 0.0
    since_return_s: float = float("inf")
    waited_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class ListedVm:
    """An entry of the platform's VM list, which lags behind the actual state."""

    vm_id: str
    availability_zone: str
    state: VmState


class WatchedStore(Protocol):
    """Conditional writes and watches of objects.

    Every method raises `PlatformUnavailable` during an outage or when the platform
    limits the rate of calls.
    """

    async def read(self, path: str) -> PlatformObject | None:
        """Return an object, None if it does not exist."""

    async def write(self, path: str, value: Any, expected_version: int) -> int:
        """Write if the version is `expected_version` (0 = must not exist).

        After a lost response, the object is read back and its change identifier is
        compared, so that the result is certain. Returns the new version. Raises
        `ObjectConflict` if another writer was first, `WriteUnknown` if the read-back
        failed as well.
        """

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects under a prefix with the current revision."""

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes under a prefix after a revision."""


class ObjectStore(WatchedStore, Protocol):
    """Client of the object API and the VM list."""

    async def vms(self) -> tuple[ListedVm, ...]:
        """Return the VM list."""
