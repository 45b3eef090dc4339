"""greengagetack.batches.checkpoint: stores the progress of long items."""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
from loguru import logger

from greengagetack.batches.ledger import LedgerStore
from greengagetack.batches.progress import ItemProgress, ProgressSnapshot
from greengagetack.errors import CodedError
from greengagetack.objects.base import ObjectConflict

__all__ = ["CHECKPOINT_PATHS", "Checkpoints", "select_parts", "select_snapshots"]

# A further object is used once the ones before it are full.
CHECKPOINT_PATHS = (
    "job-progress/main",
    "job-progress/part-2",
    "job-progress/part-3",
    "job-progress/part-4",
)
# Regenerating fewer events than this costs less than writing them.
MIN_CHECKPOINT_EVENTS = 12
# Share of the store's size limit that an object may use.
MAX_SIZE_RATIO = 0.6
WRITE_TIMEOUT_S = 0.4


def select_parts(
    progresses: Iterable[ItemProgress],
    limit_bytes: int,
    part_count: int,
    former: Mapping[str, int],
) -> list[list[ProgressSnapshot]]:
    """Return the progress to write in each part within a size limit.

    This covers the simultaneous loss of all daemons: the few items that run many times
    longer than the rest determine when a job completes, and would otherwise restart
    from the beginning. Outputs that wait for their score are complete already, and
    counts of failures limit how often an item may run. The longest items come first.

    Parameters
    ----------
    limit_bytes : int
        Size limit of each part.
    former : mapping of str to int
        Part that each item was written to; it stays there while it fits.
    """
    worth_writing = [
        progress
        for progress in progresses
        if len(progress.outputs) >= MIN_CHECKPOINT_EVENTS
        or progress.awaits_score
        or progress.server_failures
        or progress.reward_failures
    ]
    worth_writing.sort(key=lambda progress: -len(progress.outputs))
    selected: list[list[ProgressSnapshot]] = [[] for _ in range(part_count)]
    free_bytes = [limit_bytes] * part_count
    for progress in worth_writing:
        size_bytes = sum(len(output) for output in progress.outputs)
        first = former.get(progress.item.item_id, 0)
        for part in (first, *range(part_count)):
            if size_bytes <= free_bytes[part]:
                free_bytes[part] -= size_bytes
                selected[part].append(progress.snapshot())
                break
    return selected


def select_snapshots(
    progresses: Iterable[ItemProgress], limit_bytes: int
) -> list[ProgressSnapshot]:
    """Return the progress to write if there is one part."""
    return select_parts(progresses, limit_bytes, 1, {})[0]


class _Part:
    """One object of the checkpoint."""

    def __init__(self, store: LedgerStore, path: str) -> None:
        self._store = store
        self._path = path
        self._version = 0
        self._last_saved: list[tuple[str, int, int, int]] = []

    async def load(self) -> list[ProgressSnapshot]:
        """Return what was last written, an empty list if it cannot be read."""
        try:
            stored = await self._store.read(self._path)
        except CodedError as error:
            logger.warning("checkpoint: not read: {}", error.reason)
            return []
        if stored is None:
            return []
        self._version = stored.version
        try:
            return msgspec.convert(stored.value, list[ProgressSnapshot])
        except msgspec.ValidationError as error:
            logger.warning("checkpoint: not decoded: {}", error)
            return []

    async def save(self, snapshots: list[ProgressSnapshot]) -> None:
        """Write the snapshots if they differ from those of the last write."""
        state = [
            (
                snapshot.item_id,
                len(snapshot.outputs),
                snapshot.server_failures,
                snapshot.reward_failures,
            )
            for snapshot in snapshots
        ]
        if state == self._last_saved:
            return
        value: Any = msgspec.to_builtins(snapshots)
        try:
            self._version = await self._store.write(
                self._path, value, self._version, WRITE_TIMEOUT_S
            )
            self._last_saved = state
        except ObjectConflict:
            # A late write by this daemon or another dispatcher; the reload updates the
            # expected version for the next write.
            await self.load()
        except CodedError as error:
            logger.debug("checkpoint: not written: {}", error.reason)


class Checkpoints:
    """Reads and writes the checkpoint; a lost or late write only repeats work."""

    def __init__(self, store: LedgerStore) -> None:
        self._limit_bytes = int(store.value_limit_bytes * MAX_SIZE_RATIO)
        self._parts = [_Part(store, path) for path in CHECKPOINT_PATHS]
        self._part_of: dict[str, int] = {}

    async def load(self) -> list[ProgressSnapshot]:
        """Return the last checkpoint, without the parts that cannot be read."""
        loaded = await asyncio.gather(*(part.load() for part in self._parts))
        return [snapshot for snapshots in loaded for snapshot in snapshots]

    async def save(self, progresses: Iterable[ItemProgress]) -> None:
        """Write the progress of long items if it changed since the last write."""
        selected = select_parts(
            progresses, self._limit_bytes, len(self._parts), self._part_of
        )
        self._part_of = {
            snapshot.item_id: number
            for number, snapshots in enumerate(selected)
            for snapshot in snapshots
        }
        await asyncio.gather(
            *(
                part.save(snapshots)
                for part, snapshots in zip(self._parts, selected, strict=True)
            )
        )
