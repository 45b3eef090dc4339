"""features.steps.settings_steps: propagation of settings through a cell."""

import asyncio
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.support.settings_cell import SettingsCell, wait_until
from features.support.settings_documents import fleet_value
from greengagetack.membership.table import rendezvous_order
from greengagetack.peers.codec import MESSAGE_TYPES
from greengagetack.settings.messages import (
    PushSettings,
    SettingsConfirmed,
    SpreadSettings,
)
from greengagetack.settings.objects import stored_value
from standins.loops import BackgroundLoop

FLEET_OBJECT = "settings/fleet"


def run(context: Context, work: Any) -> Any:
    return context.loop.run(work)


def value_of(version: int) -> dict[str, Any]:
    return fleet_value(shard_count=version)


@given("a settings cell of {count:d} members")
def step_cell(context: Context, count: int) -> None:
    context.loop = BackgroundLoop()
    context.add_cleanup(context.loop.close)
    run(context, _start_cell(context, count))
    context.add_cleanup(lambda: run(context, context.cell.close()))


async def _start_cell(context: Context, count: int) -> None:
    context.cell = SettingsCell()
    await _write(context, 1)
    for index in range(count):
        await context.cell.start(f"v{index}")
    await _wait_for(context, 1)


async def _wait_for(context: Context, version: int) -> None:
    def all_applied() -> bool:
        members = context.cell.members.values()
        return all(
            member.store.ready and member.store.version("/fleet") == version
            for member in members
        )

    await wait_until(all_applied, context.cell.versions("/fleet"))


async def _write(context: Context, version: int) -> None:
    """Write successive versions to the platform, as another cell does."""
    while True:
        known = await context.cell.platform.read(FLEET_OBJECT)
        number = known.version if known else 0
        if number >= version:
            return
        value = stored_value(value_of(number + 1), "operator", 0.0, None)
        await context.cell.platform.write(FLEET_OBJECT, value, number)


@given("a member changes the fleet's settings to version {version:d}")
@when("a member changes the fleet's settings to version {version:d}")
def step_member_changes(context: Context, version: int) -> None:
    run(context, _member_changes(context, version))


async def _member_changes(context: Context, version: int) -> None:
    await _write(context, version)
    member = context.cell.members["v0"]
    pushed = PushSettings("/fleet", version, value_of(version), "operator")
    context.spread = await member.peers.request("v0", SpreadSettings(pushed, 1.5), 5.0)


@when("the platform changes the fleet's settings to version {version:d}")
def step_platform_changes(context: Context, version: int) -> None:
    run(context, _write(context, version))


@when("a dying member changes the fleet's settings to version {version:d}")
def step_dying_member(context: Context, version: int) -> None:
    run(context, _dying_member(context, version))


async def _dying_member(context: Context, version: int) -> None:
    """Push to the first watcher only, then stop the member."""
    cell = context.cell
    watcher = rendezvous_order("settings/watch", tuple(cell.members))[0]
    dying = next(vm_id for vm_id in cell.members if vm_id != watcher)
    pushed = PushSettings("/fleet", version, value_of(version), "operator")
    await cell.members[dying].peers.request(watcher, pushed)
    await _write(context, version)
    await cell.stop(dying)


@given("settings member {vm_id} confirms pushes without applying them")
def step_drops_pushes(context: Context, vm_id: str) -> None:
    role = context.cell.members[vm_id].role
    peers = context.cell.members[vm_id].peers

    async def confirm_only(sender: str, body: PushSettings) -> SettingsConfirmed:
        return SettingsConfirmed(body.path, body.version)

    assert role.name == "settings"
    peers.handle(PushSettings, confirm_only)


@given("settings member {vm_id} ignores newer versions")
def step_ignores_newer(context: Context, vm_id: str) -> None:
    context.cell.members[vm_id].store.offer = lambda offered: True


@given("settings member {vm_id} is stopped without being suspected")
def step_stopped(context: Context, vm_id: str) -> None:
    run(context, context.cell.stop(vm_id, suspect=False))


@given("the settings platform is {state}")
def step_platform_state(context: Context, state: str) -> None:
    context.cell.platform.down = state == "down"


@when("the settings platform recovers")
def step_platform_back(context: Context) -> None:
    context.cell.platform.down = False


@when("the settings platform recovers with version {version:d}")
def step_platform_back_with(context: Context, version: int) -> None:
    async def wait_and_write() -> None:
        await asyncio.sleep(0.5)
        context.cell.platform.down = False
        await _write(context, version)

    run(context, wait_and_write())


@when("settings member {vm_id} is restarted")
def step_restart(context: Context, vm_id: str) -> None:
    run(context, _restart(context, [vm_id]))


@when("all settings members are restarted")
def step_restart_all(context: Context) -> None:
    run(context, _restart(context, list(context.cell.members)))


async def _restart(context: Context, vm_ids: list[str]) -> None:
    for vm_id in vm_ids:
        await context.cell.stop(vm_id)
    context.seen_versions = {}
    for vm_id in vm_ids:
        member = await context.cell.start(vm_id)
        seen = context.seen_versions.setdefault(vm_id, set())
        store = member.store

        def record_version(store: Any = store, seen: set[int] = seen) -> None:
            seen.add(store.version("/fleet"))

        store.subscribe(record_version)


@when("an outdated push of version {version:d} reaches settings member {vm_id}")
def step_old_push(context: Context, version: int, vm_id: str) -> None:
    pushed = PushSettings("/fleet", version, value_of(version), "operator")
    peers = context.cell.members["v0"].peers
    answer = run(context, peers.request(vm_id, pushed))
    assert answer.version == 4, answer


@then("all settings members have version {version:d} in force")
def step_all_in_force(context: Context, version: int) -> None:
    assert MESSAGE_TYPES["settings_push"] is PushSettings
    run(context, _wait_for(context, version))


@then("settings member {vm_id} has version {version:d} in force")
def step_one_in_force(context: Context, vm_id: str, version: int) -> None:
    store = context.cell.members[vm_id].store
    in_force = wait_until(lambda: store.ready and store.version("/fleet") == version)
    run(context, in_force)


@then("settings members {confirmed} have confirmed and {missing} is missing")
def step_confirmed(context: Context, confirmed: str, missing: str) -> None:
    assert context.spread.confirmed_vm_ids == tuple(confirmed.split()), context.spread
    assert context.spread.missing_vm_ids == (missing,), context.spread


@then("settings member {vm_id} never had a version other than {version:d}")
def step_no_other_version(context: Context, vm_id: str, version: int) -> None:
    assert context.seen_versions[vm_id] <= {version}, context.seen_versions


@then("settings member {vm_id} stays without settings")
def step_no_settings(context: Context, vm_id: str) -> None:
    run(context, asyncio.sleep(1.0))
    member = context.cell.members[vm_id]
    assert not member.store.ready
    assert member.store.version("/fleet") == 0


@then("settings members have opened at most {count:d} links each")
def step_links(context: Context, count: int) -> None:
    run(context, asyncio.sleep(1.5))
    members = context.cell.members.values()
    # Both ends of a link count it.
    links = sum(member.peers.link_count for member in members) / 2
    assert links <= count * len(members), links
