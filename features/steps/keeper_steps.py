"""features.steps.keeper_steps: admission, scheduling and relaying by a keeper."""

import asyncio
import random
from collections import Counter
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.support.fake_engine import FakeEngine
from features.support.keeper_world import ROUTING, assert_whole, whole_text
from features.support.loops import run_on_loop
from greengagetack.keeper.fair_queue import FairQueue
from greengagetack.keeper.generation import Generation
from greengagetack.keeper.messages import (
    Chunk,
    Complete,
    ListHeldRequests,
    ReleaseHeld,
    Work,
)


def rollout(context: Context, **fields: Any) -> Complete:
    """Return a rollout request."""
    return context.world.request(work=Work.ROLLOUT, job_id="j", **fields)


def gate(context: Context, endpoint_id: str = "e1") -> Any:
    """Return the gate of an endpoint at its keeper."""
    keeper = context.world.cell.keepers[endpoint_id][0]
    return context.world.roles[keeper].gates[endpoint_id]


async def ask_all(context: Context, requests: list[Complete]) -> list[Any]:
    """Request several completions from keeper `a` at once."""
    world = context.world
    return await asyncio.gather(*(world.ask("a", request) for request in requests))


async def read_and_disconnect(context: Context, request: Complete, count: int) -> None:
    """Read some chunks of a request, then disconnect."""
    stream = context.world.nodes["door"].stream("a", request, 20.0)
    seen = 0
    async for _ in stream:
        seen += 1
        if seen == count:
            break
    await stream.aclose()


@when("3 readers request the same rollout from tokens 0, 0 and 10")
def step_three_readers(context: Context) -> None:
    base = rollout(context)
    context.offsets = [0, 0, 10]
    run_on_loop(context, read_from(context, base, context.offsets))


@when("one reader requests a rollout from token 10 and then another from token 0")
def step_earlier_reader(context: Context) -> None:
    base = rollout(context)
    context.offsets = [10, 0]
    run_on_loop(context, read_from(context, base, context.offsets))


async def read_from(context: Context, base: Complete, offsets: list[int]) -> None:
    """Read one request from several offsets, with readers joining one by one."""
    tasks = []
    for offset in offsets:
        fields = {name: getattr(base, name) for name in base.__dataclass_fields__}
        request = Complete(**(fields | {"offset_tokens": offset}))
        tasks.append(asyncio.create_task(context.world.ask("a", request)))
        await asyncio.sleep(0.01)
    context.answers = await asyncio.gather(*tasks)


@then("each reader receives all tokens from its own offset")
def step_own_offsets(context: Context) -> None:
    tokens = whole_text(20).split(" ")
    for offset, answer in zip(context.offsets, context.answers, strict=True):
        assert answer.error is None, answer.error
        got = [chunk for chunk in answer.chunks if chunk.offset_tokens >= offset]
        assert "".join(chunk.text for chunk in got) == " ".join(tokens[offset:])


@when("the reader of a rollout disconnects after {count:d} tokens")
def step_rollout_reader_leaves(context: Context, count: int) -> None:
    context.request = rollout(context)
    run_on_loop(context, read_and_disconnect(context, context.request, count))


@when("the reader of a caller's request disconnects after {count:d} tokens")
def step_caller_reader_leaves(context: Context, count: int) -> None:
    context.request = context.world.request(max_tokens=1000)
    run_on_loop(context, read_and_disconnect(context, context.request, count))


async def held_by_a(context: Context) -> Any:
    """Return what keeper `a` holds for the job."""
    node = context.world.nodes["door"]
    return (await node.request("a", ListHeldRequests("j"))).requests


@then("the keeper eventually holds the finished answer")
def step_holds(context: Context) -> None:
    held = context.world.roles["a"].held

    def finished() -> bool:
        return any(item.finished for item in held.requests_of_job("j"))

    run_on_loop(context, context.world.until(finished))
    assert len(run_on_loop(context, held_by_a(context))) == 1


@then("a second reader receives the whole answer without another run")
def step_collects(context: Context) -> None:
    answer = run_on_loop(context, context.world.ask("a", context.request))
    assert_whole(answer, 20)
    assert len(context.engine.starts) == 1


@then("the keeper holds nothing after the answer is released")
def step_released(context: Context) -> None:
    body = ReleaseHeld((context.request.request_id,))
    run_on_loop(context, context.world.nodes["door"].request("a", body))
    assert run_on_loop(context, held_by_a(context)) == ()


@then("the keeper cancels the request at the engine")
def step_cancelled(context: Context) -> None:
    def cancelled() -> bool:
        return context.request.request_id in context.engine.cancels

    run_on_loop(context, context.world.until(cancelled))


@when("a rollout is requested as attempt 0 and then as attempt 1")
def step_attempts(context: Context) -> None:
    base = rollout(context)
    fields = {name: getattr(base, name) for name in base.__dataclass_fields__}
    again = Complete(**(fields | {"attempt": 1}))
    run_on_loop(context, context.world.ask("a", base))
    assert_whole(run_on_loop(context, context.world.ask("a", again)), 20)


@given("the engine has version {version:d} loaded")
def step_version(context: Context, version: int) -> None:
    context.engine.version = version


@given("the engine answers with version 1 though it has loaded version 2")
def step_other_version(context: Context) -> None:
    context.engine.version = 2
    context.engine.answer_version = 1


@when(
    "a caller requests {count:d} tokens of version {oldest:d} or newer from the keeper"
)
def step_ask_version(context: Context, count: int, oldest: int) -> None:
    request = context.world.request(max_tokens=count, oldest_version=oldest)
    context.answer = run_on_loop(context, context.world.ask("a", request))


@then("the keeper's answer is {result}")
def step_answer_is(context: Context, result: str) -> None:
    if result == "whole":
        assert_whole(context.answer, 20)
        return
    assert context.answer.error.code == result, context.answer.error
    assert context.answer.error.outcome.value == "not_run"
    assert not context.engine.starts


@then("no token is relayed to the caller")
def step_no_token(context: Context) -> None:
    assert not context.answer.chunks


@given("the engine generates a token every {pause_ms:d} ms")
def step_pace(context: Context, pause_ms: int) -> None:
    context.engine.token_s = pause_ms / 1000


@when("the engine reports that it is leaving during a stream of {count:d} tokens")
def step_leaves(context: Context, count: int) -> None:
    run_on_loop(context, leave_in_stream(context, count))


async def leave_in_stream(context: Context, count: int) -> None:
    """Make the engine leave during a stream, then send another request."""
    world = context.world

    def on_chunk(answer: Any) -> None:
        if len(answer.chunks) == 3:
            context.engine.leaving = True

    request = world.request(max_tokens=count)
    stream = asyncio.create_task(world.ask("a", request, on_chunk))
    await world.until(lambda: world.cell.reported == ["e1"])
    context.refused = await world.ask("a", world.request())
    assert not stream.done()
    context.answer = await stream


@then("the keeper reports the engine as leaving")
def step_sign(context: Context) -> None:
    assert context.world.cell.reported == ["e1"]


@then("a new request is refused as not run")
def step_refused_not_run(context: Context) -> None:
    assert context.refused.error.code == "endpoint_refused"
    assert context.refused.error.outcome.value == "not_run"
    assert len(context.engine.starts) == 1


@then("the stream in flight ends with all its tokens")
def step_stream_ended(context: Context) -> None:
    assert_whole(context.answer, 40)


@then("the engine gets work again once it reports that it is staying")
def step_stays(context: Context) -> None:
    context.engine.leaving = False
    is_back = lambda: not context.world.cell.leaving  # noqa: E731
    run_on_loop(context, context.world.until(is_back))
    answer = run_on_loop(context, context.world.ask("a", context.world.request()))
    assert_whole(answer, 20)


@when("the keeper drains while {count:d} requests wait and run")
def step_drain(context: Context, count: int) -> None:
    run_on_loop(context, drain_busy(context, count))


async def drain_busy(context: Context, count: int) -> None:
    """Drain while there are more requests than engine slots."""
    world = context.world
    requests = [world.request(seed=7) for _ in range(count)]
    tasks = [asyncio.create_task(world.ask("a", request)) for request in requests]
    await world.until(lambda: bool(context.engine.starts))
    drain = asyncio.create_task(world.roles["a"].drain())
    await asyncio.sleep(0)
    context.refused = await world.ask("a", world.request())
    context.answers = await asyncio.gather(*tasks)
    await drain


@then("all {count:d} answers are whole")
def step_all_whole(context: Context, count: int) -> None:
    assert len(context.answers) == count
    for answer in context.answers:
        assert_whole(answer, 20)


@then("a new request is refused with not_ready")
def step_not_ready(context: Context) -> None:
    error = context.refused.error
    assert error.code == "not_ready"
    assert error.retry_after_s is not None


@when("the engine is down for {count:d} requests and then restarts")
def step_gone_and_back(context: Context, count: int) -> None:
    run_on_loop(context, gone_and_back(context, count))


async def gone_and_back(context: Context, count: int) -> None:
    """Crash the engine until it is ejected, then restart it on the same port."""
    world = context.world
    old = context.engine
    await world.ask("a", world.request())
    await old.crash()
    for _ in range(count):
        await world.ask("a", world.request())
    assert gate(context).health.ejected
    context.refused = await world.ask("a", world.request())
    fresh = FakeEngine()
    fresh.address = old.address
    fresh.token_s = 0.01
    await fresh.start()
    context.engine = world.engines["e1"] = fresh
    await world.until(lambda: not gate(context).health.ejected)
    context.first_slots = gate(context).health.concurrency_limit()
    for _ in range(6):
        await world.ask("a", world.request())


@then("the engine is ejected and readmitted with a limit of one request")
def step_recovered(context: Context) -> None:
    assert context.refused.error.code == "endpoint_refused"
    assert context.first_slots == 1, context.first_slots
    assert gate(context).health.concurrency_limit() == 4


@when("the engine is ejected, leaves and then restarts")
def step_ejected_and_leaving(context: Context) -> None:
    run_on_loop(context, eject_and_leave(context))


async def eject_and_leave(context: Context) -> None:
    """Crash the engine until it is ejected, then restart it as a leaving endpoint."""
    world = context.world
    old = context.engine
    await world.ask("a", world.request())
    await old.crash()
    for _ in range(3):
        await world.ask("a", world.request())
    assert gate(context).health.ejected
    world.cell.leaving.add("e1")
    fresh = FakeEngine()
    fresh.address = old.address
    await fresh.start()
    context.engine = world.engines["e1"] = fresh
    await asyncio.sleep(3 * ROUTING.ejection_s)


@then("the engine gets no probe")
def step_no_probe(context: Context) -> None:
    assert context.engine.starts == [], context.engine.starts
    assert gate(context).health.ejected


@given("engine {endpoint_id} is {factor:d} times slower than the others")
def step_slower(context: Context, endpoint_id: str, factor: int) -> None:
    for engine in context.world.engines.values():
        engine.token_s = 0.005
    context.world.engines[endpoint_id].token_s = 0.005 * factor


@when("callers keep all engines busy")
def step_busy(context: Context) -> None:
    run_on_loop(context, keep_busy(context))


async def keep_busy(context: Context) -> None:
    """Send requests to every engine until the slow one is ejected."""
    world = context.world

    async def ask_forever(endpoint_id: str) -> None:
        keeper = world.cell.keepers[endpoint_id][0]
        while True:
            request = world.request(endpoint_id=endpoint_id, max_tokens=100)
            answer = await world.ask(keeper, request)
            if answer.error is not None:
                await asyncio.sleep(0.1)

    tasks = [
        asyncio.create_task(ask_forever(endpoint_id))
        for endpoint_id in world.engines
        for _ in range(2)
    ]
    await world.until(lambda: gate(context).health.ejected)
    for task in tasks:
        task.cancel()


@then("engine {endpoint_id} is ejected and the others are not")
def step_ejected(context: Context, endpoint_id: str) -> None:
    for name in context.world.engines:
        assert gate(context, name).health.ejected == (name == endpoint_id)


@then("engine {endpoint_id} gets work again once it is as fast as the others")
def step_fast_again(context: Context, endpoint_id: str) -> None:
    context.world.engines[endpoint_id].token_s = 0.005
    health = gate(context, endpoint_id).health
    run_on_loop(context, context.world.until(lambda: not health.ejected))


@when(
    "{count:d} rollouts of {tokens:d} tokens are sent and then one with {left:g} s left"
)
def step_queue(context: Context, count: int, tokens: int, left: float) -> None:
    run_on_loop(context, fill_queue(context, count, tokens, left))


async def fill_queue(context: Context, count: int, tokens: int, left: float) -> None:
    """Measure the engine's pace, fill its queue, then send a short deadline."""
    world = context.world
    await world.ask("a", world.request())
    tasks = []
    for _ in range(count):
        request = rollout(
            context, max_tokens=tokens, expected_tokens=tokens, time_left_s=100.0
        )
        tasks.append(asyncio.create_task(world.ask("a", request)))
    await asyncio.sleep(0.1)
    last = rollout(context, max_tokens=tokens, expected_tokens=tokens, time_left_s=left)
    asked = asyncio.create_task(world.ask("a", last))
    await asyncio.wait([asked], timeout=0.5)
    context.refusal = asked.result().error if asked.done() else None
    for task in [*tasks, asked]:
        task.cancel()


@then("the last rollout is {result}")
def step_last_rollout(context: Context, result: str) -> None:
    if result == "admitted":
        assert context.refusal is None, context.refusal
        return
    assert context.refusal.code == result
    assert context.refusal.outcome.value == "not_run"
    assert 0 < context.refusal.retry_after_s <= 30


def rollout_generation(team: str, tokens: int, expected: int) -> Generation:
    """Return a rollout of a team that takes `tokens` tokens."""
    request = Complete(
        "r", team, Work.ROLLOUT, "e", "m", "p", tokens, 0, 9.0, expected_tokens=expected
    )
    return Generation(request, 0.0)


def serve_requests(queue: FairQueue, rounds: int, lengths: Any) -> dict[str, int]:
    """Serve `rounds` requests with 4 slots while every team has more waiting."""
    served = dict.fromkeys(queue_weights(queue), 0)
    running: list[tuple[Generation, int]] = []
    for _ in range(rounds):
        generation = queue.pop((Work.ROLLOUT,))
        assert generation is not None
        running.append((generation, generation.request.max_tokens))
        if len(running) == 4:
            finish_oldest(queue, running, served, lengths)
    return served


def queue_weights(queue: FairQueue) -> list[str]:
    """Return the teams of a queue."""
    return list(queue._teams)


def finish_oldest(queue: FairQueue, running: Any, served: Any, lengths: Any) -> None:
    """End the oldest running request and add the team's next one."""
    generation, tokens = running.pop(0)
    generation.add_chunk(Chunk(0, tokens, "", 1))
    queue.settle(generation)
    team = generation.request.team
    served[team] += tokens
    queue.push(lengths(team), queue._teams[team].weight)


@given("a fair queue with teams {teams}")
def step_fair_queue(context: Context, teams: str) -> None:
    context.queue = FairQueue()
    context.weights = {}
    for part in teams.split():
        name, weight = part.split(":")
        context.weights[name] = float(weight)


def request_source(kind: str) -> Any:
    """Return a function that creates the next request of a team."""
    rng = random.Random(5)

    def next_request(team: str) -> Generation:
        if kind == "fixed":
            return rollout_generation(team, 50, 50)
        if kind == "heavy-tailed":
            tokens = min(2000, int(20 * rng.paretovariate(1.2)))
            return rollout_generation(team, tokens, 60)
        return rollout_generation(team, rng.randint(1, 40), 200)

    return next_request


@when("every team keeps requests of {kind} tokens waiting")
def step_serve_requests(context: Context, kind: str) -> None:
    source = request_source(kind)
    for team, weight in context.weights.items():
        for _ in range(8):
            context.queue.push(source(team), weight)
    context.served = serve_requests(context.queue, 8000, source)


@then("each team's share of the tokens is within 2 percent of its weight")
def step_shares(context: Context) -> None:
    total = sum(context.served.values())
    weights = sum(context.weights.values())
    for team, weight in context.weights.items():
        share = context.served[team] / total
        assert abs(share - weight / weights) <= 0.02 * weight / weights, context.served


@when("team b joins after team a has had 10000 tokens")
def step_joins_late(context: Context) -> None:
    source = request_source("fixed")
    queue = context.queue
    for _ in range(8):
        queue.push(source("a"), 1.0)
    serve_requests(queue, 200, source)
    for _ in range(8):
        queue.push(source("b"), 1.0)
    context.served = serve_requests(queue, 400, source)


@when(
    "team b joins while {running:d} requests of team a are charged "
    "{expected:d} tokens and take {tokens:d}"
)
def step_joins_overcharged(
    context: Context, running: int, expected: int, tokens: int
) -> None:
    queue = context.queue
    for _ in range(4 * running):
        queue.push(rollout_generation("a", expected, expected), 1.0)
    context.running = [queue.pop((Work.ROLLOUT,)) for _ in range(running)]
    for _ in range(4 * running):
        queue.push(rollout_generation("b", expected, expected), 1.0)
    context.tokens = tokens


@then("each team gets at least {least:d} of the next {count:d} requests")
def step_next_requests(context: Context, count: int, least: int) -> None:
    queue = context.queue
    served: Counter[str] = Counter()
    for _ in range(count):
        ended = context.running.pop(0)
        ended.add_chunk(Chunk(0, context.tokens, "", 1))
        queue.settle(ended)
        queue.push(
            rollout_generation(ended.request.team, context.tokens, context.tokens), 1.0
        )
        taken = queue.pop((Work.ROLLOUT,))
        served[taken.request.team] += 1
        context.running.append(taken)
    assert min(served["a"], served["b"]) >= least, served


@then("both teams receive equal shares from then on")
def step_same(context: Context) -> None:
    difference = abs(context.served["a"] - context.served["b"])
    assert difference <= 0.02 * sum(context.served.values()), context.served


@when("{count:d} rollouts fill the engine before a caller's request arrives")
def step_caller_first(context: Context, count: int) -> None:
    run_on_loop(context, caller_first(context, count))


async def caller_first(context: Context, count: int) -> None:
    """Fill the engine with rollouts, then send a caller's request."""
    world = context.world
    tasks = [
        asyncio.create_task(world.ask("a", rollout(context, max_tokens=40)))
        for _ in range(count)
    ]
    await world.until(lambda: len(context.engine.starts) >= 3)
    await asyncio.sleep(0.1)
    context.started_before = len(context.engine.starts)
    caller = world.request(max_tokens=5)
    context.answer = await world.ask("a", caller)
    context.caller_position = context.engine.starts.index(caller.request_id)
    for task in tasks:
        task.cancel()


@then("the caller is served before any waiting rollout starts")
def step_caller_was_first(context: Context) -> None:
    assert_whole(context.answer, 5)
    assert context.caller_position == context.started_before


@when("team flood sends {many:d} rollouts and then team small sends {few:d}")
def step_flood(context: Context, many: int, few: int) -> None:
    run_on_loop(context, flood(context, many))


async def flood(context: Context, many: int) -> None:
    """Overflow the queue with rollouts of one team, then send one of another."""
    world = context.world
    tasks = [
        asyncio.create_task(world.ask("a", rollout(context, team="flood")))
        for _ in range(many)
    ]
    await asyncio.sleep(0.1)
    context.small = await world.ask("a", rollout(context, team="small"))
    context.answers = await asyncio.gather(*tasks)


@then("the rollout of team small is served")
def step_small_served(context: Context) -> None:
    assert_whole(context.small, 20)


@then("the refused rollouts were not run and got jittered retry delays")
def step_flood_refused(context: Context) -> None:
    errors = [answer.error for answer in context.answers if answer.error is not None]
    assert len(errors) >= 3
    assert {error.code for error in errors} == {"overloaded"}
    assert {error.outcome.value for error in errors} == {"not_run"}
    assert len({error.retry_after_s for error in errors}) > 1
    assert len(context.engine.starts) == len(context.answers) - len(errors) + 1
