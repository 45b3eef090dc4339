"""greengagetack.membership.snapshot_manager: writes and restores snapshots."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from greengagetack.membership.shards import Record
from greengagetack.membership.snapshots import ShardSnapshot, Snapshot, SnapshotFolder
from greengagetack.membership.table import ShardPair
from greengagetack.settings.schema import DataFolderSettings
from greengagetack.timer import Subscription, Timer

__all__ = ["ALWAYS_RESTORED_KINDS", "SnapshotManager"]

ALWAYS_RESTORED_KINDS = frozenset({"job"})


class SnapshotManager:
    """Writes snapshots of this VM's shards if the settings name a data folder.

    Parameters
    ----------
    settings : DataFolderSettings or None
        Folder and interval; None disables snapshots.
    vm_id, incarnation : str
        This process.
    collect : callable
        Returns the shards in their present state.
    timer : Timer
        Wake-ups.
    """

    def __init__(
        self,
        settings: DataFolderSettings | None,
        vm_id: str,
        incarnation: str,
        collect: Callable[[], tuple[ShardSnapshot, ...]],
        timer: Timer,
    ) -> None:
        self._settings = settings
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._collect = collect
        self._timer = timer
        self._loaded: dict[int, ShardSnapshot] = {}
        self._subscription: Subscription | None = None

    async def start(self) -> None:
        """Read the newest valid snapshot and start to write new ones."""
        if self._settings is None:
            return
        folder = self._folder(self._settings)
        snapshot = await asyncio.to_thread(folder.read_newest, self._vm_id)
        if snapshot is not None:
            self._loaded = {item.pair.shard: item for item in snapshot.shards}
            logger.info("snapshots: read {} shards", len(self._loaded))
        self._subscription = self._timer.subscribe(
            self._settings.interval_s, self.write, "snapshots"
        )

    def _folder(self, settings: DataFolderSettings) -> SnapshotFolder:
        return SnapshotFolder(Path(settings.path) / "shards" / self._vm_id)

    async def write(self) -> None:
        """Write a snapshot now; disk errors are only logged."""
        if self._settings is None:
            return
        snapshot = Snapshot(self._vm_id, self._incarnation, self._collect())
        if not snapshot.shards:
            return
        try:
            await asyncio.to_thread(self._folder(self._settings).write, snapshot)
        except OSError as error:
            logger.error("snapshots: could not write a snapshot: {}", error)

    def has_all_records(self, pair: ShardPair) -> bool:
        """Whether the snapshot certainly has all records of earlier epochs."""
        item = self._loaded.get(pair.shard)
        return item is not None and item.final and item.pair.epoch + 1 == pair.epoch

    def take_records(self, pair: ShardPair) -> tuple[Record, ...]:
        """Return and drop the records usable in an epoch begun without all records."""
        all_records = self.has_all_records(pair)
        item = self._loaded.pop(pair.shard, None)
        if item is None:
            return ()
        if all_records:
            return item.records
        return tuple(
            record for record in item.records if record.kind in ALWAYS_RESTORED_KINDS
        )

    def disable(self) -> None:
        """Stop writing snapshots."""
        self._settings = None

    async def close(self) -> None:
        """Write a last snapshot and stop."""
        if self._subscription is not None:
            self._subscription.cancel()
        await self.write()
