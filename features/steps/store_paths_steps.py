"""features.steps.store_paths_steps: calls to the store by several paths."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from behave import given, then, when
from behave.runner import Context

from greengagetack.errors import PlatformUnavailable
from greengagetack.objects.transport import RelayedTransport, StoreResponse
from greengagetack.observability.metrics import Metrics
from greengagetack.staggered import first_result

SILENCE_S = 5.0


class Path:
    """A path to the store that behaves as described."""

    def __init__(self, behaviour: str) -> None:
        self._behaviour = behaviour
        self.calls = 0

    async def call(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreResponse:
        """Answer, refuse or fail."""
        self.calls += 1
        if self._behaviour == "is not reached":
            raise PlatformUnavailable("not reached")
        if self._behaviour == "refuses":
            return StoreResponse(503, b"")
        is_silent = self._behaviour == "is silent"
        words = self._behaviour.split()
        await asyncio.sleep(SILENCE_S if is_silent else float(words[2]))
        return StoreResponse(200, b"{}")


@given("the store {direct}, and through other daemons it {relayed}")
def step_paths(context: Context, direct: str, relayed: str) -> None:
    context.relayed = Path(relayed)
    context.transport = RelayedTransport(Path(direct), context.relayed.call, Metrics())


@when("a daemon calls the store")
def step_call(context: Context) -> None:
    started_s = time.monotonic()
    try:
        call = context.transport.call("GET", "/objects/config", b"", 0.0)
        response = asyncio.run(call)
        context.outcome = "an answer" if response.status == 200 else "a refusal"
    except PlatformUnavailable:
        context.outcome = "no answer"
    context.taken_s = time.monotonic() - started_s


@then(
    "it has {outcome} after {least_s:g} to {most_s:g} s, with {calls:d} calls "
    "through others"
)
def step_outcome(
    context: Context, outcome: str, least_s: float, most_s: float, calls: int
) -> None:
    assert context.outcome == outcome, context.outcome
    assert least_s <= context.taken_s <= most_s, context.taken_s
    assert context.relayed.calls == calls, context.relayed.calls


@when("ways end as {ways}, each started 0.1 s after the one before")
def step_ways(context: Context, ways: str) -> None:
    context.started = 0

    def way(text: str) -> Callable[[], Awaitable[str | None]]:
        name, _, duration = text.partition(":")

        async def run() -> str | None:
            context.started += 1
            await asyncio.sleep(float(duration))
            return None if name == "none" else name

        return run

    started_s = time.monotonic()
    attempts = [way(text) for text in ways.split()]
    context.result = asyncio.run(first_result(attempts, 0.1))
    context.taken_s = time.monotonic() - started_s


@then(
    "the result is {result} after {least_s:g} to {most_s:g} s, and {started:d} were "
    "started"
)
def step_result(
    context: Context, result: str, least_s: float, most_s: float, started: int
) -> None:
    assert (context.result or "none") == result, context.result
    assert least_s <= context.taken_s <= most_s, context.taken_s
    assert context.started == started, context.started
