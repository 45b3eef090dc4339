"""features.steps.membership_steps: members, lead and table of a cell."""

import asyncio
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

from behave import given, step, then, when
from behave.runner import Context

from features.support.cell import Cell, Member, make_endpoints
from greengagetack.objects.base import ListedVm
from greengagetack.world import Fencing, VmState

LEAVING_ENDPOINT_ID = "e1"
PROPAGATION_LIMIT_S = 3.0


def run(context: Context, work: Coroutine) -> Any:
    return context.loop.run_until_complete(work)


def until(context: Context, condition: Any) -> None:
    run(context, context.cell.until(condition))


def start_cell(
    context: Context,
    count: int,
    endpoints: int,
    fencing: Fencing,
    shards: int = 4,
    never_lead: frozenset[str] = frozenset(),
) -> None:
    context.loop = asyncio.new_event_loop()
    context.cell = Cell(never_lead=never_lead)
    fleet = replace(
        context.cell.settings.fleet(),
        endpoints=make_endpoints(endpoints, fencing),
        shard_count=shards,
    )
    context.cell.settings.set_fleet(fleet)

    async def start() -> None:
        for number in range(count):
            await context.cell.start(f"vm{number}")

    run(context, start())

    def clean_up() -> None:
        run(context, context.cell.close())
        run(context, asyncio.sleep(0.02))
        context.loop.close()

    context.add_cleanup(clean_up)


@given("a cell of {count:d} members with {endpoints:d} endpoints")
def step_cell(context: Context, count: int, endpoints: int) -> None:
    start_cell(context, count, endpoints, Fencing.CHECKED)


@given(
    "a cell of {count:d} members with {endpoints:d} endpoints "
    "where only the last may lead"
)
def step_one_candidate(context: Context, count: int, endpoints: int) -> None:
    followers = frozenset(f"vm{number}" for number in range(count - 1))
    start_cell(context, count, endpoints, Fencing.CHECKED, never_lead=followers)


@given(
    "a cell of {count:d} members with {endpoints:d} endpoints "
    "that ignore fencing numbers"
)
def step_unfenced_cell(context: Context, count: int, endpoints: int) -> None:
    start_cell(context, count, endpoints, Fencing.IGNORED)


@when("the cell is ready")
def step_ready(context: Context) -> None:
    until(context, context.cell.ready)
    context.former_lead = context.cell.leads()[0]
    context.former_table = context.former_lead.directory.table()


@then("the cell is ready again")
def step_ready_again(context: Context) -> None:
    run(context, asyncio.sleep(context.cell.timings.observer_s))
    until(context, context.cell.ready)


@then("no exclusive role in the cell had two holders at once")
def step_no_violation(context: Context) -> None:
    assert not context.cell.violations, context.cell.violations[:5]


@then("the cell has exactly one lead")
def step_one_lead(context: Context) -> None:
    assert len(context.cell.leads()) == 1


@then("each endpoint of the cell has a live keeper")
def step_keepers(context: Context) -> None:
    def all_kept() -> bool:
        for member in context.cell.members.values():
            for endpoint in context.cell.settings.fleet().endpoints:
                keepers = member.directory.keepers_for(endpoint.endpoint_id)
                if not keepers or keepers[0] not in context.cell.members:
                    return False
        return True

    until(context, all_kept)


@then("no member keeps more than {most:d} endpoints")
def step_balance(context: Context, most: int) -> None:
    table = context.cell.leads()[0].directory.table()
    kept = Counter(keeper.keeper_vm_id for keeper in table.keepers)
    assert max(kept.values()) <= most, kept


def has_complete_pairs(cell: Cell, across_zones: bool) -> bool:
    """Whether each shard has a running owner and backup, across zones if required."""
    leads = cell.leads()
    if not leads:
        return False
    directory = leads[0].directory
    zones = {vm.vm_id: vm.availability_zone for vm in directory.table().members}
    for shard in range(cell.settings.fleet().shard_count):
        pair = directory.pair(shard)
        if pair is None or pair.owner_vm_id not in cell.members:
            return False
        if pair.backup_vm_id not in cell.members:
            return False
        if across_zones and zones[pair.owner_vm_id] == zones[pair.backup_vm_id]:
            return False
    return True


@then("each shard has an owner and no backup")
def step_pairs_alone(context: Context) -> None:
    directory = context.cell.leads()[0].directory
    for shard in range(context.cell.settings.fleet().shard_count):
        assert directory.pair(shard).backup_vm_id == ""


@then("each shard has an owner and a backup in another zone")
def step_pairs(context: Context) -> None:
    until(context, lambda: has_complete_pairs(context.cell, across_zones=True))


async def freeze_past_lease(cell: Cell, member: Member) -> None:
    member.freeze()
    await asyncio.sleep(3 * cell.timings.observer_s)
    member.resume()


def cut_off(cell: Cell, member: Member) -> None:
    """Disconnect a member from all other members and from the platform."""
    others = frozenset(cell.members) - {member.vm_id}
    member.peers.cut = others
    member.port.down = True
    for vm_id in others:
        cell.members[vm_id].peers.cut = frozenset({member.vm_id})


def reconnect(cell: Cell) -> None:
    """Reconnect all members to each other and to the platform."""
    for member in cell.members.values():
        member.peers.cut = frozenset()
        member.port.down = False


async def inject_fault(context: Context, member: Member, fault: str) -> None:
    cell = context.cell
    if fault in ("killed", "killed without replacement"):
        await cell.crash(member.vm_id)
    elif fault == "frozen past its lease":
        await freeze_past_lease(cell, member)
    elif fault == "frozen while it writes":
        cell.platform.delay_s = cell.timings.renew_s / 2
        await asyncio.sleep(cell.timings.renew_s)
        await freeze_past_lease(cell, member)
        cell.platform.delay_s = 0.0
    elif fault == "cut off from the platform":
        member.port.down = True
        await asyncio.sleep(3 * cell.timings.observer_s)
        member.port.down = False
    elif fault == "cut off from all members":
        cut_off(cell, member)
        await asyncio.sleep(3 * cell.timings.observer_s)
        reconnect(cell)
    elif fault == "drained":
        await drain(cell, member)
    else:
        raise AssertionError(fault)


async def drain(cell: Cell, member: Member) -> None:
    await asyncio.gather(member.directory.drain(), member.shards.drain())
    await cell.crash(member.vm_id)
    cell.list_vms()


@when("the cell's lead is {fault}")
def step_lead_fails(context: Context, fault: str) -> None:
    run(context, inject_fault(context, context.former_lead, fault))


@then("another member leads the cell with a higher epoch")
def step_other_lead(context: Context) -> None:
    def changed() -> bool:
        leads = context.cell.leads()
        if len(leads) != 1 or leads[0] is context.former_lead:
            return False
        return leads[0].directory.view.lead.epoch > context.former_table.lead_epoch

    until(context, changed)
    until(context, context.cell.ready)


@then("a former lead that still runs follows the new one")
def step_former_knows(context: Context) -> None:
    if context.former_lead.vm_id not in context.cell.members:
        return
    new = context.cell.leads()[0].vm_id
    until(context, lambda: context.former_lead.directory.view.lead.vm_id == new)
    assert not context.former_lead.directory.is_lead()


@when("{count:d} writes of the lead take effect without an answer")
def step_lost_writes(context: Context, count: int) -> None:
    context.former_lead.port.unknown_writes = count
    until(context, lambda: context.former_lead.port.unknown_writes == 0)


@when("a member other than the lead restarts")
def step_restart(context: Context) -> None:
    lead = context.former_lead.vm_id
    vm_id = next(name for name in context.cell.members if name != lead)
    context.restarted = vm_id

    async def restart() -> None:
        await context.cell.crash(vm_id)
        await context.cell.start(vm_id)

    run(context, restart())


@then("the endpoints of the restarted member have higher fencing numbers")
def step_higher_numbers(context: Context) -> None:
    before = context.former_table.keepers
    now = {
        keeper.endpoint_id: keeper.fencing_number
        for keeper in context.cell.leads()[0].directory.table().keepers
    }
    moved = [k for k in before if k.keeper_vm_id == context.restarted]
    assert moved
    for keeper in moved:
        assert now[keeper.endpoint_id] > keeper.fencing_number, keeper


@when("the platform of the cell is {state}")
def step_platform_state(context: Context, state: str) -> None:
    context.cell.platform.down = state == "down"
    if state == "down":
        run(context, asyncio.sleep(context.cell.timings.lease_s))


def first_non_lead(context: Context) -> Member:
    lead = context.former_lead.vm_id
    return next(m for name, m in context.cell.members.items() if name != lead)


@step("{source} reports that an endpoint is leaving")
def step_leaves(context: Context, source: str) -> None:
    member = first_non_lead(context)
    context.reported_s = time.monotonic()
    if source == "any member":

        async def report() -> None:
            member.directory.report_leaving(LEAVING_ENDPOINT_ID)

        run(context, report())
        return
    if source == "a member cut off":
        lead = context.former_lead.vm_id
        member.peers.cut = frozenset(context.cell.members) - {member.vm_id, lead}

        async def report_cut() -> None:
            member.directory.report_leaving(LEAVING_ENDPOINT_ID)

        run(context, report_cut())
        return
    host = ListedVm("host1", "zone-1", VmState.LEAVING)
    context.cell.platform.listed_vms += (host,)


@step("all members list the endpoint as leaving within 3 s")
def step_known_leaving(context: Context) -> None:
    def known() -> bool:
        return all(
            member.directory.is_leaving(LEAVING_ENDPOINT_ID)
            for member in context.cell.members.values()
        )

    until(context, known)
    assert time.monotonic() - context.reported_s < PROPAGATION_LIMIT_S
    for member in context.cell.members.values():
        serving = member.directory.endpoints_serving("model")
        assert LEAVING_ENDPOINT_ID not in {e.endpoint_id for e in serving}


@when("another member reports that the endpoint is back")
def step_back(context: Context) -> None:
    async def report() -> None:
        context.former_lead.directory.report_returned(LEAVING_ENDPOINT_ID)

    context.reported_s = time.monotonic()
    run(context, report())


@then("all members list the endpoint as available within 3 s")
def step_known_back(context: Context) -> None:
    def known() -> bool:
        return not any(
            member.directory.is_leaving(LEAVING_ENDPOINT_ID)
            for member in context.cell.members.values()
        )

    until(context, known)
    assert time.monotonic() - context.reported_s < PROPAGATION_LIMIT_S


def all_endpoints_leased(cell: Cell) -> bool:
    """Whether each endpoint has a keeper that holds a lease."""
    for endpoint in cell.settings.fleet().endpoints:
        name = endpoint.endpoint_id
        if not any(m.directory.holds_keeper_lease(name) for m in cell.members.values()):
            return False
    return True


@when("every endpoint has a keeper with a lease")
def step_leased(context: Context) -> None:
    until(context, lambda: all_endpoints_leased(context.cell))
    context.former_table = context.cell.leads()[0].directory.table()


@then("eventually no member leads the cell or holds a keeper's lease")
def step_nobody(context: Context) -> None:
    def nobody() -> bool:
        members = context.cell.members.values()
        names = [e.endpoint_id for e in context.cell.settings.fleet().endpoints]
        return not context.cell.leads() and not any(
            m.directory.holds_keeper_lease(name) for m in members for name in names
        )

    until(context, nobody)


@then("the table of the cell is unchanged")
def step_same_table(context: Context) -> None:
    for member in context.cell.members.values():
        assert member.directory.table() == context.former_table


@then("the cell has a lead and keepers with leases once the platform is back")
def step_platform_back(context: Context) -> None:
    context.cell.platform.down = False
    until(context, context.cell.ready)
    until(context, lambda: all_endpoints_leased(context.cell))


@then("the crashed member is the last choice of keeper for its endpoints")
def step_last_choice(context: Context) -> None:
    crashed_vm_id = context.former_lead.vm_id
    kept = [
        keeper.endpoint_id
        for keeper in context.former_table.keepers
        if keeper.keeper_vm_id == crashed_vm_id
    ]
    assert kept

    def last() -> bool:
        return all(
            member.directory.keepers_for(name)[-1] == crashed_vm_id
            and len(member.directory.keepers_for(name)) > 1
            for member in context.cell.members.values()
            for name in kept
        )

    until(context, last)


@when("a keeper other than the lead is {fault}")
def step_keeper_fails(context: Context, fault: str) -> None:
    context.failed_keeper = first_non_lead(context)
    run(context, inject_fault(context, context.failed_keeper, fault))


@then("every endpoint has a keeper with a lease again in a newer table")
def step_leased_again(context: Context) -> None:
    def moved() -> bool:
        if not all_endpoints_leased(context.cell):
            return False
        leads = context.cell.leads()
        return bool(leads) and (
            leads[0].directory.table().revision > context.former_table.revision
        )

    until(context, moved)


@when("a member other than the lead is {silent} until it is removed from the table")
def step_out_of_table(context: Context, silent: str) -> None:
    member = first_non_lead(context)
    if silent == "cut off":
        cut_off(context.cell, member)
    else:
        assert silent == "frozen", silent
        member.freeze()
    lead = context.former_lead.directory
    until(context, lambda: lead.view.member(member.vm_id) is None)
    reconnect(context.cell)
    member.resume()


@when("the VM list shows a member as leaving")
def step_member_leaving(context: Context) -> None:
    context.listed = first_non_lead(context).vm_id
    context.reported_s = time.monotonic()
    context.cell.platform.listed_vms = tuple(
        replace(vm, state=VmState.LEAVING) if vm.vm_id == context.listed else vm
        for vm in context.cell.platform.listed_vms
    )


@then("all members exclude the member from new work within 3 s")
def step_member_known(context: Context) -> None:
    def known() -> bool:
        return not any(
            vm.vm_id == context.listed
            for member in context.cell.members.values()
            for vm in member.directory.live_members()
        )

    until(context, known)
    assert time.monotonic() - context.reported_s < PROPAGATION_LIMIT_S


@then("the member keeps no endpoint any more")
def step_keeps_nothing(context: Context) -> None:
    def keeps_nothing() -> bool:
        keepers = context.former_lead.directory.table().keepers
        return context.listed not in {keeper.keeper_vm_id for keeper in keepers}

    until(context, keeps_nothing)


@when("the cell's lead was paused for {pause_s:g} s and runs its next step")
def step_lead_paused(context: Context, pause_s: float) -> None:
    (lead,) = context.cell.leads()
    lead_controller = lead.directory._lead_controller
    # After a pause, all times that the lead has stored lie further back by its length.
    lead_controller._last_step_s -= pause_s
    for member in lead_controller._members.values():
        member.last_seen_s -= pause_s
    run(context, lead_controller.step())
    context.cell_table = lead.directory.table()


@then("the cell's table still has {count:d} members")
def step_table_members(context: Context, count: int) -> None:
    members = context.cell_table.members
    assert len(members) == count, members
