"""greengagetack.membership.plan: the next table and the pairs of new shards."""

import math
from collections import Counter
from dataclasses import dataclass, replace

from greengagetack.membership.assignment import assign_keepers
from greengagetack.membership.table import (
    CellTable,
    KeeperAssignment,
    ShardPair,
    rendezvous_order,
)
from greengagetack.world import Endpoint, Fencing, Vm, VmState

__all__ = [
    "PlannedTable",
    "TablePlan",
    "backup_order",
    "choose_backup",
    "ShardMove",
    "plan_move",
    "plan_pairs",
    "plan_table",
]


@dataclass(frozen=True, slots=True)
class TablePlan:
    """What the next table is made from.

    `endpoints` is None while the settings are not known; keepers then stay as
    they are. `waiting_endpoint_ids` are endpoints whose former keeper may still
    trust its lease; those that ignore fencing numbers get no keeper yet.
    """

    cell: str
    revision: int
    lead_vm_id: str
    lead_epoch: int
    members: tuple[Vm, ...]
    endpoints: tuple[Endpoint, ...] | None
    leaving_endpoint_ids: tuple[str, ...]
    waiting_endpoint_ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class PlannedTable:
    """The next table, and the endpoints that have just lost their keeper."""

    table: CellTable
    vacated_endpoint_ids: tuple[str, ...]


def plan_table(before: CellTable, plan: TablePlan) -> PlannedTable:
    """Return the next table; it equals `before` if nothing is to change."""
    keepers = before.keepers
    vacated: tuple[str, ...] = ()
    if plan.endpoints is not None:
        keepers, vacated = _plan_keepers(before, plan, plan.endpoints)
    table = CellTable(
        cell=plan.cell,
        revision=plan.revision,
        lead_epoch=plan.lead_epoch,
        lead_vm_id=plan.lead_vm_id,
        members=plan.members,
        keepers=keepers,
        leaving_endpoint_ids=plan.leaving_endpoint_ids,
    )
    if replace(table, revision=before.revision) == before:
        return PlannedTable(before, ())
    return PlannedTable(table, vacated)


def _plan_keepers(
    before: CellTable, plan: TablePlan, endpoints: tuple[Endpoint, ...]
) -> tuple[tuple[KeeperAssignment, ...], tuple[str, ...]]:
    """Return the next keepers and the endpoints that have just lost theirs."""
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
    chosen = assign_keepers(endpoints, plan.members, current)
    keepers: list[KeeperAssignment] = []
    vacated: list[str] = []
    for endpoint in endpoints:
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
    return tuple(keepers), tuple(vacated)


def plan_pairs(
    known: dict[int, ShardPair], members: tuple[Vm, ...], shard_count: int
) -> tuple[ShardPair, ...]:
    """Return pairs in their first epoch for the shards that have none yet.

    Owners and backups are spread evenly: each new shard goes to the members that
    own or back up least, by rendezvous order among those.
    """
    live = tuple(vm for vm in members if vm.state is VmState.LIVE)
    if not live:
        return ()
    owned = Counter(pair.owner_vm_id for pair in known.values())
    backed = Counter(pair.backup_vm_id for pair in known.values())
    by_id = {vm.vm_id: vm for vm in live}
    pairs: list[ShardPair] = []
    for shard in range(shard_count):
        if shard in known:
            continue
        order = rendezvous_order(f"shard-{shard}", tuple(by_id))
        owner = by_id[min(order, key=owned.__getitem__)]
        backup = _even_backup(shard, owner, live, backed)
        owned[owner.vm_id] += 1
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
        backed[pairs[-1].backup_vm_id] += 1
    return tuple(pairs)


def _even_backup(
    shard: int, owner: Vm, live: tuple[Vm, ...], backed: Counter[str]
) -> Vm | None:
    """Return the backup that backs up least, in another zone if there is one."""
    by_id = {vm.vm_id: vm for vm in live}
    order = [by_id[name] for name in backup_order(shard, owner, live)]
    far = [vm for vm in order if vm.availability_zone != owner.availability_zone]
    candidates = far or order
    if not candidates:
        return None
    return min(candidates, key=lambda vm: backed[vm.vm_id])


def choose_backup(shard: int, owner: Vm, members: tuple[Vm, ...]) -> Vm | None:
    """Return the best backup for an owner, None if there is no other member."""
    order = backup_order(shard, owner, members)
    by_id = {vm.vm_id: vm for vm in members}
    return by_id[order[0]] if order else None


def backup_order(shard: int, owner: Vm, members: tuple[Vm, ...]) -> tuple[str, ...]:
    """Return possible backups, those in other availability zones first."""
    near: list[str] = []
    far: list[str] = []
    for vm in members:
        if vm.state is not VmState.LIVE or vm.vm_id == owner.vm_id:
            continue
        same = vm.availability_zone == owner.availability_zone
        (near if same else far).append(vm.vm_id)
    key = f"shard-{shard}"
    return (*rendezvous_order(key, tuple(far)), *rendezvous_order(key, tuple(near)))


@dataclass(frozen=True, slots=True)
class ShardMove:
    """A shard and the VM that is to own it."""

    shard: int
    to_vm_id: str


def plan_move(
    pairs: dict[int, ShardPair], live: tuple[Vm, ...], own: set[int]
) -> ShardMove | None:
    """Return a shard to give away, None if this VM owns no more than its share.

    The share is the number of shards over the number of live members, rounded
    up. The receiver is the member that owns least, and less than its share by
    more than the move would change.
    """
    names = tuple(vm.vm_id for vm in live)
    if not names or not own:
        return None
    owned = Counter(pair.owner_vm_id for pair in pairs.values())
    share = math.ceil(len(pairs) / len(names))
    if len(own) <= share:
        return None
    least = min(owned[name] for name in names)
    if least + 1 >= len(own):
        return None
    shard = min(own)
    poorest = tuple(name for name in names if owned[name] == least)
    return ShardMove(shard, rendezvous_order(f"shard-{shard}", poorest)[0])
