"""features.support.memory_objects: an in-memory object store."""

import asyncio
from typing import Any

from greengagetack.errors import PlatformUnavailable
from greengagetack.objects.base import ObjectConflict, PlatformObject, WatchAnswer

__all__ = ["MemoryObjects"]


class MemoryObjects:
    """Keeps objects in a dictionary, with one revision counter for all of them.

    `reads` lists the paths that were read. `refusals_left` is the number of next calls
    to refuse. With `is_silent_after_writes`, writes take effect without an answer.
    """

    value_limit_bytes = 1_000_000

    def __init__(self) -> None:
        self.objects: dict[str, PlatformObject] = {}
        self.reads: list[str] = []
        self.immutable_reads: list[str] = []
        self.lag = 0
        self.is_away = False
        self.is_silent_after_writes = False
        self.refusals_left = 0
        self.writes = 0
        self.watches = 0
        self._revision = 0
        self._removed: dict[str, int] = {}
        self._changed = asyncio.Event()

    def _check(self) -> None:
        if self.refusals_left:
            self.refusals_left -= 1
        elif not self.is_away:
            return
        raise PlatformUnavailable("the test made the store unavailable", 0.1)

    async def read(self, path: str) -> PlatformObject | None:
        """Return an object, None if it does not exist."""
        self._check()
        self.reads.append(path)
        return self.objects.get(path)

    async def read_immutable(self, path: str) -> PlatformObject | None:
        """Return an object that was written before the last `lag` writes."""
        self._check()
        self.immutable_reads.append(path)
        stored = self.objects.get(path)
        is_new = stored is not None and stored.version > self._revision - self.lag
        return None if is_new else stored

    async def write(
        self, path: str, value: Any, expected_version: int, limit_s: float = 2.0
    ) -> int:
        """Write if the version is `expected_version` (0 = must not exist)."""
        self._check()
        self.writes += 1
        known = self.objects.get(path)
        if (known.version if known else 0) != expected_version:
            raise ObjectConflict(f"{path} has another version")
        self._advance()
        self.objects[path] = PlatformObject(path, self._revision, "", value)
        self._removed.pop(path, None)
        if self.is_silent_after_writes:
            await asyncio.Event().wait()
        return self._revision

    def _advance(self) -> None:
        self._revision += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects under a prefix."""
        self._check()
        return self._changes_after(prefix, 0)

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes under a prefix after a revision."""
        self._check()
        self.watches += 1
        try:
            async with asyncio.timeout(timeout_s):
                while self._revision <= after:
                    await self._changed.wait()
        except TimeoutError:
            return WatchAnswer(after, ())
        return self._changes_after(prefix, after)

    def _changes_after(self, prefix: str, after: int) -> WatchAnswer:
        found = [
            stored
            for stored in self.objects.values()
            if stored.path.startswith(prefix) and stored.version > after
        ]
        removed = [
            path
            for path, revision in self._removed.items()
            if path.startswith(prefix) and revision > after
        ]
        return WatchAnswer(self._revision, tuple(found), tuple(removed))

    async def delete(self, path: str) -> None:
        """Remove an object."""
        self._check()
        if self.objects.pop(path, None) is not None:
            self._advance()
            self._removed[path] = self._revision
