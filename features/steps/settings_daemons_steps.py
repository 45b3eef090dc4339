"""features.steps.settings_daemons_steps: settings on real daemons under faults."""

import json
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context

from bench.deployment import Deployment, send_json
from features.support.deployments import address_of, shared_tls_deployment
from features.support.raw_http import RawAnswer, request_bytes, send_raw
from features.support.settings_cell import cancel_other_tasks
from features.support.throwaway_keys import Authority
from features.support.version_watch import SETTINGS_PATH, VersionWatch
from greengagetack.errors import CodedError
from greengagetack.peers.node import PeerNode
from greengagetack.peers.tls import PeerTls, load_peer_tls
from greengagetack.settings.messages import CompareSettings
from greengagetack.timer import Timer
from greengagetack.world import Address
from standins.loops import BackgroundLoop

VICTIM = "vm-3"
IN_FORCE_LIMIT_S = 20.0
OUTAGE_S = 3.0
PLATFORM_FAULTS: dict[str, dict[str, Any]] = {
    "loses write answers": {"lose_write_answers": 1.0},
    "is slow": {"slow_s": 0.5},
    "is down": {"outage": True},
    "hangs": {"outage": "hang"},
}


@given("real daemons that keep settings")
def step_daemons(context: Context) -> None:
    context.deployment = shared_tls_deployment()
    context.watch = VersionWatch(context.deployment)
    context.add_cleanup(context.watch.close)
    context.add_cleanup(set_faults, context.deployment, {})
    version = current_version(context.deployment)
    ready = context.watch.wait_until(
        lambda: context.watch.all_show(version), IN_FORCE_LIMIT_S
    )
    assert ready, context.watch.seen


def set_faults(deployment: Deployment, faults: dict[str, Any]) -> None:
    send_json(f"{deployment.platform.url}/control/faults", "POST", faults)


def current_version(deployment: Deployment) -> int:
    url = deployment.daemons["vm-1"].url + SETTINGS_PATH
    found: int = send_json(url, headers=deployment.operator_headers())["version"]
    return found


def change_weight(context: Context) -> RawAnswer:
    """Change the team's weight and set the version expected afterwards."""
    deployment = context.deployment
    version = current_version(deployment)
    value = {**deployment.team_settings("quetzal"), "weight": 1 + version}
    headers = {**deployment.operator_headers(), "If-Match": f'"{version}"'}
    body = json.dumps(value).encode()
    address = address_of(deployment.daemons["vm-1"].url)
    answer = send_raw(address, [request_bytes("PUT", SETTINGS_PATH, body, headers)])
    context.expected_version = version + 1 if answer.status == 200 else version
    return answer


@when("an operator changes a setting while a daemon is paused for {pause:g} s")
def step_paused(context: Context, pause: float) -> None:
    victim = context.deployment.daemons[VICTIM]
    victim.pause()
    context.add_cleanup(victim.resume)
    assert change_weight(context).status == 200
    time.sleep(pause)
    victim.resume()


@when("an operator changes a setting while a daemon is {end} and started again")
def step_restarted(context: Context, end: str) -> None:
    deployment = context.deployment
    if end == "killed":
        deployment.daemons[VICTIM].kill()
    else:
        assert deployment.daemons[VICTIM].terminate() == 0
    assert change_weight(context).status == 200
    restart(context)


def restart(context: Context) -> None:
    """Restart the victim and wait until it returns settings."""
    context.deployment.restart_daemon(VICTIM)
    shown = len(context.watch.seen[VICTIM])
    returned = context.watch.wait_until(
        lambda: len(context.watch.seen[VICTIM]) > shown, IN_FORCE_LIMIT_S
    )
    assert returned, "the daemon returned no settings"


@when("an operator changes a setting while the platform {fault}")
def step_platform(context: Context, fault: str) -> None:
    set_faults(context.deployment, PLATFORM_FAULTS[fault])
    context.answer = change_weight(context)
    set_faults(context.deployment, {})


@when("an operator changes a setting and a daemon restarts while the platform is down")
def step_outage_restart(context: Context) -> None:
    assert change_weight(context).status == 200
    set_faults(context.deployment, PLATFORM_FAULTS["is down"])
    context.deployment.daemons[VICTIM].kill()
    context.deployment.restart_daemon(VICTIM)
    context.shown = len(context.watch.seen[VICTIM])


@then("the restarted daemon returns no settings until the platform recovers")
def step_no_settings(context: Context) -> None:
    time.sleep(OUTAGE_S)
    assert len(context.watch.seen[VICTIM]) == context.shown, context.watch.seen[VICTIM]
    set_faults(context.deployment, {})
    returned = context.watch.wait_until(
        lambda: len(context.watch.seen[VICTIM]) > context.shown, IN_FORCE_LIMIT_S
    )
    assert returned, "the daemon returned no settings after the outage"


@then("the settings change is answered with {status:d} {outcome}")
def step_answered(context: Context, status: int, outcome: str) -> None:
    answer = context.answer
    assert answer.status == status, (answer.status, answer.body)
    if outcome != "-":
        error = answer.json()["error"]
        assert error["outcome"] == outcome, error
        assert error["retry_after_s"], error


@then("all real daemons return the change and none went back to an older version")
def step_all_return(context: Context) -> None:
    watch = context.watch
    version = context.expected_version
    returned = watch.wait_until(lambda: watch.all_show(version), IN_FORCE_LIMIT_S)
    assert returned, {vm_id: seen[-3:] for vm_id, seen in watch.seen.items()}
    for vm_id, seen in watch.seen.items():
        assert seen == sorted(seen), (vm_id, seen)


@when("an unauthenticated peer opens a link with {credentials}")
def step_unauthenticated_peer(context: Context, credentials: str) -> None:
    context.loop = BackgroundLoop()
    context.add_cleanup(context.loop.close)
    context.add_cleanup(lambda: context.loop.run(cancel_other_tasks()))
    tls = PeerTls()
    if credentials != "no TLS":
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        issued = Authority(Path(folder.name), "other").issue("vm-9")
        fleet = context.deployment.group.folder / "fleet.authority.pem"
        tls = load_peer_tls(replace(issued, authority_file=str(fleet)))
    ready = context.deployment.daemons["vm-1"].ready
    address = address_of(f"http://{ready['peer']}")
    context.answer = context.loop.run(_request_versions(address, tls))


async def _request_versions(address: Address, tls: PeerTls) -> object:
    node = PeerNode("vm-9", "i1", Timer(9), None, tls.client)
    node.set_address("vm-1", address)
    try:
        return await node.request("vm-1", CompareSettings(0), 4.0)
    except CodedError as error:
        return error.code
    finally:
        await node.close()


@then("the real daemon refuses the link")
def step_refused(context: Context) -> None:
    assert context.answer in ("peer_lost", "peer_unreachable"), context.answer
