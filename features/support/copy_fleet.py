"""features.support.copy_fleet: daemons that follow the store and each other.

The feeds, the choice of sources, the claim, the member list and the endpoint for copies
are the daemons' own; only the network between them and the store are replaced.
"""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec
from starlette.requests import Request

from features.support.memory_objects import MemoryObjects
from greengagetack.coordination.claim import CLAIM_PATH, DispatcherClaim
from greengagetack.coordination.client import PeerClient
from greengagetack.coordination.copies import CopyServer, decode_copy
from greengagetack.coordination.messages import Member, Pong, RelayCall, decode, encode
from greengagetack.coordination.roster import Roster
from greengagetack.coordination.source import SourceSelector
from greengagetack.errors import CodedError, PeerUnreachable, PlatformUnavailable
from greengagetack.facts import FactCursor
from greengagetack.freezes import FREEZE_TICK_S, FreezeWatch
from greengagetack.http1.message import ResponseHead
from greengagetack.objects.base import (
    HistoryGone,
    ObjectConflict,
    PlatformObject,
    StoreRateLimited,
    WatchAnswer,
)
from greengagetack.objects.feed import Feed
from greengagetack.objects.outages import StoreOutages
from greengagetack.objects.transport import RelayedTransport, StoreResponse
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import Replica
from greengagetack.world import Address

__all__ = ["CONFIG_PATH", "CopyFleet", "FleetDaemon"]

CONFIG_PATH = "config/main"
PREFIXES = ("config/", "servers/", "members/")
CLAIMS_PREFIX = "dispatch/"
HOP_S = 0.001
STORE_S = 0.02
# Of the replicas, as on the users' platform.
HEARTBEAT_S = 1.2
CONNECT_TIMEOUT_S = 0.4
# Daemons keep a connection for this long after a call.
IDLE_CONNECTION_S = 4.0
STORE_TIMEOUT_S = 1.0
STORE_WATCH_MARGIN_S = 0.6
OK = 200
CONFLICT = 409
GONE = 410
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
FIRST_PORT = 7_000


class FleetStore(MemoryObjects):
    """Objects whose watches end only for changes of their own prefix.

    Until `silent_until_s`, watches hear of no change.
    """

    silent_until_s = 0.0
    _first_revision = 0

    def drop_history(self) -> None:
        """Forget which changes led to the present objects."""
        self._first_revision = self._revision

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes under a prefix."""
        if after < self._first_revision:
            raise HistoryGone(f"changes after {after} are gone")
        if asyncio.get_running_loop().time() < self.silent_until_s:
            await asyncio.sleep(timeout_s)
            return WatchAnswer(after, ())
        answer = self._changes_after(prefix, after)
        until_s = asyncio.get_running_loop().time() + timeout_s
        while not answer.objects and not answer.deleted:
            left_s = until_s - asyncio.get_running_loop().time()
            changed = self._changed
            try:
                async with asyncio.timeout(max(0.0, left_s)):
                    await changed.wait()
            except TimeoutError:
                return self._changes_after(prefix, after)
            if asyncio.get_running_loop().time() < self.silent_until_s:
                await asyncio.sleep(max(0.0, left_s))
                return WatchAnswer(after, ())
            answer = self._changes_after(prefix, after)
        return answer


@dataclass(frozen=True)
class ServedCopy:
    """A copy of the configuration that a daemon sent, and its stated age."""

    at_s: float
    node: str
    age_s: float
    version: int


@dataclass
class Network:
    """Faults between daemons and at the store, by daemon.

    `cut` daemons reach no other daemon and are not reached; `deaf` ones are reached but
    get no answers themselves; `storeless` ones do not reach the store, which refuses or
    stays silent.
    """

    store: FleetStore = field(default_factory=FleetStore)
    daemons: dict[str, "FleetDaemon"] = field(default_factory=dict)
    cut: set[str] = field(default_factory=set)
    deaf: set[str] = field(default_factory=set)
    storeless: set[str] = field(default_factory=set)
    is_store_silent: bool = False
    # The store refuses all calls by rate until this time.
    rate_limited_until_s: float = 0.0
    # Time of each answer of the store, beside the wait of a watch.
    store_s: float = STORE_S
    refusals: int = 0
    incarnations: Iterator[int] = field(default_factory=itertools.count)
    frozen: set[str] = field(default_factory=set)
    thawed: asyncio.Event = field(default_factory=asyncio.Event)
    # Calls to the store: time, method and kind.
    store_calls: list[tuple[float, tuple[str, str]]] = field(default_factory=list)
    peer_calls: Counter[str] = field(default_factory=Counter)
    # Copies of the configuration that were answered.
    answers: list[ServedCopy] = field(default_factory=list)
    # When a daemon last had an answer of another one.
    connections: dict[tuple[str, str], float] = field(default_factory=dict)

    def is_connected(self, node: str, other: str) -> bool:
        """Whether a call takes a connection of an earlier one, which may be dead."""
        used_s = self.connections.get((node, other), float("-inf"))
        return asyncio.get_running_loop().time() - used_s < IDLE_CONNECTION_S

    async def wait_until_thawed(self, node: str) -> None:
        """Wait while a daemon is frozen."""
        while node in self.frozen:
            await self.thawed.wait()


class _DirectTransport:
    """One daemon's own calls to the store; a call is an encoded `_Operation`."""

    def __init__(self, network: Network, node: str) -> None:
        self._network = network
        self._node = node

    async def call(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreResponse:
        """Send one call."""
        network = self._network
        operation = msgspec.json.decode(target, type=_Operation)
        await network.wait_until_thawed(self._node)
        call = operation.name, operation.path.partition("/")[0]
        network.store_calls.append((asyncio.get_running_loop().time(), call))
        limit_s = wait_s + STORE_WATCH_MARGIN_S if wait_s else STORE_TIMEOUT_S
        try:
            async with asyncio.timeout(limit_s):
                return await self._run(operation, wait_s)
        except TimeoutError as error:
            raise PlatformUnavailable("the store is silent", 0.1) from error

    async def _run(self, operation: "_Operation", wait_s: float) -> StoreResponse:
        network, store = self._network, self._network.store
        await asyncio.sleep(network.store_s)
        if self._node in network.storeless:
            if network.is_store_silent:
                await asyncio.Event().wait()
            return StoreResponse(UNAVAILABLE, b"")
        if asyncio.get_running_loop().time() < network.rate_limited_until_s:
            return StoreResponse(TOO_MANY_REQUESTS, b"")
        answer: Any = None
        try:
            if operation.name == "write":
                answer = await store.write(
                    operation.path, operation.value, operation.number
                )
            if operation.name == "delete":
                await store.delete(operation.path)
            if operation.name == "list":
                answer = await store.list(operation.path)
            if operation.name == "watch":
                answer = await store.watch(operation.path, operation.number, wait_s)
        except ObjectConflict:
            return StoreResponse(CONFLICT, b"")
        except HistoryGone:
            return StoreResponse(GONE, b"")
        if self._node in network.storeless:
            await asyncio.Event().wait()
        await network.wait_until_thawed(self._node)
        return StoreResponse(OK, encode(answer))


class _Operation(msgspec.Struct, frozen=True):
    """A call to the store."""

    name: str
    path: str
    number: int = 0
    value: Any = None


class _NodeStore:
    """One daemon's client of the store."""

    def __init__(self, transport: RelayedTransport) -> None:
        self._transport = transport

    async def read(self, path: str) -> PlatformObject | None:
        """Return an object."""
        raise NotImplementedError

    async def write(
        self, path: str, value: Any, expected_version: int, limit_s: float = 2.0
    ) -> int:
        """Write if the version is `expected_version` (0 = must not exist)."""
        operation = _Operation("write", path, expected_version, value)
        return decode(await self._call(operation), type=int)

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects under a prefix."""
        return decode(await self._call(_Operation("list", prefix)), type=WatchAnswer)

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes under a prefix."""
        body = await self._call(_Operation("watch", prefix, after), timeout_s)
        return decode(body, type=WatchAnswer)

    async def delete(self, path: str) -> None:
        """Remove an object."""
        await self._call(_Operation("delete", path))

    async def _call(self, operation: _Operation, wait_s: float = 0.0) -> bytes:
        target = msgspec.json.encode(operation).decode()
        response = await self._transport.call("CALL", target, b"", wait_s)
        if response.status == CONFLICT:
            raise ObjectConflict(f"{operation.path} has another version")
        if response.status == GONE:
            raise HistoryGone(f"changes of {operation.path} are gone")
        if response.status == TOO_MANY_REQUESTS:
            raise StoreRateLimited("the store is called too often", 0.1)
        if response.status != OK:
            raise PlatformUnavailable("the store does not answer this VM", 0.1)
        return response.body


class _FleetPeers(PeerClient):
    """Calls that the network of the fleet carries."""

    def __init__(self, network: Network, node: str, roster: Roster) -> None:
        super().__init__(node, lambda: None, roster.addresses, roster.member_addresses)
        self._rng.seed(node)
        self._network = network
        self._local_node = node

    async def _exchange(
        self, address: Address, method: str, path: str, body: bytes, limit_s: float
    ) -> tuple[ResponseHead, bytes]:
        network = self._network
        await network.wait_until_thawed(self._local_node)
        server = network.daemons.get(address.host)
        network.peer_calls[address.host] += 1
        await asyncio.sleep(HOP_S)
        if server is None:
            raise PeerUnreachable(f"{address}: connection refused", 0.1)
        ends = {address.host, self._local_node}
        is_cut = ends & network.cut and len(ends) == 2
        if is_cut or self._local_node in network.deaf:
            is_connected = network.is_connected(self._local_node, address.host)
            network.connections.pop((self._local_node, address.host), None)
            await asyncio.sleep(limit_s if is_connected else CONNECT_TIMEOUT_S)
            raise PeerUnreachable(f"{address}: no connection", 0.1)
        answer = asyncio.ensure_future(self._answer(server, ends, path, body))
        ended = asyncio.ensure_future(server.ended.wait())
        try:
            done, _ = await asyncio.wait(
                (answer, ended),
                timeout=limit_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            await network.wait_until_thawed(self._local_node)
            if answer.done():
                now_s = asyncio.get_running_loop().time()
                network.connections[self._local_node, address.host] = now_s
                return answer.result()
            reason = "connection reset" if ended in done else "no answer in time"
            raise PeerUnreachable(f"{address}: {reason}", 0.1)
        finally:
            answer.cancel()
            ended.cancel()

    async def _answer(
        self, server: "FleetDaemon", ends: set[str], path: str, body: bytes
    ) -> tuple[ResponseHead, bytes]:
        network = self._network
        node = server.member.node
        await network.wait_until_thawed(node)
        answer = await server.serve(path, body)
        while node in network.frozen:
            # A frozen daemon computes nothing: it answers once it continues.
            await network.wait_until_thawed(node)
            answer = await server.serve(path, body)
        if ends & network.cut and len(ends) == 2:
            await asyncio.Event().wait()
        return answer


class FleetDaemon:
    """One daemon's copies of the store."""

    def __init__(
        self, network: Network, node: str, zone: str, cores: float, seeds: list[str]
    ) -> None:
        # The takeover order depends on it, so it is the same in each run.
        incarnation = f"{node}/{next(network.incarnations)}"
        self.member = Member(
            node, incarnation, f"{node}:{FIRST_PORT}", zone, cores=cores
        )
        self.ended = asyncio.Event()
        self.freezes = FreezeWatch()
        self._outages = StoreOutages(HEARTBEAT_S, self.freezes)
        # Versions of the configuration with the times at which they came into force.
        self.applied: list[tuple[float, int]] = []
        self._network = network
        self._transport = RelayedTransport(
            _DirectTransport(network, node),
            lambda *call: self._peers.relay(*call),
            Metrics(),
        )
        store = _NodeStore(self._transport)
        self.feeds = {
            prefix: Feed(
                lambda prefix=prefix: self.selector.next_source(prefix),  # type: ignore[misc]
                prefix,
                lambda prefix=prefix: self._wait_s(prefix),  # type: ignore[misc]
                lambda prefix=prefix: self._pause_s(prefix),  # type: ignore[misc]
                self.freezes,
                self._outages,
            )
            for prefix in PREFIXES
        }
        self.feeds[CLAIMS_PREFIX] = Feed(
            lambda: self.selector.next_claim_source(),
            CLAIMS_PREFIX,
            lambda: self.selector.claim_wait_s(),
            freezes=self.freezes,
        )
        addresses = tuple(Address(seed, FIRST_PORT) for seed in seeds)
        self._roster = Roster(
            self.member, store, self.feeds["members/"], "members/", addresses
        )
        self.claim = DispatcherClaim(
            self.member,
            store,
            self.feeds[CLAIMS_PREFIX],
            self._roster,
            lambda: None,
            lambda pong: None,
            FactCursor,
            self._reaches_work,
        )
        self._peers = _FleetPeers(network, node, self._roster)
        self.selector = SourceSelector(
            store,
            self._peers,
            self.claim,
            self.feeds[CLAIMS_PREFIX],
            tuple(self.feeds[prefix] for prefix in PREFIXES),
            self._roster,
            self.member,
            addresses,
        )
        self._copies = CopyServer(
            self.feeds, lambda: self.claim.is_acting, self._roster.record_contact
        )
        self.feeds["config/"].subscribe(self._on_config)
        self.fleet = Fleet(lambda: time.monotonic() - self._outages.since_return_s)
        self.feeds["servers/"].subscribe(self._on_servers)
        # Replicas that this daemon no longer uses, with the times of their removal.
        self.removed: list[tuple[float, str]] = []
        self.fleet.subscribe_removals(self._on_removal)
        self._tasks: list[asyncio.Task[None]] = []

    def _wait_s(self, prefix: str) -> float:
        selector = self.selector
        is_long = prefix == "members/"
        return selector.long_wait_s(prefix) if is_long else selector.wait_s(prefix)

    def _pause_s(self, prefix: str) -> float:
        selector = self.selector
        is_long = prefix == "members/"
        return selector.long_pause_s(prefix) if is_long else selector.pause_s(prefix)

    async def _reaches_work(self) -> bool:
        return True

    def _on_config(
        self, changed: tuple[PlatformObject, ...], gone: tuple[str, ...]
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self.applied += [(now_s, item.value["version"]) for item in changed]

    def _on_servers(
        self, changed: tuple[PlatformObject, ...], gone: tuple[str, ...]
    ) -> None:
        replicas = [_replica(stored) for stored in changed]
        self.fleet.update(replicas, [path.partition("/")[2] for path in gone])

    def _on_removal(self, replica: Replica) -> None:
        now_s = asyncio.get_running_loop().time()
        self.removed.append((now_s, replica.replica_id))

    def start(self) -> None:
        """Run the daemon's tasks."""
        parts = [feed.run() for feed in self.feeds.values()]
        parts += [self._roster.run(), self.claim.run(self._peers), self._tick()]
        self._tasks = [asyncio.ensure_future(part) for part in parts]

    async def _tick(self) -> None:
        while True:
            await self._network.wait_until_thawed(self.member.node)
            await self.freezes.tick()
            await asyncio.sleep(FREEZE_TICK_S)

    def end(self) -> None:
        """End the daemon as a killed process ends."""
        for task in self._tasks:
            task.cancel()
        self.ended.set()

    async def serve(self, path: str, body: bytes) -> tuple[ResponseHead, bytes]:
        """Answer a call of another daemon."""
        parts = urlsplit(path)
        try:
            if parts.path == "/peer/ping":
                return ResponseHead(OK, ()), self._pong(parts.query)
            if parts.path == "/peer/store":
                call = decode(body, type=RelayCall)
                stored = await self._transport.call_for_peer(
                    call.method, call.target, call.body, call.wait_s
                )
                return ResponseHead(OK, ()), encode(stored)
            prefix = unquote(parts.path.removeprefix("/peer/objects/"))
            scope = {
                "type": "http",
                "method": "GET",
                "headers": [],
                "path_params": {"prefix": prefix},
                "query_string": parts.query.encode(),
            }
            response = await self._copies.handle(Request(scope))
        except CodedError as error:
            self._network.refusals += 1
            return ResponseHead(error.http_status, ()), b""
        headers = tuple(response.raw_headers)
        if prefix == "config/" and response.status_code == OK:
            self._record_answer(headers, bytes(response.body))
        return ResponseHead(response.status_code, headers), bytes(response.body)

    def _record_answer(
        self, headers: tuple[tuple[bytes, bytes], ...], body: bytes
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        age_s = decode_copy(headers, body).age_s
        version = self.applied_before(now_s)
        self._network.answers.append(
            ServedCopy(now_s, self.member.node, age_s, version)
        )

    def _pong(self, query: str) -> bytes:
        self._roster.record_contact(parse_qs(query).get("node", [""])[0])
        member = self.member
        return encode(Pong(member.node, member.incarnation, self.claim.is_acting))

    def applied_before(self, until_s: float) -> int:
        """Return the version in force at a time, 0 before the first one."""
        versions = [version for at_s, version in self.applied if at_s <= until_s]
        return versions[-1] if versions else 0


def _replica(stored: PlatformObject) -> Replica:
    name = stored.path.partition("/")[2]
    return Replica(name, "service", Address(name, FIRST_PORT), "a", 1, False)


class CopyFleet:
    """Daemons in zones before one store."""

    def __init__(self, zone_sizes: list[int], seeds: int) -> None:
        self.network = Network()
        names = [
            (f"{zone}-{number}", zone)
            for zone, size in zip("abcdefgh", zone_sizes, strict=False)
            for number in range(size)
        ]
        self.zones = dict(names)
        step = max(1, len(names) // max(1, seeds))
        self.seeds = [node for node, _ in names[::step]][:seeds]

    @property
    def daemons(self) -> dict[str, FleetDaemon]:
        """The daemons that run, by name."""
        return self.network.daemons

    async def configure(self, version: int) -> None:
        """Write a configuration as the operator does."""
        known = self.network.store.objects.get(CONFIG_PATH)
        value = {"version": version, "text": "x" * 8_000}
        await self.network.store.write(
            CONFIG_PATH, value, known.version if known else 0
        )

    async def register_replica(self, name: str) -> None:
        """Write a replica's entry as the replica does."""
        await self.network.store.write(f"servers/{name}", {}, 0)

    async def remove_replica(self, name: str) -> None:
        """Remove a replica's entry."""
        await self.network.store.delete(f"servers/{name}")

    async def list_config_at(self, node: str) -> None:
        """List the configuration at a daemon, as a starting one does."""
        daemon = self.daemons[node]
        await daemon.serve("/peer/objects/config%2F?packed=1", b"")

    def newest_version(self) -> int:
        """Return the version of the stored configuration."""
        return int(self.network.store.objects[CONFIG_PATH].value["version"])

    def start(self, node: str) -> None:
        """Start a daemon."""
        daemon = FleetDaemon(self.network, node, self.zones[node], 1.0, self.seeds)
        self.daemons[node] = daemon
        daemon.start()

    def start_all(self, spread_s: float = 0.3) -> None:
        """Start all daemons within `spread_s`, the seeds neither first nor last."""
        loop = asyncio.get_running_loop()
        nodes = sorted(self.zones, key=lambda node: hash_of(node))
        for number, node in enumerate(nodes):
            loop.call_later(number * spread_s / len(nodes), self.start, node)

    def kill(self, node: str) -> None:
        """End a daemon without notice."""
        self.daemons.pop(node).end()

    def freeze(self, node: str) -> None:
        """Stop a VM."""
        self.network.frozen.add(node)

    def thaw(self, node: str) -> None:
        """Let a frozen VM continue."""
        self.network.frozen.discard(node)
        self.network.thawed.set()
        self.network.thawed = asyncio.Event()

    def dispatcher(self) -> str:
        """Return the daemon that the stored claim names, empty without one."""
        stored = self.network.store.objects.get(CLAIM_PATH)
        return "" if stored is None else msgspec.convert(stored.value, Member).node

    def relays(self) -> dict[str, list[str]]:
        """Return the candidates of each zone that has them, by a daemon's own list."""
        found: dict[str, list[str]] = {}
        for daemon in self.daemons.values():
            candidates = daemon.selector.zone_candidates()
            if candidates:
                zone = daemon.member.availability_zone
                found[zone] = [member.node for member in candidates]
        return found


def hash_of(text: str) -> int:
    """Return a number that orders names without regard to their zone."""
    return sum(ord(char) * 31**place for place, char in enumerate(text)) % 9_973
