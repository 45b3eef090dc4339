"""features.steps.zone_relays_steps: daemons that follow others instead of the store."""

import asyncio
import random
from typing import Any

from behave import given, then, when
from behave.runner import Context
from starlette.requests import Request

from features.support.fleet_play import (
    HORIZON_S,
    NEW_VERSION,
    STALE_VERSION,
    START_SPREAD_S,
    Play,
    fail,
    now_s,
    play_of,
    victims_of,
)
from features.support.memory_objects import MemoryObjects
from greengagetack.coordination.copies import CopyServer, decode_copy
from greengagetack.coordination.messages import Member, decode
from greengagetack.coordination.zone_relay import zone_candidates
from greengagetack.objects.base import PlatformObject, WatchAnswer
from greengagetack.objects.feed import Feed

ZONES = "abcdefghijklmnopqr"
LIMIT_S = 3.0
BEFORE_CHANGE_S = 1.0
LISTINGS = 200
LISTING_PAUSE_S = 0.005
OUTAGE_S = 10.0
MAX_AGE_S = 1.5
MIDDLE_VERSION = 3

# -- the choice alone


@given("{daemons:d} listed daemons in {zones:d} zones, the dispatcher among them")
def step_members(context: Context, daemons: int, zones: int) -> None:
    context.members = [
        Member(
            f"n{number}",
            f"i{number}",
            f"10.0.0.1:{number}",
            ZONES[number % zones],
            cores=(0.5, 1.0, 2.0)[number // zones % 3],
        )
        for number in range(daemons)
    ]
    best = max(context.members, key=lambda member: member.cores)
    context.dispatcher = best.node


def _candidates(context: Context, members: list[Member]) -> dict[str, tuple[str, ...]]:
    zones = {member.availability_zone for member in context.members}
    return {
        zone: tuple(
            member.node for member in zone_candidates(members, zone, context.dispatcher)
        )
        for zone in zones
    }


@then("each zone of more than 8 daemons has 2 candidates, all others none")
def step_sizes(context: Context) -> None:
    for zone, found in _candidates(context, context.members).items():
        size = sum(member.availability_zone == zone for member in context.members)
        assert len(found) == (2 if size > 8 else 0), (zone, size, found)


@then("all members of a zone agree on them in any order of the list")
def step_agree(context: Context) -> None:
    expected = _candidates(context, context.members)
    rng = random.Random(5)
    for _ in range(5):
        shuffled = rng.sample(context.members, len(context.members))
        assert _candidates(context, shuffled) == expected


@then("a candidate has the most cores of its zone and is not the dispatcher")
def step_cores(context: Context) -> None:
    by_node = {member.node: member for member in context.members}
    for zone, found in _candidates(context, context.members).items():
        assert context.dispatcher not in found
        others = [
            member.cores
            for member in context.members
            if member.availability_zone == zone and member.node != context.dispatcher
        ]
        for node, cores in zip(found, sorted(others, reverse=True), strict=False):
            assert by_node[node].cores == cores, (zone, found)


@then("the loss of one daemon changes no zone's candidates unless it is one of them")
def step_stable(context: Context) -> None:
    before = _candidates(context, context.members)
    chosen = {node for found in before.values() for node in found}
    for lost in context.members[:50]:
        rest = [member for member in context.members if member.node != lost.node]
        zone = lost.availability_zone
        is_smaller = sum(member.availability_zone == zone for member in rest) <= 8
        if lost.node in chosen or is_smaller or lost.node == context.dispatcher:
            continue
        assert _candidates(context, rest) == before, lost.node


# -- a fleet in virtual time: its steps are collected, and the first check runs them


@given("{daemons:d} daemons in 3 zones, of which {seeds:d} are seeds")
def step_fleet(context: Context, daemons: int, seeds: int) -> None:
    context.sizes = [daemons // 3 + (zone < daemons % 3) for zone in range(3)]
    context.seeds = seeds
    context.plan = []
    context.play = None


@when("all start within 0.3 s, {before}")
def step_start(context: Context, before: str) -> None:
    async def start(play: Play) -> None:
        fleet = play.fleet
        seed = fleet.seeds[0]
        if before == "after all were killed":
            await play.start_all()
            await asyncio.sleep(5.0)
            for node in list(fleet.daemons):
                fleet.kill(node)
            await asyncio.sleep(1.0)
        if before.endswith("cut off"):
            fleet.network.cut.add(seed)
            fleet.network.storeless.add(seed)
            fleet.network.is_store_silent = True
        await play.start_all()
        if before.endswith("down"):
            fleet.kill(seed)

    context.plan.append(start)


@then("all have the configuration within {limit:g} s")
def step_ready(context: Context, limit: float) -> None:
    late = play_of(context).late(limit)
    assert not late, late


@then(
    "within 4 s the store is called at most {calls:d} times beside one entry for each"
)
def step_calls(context: Context, calls: int) -> None:
    made = play_of(context).calls(4.0)
    entries = made.pop(("write", "members"))
    assert entries <= sum(context.sizes) * 1.1, entries
    assert made.total() <= calls, made


@when("all but one have run for 4 s, then its seeds are {state}")
def step_seeds(context: Context, state: str) -> None:
    async def run(play: Play) -> None:
        fleet = play.fleet
        last = next(node for node in sorted(fleet.zones) if node not in fleet.seeds)
        play.subject = last
        for node in fleet.zones:
            if node != last:
                fleet.start(node)
        await asyncio.sleep(4.0)
        for seed in fleet.seeds:
            if state == "down":
                fleet.kill(seed)
            if state == "cut off":
                fleet.network.cut.add(seed)
            if state == "frozen":
                fleet.freeze(seed)
        if state.startswith("behind"):
            fleet.network.storeless.update(node for node in fleet.zones if node != last)
            await asyncio.sleep(1.0)
            await fleet.configure(NEW_VERSION)
            await asyncio.sleep(1.0)

    context.plan.append(run)


@when("the remaining daemon starts")
def step_last(context: Context) -> None:
    async def start(play: Play) -> None:
        play.mark()
        play.fleet.start(play.subject)

    context.plan.append(start)


@then("it has the newest configuration within {limit:g} s")
def step_newest(context: Context, limit: float) -> None:
    play = play_of(context)
    assert play.subject not in play.late(limit), play.late(limit)


@then("it has never applied an older one")
@then("no daemon has ever applied an older one")
def step_order(context: Context) -> None:
    for node, daemon in play_of(context).fleet.daemons.items():
        applied = [version for _, version in daemon.applied]
        assert applied == sorted(set(applied)), (node, applied)
        assert STALE_VERSION not in applied, node


@given("all have run for {duration:g} s")
def step_running(context: Context, duration: float) -> None:
    async def run(play: Play) -> None:
        await play.start_all()
        await asyncio.sleep(duration - START_SPREAD_S)
        assert not play.late(duration)
        assert play.fleet.dispatcher()

    context.plan.append(run)


@when("this fails: {failure}")
def step_failure(context: Context, failure: str) -> None:
    async def begin(play: Play) -> None:
        play.former = play.fleet.dispatcher()
        play.mark()
        fail(play.fleet, failure)

    context.plan.append(begin)


@when("a configuration is written {later:g} s later")
def step_write(context: Context, later: float) -> None:
    async def write(play: Play) -> None:
        await asyncio.sleep(later)
        await play.fleet.configure(NEW_VERSION)
        play.mark()

    context.plan.append(write)


@then("all daemons that run and reach another have it within 3 s")
def step_in_force(context: Context) -> None:
    play = play_of(context)
    late = play.late(LIMIT_S)
    assert not late, (len(late), late[:9], play.fleet.dispatcher(), play.fleet.relays())


@when(
    "{subject} is frozen while two configurations are written, "
    "and {state} after {duration:g} s"
)
def step_freeze_for(
    context: Context, subject: str, state: str, duration: float
) -> None:
    async def freeze(play: Play) -> None:
        fleet, network = play.fleet, play.fleet.network
        play.subject = victims_of(fleet, subject)[0]
        fleet.freeze(play.subject)
        # The answers that wait for the VM have the first of the two.
        await fleet.configure(MIDDLE_VERSION)
        await asyncio.sleep(BEFORE_CHANGE_S)
        await fleet.configure(NEW_VERSION)
        context.written_s = now_s()
        await asyncio.sleep(duration - BEFORE_CHANGE_S)
        network.answers.clear()
        if state == "gets no answers":
            network.deaf.add(play.subject)
            network.storeless.add(play.subject)
            network.is_store_silent = True
        fleet.thaw(play.subject)
        play.mark()
        for _ in range(LISTINGS):
            await asyncio.sleep(LISTING_PAUSE_S)
            await fleet.list_config_at(play.subject)

    context.plan.append(freeze)


@then("it answers no other daemon as if an older copy were confirmed")
def step_no_old_copy(context: Context) -> None:
    play = play_of(context)
    for answer in play.fleet.network.answers:
        assert answer.age_s <= MAX_AGE_S, answer
        is_old = answer.version < NEW_VERSION
        confirmed_s = answer.at_s - answer.age_s
        assert not is_old or confirmed_s <= context.written_s, (answer, confirmed_s)


@then("all others have the configuration within 3 s of its return")
def step_after_thaw(context: Context) -> None:
    late = play_of(context).late(LIMIT_S)
    assert not late, late


@then("another daemon holds the claim within {limit:g} s")
def step_taken_over(context: Context, limit: float) -> None:
    play = play_of(context)
    taken_s = min(at_s for at_s, holder, _ in play.claims if holder != play.former)
    assert taken_s - play.began_s <= limit, taken_s - play.began_s


@then("all daemons that run know its holder within {limit:g} s")
def step_know_holder(context: Context, limit: float) -> None:
    play = play_of(context)
    until_s = play.began_s + limit
    holder, knowing = [(h, k) for at_s, h, k in play.claims if at_s <= until_s][-1]
    assert holder != play.former
    unknowing = set(play.running()) - knowing
    assert not unknowing, (holder, unknowing)


@then("in the 4 s after the failure at most {calls:d} calls concern the claim")
def step_claim_calls(context: Context, calls: int) -> None:
    made = play_of(context).calls(4.0)
    concerned = {call: count for call, count in made.items() if call[1] == "dispatch"}
    assert sum(concerned.values()) <= calls, concerned


@when("the store takes {delay:g} s for each answer, for {duration:g} s so far")
def step_slow(context: Context, delay: float, duration: float) -> None:
    async def slow_down(play: Play) -> None:
        play.fleet.network.store_s = delay
        await asyncio.sleep(duration)
        play.fleet.network.refusals = 0
        play.mark()

    context.plan.append(slow_down)


@then(
    "within 5 s no daemon refuses a copy, and the store is called at most "
    "{calls:d} times"
)
def step_slow_calls(context: Context, calls: int) -> None:
    play = play_of(context)
    assert not play.fleet.network.refusals, play.fleet.network.refusals
    made = play.calls(HORIZON_S)
    assert made.total() <= calls, made


@when("the store is down for 10 s, and a configuration is written after it")
def step_outage(context: Context) -> None:
    async def lose(play: Play) -> None:
        network = play.fleet.network
        network.storeless.update(play.fleet.daemons)
        began_s = now_s()
        await asyncio.sleep(OUTAGE_S)
        context.outage_calls = [
            at_s for at_s, _ in network.store_calls if at_s > began_s
        ]
        network.storeless.clear()
        await play.fleet.configure(NEW_VERSION)
        play.mark()

    context.plan.append(lose)


@then("the store was called at most {calls:d} times in the outage")
def step_outage_calls(context: Context, calls: int) -> None:
    play_of(context)
    assert len(context.outage_calls) <= calls, len(context.outage_calls)


# -- compression


@given("a copy of {size:d} bytes at a daemon")
def step_copy(context: Context, size: int) -> None:
    context.store = MemoryObjects()
    context.value = {"text": "abc" * (size // 3)}


@when("another daemon of {release} lists it")
def step_list(context: Context, release: str) -> None:
    _ask_for_copy(context, release, b"", True)


@when("another daemon of {release} watches it, where {place}")
def step_watch(context: Context, release: str, place: str) -> None:
    query = b"&after=1&wait_s=0.01&node=n"
    _ask_for_copy(context, release, query, place == "the dispatcher runs")


@then("the answer has status {status:d}")
def step_status(context: Context, status: int) -> None:
    assert context.response.status_code == status, context.response.status_code


def _ask_for_copy(
    context: Context, release: str, query: bytes, is_dispatcher: bool
) -> None:
    packed = b"packed=1" if release == "this release" else b""

    async def run() -> Any:
        await context.store.write("config/main", context.value, 0)
        feed = Feed(lambda: context.store, "config/", lambda: 1.0)
        following = asyncio.create_task(feed.run())
        await feed.synced.wait()
        server = CopyServer({"config/": feed}, lambda: is_dispatcher, lambda node: None)
        scope = {
            "type": "http",
            "headers": [],
            "path_params": {"prefix": "config/"},
            "query_string": packed + query,
        }
        response = await server.handle(Request(scope))
        following.cancel()
        return response

    context.response = asyncio.run(run())


@then("the answer is {form} and has the same objects")
def step_form(context: Context, form: str) -> None:
    response = context.response
    is_packed = any(name == b"x-copy-packed" for name, _ in response.raw_headers)
    assert is_packed == (form == "compressed")
    answer = decode_copy(tuple(response.raw_headers), response.body)
    if not is_packed:
        assert decode(response.body, type=WatchAnswer).objects == answer.objects
    expected = PlatformObject("config/main", 1, "", context.value)
    assert answer.objects == (expected,), answer.objects
