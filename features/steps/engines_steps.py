"""features.steps.engines_steps: completions and calls through a keeper."""

import asyncio
from contextlib import suppress
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.support.fake_service import FakeService
from features.support.keeper_world import assert_whole, start_world
from features.support.late_platform import LatePlatform
from features.support.loops import run_on_loop, start_loop
from greengagetack.engines import make_adapter
from greengagetack.engines.http import EndpointHttp
from greengagetack.engines.sequence import TokenSequence
from greengagetack.errors import CodedError, PlatformUnavailable
from greengagetack.keeper.errors import StreamTorn
from greengagetack.keeper.messages import CallService, Chunk
from greengagetack.objects.client import PlatformClient
from greengagetack.settings.schema import AdmissionSettings
from greengagetack.world import Endpoint, EndpointKind


@given("a keeper in front of {count:d} engine")
@given("a keeper in front of {count:d} engines")
def step_keeper(context: Context, count: int) -> None:
    start_world(context, engine_count=count)


@given("a keeper in front of 1 engine with a queue of {limit:d}")
def step_keeper_short_queue(context: Context, limit: int) -> None:
    start_world(context, admission=AdmissionSettings(queue_limit=limit))


@given("the engine's next stream {fault} at token {token:d}")
def step_stream_fault(context: Context, fault: str, token: int) -> None:
    attributes = {
        "is silent": "silent_at",
        "breaks": "break_at",
        "reports an error": "error_at",
        "swaps": "swap_at",
    }
    setattr(context.engine, attributes[fault], token)


@given("the engine refuses")
def step_refuses(context: Context) -> None:
    context.engine.refuse = True


@given("the engine is gone")
def step_gone(context: Context) -> None:
    run_on_loop(context, context.engine.crash())


@given("the engine crashes at once")
def step_crashes(context: Context) -> None:
    context.crash_at = 1


@when("a caller requests {count:d} tokens from the keeper")
def step_ask(context: Context, count: int) -> None:
    crash_at = getattr(context, "crash_at", None)
    crashes = []

    def on_chunk(answer: Any) -> None:
        if len(answer.chunks) == crash_at:
            crashes.append(context.loop.create_task(context.engine.crash()))

    request = context.world.request(max_tokens=count)
    context.answer = run_on_loop(context, context.world.ask("a", request, on_chunk))


@then("the answer contains each token exactly once")
def step_whole(context: Context) -> None:
    assert_whole(context.answer, 20)


@then("the engine has run {count:d} request")
def step_runs(context: Context, count: int) -> None:
    assert len(context.engine.starts) == count, context.engine.starts


@then("the keeper's error is {code} with outcome {outcome}")
def step_error(context: Context, code: str, outcome: str) -> None:
    error = context.answer.error
    assert error is not None
    assert (error.code, error.outcome.value) == (code, outcome), (error.code, error)


def parse_chunks(text: str) -> list[Chunk]:
    """Parse chunks written as ``offset:text:version``; a letter is a token."""
    chunks = []
    for part in text.split():
        offset, letters, version = part.split(":")
        chunks.append(Chunk(int(offset), len(letters), letters, int(version)))
    return chunks


@when("tokens are received as {received} and then {replayed}")
def step_join(context: Context, received: str, replayed: str) -> None:
    sequence = TokenSequence()
    parts = []
    try:
        for chunk in parse_chunks(received) + parse_chunks(replayed):
            fresh = sequence.accept(chunk)
            parts.append(fresh.text if fresh is not None else "")
    except StreamTorn:
        parts = ["torn"]
    context.joined = "".join(parts)


@then("the joined tokens are {joined}")
def step_joined(context: Context, joined: str) -> None:
    assert context.joined == joined, context.joined


@when("a cancelled exchange with the engine is followed by {count:d} others")
def step_cancelled_exchange(context: Context, count: int) -> None:
    context.exchanges = run_on_loop(context, cancelled_exchange(context, count))


async def cancelled_exchange(context: Context, count: int) -> list[tuple[str, str]]:
    """Cancel an exchange on a reused connection, then run `count` others."""
    http = EndpointHttp(context.world.cell.endpoints["e1"])
    engine = context.engine
    await http.request("GET", "/named/first", 2.0)
    engine.answer_delay_s = 0.2
    late = asyncio.create_task(http.request("GET", "/named/late", 2.0))
    await asyncio.sleep(0.05)
    late.cancel()
    await asyncio.gather(late, return_exceptions=True)
    engine.answer_delay_s = 0.0
    pairs = []
    for number in range(count):
        answer = await http.request("GET", f"/named/{number}", 2.0)
        pairs.append((str(number), answer.body.decode()))
    await http.close()
    return pairs


@then("each exchange receives its own answer")
def step_own_answers(context: Context) -> None:
    for name, body in context.exchanges:
        assert f'"/named/{name}"' in body, (name, body)


@given("a platform that answers some reads late")
def step_late_platform(context: Context) -> None:
    start_loop(context)
    context.platform = LatePlatform()
    run_on_loop(context, context.platform.start())
    context.add_cleanup(lambda: run_on_loop(context, context.platform.close()))


@when("{count:d} reads of other objects follow one that timed out")
def step_reads(context: Context, count: int) -> None:
    context.reads = run_on_loop(context, read_after_late(context.platform, count))


async def read_after_late(platform: LatePlatform, count: int) -> list[tuple[str, str]]:
    """Time out a read on a reused connection, then read other objects."""
    client = PlatformClient(platform.url, timeout_s=0.1)
    pairs = []
    try:
        await client.read("first")
        platform.delay_s = 0.3
        with suppress(PlatformUnavailable):
            await client.read("late")
        platform.delay_s = 0.0
        for number in range(count):
            found = await client.read(f"other-{number}")
            assert found is not None
            pairs.append((f"other-{number}", found.path))
    finally:
        await client.close()
    return pairs


@then("each read returns its own object")
def step_own_objects(context: Context) -> None:
    for path, found in context.reads:
        assert found == path, (path, found)


@given("a plain service that {behaviour}")
def step_service(context: Context, behaviour: str) -> None:
    start_loop(context)
    context.service = FakeService(behaviour)
    run_on_loop(context, context.service.start())
    context.add_cleanup(lambda: run_on_loop(context, context.service.close()))


@when("one call is sent to the plain service")
def step_call(context: Context) -> None:
    context.result = run_on_loop(context, call_once(context.service))


async def call_once(service: FakeService) -> str:
    """Send one call and return its status, or the error and outcome."""
    endpoint = Endpoint("s1", EndpointKind.SERVICE, "s", "plain", service.url, "z1")
    adapter = make_adapter(endpoint)
    call = CallService("r", "t", "s1", "s", "POST", "/x", (), b"body", 0.5)
    try:
        return str((await adapter.call(call)).status)
    except CodedError as error:
        return f"{error.code} {error.outcome.value}"
    finally:
        await adapter.close()


@then("the plain call results in {result}")
def step_call_result(context: Context, result: str) -> None:
    assert context.result == result, context.result


@then("the plain service has run {count:d} calls")
def step_call_runs(context: Context, count: int) -> None:
    assert context.service.runs == count
