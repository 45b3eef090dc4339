"""greengagetack.membership.pair_change: the states of a change of a shard's pair."""

import enum
from dataclasses import replace

from transitions import Machine

from greengagetack.leases.decisions import next_pair
from greengagetack.membership.plan import backup_order
from greengagetack.membership.table import ShardPair
from greengagetack.world import Vm, VmState

__all__ = ["ChangeReason", "PairChange", "is_usable", "successor_pair"]


class ChangeReason(enum.StrEnum):
    """Why the owner or the backup changes their pair."""

    NEW_BACKUP = "new_backup"
    HAND_OVER = "hand_over"
    TAKE_OVER = "take_over"


_STATE_MACHINE = Machine(
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
    """A change of a pair: seal, wait until promises have ended, then write.

    `backup_vm_id` is the requested new backup, empty to choose the best one.
    """

    state: str

    def __init__(
        self, pair: ShardPair, reason: ChangeReason, backup_vm_id: str = ""
    ) -> None:
        self.pair = pair
        self.reason = reason
        self.backup_vm_id = backup_vm_id
        _STATE_MACHINE.add_model(self)

    def advance(self, trigger: str) -> None:
        """Move to the next state.

        Raises
        ------
        transitions.MachineError
            If the change is not in the trigger's source state.
        """
        self.trigger(trigger)  # type: ignore[attr-defined]

    def detach(self) -> None:
        """Remove this change from the shared state machine."""
        _STATE_MACHINE.remove_model(self)


def successor_pair(
    pair: ShardPair, reason: ChangeReason, usable: tuple[Vm, ...], complete: bool
) -> ShardPair | None:
    """Return the pair that follows `pair`, None if no member could own it.

    Parameters
    ----------
    pair : ShardPair
        The present pair.
    reason : ChangeReason
        Why it changes.
    usable : tuple of Vm
        Members that may serve in the next pair.
    complete : bool
        Whether the next owner certainly has all records of this epoch.
    """
    by_id = {vm.vm_id: vm for vm in usable}
    owner_id = pair.owner_vm_id
    if reason is not ChangeReason.NEW_BACKUP:
        owner_id = pair.backup_vm_id
    owner = by_id.get(owner_id)
    if owner is None:
        return None
    former_owner_id = pair.owner_vm_id if owner_id == pair.backup_vm_id else ""
    order = backup_order(pair.shard, owner, usable)
    candidates = [owner_id, *(name for name in order if name != former_owner_id)]
    new = next_pair(pair, tuple(candidates))
    if new is None:
        return None
    backup = by_id.get(new.backup_vm_id)
    if backup is None and former_owner_id in order:
        # A restarted former owner's VM is better than no backup.
        backup = by_id[former_owner_id]
    epoch = pair.epoch + 1
    return replace(
        new,
        owner_incarnation=owner.incarnation,
        backup_vm_id=backup.vm_id if backup else "",
        backup_incarnation=backup.incarnation if backup else "",
        fresh_epoch=pair.fresh_epoch if complete else epoch,
    )


def is_usable(vm: Vm | None, incarnation: str) -> bool:
    """Whether a member has this incarnation and is not leaving."""
    return vm is not None and vm.incarnation == incarnation and vm.state is VmState.LIVE
