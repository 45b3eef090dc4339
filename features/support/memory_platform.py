"""features.support.memory_platform: an in-memory object store with faults."""

import asyncio
from typing import Any

from greengagetack.errors import PlatformUnavailable
from greengagetack.objects.base import (
    ListedVm,
    ObjectConflict,
    PlatformObject,
    WatchAnswer,
)

__all__ = ["MemoryPlatform"]


class MemoryPlatform:
    """Stores objects for all members of one process; `down` makes all calls fail."""

    def __init__(self) -> None:
        self.down = False
        self.call_count = 0
        self._revision = 0
        self._objects: dict[str, PlatformObject] = {}
        self._revisions: dict[str, int] = {}
        self._changed = asyncio.Event()

    def _count_call(self) -> None:
        self.call_count += 1
        if self.down:
            raise PlatformUnavailable("the platform is down", 0.2)

    async def read(self, path: str) -> PlatformObject | None:
        """Return an object, None if it does not exist."""
        self._count_call()
        return self._objects.get(path)

    async def write(self, path: str, value: Any, expected_version: int) -> int:
        """Write an object if its version is the expected one."""
        self._count_call()
        known = self._objects.get(path)
        version = known.version if known else 0
        if version != expected_version:
            raise ObjectConflict(f"{path} is at version {version}")
        self._revision += 1
        change_id = f"change-{self._revision}"
        self._objects[path] = PlatformObject(path, version + 1, change_id, value)
        self._revisions[path] = self._revision
        self._changed.set()
        self._changed = asyncio.Event()
        return version + 1

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects under a prefix."""
        self._count_call()
        return self._after(prefix, 0)

    def _after(self, prefix: str, revision: int) -> WatchAnswer:
        found = [
            stored
            for path, stored in self._objects.items()
            if path.startswith(prefix) and self._revisions[path] > revision
        ]
        return WatchAnswer(self._revision, tuple(found))

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes under a prefix."""
        self._count_call()
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while True:
            answer = self._after(prefix, after)
            left_s = deadline_s - asyncio.get_running_loop().time()
            if answer.objects or left_s <= 0:
                return answer
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), min(left_s, 0.1))
            except TimeoutError:
                self._count_call()

    async def vms(self) -> tuple[ListedVm, ...]:
        """Return an empty list."""
        self._count_call()
        return ()
