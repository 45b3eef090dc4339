"""features.support.cut_network: daemons and replicas whose links can be cut.

The daemons' own classes run in one process; only the connections to replicas and the
calls between daemons are replaced.
"""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from features.support.memory_objects import MemoryObjects
from greengagetack.coordination.fact_archive import FactArchive
from greengagetack.errors import CodedError, PeerUnreachable
from greengagetack.facts import FactTable
from greengagetack.gateway.attempt import Reply
from greengagetack.gateway.call import Call
from greengagetack.gateway.crash_reports import CrashReport
from greengagetack.gateway.detours import Detours, RelayedAnswer, RelayedRequest
from greengagetack.gateway.forward import Forwarder
from greengagetack.gateway.routes import RequestKind, Route
from greengagetack.gateway.software_history import SoftwareHistory
from greengagetack.gateway.stream_origins import StreamOrigins
from greengagetack.gateway.suspects import Suspects
from greengagetack.gateway.zone_routing import ZoneRouting
from greengagetack.http1.limits import ResponseLimits
from greengagetack.http1.message import (
    ConnectFailed,
    Headers,
    IncompleteResponse,
    Request,
    ResponseHead,
    header,
)
from greengagetack.objects.feed import Feed
from greengagetack.observability.metrics import Metrics
from greengagetack.platform.replica import PlatformDialect
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.paths import ReplicaPaths
from greengagetack.replicas.permits import Permits
from greengagetack.replicas.replica import Replica
from greengagetack.replicas.zone_cost import ZoneCost
from greengagetack.world import Address

__all__ = ["SERVICE", "CutNetwork", "Outcome"]

SERVICE = "fieldbook"
CONNECT_S = 0.001
CONNECT_TIMEOUT_S = 0.3
WORK_S = 0.005
TIMEOUT_S = 0.8
OBJECTIVE_MS = 150.0
MAX_ATTEMPTS = 2
FOREVER_S = 3_600.0
ANSWER = b"id: 1\ndata: answer\n\n"


@dataclass(frozen=True)
class Outcome:
    """How a request at a daemon ended; `status` 0 stands for an unknown outcome."""

    daemon: int
    sent_s: float
    elapsed_s: float
    request_id: str
    is_served: bool
    may_have_run: bool


@dataclass
class _Link:
    """A daemon's connections to one replica."""

    idle: list["_Connection"] = field(default_factory=list)


class _Connection:
    """An established connection of a daemon to a replica."""

    ends_at_close = False

    def __init__(self, network: "CutNetwork", daemon: int, replica: str) -> None:
        self._network = network
        self._daemon = daemon
        self._replica = replica
        self._body = [ANSWER]
        self.is_clean = False

    async def send(self, request: Request, request_id: bytes) -> ResponseHead:
        """Send a request; a cut link swallows it, its answer, or breaks."""
        how = self._network.cut_of(self._daemon)
        if how == "reset":
            raise IncompleteResponse("the connection was reset")
        if how == "silently":
            await asyncio.sleep(FOREVER_S)
        assert header(request.headers, b"x-expect-instance") == self._replica.encode()
        self._network.runs.append((request_id.decode(), self._replica))
        self._network.run_headers.append(request.headers)
        await asyncio.sleep(WORK_S)
        if self._network.cut_of(self._daemon) in ("silently", "one way"):
            await asyncio.sleep(FOREVER_S)
        self._body = [ANSWER]
        return ResponseHead(200, ((b"x-response-seal", b"s"), (b"x-request-id", b"")))

    async def read(self, kept_bytes: int = 0) -> bytes:
        """Return the next part of the body, empty at its end."""
        if self._body:
            return self._body.pop()
        self.is_clean = True
        return b""

    async def read_all(self) -> bytes:
        """Return the rest of the body."""
        body = b"".join(self._body)
        self._body.clear()
        self.is_clean = True
        return body

    def hold_ready(self, body: bytes) -> None:
        """Do nothing: bodies are small."""

    def close(self) -> None:
        """Do nothing: a connection that is not clean is not kept."""


class _Pool:
    """A daemon's connections to all replicas."""

    def __init__(self, network: "CutNetwork", daemon: int) -> None:
        self.limits = ResponseLimits()
        self._network = network
        self._daemon = daemon
        self._links: dict[Address, _Link] = {}

    @asynccontextmanager
    async def connection(
        self, address: Address, is_fresh: bool = False
    ) -> AsyncIterator[_Connection]:
        """Take an idle connection or open one."""
        link = self._links.setdefault(address, _Link())
        if link.idle and not is_fresh:
            connection = link.idle.pop()
        else:
            connection = await self._open(address)
        connection.is_clean = False
        try:
            yield connection
        finally:
            if connection.is_clean:
                link.idle.append(connection)

    async def _open(self, address: Address) -> _Connection:
        how = self._network.cut_of(self._daemon)
        if how in ("refused", "reset"):
            error = ConnectionRefusedError(111, "refused")
            raise ConnectFailed(f"cannot connect to {address}") from error
        if how:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise ConnectFailed(f"cannot connect to {address}: timeout")
        await asyncio.sleep(CONNECT_S)
        return _Connection(self._network, self._daemon, f"r{address.port}")

    async def open_idle(self, address: Address) -> None:
        """Open a connection and keep it."""
        connection = await self._open(address)
        self._links.setdefault(address, _Link()).idle.append(connection)

    def close_idle(self, address: Address) -> None:
        """Drop the idle connections to a replica."""
        self._links.pop(address, None)


class _NoOwner:
    """Stands for the owner of the facts and the other daemons, all out of reach."""

    def member_addresses(self) -> tuple[Address, ...]:
        """Return no daemons."""
        return ()

    async def send_crash_reports(self, reports: tuple[CrashReport, ...]) -> None:
        """Fail."""
        raise PeerUnreachable("no owner")


class _Peers:
    """A daemon's calls to the others, which all reach each other."""

    def __init__(self, network: "CutNetwork", daemon: int) -> None:
        self._network = network
        self._daemon = daemon

    def member_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of all daemons."""
        return self._network.addresses

    async def send_relayed(
        self, address: Address, request: RelayedRequest
    ) -> tuple[RelayedAnswer, AsyncIterator[bytes]]:
        """Let another daemon send a request."""
        loop = asyncio.get_running_loop()
        self._network.detoured_s.append(loop.time())
        await asyncio.sleep(CONNECT_S)
        forwarder = self._network.forwarders[address.port]
        attempt = await forwarder.send_relayed(request)
        reply = attempt.reply or Reply(ResponseHead(0, ()), b"")
        return RelayedAnswer.of(attempt), reply.body_parts()


class CutNetwork:
    """Daemons in two availability zones before the replicas of one service."""

    def __init__(
        self,
        daemons: int,
        replicas: int,
        kind: RequestKind,
        addresses: Sequence[Address] | None = None,
    ) -> None:
        self.kind = kind
        # The customer whose requests are sent.
        self.customer: str | None = None
        self._cuts: dict[int, str] = {}
        # Request and replica of each run.
        self.runs: list[tuple[str, str]] = []
        # Headers of each run.
        self.run_headers: list[Headers] = []
        # Headers, customer and priority that requests carry.
        self.headers: Headers = ()
        self.customer: str | None = None
        self.urgency: int | None = None
        # When daemons asked another one to send a request.
        self.detoured_s: list[float] = []
        if addresses is None:
            addresses = [Address("10.0.0.1", port) for port in range(1, replicas + 1)]
        self._replicas = [
            Replica(f"r{address.port}", SERVICE, address, "zone-0", 8, False)
            for address in addresses
        ]
        self.addresses = tuple(Address("10.1.0.1", port) for port in range(daemons))
        self.forwarders = [self._build(number) for number in range(daemons)]

    def cut(self, daemons: int, how: str) -> None:
        """Cut the first daemons from all replicas."""
        self._cuts = dict.fromkeys(range(daemons), how)

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def cut_of(self, daemon: int) -> str:
        """Return how a daemon is cut from the replicas, empty if it is not."""
        return self._cuts.get(daemon, "")

    def detours_since(self, from_s: float) -> int:
        """Return how many requests were sent by way of another daemon."""
        return sum(at_s >= from_s for at_s in self.detoured_s)

    def _make_pool(self, number: int) -> Any:
        """Return a daemon's connections to the replicas."""
        return _Pool(self, number)

    def _build(self, number: int) -> Forwarder:
        fleet = Fleet(lambda: float("-inf"))
        fleet.update(self._replicas, [])
        pool = self._make_pool(number)
        facts = FactTable(f"daemon-{number}", lambda: False)
        metrics = Metrics()
        owner = _NoOwner()
        paths = ReplicaPaths(fleet, pool)
        return Forwarder(
            fleet,
            pool,
            PlatformDialect(),
            Permits(fleet, owner, facts, metrics),  # type: ignore[arg-type]
            StreamOrigins(owner, self.addresses[number]),  # type: ignore[arg-type]
            SoftwareHistory(
                fleet,
                Feed(MemoryObjects, "servers/", lambda: 1.0),
                facts,
                FactArchive(MemoryObjects(), facts),
            ),
            Suspects(fleet, pool, paths, owner, facts, metrics),  # type: ignore[arg-type]
            paths,
            Detours(_Peers(self, number), self.addresses[number], metrics),
            ZoneRouting(f"zone-{number % 2}", ZoneCost()),
            lambda state, is_failure: None,
        )

    async def request(self, daemon: int, request_id: str) -> Outcome:
        """Send a request to a daemon, as a client's only try."""
        loop = asyncio.get_running_loop()
        route = Route(
            "route",
            "host",
            "/",
            self.kind,
            ((SERVICE, 1.0),),
            TIMEOUT_S * 1000,
            OBJECTIVE_MS,
            1,
            MAX_ATTEMPTS,
        )
        call = Call(
            request_id,
            b"POST",
            b"/" + request_id.encode(),
            self.headers,
            b"body",
            customer=self.customer,
            urgency=self.urgency,
        )
        sent_s = loop.time()
        is_served, may_have_run = False, True
        try:
            deadline_s = sent_s + TIMEOUT_S
            reply = await self.forwarders[daemon].forward(call, route, deadline_s)
            body = reply.body
            if reply.parts is not None:
                body = b"".join([part async for part in reply.parts])
            is_served = body == ANSWER
        except CodedError as error:
            may_have_run = error.http_status not in (429, 503)
        except IncompleteResponse:
            pass
        elapsed_s = loop.time() - sent_s
        return Outcome(daemon, sent_s, elapsed_s, request_id, is_served, may_have_run)
