"""features.steps.order_lease_steps: the order lease on an in-memory store."""

import asyncio
from unittest import mock

import msgspec
from behave import given, then, when
from behave.runner import Context

from features.support.memory_objects import MemoryObjects
from greengagetack.coordination import duty_lease
from greengagetack.coordination.duty_lease import (
    ORDER_LEASE_PATH,
    DutyLease,
    LeaseRecord,
)

STEP_S = 0.05
MAX_WAIT_S = 20.0


@given("another daemon holds the order lease, with orders at least {apart:g} s apart")
def step_held(context: Context, apart: float) -> None:
    context.store = MemoryObjects()
    context.lease = DutyLease("b", context.store, ORDER_LEASE_PATH, apart)
    context.record = LeaseRecord("a", 1, 0)
    context.version = asyncio.run(_write(context, 0))


async def _write(context: Context, version: int) -> int:
    value = msgspec.to_builtins(context.record)
    written: int = await context.store.write(ORDER_LEASE_PATH, value, version)
    return written


@when("its version is reported {reported_s:g} s before the first read, {renewed} since")
def step_reported(context: Context, reported_s: float, renewed: str) -> None:
    now_s = [1_000.0]
    with mock.patch.object(duty_lease, "_boottime_s", lambda: now_s[0]):
        if reported_s:
            context.lease.record_version(context.version)
        if renewed == "renewed":
            asyncio.run(_write(context, context.version))
        now_s[0] += reported_s
        first_read_s = now_s[0]
        while not context.lease.held_version:
            asyncio.run(context.lease.maintain())
            assert now_s[0] < first_read_s + MAX_WAIT_S
            now_s[0] += STEP_S
        context.waited_s = now_s[0] - STEP_S - first_read_s


@then("the lease is acquired {wait:g} s after the first read")
def step_acquired(context: Context, wait: float) -> None:
    assert wait <= context.waited_s + 1e-6, context.waited_s
    assert context.waited_s <= wait + 2 * STEP_S, context.waited_s
