"""standins.objects: objects, write history and VM list of the platform stand-in."""

import asyncio
import time
from typing import Any

import msgspec

__all__ = ["VersionConflict", "ObjectTable", "StoredObject", "VmHistory", "WriteRecord"]


class StoredObject(msgspec.Struct, frozen=True):
    """An object as the API returns it."""

    path: str
    version: int
    change_id: str
    value: Any


class WriteRecord(msgspec.Struct, frozen=True):
    """A write that took effect; a deletion has no value."""

    revision: int
    path: str
    version: int
    change_id: str
    size_bytes: int
    at_s: float
    deleted: bool = False
    value: Any = None


class VersionConflict(Exception):
    """The object's version is not the one that the write expects."""

    def __init__(self, current: StoredObject | None) -> None:
        super().__init__("the object has a different version")
        self.current = current


class ObjectTable:
    """Objects with versions, a global revision and a record of each write."""

    def __init__(self) -> None:
        self.revision = 0
        self.writes: list[WriteRecord] = []
        self._objects: dict[str, StoredObject] = {}
        self._revisions: dict[str, int] = {}
        self._changed = asyncio.Event()

    def read(self, path: str) -> StoredObject | None:
        """Return an object, None if it does not exist."""
        return self._objects.get(path)

    def write(
        self, path: str, change_id: str, value: Any, expected_version: int
    ) -> StoredObject:
        """Write an object if it has the expected version; 0 requires that it is new.

        Raises
        ------
        VersionConflict
            If the object has a different version.
        """
        current = self._check_version(path, expected_version)
        version = 1 if current is None else current.version + 1
        written = StoredObject(path, version, change_id, value)
        self._objects[path] = written
        self._record(written, deleted=False)
        return written

    def delete(self, path: str, expected_version: int) -> None:
        """Delete an object if it has the expected version.

        Raises
        ------
        VersionConflict
            If the object has a different version.
        """
        current = self._check_version(path, expected_version)
        if current is None:
            return
        del self._objects[path]
        self._record(current, deleted=True)

    def changed_after(self, prefix: str, revision: int) -> list[StoredObject]:
        """Return objects under a prefix that were written after a revision."""
        found = []
        for path, stored in self._objects.items():
            if path.startswith(prefix) and self._revisions[path] > revision:
                found.append(stored)
        return found

    async def wait_for_change(
        self, prefix: str, revision: int, timeout_s: float
    ) -> list[StoredObject]:
        """Wait for objects written after a revision; empty if the timeout expires."""
        deadline_s = time.monotonic() + timeout_s
        while True:
            changed = self._changed
            found = self.changed_after(prefix, revision)
            left_s = deadline_s - time.monotonic()
            if found or left_s <= 0:
                return found
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _check_version(self, path: str, expected_version: int) -> StoredObject | None:
        current = self._objects.get(path)
        version = 0 if current is None else current.version
        if version != expected_version:
            raise VersionConflict(current)
        return current

    def _record(self, stored: StoredObject, *, deleted: bool) -> None:
        self.revision += 1
        self._revisions[stored.path] = self.revision
        self.writes.append(
            WriteRecord(
                self.revision,
                stored.path,
                stored.version,
                stored.change_id,
                len(msgspec.json.encode(stored.value)),
                time.time(),
                deleted,
                None if deleted else stored.value,
            )
        )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


class VmHistory:
    """A history of VM lists that is served with a delay.

    Parameters
    ----------
    lag_s : float
        Delay until a list becomes visible; the first one is visible at once.
    """

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self._lists: list[tuple[float, list[Any]]] = []

    def replace(self, vms: list[Any]) -> None:
        """Set the current list."""
        self._lists.append((time.monotonic(), vms))

    def visible_vms(self) -> list[Any]:
        """Return the list that callers see now."""
        if not self._lists:
            return []
        visible = self._lists[0][1]
        for set_at_s, vms in self._lists:
            if set_at_s <= time.monotonic() - self.lag_s:
                visible = vms
        return visible
