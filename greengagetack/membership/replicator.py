"""greengagetack.membership.replicator: sends records to backups in order."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.membership.records import chunked
from greengagetack.membership.shard_messages import (
    CopyShard,
    EpochRecord,
    PutRecords,
    RecordsPut,
)
from greengagetack.membership.shards import Record
from greengagetack.membership.table import ShardPair
from greengagetack.membership.timings import CellTimings
from greengagetack.peers.node import PeerNode

__all__ = ["Replicator"]

MAX_BATCH_RECORDS = 256
MAX_BATCH_BYTES = 1024 * 1024
MAX_QUEUED_ITEMS = 16_384


@dataclass(frozen=True, slots=True)
class _Put:
    """A record to send; the result of `done` is whether the backup has it."""

    pair: ShardPair
    record: Record
    done: asyncio.Future[bool]


@dataclass(frozen=True, slots=True)
class _Copy:
    """A full copy of the records of a shard."""

    pair: ShardPair
    records: tuple[Record, ...]


class Replicator:
    """Sends records by a queue and a task per backup VM, which keeps their order.

    Parameters
    ----------
    peers : PeerNode
        Connections to the backups.
    timings : CellTimings
        Timeout of requests.
    on_copied, on_failed : callable
        Called with a pair once its backup has a full copy, or misses records.
    """

    def __init__(
        self,
        peers: PeerNode,
        timings: CellTimings,
        on_copied: Callable[[ShardPair], None],
        on_failed: Callable[[ShardPair], None],
    ) -> None:
        self._peers = peers
        self._timings = timings
        self._on_copied = on_copied
        self._on_failed = on_failed
        self._queues: dict[str, asyncio.Queue[_Put | _Copy]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def put(self, pair: ShardPair, record: Record) -> asyncio.Future[bool]:
        """Queue a record and return a future of whether the backup has it."""
        done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        if not self._enqueue(pair.backup_vm_id, _Put(pair, record, done)):
            done.set_result(False)
            self._on_failed(pair)
        return done

    def copy(self, pair: ShardPair, records: tuple[Record, ...]) -> None:
        """Queue a full copy after the records queued so far."""
        if not self._enqueue(pair.backup_vm_id, _Copy(pair, records)):
            self._on_failed(pair)

    def _enqueue(self, vm_id: str, item: _Put | _Copy) -> bool:
        queue = self._queues.get(vm_id)
        if queue is None:
            queue = asyncio.Queue(MAX_QUEUED_ITEMS)
            self._queues[vm_id] = queue
            self._tasks[vm_id] = asyncio.create_task(self._send_queued(vm_id, queue))
        if queue.full():
            return False
        queue.put_nowait(item)
        return True

    async def _send_queued(
        self, vm_id: str, queue: asyncio.Queue[_Put | _Copy]
    ) -> None:
        while True:
            item = await queue.get()
            batch: list[_Put] = []
            size_bytes = 0
            while isinstance(item, _Put):
                batch.append(item)
                size_bytes += len(item.record.value)
                full = len(batch) >= MAX_BATCH_RECORDS or size_bytes > MAX_BATCH_BYTES
                if full or queue.empty():
                    break
                item = queue.get_nowait()
            if batch:
                await self._send_batch(vm_id, batch)
            if isinstance(item, _Copy):
                await self._send_copy(vm_id, item)

    async def _send_batch(self, vm_id: str, batch: list[_Put]) -> None:
        body = PutRecords(
            self._peers.incarnation,
            tuple(EpochRecord(put.pair.epoch, put.record) for put in batch),
        )
        refused = {put.record.shard for put in batch}
        try:
            answer = await self._peers.request(
                vm_id, body, self._timings.request_timeout_s
            )
            if isinstance(answer, RecordsPut):
                refused = set(answer.refused_shards)
        except CodedError as error:
            logger.debug(
                "shards: could not send records to {}: {}", vm_id, error.reason
            )
        for put in batch:
            is_stored = put.record.shard not in refused
            if not is_stored:
                self._on_failed(put.pair)
            if not put.done.done():
                put.done.set_result(is_stored)

    async def _send_copy(self, vm_id: str, copy: _Copy) -> None:
        parts = list(chunked(copy.records))
        try:
            for index, part in enumerate(parts):
                body = CopyShard(
                    self._peers.incarnation,
                    copy.pair.shard,
                    copy.pair.epoch,
                    part,
                    first=index == 0,
                    last=index == len(parts) - 1,
                )
                await self._peers.request(vm_id, body, self._timings.request_timeout_s)
        except CodedError as error:
            logger.debug(
                "shards: could not send a full copy to {}: {}", vm_id, error.reason
            )
            self._on_failed(copy.pair)
            return
        self._on_copied(copy.pair)

    def close(self) -> None:
        """Stop sending; queued records are dropped."""
        for task in self._tasks.values():
            task.cancel()
