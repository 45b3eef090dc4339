"""greengagetack.membership.shards: the interface to replicated shard records."""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

__all__ = ["Record", "ShardRole", "ShardStore"]


class ShardRole(enum.StrEnum):
    """Role of this VM for a shard."""

    OWNER = "owner"
    BACKUP = "backup"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class Record:
    """A replicated record; `value` is msgpack, encoded by the module that wrote it.

    `kind` names that module's type of record (``job``, ``call``, ``budget``);
    `sequence` grows with each write in a shard; an empty `value` is a tombstone.
    """

    shard: int
    kind: str
    key: str
    value: bytes
    sequence: int = 0


class ShardStore(Protocol):
    """Records of the shards that this VM owns or backs up."""

    def shard_of(self, key: str) -> int:
        """Return the shard of a key."""

    def role(self, shard: int) -> ShardRole:
        """Return this VM's present role for the shard."""

    def epoch(self, shard: int) -> int:
        """Return the newest known epoch of the shard."""

    def may_lack_records(self, shard: int) -> bool:
        """Whether records of earlier epochs may have been lost."""

    def may_act(self, shard: int) -> bool:
        """Whether this VM is certainly the only owner (class 3 duties)."""

    def runs_jobs(self, shard: int) -> bool:
        """Whether this VM runs the shard's jobs, as owner or for a silent owner.

        Two VMs may run the jobs at once, so this is for class 1 duties only.
        """

    def get(self, shard: int, kind: str, key: str) -> bytes | None:
        """Return the value of a record, None if there is none."""

    def records(self, shard: int, kind: str) -> tuple[Record, ...]:
        """Return all records of a kind in a shard."""

    async def put(
        self, shard: int, kind: str, key: str, value: bytes, *, need_backup: bool
    ) -> None:
        """Write a record here and at the backup.

        With `need_backup` the call returns only after the backup has the record,
        and raises `OwnerUnavailable` if the backup can't confirm it. Without, a
        backup that misses the record gets it later by a full copy.
        """

    def subscribe(self, callback: Callable[[int, ShardRole], None]) -> None:
        """Call `callback` with each shard whose role changes on this VM."""
