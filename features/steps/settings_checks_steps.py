"""features.steps.settings_checks_steps: parsing, validation, versions and tokens."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from features.support.settings_documents import fleet_value, team_value
from greengagetack.daemons.auth import authenticate
from greengagetack.errors import Unauthorized
from greengagetack.objects.base import PlatformObject
from greengagetack.settings.objects import (
    SettingsObject,
    settings_from_platform,
    stored_value,
)
from greengagetack.settings.parse import (
    InvalidSettings,
    load_vm_settings,
    parse_fleet,
    parse_team,
)
from greengagetack.settings.store import SettingsStore


@when("the settings of team quetzal are {document}")
def step_team_document(context: Context, document: str) -> None:
    context.refusal = None
    try:
        context.team = parse_team("quetzal", document)
    except InvalidSettings as error:
        context.refusal = error


@when("the fleet's settings have {change}")
def step_fleet_change(context: Context, change: str) -> None:
    context.refusal = None
    try:
        parse_fleet(fleet_value(**json.loads(change)))
    except InvalidSettings as error:
        context.refusal = error


@when("a settings file of a daemon contains {text}")
def step_vm_file(context: Context, text: str) -> None:
    context.refusal = None
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "vm.jsonc"
        path.write_text(text)
        try:
            load_vm_settings(path)
        except InvalidSettings as error:
            context.refusal = error


@then('settings are refused with "{part}"')
def step_refused(context: Context, part: str) -> None:
    assert context.refusal is not None, "accepted"
    assert part in context.refusal.reason, context.refusal.reason


@then("team quetzal gets the weight {weight:g}")
def step_weight(context: Context, weight: float) -> None:
    assert context.refusal is None, context.refusal
    assert context.team.weight == weight


@given("settings of version {version:d} are applied")
def step_applied(context: Context, version: int) -> None:
    context.store = SettingsStore()
    assert not context.store.ready
    context.store.mark_loaded()
    if version:
        context.store.offer(SettingsObject("/fleet", version, fleet_value()))


@when("settings of version {version:d} are offered")
def step_offer(context: Context, version: int) -> None:
    value = fleet_value(shard_count=version)
    context.store.offer(SettingsObject("/fleet", version, value))


@when("invalid settings of version {version:d} are offered")
def step_offer_invalid(context: Context, version: int) -> None:
    offered = SettingsObject("/fleet", version, {"shards": 1})
    assert not context.store.offer(offered)


@then("the applied settings have version {version:d}")
def step_in_force(context: Context, version: int) -> None:
    assert context.store.version("/fleet") == version
    assert context.store.ready


@when('a request has the header "{header}"')
def step_header(context: Context, header: str) -> None:
    store = SettingsStore()
    store.offer(SettingsObject("/fleet", 1, fleet_value()))
    for team in ("quetzal", "kestrel"):
        store.offer(SettingsObject(f"/teams/{team}", 1, team_value(team)))
    try:
        context.principal_name = authenticate(header, store).name
    except Unauthorized as error:
        context.principal_name = error.code


@then("the authentication result is {name}")
def step_authenticated(context: Context, name: str) -> None:
    assert context.principal_name == name


@when("a subtree of {size:d} bytes is changed {changes:d} times")
def step_changes(context: Context, size: int, changes: int) -> None:
    former = None
    for version in range(1, changes + 1):
        value = stored_value({"text": "x" * size}, "operator", 0.0, former)
        stored = PlatformObject("settings/fleet", version, f"c{version}", value)
        former = settings_from_platform(stored)
        context.size_bytes = len(json.dumps(value))
    context.latest = former


@then("the history has {kept:d} earlier versions and the object is under 1 MB")
def step_kept(context: Context, kept: int) -> None:
    history = context.latest.history
    assert len(history) == kept, len(history)
    newest = context.latest.version - 1
    assert [entry.version for entry in history] == list(
        range(newest, newest - kept, -1)
    )
    assert context.size_bytes < 1_000_000
