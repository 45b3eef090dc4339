"""features.steps.standins_steps: steps that call stand-ins over HTTP."""

import asyncio
import json
import threading
import time
from contextlib import suppress
from http.client import RemoteDisconnected
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.support.standins import (
    Answer,
    EventStream,
    call,
    stand_in_process,
    start_stand_in,
    wait_until,
)
from greengagetack.world import Address
from standins.proxy import Relay
from standins.tokens import answer_text

PATH = "/objects/teams/a"
SEED = 5
NO_ANSWER_TIMEOUT_S = 0.5


def url_of(context: Context, name: str) -> str:
    return stand_in_process(context, name).url


def read_log(context: Context, name: str) -> Any:
    return call(url_of(context, name), "GET", "/control/log").body


def write(
    context: Context, path: str, value: Any, headers: dict[str, str], change: str = "c"
) -> Answer:
    body = {"change_id": change, "value": value}
    return call(url_of(context, "platform"), "PUT", path, body, headers)


def completion(tokens: int, **fields: Any) -> dict[str, Any]:
    prompt = f"work [len={tokens}]"
    return {
        "model": "model",
        "prompt": prompt,
        "max_tokens": tokens + 1,
        "seed": SEED,
        **fields,
    }


def complete(context: Context, body: dict[str, Any], name: str = "engine") -> Answer:
    return call(url_of(context, name), "POST", "/v1/completions", body)


def read_tokens(stream: EventStream, enough: int) -> list[dict[str, Any]]:
    events = []
    for event in stream.events():
        events.append(event)
        if event["offset_tokens"] + event["token_count"] >= enough:
            break
    return events


def join_text(events: list[dict[str, Any]]) -> str:
    return "".join(event["choices"][0]["text"] for event in events)


def set_faults(context: Context, name: str, faults: dict[str, Any]) -> None:
    answer = call(url_of(context, name), "POST", "/control/faults", faults)
    assert answer.status == 200


@given("the {kind:w} stand-in")
def step_start(context: Context, kind: str) -> None:
    start_stand_in(context, kind, "", kind)


@given('the {kind:w} stand-in with "{options}"')
def step_start_with(context: Context, kind: str, options: str) -> None:
    start_stand_in(context, kind, options, kind)


@given("a second engine stand-in")
def step_second(context: Context) -> None:
    start_stand_in(context, "engine", "", "second")


@given("the faults {faults} of the {kind:w} stand-in")
def step_faults(context: Context, faults: str, kind: str) -> None:
    set_faults(context, kind, json.loads(faults))


@given("an object of the stand-in at version 2")
def step_object(context: Context) -> None:
    write(context, PATH, 1, {"If-None-Match": "*"})
    write(context, PATH, 2, {"If-Match": '"1"'})


@when('the stand-in gets a write with "{condition}"')
def step_write(context: Context, condition: str) -> None:
    name, _, value = condition.partition(": ")
    context.answer = write(context, PATH, 3, {name: value})


@when("the stand-in gets a value of {size:d} bytes")
def step_write_large(context: Context, size: int) -> None:
    value = "x" * (size - len('""'))
    context.answer = write(context, PATH, value, {"If-None-Match": "*"})


@then("the stand-in answers {status:d}")
def step_status(context: Context, status: int) -> None:
    assert context.answer.status == status, context.answer.body


@then("the object of the stand-in is at version {version:d}")
def step_version(context: Context, version: int) -> None:
    assert call(url_of(context, "platform"), "GET", PATH).body["version"] == version


@then("a call to the platform stand-in is refused")
def step_refused(context: Context) -> None:
    answer = call(url_of(context, "platform"), "GET", "/vms")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0


@then("a call to the platform stand-in gets no answer")
def step_no_answer(context: Context) -> None:
    with suppress(TimeoutError):
        call(url_of(context, "platform"), "GET", "/vms", timeout_s=NO_ANSWER_TIMEOUT_S)
        raise AssertionError("an answer arrived")


@then("a call to the platform stand-in is refused by rate")
def step_refused_by_rate(context: Context) -> None:
    answer = call(url_of(context, "platform"), "GET", "/vms")
    assert answer.status == 429
    assert float(answer.headers["Retry-After"]) > 0


@when('the stand-in loses the answer to a write with change "{change}"')
def step_lost_answer(context: Context, change: str) -> None:
    with suppress(RemoteDisconnected):
        write(context, PATH, 1, {"If-None-Match": "*"}, change)
        raise AssertionError("an answer arrived")


@then('the object of the stand-in has the change "{change}"')
def step_change(context: Context, change: str) -> None:
    assert call(url_of(context, "platform"), "GET", PATH).body["change_id"] == change


def start_watch(context: Context, prefix: str) -> threading.Thread:
    def watch() -> None:
        path = f"/watch?prefix={prefix}&after=0&timeout_s=10"
        context.watched = call(url_of(context, "platform"), "GET", path)

    thread = threading.Thread(target=watch, daemon=True)
    thread.start()
    wait_until(lambda: read_log(context, "platform")["counts"].get("watch"))
    return thread


@when('a watch of the stand-in waits for "{mine}" while "{other}" and "{same}" change')
def step_watch(context: Context, mine: str, other: str, same: str) -> None:
    thread = start_watch(context, mine)
    write(context, f"/objects/{other}", 1, {"If-None-Match": "*"})
    write(context, f"/objects/{same}", 1, {"If-None-Match": "*"})
    thread.join()


@then('the watch of the stand-in shows only "{path}"')
def step_watched(context: Context, path: str) -> None:
    shown = [found["path"] for found in context.watched.body["objects"]]
    assert shown == [path], shown
    assert context.watched.body["revision"] == 2


@when("a watch of the stand-in is pending")
def step_watch_waits(context: Context) -> None:
    start_watch(context, "teams/")


def set_vms(context: Context, vm_id: str) -> None:
    vms = [{"vm_id": vm_id, "availability_zone": "z1", "state": "live"}]
    call(url_of(context, "platform"), "POST", "/control/vms", {"vms": vms})


def shown_vm(context: Context) -> Any:
    return call(url_of(context, "platform"), "GET", "/vms").body["vms"][0]["vm_id"]


@when('the VM list of the stand-in changes from "{old}" to "{new}"')
def step_vms(context: Context, old: str, new: str) -> None:
    set_vms(context, old)
    set_vms(context, new)


@then('the VM list of the stand-in shows "{old}" and some time later "{new}"')
def step_vms_lag(context: Context, old: str, new: str) -> None:
    assert shown_vm(context) == old
    wait_until(lambda: shown_vm(context) == new)


@then("of two fetches of weights from the stand-in the second is refused")
def step_weights(context: Context) -> None:
    url = url_of(context, "platform")
    statuses = [call(url, "GET", "/weights/model/2").status for _ in range(2)]
    assert statuses == [200, 429], statuses


@when(
    "a client closes a stream of {tokens:d} tokens after {left:d} "
    "and resumes from {offset:d}"
)
def step_resume(context: Context, tokens: int, left: int, offset: int) -> None:
    body = completion(tokens, request_id="r1")
    stream = EventStream(url_of(context, "engine"), body)
    context.head = join_text(read_tokens(stream, left))
    stream.close()
    resumed = EventStream(url_of(context, "engine"), {**body, "resume_from": offset})
    context.events = list(resumed.events())
    context.body = body


@when('a client resumes the unknown request "{name}" from {offset:d}')
def step_resume_unknown(context: Context, name: str, offset: int) -> None:
    context.head = ""
    context.body = completion(20, request_id=name, resume_from=offset)
    stream = EventStream(url_of(context, "engine"), context.body)
    context.events = list(stream.events())


@then("the resumed stream starts at token {offset:d} and the text is complete")
def step_resumed(context: Context, offset: int) -> None:
    assert context.events[0]["offset_tokens"] == offset
    body = context.body
    whole = answer_text(body["prompt"], SEED, body["max_tokens"])
    words = whole.split()
    assert context.head.split() == words[: len(context.head.split())]
    assert join_text(context.events).split() == words[offset:]
    assert context.events[-1]["choices"][0]["finish_reason"] == "stop"


@then("the engine stand-in generated {tokens:d} tokens in all")
def step_generated(context: Context, tokens: int) -> None:
    assert read_log(context, "engine")["tokens_generated"] == tokens


def activate(context: Context, version: int, number: int) -> Answer:
    order = {
        "kind": "activate",
        "model": "model",
        "version": version,
        "fencing_number": number,
    }
    return call(url_of(context, "engine"), "POST", "/orders", order)


@when(
    "the engine stand-in gets version {first:d} with number {high:d} "
    "and version {second:d} with number {low:d}"
)
def step_two_orders(
    context: Context, first: int, high: int, second: int, low: int
) -> None:
    assert activate(context, first, high).status == 200
    context.answer = activate(context, second, low)


@when("the engine stand-in gets version {version:d} with number {number:d}")
def step_order(context: Context, version: int, number: int) -> None:
    context.answer = activate(context, version, number)


@then("the engine stand-in answers {status:d} and serves version {version:d}")
def step_order_result(context: Context, status: int, version: int) -> None:
    assert context.answer.status == status
    state = call(url_of(context, "engine"), "GET", "/orders").body
    assert state["models"]["model"]["active"] == version
    orders = read_log(context, "engine")["orders"]
    assert orders[-1]["applied"] == (status == 200)


@when(
    "the version changes to {version:d} in the middle of a stream of {tokens:d} tokens"
)
def step_change_weights(context: Context, version: int, tokens: int) -> None:
    stream = EventStream(url_of(context, "engine"), completion(tokens))
    events = read_tokens(stream, 10)
    assert activate(context, version, 1).status == 200
    context.events = events + list(stream.events())


@then("the stream of the stand-in names the versions {old:d} and {new:d} in this order")
def step_versions(context: Context, old: int, new: int) -> None:
    versions = [event["weight_version"] for event in context.events]
    assert versions == sorted(versions)
    assert set(versions) == {old, new}


@when("requests wait at the stand-in with the priorities 1, 3, 2 and 3")
def step_priorities(context: Context) -> None:
    blocker = EventStream(url_of(context, "engine"), completion(200, request_id="b"))
    streams = []
    for index, priority in enumerate((1, 3, 2, 3)):
        body = completion(5, request_id=f"r{index}", priority=priority)
        streams.append(EventStream(url_of(context, "engine"), body))
    for stream in [blocker, *streams]:
        list(stream.events())


@then("the stand-in ran the priorities 3, 3, 2 and 1 in this order")
def step_priority_order(context: Context) -> None:
    runs = read_log(context, "engine")["runs"]
    runs.sort(key=lambda run: run["started_at_s"])
    assert [run["request_id"] for run in runs] == ["b", "r1", "r3", "r2", "r0"]


@when("a request of {tokens:d} tokens holds the slot of the stand-in and is cancelled")
def step_cancel(context: Context, tokens: int) -> None:
    url = url_of(context, "engine")
    stream = EventStream(url, completion(tokens, request_id="long"))
    read_tokens(stream, 1)
    answer = call(url, "POST", "/v1/requests/long/cancel")
    assert answer.body == {"cancelled": True}
    assert list(stream.events())[-1]["choices"][0]["finish_reason"] == "cancelled"


@then("the next request of the stand-in runs")
def step_next_runs(context: Context) -> None:
    assert complete(context, completion(3)).status == 200


@then("a request to the engine stand-in is refused and was not run")
def step_not_run(context: Context) -> None:
    answer = complete(context, completion(3))
    assert answer.status == 503
    assert answer.body["error"]["ran"] is False
    assert float(answer.headers["Retry-After"]) > 0
    assert read_log(context, "engine")["runs"] == []


@then("the health of the engine stand-in is {status:d}")
def step_health(context: Context, status: int) -> None:
    assert call(url_of(context, "engine"), "GET", "/healthz").status == status


@when("a stream of the stand-in goes silent")
def step_silent(context: Context) -> None:
    context.body = completion(200, request_id="r1")
    context.silent = EventStream(
        url_of(context, "engine"), context.body, NO_ANSWER_TIMEOUT_S
    )
    context.head_events = read_tokens(context.silent, 1)
    set_faults(context, "engine", {"hang_streams": True})
    with suppress(TimeoutError):
        context.head_events += list(context.silent.events())
        raise AssertionError("the stream ended")
    set_faults(context, "engine", {})


@then("a resumed stream of the stand-in is complete and the silent one stays silent")
def step_resume_silent(context: Context) -> None:
    last = context.head_events[-1]
    offset = last["offset_tokens"] + last["token_count"]
    body = {**context.body, "resume_from": offset}
    events = list(EventStream(url_of(context, "engine"), body).events())
    text = join_text(context.head_events) + join_text(events)
    assert text == answer_text(body["prompt"], SEED, body["max_tokens"])
    assert read_log(context, "engine")["tokens_generated"] == 200


@then("a stream of {tokens:d} tokens breaks off and the engine stand-in has ended")
def step_crash(context: Context, tokens: int) -> None:
    stream = EventStream(url_of(context, "engine"), completion(tokens))
    with suppress(OSError):
        events = list(stream.events())
        assert sum(event["token_count"] for event in events) < tokens
    assert stand_in_process(context, "engine").wait() == 17


@when(
    "a request of {tokens:d} tokens is cancelled at the first and moved to the second"
)
def step_move(context: Context, tokens: int) -> None:
    first = url_of(context, "engine")
    second = url_of(context, "second")
    context.body = completion(tokens, request_id="r1")
    stream = EventStream(first, context.body)
    events = read_tokens(stream, 10)
    call(first, "POST", "/v1/requests/r1/cancel")
    events += list(stream.events())
    kv = call(first, "GET", "/kv/r1").body
    assert call(second, "PUT", "/kv/r1", kv).status == 200
    offset = sum(event["token_count"] for event in events)
    moved = EventStream(second, {**context.body, "resume_from": offset})
    context.moved_text = join_text(events) + join_text(list(moved.events()))


@then("the two stand-ins generated {tokens:d} tokens in all and the text is complete")
def step_moved(context: Context, tokens: int) -> None:
    logs = [read_log(context, name) for name in ("engine", "second")]
    assert sum(log["tokens_generated"] for log in logs) == tokens
    body = context.body
    assert context.moved_text == answer_text(body["prompt"], SEED, body["max_tokens"])


@then("prompts of the stand-in find these cached tokens")
def step_cached(context: Context) -> None:
    for row in context.table:
        prompt = " ".join([row["prompt"]] * int(row["words"]))
        body = {**completion(1), "prompt": prompt, "max_tokens": 1}
        usage = complete(context, body).body["usage"]
        assert usage["cached_tokens"] == int(row["cached"]), (row, usage)


def cache_events(context: Context) -> list[dict[str, Any]]:
    answer = call(url_of(context, "engine"), "GET", "/cache/events?after=0")
    events: list[dict[str, Any]] = answer.body["events"]
    return events


@when("a prompt of {words:d} words is used at the stand-in")
def step_use_prompt(context: Context, words: int) -> None:
    prompt = " ".join(["w"] * words)
    complete(context, {**completion(1), "prompt": prompt, "max_tokens": 1})


@then("its cache events become visible later and some are missing")
def step_cache_events(context: Context) -> None:
    assert cache_events(context) == []
    events = wait_until(lambda: cache_events(context))
    sequences = [event["sequence"] for event in events]
    assert sequences == sorted(sequences)
    assert 0 < len(sequences) < sequences[-1]


@when("a booking is sent to the stand-in")
def step_book(context: Context) -> None:
    body = {"box": "b1", "crew": "c1"}
    headers = {"X-Request-Id": "r1", "Idempotency-Key": "k1"}
    context.answer = None
    with suppress(RemoteDisconnected):
        url = url_of(context, "service")
        context.answer = call(url, "POST", "/bookings", body, headers)


@then("the booking stand-in {result} and ran it {runs:d} times")
def step_booked(context: Context, result: str, runs: int) -> None:
    log = read_log(context, "service")["runs"]
    assert [run["idempotency_key"] for run in log] == ["k1"] * runs
    if result == "gives no answer":
        assert context.answer is None
        return
    if result == "says not run":
        assert context.answer.status == 503
        assert context.answer.headers["X-Not-Run"] == "true"
        return
    assert context.answer.status == int(result.removeprefix("answers "))


@then("two identical samples and another get two different scores from the stand-in")
def step_scores(context: Context) -> None:
    samples = []
    for sample_id, text in (("a", "same"), ("b", "same"), ("c", "other")):
        samples.append({"sample_id": sample_id, "prompt": "p", "text": text})
    url = url_of(context, "scorer")
    scores = call(url, "POST", "/score", {"samples": samples}).body["scores"]
    values = [score["score"] for score in scores]
    assert values[0] == values[1] != values[2], values
    assert read_log(context, "scorer")["counts"]["samples"] == 3


class EchoClient:
    """A connection to the echo server through the relay."""

    def __init__(self, context: Context) -> None:
        self._loop = context.loop
        address = context.relay.address
        self.reader, self.writer = self._loop.run_until_complete(
            asyncio.open_connection(address.host, address.port)
        )

    def echo(self) -> bytes | None:
        """Return the echoed byte, None after a timeout, empty if the stream ended."""

        async def send() -> bytes | None:
            self.writer.write(b"x")
            try:
                async with asyncio.timeout(NO_ANSWER_TIMEOUT_S):
                    return await self.reader.read(1)
            except TimeoutError:
                return None
            except OSError:
                return b""

        result: bytes | None = self._loop.run_until_complete(send())
        return result


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)


@given("a relay to an echo server with {latency_s:g} s latency")
def step_relay(context: Context, latency_s: float) -> None:
    context.loop = asyncio.new_event_loop()
    run = context.loop.run_until_complete
    server = run(asyncio.start_server(echo, "127.0.0.1", 0))
    port = server.sockets[0].getsockname()[1]
    context.relay = Relay(Address("127.0.0.1", port), latency_s)
    run(context.relay.start())
    context.add_cleanup(context.loop.close)
    context.add_cleanup(server.close)
    context.add_cleanup(lambda: run(context.relay.close()))


@when('the relay gets the fault "{fault}"')
def step_relay_fault(context: Context, fault: str) -> None:
    context.client = EchoClient(context)
    assert context.client.echo() == b"x"
    actions = {"cut": context.relay.cut, "freeze": context.relay.freeze}
    if fault in actions:
        actions[fault]()


@then("an open connection {state} and a new one echoes after {latency_s:g} s")
def step_relay_result(context: Context, state: str, latency_s: float) -> None:
    expected = {"ends": b"", "stays silent": None, "echoes": b"x"}
    assert context.client.echo() == expected[state]
    fresh = EchoClient(context)
    started_s = time.monotonic()
    assert fresh.echo() == b"x"
    assert time.monotonic() - started_s >= 2 * latency_s


@when("the first is paused and the process group is closed")
def step_close_group(context: Context) -> None:
    context.children = list(context.group.processes)
    stand_in_process(context, "engine").pause()
    context.group.close()


@then("no process of the group is running")
def step_none_left(context: Context) -> None:
    assert len(context.children) == 2
    assert not any(process.running for process in context.children)


@when("the stand-in is terminated with a stream open")
def step_terminate(context: Context) -> None:
    stream = EventStream(url_of(context, "engine"), completion(100_000))
    read_tokens(stream, 1)
    context.exit_code = stand_in_process(context, "engine").terminate()
    stream.close()


@then("its exit code is 0")
def step_ended(context: Context) -> None:
    assert context.exit_code == 0


@then("the engine stand-in received the request {times:d} times")
def step_submissions(context: Context, times: int) -> None:
    (run,) = read_log(context, "engine")["runs"]
    assert run["submissions"] == times
    assert run["label"] == "work"
