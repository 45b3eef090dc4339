"""features.steps.store_outages_steps: which losses delay the removal of replicas."""

import asyncio
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from features.support.fleet_play import Play, now_s, play_of, victims_of
from greengagetack.errors import PeerUnreachable, PlatformUnavailable
from greengagetack.freezes import FreezeWatch
from greengagetack.objects import outages
from greengagetack.objects.base import StoreRateLimited
from greengagetack.objects.outages import StoreOutages

OUTAGE_S = 6.0
# Entries expire after three missed heartbeats.
EXPIRY_S = 3.6


@given("{count:d} replicas are registered")
def step_registered(context: Context, count: int) -> None:
    async def register(play: Play) -> None:
        for number in range(count):
            await play.fleet.register_replica(f"r{number}")

    context.plan.append(register)


@when("the entry of replica {name} is removed {later:g} s later")
def step_removed(context: Context, name: str, later: float) -> None:
    async def remove(play: Play) -> None:
        await asyncio.sleep(later)
        await play.fleet.remove_replica(name)
        play.mark()

    context.plan.append(remove)


@when("the dispatcher is frozen for {duration:g} s")
def step_frozen(context: Context, duration: float) -> None:
    async def freeze(play: Play) -> None:
        node = play.fleet.dispatcher()
        play.fleet.freeze(node)
        await asyncio.sleep(duration)
        play.fleet.thaw(node)
        context.excused = {node}

    context.plan.append(freeze)


@when("the store refuses all calls by rate for {duration:g} s")
def step_rate_limited(context: Context, duration: float) -> None:
    async def refuse(play: Play) -> None:
        play.fleet.network.rate_limited_until_s = now_s() + duration
        await asyncio.sleep(duration)

    context.plan.append(refuse)


@then("no daemon in touch uses {name} for longer than {limit:g} s")
def step_obeyed(context: Context, name: str, limit: float) -> None:
    play = play_of(context)
    excused = getattr(context, "excused", set()) | play.fleet.network.storeless
    late = {}
    for node, daemon in play.running().items():
        if node in excused:
            continue
        removals = [at_s for at_s, removed in daemon.removed if removed == name]
        assert len(removals) <= 1, (node, removals)
        delay_s = removals[0] - play.began_s if removals else float("inf")
        if delay_s > limit:
            late[node] = delay_s
    assert not late, (len(late), late)


@when("the store is down for 6 s while all entries expire and {event}")
def step_outage(context: Context, event: str) -> None:
    async def lose(play: Play) -> None:
        fleet, network = play.fleet, play.fleet.network
        network.storeless.update(fleet.daemons)
        await asyncio.sleep(EXPIRY_S)
        for node in victims_of(fleet, event):
            if "killed" in event:
                fleet.kill(node)
            if "frozen" in event:
                fleet.freeze(node)
        for name in ("r0", "r1"):
            await fleet.remove_replica(name)
        await asyncio.sleep(OUTAGE_S - EXPIRY_S)
        network.storeless.clear()
        play.mark()

    context.plan.append(lose)


@when("the entry of replica {name} is back {later:g} s later")
def step_back(context: Context, name: str, later: float) -> None:
    async def register(play: Play) -> None:
        await asyncio.sleep(later)
        await play.fleet.register_replica(name)

    context.plan.append(register)


@then("no daemon that has run all the time has stopped using {name}")
def step_kept(context: Context, name: str) -> None:
    lost = {
        node: daemon.removed
        for node, daemon in play_of(context).running().items()
        if any(removed == name for _, removed in daemon.removed)
    }
    assert not lost, (len(lost), lost)


@then("all daemons have stopped using {name} within {limit:g} s of the store's return")
def step_gone(context: Context, name: str, limit: float) -> None:
    play = play_of(context)
    until_s = play.began_s + limit
    keeping = [
        node
        for node, daemon in play.running().items()
        if not any(
            at_s <= until_s and removed == name for at_s, removed in daemon.removed
        )
    ]
    assert not keeping, keeping


# -- the decision alone


class _FrozenOnce(FreezeWatch):
    """Says of the calls sent at one time that a freeze broke them off."""

    frozen_s = float("nan")

    def was_frozen_since(self, since_s: float) -> bool:
        return since_s == self.frozen_s


@given("heartbeats each {interval:g} s")
def step_heartbeats(context: Context, interval: float) -> None:
    context.freezes = _FrozenOnce()
    context.outages = StoreOutages(interval, context.freezes)


@when("these follow: {events}")
def step_events(context: Context, events: str) -> None:
    failures = {
        "store": PlatformUnavailable("no answer"),
        "frozen": PlatformUnavailable("no answer"),
        "daemon": PeerUnreachable("no answer"),
        "rate": StoreRateLimited("too many calls"),
    }
    for event in events.split(", "):
        subject, *words = event.split()
        context.at_s = float(words[-1])
        with patch.object(outages, "boottime_s", lambda: context.at_s):
            if subject == "answer":
                context.outages.record_answer(context.at_s)
            elif subject == "told":
                context.outages.learn_return(context.at_s - float(words[1]))
            else:
                if subject == "frozen":
                    context.freezes.frozen_s = context.at_s
                context.outages.record_failure(failures[subject], context.at_s)


@then("the store is known to have returned at {returned}")
def step_returned(context: Context, returned: str) -> None:
    with patch.object(outages, "boottime_s", lambda: context.at_s):
        returned_s = context.at_s - context.outages.since_return_s
    expected_s = float("-inf") if returned == "never" else float(returned)
    assert returned_s == expected_s, returned_s
