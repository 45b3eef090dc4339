"""greengagetack.membership.pair_change: why and how a shard's pair changes."""

import enum
from dataclasses import replace

from transitions import Machine

from greengagetack.leases.decisions import next_pair
from greengagetack.membership.plan import backup_order
from greengagetack.membership.table import ShardPair
from greengagetack.world import Vm, VmState

__all__ = ["ChangeReason", "PairChange", "is_usable", "successor"]


class ChangeReason(enum.StrEnum):
    """Why one of a pair changes it."""

    NEW_BACKUP = "new_backup"
    HAND_OVER = "hand_over"
    TAKE_OVER = "take_over"


_MACHINE = Machine(
    model=None,
    states=["wanted", "sealed", "waited", "written"],
    initial="wanted",
    transitions=[
        {"trigger": "seal", "source": "wanted", "dest": "sealed"},
        {"trigger": "wait_out", "source": "sealed", "dest": "waited"},
        {"trigger": "write", "source": "waited", "dest": "written"},
    ],
    auto_transitions=False,
)


class PairChange:
    """One change of a pair: sealed, then waited out, and only then written.

    `backup_vm_id` is the wanted new backup, empty for the best one.
    """

    state: str

    def __init__(
        self, pair: ShardPair, reason: ChangeReason, backup_vm_id: str = ""
    ) -> None:
        self.pair = pair
        self.reason = reason
        self.backup_vm_id = backup_vm_id
        _MACHINE.add_model(self)

    def advance(self, trigger: str) -> None:
        """Go on to the next state.

        Raises
        ------
        transitions.MachineError
            If the change is not in the state before.
        """
        self.trigger(trigger)  # type: ignore[attr-defined]

    def forget(self) -> None:
        """Take this change out of the shared machine."""
        _MACHINE.remove_model(self)


def successor(
    pair: ShardPair, reason: ChangeReason, usable: tuple[Vm, ...], complete: bool
) -> ShardPair | None:
    """Return the pair after `pair`, None if nobody could serve in it.

    Parameters
    ----------
    pair : ShardPair
        The pair that one of its two changes.
    reason : ChangeReason
        Why it changes.
    usable : tuple of Vm
        Members that are not suspected.
    complete : bool
        Whether the next owner surely has all records of this epoch.
    """
    by_id = {vm.vm_id: vm for vm in usable}
    owner_id = pair.owner_vm_id
    if reason is not ChangeReason.NEW_BACKUP:
        owner_id = pair.backup_vm_id
    owner = by_id.get(owner_id)
    if owner is None:
        return None
    left = pair.owner_vm_id if owner_id == pair.backup_vm_id else ""
    order = backup_order(pair.shard, owner, usable)
    names = [owner_id, *(name for name in order if name != left)]
    new = next_pair(pair, tuple(names))
    if new is None:
        return None
    backup = by_id.get(new.backup_vm_id)
    if backup is None and left in order:
        # The former owner's VM, started anew, is better than no backup.
        backup = by_id[left]
    epoch = pair.epoch + 1
    return replace(
        new,
        owner_incarnation=owner.incarnation,
        backup_vm_id=backup.vm_id if backup else "",
        backup_incarnation=backup.incarnation if backup else "",
        fresh_epoch=pair.fresh_epoch if complete else epoch,
    )


def is_usable(vm: Vm | None, incarnation: str) -> bool:
    """Whether a member still is the process of that incarnation and stays."""
    return vm is not None and vm.incarnation == incarnation and vm.state is VmState.LIVE
