"""features.steps.links_steps: when links between daemons are closed."""

import asyncio

from behave import given, then, when
from behave.runner import Context

from features.support.loops import run_on_loop, start_loop
from greengagetack.peers import link
from greengagetack.peers.messages import Done, Failure
from greengagetack.peers.node import PeerNode, listening_socket
from greengagetack.timer import Timer
from greengagetack.world import Address


@given("two linked daemons that close links after {limit:g} s without use")
def step_two(context: Context, limit: float) -> None:
    for name, value in (("IDLE_LIMIT_S", limit), ("PING_INTERVAL_S", 0.1)):
        context.add_cleanup(setattr, link, name, getattr(link, name))
        setattr(link, name, value)
    start_loop(context)
    run_on_loop(context, _start(context))


async def _start(context: Context) -> None:
    context.one = PeerNode("v1", "i1", Timer(1))
    context.other = PeerNode("v2", "i1", Timer(2))

    async def answer(sender: str, body: Failure) -> Done:
        await asyncio.sleep(body.retry_after_s or 0.0)
        return Done()

    context.other.handle(Failure, answer)
    listener = listening_socket(Address("127.0.0.1", 0))
    await context.other.start(listener)
    context.one.learn_address("v2", Address(*listener.getsockname()))


async def _ask(context: Context, takes_s: float = 0.0) -> object:
    question = Failure("question", "takes a while", takes_s)
    return await context.one.request("v2", question, 10.0)


@when("one link peer asks the other and waits {pause:g} s")
def step_ask(context: Context, pause: float) -> None:
    async def ask_and_wait() -> None:
        assert await _ask(context) == Done()
        await asyncio.sleep(pause)

    run_on_loop(context, ask_and_wait())


@when("one link peer asks a question that takes {takes:g} s")
def step_long(context: Context, takes: float) -> None:
    context.answer = run_on_loop(context, _ask(context, takes))


@then("the link peers have {count:d} links")
def step_links(context: Context, count: int) -> None:
    assert context.one.link_count == count, context.one.link_count
    assert context.other.link_count == count, context.other.link_count


@then("the next question over links is answered")
def step_next(context: Context) -> None:
    assert run_on_loop(context, _ask(context)) == Done()
    assert context.one.link_count == 1


@then("the link answer arrives whole")
def step_whole(context: Context) -> None:
    assert context.answer == Done()
