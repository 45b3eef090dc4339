"""features.steps.start_waits_steps: waits for slots, decided without a network."""

from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context

from greengagetack.batches.start_waits import (
    MIN_DURATIONS,
    StartDemand,
    StartWaits,
)
from greengagetack.scaling.need import ServiceDemand, load_replicas, needed_replicas

SERVICE = "llm"
SLOTS = 8.0


@given("items of a service ran for {durations} s")
def step_durations(context: Context, durations: str) -> None:
    context.now_s = 100.0
    context.waits = StartWaits(lambda: context.now_s)
    for text in durations.split() * MIN_DURATIONS:
        context.waits.record_duration(SERVICE, float(text))


@given(
    "{count:d} items of a service ran for 1 s, and open items may run for {most:g} s"
)
def step_few_durations(context: Context, count: int, most: float) -> None:
    step_durations(context, "")
    context.longest_s = most
    for _ in range(count):
        context.waits.record_duration(SERVICE, 1.0)


@given("a step is due {due_s:g} s after its submission")
def step_due(context: Context, due_s: float) -> None:
    context.due_s = due_s


@when("its items wait for {waits} s before they start")
def step_waits(context: Context, waits: str) -> None:
    job = SimpleNamespace(service=SERVICE, model="m")
    run = SimpleNamespace(job=job, opened_s=context.now_s, unfinished={})
    for text in waits.split():
        context.now_s = run.opened_s + float(text)
        context.waits.record_start(run, SimpleNamespace(run_started_s=0.0))
    # A second start of an item that has run in this job is no wait for a first slot.
    context.now_s = run.opened_s + 5.0
    context.waits.record_start(run, SimpleNamespace(run_started_s=run.opened_s))


@then("the late starters have waited {wait_s:g} s of the allowed {allowed_s:g} s")
def step_demand(context: Context, wait_s: float, allowed_s: float) -> None:
    longest_s = getattr(context, "longest_s", 0.0)
    demand = context.waits.demand_of(SERVICE, context.due_s, longest_s)
    assert abs(demand.wait_s - wait_s) < 1e-6, demand
    assert abs(demand.allowed_wait_s - allowed_s) < 1e-6, demand


@given("{usable:d} replicas with 8 slots that are fast enough")
def step_usable(context: Context, usable: int) -> None:
    context.usable = usable


@when(
    "items wait {wait_s:g} s of the allowed {allowed_s:g} s, and {peaks} items are open"
)
def step_open(context: Context, wait_s: float, allowed_s: float, peaks: str) -> None:
    starts = StartDemand(wait_s, allowed_s, tuple(map(int, peaks.split())))
    context.demand = ServiceDemand(items_per_replica=SLOTS, starts=starts)


@then("{needed:d} replicas are needed, and the load is that of {load:d}")
def step_needed(context: Context, needed: int, load: int) -> None:
    assert needed_replicas(context.demand, context.usable, 4.0, SLOTS) == needed
    assert load_replicas(context.demand, SLOTS) == load
