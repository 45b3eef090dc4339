"""greengagetack.batches.checkpoint: stores the progress of long items."""

from collections.abc import Iterable
from typing import Any

import msgspec
from loguru import logger

from greengagetack.batches.ledger import LedgerStore
from greengagetack.batches.progress import ItemProgress, ProgressSnapshot
from greengagetack.errors import CodedError
from greengagetack.objects.base import ObjectConflict

__all__ = ["CHECKPOINT_PATH", "Checkpoints", "select_snapshots"]

CHECKPOINT_PATH = "job-progress/main"
# Regenerating fewer events than this costs less than writing them.
MIN_CHECKPOINT_EVENTS = 12
# Share of the store's size limit that the object may use.
MAX_SIZE_RATIO = 0.6
WRITE_TIMEOUT_S = 0.4


def select_snapshots(
    progresses: Iterable[ItemProgress], limit_bytes: int
) -> list[ProgressSnapshot]:
    """Return the progress to write within a size limit, longest items first.

    This covers the simultaneous loss of all daemons: the few items that run many times
    longer than the rest determine when a job completes, and would otherwise restart
    from the beginning. Outputs that wait for their score are complete already, and
    counts of failures limit how often an item may run.
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
    selected: list[ProgressSnapshot] = []
    size_bytes = 0
    for progress in worth_writing:
        size_bytes += sum(len(output) for output in progress.outputs)
        if size_bytes > limit_bytes:
            break
        selected.append(progress.snapshot())
    return selected


class Checkpoints:
    """Reads and writes the checkpoint; a lost or late write only repeats work."""

    def __init__(self, store: LedgerStore) -> None:
        self._store = store
        self._version = 0
        self._last_saved: list[tuple[str, int, int, int]] = []

    async def load(self) -> list[ProgressSnapshot]:
        """Return the last checkpoint, an empty list if it cannot be read."""
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
            logger.warning("checkpoint: not decoded: {}", error)
            return []

    async def save(self, progresses: Iterable[ItemProgress]) -> None:
        """Write the progress of long items if it changed since the last write."""
        limit_bytes = int(self._store.value_limit_bytes * MAX_SIZE_RATIO)
        snapshots = select_snapshots(progresses, limit_bytes)
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
                CHECKPOINT_PATH, value, self._version, WRITE_TIMEOUT_S
            )
            self._last_saved = state
        except ObjectConflict:
            # A late write by this daemon or another dispatcher; the reload updates the
            # expected version for the next write.
            await self.load()
        except CodedError as error:
            logger.debug("checkpoint: not written: {}", error.reason)
