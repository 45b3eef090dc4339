"""features.steps.response_memory_steps: how much servers make a process hold."""

import asyncio
from functools import partial

from behave import given, then, when
from behave.runner import Context

from features.support.virtual_time import run_in_virtual_time
from greengagetack.batches.events import Event
from greengagetack.batches.job import Item
from greengagetack.batches.progress import ItemProgress, OutputTooLong
from greengagetack.http1.memory import Holding, ResponseMemory
from greengagetack.http1.pacing import ParserPacing

READY = "ready"
TOLERANCE_S = 0.01


@given("a memory for responses of {limit:d} bytes")
def step_memory(context: Context, limit: int) -> None:
    context.memory = ResponseMemory(limit)


@when("these hold bytes, one after another: {holders}")
def step_hold(context: Context, holders: str) -> None:
    """Each holder is named after its source and a number."""
    context.holdings = {}
    context.dropped = []

    def evict(name: str, reason: str) -> None:
        context.dropped.append(name)

    for each in holders.split():
        name, _, held = each.partition("=")
        holding: Holding | None = context.holdings.get(name)
        if holding is None:
            on_evicted = None if name == READY else partial(evict, name)
            holding = context.memory.open(name[0], on_evicted)
            context.holdings[name] = holding
        holding.resize(int(held))


@then("these are dropped, in this order: {dropped}")
def step_dropped(context: Context, dropped: str) -> None:
    assert context.dropped == dropped.replace("-", "").split(), context.dropped


@when("a response that is ready holds {held:d} bytes and is deleted")
def step_delete(context: Context, held: int) -> None:
    holding = context.memory.open("a")
    holding.resize(held)
    assert context.memory.used_bytes == held
    del holding


@then("{used:d} bytes are in use")
def step_used(context: Context, used: int) -> None:
    assert context.memory.used_bytes == used, context.memory.used_bytes


@given("a parser budget of {rate:d} pieces a second")
def step_budget(context: Context, rate: int) -> None:
    context.rate = rate


@when(
    "a server's responses bring {pieces:d} pieces at once, beside another server's 10"
)
def step_pieces(context: Context, pieces: int) -> None:
    context.pacing = ParserPacing(context.rate, lambda: 0.0)
    context.pacing.record("a", pieces)
    context.pacing.record("b", 10)


@then(
    "nothing of that server is parsed for {wait:g} s, nor anything of the other for "
    "{other:g} s"
)
def step_wait(context: Context, wait: float, other: float) -> None:
    waits_s = (context.pacing.wait_s("a"), context.pacing.wait_s("b"))
    assert waits_s == (wait, other), waits_s


@when(
    "{connections:d} of a server's connections have {pieces:d} pieces each, after "
    "{before:d} pieces at once"
)
def step_turns(context: Context, connections: int, pieces: int, before: int) -> None:
    async def run() -> list[tuple[int, float]]:
        clock = asyncio.get_running_loop().time
        pacing = ParserPacing(context.rate, clock)
        parsed: list[tuple[int, float]] = []
        began_s = clock()
        pacing.record("a", before)

        def parse(number: int) -> None:
            parsed.append((number, clock() - began_s))
            pacing.record("a", pieces)

        for number in range(connections):
            assert pacing.must_wait("a")
            pacing.run_in_turn("a", partial(parse, number))
        await asyncio.sleep(connections * pieces / context.rate + TOLERANCE_S)
        assert not pacing.must_wait("b")
        return parsed

    context.parsed = run_in_virtual_time(run())


@then("they are parsed in this order, {gap:g} s apart: {order}")
def step_order(context: Context, gap: float, order: str) -> None:
    assert [number for number, _ in context.parsed] == [int(n) for n in order.split()]
    for number, at_s in context.parsed:
        assert abs(at_s - gap * (number + 1)) <= TOLERANCE_S, context.parsed


@when("an item gets {count:d} events without text, and one more")
def step_empty_events(context: Context, count: int) -> None:
    progress = ItemProgress(Item("i", "/", (), b"", 1_000, "g"))
    for number in range(1, count + 1):
        progress.append_event(Event(str(number), "", ()), 1)
    context.refusal = None
    try:
        progress.append_event(Event(str(count + 1), "", ()), 1)
    except OutputTooLong as error:
        context.refusal = error


@then("the last one is refused as too much output")
def step_too_much(context: Context) -> None:
    assert context.refusal is not None
