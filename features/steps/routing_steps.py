"""features.steps.routing_steps: routers, routing policies and relays."""

import asyncio
import random
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.support.fake_service import FakeService
from features.support.keeper_world import (
    Answer,
    KeeperWorld,
    assert_whole,
    start_world,
)
from features.support.loops import run_on_loop
from greengagetack.errors import CodedError
from greengagetack.keeper.messages import CallService, Work
from greengagetack.limits.retries import RetryBudgets
from greengagetack.routing.base import Query, make_policy
from greengagetack.routing.loads import LoadTable
from greengagetack.routing.service_relay import ServiceRelay
from greengagetack.settings.schema import RoutingSettings
from greengagetack.timer import Timer
from greengagetack.world import Endpoint, EndpointKind


@given("a router with 2 keepers and {count:d} engines")
def step_router(context: Context, count: int) -> None:
    start_world(context, engine_count=count)


@given("engine e1 takes {slow:d} ms per token and the others {fast:d} ms")
def step_speeds(context: Context, slow: int, fast: int) -> None:
    for name, engine in context.world.engines.items():
        engine.token_s = (slow if name == "e1" else fast) / 1000


@when(
    "the others are busy and {count:d} completions "
    "of {tokens:d} tokens run at engine e1"
)
def step_slow_run(context: Context, count: int, tokens: int) -> None:
    context.token_count = tokens
    context.answers = run_on_loop(context, run_at_slow_engine(context, count, tokens))


async def run_at_slow_engine(context: Context, count: int, tokens: int) -> list[Answer]:
    """Let the router measure the other engines' speed, then use the slow one."""
    world = context.world
    others = [world.request(endpoint_id=name, max_tokens=100) for name in ("e2", "e3")]
    await asyncio.gather(*(world.ask_relay(request) for request in others))
    slow = [world.request(endpoint_id="e1", max_tokens=tokens) for _ in range(count)]
    started_s = world.timer.now_s()
    answers = await asyncio.gather(*(world.ask_relay(request) for request in slow))
    context.elapsed_s = world.timer.now_s() - started_s
    return list(answers)


@then("both are complete in less than half the time that engine e1 needs")
def step_moved(context: Context) -> None:
    for answer in context.answers:
        assert_whole(answer, context.token_count)
    at_e1_alone_s = context.token_count * context.engine.token_s
    assert context.elapsed_s < at_e1_alone_s / 2, context.elapsed_s


@given("engine e1 refuses")
def step_e1_refuses(context: Context) -> None:
    context.engine.refuse = True


@given("engine e1 is gone")
def step_e1_gone(context: Context) -> None:
    run_on_loop(context, context.engine.crash())


@given("engine e1 has an old version")
def step_e1_old(context: Context) -> None:
    context.engine.version = 1
    context.world.engines["e2"].version = 2
    context.oldest_version = 2


@given("engine e1 is leaving")
def step_e1_leaving(context: Context) -> None:
    context.engine.leaving = True


@given("the engines give different texts for the same seed")
def step_salted(context: Context) -> None:
    context.world.engines["e2"].salt = "salt"


@given("the routing policy is {policy}")
def step_policy(context: Context, policy: str) -> None:
    routing = RoutingSettings(policy=policy, ejection_s=0.5)
    context.world.settings.change(routing=routing)


@when("a completion of {count:d} tokens runs and {fault} at token {at:d}")
def step_fault(context: Context, count: int, fault: str, at: int) -> None:
    request = context.world.request(endpoint_id="e1", max_tokens=count)
    context.token_count = count
    work = relay_with_fault(context, request, fault, at, False)
    context.answer = run_on_loop(context, work)


async def relay_with_fault(
    context: Context, request: Any, fault: str, at: int, may_restart: bool
) -> Answer:
    """Relay a completion that starts at e1 and inject a fault there."""
    world = context.world
    for engine in world.engines.values():
        engine.token_s = 0.01
    faults = []

    def on_chunk(answer: Answer) -> None:
        if len(answer.chunks) != at or faults:
            return
        work = world.crash_keeper("a") if "keeper" in fault else context.engine.crash()
        faults.append(asyncio.create_task(work))

    answer = await world.ask_relay(request, may_restart, on_chunk)
    assert faults
    return answer


@then("the relayed answer has every token exactly once")
def step_relayed_whole(context: Context) -> None:
    assert_whole(context.answer, context.token_count)


@then("{count:d} engines were used")
def step_engines_used(context: Context, count: int) -> None:
    assert used_engine_count(context.world) == count


@then("at least {count:d} engines were used")
def step_engines_used_at_least(context: Context, count: int) -> None:
    assert used_engine_count(context.world) >= count


def used_engine_count(world: KeeperWorld) -> int:
    """Return the number of engines that have run a request."""
    return sum(bool(engine.starts) for engine in world.engines.values())


@when("{count:d} completions are requested at the router")
def step_completions(context: Context, count: int) -> None:
    context.answers = run_on_loop(context, complete_many(context, count))


async def complete_many(context: Context, count: int) -> list[Answer]:
    """Request completions of different prompts, two at a time."""
    world = context.world
    oldest = getattr(context, "oldest_version", 0)
    answers: list[Answer] = []
    for _ in range(count // 2):
        requests = [
            world.request(endpoint_id="", oldest_version=oldest) for _ in range(2)
        ]
        answers += await asyncio.gather(*(world.ask_relay(item) for item in requests))
    return answers


@then("all relayed answers are whole")
def step_all_relayed_whole(context: Context) -> None:
    for answer in context.answers:
        assert_whole(answer, 20)


@when(
    "a completion for a consumer that {consumer} runs "
    "and its engine crashes at token {at:d}"
)
def step_crash(context: Context, consumer: str, at: int) -> None:
    request = context.world.request(endpoint_id="e1", max_tokens=30)
    may_restart = consumer == "can start again"
    work = relay_with_fault(context, request, "crash", at, may_restart)
    context.answer = run_on_loop(context, work)


@then("the relayed answer is whole after {count:d} restart")
def step_restarted(context: Context, count: int) -> None:
    assert context.answer.error is None, context.answer.error
    assert context.answer.restarts == count
    assert context.answer.completed is not None
    offsets = [chunk.offset_tokens for chunk in context.answer.chunks]
    assert offsets == list(range(30)), offsets


@given("engine e1 has version 1 and the others version 2")
def step_versions_differ(context: Context) -> None:
    for endpoint_id, engine in context.world.engines.items():
        engine.version = 1 if endpoint_id == "e1" else 2


@then("its tokens were made by versions {versions}")
def step_token_versions(context: Context, versions: str) -> None:
    made_by = sorted({chunk.weight_version for chunk in context.answer.chunks})
    assert made_by == [int(part) for part in versions.split(",")], made_by


@then("the relayed answer is the error {code}")
def step_relayed_error(context: Context, code: str) -> None:
    assert context.answer.error is not None
    assert context.answer.error.code == code, context.answer.error


@then("the relayed error has outcome unknown")
def step_relayed_unknown(context: Context) -> None:
    assert context.answer.error is not None
    assert context.answer.error.outcome.value == "unknown"


@when("one request is routed among {few:d} and among {many:d} endpoints")
def step_candidates(context: Context, few: int, many: int) -> None:
    context.candidates = [candidate_count(few), candidate_count(many)]


def candidate_count(count: int) -> int:
    """Return the number of candidates of the default policy."""
    endpoints = tuple(
        Endpoint(f"e{number}", EndpointKind.ENGINE, "m", "openai", "", "z1")
        for number in range(count)
    )
    policy = make_policy("affinity", LoadTable(Timer(1)), 3, random.Random(1))
    query = Query("m", 1, 10, Work.CALLER, 0)
    return len(policy.candidates(query, endpoints))


@then("the same number of endpoints is probed for both")
def step_same_candidates(context: Context) -> None:
    assert context.candidates[0] == context.candidates[1]


@given("a router with 2 keepers and plain services that {first} and then answer")
def step_services(context: Context, first: str) -> None:
    behaviours = {
        "refuse before running": "refuses before running",
        "accept no connection": "accepts no connection",
        "break after running": "breaks after running",
    }
    start_services(context, behaviours[first], 1)


@given("a router with 2 keepers and plain services that only break after running")
def step_broken_services(context: Context) -> None:
    start_services(context, "breaks after running", 1_000_000)


def start_services(context: Context, behaviour: str, faults: int) -> None:
    """Start two services; the router calls the first, faulty one first."""
    start_world(context)
    first = FakeService(behaviour, faults)
    second = FakeService("answers" if faults == 1 else behaviour)
    context.fakes = [first, second]
    for number, service in enumerate(context.fakes, start=1):
        run_on_loop(context, service.start())
        name = f"s{number}"
        endpoint = Endpoint(name, EndpointKind.SERVICE, "s", "plain", service.url, "z1")
        context.world.cell.endpoints[name] = endpoint
        context.world.cell.keepers[name] = ("a", "b")
    # The router chooses the less used endpoint, so s1 is called first.
    context.world.router.call_started("s2")
    context.world.router.call_started("s2")


@when("{kind} plain call is made at the router")
def step_plain_call(context: Context, kind: str) -> None:
    context.result = run_on_loop(
        context, plain_call(context, kind != "a non-idempotent")
    )


@when("{count:d} idempotent plain calls are made at the router")
def step_plain_calls(context: Context, count: int) -> None:
    for _ in range(count):
        run_on_loop(context, plain_call(context, True))


async def plain_call(context: Context, idempotent: bool) -> str:
    """Make a call through the relay and return its status or error code."""
    world = context.world
    if not hasattr(context, "service_relay"):
        budgets = RetryBudgets(world.settings)
        context.service_relay = ServiceRelay(world.router, budgets)
    call = CallService("r", "t", "", "s", "POST", "/x", (), b"", 5.0)
    try:
        answer = await context.service_relay.call(call, idempotent=idempotent)
    except CodedError as error:
        return error.code
    return str(answer.status)


@then("the routed plain call gives {result}")
def step_routed_result(context: Context, result: str) -> None:
    assert context.result == result, context.result


@then("the plain services have run it {count:d} times")
def step_service_runs(context: Context, count: int) -> None:
    assert sum(service.runs for service in context.fakes) == count


@then("the plain services have run at most {count:d} calls")
def step_service_runs_at_most(context: Context, count: int) -> None:
    runs = sum(service.runs for service in context.fakes)
    assert 40 <= runs <= count, runs
