"""features.steps.shards_steps: owners, backups and their records."""

import asyncio
from collections import Counter
from contextlib import suppress

from behave import given, step, then, when
from behave.runner import Context

from features.steps.membership_steps import (
    cut_off,
    drain,
    inject_fault,
    reconnect,
    run,
    start_cell,
    until,
)
from features.support.cell import Cell, Member
from greengagetack.errors import OwnerUnavailable
from greengagetack.membership.shards import ShardRole
from greengagetack.membership.table import ShardPair
from greengagetack.world import Fencing

PUT_INTERVAL_S = 0.005


def newest_pair(cell: Cell, shard: int) -> ShardPair:
    known = [m.directory.pair(shard) for m in cell.members.values()]
    pairs = [pair for pair in known if pair is not None]
    return max(pairs, key=lambda pair: pair.epoch, default=ShardPair(shard, 0, ""))


def owner_of(cell: Cell, shard: int) -> Member:
    return cell.members[newest_pair(cell, shard).owner_vm_id]


def backup_of(cell: Cell, shard: int) -> Member:
    return cell.members[newest_pair(cell, shard).backup_vm_id]


def shards_of(cell: Cell) -> range:
    return range(cell.settings.fleet().shard_count)


def all_shards_active(cell: Cell) -> bool:
    """Whether each shard has one member that may act and a synchronized backup."""
    for shard in shards_of(cell):
        acting = [m for m in cell.members.values() if m.shards.may_act(shard)]
        if len(acting) != 1:
            return False
        if len(cell.members) > 1 and not acting[0].shards.has_backup(shard):
            return False
    return True


@given("a cell of {count:d} members with {shards:d} active shards")
def step_acting_cell(context: Context, count: int, shards: int) -> None:
    start_cell(context, count, 2, Fencing.CHECKED, shards)
    context.confirmed = {}
    until(context, context.cell.ready)
    until(context, lambda: all_shards_active(context.cell))
    context.epoch_before = newest_pair(context.cell, 0).epoch


async def put_record(context: Context, shard: int, number: int) -> None:
    key = f"key-{shard}-{number}"
    value = f"value-{number}".encode()
    await owner_of(context.cell, shard).shards.put(
        shard, "call", key, value, need_backup=True
    )
    context.confirmed[(shard, key)] = value


@when("each shard's owner puts {count:d} records that need the backup")
def step_put(context: Context, count: int) -> None:
    async def put_all() -> None:
        await asyncio.gather(
            *(
                put_record(context, shard, number)
                for shard in shards_of(context.cell)
                for number in range(count)
            )
        )

    run(context, put_all())


def has_confirmed_records(context: Context, holder: object) -> bool:
    for (shard, key), value in context.confirmed.items():
        pair = newest_pair(context.cell, shard)
        vm_id = pair.owner_vm_id if holder == "owner" else pair.backup_vm_id
        member = context.cell.members.get(vm_id)
        if member is None or member.shards.get(shard, "call", key) != value:
            return False
    return bool(context.confirmed)


@then("each shard's backup has all confirmed records")
def step_backup_has(context: Context) -> None:
    until(context, lambda: has_confirmed_records(context, "backup"))


@then("each shard's owner has all confirmed records")
def step_owner_has(context: Context) -> None:
    assert has_confirmed_records(context, "owner")


@when("the owner of shard 0 is {silent} until another member takes over")
def step_owner_silent(context: Context, silent: str) -> None:
    cell = context.cell
    owner = owner_of(cell, 0)
    if silent == "cut off":
        cut_off(cell, owner)
    else:
        assert silent == "frozen", silent
        owner.freeze()
    until(context, lambda: newest_pair(cell, 0).epoch > context.epoch_before)
    reconnect(cell)
    owner.resume()


@when("the owner of shard 0 is stopped: {fault}")
def step_owner_fails(context: Context, fault: str) -> None:
    run(context, inject_fault(context, owner_of(context.cell, 0), fault))


@when("the backup of shard 0 is {fault}")
def step_backup_fails(context: Context, fault: str) -> None:
    run(context, inject_fault(context, backup_of(context.cell, 0), fault))


@when("records are put continuously while the owner of shard 0 is killed")
def step_put_while(context: Context) -> None:
    async def put_continuously(shard: int) -> None:
        number = 1_000
        while True:
            number += 1
            with suppress(OwnerUnavailable, KeyError):
                await put_record(context, shard, number)
            await asyncio.sleep(PUT_INTERVAL_S)

    async def put_while() -> None:
        tasks = [
            asyncio.create_task(put_continuously(s)) for s in shards_of(context.cell)
        ]
        await asyncio.sleep(0.2)
        await context.cell.crash(owner_of(context.cell, 0).vm_id)
        await asyncio.sleep(4 * context.cell.timings.observer_s)
        for task in tasks:
            task.cancel()

    run(context, put_while())


@step("all shards are active again and shard 0 is in a later epoch")
def step_act_later(context: Context) -> None:
    def later() -> bool:
        cell = context.cell
        return newest_pair(cell, 0).epoch > context.epoch_before and all_shards_active(
            cell
        )

    until(context, later)


@step("all shards are active again")
def step_act_again(context: Context) -> None:
    until(context, lambda: context.cell.ready() and all_shards_active(context.cell))


@then("no shard began an epoch without all records")
def step_not_fresh(context: Context) -> None:
    for shard in shards_of(context.cell):
        assert newest_pair(context.cell, shard).fresh_epoch == 0


@then("the new epoch of shard 0 is marked as begun without all records")
def step_fresh(context: Context) -> None:
    pair = newest_pair(context.cell, 0)
    assert pair.fresh_epoch > context.epoch_before
    assert owner_of(context.cell, 0).shards.may_lack_records(0)


@when("the platform is down for 4 leases")
def step_outage(context: Context) -> None:
    cell = context.cell
    cell.platform.down = True
    context.always_active = True

    async def watch() -> None:
        end_s = asyncio.get_running_loop().time() + 4 * cell.timings.lease_s
        while asyncio.get_running_loop().time() < end_s:
            context.always_active &= all_shards_active(cell)
            await asyncio.sleep(0.02)

    run(context, watch())


@then("each shard was active all the time")
def step_acted(context: Context) -> None:
    assert context.always_active


@when("the platform is down and the owner of shard 0 is killed")
def step_outage_kill(context: Context) -> None:
    context.cell.platform.down = True
    context.backup = backup_of(context.cell, 0)
    run(context, context.cell.crash(owner_of(context.cell, 0).vm_id))


@then("the backup of shard 0 eventually acts for jobs but not for exclusive duties")
def step_jobs(context: Context) -> None:
    shards = context.backup.shards
    until(context, lambda: shards.runs_jobs(0))
    assert shards.role(0) is ShardRole.OWNER
    run(context, shards.put(0, "job", "job-1", b"progress", need_backup=False))
    assert shards.get(0, "job", "job-1") == b"progress"
    run(context, asyncio.sleep(2 * context.cell.timings.observer_s))
    assert not shards.may_act(0)


@then("a record of shard 0 that needs the backup is refused with a retry delay")
def step_refused(context: Context) -> None:
    try:
        run(context, context.backup.shards.put(0, "call", "k", b"v", need_backup=True))
    except OwnerUnavailable as error:
        assert error.retry_after_s
        assert context.backup.shards.get(0, "call", "k") is None
        return
    raise AssertionError("the record was accepted")


@then("all shards are active again once the platform is back")
def step_return(context: Context) -> None:
    context.cell.platform.down = False
    context.cell.list_vms()
    until(context, lambda: all_shards_active(context.cell))


@when("the platform is down and the owner of shard 0 is silent for 2 leases")
def step_silent(context: Context) -> None:
    context.cell.platform.down = True
    context.owner = owner_of(context.cell, 0)
    context.backup = backup_of(context.cell, 0)
    context.owner.freeze()
    run(context, asyncio.sleep(2 * context.cell.timings.lease_s))


@when("the backup of shard 0 puts a job record meanwhile")
def step_job_meanwhile(context: Context) -> None:
    shards = context.backup.shards
    run(context, shards.put(0, "job", "job-1", b"progress", need_backup=False))


@then("the owner of shard 0 gets the job record when it is back")
def step_job_back(context: Context) -> None:
    context.owner.resume()
    until(context, lambda: context.owner.shards.get(0, "job", "job-1") == b"progress")
    until(context, lambda: all_shards_active(context.cell))
    assert context.backup.shards.get(0, "job", "job-1") == b"progress"
    assert context.backup.shards.role(0) is ShardRole.BACKUP


async def kill_pair(cell: Cell) -> None:
    owner, backup = owner_of(cell, 0), backup_of(cell, 0)
    await cell.crash(owner.vm_id)
    await cell.crash(backup.vm_id)


@when("owner and backup of shard 0 are both killed")
def step_kill_both(context: Context) -> None:
    run(context, kill_pair(context.cell))
    context.cell.list_vms()


@when("owner and backup of shard 0 are both killed but stay in the VM list")
def step_kill_both_listed(context: Context) -> None:
    run(context, kill_pair(context.cell))


@then("no member acts for shard 0 and its epoch is unchanged")
def step_stays(context: Context) -> None:
    run(context, asyncio.sleep(4 * context.cell.timings.observer_s))
    assert newest_pair(context.cell, 0).epoch == context.epoch_before
    assert not any(m.shards.may_act(0) for m in context.cell.members.values())


async def restart(cell: Cell, vm_ids: list[str]) -> None:
    for vm_id in vm_ids:
        await cell.crash(vm_id)
    for vm_id in vm_ids:
        await cell.start(vm_id)


@when("owner and backup of shard 0 both restart")
def step_restart_both(context: Context) -> None:
    pair = newest_pair(context.cell, 0)
    run(context, restart(context.cell, [pair.owner_vm_id, pair.backup_vm_id]))


@when("the only member restarts")
def step_restart_only(context: Context) -> None:
    run(context, restart(context.cell, ["vm0"]))


@when("{count:d} members join the cell")
def step_join(context: Context, count: int) -> None:
    async def join() -> None:
        first = len(context.cell.members)
        for number in range(first, first + count):
            await context.cell.start(f"vm{number}")

    run(context, join())


@when("{count:d} members drain and leave the cell")
def step_leave(context: Context, count: int) -> None:
    async def leave() -> None:
        names = sorted(context.cell.members)[:count]
        await asyncio.gather(
            *(drain(context.cell, context.cell.members[name]) for name in names)
        )

    run(context, leave())


@when("the owner of shard 0 drains and the backup too once the epoch is sealed")
def step_drain_both(context: Context) -> None:
    cell = context.cell
    owner, backup = owner_of(cell, 0), backup_of(cell, 0)
    epoch = newest_pair(cell, 0).epoch

    async def drain_both() -> None:
        first = asyncio.create_task(drain(cell, owner))
        await cell.until(lambda: owner.shards.held_promises.is_sealed(0, epoch))
        await asyncio.gather(first, drain(cell, backup))

    run(context, drain_both())


@then("eventually no member owns more than {most:d} shards")
def step_share(context: Context, most: int) -> None:
    def shared() -> bool:
        pairs = [newest_pair(context.cell, shard) for shard in shards_of(context.cell)]
        return max(Counter(pair.owner_vm_id for pair in pairs).values()) <= most

    until(context, shared)
