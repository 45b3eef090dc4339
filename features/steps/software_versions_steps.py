"""features.steps.software_versions_steps: replicas of several software versions."""

import asyncio
import http.client
import random
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from functools import partial
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from greengagetack.batches.checkpoint import select_snapshots
from greengagetack.batches.events import Event
from greengagetack.batches.job import Item, Job
from greengagetack.batches.progress import ItemProgress
from greengagetack.errors import PeerUnreachable
from greengagetack.gateway.stream_origins import (
    SEND_DELAY_S,
    StreamOrigin,
    StreamOrigins,
)
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import Replica
from greengagetack.world import Address
from standins.platform_cluster import CHAT_PREFIX, HOST_NAME, PlatformCluster
from standins.replica import MODEL, output_of

UNLIMITED_BYTES = 1_000_000
# Enough events to be worth a checkpoint.
EVENTS_PER_STEP = 12
MANY_EVENTS = 1_000
STREAM_TIMEOUT_S = 10.0
# A refusal at once, also while the machine is busy.
REFUSAL_LIMIT_S = 0.6
# Time for a changed entry to reach all daemons.
SPREAD_S = 1.5
MEMBERS_SPREAD_S = 3.0
MAX_ASKED_DAEMONS = 6


@given("replicas {names} run software {software}")
@when("replicas {names} run software {software}")
def step_software(context: Context, names: str, software: str) -> None:
    cluster = context.cluster
    for name in names.split(","):
        cluster.replicas[name].software = software
        cluster.list_replica(name)


def _mixed(cluster: PlatformCluster) -> list[str]:
    """Return the requests that one version continued after another had begun them."""
    arrivals: list[tuple[float, str, str, str]] = []
    for replica in cluster.replicas.values():
        for (request_id, after, _), (_, at_s) in zip(
            replica.arrivals, replica.arrived_s, strict=True
        ):
            arrivals.append((at_s, request_id, after, replica.software))
    software_of: dict[str, str] = {}
    mixed = []
    for _, request_id, after, software in sorted(arrivals):
        if after and software_of.get(request_id) != software:
            mixed.append(f"{request_id} after {after} at {software}")
        software_of[request_id] = software
    return mixed


@then("no item was continued by another software version")
def step_not_mixed(context: Context) -> None:
    mixed = _mixed(context.cluster)
    assert not mixed, mixed


@given("an item with {events:d} events written by software {software}")
def step_item(context: Context, events: int, software: str) -> None:
    item = Item("i", "/", (), b"", 1_000, "g")
    context.progress = ItemProgress(item)
    context.progress.software = software
    for number in range(1, events * EVENTS_PER_STEP + 1):
        context.progress.append_event(Event(str(number), "x", ()), 1)


@when("its progress is {transfer}")
def step_transfer(context: Context, transfer: str) -> None:
    if transfer == "discarded":
        context.progress.restart()
    elif transfer == "sent to a daemon":
        snapshots = select_snapshots([context.progress], UNLIMITED_BYTES)
        job = Job("j", "r", "h", "s", 0, 0.0, 0.0, 3, 1, 1)
        context.progress = ItemProgress(context.progress.item)
        context.progress.continue_from(snapshots[0], job)
    else:
        assert transfer == "kept", transfer


@then("replicas of software {software} may continue it: {expected}")
def step_may_continue(context: Context, software: str, expected: str) -> None:
    assert context.progress.may_continue_at(software) == (expected == "yes")


# -- callers' streams


def _read_chat(
    context: Context, request_id: str, edge: str, max_events: int, **headers: str
) -> tuple[int, list[str], float]:
    """Return the status, the data of the events and the seconds to the head.

    Records which software answered.
    """
    connection = context.cluster.connect(edge, timeout_s=STREAM_TIMEOUT_S)
    started_s = time.monotonic()
    fixed = {"Host": HOST_NAME, "X-Request-Id": request_id, "X-Model": MODEL}
    connection.request(
        "POST", f"{CHAT_PREFIX}{request_id}", b"prompt", {**fixed, **headers}
    )
    response = connection.getresponse()
    head_s = time.monotonic() - started_s
    context.software_of[request_id] = response.getheader("x-software", "")
    body = b""
    with suppress(http.client.IncompleteRead, OSError):
        while response.status == 200 and body.count(b"\n\n") < max_events:
            part = response.read1(256)
            if not part:
                break
            body += part
    response.close()
    connection.close()
    events = body.decode().split("\n\n")[:-1]
    data = [event.partition("data: ")[2] for event in events]
    return response.status, data[:max_events], head_s


def _in_parallel(work: Callable[[str], Any], ids: list[str]) -> dict[str, Any]:
    with ThreadPoolExecutor(len(ids)) as pool:
        return dict(zip(ids, pool.map(work, ids), strict=True))


@when("{count:d} chat streams are read at {edge}")
def step_read(context: Context, count: int, edge: str) -> None:
    context.software_of = {}
    ids = [f"s{number}" for number in range(count)]
    context.streams = _in_parallel(
        lambda request_id: _read_chat(context, request_id, edge, MANY_EVENTS), ids
    )


@when("{events:d} events of {count:d} chat streams are read at {edge}")
def step_read_some(context: Context, events: int, count: int, edge: str) -> None:
    context.software_of = {}
    ids = [f"s{number}" for number in range(count)]
    context.streams = _in_parallel(
        lambda request_id: _read_chat(context, request_id, edge, events), ids
    )
    for status, data, _ in context.streams.values():
        assert status == 200 and len(data) == events, (status, data)


@given("the daemons have had time to list each other")
def step_listed(context: Context) -> None:
    time.sleep(MEMBERS_SPREAD_S)


@when("nothing is lost")
def step_nothing(context: Context) -> None:
    pass


@when("daemon {edge} is killed")
def step_kill(context: Context, edge: str) -> None:
    context.cluster.edges[edge].kill()


@when("the replicas of {software} leave")
def step_leave(context: Context, software: str) -> None:
    for name, replica in context.cluster.replicas.items():
        if replica.software == software:
            context.cluster.list_replica(name, "draining")
    time.sleep(SPREAD_S)


@when("the entries of {software} are removed")
def step_removed(context: Context, software: str) -> None:
    cluster = context.cluster
    for name, replica in cluster.replicas.items():
        if replica.software == software:
            cluster.run_on_loop(partial(cluster.store.remove, "servers", name))
    time.sleep(SPREAD_S)


@when("all daemons are killed, {meanwhile}, and they start again")
def step_kill_all(context: Context, meanwhile: str) -> None:
    cluster = context.cluster
    for process in cluster.edges.values():
        process.kill()
    if meanwhile == "all daemons are killed again":
        cluster.start_edges(len(cluster.edges))
        for process in cluster.edges.values():
            process.kill()
    elif meanwhile != "nothing is lost":
        context.execute_steps(f"When {meanwhile}")
    cluster.start_edges(len(cluster.edges))


@when("the streams are taken up at {edge}")
def step_take_up(context: Context, edge: str) -> None:
    def take_up(request_id: str) -> tuple[int, list[str], float]:
        after = len(context.streams[request_id][1])
        headers = {"Resumes": request_id, "Last-Event-Id": str(after)}
        return _read_chat(context, f"{request_id}-again", edge, MANY_EVENTS, **headers)

    context.resumed = _in_parallel(take_up, list(context.streams))


@then("all {count:d} streams are complete, each event once")
def step_all_complete(context: Context, count: int) -> None:
    assert len(context.streams) == count
    events = next(iter(context.cluster.replicas.values())).events
    for request_id, (status, data, _) in context.streams.items():
        expected = output_of(request_id, events).split("\n")
        assert status == 200 and data == expected, (request_id, status, data)


@then("at least {count:d} of them go on to their ends, the others are refused at once")
def step_go_on(context: Context, count: int) -> None:
    total = next(iter(context.cluster.replicas.values())).events
    went_on = 0
    for request_id, (status, data, head_s) in context.resumed.items():
        if status == 503:
            assert head_s < REFUSAL_LIMIT_S, head_s
            continue
        missing = total - len(context.streams[request_id][1])
        assert status == 200 and len(data) == missing, (request_id, status, data)
        went_on += 1
    assert went_on >= count, went_on


@then("no stream was continued by another software version")
def step_no_mixed_stream(context: Context) -> None:
    # The software that answered first counts: a hedge reaches a second replica, whose
    # stream is cancelled.
    mixed = []
    for replica in context.cluster.replicas.values():
        for request_id, after, _ in replica.arrivals:
            began = context.software_of[request_id.removesuffix("-again")]
            if after and replica.software != began:
                mixed.append(f"{request_id} after {after} at {replica.software}")
    assert not mixed, mixed


# -- decisions, without a network


def _replica(software: str) -> Replica:
    address = Address(f"10.0.0.{software[1:]}", 80)
    return Replica(
        f"r-{software}",
        "service",
        address,
        "zone",
        4,
        False,
        software_version=software,
    )


@given("a fleet whose replicas run software v1")
def step_fleet(context: Context) -> None:
    context.fleet = Fleet(lambda: float("-inf"))
    context.fleet.update([_replica("v1")], [])
    context.passed_s = 0.0


@when("these changes follow: {changes}")
def step_changes(context: Context, changes: str) -> None:
    for change in changes.split(", "):
        name, _, event = change.partition(" ")
        if event == "starts":
            context.fleet.update([_replica(name)], [])
        elif event == "is removed":
            context.fleet.update([], [f"r-{name}"])
        elif event == "s pass":
            context.passed_s += float(name)
        else:
            assert change == "none", change


@then("the software versions of the last {period:d} s are {versions}")
def step_recent(context: Context, period: int, versions: str) -> None:
    later_s = time.monotonic() + context.passed_s
    with patch("greengagetack.replicas.fleet.time.monotonic", lambda: later_s):
        recent = context.fleet.recent_software("service", period)
    assert sorted(recent) == versions.split(","), recent


class _MemoryPeers:
    """Connects `StreamOrigins` of several daemons."""

    def __init__(self) -> None:
        self.daemons: dict[Address, StreamOrigins] = {}
        self.lost: set[Address] = set()
        self._addresses: tuple[Address, ...] = ()

    def member_addresses(self) -> tuple[Address, ...]:
        return self._addresses

    def add(self, number: int) -> None:
        address = Address(f"10.0.{number // 200}.{number % 200}", 80)
        self.daemons[address] = StreamOrigins(self, address)
        self._addresses = tuple(self.daemons)

    async def send_origins(
        self, address: Address, origins: tuple[StreamOrigin, ...]
    ) -> None:
        self._reach(address).remember(origins)

    async def fetch_origin(self, address: Address, request_id: str) -> str | None:
        return self._reach(address).known(request_id)

    def _reach(self, address: Address) -> StreamOrigins:
        if address in self.lost:
            raise PeerUnreachable("lost")
        return self.daemons[address]


@given("{daemons:d} daemons that remember {count:d} streams")
def step_remember(context: Context, daemons: int, count: int) -> None:
    context.peers = _MemoryPeers()
    context.count = count
    for number in range(daemons):
        context.peers.add(number)


@when("{lost:d} of them are lost, and with {later:d} new ones a stream is asked for")
def step_lose(context: Context, lost: int, later: int) -> None:
    peers = context.peers
    rng = random.Random(7)

    async def play() -> None:
        daemons = list(peers.daemons.values())
        for number in range(context.count):
            daemon = daemons[number % len(daemons)]
            daemon.record(StreamOrigin(f"s{number}", "v1"))
        await asyncio.sleep(SEND_DELAY_S * 3)
        peers.lost = set(rng.sample(list(peers.daemons), lost))
        for number in range(later):
            peers.add(100 + number)
        context.shares = []
        sound = [a for a in peers.daemons if a not in peers.lost]
        for address in sound[:MAX_ASKED_DAEMONS]:
            asked = StreamOrigins(peers, address)
            found = [await asked.find(f"s{n}") for n in range(context.count)]
            context.shares.append(found.count("v1") / context.count)

    if len(peers.daemons) == 1:
        only = next(iter(peers.daemons.values()))
        only.remember(tuple(StreamOrigin(f"s{n}", "v1") for n in range(context.count)))
        context.shares = [
            sum(only.known(f"s{n}") == "v1" for n in range(context.count))
            / context.count
        ]
        return
    asyncio.run(play())


@then("at least {share:g} of the streams are known at every daemon")
def step_known(context: Context, share: float) -> None:
    assert min(context.shares) >= share, context.shares
