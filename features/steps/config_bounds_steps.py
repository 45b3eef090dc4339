"""features.steps.config_bounds_steps: the time from a change to its effect."""

import asyncio
from collections.abc import Awaitable, Callable

from behave import given, then, when
from behave.runner import Context

from features.support.copy_fleet import CopyFleet, FleetDaemon
from features.support.fleet_play import OLD_VERSION, Play, fail, now_s
from features.support.virtual_time import run_in_virtual_time
from greengagetack.coordination.copies import decode_copy
from greengagetack.coordination.messages import encode
from greengagetack.coordination.store_gate import StoreGate
from greengagetack.errors import PlatformUnavailable
from greengagetack.objects.base import HistoryGone, PlatformObject, WatchAnswer
from greengagetack.objects.feed import Feed

# The moments of a failure cover a turn of the watches, those of a change the time that
# a daemon needs to notice it.
FAILURE_MOMENTS_S = (4.0, 4.25, 4.5, 4.75)
CHANGE_DELAYS_S = (0.0, 1.0)
OBSERVATION_S = 6.0
CHANGE_INTERVAL_S = 0.3
SILENCE_S = 1.0
MANY_CHANGES_FROM = OLD_VERSION + 100
ANSWER_POLL_S = 0.005
MAX_POLLS = 1_000
NEVER_S = float("inf")


class Change:
    """A configuration that was written, and when."""

    def __init__(self, version: int, written_s: float) -> None:
        self.version = version
        self.written_s = written_s


async def _started(context: Context, ready_s: float) -> Play:
    play = Play(CopyFleet(context.sizes, context.seeds))
    await play.fleet.configure(OLD_VERSION)
    await play.start_all()
    await asyncio.sleep(play.began_s + ready_s - now_s())
    return play


async def _write(play: Play, version: int) -> Change:
    written_s = now_s()
    await play.fleet.configure(version)
    return Change(version, written_s)


async def _write_series(
    play: Play, duration_s: float, first_version: int = OLD_VERSION + 1
) -> list[Change]:
    """Write configurations at a steady rate."""
    changes: list[Change] = []
    until_s = now_s() + duration_s
    while now_s() < until_s:
        changes.append(await _write(play, first_version + len(changes)))
        await asyncio.sleep(CHANGE_INTERVAL_S)
    return changes


def _in_touch(play: Play) -> dict[str, FleetDaemon]:
    storeless = play.fleet.network.storeless
    running = play.running().items()
    return {node: daemon for node, daemon in running if node not in storeless}


def _effect_s(daemon: FleetDaemon, version: int) -> float:
    """Return when a version or a newer one was in force."""
    return next((at_s for at_s, has in daemon.applied if has >= version), NEVER_S)


def _late(play: Play, changes: list[Change], limit_s: float) -> list[tuple[str, float]]:
    """Return the daemons that were late, with the longest time of each."""
    longest = {
        node: max(_effect_s(daemon, each.version) - each.written_s for each in changes)
        for node, daemon in _in_touch(play).items()
    }
    return [(node, time_s) for node, time_s in longest.items() if time_s > limit_s]


@when("this fails at any moment before a change: {failure}")
def step_fail(context: Context, failure: str) -> None:
    async def run(moment_s: float, delay_s: float) -> tuple[Play, list[Change]]:
        play = await _started(context, moment_s)
        fail(play.fleet, failure)
        await asyncio.sleep(delay_s)
        change = await _write(play, OLD_VERSION + 1)
        await asyncio.sleep(OBSERVATION_S)
        return play, [change]

    context.plays = [
        run_in_virtual_time(run(moment_s, delay_s))
        for moment_s in FAILURE_MOMENTS_S
        for delay_s in CHANGE_DELAYS_S
    ]


@when(
    "a relay, the other one and the dispatcher of its zone's daemons freeze, "
    "each {gap:g} s later"
)
def step_one_after_another(context: Context, gap: float) -> None:
    async def freeze(play: Play) -> None:
        for node in (*play.fleet.relays()["b"], play.fleet.dispatcher()):
            play.fleet.freeze(node)
            await asyncio.sleep(gap)

    context.plays = _plays_with_changes(context, freeze)


@when("the store's watches hear nothing for 1 s, and its history is gone then")
def step_drop_history(context: Context) -> None:
    async def drop(play: Play) -> None:
        store = play.fleet.network.store
        store.silent_until_s = now_s() + SILENCE_S
        await asyncio.sleep(SILENCE_S)
        store.drop_history()

    context.plays = _plays_with_changes(context, drop)


@when("the store's history is gone, and {gap:g} s later {failure}")
def step_history_then_failure(context: Context, gap: float, failure: str) -> None:
    async def run(moment_s: float) -> tuple[Play, list[Change]]:
        play = await _started(context, moment_s)
        store = play.fleet.network.store
        store.silent_until_s = now_s() + SILENCE_S
        await _write_series(play, SILENCE_S)
        store.drop_history()
        await asyncio.sleep(gap)
        fail(play.fleet, failure)
        changes = await _write_series(play, OBSERVATION_S, MANY_CHANGES_FROM)
        await asyncio.sleep(OBSERVATION_S)
        return play, changes

    context.plays = [run_in_virtual_time(run(each)) for each in FAILURE_MOMENTS_S]


def _plays_with_changes(
    context: Context, disrupt: Callable[[Play], Awaitable[None]]
) -> list[tuple[Play, list[Change]]]:
    """Play a disruption at several moments while configurations are written."""

    async def run(moment_s: float) -> tuple[Play, list[Change]]:
        play = await _started(context, moment_s)
        disruption = asyncio.ensure_future(disrupt(play))
        changes = await _write_series(play, OBSERVATION_S)
        await disruption
        await asyncio.sleep(OBSERVATION_S)
        return play, changes

    return [run_in_virtual_time(run(moment_s)) for moment_s in FAILURE_MOMENTS_S]


@then("all daemons in touch have the change within {limit:g} s")
@then("all daemons in touch have each change of this time within {limit:g} s")
def step_in_force(context: Context, limit: float) -> None:
    late = [found for play in context.plays if (found := _late(*play, limit))]
    assert not late, (len(late), max(late, key=len)[:5])


@when(
    "a daemon {state} for {duration:g} s, and all its sources are frozen from its "
    "return on"
)
def step_return(context: Context, state: str, duration: float) -> None:
    async def run(moment_s: float) -> None:
        play = await _started(context, moment_s)
        fleet, network = play.fleet, play.fleet.network
        sources = {*fleet.relays()["b"], fleet.dispatcher()}
        names = sorted(node for node, zone in fleet.zones.items() if zone == "b")
        subject = next(node for node in names if node not in sources | {*fleet.seeds})
        if state == "is frozen":
            fleet.freeze(subject)
        if state == "is cut off":
            network.cut.add(subject)
        if state == "gets no answer":
            network.deaf.add(subject)
        if state != "is frozen":
            network.storeless.add(subject)
            network.is_store_silent = True
        changes = await _write_series(play, duration)
        for victims in (network.cut, network.deaf, network.storeless):
            victims.discard(subject)
        fleet.thaw(subject)
        for node in {*fleet.relays()["b"], fleet.dispatcher()}:
            fleet.freeze(node)
        returned_s = now_s()
        await asyncio.sleep(OBSERVATION_S)
        newest = changes[-1].version
        context.return_times_s.append(
            _effect_s(fleet.daemons[subject], newest) - returned_s
        )

    context.return_times_s = []
    for moment_s in FAILURE_MOMENTS_S:
        run_in_virtual_time(run(moment_s))


@then("it has the changes of this time within {limit:g} s of its return")
def step_returned(context: Context, limit: float) -> None:
    assert max(context.return_times_s) <= limit, context.return_times_s


class _HeldUpSource:
    """Another daemon whose second answer is on its way for some time."""

    def __init__(self, answer: WatchAnswer, held_s: float) -> None:
        self._answer = answer
        self._held_s = held_s

    async def list(self, prefix: str) -> WatchAnswer:
        """Return no objects."""
        return WatchAnswer(1, (), waited_s=0.0)

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Return the answer once, as the encoded form brings it, then wait."""
        if after >= self._answer.revision:
            await asyncio.Event().wait()
        await asyncio.sleep(self._answer.waited_s + self._held_s)
        headers = (
            (b"x-copy-age-ms", b"%d" % round(self._answer.age_s * 1000)),
            (b"x-copy-waited-ms", b"%d" % round(self._answer.waited_s * 1000)),
        )
        body = WatchAnswer(self._answer.revision, self._answer.objects)
        return decode_copy(headers, encode(body))


@given("a daemon whose copy was confirmed {age:g} s before it answers")
def step_confirmed(context: Context, age: float) -> None:
    context.age_s = age


@when(
    "its answer, given after {waited:g} s and {content}, is {held:g} s on its way",
)
def step_held_up(context: Context, waited: float, content: str, held: float) -> None:
    has_change = content == "with a change"
    changes = (PlatformObject("config/main", 2, "", {}),) if has_change else ()
    answer = WatchAnswer(2, changes, age_s=context.age_s, waited_s=waited)

    async def run() -> float:
        source = _HeldUpSource(answer, held)
        feed = Feed(lambda: source, "config/", lambda: 1.0)
        following = asyncio.ensure_future(feed.run())
        for _ in range(MAX_POLLS):
            if feed.revision == answer.revision:
                break
            await asyncio.sleep(ANSWER_POLL_S)
        age_s = feed.age_s
        following.cancel()
        return age_s

    context.copy_age_s = run_in_virtual_time(run())


@then("the copy of the daemon that asked is {age:g} s old")
def step_age(context: Context, age: float) -> None:
    assert abs(context.copy_age_s - age) <= 2 * ANSWER_POLL_S, context.copy_age_s


class _ScriptedStore:
    """A store whose calls end after a time, in one of several ways."""

    def __init__(self, ends: list[tuple[float, str]]) -> None:
        self._ends = ends

    async def list(self, prefix: str) -> WatchAnswer:
        """End the next call."""
        after_s, end = self._ends.pop(0)
        await asyncio.sleep(after_s)
        if end == "history gone":
            raise HistoryGone("changes are gone")
        if end == "failure":
            raise PlatformUnavailable("the connection was reset")
        return WatchAnswer(1, ())


@when("a daemon's calls to the store end like this: {calls}")
def step_calls(context: Context, calls: str) -> None:
    """Each call is given as when it is sent, when it ends, and how."""
    rows = [each.strip().split(" ", 2) for each in calls.split(",")]
    ends = [(float(end_s) - float(sent_s), how) for sent_s, end_s, how in rows]

    async def run() -> bool:
        gate = StoreGate(_ScriptedStore(ends))
        began_s = now_s()
        pending = []
        for sent_s, _, _ in rows:
            await asyncio.sleep(began_s + float(sent_s) - now_s())
            gate.take_turn()
            pending.append(asyncio.ensure_future(gate.list("config/")))
            await asyncio.sleep(0)
        await asyncio.gather(*pending, return_exceptions=True)
        return gate.take_turn()

    context.may_ask = run_in_virtual_time(run())


@then("the daemon {verdict} ask the store again at once")
def step_may_ask(context: Context, verdict: str) -> None:
    assert context.may_ask == (verdict == "may"), context.may_ask
