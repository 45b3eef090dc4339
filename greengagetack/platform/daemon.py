"""greengagetack.platform.daemon: a daemon that takes clients on the platform."""

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable

import uvicorn
from loguru import logger
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from greengagetack.batches.checkpoint import Checkpoints
from greengagetack.batches.dispatcher import Dispatcher, EngineFacts
from greengagetack.batches.ledger import JOBS, Ledger
from greengagetack.batches.reading import JobReader
from greengagetack.daemons.main import HttpServer
from greengagetack.daemons.protocol import HttpBounds, bounded_config
from greengagetack.daemons.supervise import supervise
from greengagetack.errors import PeerUnreachable, PlatformUnavailable
from greengagetack.gateway.forward import Forwarder
from greengagetack.gateway.routes import Limits, RequestKind, RouteTable
from greengagetack.http1.pool import Pool
from greengagetack.objects.base import PlatformObject
from greengagetack.objects.feed import Feed
from greengagetack.objects.transport import (
    DirectTransport,
    RelayedTransport,
    StoreAnswer,
)
from greengagetack.observability.metrics import Metrics
from greengagetack.peers.node import listening_socket
from greengagetack.platform import documents, wire
from greengagetack.platform.ingress import Ingress
from greengagetack.platform.replica import PlatformDialect, ReplicaOrders
from greengagetack.platform.settings import VmFacts
from greengagetack.platform.store import PlatformStore
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import Replica
from greengagetack.siblings.claim import ClaimDuty
from greengagetack.siblings.client import PeerClient
from greengagetack.siblings.messages import Member, Pong, RelayCall
from greengagetack.siblings.roster import Roster
from greengagetack.siblings.server import build_peer_application
from greengagetack.siblings.source import SharedSource
from greengagetack.timer import Timer
from greengagetack.weights.order_lease import OrderLease
from greengagetack.weights.wave_duty import WaveDuty
from greengagetack.world import Address

__all__ = ["EdgeDaemon"]

MEMBERS = "members/"
CLAIMS = "dispatch/"
# The claim changes seldom, pings show its loss, and a conflict that it has changed; the
# longest wait that the platform allows.
CLAIM_WATCH_S = 30.0
JOB_WATCH_S = 2.0
REPLICA_CONNECT_S = 0.3
# The platform takes a daemon out after two failed questions, one second apart.
ROTATION_S = 2.6
# Time before the end of the grace period by which everything has stopped.
STOP_MARGIN_S = 0.8
HAND_OVER_S = 1.0
BACKLOG = 1_024
MS_PER_S = 1_000
SWEEP_INTERVAL_S = 15.0
# Work that the loss of all daemons may cost at most, per item.
CHECKPOINT_INTERVAL_S = 1.0


class EdgeDaemon:
    """All parts of a daemon, and the order in which they start and stop."""

    def __init__(self, facts: VmFacts) -> None:
        assert facts.front and facts.ready and facts.control
        self._facts = facts
        self._incarnation = uuid.uuid4().hex[:12]
        self._metrics = Metrics()
        self._me = Member(
            facts.node,
            self._incarnation,
            str(facts.control),
            facts.availability_zone,
            cores=facts.cores,
        )
        self._direct = DirectTransport(facts.store, self._metrics)
        self._transport = RelayedTransport(self._direct, self._relay)
        self._store = PlatformStore(self._transport, facts.value_limit_bytes)
        self._config = self._shared_feed(f"{wire.CONFIG_KIND}/")
        self._servers = self._shared_feed(f"{wire.SERVERS_KIND}/")
        self._members_feed = self._shared_feed(MEMBERS)
        self._claims = Feed(lambda: self._store, CLAIMS, lambda: CLAIM_WATCH_S)
        # Followed only by the daemon that runs the jobs.
        self._versions = Feed(
            lambda: self._store, f"{wire.VERSIONS_KIND}/", lambda: JOB_WATCH_S
        )
        self._jobs = Feed(lambda: self._store, JOBS, lambda: JOB_WATCH_S)
        self._fleet = Fleet(lambda: self._servers.last_failure_s)
        self._table: RouteTable | None = None
        self._config_version = 0
        pool = Pool(REPLICA_CONNECT_S)
        self._fleet.subscribe_removals(lambda replica: pool.drop(replica.address))
        dialect = PlatformDialect()
        self._engines = EngineFacts()
        self._ledger = Ledger(self._store)
        self._dispatcher = Dispatcher(
            self._ledger,
            Checkpoints(self._store),
            self._jobs,
            self._fleet,
            pool,
            dialect,
            self._engines,
            self._metrics,
            facts.results_kept_s,
        )
        self._roster = Roster(
            self._me, self._store, self._members_feed, MEMBERS, facts.seeds
        )
        self._claim = ClaimDuty(
            self._me, self._store, self._claims, self._roster, self._on_claim
        )
        self._peers = PeerClient(
            facts.node, self._claim.claimer_address, self._roster.addresses
        )
        self._shared = SharedSource(self._store, self._peers, self._claim)
        self._reader = JobReader(self._ledger, self._dispatcher, self._peers)
        forwarder = Forwarder(self._fleet, pool, dialect, facts.availability_zone)
        self._ingress = Ingress(
            lambda: self._table,
            forwarder,
            self._ledger,
            self._reader,
            self._dispatcher,
            self._peers,
            self._metrics,
        )
        self._lease = OrderLease(facts.node, self._store, facts.orders_apart_s)
        self._waves = WaveDuty(
            self._lease,
            self._fleet,
            ReplicaOrders(pool),
            self._named_versions,
            self._services_of,
            self._is_single,
            lambda: self._dispatcher.demand,
            self._dispatcher.loading,
            self._dispatcher.wake,
            self._metrics,
            facts.node,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._claim_tasks: list[asyncio.Task[None]] = []
        self._stop = asyncio.Event()
        self._timer = Timer()
        self._config.subscribe(self._on_config)
        self._servers.subscribe(self._on_servers)

    # -- state of the surroundings

    def _shared_feed(self, prefix: str) -> Feed:
        return Feed(
            lambda: self._shared.choose(), prefix, lambda: self._shared.wait_s()
        )

    async def _relay(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreAnswer:
        return await self._peers.relay(method, target, body, wait_s)

    async def _call_store(self, call: RelayCall) -> StoreAnswer:
        """Call the store for a daemon that does not reach it.

        Raises
        ------
        PlatformUnavailable
            If this daemon does not reach it either.
        """
        if self._transport.is_direct_failing:
            raise PlatformUnavailable("this daemon does not reach the store either")
        answer = await self._direct.call(
            call.method, call.target, call.body, call.wait_s
        )
        self._metrics.add("relayed_calls")
        return answer

    def _named_versions(self) -> dict[str, int]:
        named: dict[str, int] = {}
        for stored in self._versions.objects.values():
            found = documents.named_version_of(stored)
            if found is not None:
                named[found[0]] = found[1]
        return named

    def _batch_services(self, single_only: bool = False) -> list[str]:
        if self._table is None:
            return []
        return [
            service
            for route in self._table.configuration.routes
            if route.kind is RequestKind.ROLLOUT
            and (route.single_version or not single_only)
            for service, _ in route.services
        ]

    def _services_of(self, model: str) -> list[str]:
        return sorted(set(self._batch_services()))

    def _is_single(self, model: str) -> bool:
        return bool(self._batch_services(single_only=True))

    def _on_config(
        self, changed: tuple[PlatformObject, ...], gone: tuple[str, ...]
    ) -> None:
        for stored in changed:
            configuration = documents.configuration_of(stored)
            if configuration is None or configuration.version <= self._config_version:
                continue
            self._config_version = configuration.version
            self._table = RouteTable(configuration)
            for engine in configuration.engines:
                self._engines.memory_tokens[engine.service] = engine.memory_tokens
                self._engines.tokens_per_event[engine.service] = engine.tokens_per_event
            logger.info(
                "config: in force",
                version=configuration.version,
                revision=stored.version,
                routes=len(configuration.routes),
            )

    def _http_bounds(self) -> HttpBounds:
        """Return what the configuration in force allows a connection."""
        limits = Limits() if self._table is None else self._table.configuration.limits
        return HttpBounds(
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
            limits.max_header_bytes,
        )

    def _on_servers(
        self, changed: tuple[PlatformObject, ...], gone: tuple[str, ...]
    ) -> None:
        replicas: list[Replica] = []
        removed = [path.partition("/")[2] for path in gone]
        for stored in changed:
            replica = documents.replica_of(stored)
            if replica is None:
                removed.append(stored.path.partition("/")[2])
                continue
            replicas.append(replica)
        self._fleet.update(replicas, removed)

    def _on_claim(self) -> None:
        """Begin or cease to run the jobs as the claim says."""
        is_mine = self._claim.is_mine and not self._claim.is_leaving
        if is_mine and not self._claim_tasks:
            self._claim_tasks = [
                asyncio.create_task(supervise(self._versions.run, "versions")),
                asyncio.create_task(supervise(self._jobs.run, "jobs")),
            ]
            self._waves.is_active = True
            self._spawn(self._activate, "activate")
        if not is_mine and self._waves.is_active:
            self._waves.is_active = False
            self._spawn(self._release_lease, "release lease")
        has_heir = not self._claim.is_leaving or self._claim.claimer is not None
        if not is_mine and has_heir and self._claim_tasks:
            for task in self._claim_tasks:
                task.cancel()
            self._claim_tasks = []
        if not is_mine and self._dispatcher.is_active:
            # A daemon that gave up the claim keeps its runs until they are asked for.
            if not self._claim.is_leaving:
                self._dispatcher.deactivate()
            elif has_heir:
                loop = asyncio.get_running_loop()
                loop.call_later(HAND_OVER_S, self._dispatcher.deactivate)

    async def _release_lease(self) -> None:
        # An order under way would reach its replica after the release.
        await self._waves.settled()
        await self._lease.release()

    async def _activate(self) -> None:
        await self._dispatcher.load_checkpoint()
        claimer = self._claim.claimer
        if claimer is not None and claimer.former:
            former = Address.parse(claimer.former)
            try:
                snapshots = await self._peers.take_progress(former)
                self._dispatcher.adopt(snapshots)
            except PeerUnreachable as error:
                logger.warning("dispatch: no progress taken over: {}", error.reason)
        if self._claim.is_mine and not self._claim.is_leaving:
            self._dispatcher.activate()

    # -- life

    def _spawn(self, part: Callable[[], Awaitable[None]], name: str) -> None:
        """Run a part of the daemon; one that fails is started again."""
        self._tasks.append(asyncio.create_task(supervise(part, name), name=name))

    def is_ready(self) -> bool:
        """Whether clients may be sent here."""
        return (
            self._table is not None
            and self._servers.is_synced
            and not self._ingress.is_draining
        )

    async def _sweep_roster(self) -> None:
        await self._roster.sweep(lambda: self._dispatcher.is_active)

    def _pong(self) -> Pong:
        return Pong(self._me.node, self._me.incarnation, self._dispatcher.is_active)

    async def run(self) -> None:
        """Serve until `stop`, then end what is open and return."""
        facts = self._facts
        assert facts.front and facts.ready and facts.control
        front = HttpServer(
            bounded_config(
                self._ingress,
                self._http_bounds,
                timeout_graceful_shutdown=int(facts.grace_s),
                backlog=BACKLOG,
                date_header=False,
            )
        )
        control = HttpServer(
            bounded_config(
                build_peer_application(
                    self._pong,
                    self._reader,
                    self._dispatcher,
                    {
                        feed.prefix: feed
                        for feed in (self._config, self._servers, self._members_feed)
                    },
                    self._roster.note_heard,
                    self._call_store,
                ),
                date_header=False,
            )
        )
        status = HttpServer(bounded_config(self._status_application()))
        sockets = [listening_socket(facts.ready)]
        metrics = Address(facts.ip, facts.metrics_port)
        sockets.append(listening_socket(metrics))
        front_socket = listening_socket(facts.front)
        serving = [
            asyncio.create_task(status.serve(sockets=sockets)),
            asyncio.create_task(
                control.serve(sockets=[listening_socket(facts.control)])
            ),
            asyncio.create_task(front.serve(sockets=[front_socket])),
        ]
        logger.info(
            "daemon: started",
            incarnation=self._incarnation,
            zone=facts.availability_zone,
        )
        for feed in (self._config, self._servers, self._members_feed, self._claims):
            self._spawn(feed.run, "feed")
        self._spawn(self._roster.run, "register")
        self._spawn(lambda: self._claim.run(self._peers), "claim")
        self._spawn(self._dispatcher.run, "dispatch")
        self._spawn(self._waves.run, "weights")
        self._timer.subscribe(
            CHECKPOINT_INTERVAL_S, self._dispatcher.checkpoint, "checkpoint"
        )
        self._timer.subscribe(SWEEP_INTERVAL_S, self._dispatcher.sweep, "sweep")
        self._timer.subscribe(SWEEP_INTERVAL_S, self._sweep_roster, "roster")
        await self._stop.wait()
        await self._shut_down(front, serving)

    async def _shut_down(
        self, front: uvicorn.Server, serving: list[asyncio.Task[None]]
    ) -> None:
        stopped_s = time.monotonic()
        until_s = stopped_s + self._facts.grace_s - STOP_MARGIN_S
        logger.info("daemon: stopping")
        self._ingress.is_draining = True
        self._peers.node = ""
        await self._claim.give_up(self._roster.successor())
        self._on_claim()
        await asyncio.sleep(max(0.0, stopped_s + ROTATION_S - time.monotonic()))
        front.should_exit = True
        try:
            async with asyncio.timeout(max(0.1, until_s - time.monotonic())):
                await asyncio.shield(serving[-1])
        except TimeoutError:
            logger.warning("daemon: requests were still open at the end")
        self._timer.close()
        for task in [*self._tasks, *self._claim_tasks, *serving]:
            task.cancel()
        logger.info("daemon: stopped", ms=int((time.monotonic() - stopped_s) * 1000))

    def stop(self) -> None:
        """Begin to stop without cutting off requests."""
        self._stop.set()

    def reload(self) -> None:
        """Note a change of the settings file; no field that is used may change."""
        logger.info("daemon: SIGHUP; the settings in force stay valid")

    def _status_application(self) -> Starlette:
        async def ready(request: Request) -> Response:
            return Response(status_code=200 if self.is_ready() else 503)

        async def metrics(request: Request) -> Response:
            content = self._metrics.render()
            return Response(content, media_type="text/plain; version=0.0.4")

        return Starlette(routes=[Route("/readyz", ready), Route("/metrics", metrics)])
