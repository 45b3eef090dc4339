"""greengagetack.membership.pair_manager: changes the pairs that include this VM."""

from dataclasses import dataclass, replace

from loguru import logger

from greengagetack.errors import CodedError, PlatformUnavailable
from greengagetack.leases.decisions import may_write_next_pair
from greengagetack.membership.directory import CellDirectory
from greengagetack.membership.messages import NewPairs
from greengagetack.membership.pair_change import (
    ChangeReason,
    PairChange,
    is_usable,
    successor_pair,
)
from greengagetack.membership.plan import plan_move
from greengagetack.membership.promises import GivenPromises, HeldPromises, Promises
from greengagetack.membership.stored import (
    PairsObject,
    from_value,
    pairs_path,
    to_value,
)
from greengagetack.membership.table import ShardPair
from greengagetack.objects.base import ObjectConflict, ObjectStore
from greengagetack.peers.node import PeerNode
from greengagetack.timer import Timer
from greengagetack.world import Vm

__all__ = ["PairManager", "PairStatus"]

WRITE_ATTEMPTS = 4
UNREACHABLE_AFTER_LEASES = 2.0
BALANCE_AFTER_LEASES = 2.0


@dataclass(frozen=True, slots=True)
class PairStatus:
    """The shard store's status of a pair that includes this VM.

    Parameters
    ----------
    is_owner : bool
        True if this process is the owner, False if it is the backup.
    complete : bool
        Whether the backup has all records of the epoch: the other VM if this
        process is the owner, this VM if it is the backup.
    unanswered_s : float
        How long the backup has not answered this owner; 0 on a backup.
    """

    is_owner: bool
    complete: bool
    unanswered_s: float = 0.0


class PairManager:
    """Seals epochs, waits for promises to end and writes the next pairs.

    Parameters
    ----------
    cell : str
        Name of the cell.
    directory : CellDirectory
        Members and pairs.
    peers : PeerNode
        Sends new pairs to the members concerned.
    platform : ObjectStore
        Object store that holds the pairs.
    held_promises, given_promises : Promises
        Promises that this VM holds as an owner and has given as a backup.
    timer : Timer
        Clock.
    """

    def __init__(
        self,
        cell: str,
        directory: CellDirectory,
        peers: PeerNode,
        platform: ObjectStore,
        held_promises: HeldPromises,
        given_promises: GivenPromises,
        timer: Timer,
    ) -> None:
        self._cell = cell
        self._directory = directory
        self._view = directory.view
        self._peers = peers
        self._platform = platform
        self._held_promises = held_promises
        self._given_promises = given_promises
        self._timer = timer
        self._changes: dict[int, PairChange] = {}
        self._last_busy_s = timer.now_s()
        self.is_draining = False

    async def step(self, statuses: dict[int, PairStatus]) -> None:
        """Run one step for the pairs that include this VM, by shard.

        Raises
        ------
        CodedError
            If the platform does not answer; sealed epochs stay sealed, and the
            next step continues.
        """
        self._drop_outdated()
        wanted = self._wanted_changes(statuses)
        if wanted:
            # Nothing is sealed before the platform has answered: an outage
            # must not stop an owner and a backup that can still serve.
            await self._read_pairs()
            self._drop_outdated()
            wanted = self._wanted_changes(statuses)
        for shard, reason in wanted.items():
            self._seal(self._view.pairs[shard], reason)
        await self._start_balancing_move(statuses)
        for change in self._changes.values():
            if change.state == "sealed" and self._promises_ended(change):
                change.advance("wait_out")
        await self._write(statuses)

    def _drop_outdated(self) -> None:
        for shard, change in list(self._changes.items()):
            if self._view.pairs[shard].epoch > change.pair.epoch:
                change.detach()
                del self._changes[shard]

    def _wanted_changes(
        self, statuses: dict[int, PairStatus]
    ) -> dict[int, ChangeReason]:
        wanted: dict[int, ChangeReason] = {}
        for shard, status in statuses.items():
            if shard in self._changes:
                continue
            reason = self._change_reason(self._view.pairs[shard], status)
            if reason is None:
                continue
            if self._successor_pair(self._view.pairs[shard], reason, True) is not None:
                wanted[shard] = reason
        return wanted

    def _successor_pair(
        self, pair: ShardPair, reason: ChangeReason, complete: bool
    ) -> ShardPair | None:
        new = successor_pair(pair, reason, self._usable_members(reason, pair), complete)
        if new is None or new.backup_vm_id or pair.backup_vm_id:
            return new
        # There is still no other member to be the backup: nothing would change.
        return None if reason is ChangeReason.NEW_BACKUP else new

    def _change_reason(
        self, pair: ShardPair, status: PairStatus
    ) -> ChangeReason | None:
        if not status.is_owner:
            current = self._view.is_current(pair.owner_vm_id, pair.owner_incarnation)
            known = self._view.table.revision > 0
            return ChangeReason.TAKE_OVER if known and not current else None
        backup = self._view.member(pair.backup_vm_id)
        usable = is_usable(backup, pair.backup_incarnation)
        if self.is_draining and usable:
            # A backup without all records gets its full copy first.
            return ChangeReason.HAND_OVER if status.complete else None
        limit_s = UNREACHABLE_AFTER_LEASES * self._directory.timings.observer_s
        if usable and status.unanswered_s < limit_s:
            return None
        return ChangeReason.NEW_BACKUP

    def _usable_members(self, reason: ChangeReason, pair: ShardPair) -> tuple[Vm, ...]:
        """Return the members that may serve in the next pair, including this VM."""
        own = self._view.member(self._view.vm.vm_id)
        members = [vm for vm in self._directory.live_members() if vm != own]
        if own is not None:
            members.append(own)
        if reason is not ChangeReason.NEW_BACKUP:
            return tuple(members)
        # A backup that does not answer is not chosen again in this incarnation.
        unresponsive = (pair.backup_vm_id, pair.backup_incarnation)
        return tuple(vm for vm in members if (vm.vm_id, vm.incarnation) != unresponsive)

    async def _start_balancing_move(self, statuses: dict[int, PairStatus]) -> None:
        """Start moving one shard away if this VM owns more than its share."""
        now_s = self._timer.now_s()
        quiet_s = BALANCE_AFTER_LEASES * self._directory.timings.lease_s
        if self._changes or not all(status.complete for status in statuses.values()):
            self._last_busy_s = now_s
        if self.is_draining or now_s - self._last_busy_s < quiet_s:
            return
        own = {shard for shard, status in statuses.items() if status.is_owner}
        move = plan_move(self._view.pairs, self._directory.live_members(), own)
        if move is None:
            return
        pair = self._view.pairs[move.shard]
        await self._read_pairs()
        if self._view.pairs[move.shard] != pair:
            return
        if pair.backup_vm_id == move.to_vm_id:
            self._seal(pair, ChangeReason.HAND_OVER)
            return
        self._seal(pair, ChangeReason.NEW_BACKUP, move.to_vm_id)

    def _seal(
        self, pair: ShardPair, reason: ChangeReason, backup_vm_id: str = ""
    ) -> None:
        change = PairChange(pair, reason, backup_vm_id)
        self._promises(change).seal(pair.shard, pair.epoch)
        change.advance("seal")
        self._changes[pair.shard] = change
        logger.info(
            "shards: sealed epoch {} of shard {}: {}", pair.epoch, pair.shard, reason
        )

    def _promises(self, change: PairChange) -> Promises:
        if change.reason is ChangeReason.TAKE_OVER:
            return self._given_promises
        return self._held_promises

    def _promises_ended(self, change: PairChange) -> bool:
        # The promise that this VM holds itself ended when the epoch was sealed.
        shard = change.pair.shard
        return may_write_next_pair(
            change.pair,
            self._view.vm.vm_id,
            self._promises(change).sealed_epoch(shard),
            self._timer.now_s(),
            self._given_promises.ends_s(shard),
        )

    async def _write(self, statuses: dict[int, PairStatus]) -> None:
        for _ in range(WRITE_ATTEMPTS):
            if not any(c.state == "waited" for c in self._changes.values()):
                return
            version, stored = await self._read_pairs()
            self._drop_outdated()
            new = self._pairs_to_write(statuses)
            if not new:
                return
            pairs = tuple(new.get(pair.shard, pair) for pair in stored)
            try:
                version = await self._platform.write(
                    pairs_path(self._cell), to_value(PairsObject(pairs)), version
                )
            except ObjectConflict:
                # Another VM wrote the pairs in between: retry.
                continue
            for shard in new:
                self._changes[shard].advance("write")
            changed = tuple(new.values())
            news = NewPairs(version, changed, version - 1)
            self._adopt(news)
            await self._announce(changed, news)
            return

    def _pairs_to_write(self, statuses: dict[int, PairStatus]) -> dict[int, ShardPair]:
        new: dict[int, ShardPair] = {}
        for shard, change in self._changes.items():
            if change.state != "waited":
                continue
            status = statuses.get(shard)
            complete = status is not None and status.complete
            pair = self._pair_to_write(change, complete)
            if pair is not None:
                new[shard] = pair
        return new

    def _pair_to_write(self, change: PairChange, complete: bool) -> ShardPair | None:
        """Return the pair to write, chosen from the members usable now."""
        keeps_owner = change.reason is ChangeReason.NEW_BACKUP
        if change.backup_vm_id:
            members = self._usable_members(change.reason, change.pair)
            names = (change.pair.owner_vm_id, change.backup_vm_id)
            chosen = tuple(vm for vm in members if vm.vm_id in names)
            if len(chosen) == len(names):
                return successor_pair(change.pair, change.reason, chosen, True)
        new = self._successor_pair(change.pair, change.reason, complete or keeps_owner)
        if new is None and change.reason is ChangeReason.HAND_OVER:
            # The backup left after the seal: this owner has to continue.
            return self._successor_pair(change.pair, ChangeReason.NEW_BACKUP, True)
        if new is None and keeps_owner:
            # A sealed epoch needs a successor, if need be with the same members.
            return replace(change.pair, epoch=change.pair.epoch + 1)
        return new

    async def _read_pairs(self) -> tuple[int, tuple[ShardPair, ...]]:
        stored = await self._platform.read(pairs_path(self._cell))
        if stored is None:
            raise PlatformUnavailable("the cell has no stored shard pairs", 1.0)
        pairs = from_value(PairsObject, stored.value).pairs
        self._adopt(NewPairs(stored.version, pairs))
        return stored.version, pairs

    def _adopt(self, news: NewPairs) -> None:
        if self._view.adopt_pairs(news):
            self._view.notify_subscribers()

    async def _announce(self, new: tuple[ShardPair, ...], news: NewPairs) -> None:
        """Send new pairs to the lead and the VMs in them; the lead informs others."""
        names = {self._view.lead.vm_id}
        for pair in new:
            names.update((pair.owner_vm_id, pair.backup_vm_id))
            logger.info(
                "shards: shard {} epoch {}: owner {}, backup {}",
                pair.shard,
                pair.epoch,
                pair.owner_vm_id,
                pair.backup_vm_id or "none",
            )
        for vm_id in sorted(names - {"", self._view.vm.vm_id}):
            try:
                await self._peers.request(
                    vm_id, news, self._directory.timings.request_timeout_s
                )
            except CodedError as error:
                logger.debug(
                    "shards: could not send new pairs to {}: {}", vm_id, error.reason
                )
