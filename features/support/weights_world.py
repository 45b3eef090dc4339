"""features.support.weights_world: a lead that rolls out weights to fake engines."""

from typing import Any

from behave.runner import Context

from features.support.keeper_world import start_world
from features.support.loops import run_on_loop
from greengagetack.daemons.auth import hash_token
from greengagetack.settings.schema import ModelSettings, TeamSettings
from greengagetack.weights.messages import AnnounceVersion, GetRollout, RolloutStatus
from greengagetack.weights.role import WeightsRole

__all__ = ["announce", "start_lead", "start_weights_world", "rollout_status"]

TEAMS = (
    TeamSettings("t", (hash_token("team-token"),), models=("m",)),
    TeamSettings("other", (hash_token("other-token"),), models=("x",)),
    TeamSettings("flood"),
    TeamSettings("small"),
)


def start_weights_world(context: Context, engine_count: int) -> None:
    """Start keepers, engines with version 1 and a lead on the VM `door`."""
    start_world(context, engine_count=engine_count, teams=TEAMS)
    model = ModelSettings("m", switch_wave_ratio=0.34, prefetch_concurrency=2)
    context.world.settings.change(models=(model,))
    context.leads = []
    start_lead(context, "door")


def start_lead(context: Context, vm_id: str) -> None:
    """Make a VM the lead and start its weights role."""
    world = context.world
    world.cell.lead_vm_id = vm_id
    role = WeightsRole(world.services[vm_id])
    run_on_loop(context, role.start())
    context.leads.append(role)
    context.add_cleanup(lambda: run_on_loop(context, role.close()))


def ask_lead(context: Context, body: Any) -> RolloutStatus:
    """Send a message to the lead and return its answer."""
    node = context.world.nodes["door"]
    lead = context.world.cell.lead_vm_id
    status: RolloutStatus = run_on_loop(context, node.request(lead, body))
    return status


def announce(context: Context, version: int) -> RolloutStatus:
    """Announce a version to the lead."""
    return ask_lead(context, AnnounceVersion("m", version, "t"))


def rollout_status(context: Context) -> RolloutStatus:
    """Return the rollout status as reported by the lead."""
    return ask_lead(context, GetRollout("m"))
