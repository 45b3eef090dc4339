"""features.steps.odd_entries_steps: entries that no daemon can use."""

import asyncio
import json
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context
from starlette.requests import Request

from greengagetack.coordination.copies import CopyServer, decode_copy
from greengagetack.errors import CodedError
from greengagetack.gateway.routes import RequestKind, Route
from greengagetack.objects.base import WatchAnswer
from greengagetack.objects.feed import Feed
from greengagetack.objects.transport import StoreResponse
from greengagetack.platform.batch_api import decode_submission
from greengagetack.platform.documents import decode_replica
from greengagetack.platform.store import PlatformStore
from greengagetack.replicas.fleet import Fleet

OK = 200
PREFIX = "servers/"
ODD_NAME = "odd"
LIMIT_S = 5.0
POLL_S = 0.01
DEEP = b"[" * 100_000 + b"]" * 100_000


def _entry(name: str, **fields: object) -> bytes:
    """Return the encoded value of a replica's entry."""
    value = {
        "service": "plain",
        "address": f"127.0.0.1:{8000 + len(name)}",
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        **fields,
    }
    return json.dumps(value).encode()


def _with_field(text: bytes) -> bytes:
    """Return an entry with a field that no daemon reads."""
    return _entry(ODD_NAME)[:-1] + b', "note": ' + text + b"}"


ODD_ENTRIES: dict[str, bytes] = {
    "nested 100000 deep": DEEP,
    "nested 100000 deep in an unused field": _with_field(DEEP),
    "nested 500 deep": _with_field(b"[" * 500 + b"]" * 500),
    "an integer of 31 digits": b"1" + b"0" * 30,
    "an integer of 5000 digits": b"1" + b"0" * 5_000,
    "an integer of 64 bits": str(2**64).encode(),
    "a number beyond all floats": b"1e400",
    "not a number": b"NaN",
    "half of a surrogate pair": b'"\\ud800"',
    "not in UTF-8": b'"\xff\xfe"',
    "with port 70000": _entry(ODD_NAME, address="127.0.0.1:70000"),
    "with port 0": _entry(ODD_NAME, address="127.0.0.1:0"),
    "with port -1": _entry(ODD_NAME, address="127.0.0.1:-1"),
    "with a port of another script": _entry(
        ODD_NAME, address="127.0.0.1:\u0664\u0662\u0664\u0662"
    ),
    "with a port of 40 digits": _entry(ODD_NAME, address="127.0.0.1:" + "9" * 40),
    "with a name for an address": _entry(ODD_NAME, address="replica.example:80"),
    "with slots of 10 to the 30": _entry(ODD_NAME, slots=10**30),
    "with negative slots": _entry(ODD_NAME, slots=-3),
    "cold for 10 to the 300 ms": _entry(ODD_NAME, cold_left_ms=1e300),
    "started at a negative time": _entry(ODD_NAME, born=-5),
    "under an identifier with a line feed": _entry(ODD_NAME),
}


class _RawStore:
    """A transport to a store whose values are bytes; watches are answered at once."""

    def __init__(self) -> None:
        self.revision = 0
        self.values: dict[str, tuple[int, bytes]] = {}
        self.removed: dict[str, int] = {}

    def put(self, name: str, value: bytes) -> None:
        self.revision += 1
        self.values[name] = self.revision, value

    def remove(self, name: str) -> None:
        self.revision += 1
        self.removed[name] = self.revision
        del self.values[name]

    async def call(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreResponse:
        """Answer a listing or a watch."""
        await asyncio.sleep(POLL_S)
        objects = {name: _object(name, *at) for name, at in self.values.items()}
        if "watch=" not in target:
            items = b",".join(objects.values())
            return self._answer(b'"items":[%s]' % items)
        after = int(target.partition("watch=")[2].partition("&")[0])
        events = [
            b'{"object":%s}' % objects[name]
            for name, (revision, _) in self.values.items()
            if revision > after
        ]
        events += [
            b'{"object":%s,"deleted":true}' % _object(name, revision, b"null")
            for name, revision in self.removed.items()
            if revision > after
        ]
        return self._answer(b'"events":[%s]' % b",".join(events))

    def _answer(self, content: bytes) -> StoreResponse:
        return StoreResponse(OK, b'{%s,"store_revision":%d}' % (content, self.revision))


def _object(name: str, revision: int, value: bytes) -> bytes:
    metadata = json.dumps({"name": name, "revision": revision}).encode()
    return b'{"metadata":%s,"spec":%s}' % (metadata, value)


class _ServedCopy:
    """The source of a daemon that copies from another one."""

    def __init__(self, feed: Feed) -> None:
        self._server = CopyServer({PREFIX: feed}, lambda: True, lambda node: None)

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects of the other daemon's copy."""
        return await self._ask("packed=1")

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes of the other daemon's copy."""
        return await self._ask(f"packed=1&after={after}&wait_s=0.05&node=n")

    async def _ask(self, query: str) -> WatchAnswer:
        scope = {
            "type": "http",
            "headers": [],
            "path_params": {"prefix": PREFIX},
            "query_string": query.encode(),
        }
        response = await self._server.handle(Request(scope))
        return decode_copy(tuple(response.raw_headers), bytes(response.body))


class _Reader:
    """A daemon's copy of the list, and the replicas that it uses."""

    def __init__(self, feed: Feed) -> None:
        self.feed = feed
        self.fleet = Fleet(lambda: float("-inf"))
        feed.subscribe(self._on_change)
        self.task = asyncio.ensure_future(feed.run())

    def _on_change(self, changed: tuple, gone: tuple) -> None:  # type: ignore[type-arg]
        decoded = {stored.path: decode_replica(stored) for stored in changed}
        removed = [path for path, replica in decoded.items() if replica is None]
        names = [path.removeprefix(PREFIX) for path in (*removed, *gone)]
        self.fleet.update([found for found in decoded.values() if found], names)

    def used(self) -> set[str]:
        """Return the identifiers of the replicas that may get requests."""
        serving = self.fleet.serving_replicas("plain")
        return {state.replica.replica_id for state in serving}


@given("a store that lists two replicas")
def step_store(context: Context) -> None:
    context.store = _RawStore()
    context.store.put("r1", _entry("r1"))
    context.store.put("r22", _entry("r22"))
    context.expected = {"r1", "r22"}
    context.before, context.after = [], []


@when("another writer leaves an entry that is {entry}, {moment}")
def step_odd(context: Context, entry: str, moment: str) -> None:
    is_name_odd = entry == "under an identifier with a line feed"
    name = "od\r\nd" if is_name_odd else ODD_NAME
    steps = context.before if moment == "before they list" else context.after
    steps.append(lambda: context.store.put(name, ODD_ENTRIES[entry]))


@when("another writer replaces the entry of one by one that is {entry}")
def step_replaced(context: Context, entry: str) -> None:
    context.after.append(lambda: context.store.put("r1", ODD_ENTRIES[entry]))
    context.expected = {"r22"}


@when("a third replica registers and one of the two leaves")
def step_third(context: Context) -> None:
    context.after.append(lambda: context.store.put("r333", _entry("r333")))
    context.after.append(lambda: context.store.remove("r22"))
    context.expected = {"r1", "r333"}


@then("a daemon that reads the store uses just the replicas that are there")
def step_reader(context: Context) -> None:
    async def run() -> None:
        _do(context.before)
        store = PlatformStore(context.store, 1_000_000)
        reader = _Reader(Feed(lambda: store, PREFIX, lambda: 0.1))
        served = _ServedCopy(reader.feed)
        follower = _Reader(Feed(lambda: served, PREFIX, lambda: 0.1))
        context.readers = [reader, follower]
        await _until(
            lambda: (
                all(each.feed.is_synced for each in context.readers)
                or any(each.task.done() for each in context.readers)
            )
        )
        _do(context.after)
        await _until(lambda: all(_is_right(context, each) for each in context.readers))
        context.used = [each.used() for each in context.readers]
        context.ends = [each.task.done() for each in context.readers]
        for each in context.readers:
            each.task.cancel()

    asyncio.run(run())
    assert context.used[0] == context.expected, context.used


@then("so does a daemon that copies from it")
def step_follower(context: Context) -> None:
    assert context.used[1] == context.expected, context.used


@then("neither has failed or stopped following")
def step_following(context: Context) -> None:
    assert not any(context.ends), context.ends


@when("a caller sends a job that is nested 100000 deep")
def step_job(context: Context) -> None:
    route = Route("r", "h", "/p/", RequestKind.ROLLOUT, (("s", 1.0),), 1.0, 1.0, 1, 1)
    try:
        decode_submission("j", DEEP, route)
    except CodedError as error:
        context.error = error


@then("the error is {name}")
def step_error(context: Context, name: str) -> None:
    assert type(context.error).__name__ == name, context.error


def _do(steps: list[Callable[[], None]]) -> None:
    for step in steps:
        step()


def _is_right(context: Context, reader: _Reader) -> bool:
    return reader.used() == context.expected


async def _until(condition: Callable[[], bool]) -> None:
    """Wait for a condition, or until the limit is over."""
    for _ in range(int(LIMIT_S / POLL_S)):
        if condition():
            return
        await asyncio.sleep(POLL_S)
