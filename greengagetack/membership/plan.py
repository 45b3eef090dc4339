"""greengagetack.membership.plan: plans tables, pairs of new shards and moves."""

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
    "TableInputs",
    "backup_order",
    "choose_backup",
    "ShardMove",
    "plan_move",
    "plan_pairs",
    "plan_table",
]


@dataclass(frozen=True, slots=True)
class TableInputs:
    """Inputs for the next table.

    `endpoints` is None while the settings are not known; the keepers then stay
    unchanged. `waiting_endpoint_ids` are endpoints whose former keeper may still
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
    """The next table and the endpoints that lose their keeper in it."""

    table: CellTable
    vacated_endpoint_ids: tuple[str, ...]


def plan_table(before: CellTable, inputs: TableInputs) -> PlannedTable:
    """Return the next table, which is `before` itself if nothing changes."""
    keepers = before.keepers
    vacated: tuple[str, ...] = ()
    if inputs.endpoints is not None:
        keepers, vacated = _plan_keepers(before, inputs, inputs.endpoints)
    table = CellTable(
        cell=inputs.cell,
        revision=inputs.revision,
        lead_epoch=inputs.lead_epoch,
        lead_vm_id=inputs.lead_vm_id,
        members=inputs.members,
        keepers=keepers,
        leaving_endpoint_ids=inputs.leaving_endpoint_ids,
    )
    if replace(table, revision=before.revision) == before:
        return PlannedTable(before, ())
    return PlannedTable(table, vacated)


def _plan_keepers(
    before: CellTable, inputs: TableInputs, endpoints: tuple[Endpoint, ...]
) -> tuple[tuple[KeeperAssignment, ...], tuple[str, ...]]:
    """Return the next keepers and the endpoints that lose theirs."""
    incarnations = {vm.vm_id: vm.incarnation for vm in before.members}
    restarted = {
        vm.vm_id
        for vm in inputs.members
        if incarnations.get(vm.vm_id, vm.incarnation) != vm.incarnation
    }
    assigned = {keeper.endpoint_id: keeper for keeper in before.keepers}
    current = {
        keeper.endpoint_id: keeper.keeper_vm_id
        for keeper in before.keepers
        if keeper.keeper_vm_id not in restarted
    }
    chosen = assign_keepers(endpoints, inputs.members, current)
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
            elif endpoint.endpoint_id in inputs.waiting_endpoint_ids:
                keeper = ""
            if former and former.keeper_vm_id == keeper:
                keepers.append(former)
                continue
        keepers.append(KeeperAssignment(endpoint.endpoint_id, keeper, inputs.revision))
    return tuple(keepers), tuple(vacated)


def plan_pairs(
    known: dict[int, ShardPair], members: tuple[Vm, ...], shard_count: int
) -> tuple[ShardPair, ...]:
    """Return pairs in their first epoch for the shards that have none yet.

    Owners and backups are spread evenly: each new shard goes to the members that
    own or back up the fewest shards, with ties broken by rendezvous order.
    """
    live = tuple(vm for vm in members if vm.state is VmState.LIVE)
    if not live:
        return ()
    owned = Counter(pair.owner_vm_id for pair in known.values())
    backed_up = Counter(pair.backup_vm_id for pair in known.values())
    by_id = {vm.vm_id: vm for vm in live}
    pairs: list[ShardPair] = []
    for shard in range(shard_count):
        if shard in known:
            continue
        order = rendezvous_order(f"shard-{shard}", tuple(by_id))
        owner = by_id[min(order, key=owned.__getitem__)]
        backup = _least_loaded_backup(shard, owner, live, backed_up)
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
        backed_up[pairs[-1].backup_vm_id] += 1
    return tuple(pairs)


def _least_loaded_backup(
    shard: int, owner: Vm, live: tuple[Vm, ...], backed_up: Counter[str]
) -> Vm | None:
    """Return the backup with the fewest shards, from another zone if possible."""
    by_id = {vm.vm_id: vm for vm in live}
    order = [by_id[name] for name in backup_order(shard, owner, live)]
    other_zone = [vm for vm in order if vm.availability_zone != owner.availability_zone]
    candidates = other_zone or order
    if not candidates:
        return None
    return min(candidates, key=lambda vm: backed_up[vm.vm_id])


def choose_backup(shard: int, owner: Vm, members: tuple[Vm, ...]) -> Vm | None:
    """Return the best backup for an owner, None if there is no other member."""
    order = backup_order(shard, owner, members)
    by_id = {vm.vm_id: vm for vm in members}
    return by_id[order[0]] if order else None


def backup_order(shard: int, owner: Vm, members: tuple[Vm, ...]) -> tuple[str, ...]:
    """Return the possible backups, other availability zones first."""
    same_zone: list[str] = []
    other_zone: list[str] = []
    for vm in members:
        if vm.state is not VmState.LIVE or vm.vm_id == owner.vm_id:
            continue
        same = vm.availability_zone == owner.availability_zone
        (same_zone if same else other_zone).append(vm.vm_id)
    key = f"shard-{shard}"
    return (
        *rendezvous_order(key, tuple(other_zone)),
        *rendezvous_order(key, tuple(same_zone)),
    )


@dataclass(frozen=True, slots=True)
class ShardMove:
    """A shard to move and the VM that will own it."""

    shard: int
    to_vm_id: str


def plan_move(
    pairs: dict[int, ShardPair], live: tuple[Vm, ...], own_shards: set[int]
) -> ShardMove | None:
    """Return a shard to move away, None if this VM should keep all it owns.

    A share is the number of shards divided by the number of live members, rounded
    up. The receiver is a member that owns the fewest shards, at least two fewer than
    this VM.
    """
    vm_ids = tuple(vm.vm_id for vm in live)
    if not vm_ids or not own_shards:
        return None
    owned = Counter(pair.owner_vm_id for pair in pairs.values())
    share = math.ceil(len(pairs) / len(vm_ids))
    if len(own_shards) <= share:
        return None
    least = min(owned[name] for name in vm_ids)
    if least + 1 >= len(own_shards):
        return None
    shard = min(own_shards)
    least_loaded = tuple(name for name in vm_ids if owned[name] == least)
    return ShardMove(shard, rendezvous_order(f"shard-{shard}", least_loaded)[0])
