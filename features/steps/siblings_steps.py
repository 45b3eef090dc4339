"""features.steps.siblings_steps: daemons that list themselves in the store."""

import asyncio
from collections.abc import Awaitable, Callable
from unittest import mock

import msgspec
from behave import given, then, when
from behave.runner import Context

from features.support.memory_objects import MemoryObjects
from greengagetack.objects.feed import Feed
from greengagetack.siblings import roster
from greengagetack.siblings.messages import Member
from greengagetack.siblings.roster import Roster, rank_of

PREFIX = "members/"
LIMIT_S = 20.0


def _member(node: str, cores: float) -> Member:
    return Member(node, f"{node}-1", f"10.0.0.{ord(node[0])}:80", "zone", cores=cores)


def _roster(store: MemoryObjects, me: Member) -> tuple[Roster, Feed]:
    feed = Feed(lambda: store, PREFIX, lambda: LIMIT_S)
    return Roster(me, store, feed, PREFIX, ()), feed


async def _with_feed(feed: Feed, work: Callable[[], Awaitable[None]]) -> None:
    """Do something once a feed has its first copy."""
    task = asyncio.create_task(feed.run())
    await feed.synced.wait()
    await work()
    task.cancel()


async def _until(feed: Feed, holds: Callable[[], bool]) -> None:
    changed = asyncio.Event()
    feed.subscribe(lambda objects, gone: changed.set())
    async with asyncio.timeout(LIMIT_S):
        while not holds():
            changed.clear()
            await changed.wait()


async def _listed(store: MemoryObjects, member: Member) -> None:
    known = store.objects.get(PREFIX + member.node)
    version = known.version if known else 0
    await store.write(PREFIX + member.node, msgspec.to_builtins(member), version)


@given('daemons of {cores} cores, "a" being this one')
def step_daemons(context: Context, cores: str) -> None:
    context.store = MemoryObjects()
    members = []
    for text in cores.split():
        node, _, count = text.partition(":")
        members.append(_member(node, float(count)))
    context.roster, context.feed = _roster(context.store, members[0])

    async def fill() -> None:
        for member in members:
            await _listed(context.store, member)

        async def nothing() -> None:
            return

        await _with_feed(context.feed, nothing)

    asyncio.run(fill())


@then("this one's place without {former} is {rank:d}")
def step_place(context: Context, former: str, rank: int) -> None:
    found = context.roster.rank("salt", "" if former == "none" else former)
    assert found == rank, found


@then(
    "of {count:d} equal daemons each has another place, and not the same for each claim"
)
def step_equal(context: Context, count: int) -> None:
    members = [_member(name, 1.0) for name in "abcdefgh"[:count]]
    orders = set()
    for salt in ("s1", "s2", "s3", "s4"):
        places = tuple(rank_of(member, members, salt) for member in members)
        assert sorted(places) == list(range(count)), places
        orders.add(places)
    assert len(orders) > 1


@when("daemons {heard} have been heard of")
def step_heard(context: Context, heard: str) -> None:
    for node in heard.split(","):
        context.roster.note_heard(node)


@then("the successor is {node}")
def step_successor(context: Context, node: str) -> None:
    successor = context.roster.successor()
    assert (successor.node if successor else "none") == node, successor


@given("a roster on a store in memory")
def step_roster(context: Context) -> None:
    context.store = MemoryObjects()
    context.me = _member("a", 1.0)


@when("{count:d} other daemons list themselves while it does")
def step_start(context: Context, count: int) -> None:
    context.others = [_member("bcdefghij"[number], 1.0) for number in range(count)]
    context.is_removed = False


@when("its entry is removed")
def step_removed(context: Context) -> None:
    context.is_removed = True


@then("it is listed after {count:d} writes in all")
def step_listed(context: Context, count: int) -> None:
    """Play the whole scenario up to this step, as a feed lives in one event loop."""
    store = context.store = MemoryObjects()
    list_of, feed = _roster(store, context.me)
    path = PREFIX + context.me.node

    async def play() -> None:
        task = asyncio.create_task(list_of.run())
        for other in context.others:
            await _listed(store, other)
            await asyncio.sleep(0)
        await _until(feed, lambda: path in feed.objects)
        if context.is_removed:
            await store.delete(path)
            await _until(feed, lambda: path not in feed.objects)
            await _until(feed, lambda: path in feed.objects)
        # A second write, if there were one, would begin within a few turns.
        for _ in range(20):
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(_with_feed(feed, play))
    assert store.writes == count, store.writes


@when("this one runs the jobs {runs}, {seconds:d} s pass and only {heard} is heard of")
def step_sweep(context: Context, runs: str, seconds: int, heard: str) -> None:
    now_s = [1_000.0]
    clock = mock.Mock(monotonic=lambda: now_s[0])

    async def sweep() -> None:
        await context.roster.sweep(lambda: runs == "yes")
        now_s[0] += seconds
        context.roster.note_heard(heard)
        await context.roster.sweep(lambda: runs == "yes")

    with mock.patch.object(roster, "time", clock):
        asyncio.run(sweep())


@then("the daemons that are listed are {listed}")
def step_on_list(context: Context, listed: str) -> None:
    found = sorted(path.removeprefix(PREFIX) for path in context.store.objects)
    assert found == listed.split(","), found
