"""features.steps.membership_steps: members, lead and table of a cell."""

import asyncio
from collections import Counter
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from features.support.cell import Cell, make_endpoints
from greengagetack.world import Fencing


def start_cell(context: Context, count: int, endpoints: int, fencing: Fencing) -> None:
    loop = asyncio.new_event_loop()
    context.loop = loop
    context.cell = Cell()
    fleet = replace(
        context.cell.settings.fleet(), endpoints=make_endpoints(endpoints, fencing)
    )
    context.cell.settings.set_fleet(fleet)

    async def start() -> None:
        for number in range(count):
            await context.cell.start(f"vm{number}")

    loop.run_until_complete(start())

    def clean_up() -> None:
        loop.run_until_complete(context.cell.close())
        loop.run_until_complete(asyncio.sleep(0.05))
        loop.close()

    context.add_cleanup(clean_up)


@given("a cell of {count:d} members with {endpoints:d} endpoints")
def step_cell(context: Context, count: int, endpoints: int) -> None:
    start_cell(context, count, endpoints, Fencing.CHECKED)


@when("the cell is ready")
def step_ready(context: Context) -> None:
    context.loop.run_until_complete(context.cell.until(context.cell.ready))


@then("the cell has exactly one lead")
def step_one_lead(context: Context) -> None:
    assert len(context.cell.leads()) == 1


@then("each endpoint of the cell has a live keeper")
def step_keepers(context: Context) -> None:
    for member in context.cell.members.values():
        for endpoint in context.cell.settings.fleet().endpoints:
            first = member.directory.keepers_for(endpoint.endpoint_id)[0]
            assert first in context.cell.members, first


@then("no member keeps more than {most:d} endpoints")
def step_balance(context: Context, most: int) -> None:
    table = context.cell.leads()[0].directory.table()
    kept = Counter(keeper.keeper_vm_id for keeper in table.keepers)
    assert max(kept.values()) <= most, kept


@then("each shard has an owner and {backups}")
def step_pairs(context: Context, backups: str) -> None:
    directory = context.cell.leads()[0].directory
    zones = {vm.vm_id: vm.availability_zone for vm in directory.table().members}
    for shard in range(context.cell.settings.fleet().shard_count):
        pair = directory.pair(shard)
        assert pair is not None
        if backups == "no backup":
            assert pair.backup_vm_id == ""
            continue
        assert zones[pair.owner_vm_id] != zones[pair.backup_vm_id], pair
