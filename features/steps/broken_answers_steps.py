"""features.steps.broken_answers_steps: answers that break off, or are none."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from behave import given, then, when
from behave.runner import Context

from features.support.cut_network import SERVICE
from features.support.scripted_replicas import (
    Script,
    ScriptedNetwork,
    ScriptedReplicas,
)
from greengagetack.batches.item_run import RunEnd, run_item
from greengagetack.batches.job import Item
from greengagetack.batches.progress import ItemProgress
from greengagetack.engines.http import EndpointHttp
from greengagetack.errors import CodedError
from greengagetack.gateway.call import Call
from greengagetack.gateway.routes import RequestKind, Route
from greengagetack.http1.message import IncompleteResponse
from greengagetack.http1.pool import Pool
from greengagetack.objects.client import PlatformClient
from greengagetack.platform.replica import PlatformDialect
from greengagetack.replicas.replica import Replica, ReplicaState
from greengagetack.world import Endpoint, EndpointKind

TIMEOUT_S = 4.0
EVENT_COUNT = 6
BROKEN_AFTER = 3
# Until then the caller has the first events, and the daemon can be cut off.
FIRST_PART_S = 0.1
SEAL = b"X-Request-Id: s1\r\nX-Response-Seal: s\r\nX-Weight-Versions: 1\r\n"
SEALED = b"HTTP/1.1 200 OK\r\n" + SEAL
ERROR_TEXT = b"upstream error: the engine has failed"
ERROR_HEAD = b"HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\nfailed\n\n"
ANOTHER_DAEMON = "by way of another daemon"


def _events(first: int, last: int) -> bytes:
    return b"".join(
        b"id: %d\ndata: part %d\n\n" % (number, number)
        for number in range(first, last + 1)
    )


def _chunked(body: bytes, is_whole: bool = True) -> bytes:
    end = b"0\r\n\r\n" if is_whole else b""
    chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
    return b"Transfer-Encoding: chunked\r\n\r\n" + chunk + end


def _error(text: bytes) -> bytes:
    head = b"HTTP/1.1 500 Error\r\n" + SEAL
    return head + b"Content-Length: %d\r\n\r\n" % len(text) + text


WHOLE = SEALED + _chunked(_events(1, EVENT_COUNT))
REST = SEALED + _chunked(_events(BROKEN_AFTER + 1, EVENT_COUNT))
FIRST = SEALED + _chunked(_events(1, BROKEN_AFTER), is_whole=False)
ANSWERS = {
    "500 with a text": _error(ERROR_TEXT),
    "500 with a text that ends in blank lines": _error(ERROR_TEXT + b"\n\n\n\n"),
    "500 without a body": _error(b""),
    "404 with a text": _error(ERROR_TEXT).replace(b"500 Error", b"404 Missing"),
    "200 without a seal": b"HTTP/1.1 200 OK\r\n" + _chunked(_events(4, 6)),
    "200 with a text in place of events": SEALED + _chunked(ERROR_TEXT + b"\n\n"),
    "200 with an error's head in place of events": SEALED + b"\r\n" + ERROR_HEAD,
    "event 4 and an error's head": SEALED + b"\r\n" + _events(4, 4) + ERROR_HEAD,
    "the events from 1 on": WHOLE,
    "the events from 5 on": SEALED + _chunked(_events(5, EVENT_COUNT)),
    "200 without a length or an event": SEALED + b"\r\n",
    "a head that stops": SEALED[:-10],
}


@dataclass
class _Received:
    """What a caller got; `error` is empty if the answer ended as a whole one."""

    status: int = 0
    body: bytes = b""
    error: str = ""
    took_s: float = 0.0


def _route(kind: RequestKind) -> Route:
    is_stream = kind is RequestKind.STREAM
    return Route(
        "route",
        "host",
        "/",
        kind,
        ((SERVICE, 1.0),),
        TIMEOUT_S * 1000,
        0.0,
        1,
        3,
        is_resumable=is_stream,
    )


async def _request(network: ScriptedNetwork, cut_after_events: int | None) -> _Received:
    """Send a request to the first daemon, and read its answer as a caller does."""
    received = _Received()
    started_s = time.monotonic()
    call = Call("s1", b"POST", b"/s1", ((b"host", b"host"),), b"prompt")
    deadline_s = started_s + TIMEOUT_S
    try:
        reply = await network.forwarders[0].forward(
            call, _route(network.kind), deadline_s
        )
        received.status = reply.head.status
        async for part in reply.body_parts():
            received.body += part
            is_cut_due = received.body.count(b"\n\n") == cut_after_events
            if is_cut_due and not network.cut_of(0):
                network.cut(1, "refused")
    except (CodedError, IncompleteResponse) as error:
        received.error = str(error)
    received.took_s = time.monotonic() - started_s
    return received


async def _play(scripts: list[Script], way: str, is_first_relayed: bool) -> _Received:
    replicas = ScriptedReplicas(scripts)
    await replicas.start(max(3, len(scripts)))
    network = ScriptedNetwork(replicas, RequestKind.STREAM)
    cut_after_events = None
    if way == ANOTHER_DAEMON:
        cut_after_events = BROKEN_AFTER
        if is_first_relayed:
            network.cut(1, "refused")
            await network.forwarders[0].paths.check(SERVICE)
    received = await _request(network, cut_after_events)
    await replicas.close()
    return received


@given("a stream of 6 events that breaks off after 3, sent {way}")
def step_broken(context: Context, way: str) -> None:
    context.way = way
    context.scripts = [Script(FIRST, FIRST_PART_S)]


@when("the next replica answers {answer}, and the one after it goes on")
def step_next(context: Context, answer: str) -> None:
    rest = REST
    if answer.startswith("event 4"):
        rest = SEALED + _chunked(_events(5, EVENT_COUNT))
    scripts = [*context.scripts, Script(ANSWERS[answer]), Script(rest)]
    context.received = asyncio.run(_play(scripts, context.way, False))


@when("all other replicas answer {answer}")
def step_all(context: Context, answer: str) -> None:
    scripts = [*context.scripts, *[Script(ANSWERS[answer])] * 200]
    context.received = asyncio.run(_play(scripts, context.way, False))


@given("a stream whose first replica answers {answer}, sent {way}")
def step_first(context: Context, answer: str, way: str) -> None:
    scripts = [Script(ANSWERS[answer])]
    context.received = asyncio.run(_play(scripts, way, True))


@then("the caller gets the 6 events, each once, and the end of the stream")
def step_whole(context: Context) -> None:
    received = context.received
    assert received.body == _events(1, EVENT_COUNT), received
    assert received.status == 200 and not received.error, received


@then("the caller gets events 1 to 3, and its stream breaks off within {limit:d} ms")
def step_breaks(context: Context, limit: int) -> None:
    received = context.received
    assert received.body == _events(1, BROKEN_AFTER), received
    assert received.error, received
    assert received.took_s * 1000 <= limit, received


@then("the caller gets status 500 with the whole text")
def step_error(context: Context) -> None:
    received = context.received
    assert (received.status, received.body) == (500, ERROR_TEXT), received
    assert not received.error, received


# -- heads that stop

BODIES = {
    "a length": b"Content-Length: 40\r\nX-Last: x\r\n\r\n" + b"y" * 40,
    "chunks": b"Transfer-Encoding: chunked\r\nX-Last: x\r\n\r\n",
    "no length": b"X-Last: x\r\n\r\n",
    "an empty body": b"Content-Length: 0\r\nX-Last: x\r\n\r\n",
}
Exchange = Callable[[ScriptedReplicas], Awaitable[bool]]


def _call_kind(kind: RequestKind) -> Exchange:
    async def call(replicas: ScriptedReplicas) -> bool:
        received = await _request(ScriptedNetwork(replicas, kind), None)
        return received.status == 200 and not received.error

    return call


async def _run_item(replicas: ScriptedReplicas) -> bool:
    address = replicas.addresses[0]
    state = ReplicaState(Replica("a", SERVICE, address, "zone", 4, False))
    progress = ItemProgress(Item("s1", "/", (), b"", 1_000, "g"))
    end, _ = await run_item(
        progress,
        Call("s1", b"POST", b"/", ((b"host", b"h"),), b""),
        state,
        Pool(TIMEOUT_S),
        PlatformDialect(),
        lambda: TIMEOUT_S,
        lambda gap_s: None,
        lambda version: True,
    )
    return end is RunEnd.COMPLETED or progress.is_complete


async def _request_endpoint(replicas: ScriptedReplicas) -> bool:
    url = f"http://{replicas.addresses[0]}"
    endpoint = Endpoint("e", EndpointKind.SERVICE, "name", "plain", url, "zone")
    http = EndpointHttp(endpoint)
    try:
        await http.request("GET", "/", TIMEOUT_S, never_resend=True)
    except CodedError:
        return False
    finally:
        await http.close()
    return True


async def _read_object(replicas: ScriptedReplicas) -> bool:
    client = PlatformClient(f"http://{replicas.addresses[0]}")
    try:
        await client.read("cells/c")
    except CodedError:
        return False
    finally:
        await client.close()
    return True


EXCHANGES: dict[str, Exchange] = {
    "plain call": _call_kind(RequestKind.NON_IDEMPOTENT),
    "stream": _call_kind(RequestKind.STREAM),
    "item's run": _run_item,
    "request of the brief's interface": _request_endpoint,
    "call to the platform's object API": _read_object,
}


@when("a replica's answer with {framing} stops at each place of its head, {end}")
def step_stops(context: Context, framing: str, end: str) -> None:
    whole = SEALED + BODIES[framing]
    head_bytes = whole.index(b"\r\n\r\n") + 4
    context.cuts = [whole[:place] for place in range(1, head_bytes)]
    context.is_reset = end == "reset"


@when("a replica's answer with no length stops after its head")
def step_stops_after_head(context: Context) -> None:
    context.cuts = [SEALED + BODIES["no length"]]
    context.is_reset = False


@then("no {exchange} is taken for a whole one")
def step_none_whole(context: Context, exchange: str) -> None:
    async def run(answer: bytes) -> bool:
        script = Script(answer, is_reset=context.is_reset)
        replicas = ScriptedReplicas([script] * 20)
        await replicas.start(1)
        try:
            return await EXCHANGES[exchange](replicas)
        finally:
            await replicas.close()

    async def run_all() -> list[bytes]:
        ended = await asyncio.gather(*(run(cut) for cut in context.cuts))
        return [
            cut for cut, is_whole in zip(context.cuts, ended, strict=True) if is_whole
        ]

    taken = asyncio.run(run_all())
    assert not taken, (len(taken), taken[:5])
