"""features.steps.claim_path_steps: the claim and the path of its holder."""

import asyncio
import time
from unittest.mock import patch

import msgspec
from behave import given, then, when
from behave.runner import Context

from features.support.memory_objects import MemoryObjects
from greengagetack.coordination.claim import CLAIM_PATH, DispatcherClaim
from greengagetack.coordination.client import PeerClient
from greengagetack.coordination.messages import Member, Pong
from greengagetack.coordination.path_watch import PathWatch
from greengagetack.coordination.roster import Roster
from greengagetack.errors import PeerUnreachable
from greengagetack.facts import FactCursor
from greengagetack.objects.feed import Feed
from greengagetack.world import Address

SERVICE = "summariser"
TICK_S = 0.05
HOLDER = Member("holder", "h1", "10.0.0.1:1", "zone-a")
LOCAL = Member("local", "l1", "10.0.0.2:1", "zone-a")


class _Claim:
    """A claim that records to whom it is handed over."""

    def __init__(self) -> None:
        self.is_acting = True
        self.successor = ""

    async def hand_over(self, successor: Member) -> bool:
        self.is_acting = False
        self.successor = successor.node
        return True


class _Paths:
    """The paths of the claim holder."""

    def __init__(self, is_lost: bool) -> None:
        self._is_lost = is_lost

    def is_lost(self, service: str) -> bool:
        return self._is_lost

    async def check(self, service: str) -> bool:
        return not self._is_lost


class _Peers:
    """Other daemons, by the first part of their control addresses."""

    def __init__(self, states: dict[str, str]) -> None:
        self._states = states

    async def reaches(self, address: Address, service: str) -> bool:
        state = self._states[address.host]
        if state == "silent":
            await asyncio.sleep(TICK_S)
            raise PeerUnreachable("silent")
        return state == "path"


@given("a claim holder that has {path} to the replicas of its jobs")
def step_holder(context: Context, path: str) -> None:
    context.claim = _Claim()
    context.paths = _Paths(path == "no path")
    context.services = [] if path == "no jobs" else [SERVICE]


@given("other daemons {others}")
def step_others(context: Context, others: str) -> None:
    context.states = {}
    for part in [] if others == "nobody" else others.split(", "):
        name, _, state = part.partition(" ")
        context.states[name] = state.strip("()")


@when("its path is watched for {duration:d} s")
def step_watch(context: Context, duration: int) -> None:
    members = [Member(name, name, f"{name}:1", "zone-a") for name in context.states]
    watch = PathWatch(
        context.claim,
        context.paths,
        _Peers(context.states),
        lambda: context.services,
        lambda: members,
    )

    async def run() -> None:
        until_s = time.monotonic() + duration
        while time.monotonic() < until_s:
            await watch.tick()
            await asyncio.sleep(TICK_S)

    asyncio.run(run())


@then("the claim is {result}")
def step_result(context: Context, result: str) -> None:
    successor = "" if result == "kept" else result.removeprefix("handed over to ")
    assert context.claim.successor == successor, context.claim.successor


@given("a claim whose holder has been silent for {silent:g} s")
def step_silent(context: Context, silent: float) -> None:
    context.silent_s = silent


@given("a daemon of the first rank that has {path} to the replicas of its jobs")
def step_daemon(context: Context, path: str) -> None:
    context.has_path = path == "a path"


class _SilentHolder(PeerClient):
    """Calls to a holder that does not answer."""

    async def ping(self, address: Address, known: FactCursor) -> Pong:
        raise PeerUnreachable("silent")


@when("it checks the holder")
def step_check(context: Context) -> None:
    async def check() -> str:
        store = MemoryObjects()
        await store.write(CLAIM_PATH, msgspec.to_builtins(HOLDER), 0)
        claims = Feed(lambda: store, "dispatch/", lambda: 1.0)
        members = Feed(lambda: store, "members/", lambda: 1.0)
        roster = Roster(LOCAL, store, members, "members/", ())

        async def reaches_work() -> bool:
            return bool(context.has_path)

        claim = DispatcherClaim(
            LOCAL,
            store,
            claims,
            roster,
            lambda: None,
            lambda pong: None,
            FactCursor,
            reaches_work,
        )
        following = asyncio.create_task(claims.run())
        await claims.synced.wait()
        began_s = time.monotonic()
        peers = _SilentHolder("local", lambda: None, list, tuple)
        clock = "greengagetack.coordination.claim.time.monotonic"
        with patch(clock, lambda: began_s + context.silent_s):
            await claim._check_holder(peers)
        following.cancel()
        holder = store.objects[CLAIM_PATH].value
        return str(holder["node"])

    context.holder = asyncio.run(check())


@then("it {result} the claim")
def step_taken(context: Context, result: str) -> None:
    expected = "local" if result == "takes over" else "holder"
    assert context.holder == expected, context.holder


@when("the claim is handed over to another daemon")
def step_hand_over(context: Context) -> None:
    cluster = context.cluster
    context.former_dispatcher = cluster.dispatcher()

    def write() -> None:
        names = cluster.store.names("members")
        other = next(name for name in names if name != context.former_dispatcher)
        former = cluster.store.value("members", context.former_dispatcher)
        successor = {**cluster.store.value("members", other)}
        successor["former"] = former["control"]
        stored = {"change_id": "test", "value": successor}
        cluster.store.put("dispatch", "main", stored)

    cluster.run_on_loop(write)
