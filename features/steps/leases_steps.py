"""features.steps.leases_steps: one lease object with a clock that the test controls."""

import asyncio
from contextlib import suppress
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.support.platform_fake import MemoryPlatform, PlatformPort
from greengagetack.errors import PlatformUnavailable
from greengagetack.leases.lease import PlatformLease
from greengagetack.membership.timings import CellTimings
from greengagetack.objects.base import PlatformObject, WriteUnknown
from greengagetack.timer import Timer
from greengagetack.world import Address, Vm

PATH = "cells/a/lead"


class ManualTimer(Timer):
    """A clock that only the test advances."""

    time_s = 1_000.0

    def now_s(self) -> float:
        """Return the time that the test has set."""
        return self.time_s


class SlowPort(PlatformPort):
    """A platform port whose calls advance the test's clock or lose their answers."""

    def __init__(self, platform: MemoryPlatform, clock: ManualTimer) -> None:
        super().__init__(platform)
        self.clock = clock
        self.call_s = 0.0
        self.fault = ""

    async def write(self, path: str, value: Any, expected_version: int) -> int:
        """Advance the clock by `call_s`, then write; the answer may be lost."""
        self.clock.time_s += self.call_s
        if self.fault == "not in force":
            raise WriteUnknown("no answer", 1.0)
        version = await super().write(path, value, expected_version)
        if self.fault:
            raise WriteUnknown("no answer", 1.0)
        return version

    async def read(self, path: str) -> PlatformObject | None:
        """Read, or fail if reading back is to fail too."""
        if self.fault == "in force but cannot be read":
            raise PlatformUnavailable("down", 1.0)
        return await super().read(path)


@given("leases of {lease_s:g} s with a margin of {margin_s:g} s on one platform object")
def step_leases(context: Context, lease_s: float, margin_s: float) -> None:
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.clock = ManualTimer()
    context.ports = {}
    context.holders = {}
    context.results = {}
    platform = MemoryPlatform()
    timings = CellTimings(lease_s=lease_s, margin_s=margin_s)
    for name in "ABC":
        address = Address("127.0.0.1", 1)
        vm = Vm(name, "zone", f"start-{name}", address, address)
        port = SlowPort(platform, context.clock)
        context.ports[name] = port
        context.holders[name] = PlatformLease(port, PATH, vm, timings, context.clock)


def run(context: Context, work: Any) -> Any:
    return context.loop.run_until_complete(work)


async def take(context: Context, name: str) -> None:
    lease = context.holders[name]
    lead = await lease.read()
    context.results[name] = await lease.claim(lead)


@when("A takes the lease")
def step_take(context: Context) -> None:
    run(context, take(context, "A"))
    assert context.results["A"]


@when("B tries to take the lease")
def step_try(context: Context) -> None:
    run(context, take(context, "B"))


@when("{name:w} sees the lease")
def step_see(context: Context, name: str) -> None:
    run(context, context.holders[name].read())


@when("{time_s:g} s pass")
def step_pass(context: Context, time_s: float) -> None:
    context.clock.time_s += time_s


@when("A renews it in a call that takes {call_s:g} s")
def step_renew(context: Context, call_s: float) -> None:
    context.ports["A"].call_s = call_s
    run(context, context.holders["A"].renew())


@when("A renews it without an answer, {effect}")
def step_renew_lost(context: Context, effect: str) -> None:
    context.ports["A"].fault = effect
    with suppress(PlatformUnavailable):
        run(context, context.holders["A"].renew())


@when(
    "B sees the lease, {count:d} times every {time_s:g} s, and A renews it in between"
)
def step_see_often(context: Context, count: int, time_s: float) -> None:
    for _ in range(count):
        context.clock.time_s += time_s
        run(context, context.holders["A"].renew())
        run(context, context.holders["B"].read())


@when("B and C try to take the lease at once")
def step_race(context: Context) -> None:
    async def race() -> None:
        leads = {name: await context.holders[name].read() for name in "BC"}
        claims = [context.holders[name].claim(leads[name]) for name in "BC"]
        context.results["B"], context.results["C"] = await asyncio.gather(*claims)

    run(context, race())


@when("B claims the lease and its answer is lost")
def step_claim_lost(context: Context) -> None:
    context.ports["B"].fault = "in force"
    run(context, take(context, "B"))


@when("A releases the lease")
def step_release(context: Context) -> None:
    run(context, context.holders["A"].release())


@then("A trusts its lease")
def step_trusts(context: Context) -> None:
    assert context.holders["A"].is_valid()


@then("A no longer trusts its lease")
def step_no_trust(context: Context) -> None:
    assert not context.holders["A"].is_valid()


@then("B has {result} it and A {trusts} its lease")
def step_result(context: Context, result: str, trusts: str) -> None:
    assert context.results["B"] == (result == "taken")
    assert context.holders["B"].is_valid() == (result == "taken")
    assert context.holders["A"].is_valid() == (trusts == "trusts")


@then("A does not hold it and knows epoch {epoch:d}")
def step_not_held(context: Context, epoch: int) -> None:
    assert not context.holders["A"].held
    assert context.holders["A"].epoch == epoch


@then("exactly one of B and C has taken it")
def step_one(context: Context) -> None:
    assert sorted(context.results[name] for name in "BC") == [False, True]
    trusted = [context.holders[name].is_valid() for name in "ABC"]
    assert trusted.count(True) == 1


@then("B has taken it with epoch {epoch:d}")
def step_taken(context: Context, epoch: int) -> None:
    assert context.results["B"]
    assert context.holders["B"].epoch == epoch
