"""features.steps.recovery_steps: readmission of engines after an ejection."""

import asyncio
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.support.loops import run_on_loop
from greengagetack.keeper.admission import CallerReserve
from greengagetack.keeper.health import EndpointHealth
from greengagetack.keeper.messages import Work

NOW_S = 1_000.0
EJECTION_S = 5.0
FAILURES_TO_EJECT = 3
SERVE_TIMEOUT_S = 10.0
SLOTS = 8
RATIO = 0.25


def _gate(context: Context) -> Any:
    keeper = context.world.cell.keepers["e1"][0]
    return context.world.roles[keeper].gates["e1"]


@given("the health of an engine with {slots:d} slots")
def step_health(context: Context, slots: int) -> None:
    context.health = EndpointHealth("e1", slots)


@when("3 requests fail, and then {late:d} more that were in flight")
def step_late_failures(context: Context, late: int) -> None:
    for _ in range(FAILURES_TO_EJECT + late):
        context.health.record_failure(NOW_S, EJECTION_S)
    assert context.health.ejected


@then("its probe is due {pause:d} s after the ejection")
def step_probe_due(context: Context, pause: int) -> None:
    assert context.health.probe_at_s == NOW_S + pause, context.health.probe_at_s


@when("it is ejected and {failures:d} probes fail")
def step_probes_fail(context: Context, failures: int) -> None:
    health = context.health
    context.now_s = NOW_S
    for _ in range(FAILURES_TO_EJECT):
        health.record_failure(context.now_s, EJECTION_S)
    for _ in range(failures):
        context.now_s = health.probe_at_s
        health.record_failure(context.now_s, EJECTION_S)


@then("the next probe is due within {limit:d} s")
def step_probe_within(context: Context, limit: int) -> None:
    pause_s = context.health.probe_at_s - context.now_s
    assert 0 < pause_s <= limit, pause_s


@given("a reserve for callers of {slots:d} slots with ratio {ratio:g}")
def step_reserve(context: Context, slots: int, ratio: float) -> None:
    context.reserve = CallerReserve(slots, ratio)


@when("{callers:d} callers were seen {age:d} s ago")
def step_seen(context: Context, callers: int, age: int) -> None:
    context.reserve.observe_callers(callers, NOW_S - age)


@then("{reserved:d} slots are reserved")
def step_reserved(context: Context, reserved: int) -> None:
    assert context.reserve.reserved_slots(NOW_S) == reserved


@given("callers have recently used all reserved slots of the engine")
def step_used_reserve(context: Context) -> None:
    gate = _gate(context)
    gate._reserve = CallerReserve(SLOTS, RATIO)
    gate._reserve.observe_callers(
        gate._reserve.max_reserved_slots, gate._services.timer.now_s()
    )


@when("the engine recovers with {allowed:d} slots")
def step_recovers(context: Context, allowed: int) -> None:
    health = _gate(context).health
    health.eject()
    health.readmit()
    health._recovered_slots = allowed


@then("a rollout is served")
def step_rollout_served(context: Context) -> None:
    async def serve() -> None:
        request = context.world.request(work=Work.ROLLOUT, job_id="j")
        async with asyncio.timeout(SERVE_TIMEOUT_S):
            await context.world.ask("a", request)

    run_on_loop(context, serve())
