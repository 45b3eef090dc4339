"""greengagetack.membership.shards: replicated records of the shards held here."""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

__all__ = ["Record", "ShardRole", "ShardStore"]


class ShardRole(enum.StrEnum):
    """What this VM is for a shard."""

    OWNER = "owner"
    BACKUP = "backup"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class Record:
    """One replicated record; `value` is msgpack of the part that wrote it.

    `kind` names the part (``job``, ``call``, ``budget``); `sequence` grows with
    each write in a shard; an empty `value` is a deletion.
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
        """Return what this VM is for the shard now."""

    def epoch(self, shard: int) -> int:
        """Return the newest known epoch of the shard."""

    def epoch_started_fresh(self, shard: int) -> bool:
        """Whether records of earlier epochs may have been lost."""

    def may_act(self, shard: int) -> bool:
        """Whether this VM surely is the only owner (class 3 duties)."""

    def acts_for_jobs(self, shard: int) -> bool:
        """Whether this VM runs the shard's jobs: its owner, or its backup alone.

        Two VMs may act for jobs at once; this is for class 1 duties only.
        """

    def get(self, shard: int, kind: str, key: str) -> bytes | None:
        """Return the value of a record, None without one."""

    def records(self, shard: int, kind: str) -> tuple[Record, ...]:
        """Return all records of a kind in a shard."""

    async def put(
        self, shard: int, kind: str, key: str, value: bytes, *, need_backup: bool
    ) -> None:
        """Write a record here and at the backup.

        With `need_backup` it returns only after the backup has it, and raises
        `OwnerUnavailable` where that cannot be; without, a lost backup is
        brought up to date later.
        """

    def subscribe(self, callback: Callable[[int, ShardRole], None]) -> None:
        """Call `callback` with a shard whose role changed here."""
