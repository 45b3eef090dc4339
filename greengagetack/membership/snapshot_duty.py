"""greengagetack.membership.snapshot_duty: writes snapshots and gives them back."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from greengagetack.membership.shards import Record
from greengagetack.membership.snapshots import ShardSnapshot, Snapshot, SnapshotFolder
from greengagetack.membership.table import ShardPair
from greengagetack.settings.schema import DataFolderSettings
from greengagetack.timer import Subscription, Timer

__all__ = ["BASE_KINDS", "SnapshotDuty"]

BASE_KINDS = frozenset({"job"})


class SnapshotDuty:
    """Keeps snapshots of this VM's shards if its settings name a data folder.

    Parameters
    ----------
    settings : DataFolderSettings or None
        Folder and interval; nothing is done without them.
    vm_id, incarnation : str
        This process.
    collect : callable
        Returns the shards as they are now.
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
        """Read the newest whole snapshot and start to write new ones."""
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
        """Write a snapshot now; a disk that refuses is only logged."""
        if self._settings is None:
            return
        snapshot = Snapshot(self._vm_id, self._incarnation, self._collect())
        if not snapshot.shards:
            return
        try:
            await asyncio.to_thread(self._folder(self._settings).write, snapshot)
        except OSError as error:
            logger.error("snapshots: could not write: {}", error)

    def nothing_newer(self, pair: ShardPair) -> bool:
        """Whether the snapshot surely has all records from before this epoch."""
        item = self._loaded.get(pair.shard)
        return item is not None and item.final and item.pair.epoch + 1 == pair.epoch

    def take(self, pair: ShardPair) -> tuple[Record, ...]:
        """Return what may serve in an epoch that began without all records."""
        whole = self.nothing_newer(pair)
        item = self._loaded.pop(pair.shard, None)
        if item is None:
            return ()
        if whole:
            return item.records
        return tuple(record for record in item.records if record.kind in BASE_KINDS)

    def disable(self) -> None:
        """Write no snapshots any more."""
        self._settings = None

    async def close(self) -> None:
        """Write a last snapshot and stop."""
        if self._subscription is not None:
            self._subscription.cancel()
        await self.write()
