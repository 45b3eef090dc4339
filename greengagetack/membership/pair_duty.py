"""greengagetack.membership.pair_duty: changes the pairs that this VM is in."""

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
    successor,
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

__all__ = ["PairDuty", "PairFacts"]

WRITE_ATTEMPTS = 4
UNREACHABLE_LEASES = 2.0
BALANCE_LEASES = 2.0


@dataclass(frozen=True, slots=True)
class PairFacts:
    """What the shard store knows about one pair of this VM.

    Parameters
    ----------
    owns : bool
        Whether this process is the owner, and not the backup.
    complete : bool
        Whether the backup has all records of the epoch: the other VM as the
        owner sees it, this VM as the backup sees it.
    unanswered_s : float
        How long the backup has not answered this owner, 0 at a backup.
    """

    owns: bool
    complete: bool
    unanswered_s: float = 0.0


class PairDuty:
    """Seals, waits out and writes the next pairs of this VM's shards.

    Parameters
    ----------
    cell : str
        Name of the cell.
    directory : CellDirectory
        Members and pairs.
    peers : PeerNode
        Tells the members concerned.
    platform : ObjectStore
        Holds the pairs.
    held, given : Promises
        Promises that this VM holds as an owner and gave as a backup.
    timer : Timer
        Clock.
    """

    def __init__(
        self,
        cell: str,
        directory: CellDirectory,
        peers: PeerNode,
        platform: ObjectStore,
        held: HeldPromises,
        given: GivenPromises,
        timer: Timer,
    ) -> None:
        self._cell = cell
        self._directory = directory
        self._view = directory.view
        self._peers = peers
        self._platform = platform
        self._held = held
        self._given = given
        self._timer = timer
        self._changes: dict[int, PairChange] = {}
        self._busy_s = timer.now_s()
        self.draining = False

    async def step(self, facts: dict[int, PairFacts]) -> None:
        """Do one round for the pairs that this VM is in, given by shard.

        Raises
        ------
        CodedError
            If the platform does not answer; sealed epochs stay sealed, and the
            next round goes on.
        """
        self._drop_outdated()
        wanted = self._wanted(facts)
        if wanted:
            # Nothing is sealed before the platform has answered: an outage
            # must not stop an owner and backup that can go on.
            await self._read_pairs()
            self._drop_outdated()
            wanted = self._wanted(facts)
        for shard, reason in wanted.items():
            self._seal(self._view.pairs[shard], reason)
        await self._step_balance(facts)
        for change in self._changes.values():
            if change.state == "sealed" and self._waited(change):
                change.advance("wait_out")
        await self._write(facts)

    def _drop_outdated(self) -> None:
        for shard, change in list(self._changes.items()):
            if self._view.pairs[shard].epoch > change.pair.epoch:
                change.forget()
                del self._changes[shard]

    def _wanted(self, facts: dict[int, PairFacts]) -> dict[int, ChangeReason]:
        wanted: dict[int, ChangeReason] = {}
        for shard, fact in facts.items():
            if shard in self._changes:
                continue
            reason = self._reason(self._view.pairs[shard], fact)
            if reason is None:
                continue
            if self._successor(self._view.pairs[shard], reason, True) is not None:
                wanted[shard] = reason
        return wanted

    def _successor(
        self, pair: ShardPair, reason: ChangeReason, complete: bool
    ) -> ShardPair | None:
        new = successor(pair, reason, self._usable(reason, pair), complete)
        if new is None or new.backup_vm_id or pair.backup_vm_id:
            return new
        # Still nobody else to be the backup: nothing would change.
        return None if reason is ChangeReason.NEW_BACKUP else new

    def _reason(self, pair: ShardPair, fact: PairFacts) -> ChangeReason | None:
        if not fact.owns:
            current = self._view.is_current(pair.owner_vm_id, pair.owner_incarnation)
            known = self._view.table.revision > 0
            return ChangeReason.TAKE_OVER if known and not current else None
        backup = self._view.member(pair.backup_vm_id)
        usable = is_usable(backup, pair.backup_incarnation)
        if self.draining and usable:
            # An incomplete backup first gets its copy.
            return ChangeReason.HAND_OVER if fact.complete else None
        limit_s = UNREACHABLE_LEASES * self._directory.timings.observer_s
        if usable and fact.unanswered_s < limit_s:
            return None
        return ChangeReason.NEW_BACKUP

    def _usable(self, reason: ChangeReason, pair: ShardPair) -> tuple[Vm, ...]:
        """Return the members that may serve in the next pair, this VM among them."""
        own = self._view.member(self._view.vm.vm_id)
        members = [vm for vm in self._directory.live_members() if vm != own]
        if own is not None:
            members.append(own)
        if reason is not ChangeReason.NEW_BACKUP:
            return tuple(members)
        # A backup that does not answer is not chosen again as it is.
        bad = (pair.backup_vm_id, pair.backup_incarnation)
        return tuple(vm for vm in members if (vm.vm_id, vm.incarnation) != bad)

    async def _step_balance(self, facts: dict[int, PairFacts]) -> None:
        """Start to move one shard away if this VM owns more than its share."""
        now_s = self._timer.now_s()
        calm_s = BALANCE_LEASES * self._directory.timings.lease_s
        if self._changes or not all(fact.complete for fact in facts.values()):
            self._busy_s = now_s
        if self.draining or now_s - self._busy_s < calm_s:
            return
        own = {shard for shard, fact in facts.items() if fact.owns}
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
            return self._given
        return self._held

    def _waited(self, change: PairChange) -> bool:
        # A promise that this VM holds itself ended with the seal.
        shard = change.pair.shard
        return may_write_next_pair(
            change.pair,
            self._view.vm.vm_id,
            self._promises(change).sealed_epoch(shard),
            self._timer.now_s(),
            self._given.until_s(shard),
        )

    async def _write(self, facts: dict[int, PairFacts]) -> None:
        for _ in range(WRITE_ATTEMPTS):
            if not any(c.state == "waited" for c in self._changes.values()):
                return
            version, stored = await self._read_pairs()
            self._drop_outdated()
            new = self._successors(facts)
            if not new:
                return
            pairs = tuple(new.get(pair.shard, pair) for pair in stored)
            try:
                version = await self._platform.write(
                    pairs_path(self._cell), to_value(PairsObject(pairs)), version
                )
            except ObjectConflict:
                # Another pair was written in between; this one is tried again.
                continue
            for shard in new:
                self._changes[shard].advance("write")
            changed = tuple(new.values())
            news = NewPairs(version, changed, version - 1)
            self._adopt(news)
            await self._tell(changed, news)
            return

    def _successors(self, facts: dict[int, PairFacts]) -> dict[int, ShardPair]:
        new: dict[int, ShardPair] = {}
        for shard, change in self._changes.items():
            if change.state != "waited":
                continue
            fact = facts.get(shard)
            complete = fact is not None and fact.complete
            pair = self._written_pair(change, complete)
            if pair is not None:
                new[shard] = pair
        return new

    def _written_pair(self, change: PairChange, complete: bool) -> ShardPair | None:
        """Return what the change writes, from who is usable by now."""
        kept = change.reason is ChangeReason.NEW_BACKUP
        if change.backup_vm_id:
            members = self._usable(change.reason, change.pair)
            names = (change.pair.owner_vm_id, change.backup_vm_id)
            chosen = tuple(vm for vm in members if vm.vm_id in names)
            if len(chosen) == len(names):
                return successor(change.pair, change.reason, chosen, True)
        new = self._successor(change.pair, change.reason, complete or kept)
        if new is None and change.reason is ChangeReason.HAND_OVER:
            # The backup went away after the seal: this owner has to go on.
            return self._successor(change.pair, ChangeReason.NEW_BACKUP, True)
        if new is None and kept:
            # The sealed epoch has to end, with the same members if need be.
            return replace(change.pair, epoch=change.pair.epoch + 1)
        return new

    async def _read_pairs(self) -> tuple[int, tuple[ShardPair, ...]]:
        stored = await self._platform.read(pairs_path(self._cell))
        if stored is None:
            raise PlatformUnavailable("the cell has no shard pairs", 1.0)
        pairs = from_value(PairsObject, stored.value).pairs
        self._adopt(NewPairs(stored.version, pairs))
        return stored.version, pairs

    def _adopt(self, news: NewPairs) -> None:
        if self._view.adopt_pairs(news):
            self._view.changed()

    async def _tell(self, new: tuple[ShardPair, ...], news: NewPairs) -> None:
        """Tell the lead and the VMs in the new pairs; others learn from the lead."""
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
                logger.debug("shards: could not tell {}: {}", vm_id, error.reason)
