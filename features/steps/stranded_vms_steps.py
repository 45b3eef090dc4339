"""features.steps.stranded_vms_steps: VMs without a path to the replicas."""

import asyncio
from collections import Counter
from contextlib import suppress

from behave import given, then, when
from behave.runner import Context

from features.support.cut_network import MAX_ATTEMPTS, CutNetwork, Outcome
from greengagetack.coordination.client import PeerClient
from greengagetack.gateway.detours import RelayedRequest
from greengagetack.gateway.routes import RequestKind
from greengagetack.world import Address
from standins.platform_cluster import (
    CHAT_PREFIX,
    HOST_NAME,
    LOOKUP_PREFIX,
    PLAIN_SERVICE,
)
from standins.replica import MODEL, output_of

# Client's tries at these are counted from this time after the cut on.
SETTLE_S = 3.0
SERVED_RATIO = 2 / 3
# Time for runs that were abandoned to end.
DRAIN_S = 0.2
RELAYED_MS = 2_000.0


@given("{daemons:d} daemons before {replicas:d} replicas, for {kind} requests")
def step_network(context: Context, daemons: int, replicas: int, kind: str) -> None:
    context.runner_loop = asyncio.Runner()
    context.add_cleanup(context.runner_loop.close)

    async def build() -> CutNetwork:
        return CutNetwork(daemons, replicas, RequestKind(kind))

    context.network = context.runner_loop.run(build())
    context.phase = 0


@when("{rate:d} requests a second arrive at each daemon for {duration:d} s")
def step_arrive(context: Context, rate: int, duration: int) -> None:
    context.phase += 1
    context.outcomes, context.began_s = context.runner_loop.run(
        _run(context.network, rate, duration, context.phase)
    )


async def _run(
    network: CutNetwork, rate: int, duration_s: float, phase: int
) -> tuple[list[Outcome], float]:
    began_s = asyncio.get_running_loop().time()
    tasks = []
    for number in range(int(rate * duration_s)):
        for daemon in range(len(network.forwarders)):
            request_id = f"{phase}-{daemon}-{number}"
            tasks.append(asyncio.create_task(network.request(daemon, request_id)))
            await asyncio.sleep(1 / rate / len(network.forwarders))
    outcomes = list(await asyncio.gather(*tasks))
    await asyncio.sleep(DRAIN_S)
    return outcomes, began_s


@when("{count:d} of them are cut from all replicas: {how}")
def step_cut(context: Context, count: int, how: str) -> None:
    context.cut_count = count
    context.network.cut(count, how)


@when("the cut ends")
def step_heal(context: Context) -> None:
    context.network.heal()


def _settled(context: Context) -> list[Outcome]:
    from_s = context.began_s + SETTLE_S
    return [outcome for outcome in context.outcomes if outcome.sent_s >= from_s]


def _served_share(outcomes: list[Outcome]) -> float:
    return sum(outcome.is_served for outcome in outcomes) / len(outcomes)


@then(
    "from 3 s on, first tries at these are served at least two thirds as often as "
    "elsewhere"
)
def step_served(context: Context) -> None:
    settled = _settled(context)
    here = _served_share([o for o in settled if o.daemon < context.cut_count])
    elsewhere = _served_share([o for o in settled if o.daemon >= context.cut_count])
    assert elsewhere > 0.9, elsewhere
    assert here >= SERVED_RATIO * elsewhere, f"{here:.2f} against {elsewhere:.2f}"


@then("a request that was refused as not run has not run, and none ran too often")
def step_truthful(context: Context) -> None:
    runs = Counter(request_id for request_id, _ in context.network.runs)
    for outcome in context.outcomes:
        if not outcome.may_have_run:
            assert not runs[outcome.request_id], outcome
        is_repeatable = context.network.kind is RequestKind.IDEMPOTENT
        most = MAX_ATTEMPTS if is_repeatable else 1
        assert runs[outcome.request_id] <= most, (outcome, runs[outcome.request_id])


@then("from 3 s on, at least two thirds are refused within {limit:d} ms")
def step_refused(context: Context, limit: int) -> None:
    settled = _settled(context)
    at_once = [
        outcome
        for outcome in settled
        if not outcome.may_have_run and outcome.elapsed_s <= limit / 1000
    ]
    assert len(at_once) >= SERVED_RATIO * len(settled), (len(at_once), len(settled))


@then("from 3 s on, all requests are served without another daemon")
def step_direct(context: Context) -> None:
    settled = _settled(context)
    assert all(outcome.is_served for outcome in settled)
    assert context.network.detours_since(context.began_s + SETTLE_S) == 0


# -- the wire between daemons


def _relayed(
    request_id: str, service: str, target: bytes, is_streaming: bool
) -> RelayedRequest:
    headers = ((b"host", HOST_NAME.encode()),)
    if is_streaming:
        headers += ((b"x-model", MODEL.encode()),)
    return RelayedRequest(
        service,
        request_id,
        b"POST",
        target,
        headers,
        b"body",
        RELAYED_MS,
        is_streaming,
        None,
        (),
        None,
    )


def _peer() -> PeerClient:
    return PeerClient("test", lambda: None, list, tuple)


@when(
    "another daemon lets {edge} send a request to service {service}, "
    "streaming: {streaming}"
)
def step_relay(context: Context, edge: str, service: str, streaming: str) -> None:
    is_streaming = streaming == "yes"
    target = (CHAT_PREFIX if is_streaming else LOOKUP_PREFIX).encode() + b"r1"
    address = Address.parse(context.cluster.address_of(edge, "control"))

    async def relay() -> None:
        request = _relayed("r1", service, target, is_streaming)
        context.answer, parts = await _peer().send_relayed(address, request)
        context.body = b"".join([part async for part in parts])

    asyncio.run(relay())


@then("the attempt ends as {result} with {body}")
def step_relayed_end(context: Context, result: str, body: str) -> None:
    assert context.answer.result.value == result, context.answer
    events = context.body.decode().split("\n\n")[:-1]
    if body == "the whole body":
        assert context.body == b"answer to r1", context.body
    elif body == "all its events":
        replica = context.cluster.replicas["engine-1"]
        data = [event.partition("data: ")[2] for event in events]
        assert "\n".join(data) == output_of("r1", replica.events), data
    else:
        assert body == "no body" and not context.body, context.body


@when(
    'another daemon lets {edge} send request "{request_id}" and gives it up after '
    "{pause:d} ms"
)
def step_give_up(context: Context, edge: str, request_id: str, pause: int) -> None:
    address = Address.parse(context.cluster.address_of(edge, "control"))

    async def relay() -> None:
        target = f"{LOOKUP_PREFIX}{request_id}".encode()
        request = _relayed(request_id, PLAIN_SERVICE, target, False)
        with suppress(TimeoutError):
            async with asyncio.timeout(pause / 1000):
                await _peer().send_relayed(address, request)

    asyncio.run(relay())
