"""greengagetack.membership.table_change: the difference between two tables."""

from dataclasses import dataclass, replace

from greengagetack.membership.table import CellTable, KeeperAssignment
from greengagetack.peers.codec import message
from greengagetack.world import Vm

__all__ = ["TableChange", "apply_change", "table_change"]


@message("table-change")
@dataclass(frozen=True, slots=True)
class TableChange:
    """The difference between the tables of `base_revision` and `revision`."""

    base_revision: int
    revision: int
    lead_epoch: int
    lead_vm_id: str
    members: tuple[Vm, ...]
    removed_vm_ids: tuple[str, ...]
    keepers: tuple[KeeperAssignment, ...]
    removed_endpoint_ids: tuple[str, ...]
    leaving_endpoint_ids: tuple[str, ...]


def table_change(old: CellTable, new: CellTable) -> TableChange:
    """Return the difference from `old` to `new`."""
    old_members = {vm.vm_id: vm for vm in old.members}
    old_keepers = {keeper.endpoint_id: keeper for keeper in old.keepers}
    new_members = {vm.vm_id for vm in new.members}
    new_keepers = {keeper.endpoint_id for keeper in new.keepers}
    return TableChange(
        base_revision=old.revision,
        revision=new.revision,
        lead_epoch=new.lead_epoch,
        lead_vm_id=new.lead_vm_id,
        members=tuple(vm for vm in new.members if old_members.get(vm.vm_id) != vm),
        removed_vm_ids=tuple(sorted(set(old_members) - new_members)),
        keepers=tuple(
            keeper
            for keeper in new.keepers
            if old_keepers.get(keeper.endpoint_id) != keeper
        ),
        removed_endpoint_ids=tuple(sorted(set(old_keepers) - new_keepers)),
        leaving_endpoint_ids=new.leaving_endpoint_ids,
    )


def apply_change(table: CellTable, change: TableChange) -> CellTable | None:
    """Return the changed table, None if the change has another base revision."""
    if table.revision != change.base_revision:
        return None
    members = {vm.vm_id: vm for vm in table.members}
    members.update({vm.vm_id: vm for vm in change.members})
    keepers = {keeper.endpoint_id: keeper for keeper in table.keepers}
    keepers.update({keeper.endpoint_id: keeper for keeper in change.keepers})
    for vm_id in change.removed_vm_ids:
        members.pop(vm_id, None)
    for endpoint_id in change.removed_endpoint_ids:
        keepers.pop(endpoint_id, None)
    return replace(
        table,
        revision=change.revision,
        lead_epoch=change.lead_epoch,
        lead_vm_id=change.lead_vm_id,
        members=tuple(members[vm_id] for vm_id in sorted(members)),
        keepers=tuple(keepers.values()),
        leaving_endpoint_ids=change.leaving_endpoint_ids,
    )
