"""features.steps.software_history_steps: what a daemon knows of software versions."""

import asyncio
from contextlib import suppress

from behave import given, then, when
from behave.runner import Context

from features.support.memory_objects import MemoryObjects
from features.support.virtual_time import run_in_virtual_time
from greengagetack.coordination.fact_archive import FactArchive
from greengagetack.errors import PeerUnreachable, PlatformUnavailable
from greengagetack.facts import FactTable
from greengagetack.gateway.software_history import SoftwareHistory
from greengagetack.objects.base import PlatformObject, WatchAnswer
from greengagetack.objects.feed import Feed
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import Replica
from greengagetack.world import Address

SERVICE = "service"
PREFIX = "servers/"
WATCH_WAIT_S = 0.8
CONNECT_TIMEOUT_S = 0.4
STARTUP_S = 2.0


class _Source:
    """The store as one daemon reaches it."""

    def __init__(self, store: MemoryObjects) -> None:
        self._store = store
        self._resumed = asyncio.Event()
        self._resumed.set()
        self.is_cut = False

    def freeze(self) -> None:
        """Hold all answers back."""
        self._resumed.clear()

    def thaw(self) -> None:
        """Let the daemon read its answers."""
        self._resumed.set()

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects."""
        return await self._store.list(prefix)

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes."""
        if self.is_cut:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise PeerUnreachable("no connection", 0.1)
        answer = await self._store.watch(prefix, after, timeout_s)
        if self.is_cut:
            raise PeerUnreachable("no answer", 0.1)
        await self._resumed.wait()
        return answer


class _Daemon:
    """The parts of a daemon that decide which versions may have begun a stream."""

    def __init__(self, store: MemoryObjects) -> None:
        self.source = _Source(store)
        self._fleet = Fleet(lambda: float("-inf"))
        self._feed = Feed(lambda: self.source, PREFIX, lambda: WATCH_WAIT_S)
        self._feed.subscribe(self._on_change)
        facts = FactTable("daemon", lambda: False)
        archive = FactArchive(MemoryObjects(), facts)
        self.history = SoftwareHistory(self._fleet, self._feed, facts, archive)
        self.following = asyncio.ensure_future(self._feed.run())

    def _on_change(
        self, changed: tuple[PlatformObject, ...], gone: tuple[str, ...]
    ) -> None:
        replicas = [_replica(item.path, item.value) for item in changed]
        self._fleet.update(replicas, [path.removeprefix(PREFIX) for path in gone])


def _replica(path: str, software: str) -> Replica:
    name = path.removeprefix(PREFIX)
    address = Address("127.0.0.1", 1)
    return Replica(name, SERVICE, address, "a", 1, False, software_version=software)


@given("a daemon that follows the replicas of a service, all of software v1")
def step_daemon(context: Context) -> None:
    context.state, context.duration_s, context.joined_s = "in touch", 0.0, None


@when("it is {state} for {duration:g} s, a replica of v2 joins {joined:g} s later")
def step_state(context: Context, state: str, duration: float, joined: float) -> None:
    context.state, context.duration_s, context.joined_s = state, duration, joined


@when("a stream of unknown origin is taken up there {later:g} s later")
def step_take_up(context: Context, later: float) -> None:
    async def run() -> None:
        store = MemoryObjects()
        await store.write(f"{PREFIX}r1", "v1", 0)
        daemon = _Daemon(store)
        await asyncio.sleep(STARTUP_S)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        daemon.source.is_cut = context.state == "cut off"
        if context.state == "frozen":
            daemon.source.freeze()
        loop.call_later(context.duration_s, _return, daemon.source)
        if context.joined_s is not None:
            await asyncio.sleep(context.joined_s)
            await store.write(f"{PREFIX}r2", "v2", 0)
        await asyncio.sleep(began_s + later - loop.time())
        context.versions = None
        with suppress(PlatformUnavailable):
            context.versions = await daemon.history.recent(SERVICE)
        context.took_s = loop.time() - began_s - later
        daemon.following.cancel()

    run_in_virtual_time(run())


def _return(source: _Source) -> None:
    source.is_cut = False
    source.thaw()


@then("it does not take v1 for the only version")
def step_not_only(context: Context) -> None:
    assert context.versions is None or "v2" in context.versions, context.versions


@then("it goes on with v1 within {limit:g} s")
def step_goes_on(context: Context, limit: float) -> None:
    assert context.versions == {"v1"}, context.versions
    assert context.took_s <= limit, context.took_s
