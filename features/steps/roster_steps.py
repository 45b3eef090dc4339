"""features.steps.roster_steps: the member list of daemons in the store."""

import asyncio
from collections.abc import Awaitable, Callable
from unittest import mock

import msgspec
from behave import given, then, when
from behave.runner import Context

from features.support.memory_objects import MemoryObjects
from greengagetack.coordination import roster
from greengagetack.coordination.messages import Member
from greengagetack.coordination.roster import Roster, takeover_rank
from greengagetack.objects.feed import Feed

PREFIX = "members/"
TIMEOUT_S = 20.0


def _member(node: str, cores: float) -> Member:
    return Member(node, f"{node}-1", f"10.0.0.{ord(node[0])}:80", "zone", cores=cores)


def _roster(store: MemoryObjects, me: Member) -> tuple[Roster, Feed]:
    feed = Feed(lambda: store, PREFIX, lambda: TIMEOUT_S)
    return Roster(me, store, feed, PREFIX, ()), feed


async def _run_with_feed(feed: Feed, work: Callable[[], Awaitable[None]]) -> None:
    """Run a feed, and await `work` once the feed is synced."""
    task = asyncio.create_task(feed.run())
    await feed.synced.wait()
    await work()
    task.cancel()


async def _wait_until(feed: Feed, condition: Callable[[], bool]) -> None:
    changed = asyncio.Event()
    feed.subscribe(lambda objects, gone: changed.set())
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            changed.clear()
            await changed.wait()


async def _write_entry(store: MemoryObjects, member: Member) -> None:
    known = store.objects.get(PREFIX + member.node)
    version = known.version if known else 0
    await store.write(PREFIX + member.node, msgspec.to_builtins(member), version)


@given('daemons with {cores} cores, of which "a" is the local one')
def step_daemons(context: Context, cores: str) -> None:
    context.store = MemoryObjects()
    members = []
    for text in cores.split():
        node, _, count = text.partition(":")
        members.append(_member(node, float(count)))
    context.roster, context.feed = _roster(context.store, members[0])

    async def fill() -> None:
        for member in members:
            await _write_entry(context.store, member)

        async def nothing() -> None:
            return

        await _run_with_feed(context.feed, nothing)

    asyncio.run(fill())


@then("the local daemon's rank without {former} is {rank:d}")
def step_rank(context: Context, former: str, rank: int) -> None:
    found = context.roster.rank("salt", "" if former == "none" else former)
    assert found == rank, found


@then("the roster returns the same {count:d} addresses each time")
def step_addresses(context: Context, count: int) -> None:
    addresses = context.roster.member_addresses()
    assert len(addresses) == count, addresses
    assert context.roster.member_addresses() is addresses


@when('daemon "{node}" is listed as well')
def step_list(context: Context, node: str) -> None:
    async def fill() -> None:
        await _write_entry(context.store, _member(node, 1.0))
        task = asyncio.create_task(context.feed.run())
        await _wait_until(context.feed, lambda: PREFIX + node in context.feed.objects)
        task.cancel()

    asyncio.run(fill())


@then("{count:d} equal daemons have distinct ranks that differ between claims")
def step_equal_ranks(context: Context, count: int) -> None:
    members = [_member(name, 1.0) for name in "abcdefgh"[:count]]
    orders = set()
    for salt in ("s1", "s2", "s3", "s4"):
        ranks = tuple(takeover_rank(member, members, salt) for member in members)
        assert sorted(ranks) == list(range(count)), ranks
        orders.add(ranks)
    assert len(orders) > 1


@when("daemons {heard} have polled the local one")
def step_polled(context: Context, heard: str) -> None:
    for node in heard.split(","):
        context.roster.record_contact(node)


@then("the successor is {node}")
def step_successor(context: Context, node: str) -> None:
    successor = context.roster.successor()
    assert (successor.node if successor else "none") == node, successor


@given("a roster on an in-memory store")
def step_roster(context: Context) -> None:
    context.store = MemoryObjects()
    context.me = _member("a", 1.0)


@when("{count:d} other daemons register while it does")
def step_start(context: Context, count: int) -> None:
    context.others = [_member("bcdefghij"[number], 1.0) for number in range(count)]
    context.is_removed = False


@when("its entry is removed")
def step_removed(context: Context) -> None:
    context.is_removed = True


@then("it is listed after {count:d} writes in total")
def step_listed(context: Context, count: int) -> None:
    """Run the whole scenario here, because a feed is bound to one event loop."""
    store = context.store = MemoryObjects()
    local_roster, feed = _roster(store, context.me)
    path = PREFIX + context.me.node

    async def run_scenario() -> None:
        task = asyncio.create_task(local_roster.run())
        for other in context.others:
            await _write_entry(store, other)
            await asyncio.sleep(0)
        await _wait_until(feed, lambda: path in feed.objects)
        if context.is_removed:
            await store.delete(path)
            await _wait_until(feed, lambda: path not in feed.objects)
            await _wait_until(feed, lambda: path in feed.objects)
        # A superfluous write would start within a few turns of the event loop.
        for _ in range(20):
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(_run_with_feed(feed, run_scenario))
    assert store.writes == count, store.writes


@when("{seconds:d} s pass (dispatcher: {runs}) and only {heard} polls the local one")
def step_sweep(context: Context, runs: str, seconds: int, heard: str) -> None:
    now_s = [1_000.0]
    clock = mock.Mock(monotonic=lambda: now_s[0])

    async def sweep() -> None:
        await context.roster.remove_silent_members(lambda: runs == "yes")
        now_s[0] += seconds
        context.roster.record_contact(heard)
        await context.roster.remove_silent_members(lambda: runs == "yes")

    with mock.patch.object(roster, "time", clock):
        asyncio.run(sweep())


@then("the listed daemons are {listed}")
def step_listed_daemons(context: Context, listed: str) -> None:
    found = sorted(path.removeprefix(PREFIX) for path in context.store.objects)
    assert found == listed.split(","), found
