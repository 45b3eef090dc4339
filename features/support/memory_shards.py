"""features.support.memory_shards: in-memory shard store with switchable faults."""

from collections.abc import Callable

from greengagetack.errors import OwnerUnavailable
from greengagetack.membership.shards import Record, ShardRole
from greengagetack.membership.table import shard_of_key

__all__ = ["MemoryShards"]

SHARD_COUNT = 4


class MemoryShards:
    """Stores records in memory; `backup` has the records of the backup VM."""

    def __init__(self) -> None:
        self.own: dict[tuple[str, str], bytes] = {}
        self.backup: dict[tuple[str, str], bytes] = {}
        self.backup_reachable = True
        self.acting = True
        self.started_fresh = False

    def fail_over(self) -> "MemoryShards":
        """Return the store after a takeover by the backup."""
        successor = MemoryShards()
        successor.own = dict(self.backup)
        successor.backup = dict(self.backup)
        return successor

    def shard_of(self, key: str) -> int:
        """Return the shard of a key."""
        return shard_of_key(key, SHARD_COUNT)

    def role(self, shard: int) -> ShardRole:
        """Return `OWNER` while `acting` is set."""
        return ShardRole.OWNER if self.acting else ShardRole.NONE

    def epoch(self, shard: int) -> int:
        """Return a constant epoch."""
        return 1

    def may_lack_records(self, shard: int) -> bool:
        """Return `started_fresh`."""
        return self.started_fresh

    def may_act(self, shard: int) -> bool:
        """Return `acting`."""
        return self.acting

    def runs_jobs(self, shard: int) -> bool:
        """Return `acting`."""
        return self.acting

    def get(self, shard: int, kind: str, key: str) -> bytes | None:
        """Return a record's value."""
        return self.own.get((kind, key)) or None

    def records(self, shard: int, kind: str) -> tuple[Record, ...]:
        """Return all records of a kind in the shard."""
        return tuple(
            Record(shard, kind, key, value)
            for (found_kind, key), value in self.own.items()
            if found_kind == kind and value and self.shard_of_record(key) == shard
        )

    def shard_of_record(self, key: str) -> int:
        """Return the shard of a record's key."""
        return self.shard_of(key)

    async def put(
        self, shard: int, kind: str, key: str, value: bytes, *, need_backup: bool
    ) -> None:
        """Write locally and, if reachable, at the backup."""
        self.own[(kind, key)] = value
        if self.backup_reachable:
            self.backup[(kind, key)] = value
        elif need_backup:
            raise OwnerUnavailable("the backup does not answer", 1.0)

    def subscribe(self, callback: Callable[[int, ShardRole], None]) -> None:
        """Do nothing: roles never change here."""
