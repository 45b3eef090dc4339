"""features.steps.calls_steps: keyed calls with an in-memory store and service."""

import asyncio
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from features.support.memory_shards import MemoryShards
from greengagetack.calls.keyed import KeyedCalls
from greengagetack.calls.messages import KeyedCall
from greengagetack.errors import CodedError, EndpointFailed, EndpointRefused
from greengagetack.keeper.messages import CallService, ServiceAnswer
from greengagetack.timer import Timer

RETENTION_S = 60.0


class Crash(BaseException):
    """Simulates a crash of the owner's process."""


class RecordingService:
    """A service that counts its runs and fails as configured."""

    def __init__(self) -> None:
        self.runs = 0
        self.fault = "none"
        self.shards = MemoryShards()
        self.hold: asyncio.Event | None = None
        self.started = asyncio.Event()

    async def send(self, call: CallService) -> ServiceAnswer:
        """Run a call once, or refuse it."""
        if self.fault == "refused before running":
            raise EndpointRefused("busy", 1.0)
        self.runs += 1
        self.started.set()
        if self.fault == "answer lost":
            raise EndpointFailed("connection reset")
        if self.fault == "owner dies after sending":
            raise Crash
        if self.fault == "backup lost before the end":
            self.shards.backup_reachable = False
        if self.hold is not None:
            await self.hold.wait()
        return ServiceAnswer(201, (), b"booked")


def _call(first: bool = False) -> KeyedCall:
    call = CallService(
        "r1", "kestrel", "", "booking", "POST", "/bookings", (), b"{}", 5.0
    )
    return KeyedCall("key-1", "content-1", first, call)


async def _outcome(calls: KeyedCalls, call: KeyedCall) -> str:
    try:
        await calls.run(call)
    except CodedError as error:
        return error.code
    except Crash:
        return "crash"
    return "done"


def _new_owner(context: Context) -> KeyedCalls:
    return KeyedCalls(
        context.service.shards, context.service.send, lambda: RETENTION_S, Timer(1)
    )


@given("a key owner and a service")
def step_owner(context: Context) -> None:
    context.service = RecordingService()
    context.calls = _new_owner(context)


@given("records of earlier epochs may be lost")
def step_fresh(context: Context) -> None:
    context.service.shards.started_fresh = True


@when('a keyed call is made under the fault "{fault}"')
def step_call(context: Context, fault: str) -> None:
    context.service.fault = fault
    context.service.shards.backup_reachable = fault != "backup unreachable"
    context.service.shards.acting = fault != "not the owner"
    context.outcome = asyncio.run(_outcome(context.calls, _call()))


@when("a keyed call is made {claim}")
def step_call_claim(context: Context, claim: str) -> None:
    first = claim == "claiming to be the first attempt"
    context.outcome = asyncio.run(_outcome(context.calls, _call(first)))


@when("the call is repeated at the {place}")
def step_repeat(context: Context, place: str) -> None:
    service = context.service
    if place == "successor":
        service.shards = service.shards.fail_over()
        context.calls = _new_owner(context)
    service.fault = "none"
    service.shards.backup_reachable = True
    service.shards.acting = True
    context.outcome = asyncio.run(_outcome(context.calls, _call()))


@when("the call is repeated with different content")
def step_other(context: Context) -> None:
    other = replace(_call(), fingerprint="content-2")
    context.outcome = asyncio.run(_outcome(context.calls, other))


@when("a keyed call is repeated while it runs")
def step_while_running(context: Context) -> None:
    async def both() -> str:
        context.service.hold = asyncio.Event()
        first = asyncio.create_task(_outcome(context.calls, _call()))
        await context.service.started.wait()
        second = await _outcome(context.calls, _call())
        context.service.hold.set()
        assert await first == "done"
        return second

    context.outcome = asyncio.run(both())


@then('its outcome is "{outcome}"')
def step_outcome(context: Context, outcome: str) -> None:
    assert context.outcome == outcome, context.outcome


@then("the service ran it {runs:d} times")
def step_runs(context: Context, runs: int) -> None:
    assert context.service.runs == runs, context.service.runs
