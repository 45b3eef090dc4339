"""greengagetack.membership.lost_pairs: replaces pairs that are gone."""

from greengagetack.leases.decisions import pair_is_lost
from greengagetack.membership.plan import choose_backup
from greengagetack.membership.table import CellTable, ShardPair, rendezvous_order
from greengagetack.world import Vm, VmState

__all__ = ["LostPairs"]


class LostPairs:
    """Tracks since when the owner and backup of a pair have both been gone.

    A process is gone if the VM list no longer shows its VM, or if the table has
    the VM with another incarnation: the former process must have ended, because
    the new one listens on its address. A VM that is only silent is not gone.

    Parameters
    ----------
    longest_promise_s : float
        Longest time that a promise given or held by either of them may last.
    """

    def __init__(self, longest_promise_s: float) -> None:
        self._longest_promise_s = longest_promise_s
        self._gone_since_s: dict[int, float] = {}

    def reset(self) -> None:
        """Reset all times, when the lead changes."""
        self._gone_since_s.clear()

    def replacements(
        self,
        pairs: dict[int, ShardPair],
        table: CellTable,
        listed_vm_ids: frozenset[str],
        now_s: float,
    ) -> tuple[ShardPair, ...]:
        """Return new pairs for the shards whose present pair is certainly lost.

        Their new epoch is marked as begun without all records.
        """
        members = {vm.vm_id: vm for vm in table.members}
        live = tuple(vm for vm in table.members if vm.state is VmState.LIVE)
        new: list[ShardPair] = []
        for shard, pair in pairs.items():
            owner_gone = _is_gone(
                pair.owner_vm_id, pair.owner_incarnation, members, listed_vm_ids
            )
            backup_gone = _is_gone(
                pair.backup_vm_id, pair.backup_incarnation, members, listed_vm_ids
            )
            if not (owner_gone and backup_gone):
                self._gone_since_s.pop(shard, None)
                continue
            since_s = self._gone_since_s.setdefault(shard, now_s)
            if live and pair_is_lost(now_s, since_s, self._longest_promise_s):
                new.append(_replacement_pair(pair, live))
        return tuple(new)


def _is_gone(
    vm_id: str,
    incarnation: str,
    members: dict[str, Vm],
    listed_vm_ids: frozenset[str],
) -> bool:
    member = members.get(vm_id)
    if member is not None:
        return member.incarnation != incarnation
    return vm_id not in listed_vm_ids


def _replacement_pair(pair: ShardPair, live: tuple[Vm, ...]) -> ShardPair:
    by_id = {vm.vm_id: vm for vm in live}
    owner = by_id[rendezvous_order(f"shard-{pair.shard}", tuple(by_id))[0]]
    backup = choose_backup(pair.shard, owner, live)
    epoch = pair.epoch + 1
    return ShardPair(
        pair.shard,
        epoch,
        owner.vm_id,
        backup.vm_id if backup else "",
        owner.incarnation,
        backup.incarnation if backup else "",
        fresh_epoch=epoch,
    )
