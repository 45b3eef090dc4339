"""features.steps.held_bytes_steps: what each client holds of responses without end."""

import asyncio
import time
import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

from behave import then, when
from behave.runner import Context

from features.support.hostile_server import HostileServer
from greengagetack.batches.item_run import run_item
from greengagetack.batches.job import Item
from greengagetack.batches.progress import ItemProgress
from greengagetack.coordination.client import PeerClient
from greengagetack.coordination.duty_api import DutyTerms
from greengagetack.engines import make_adapter
from greengagetack.engines.http import EndpointHttp
from greengagetack.engines.state import Generate
from greengagetack.errors import CodedError
from greengagetack.facts import FactCursor
from greengagetack.gateway.call import Call
from greengagetack.gateway.detours import RelayedRequest
from greengagetack.gateway.stream import resumable_stream
from greengagetack.http1.limits import ResponseLimits
from greengagetack.http1.memory import ResponseMemory
from greengagetack.http1.message import ExchangeError, IncompleteResponse, Request
from greengagetack.http1.pool import Pool
from greengagetack.objects.client import PlatformClient
from greengagetack.objects.transport import DirectTransport
from greengagetack.observability.metrics import Metrics
from greengagetack.platform.duties import PlatformDutyApi
from greengagetack.platform.replica import PlatformDialect, PlatformOrderSender
from greengagetack.replicas.replica import Replica, ReplicaState
from greengagetack.weights.orders import LoadMode, LoadOrder
from greengagetack.world import Address, Endpoint, EndpointKind

TIMEOUT_S = 1.0
MB = 1_000_000
DEFAULT_MEMORY_MB = 25
EVERY_KIND = "every kind of bytes"
RUN_S = 2.0
CALL = Call("i", b"POST", b"/", ((b"host", b"h"),), b"")
REQUEST = Request(b"GET", b"/", ((b"host", b"h"), (b"x-request-id", b"i")))
HONEST_BODY = b"y" * 20_000
HONEST_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
    len(HONEST_BODY),
    HONEST_BODY,
)
HONEST_PAUSE_S = 0.02
HONEST_LIMIT_S = 8.0

Client = Callable[[Address, ResponseLimits], Awaitable[object]]


@dataclass
class _Outcome:
    most_held_bytes: int = 0
    left_bytes: int = 0
    cpu_s: float = 0.0
    took_s: float = 0.0
    honest: list[bytes] = field(default_factory=list)
    has_answer: asyncio.Event = field(default_factory=asyncio.Event)


async def _plain_call(address: Address, limits: ResponseLimits) -> object:
    async with Pool(TIMEOUT_S, limits).connection(address) as connection:
        await connection.send(REQUEST, b"i")
        return await connection.read_all()


async def _stream(address: Address, limits: ResponseLimits) -> None:
    async with Pool(TIMEOUT_S, limits).connection(address) as connection:
        await connection.send(REQUEST, b"i")

        async def parts() -> AsyncIterator[bytes]:
            while part := await connection.read():
                yield part

        async for _ in resumable_stream(CALL, parts(), None, None, limits.memory):
            continue


async def _item(address: Address, limits: ResponseLimits) -> object:
    progress = ItemProgress(Item("i", "/", (), b"", 1_000, "g"))
    return await run_item(
        progress,
        CALL,
        ReplicaState(Replica("a", "service", address, "zone", 4, False)),
        Pool(TIMEOUT_S, limits),
        PlatformDialect(),
        lambda: TIMEOUT_S,
        lambda gap_s: None,
        lambda version: True,
    )


async def _order(address: Address, limits: ResponseLimits) -> object:
    sender = PlatformOrderSender(Pool(TIMEOUT_S, limits))
    order = LoadOrder("model", 1, LoadMode.WAIT, "holder", 1, None)
    replica = Replica("a", "service", address, "zone", 4, False)
    await sender.send(replica, order, lambda: True)
    return await sender.report(replica)


def _peers(limits: ResponseLimits) -> PeerClient:
    return PeerClient("test", lambda: None, list, tuple, limits)


async def _daemon(address: Address, limits: ResponseLimits) -> object:
    with suppress(CodedError):
        await _peers(limits).ping(address, FactCursor("", 0))
    return await _peers(limits).list_objects(address, "config/")


async def _relaying_daemon(address: Address, limits: ResponseLimits) -> None:
    request = RelayedRequest(
        "service", "i", b"GET", b"/", (), b"", 1_000.0, False, None, ()
    )
    _, parts = await _peers(limits).send_relayed(address, request)
    body = b""
    async for part in parts:
        body += part


async def _store(address: Address, limits: ResponseLimits) -> object:
    transport = DirectTransport(address, Metrics(), limits)
    return await transport.call("GET", "/", b"", 1.0)


async def _duty_api(address: Address, limits: ResponseLimits) -> object:
    api = PlatformDutyApi(address, limits)
    return await api.report_usage(1, {}, DutyTerms("holder", 1, lambda: True))


async def _object_api(address: Address, limits: ResponseLimits) -> object:
    return await PlatformClient(f"http://{address}", limits=limits).read("cells/c")


def _endpoint(address: Address, kind: EndpointKind, adapter: str) -> Endpoint:
    return Endpoint("e", kind, "name", adapter, f"http://{address}", "zone")


async def _own_request(address: Address, limits: ResponseLimits) -> object:
    endpoint = _endpoint(address, EndpointKind.SERVICE, "plain")
    http = EndpointHttp(endpoint, limits)
    return await http.request("GET", "/", RUN_S, never_resend=True)


async def _own_stream(address: Address, limits: ResponseLimits) -> None:
    engine = make_adapter(_endpoint(address, EndpointKind.ENGINE, "openai"), limits)
    async for _ in engine.stream(Generate("i", "model", "prompt", 8, 1, 0, 0)):
        continue


CLIENTS: dict[str, Client] = {
    "plain call": _plain_call,
    "stream": _stream,
    "item's run": _item,
    "order to a replica": _order,
    "call to a daemon": _daemon,
    "request sent on by a daemon": _relaying_daemon,
    "call to the store": _store,
    "report of usage": _duty_api,
    "call to the platform's object API": _object_api,
    "request of the brief's interface": _own_request,
    "stream of the brief's interface": _own_stream,
}


async def _attack(client: Client, address: Address, limits: ResponseLimits) -> None:
    """Repeat the client's exchange, as a caller's requests do."""
    while True:
        with suppress(ExchangeError, CodedError, TimeoutError, IncompleteResponse):
            async with asyncio.timeout(RUN_S):
                await client(address, limits)
        await asyncio.sleep(0.1)


async def _ask_honestly(
    address: Address, limits: ResponseLimits, outcome: _Outcome
) -> None:
    pool = Pool(HONEST_LIMIT_S, limits)
    while True:
        try:
            async with asyncio.timeout(HONEST_LIMIT_S):
                async with pool.connection(address) as connection:
                    await connection.send(REQUEST, b"i")
                    outcome.honest.append(await connection.read_all())
        except (ExchangeError, TimeoutError) as error:
            outcome.honest.append(repr(error).encode())
        outcome.has_answer.set()
        await asyncio.sleep(HONEST_PAUSE_S)


async def _answer_honestly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HONEST_ANSWER)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        return
    finally:
        writer.close()


async def _play(
    client: Client, connections: int, limits: ResponseLimits, server: HostileServer
) -> _Outcome:
    outcome = _Outcome()
    async with server:
        hostile = Address("127.0.0.1", server.port)
        honest = await asyncio.start_server(_answer_honestly, "127.0.0.1", 0)
        address = Address(*honest.sockets[0].getsockname())
        started_s, cpu_s = time.monotonic(), time.process_time()
        tasks = [
            asyncio.create_task(_attack(client, hostile, limits))
            for _ in range(connections)
        ]
        tasks.append(asyncio.create_task(_ask_honestly(address, limits, outcome)))
        await asyncio.sleep(RUN_S)
        outcome.took_s = time.monotonic() - started_s
        outcome.cpu_s = time.process_time() - cpu_s
        # Measuring slows the process down: the honest exchange may not have ended yet.
        with suppress(TimeoutError):
            await asyncio.wait_for(outcome.has_answer.wait(), HONEST_LIMIT_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        outcome.left_bytes = limits.memory.used_bytes
        honest.close()
    return outcome


def _limits(memory_mb: int) -> ResponseLimits:
    return ResponseLimits(ResponseMemory(memory_mb * MB))


@when(
    "{connections:d} connections of a {client} with {memory_mb:d} MB get {kind} "
    "without end"
)
def step_attack(
    context: Context, connections: int, client: str, memory_mb: int, kind: str
) -> None:
    server = HostileServer() if kind == EVERY_KIND else HostileServer(kind)
    tracemalloc.start()
    try:
        work = _play(CLIENTS[client], connections, _limits(memory_mb), server)
        context.outcome = asyncio.run(work)
        context.outcome.most_held_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@when("{connections:d} connections of a {client} get {kind} without end, unmeasured")
def step_attack_unmeasured(
    context: Context, connections: int, client: str, kind: str
) -> None:
    limits = _limits(DEFAULT_MEMORY_MB)
    work = _play(CLIENTS[client], connections, limits, HostileServer(kind))
    context.outcome = asyncio.run(work)


@then("the process has held at most {limit:d} MB at any moment, and holds none at last")
def step_held(context: Context, limit: int) -> None:
    outcome = context.outcome
    assert outcome.most_held_bytes <= limit * MB, outcome.most_held_bytes
    assert outcome.left_bytes == 0, outcome.left_bytes


@then("another server's answers have arrived whole meanwhile")
def step_honest(context: Context) -> None:
    answers = context.outcome.honest
    failed = [answer for answer in answers if answer != HONEST_BODY]
    assert answers and not failed, (len(answers), failed[:3])


@then("at most {share:d} % of the process's time went into it")
def step_share(context: Context, share: int) -> None:
    outcome = context.outcome
    used = 100 * outcome.cpu_s / outcome.took_s
    assert used <= share, used
