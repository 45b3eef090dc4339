"""features.support.platform_fake: an in-memory platform with fault injection."""

import asyncio
import itertools
import json
from dataclasses import dataclass, field
from typing import Any

from greengagetack.errors import PlatformUnavailable
from greengagetack.objects.base import (
    ListedVm,
    ObjectConflict,
    PlatformObject,
    WatchAnswer,
    WriteUnknown,
)

__all__ = ["MemoryPlatform", "PlatformPort"]


@dataclass
class MemoryPlatform:
    """Objects and VM list shared by the ports of all VMs in a test."""

    objects: dict[str, PlatformObject] = field(default_factory=dict)
    listed_vms: tuple[ListedVm, ...] = ()
    down: bool = False
    delay_s: float = 0.0
    reads: int = 0
    writes: int = 0
    history: list[PlatformObject] = field(default_factory=list)
    changes: itertools.count = field(default_factory=lambda: itertools.count(1))

    def port(self) -> "PlatformPort":
        """Return a VM's port to this platform."""
        return PlatformPort(self)


class PlatformPort:
    """A VM's `ObjectStore` with its own injected faults.

    `unknown_writes` is the number of next writes that take effect but raise
    `WriteUnknown`, as if their answer and the read-back were lost. All calls wait
    while `awake` is not set.
    """

    def __init__(self, platform: MemoryPlatform) -> None:
        self.platform = platform
        self.down = False
        self.unknown_writes = 0
        self.awake = asyncio.Event()
        self.awake.set()

    async def _reach(self) -> None:
        await self.awake.wait()
        if self.platform.delay_s:
            await asyncio.sleep(self.platform.delay_s)
        if self.down or self.platform.down:
            raise PlatformUnavailable("the platform is down", 1.0)

    async def read(self, path: str) -> PlatformObject | None:
        """Return an object, None if it does not exist."""
        await self._reach()
        self.platform.reads += 1
        return self.platform.objects.get(path)

    async def write(self, path: str, value: Any, expected_version: int) -> int:
        """Write if the present version is the expected one."""
        await self._reach()
        self.platform.writes += 1
        current = self.platform.objects.get(path)
        version = current.version if current else 0
        if version != expected_version:
            raise ObjectConflict(f"{path} is at {version}, not {expected_version}")
        change_id = f"change-{next(self.platform.changes)}"
        stored = PlatformObject(
            path, version + 1, change_id, json.loads(json.dumps(value))
        )
        self.platform.objects[path] = stored
        self.platform.history.append(stored)
        await self.awake.wait()
        if self.unknown_writes:
            self.unknown_writes -= 1
            raise WriteUnknown(f"writing {path} got no answer", 1.0)
        return version + 1

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects under a prefix."""
        await self._reach()
        found = [o for p, o in self.platform.objects.items() if p.startswith(prefix)]
        return WatchAnswer(len(self.platform.history), tuple(found))

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Return objects changed after a revision, without waiting."""
        await self._reach()
        newer = self.platform.history[after:]
        found = tuple(o for o in newer if o.path.startswith(prefix))
        return WatchAnswer(len(self.platform.history), found)

    async def vms(self) -> tuple[ListedVm, ...]:
        """Return the VM list."""
        await self._reach()
        self.platform.reads += 1
        return self.platform.listed_vms
