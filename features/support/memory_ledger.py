"""features.support.memory_ledger: the ledger's store in memory, with outages."""

from typing import Any

from greengagetack.errors import PlatformUnavailable
from greengagetack.objects.base import ObjectConflict, PlatformObject

__all__ = ["MemoryLedgerStore"]


class MemoryLedgerStore:
    """Keeps objects in a dictionary; `reads` lists the paths that were read.

    `refusals_left` counts the next calls that it refuses.
    """

    value_limit_bytes = 1_000_000

    def __init__(self) -> None:
        self.objects: dict[str, PlatformObject] = {}
        self.reads: list[str] = []
        self.is_away = False
        self.refusals_left = 0
        self._revision = 0

    def _check(self) -> None:
        if self.refusals_left:
            self.refusals_left -= 1
        elif not self.is_away:
            return
        raise PlatformUnavailable("the store is away as asked", 0.1)

    async def read(self, path: str) -> PlatformObject | None:
        """Return an object, None if there is none."""
        self._check()
        self.reads.append(path)
        return self.objects.get(path)

    async def write(
        self, path: str, value: Any, expected_version: int, limit_s: float = 2.0
    ) -> int:
        """Write under a condition."""
        self._check()
        known = self.objects.get(path)
        if (known.version if known else 0) != expected_version:
            raise ObjectConflict(f"{path} has another version")
        self._revision += 1
        self.objects[path] = PlatformObject(path, self._revision, "", value)
        return self._revision

    async def delete(self, path: str) -> None:
        """Remove an object."""
        self._check()
        self.objects.pop(path, None)
