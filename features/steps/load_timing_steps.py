"""features.steps.load_timing_steps: when loads start, decided without a network."""

import asyncio
import time
from typing import Any

from behave import given, then, when
from behave.runner import Context

from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import Replica
from greengagetack.weights.load_concurrency import LoadConcurrency
from greengagetack.weights.load_scheduler import LoadScheduler
from greengagetack.weights.load_selection import max_concurrent_loads_of_model
from greengagetack.weights.load_timing import LoadTiming, ModelWork
from greengagetack.weights.orders import EngineReport, LoadOrder, OrderEnd
from greengagetack.world import Address

MODEL = "m"


class HeldLease:
    """A lease that its holder keeps."""

    fence = 1

    async def maintain(self) -> None:
        """Keep the lease."""

    def may_act(self) -> bool:
        """Whether an order may be sent now."""
        return True

    def record_call(self) -> None:
        """Ignore the call."""


class RecordingSender:
    """Accepts all orders and records their replicas."""

    def __init__(self) -> None:
        self.ordered: list[str] = []

    async def send(self, replica: Replica, order: LoadOrder, may_send: Any) -> OrderEnd:
        """Accept an order; the load takes longer than the test."""
        self.ordered.append(replica.replica_id)
        return OrderEnd.ACCEPTED

    async def report(self, replica: Replica) -> EngineReport:
        """Return a report of a replica that has accepted no order."""
        return EngineReport({MODEL: 1}, replica.replica_id in self.ordered, 0)


@given("version {version:d} of a model was named {age_s:g} s ago")
def step_named(context: Context, version: int, age_s: float) -> None:
    context.named, context.age_s = version, age_s


@given("earlier jobs allowed a lag of {lag:d} versions")
def step_lag(context: Context, lag: int) -> None:
    context.timing = LoadTiming()
    earlier = ModelWork(newest_min_version=context.named - 1 - lag)
    context.timing.observe(MODEL, context.named - 1, earlier, -10.0)
    context.timing.observe(MODEL, context.named, ModelWork(), 0.0)


@when("{count:d} items wait that allow version {oldest:d} and newer")
def step_waiting(context: Context, count: int, oldest: int) -> None:
    context.work = ModelWork(count, oldest)


@then("the load on a replica with version {version:d} is {outcome}")
def step_outcome(context: Context, version: int, outcome: str) -> None:
    postponed = context.timing.is_postponed(MODEL, version, context.work, context.age_s)
    assert postponed == (outcome == "postponed"), context.work


@when("a model has {count:d} replicas")
def step_replica_count(context: Context, count: int) -> None:
    context.budget = max_concurrent_loads_of_model(count)


@then("at most {count:d} of them load at the same time")
def step_budget(context: Context, count: int) -> None:
    assert context.budget == count, context.budget


@given("{count:d} replicas with version 1 and a lease on orders")
def step_fleet(context: Context, count: int) -> None:
    context.fleet = Fleet(lambda: float("-inf"))
    context.fleet.update(
        [
            Replica(
                f"r{number}",
                "llm",
                Address("127.0.0.1", 1),
                "a",
                8,
                False,
                ((MODEL, 1),),
            )
            for number in range(count)
        ],
        (),
    )


@given("the newest job allows version {version:d}")
def step_newest(context: Context, version: int) -> None:
    context.newest_min_version = version


@when("version 2 is named and {count:d} items wait for {duration_s:g} s")
def step_run_named(context: Context, count: int, duration_s: float) -> None:
    context.waiting, context.duration_s = count, duration_s


@then("{count:d} replicas are ordered to load {limit_s:g} s after the naming")
def step_orders(context: Context, count: int, limit_s: float) -> None:
    ordered = asyncio.run(_run_scheduler(context, limit_s))
    assert len(ordered) == count, ordered


async def _run_scheduler(context: Context, limit_s: float) -> list[str]:
    started_s = time.monotonic()

    def work_of(model: str) -> ModelWork:
        is_waiting = time.monotonic() - started_s < context.duration_s
        return ModelWork(context.waiting * is_waiting, 1, context.newest_min_version)

    sender = RecordingSender()
    scheduler = LoadScheduler(
        HeldLease(),  # type: ignore[arg-type]
        context.fleet,
        sender,
        lambda: {MODEL: 2},
        lambda model: ["llm"],
        lambda model: False,
        lambda: {MODEL: 1.0},
        work_of,
        set(),
        lambda: None,
        Metrics(),
        "vm-1",
    )
    scheduler.is_active = True
    run = asyncio.create_task(scheduler.run())
    await asyncio.sleep(limit_s)
    run.cancel()
    return sender.ordered


@given("a fleet of {count:d} replicas whose loads take 0.9 s up to {knee:d} at a time")
def step_knee(context: Context, count: int, knee: int) -> None:
    context.count, context.knee = count, knee


@when("{loads:d} loads are ordered, as many at a time as the limit allows")
def step_many_loads(context: Context, loads: int) -> None:
    context.concurrency = LoadConcurrency()
    while loads > 0:
        batch = context.concurrency.limit(context.count)
        for _ in range(batch):
            duration_s = 0.9 * max(1.0, batch / context.knee)
            context.concurrency.record(duration_s, batch)
        loads -= batch


@then("at the end at most {limit:d} load at a time, and at least {least:d}")
def step_limit(context: Context, limit: int, least: int) -> None:
    found = context.concurrency.limit(context.count)
    assert least <= found <= limit, found
