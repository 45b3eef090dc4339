"""greengagetack.membership.plan: the next table and the pairs of new shards."""

from dataclasses import dataclass, replace

from greengagetack.membership.assignment import assign_keepers
from greengagetack.membership.table import (
    CellTable,
    KeeperAssignment,
    ShardPair,
    rendezvous_order,
)
from greengagetack.world import Endpoint, Fencing, Vm, VmState

__all__ = ["PlannedTable", "TablePlan", "choose_backup", "plan_pairs", "plan_table"]


@dataclass(frozen=True, slots=True)
class TablePlan:
    """What the next table is made from.

    `waiting_endpoint_ids` are endpoints whose former keeper may still trust its
    lease; those that ignore fencing numbers get no keeper yet.
    """

    cell: str
    revision: int
    lead_vm_id: str
    lead_epoch: int
    members: tuple[Vm, ...]
    endpoints: tuple[Endpoint, ...]
    leaving_endpoint_ids: tuple[str, ...]
    waiting_endpoint_ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class PlannedTable:
    """The next table, and the endpoints that have just lost their keeper."""

    table: CellTable
    vacated_endpoint_ids: tuple[str, ...]


def plan_table(before: CellTable, plan: TablePlan) -> PlannedTable:
    """Return the next table; it equals `before` if nothing is to change."""
    incarnations = {vm.vm_id: vm.incarnation for vm in before.members}
    restarted = {
        vm.vm_id
        for vm in plan.members
        if incarnations.get(vm.vm_id, vm.incarnation) != vm.incarnation
    }
    assigned = {keeper.endpoint_id: keeper for keeper in before.keepers}
    current = {
        keeper.endpoint_id: keeper.keeper_vm_id
        for keeper in before.keepers
        if keeper.keeper_vm_id not in restarted
    }
    chosen = assign_keepers(plan.endpoints, plan.members, current)
    keepers: list[KeeperAssignment] = []
    vacated: list[str] = []
    for endpoint in plan.endpoints:
        former = assigned.get(endpoint.endpoint_id)
        keeper = chosen.get(endpoint.endpoint_id, "")
        if former and former.keeper_vm_id == keeper and keeper not in restarted:
            keepers.append(former)
            continue
        if endpoint.fencing is Fencing.IGNORED:
            if former and former.keeper_vm_id:
                vacated.append(endpoint.endpoint_id)
                keeper = ""
            elif endpoint.endpoint_id in plan.waiting_endpoint_ids:
                keeper = ""
            if former and former.keeper_vm_id == keeper:
                keepers.append(former)
                continue
        keepers.append(KeeperAssignment(endpoint.endpoint_id, keeper, plan.revision))
    table = CellTable(
        cell=plan.cell,
        revision=plan.revision,
        lead_epoch=plan.lead_epoch,
        lead_vm_id=plan.lead_vm_id,
        members=plan.members,
        keepers=tuple(keepers),
        leaving_endpoint_ids=plan.leaving_endpoint_ids,
    )
    if replace(table, revision=before.revision) == before:
        return PlannedTable(before, ())
    return PlannedTable(table, tuple(vacated))


def plan_pairs(
    known: dict[int, ShardPair], members: tuple[Vm, ...], shard_count: int
) -> tuple[ShardPair, ...]:
    """Return pairs in their first epoch for the shards that have none yet."""
    live = tuple(vm for vm in members if vm.state is VmState.LIVE)
    if not live:
        return ()
    pairs: list[ShardPair] = []
    by_id = {vm.vm_id: vm for vm in live}
    for shard in range(shard_count):
        if shard in known:
            continue
        owner = by_id[rendezvous_order(f"shard-{shard}", tuple(by_id))[0]]
        backup = choose_backup(shard, owner, live)
        pairs.append(
            ShardPair(
                shard,
                1,
                owner.vm_id,
                backup.vm_id if backup else "",
                owner.incarnation,
                backup.incarnation if backup else "",
            )
        )
    return tuple(pairs)


def choose_backup(shard: int, owner: Vm, members: tuple[Vm, ...]) -> Vm | None:
    """Return the backup for an owner, in another availability zone if there is one."""
    others = {
        vm.vm_id: vm
        for vm in members
        if vm.state is VmState.LIVE and vm.vm_id != owner.vm_id
    }
    if not others:
        return None
    far = tuple(
        vm_id
        for vm_id, vm in others.items()
        if vm.availability_zone != owner.availability_zone
    )
    order = rendezvous_order(f"shard-{shard}", far or tuple(others))
    return others[order[0]]
