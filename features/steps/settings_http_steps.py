"""features.steps.settings_http_steps: the settings API over HTTP."""

import json
import re
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.support.raw_http import RawAnswer, request_bytes, send_raw
from features.support.settings_cell import SettingsCell, wait_until
from features.support.settings_documents import (
    OPERATOR_TOKEN,
    fleet_value,
    team_token,
    team_value,
)
from greengagetack.daemons.auth import hash_token
from greengagetack.settings.objects import stored_value
from greengagetack.world import Address
from standins.loops import BackgroundLoop


@given("a settings server with the teams quetzal and kestrel")
def step_server(context: Context) -> None:
    context.loop = BackgroundLoop()
    context.add_cleanup(context.loop.close)
    context.cell = context.loop.run(_start())
    context.add_cleanup(lambda: context.loop.run(context.cell.close()))
    context.address = context.cell.members["v0"].http


async def _start() -> SettingsCell:
    cell = SettingsCell()
    platform = cell.platform
    fleet = stored_value(fleet_value(), "operator", 0.0, None)
    await platform.write("settings/fleet", fleet, 0)
    for team in ("quetzal", "kestrel"):
        stored = stored_value(team_value(team), "operator", 0.0, None)
        await platform.write(f"settings/teams/{team}", stored, 0)
    for vm_id in ("v0", "v1", "v2"):
        await cell.start(vm_id)
    members = list(cell.members.values())
    await wait_until(lambda: all(member.store.ready for member in members))
    for vm_id in ("v0", "v1"):
        await cell.serve_http(vm_id)
    return cell


def send(
    address: Address,
    sender: str,
    method: str,
    target: str,
    value: Any = None,
    headers: dict[str, str] | None = None,
) -> RawAnswer:
    tokens = {"operator": OPERATOR_TOKEN, "stranger": "ggt_stranger"}
    fields = dict(headers or {})
    if sender != "nobody":
        token = tokens.get(sender, team_token(sender))
        fields["Authorization"] = f"Bearer {token}"
    body = b"" if value is None else json.dumps(value).encode()
    return send_raw(address, [request_bytes(method, target, body, fields)])


def full_value(target: str, change: dict[str, Any]) -> dict[str, Any]:
    """Return the full settings of the team or fleet with a change."""
    if "/teams/" in target:
        team = target.rsplit("/", 1)[1].split("?")[0]
        return team_value(team, **change)
    return fleet_value(**change)


@when("{sender:w} sends {method:w} {target} with {header}: {tag}")
def step_send_with(
    context: Context, sender: str, method: str, target: str, header: str, tag: str
) -> None:
    path, _, text = target.partition(" ")
    value = full_value(path, json.loads(text))
    context.answer = send(context.address, sender, method, path, value, {header: tag})


@when("{sender:w} sends {call}")
def step_send(context: Context, sender: str, call: str) -> None:
    method, target, *rest = call.split(" ", 2)
    value = full_value(target, json.loads(rest[0])) if rest else None
    headers = {"If-Match": '"1"'} if method == "PUT" else {}
    context.answer = send(context.address, sender, method, target, value, headers)


@then("the settings server answers {status:d} {code}")
def step_answers(context: Context, status: int, code: str) -> None:
    answer = context.answer
    assert answer.status == status, (answer.status, answer.body)
    if code == "-":
        return
    error = answer.json()["error"]
    assert error["code"] == code, error
    versions = context.cell.members["v0"].store.versions()
    assert all(one.version == 1 for one in versions), (
        "a refused request changed the settings"
    )


@when("{count:d} operators change team quetzal concurrently on 2 daemons")
def step_change_concurrently(context: Context, count: int) -> None:
    addresses = [context.cell.members[vm_id].http for vm_id in ("v0", "v1")]

    def change(number: int) -> RawAnswer:
        return send(
            addresses[number % 2],
            "operator",
            "PUT",
            "/v1/settings/teams/quetzal",
            team_value("quetzal", weight=number + 1),
            {"If-Match": '"1"'},
        )

    with ThreadPoolExecutor(count) as pool:
        context.answers = list(pool.map(change, range(count)))


@then("one settings change is accepted and {lost:d} get a conflict with both versions")
def step_conflicts(context: Context, lost: int) -> None:
    winners = [
        number for number, answer in enumerate(context.answers) if answer.status == 200
    ]
    assert len(winners) == 1, [answer.status for answer in context.answers]
    losers = [answer for answer in context.answers if answer.status == 409]
    assert len(losers) == lost
    for answer in losers:
        details = answer.json()["error"]["details"]
        assert details["current"]["version"] == 2
        assert details["current"]["value"]["weight"] == winners[0] + 1
        assert details["yours"]["version"] == 1
        assert details["yours"]["value"]["weight"] != winners[0] + 1
    member = context.cell.members["v2"]
    context.loop.run(wait_until(lambda: member.store.version("/teams/quetzal") == 2))
    assert member.store.team("quetzal").weight == winners[0] + 1


@then("settings are confirmed by {vm_ids}")
def step_confirmed(context: Context, vm_ids: str) -> None:
    answer = context.answer.json()
    assert answer["confirmed_vm_ids"] == vm_ids.split(), answer
    assert answer["missing_vm_ids"] == []
    for member in context.cell.members.values():
        assert member.store.version("/teams/quetzal") == answer["version"]


@then("the settings answer contains no secrets")
def step_no_secrets(context: Context) -> None:
    text = context.answer.body.decode()
    assert context.answer.status == 200
    assert "sha256:" in text and "…" in text
    assert not re.search(r"sha256:[0-9a-f]{64}", text)
    for token in (OPERATOR_TOKEN, team_token("quetzal")):
        assert hash_token(token) not in text


@then("the settings answer has the outcome not_run and a retry time")
def step_not_run(context: Context) -> None:
    error = context.answer.json()["error"]
    assert error["outcome"] == "not_run", error
    assert error["retry_after_s"] and context.answer.headers["retry-after"]


@then("settings of team quetzal are still at version {version:d}")
def step_unchanged(context: Context, version: int) -> None:
    answer = send(context.address, "operator", "GET", "/v1/settings/teams/quetzal")
    assert answer.json()["version"] == version
