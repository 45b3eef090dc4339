"""greengagetack.membership.view: this VM's view of its cell."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import xxhash
from loguru import logger

from greengagetack.membership.leaving import LeavingSigns
from greengagetack.membership.messages import CellNews, NewPairs
from greengagetack.membership.stored import LeadObject
from greengagetack.membership.table import CellTable, ShardPair
from greengagetack.membership.table_change import apply_change
from greengagetack.peers.node import PeerNode
from greengagetack.world import Vm, VmState

__all__ = ["CellView", "KnownLead"]


@dataclass(frozen=True, slots=True)
class KnownLead:
    """The lead to which this VM sends its heartbeats."""

    vm_id: str = ""
    epoch: int = 0


class CellView:
    """The newest table, pairs, signs and lead; older versions are ignored.

    Parameters
    ----------
    cell : str
        Name of the cell.
    vm : Vm
        This VM.
    peers : PeerNode
        Gets the members' addresses.
    """

    def __init__(self, cell: str, vm: Vm, peers: PeerNode) -> None:
        self.vm = vm
        self.table = CellTable(cell)
        self.pairs: dict[int, ShardPair] = {}
        self.pairs_version = 0
        self._pair_versions: dict[int, int] = {}
        self.signs = LeavingSigns()
        self.suspected: frozenset[str] = frozenset()
        self.lead = KnownLead()
        self._members: dict[str, Vm] = {}
        self._keepers: dict[str, tuple[str, int]] = {}
        self._peers = peers
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change."""
        self._callbacks.append(callback)

    def notify_subscribers(self) -> None:
        """Call all subscribers after a change."""
        for callback in self._callbacks:
            try:
                callback()
            except Exception as error:
                logger.opt(exception=error).error(
                    "member: a subscriber of the cell view failed"
                )

    def member(self, vm_id: str) -> Vm | None:
        """Return a member by VM identifier, None if the newest table lacks it."""
        return self._members.get(vm_id)

    def live_members(self) -> tuple[Vm, ...]:
        """Return members that are neither leaving nor suspected."""
        return tuple(
            vm
            for vm in self.table.members
            if vm.state is VmState.LIVE and vm.vm_id not in self.suspected
        )

    def is_current(self, vm_id: str, incarnation: str) -> bool:
        """Whether the table lists the VM with this incarnation."""
        member = self._members.get(vm_id)
        return member is not None and member.incarnation == incarnation

    def keeper(self, endpoint_id: str) -> tuple[str, int]:
        """Return an endpoint's keeper and fencing number, ("", 0) if it has none."""
        return self._keepers.get(endpoint_id, ("", 0))

    def adopt_lead(self, lead: LeadObject) -> None:
        """Adopt the lead stored in the platform unless its epoch is older."""
        if lead.epoch < self.lead.epoch or not lead.holder_vm_id:
            return
        self._peers.set_address(lead.holder_vm_id, lead.peer)
        self._set_lead(lead.holder_vm_id, lead.epoch)

    def _set_lead(self, vm_id: str, epoch: int) -> None:
        if epoch < self.lead.epoch or (vm_id, epoch) == (
            self.lead.vm_id,
            self.lead.epoch,
        ):
            return
        self.lead = KnownLead(vm_id, epoch)
        logger.info("member: {} leads the cell, epoch {}", vm_id, epoch)

    def adopt_table(self, table: CellTable) -> bool:
        """Adopt a table if it is newer, and return whether it was."""
        if table.revision <= self.table.revision:
            return False
        self.table = table
        self._members = {vm.vm_id: vm for vm in table.members}
        self._keepers = {
            keeper.endpoint_id: (keeper.keeper_vm_id, keeper.fencing_number)
            for keeper in table.keepers
        }
        for vm in table.members:
            if vm.vm_id != self.vm.vm_id:
                self._peers.set_address(vm.vm_id, vm.peer)
        self.signs.merge_table(table.leaving_endpoint_ids)
        return True

    def adopt_pairs(self, news: NewPairs) -> bool:
        """Adopt pairs with newer epochs, and return whether there were any."""
        changed = False
        # Pairs received without a version are filed under the next version.
        version = news.version or self.pairs_version + 1
        for pair in news.pairs:
            known = self.pairs.get(pair.shard)
            if known is not None and known.epoch >= pair.epoch:
                continue
            self.pairs[pair.shard] = pair
            self._pair_versions[pair.shard] = version
            changed = True
        if self.pairs_version >= news.base_version:
            self.pairs_version = max(self.pairs_version, news.version)
        return changed

    def pairs_after(self, version: int) -> tuple[ShardPair, ...]:
        """Return the pairs that changed after a version of the platform's object."""
        return tuple(
            pair
            for shard, pair in self.pairs.items()
            if self._pair_versions[shard] > version
        )

    def news_digest(self) -> int:
        """Return a digest of the signs and suspected VMs, the same on all members."""
        signs = sorted(
            (sign.endpoint_id, sign.sequence, sign.leaving) for sign in self.signs.all()
        )
        parts = (signs, sorted(self.suspected))
        return xxhash.xxh32_intdigest(msgspec.msgpack.encode(parts))

    def adopt_news(self, news: CellNews) -> bool:
        """Adopt what is newer in the lead's news, and return whether anything was."""
        if news.lead_epoch < self.lead.epoch:
            return False
        before = (self.lead, self.suspected)
        self._set_lead(news.lead_vm_id, news.lead_epoch)
        self.suspected = frozenset(news.suspected_vm_ids)
        changed = before != (self.lead, self.suspected)
        table = news.table
        if news.table_change is not None:
            table = apply_change(self.table, news.table_change)
        if table is not None:
            changed |= self.adopt_table(table)
        pairs = NewPairs(news.pairs_version, news.pairs, news.pairs_base)
        changed |= self.adopt_pairs(pairs)
        changed |= self.signs.merge(news.signs)
        return changed
