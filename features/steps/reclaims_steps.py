"""features.steps.reclaims_steps: replicas that the platform reclaims."""

import time

from behave import given, then, when
from behave.runner import Context

from greengagetack.batches.ending import departing_runs
from greengagetack.batches.pace import Paces, RunningItem

EVENT_S = 0.1


@given("replica a has {left:g} s left and b runs on")
def step_left(context: Context, left: float) -> None:
    context.left_s = {"a": left}


@when("runs {runs} are on them, one event every 100 ms, and b takes {free}")
def step_runs(context: Context, runs: str, free: str) -> None:
    running = []
    for text in runs.split():
        item_id, _, place = text.partition("@")
        replica_id, _, events = place.partition(":")
        running.append(RunningItem(item_id, replica_id, int(events)))
    context.departing = departing_runs(
        running,
        context.left_s,
        Paces({}, EVENT_S),
        lambda item_id: "b" if free == "any" else "",
    )


@then("the runs taken off are {expected}")
def step_departing(context: Context, expected: str) -> None:
    found = ",".join(context.departing) or "none"
    assert found == expected, found


@when("the platform reclaims {name}, which goes silent after {left:d} ms")
def step_reclaim(context: Context, name: str, left: int) -> None:
    cluster = context.cluster
    cluster.list_replica(name, "draining", spot=True, leaves_ms=left)
    time.sleep(left / 1_000)
    cluster.replicas[name].fault.silent = True


def _run_ends(context: Context, name: str) -> list[dict[str, str]]:
    return [
        line
        for edge in context.cluster.edges
        for line in context.cluster.logs(edge)
        if line["message"] == "dispatch: run ended" and line["replica"] == name
    ]


@then("no run at {name} ended by a time-out")
def step_no_timeout(context: Context, name: str) -> None:
    reasons = [line["reason"] for line in _run_ends(context, name)]
    assert "silent" not in reasons, reasons


@then("a run at {name} resumed elsewhere")
def step_resumed_elsewhere(context: Context, name: str) -> None:
    reasons = [line["reason"] for line in _run_ends(context, name)]
    assert "cancelled" in reasons, reasons
