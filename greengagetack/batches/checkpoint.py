"""greengagetack.batches.checkpoint: progress of long items, kept in the store."""

from collections.abc import Iterable
from typing import Any

import msgspec
from loguru import logger

from greengagetack.batches.ledger import LedgerStore
from greengagetack.batches.progress import ItemProgress, ProgressSnapshot
from greengagetack.errors import CodedError
from greengagetack.objects.base import ObjectConflict

__all__ = ["CHECKPOINT_PATH", "Checkpoints", "worth_keeping"]

CHECKPOINT_PATH = "job-progress/main"
# Fewer events than this are made again sooner than they are worth writing.
FEWEST_EVENTS = 12
# The object stays below the size that the store takes.
SIZE_RATIO = 0.6
WRITE_LIMIT_S = 0.4


def worth_keeping(
    progresses: Iterable[ItemProgress], limit_bytes: int
) -> list[ProgressSnapshot]:
    """Return the progress to write, the longest items first, within a size.

    Answers the loss of all daemons at once: the few items that run many times longer
    than the rest decide when a job is whole, and would begin again.
    """
    long_ones = [p for p in progresses if len(p.outputs) >= FEWEST_EVENTS]
    long_ones.sort(key=lambda progress: -len(progress.outputs))
    kept: list[ProgressSnapshot] = []
    size_bytes = 0
    for progress in long_ones:
        size_bytes += sum(len(output) for output in progress.outputs)
        if size_bytes > limit_bytes:
            break
        kept.append(progress.snapshot())
    return kept


class Checkpoints:
    """Writes and reads the object; a lost or late write only costs work."""

    def __init__(self, store: LedgerStore) -> None:
        self._store = store
        self._version = 0
        self._last: list[tuple[str, int]] = []

    async def load(self) -> list[ProgressSnapshot]:
        """Return what was written last, nothing if it cannot be read."""
        try:
            stored = await self._store.read(CHECKPOINT_PATH)
        except CodedError as error:
            logger.warning("checkpoint: not read: {}", error.reason)
            return []
        if stored is None:
            return []
        self._version = stored.version
        try:
            return msgspec.convert(stored.value, list[ProgressSnapshot])
        except msgspec.ValidationError as error:
            logger.warning("checkpoint: cannot be read: {}", error)
            return []

    async def save(self, progresses: Iterable[ItemProgress]) -> None:
        """Write the progress of long items if it has changed."""
        limit_bytes = int(self._store.value_limit_bytes * SIZE_RATIO)
        snapshots = worth_keeping(progresses, limit_bytes)
        state = [(snapshot.item_id, len(snapshot.outputs)) for snapshot in snapshots]
        if state == self._last:
            return
        value: Any = msgspec.to_builtins(snapshots)
        try:
            self._version = await self._store.write(
                CHECKPOINT_PATH, value, self._version, WRITE_LIMIT_S
            )
            self._last = state
        except ObjectConflict:
            # A late write of ours, or another dispatcher's; the next one will fit.
            await self.load()
        except CodedError as error:
            logger.debug("checkpoint: not written: {}", error.reason)
