"""greengagetack.membership.store: the shards that this VM owns or backs up."""

import asyncio
from collections.abc import Callable

from loguru import logger

from greengagetack.errors import CodedError, OwnerUnavailable
from greengagetack.membership.backup_service import BackupService
from greengagetack.membership.directory import CellDirectory
from greengagetack.membership.messages import NewPairs
from greengagetack.membership.pair_manager import PairManager, PairStatus
from greengagetack.membership.promises import GivenPromises, HeldPromises
from greengagetack.membership.records import ShardRecords
from greengagetack.membership.replicator import Replicator
from greengagetack.membership.shard_messages import (
    FetchShard,
    PromiseGrant,
    RenewPromises,
)
from greengagetack.membership.shards import Record, ShardRole
from greengagetack.membership.snapshot_manager import (
    ALWAYS_RESTORED_KINDS,
    SnapshotManager,
)
from greengagetack.membership.snapshots import ShardSnapshot
from greengagetack.membership.table import ShardPair, shard_of_key
from greengagetack.objects.base import ObjectStore
from greengagetack.peers.node import PeerNode
from greengagetack.settings.schema import DataFolderSettings
from greengagetack.settings.view import SettingsView
from greengagetack.timer import Subscription, Timer

__all__ = ["ReplicatedShards"]

RoleCallback = Callable[[int, ShardRole], None]

DRAIN_LIMIT_LEASES = 6.0


class ReplicatedShards:
    """Implements `ShardStore` with a primary and a backup copy per shard.

    `role` is not exclusive: while the owner is silent, its backup has the role
    OWNER too, so that jobs continue without a promise and without the platform.
    Only `may_act` is exclusive.

    Parameters
    ----------
    directory : CellDirectory
        The cell's table and pairs.
    peers : PeerNode
        Connections to the other members.
    settings : SettingsView
        Has the number of shards, which never changes in a deployment.
    timer : Timer
        Clock and wake-ups.
    platform : ObjectStore
        Object store that holds the pairs.
    data_folder : DataFolderSettings or None
        Where snapshots are written; None disables them.
    """

    def __init__(
        self,
        directory: CellDirectory,
        peers: PeerNode,
        settings: SettingsView,
        timer: Timer,
        platform: ObjectStore,
        data_folder: DataFolderSettings | None = None,
    ) -> None:
        self._directory = directory
        self._view = directory.view
        self._vm = directory.vm
        self._timings = directory.timings
        self._peers = peers
        self._settings = settings
        self._timer = timer
        self._platform = platform
        self._shards: dict[int, ShardRecords] = {}
        self.held_promises = HeldPromises(self._timings, timer)
        self.given_promises = GivenPromises(self._timings, timer)
        self._synced_epochs: dict[int, int] = {}
        self._copying_epochs: dict[int, int] = {}
        self._roles: dict[int, ShardRole] = {}
        self._callbacks: list[RoleCallback] = []
        self._replicator = Replicator(
            peers, self._timings, self._mark_copied, self._mark_failed
        )
        self._backup_service = BackupService(
            self._view, self.given_promises, self.backs_up, self.shard_records
        )
        self._last_answers: dict[int, tuple[int, float]] = {}
        self._pair_manager = PairManager(
            directory.cell,
            directory,
            peers,
            platform,
            self.held_promises,
            self.given_promises,
            timer,
        )
        self._record_epochs: dict[int, int] = {}
        self._restored_epochs: dict[int, int] = {}
        self.snapshots = SnapshotManager(
            data_folder,
            self._vm.vm_id,
            self._vm.incarnation,
            self._collect_snapshot,
            timer,
        )
        self._renewal: asyncio.Task[None] | None = None
        self._subscriptions: list[Subscription] = []

    async def start(self) -> None:
        """Register the message handlers and start to renew promises."""
        await self.snapshots.start()
        self._backup_service.serve(self._peers)
        self._directory.subscribe(self._update_roles)
        self._subscriptions = [
            self._timer.subscribe(
                self._timings.renew_s, self.renew_promises, "promises"
            ),
            self._timer.subscribe(self._timings.renew_s, self._step_pairs, "pairs"),
        ]

    async def drain(self) -> None:
        """Hand over all shards, so that each keeps an owner and a backup.

        Returns after `DRAIN_LIMIT_LEASES` leases at the latest; other members take
        over the remaining shards once this VM is gone.
        """
        self._pair_manager.is_draining = True
        limit_s = self._timer.now_s() + DRAIN_LIMIT_LEASES * self._timings.lease_s
        while self._timer.now_s() < limit_s and self._has_pairs_to_hand_over():
            await self._timer.sleep(self._timings.renew_s)
        self._seal_without_backup()

    def _seal_without_backup(self) -> None:
        """Seal the shards without a backup, so that a last snapshot has all records."""
        for pair in self._view.pairs.values():
            if self.owns(pair) and not pair.backup_vm_id:
                self.held_promises.seal(pair.shard, pair.epoch)

    def _collect_snapshot(self) -> tuple[ShardSnapshot, ...]:
        items: list[ShardSnapshot] = []
        for shard, pair in self._view.pairs.items():
            if not self.owns(pair) and not self.backs_up(pair):
                continue
            final = not pair.backup_vm_id and self.held_promises.is_sealed(
                shard, pair.epoch
            )
            records = self.shard_records(shard).all()
            items.append(ShardSnapshot(pair, final, records))
        return tuple(items)

    def _has_pairs_to_hand_over(self) -> bool:
        """Whether a pair names this VM and another member could replace it."""
        others = [
            vm for vm in self._directory.live_members() if vm.vm_id != self._vm.vm_id
        ]
        own = [p for p in self._view.pairs.values() if self.owns(p) or self.backs_up(p)]
        return bool(own and others)

    async def _step_pairs(self) -> None:
        statuses: dict[int, PairStatus] = {}
        for shard, pair in self._view.pairs.items():
            if self.owns(pair):
                unanswered_s = self._unanswered_s(pair)
                statuses[shard] = PairStatus(True, self.has_backup(shard), unanswered_s)
                continue
            if self.backs_up(pair):
                complete = self.shard_records(shard).complete_epoch == pair.epoch
                statuses[shard] = PairStatus(False, complete)
        try:
            await self._pair_manager.step(statuses)
        except CodedError as error:
            logger.debug("shards: could not change pairs: {}", error.reason)

    def _unanswered_s(self, pair: ShardPair) -> float:
        """Return for how long the backup has not answered in this epoch."""
        now_s = self._timer.now_s()
        epoch, since_s = self._last_answers.get(pair.shard, (0, 0.0))
        if epoch != pair.epoch:
            since_s = now_s
            self._last_answers[pair.shard] = (pair.epoch, since_s)
        return now_s - since_s

    async def close(self) -> None:
        """Stop all tasks of the store and write a last snapshot."""
        for subscription in self._subscriptions:
            subscription.cancel()
        if self._renewal is not None:
            self._renewal.cancel()
        self._replicator.close()
        await self.snapshots.close()

    def shard_of(self, key: str) -> int:
        """Return the shard of a key."""
        return shard_of_key(key, self._settings.fleet().shard_count)

    def epoch(self, shard: int) -> int:
        """Return the newest known epoch of the shard, 0 if there is none."""
        pair = self._view.pairs.get(shard)
        return pair.epoch if pair else 0

    def fresh_epoch(self, shard: int) -> int:
        """Return the newest epoch that began without all records, 0 if none did."""
        pair = self._view.pairs.get(shard)
        return pair.fresh_epoch if pair else 0

    def may_lack_records(self, shard: int) -> bool:
        """Whether records of earlier epochs may have been lost.

        The result stays true in later epochs: only a key first seen in
        `fresh_epoch` or later can have no lost record. It is false if a snapshot
        restored all records, see `greengagetack.membership.snapshots`.
        """
        fresh_epoch = self.fresh_epoch(shard)
        return fresh_epoch > 0 and self._restored_epochs.get(shard) != fresh_epoch

    def owns(self, pair: ShardPair) -> bool:
        """Whether this process is the pair's owner."""
        return (pair.owner_vm_id, pair.owner_incarnation) == self._identity

    def backs_up(self, pair: ShardPair) -> bool:
        """Whether this process is the pair's backup."""
        return (pair.backup_vm_id, pair.backup_incarnation) == self._identity

    @property
    def _identity(self) -> tuple[str, str]:
        return (self._vm.vm_id, self._vm.incarnation)

    def role(self, shard: int) -> ShardRole:
        """Return this VM's present role for the shard.

        A backup whose owner is silent has the role OWNER too, for class 1 duties.
        """
        pair = self._view.pairs.get(shard)
        if pair is None:
            return ShardRole.NONE
        if self.owns(pair):
            return ShardRole.OWNER
        if not self.backs_up(pair):
            return ShardRole.NONE
        return ShardRole.OWNER if self._owner_silent(pair) else ShardRole.BACKUP

    def runs_jobs(self, shard: int) -> bool:
        """Whether this VM runs jobs of the shard.

        Owner and backup may both do so for a while, which is safe for jobs.
        """
        return self.role(shard) is ShardRole.OWNER

    def _owner_silent(self, pair: ShardPair) -> bool:
        if not self._view.is_current(pair.owner_vm_id, pair.owner_incarnation):
            return self._view.table.revision > 0
        silent_s = self.given_promises.silent_s(pair.shard, pair.epoch)
        if silent_s is not None:
            return silent_s >= self._timings.suspect_s
        return pair.owner_vm_id in self._view.suspected

    def may_act(self, shard: int) -> bool:
        """Whether this VM is certainly the only owner (class 3 duties).

        An owner with a backup needs the backup's promise for this epoch. A cell of
        a single VM has no backup; its owner needs the lead's trusted lease instead.
        """
        pair = self._view.pairs.get(shard)
        if pair is None or not self.owns(pair):
            return False
        if pair.backup_vm_id:
            return self.held_promises.trusted(shard, pair.epoch)
        return self._directory.holds_lease() and not self.held_promises.is_sealed(
            shard, pair.epoch
        )

    def has_backup(self, shard: int) -> bool:
        """Whether this VM owns the shard and its backup has a full copy."""
        pair = self._view.pairs.get(shard)
        if pair is None or not self.owns(pair):
            return False
        return self._synced_epochs.get(shard) == pair.epoch

    def get(self, shard: int, kind: str, key: str) -> bytes | None:
        """Return the value of a record, None if there is none."""
        records = self._shards.get(shard)
        return records.get(kind, key) if records else None

    def records(self, shard: int, kind: str) -> tuple[Record, ...]:
        """Return all records of a kind in a shard."""
        records = self._shards.get(shard)
        return records.of_kind(kind) if records else ()

    def shard_records(self, shard: int) -> ShardRecords:
        """Return the records of a shard, which are empty at first."""
        return self._shards.setdefault(shard, ShardRecords())

    async def put(
        self, shard: int, kind: str, key: str, value: bytes, *, need_backup: bool
    ) -> None:
        """Write a record here and at the backup.

        The record is visible here at once; with `need_backup` it is undone if the
        backup does not confirm it.

        Raises
        ------
        OwnerUnavailable
            If this VM does not act for the shard, or if the backup is needed and
            does not confirm the record.
        """
        pair = self._view.pairs.get(shard)
        if pair is None or not self.runs_jobs(shard):
            raise OwnerUnavailable(f"this VM does not own shard {shard}", 1.0)
        owner = self.owns(pair)
        unreplicated = owner and not pair.backup_vm_id and self._is_single_vm()
        ready = self.may_act(shard) and (unreplicated or self.has_backup(shard))
        if need_backup and not ready:
            raise OwnerUnavailable(
                f"shard {shard} has no backup ready to store the record", 1.0
            )
        records = self.shard_records(shard)
        record = Record(shard, kind, key, value, records.sequence + 1)
        former = records.find(kind, key)
        records.apply(record)
        if not owner:
            self._backup_service.mark_acted(shard)
            return
        if not pair.backup_vm_id:
            return
        done = self._replicator.put(pair, record)
        if not need_backup:
            return
        if not await done:
            records.undo(record, former)
            raise OwnerUnavailable(
                f"the backup of shard {shard} did not confirm the record", 1.0
            )

    def _is_single_vm(self) -> bool:
        return len(self._view.table.members) == 1

    def subscribe(self, callback: RoleCallback) -> None:
        """Call `callback` with each shard whose role changes on this VM."""
        self._callbacks.append(callback)

    def _update_roles(self) -> None:
        for shard, pair in list(self._view.pairs.items()):
            self._update_epoch(pair)
            role = self.role(shard)
            if role is self._roles.get(shard, ShardRole.NONE):
                continue
            self._roles[shard] = role
            logger.info("shards: role is now {} for shard {}", role.value, shard)
            for callback in self._callbacks:
                callback(shard, role)
            if self.owns(pair):
                self._renew_soon()

    def _renew_soon(self) -> None:
        """Request promises at once, because a new owner can't act without them."""
        if self._renewal is not None and not self._renewal.done():
            return
        self._renewal = asyncio.create_task(self.renew_promises())

    def _update_epoch(self, pair: ShardPair) -> None:
        """Drop records that may be outdated by an epoch without this VM."""
        shard = pair.shard
        if not self.owns(pair) and not self.backs_up(pair):
            self._shards.pop(shard, None)
            self._backup_service.forget(shard)
            return
        former = self._record_epochs.get(shard, 0)
        if former == pair.epoch:
            return
        self._record_epochs[shard] = pair.epoch
        if former + 1 < pair.epoch:
            self._shards.pop(shard, None)
        if self.owns(pair) and pair.fresh_epoch == pair.epoch:
            self._restore_snapshot(pair)

    def _restore_snapshot(self, pair: ShardPair) -> None:
        if self.snapshots.has_all_records(pair):
            self._restored_epochs[pair.shard] = pair.epoch
        for record in self.snapshots.take_records(pair):
            self.shard_records(pair.shard).apply(record)

    async def renew_promises(self) -> None:
        """Renew the promises of all shards owned here, one request per backup."""
        by_backup: dict[str, list[ShardPair]] = {}
        for pair in self._view.pairs.values():
            if self.owns(pair) and pair.backup_vm_id:
                by_backup.setdefault(pair.backup_vm_id, []).append(pair)
        for vm_id, pairs in by_backup.items():
            await self._renew_with_backup(vm_id, tuple(pairs))
        self._update_roles()

    async def _renew_with_backup(
        self, vm_id: str, pairs: tuple[ShardPair, ...]
    ) -> None:
        sent_s = self._timer.now_s()
        body = RenewPromises(self._vm.incarnation, pairs)
        try:
            answer = await self._peers.request(
                vm_id, body, self._timings.request_timeout_s
            )
        except CodedError as error:
            logger.debug("shards: no promise from {}: {}", vm_id, error.reason)
            return
        if answer.newer and self._view.adopt_pairs(NewPairs(0, answer.newer)):
            self._view.notify_subscribers()
        for grant in answer.grants:
            await self._record_grant(grant, sent_s)

    async def _record_grant(self, grant: PromiseGrant, sent_s: float) -> None:
        self._last_answers[grant.shard] = (grant.epoch, self._timer.now_s())
        if not self.held_promises.is_sealed(grant.shard, grant.epoch):
            # In a sealed epoch the request only shows that the owner is alive.
            self.held_promises.record(grant.shard, grant.epoch, sent_s)
        pair = self._view.pairs[grant.shard]
        if pair.epoch != grant.epoch or not self.owns(pair):
            return
        if grant.acted:
            await self._merge_from_backup(pair)
            self._synced_epochs.pop(pair.shard, None)
        if self._synced_epochs.get(pair.shard) == pair.epoch:
            return
        if self._copying_epochs.get(pair.shard) == pair.epoch:
            return
        self._copying_epochs[pair.shard] = pair.epoch
        self._replicator.copy(pair, self.shard_records(pair.shard).all())

    async def _merge_from_backup(self, pair: ShardPair) -> None:
        """Merge the job records that the backup wrote while this VM was silent."""
        records = self.shard_records(pair.shard)
        try:
            async for chunk in self._peers.stream(
                pair.backup_vm_id, FetchShard(pair.shard)
            ):
                for record in chunk.records:
                    if record.kind in ALWAYS_RESTORED_KINDS:
                        records.apply(record)
        except CodedError as error:
            logger.warning(
                "shards: could not fetch the backup's records of shard {}: {}",
                pair.shard,
                error.reason,
            )

    def _mark_copied(self, pair: ShardPair) -> None:
        if self._copying_epochs.get(pair.shard) == pair.epoch:
            del self._copying_epochs[pair.shard]
            self._synced_epochs[pair.shard] = pair.epoch

    def _mark_failed(self, pair: ShardPair) -> None:
        if self._copying_epochs.get(pair.shard) == pair.epoch:
            del self._copying_epochs[pair.shard]
        if self._synced_epochs.get(pair.shard) == pair.epoch:
            del self._synced_epochs[pair.shard]
