"""features.steps.leaving_steps: replicas that announce that they leave."""

import asyncio
import time
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import Replica
from greengagetack.world import Address


@when("{pause:d} ms pass")
def step_pass(context: Context, pause: int) -> None:
    time.sleep(pause / 1000)


@then("at most {count:d} request reached replica {name}")
def step_few_requests(context: Context, count: int, name: str) -> None:
    replica = context.cluster.replicas[name]
    # A hedged request that was withdrawn brought no announcement to its daemon.
    told = [
        arrival
        for arrival in replica.arrivals
        if arrival[0] not in replica.unanswered_ids
    ]
    assert len(told) <= count, replica.arrivals


def _replica(name: str, started_ms: int) -> Replica:
    address = Address(f"10.0.0.{ord(name)}", 80)
    return Replica(name, "service", address, "zone", 4, False, (), started_ms)


@given("a fleet with replicas a and b of incarnation 1 and a drain period of {drain} s")
def step_fleet(context: Context, drain: str) -> None:
    context.fleet = Fleet(lambda: float("-inf"), float(drain))
    context.drain_s = float(drain)
    context.elapsed_s = 0.0
    context.fleet.update([_replica("a", 1), _replica("b", 1)], [])


@when("these events follow: {events}")
def step_events(context: Context, events: str) -> None:
    for event in events.split(", "):
        _apply(context, event)


def _apply(context: Context, event: str) -> None:
    fleet = context.fleet
    name, _, change = event.partition(" ")
    if event == "half the drain period passes":
        context.elapsed_s += context.drain_s / 2
    elif change == "announces":
        fleet.get(name).record_leaving()
    elif change == "is listed again":
        fleet.update([_replica(name, 1)], [])
    elif change == "starts again":
        fleet.update([_replica(name, 2)], [])
    elif change == "is removed":
        fleet.update([], [name])
    else:
        assert event == "none", event


@then("the replicas that may get new requests are {names}")
def step_serving(context: Context, names: str) -> None:
    later_s = time.monotonic() + context.elapsed_s
    with patch("greengagetack.replicas.fleet.time.monotonic", lambda: later_s):
        serving = context.fleet.serving_replicas("service")
    found = ",".join(sorted(state.replica.replica_id for state in serving)) or "none"
    assert found == names, found


@given("a fleet with replica a, whose store returned {returned} ms ago")
def step_fleet_after_outage(context: Context, returned: str) -> None:
    ago_s = float("inf") if returned == "never" else int(returned) / 1000
    recovered_s = time.monotonic() - ago_s
    context.fleet = Fleet(lambda: recovered_s, 2.0)
    context.fleet.update([_replica("a", 1)], [])


@then("{pause:d} ms after its entry is removed, a may get new requests: {expected}")
def step_serves_after(context: Context, pause: int, expected: str) -> None:
    async def remove_and_wait() -> bool:
        context.fleet.update([], ["a"])
        await asyncio.sleep(pause / 1000)
        return bool(context.fleet.serving_replicas("service"))

    assert asyncio.run(remove_and_wait()) == (expected == "yes")
