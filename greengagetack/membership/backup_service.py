"""greengagetack.membership.backup_service: grants promises, stores copies."""

from collections.abc import AsyncIterator, Callable

from greengagetack.errors import OwnerUnavailable
from greengagetack.membership.messages import NewPairs
from greengagetack.membership.promises import GivenPromises
from greengagetack.membership.records import ShardRecords, chunked
from greengagetack.membership.shard_messages import (
    CopyShard,
    FetchShard,
    PromiseGrant,
    PromisesGranted,
    PutRecords,
    RecordsPut,
    RenewPromises,
    ShardRecordsChunk,
)
from greengagetack.membership.table import ShardPair
from greengagetack.membership.view import CellView
from greengagetack.peers.messages import Done
from greengagetack.peers.node import PeerNode

__all__ = ["BackupService"]


class BackupService:
    """Grants promises to shard owners and stores the records they replicate.

    Parameters
    ----------
    view : CellView
        The newest pairs.
    given_promises : GivenPromises
        Promises granted by this VM.
    backs_up : callable
        Returns whether this process is a pair's backup.
    shard_records : callable
        Returns this VM's records of a shard.
    """

    def __init__(
        self,
        view: CellView,
        given_promises: GivenPromises,
        backs_up: Callable[[ShardPair], bool],
        shard_records: Callable[[int], ShardRecords],
    ) -> None:
        self._view = view
        self._given_promises = given_promises
        self._backs_up = backs_up
        self._shard_records = shard_records
        self._acted_shards: set[int] = set()

    def serve(self, peers: PeerNode) -> None:
        """Register the handlers for messages from owners."""
        peers.handle(RenewPromises, self._serve_renewal)
        peers.handle(PutRecords, self._serve_put)
        peers.handle(CopyShard, self._serve_copy)
        peers.handle(FetchShard, self._serve_fetch)

    def mark_acted(self, shard: int) -> None:
        """Record that this backup wrote job records in place of the owner."""
        self._acted_shards.add(shard)

    def forget(self, shard: int) -> None:
        """Forget a shard that this VM no longer owns or backs up."""
        self._acted_shards.discard(shard)

    async def _serve_renewal(self, _: str, body: RenewPromises) -> PromisesGranted:
        if self._view.adopt_pairs(NewPairs(0, body.pairs)):
            self._view.notify_subscribers()
        grants: list[PromiseGrant] = []
        newer: list[ShardPair] = []
        for requested in body.pairs:
            pair = self._view.pairs[requested.shard]
            if pair != requested:
                newer.append(pair)
                continue
            if not self._backs_up(pair) or not self._given_promises.grant(
                pair.shard, pair.epoch
            ):
                continue
            acted = pair.shard in self._acted_shards
            grants.append(PromiseGrant(pair.shard, pair.epoch, acted))
        return PromisesGranted(tuple(grants), tuple(newer))

    def _accepts_from(self, shard: int, epoch: int, incarnation: str) -> bool:
        """Whether to accept records from this owner in this epoch."""
        pair = self._view.pairs.get(shard)
        return (
            pair is not None
            and pair.epoch == epoch
            and pair.owner_incarnation == incarnation
            and self._backs_up(pair)
            and not self._given_promises.is_sealed(shard, epoch)
        )

    async def _serve_put(self, _: str, body: PutRecords) -> RecordsPut:
        refused: set[int] = set()
        for item in body.records:
            shard = item.record.shard
            if not self._accepts_from(shard, item.epoch, body.owner_incarnation):
                refused.add(shard)
                continue
            self._shard_records(shard).apply(item.record)
        return RecordsPut(tuple(sorted(refused)))

    async def _serve_copy(self, _: str, body: CopyShard) -> Done:
        if not self._accepts_from(body.shard, body.epoch, body.owner_incarnation):
            raise OwnerUnavailable(
                f"shard {body.shard} is sealed or in another epoch", 1.0
            )
        records = self._shard_records(body.shard)
        if body.first:
            records.begin_copy()
            self._acted_shards.discard(body.shard)
        for record in body.records:
            records.apply(record)
        if body.last and not records.finish_copy(body.epoch):
            raise OwnerUnavailable(
                f"the copy of shard {body.shard} lacks its first part", 1.0
            )
        return Done()

    async def _serve_fetch(
        self, _: str, body: FetchShard
    ) -> AsyncIterator[ShardRecordsChunk]:
        for part in chunked(self._shard_records(body.shard).all()):
            yield ShardRecordsChunk(part)
