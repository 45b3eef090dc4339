"""greengagetack.platform.daemon: the daemon that serves the platform's clients."""

import asyncio
import math
import time
import uuid
from collections.abc import Awaitable, Callable

import uvicorn
from loguru import logger

from greengagetack.batches.checkpoint import Checkpoints
from greengagetack.batches.dispatcher import Dispatcher
from greengagetack.batches.engine_properties import EngineProperties
from greengagetack.batches.ledger import JOBS_PREFIX, Ledger
from greengagetack.batches.reading import JobReader
from greengagetack.batches.service import JobService
from greengagetack.coordination.claim import DispatcherClaim
from greengagetack.coordination.client import PeerClient
from greengagetack.coordination.copies import CopyServer
from greengagetack.coordination.duty_lease import ORDER_LEASE_PATH, DutyLease
from greengagetack.coordination.fact_archive import FactArchive
from greengagetack.coordination.lifecycle import DispatcherLifecycle
from greengagetack.coordination.messages import Member, Pong
from greengagetack.coordination.path_watch import PathWatch
from greengagetack.coordination.roster import Roster
from greengagetack.coordination.server import build_peer_application
from greengagetack.coordination.source import SourceSelector
from greengagetack.daemons.main import HttpServer
from greengagetack.daemons.protocol import HttpBounds, bounded_config
from greengagetack.daemons.status import build_status_application
from greengagetack.daemons.supervise import supervise
from greengagetack.daemons.where import WhereAnswers
from greengagetack.facts import FactCursor, FactTable
from greengagetack.freezes import FREEZE_TICK_S, FreezeWatch
from greengagetack.gateway.customer_shares import TICK_S as SHARES_TICK_S
from greengagetack.gateway.customer_shares import CustomerShares
from greengagetack.gateway.customers import CustomerDirectory
from greengagetack.gateway.detours import Detours
from greengagetack.gateway.forward import Forwarder
from greengagetack.gateway.routes import Configuration, Limits, Route, RouteTable
from greengagetack.gateway.software_history import SoftwareHistory
from greengagetack.gateway.stream_origins import StreamOrigins
from greengagetack.gateway.suspects import Suspects
from greengagetack.gateway.zone_load import TICK_S, ZoneLoads
from greengagetack.gateway.zone_routing import ZoneRouting
from greengagetack.http1.limits import ResponseLimits
from greengagetack.http1.memory import ResponseMemory
from greengagetack.http1.pool import Pool
from greengagetack.objects.base import PlatformObject
from greengagetack.objects.feed import Feed
from greengagetack.objects.outages import StoreOutages
from greengagetack.objects.transport import (
    DirectTransport,
    RelayedTransport,
    StoreResponse,
)
from greengagetack.observability.metrics import Metrics
from greengagetack.peers.node import listening_socket
from greengagetack.platform import documents, wire
from greengagetack.platform.duty_parts import make_duty_parts
from greengagetack.platform.ingress import Ingress
from greengagetack.platform.replica import PlatformDialect, PlatformOrderSender
from greengagetack.platform.settings import VmFacts
from greengagetack.platform.store import PlatformStore
from greengagetack.replicas.ejections import Ejections
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.paths import ReplicaPaths
from greengagetack.replicas.permits import Permits
from greengagetack.replicas.replica import Replica
from greengagetack.scaling.assembly import ScalingParts
from greengagetack.timer import Timer
from greengagetack.weights.load_scheduler import LoadScheduler
from greengagetack.world import Address

__all__ = ["EdgeDaemon"]

MEMBERS_PREFIX = "members/"
CLAIMS_PREFIX = "dispatch/"
JOB_WATCH_WAIT_S = 2.0
REPLICA_CONNECT_TIMEOUT_S = 0.3
# The platform takes a daemon out of rotation after two failed readiness checks, one
# second apart.
ROTATION_REMOVAL_TIME_S = 2.6
# Everything must have stopped this long before the grace period ends.
SHUTDOWN_MARGIN_S = 0.8
# Requests that still run this long before everything stops get an error.
LAST_ANSWERS_S = 0.7
LISTEN_BACKLOG = 1_024
MS_PER_S = 1_000
BYTES_PER_MB = 1_000_000
# Shares of the memory for responses, by who sends them.
RESPONSE_MEMORY_SHARES = {"replicas": 0.2, "store": 0.125, "daemons": 0.125}
# Share of these that a single response may use. A listing of the store may need all.
MAX_RESPONSE_SHARES = {"replicas": 0.5, "store": 1.0, "daemons": 1.0}
MEMORY_INTERVAL_S = 1.0
SWEEP_INTERVAL_S = 15.0
# At most this much work per item is lost if all daemons fail.
CHECKPOINT_INTERVAL_S = 1.0
# A replica's rate limit is published within about this time.
PUBLISH_INTERVAL_S = 0.5
# Facts that all daemons must obey survive a loss of all of them if they are older.
ARCHIVE_INTERVAL_S = 1.0
SUSPECTS_INTERVAL_S = 0.5
# A dispatcher that is cut off from the replicas passes its claim on within about this.
PATH_INTERVAL_S = 0.25


class EdgeDaemon:
    """Creates the parts of a daemon and starts and stops them in the right order."""

    def __init__(self, facts: VmFacts) -> None:
        assert facts.front and facts.ready and facts.control
        self._facts = facts
        self._incarnation = uuid.uuid4().hex[:12]
        self._metrics = Metrics()
        self._local_member = Member(
            facts.node,
            self._incarnation,
            str(facts.control),
            facts.availability_zone,
            cores=facts.cores,
        )
        self._response_limits = _response_limits(facts.memory_mb)
        self._direct_transport = DirectTransport(
            facts.store, self._metrics, self._response_limits["store"]
        )
        self._transport = RelayedTransport(
            self._direct_transport, self._relay_call, self._metrics
        )
        self._store = PlatformStore(self._transport, facts.value_limit_bytes)
        self._freezes = FreezeWatch()
        self._outages = StoreOutages(facts.heartbeat_s, self._freezes)
        self._config_feed = self._make_shared_feed(f"{wire.CONFIG_KIND}/")
        self._servers_feed = self._make_shared_feed(f"{wire.SERVERS_KIND}/")
        self._members_feed = Feed(
            lambda: self._source_selector.next_source(MEMBERS_PREFIX),
            MEMBERS_PREFIX,
            lambda: self._source_selector.long_wait_s(MEMBERS_PREFIX),
            lambda: self._source_selector.long_pause_s(MEMBERS_PREFIX),
            self._freezes,
            self._outages,
        )
        self._claims_feed = Feed(
            lambda: self._source_selector.next_claim_source(),
            CLAIMS_PREFIX,
            lambda: self._source_selector.claim_wait_s(),
            freezes=self._freezes,
        )
        # Watched only by the daemon that runs the jobs.
        self._versions_feed = Feed(
            lambda: self._store, f"{wire.VERSIONS_KIND}/", lambda: JOB_WATCH_WAIT_S
        )
        self._jobs_feed = Feed(
            lambda: self._store, JOBS_PREFIX, lambda: JOB_WATCH_WAIT_S
        )
        self._fleet = Fleet(
            lambda: time.monotonic() - self._outages.since_return_s, facts.drain_s
        )
        self._roster = Roster(
            self._local_member,
            self._store,
            self._members_feed,
            MEMBERS_PREFIX,
            facts.seeds,
        )
        self._claim = DispatcherClaim(
            self._local_member,
            self._store,
            self._claims_feed,
            self._roster,
            lambda: self._dispatcher_lifecycle.on_claim_change(),
            self._on_pong,
            lambda: self._fact_table.cursor,
            lambda: self._path_watch.reaches_work(),
        )
        self._fact_table = FactTable(self._incarnation, lambda: self._claim.is_acting)
        self._fact_archive = FactArchive(self._store, self._fact_table)
        self._peers = PeerClient(
            facts.node,
            self._claim.holder_address,
            self._roster.addresses,
            self._roster.member_addresses,
            self._response_limits["daemons"],
        )
        self._zone_loads = ZoneLoads(
            facts.node,
            self._fleet,
            self._fact_table,
            lambda: len(self._roster.member_addresses()),
        )
        self._peers.ping_reports.add(
            "load", self._zone_loads.take_report, self._zone_loads.handle_report
        )
        self._ejections = Ejections(
            facts.node,
            self._fleet,
            self._peers,
            self._fact_table,
            self._metrics,
            lambda: len(self._roster.member_addresses()),
        )
        self._stream_origins = StreamOrigins(self._peers, facts.control)
        self._software_history = SoftwareHistory(
            self._fleet, self._servers_feed, self._fact_table, self._fact_archive
        )
        self._duties = make_duty_parts(
            facts,
            self._local_member,
            self._store,
            self._roster,
            self._claim,
            self._fact_table,
            self._peers,
            self._metrics,
        )
        self._permits = Permits(
            self._fleet,
            self._peers,
            self._fact_table,
            self._metrics,
        )
        self._route_table: RouteTable | None = None
        self._config_version = 0
        pool = Pool(REPLICA_CONNECT_TIMEOUT_S, self._response_limits["replicas"])
        self._fleet.subscribe_removals(lambda replica: pool.close_idle(replica.address))
        self._paths = ReplicaPaths(self._fleet, pool)
        self._path_watch = PathWatch(
            self._claim,
            self._paths,
            self._peers,
            lambda: self._configuration().job_services(),
            self._roster.successors,
        )
        self._suspects = Suspects(
            self._fleet, pool, self._paths, self._peers, self._fact_table, self._metrics
        )
        dialect = PlatformDialect()
        self._engine_properties = EngineProperties()
        self._ledger = Ledger(self._store)
        forwarder = self._forwarder = Forwarder(
            self._fleet,
            pool,
            dialect,
            self._permits,
            self._stream_origins,
            self._software_history,
            self._suspects,
            self._paths,
            Detours(self._peers, facts.control, self._metrics),
            ZoneRouting(
                facts.availability_zone,
                facts.zone_cost,
                self._zone_loads.used_share,
                self._metrics,
            ),
            self._ejections.record,
        )
        forwarder.shares = self._customer_shares = CustomerShares(
            facts.node,
            self._fact_table,
            self._customers,
            forwarder.congestion,
            lambda: len(self._roster.member_addresses()),
            self._metrics,
        )
        self._peers.ping_reports.add(
            "shares", forwarder.shares.take_report, forwarder.shares.handle_report
        )
        if self._duties is not None:
            forwarder.usage = self._duties.counter
        self._dispatcher = Dispatcher(
            self._ledger,
            Checkpoints(self._store),
            self._jobs_feed,
            self._fleet,
            pool,
            dialect,
            forwarder,
            self._permits,
            self._paths,
            self._find_route,
            self._customers,
            self._engine_properties,
            self._metrics,
            facts.result_retention_s,
            facts.availability_zone,
            facts.zone_cost,
            self._ejections.record,
        )
        if self._duties is not None and self._duties.orders_replicas:
            self._duties.add_scaling(
                ScalingParts(
                    facts.node,
                    self._dispatcher,
                    forwarder,
                    self._fleet,
                    self._engine_properties,
                    self._configuration,
                    self._servers_feed,
                    self._peers,
                    lambda: len(self._roster.member_addresses()),
                    self._metrics,
                )
            )
        self._source_selector = SourceSelector(
            self._store,
            self._peers,
            self._claim,
            self._claims_feed,
            (self._config_feed, self._servers_feed, self._members_feed),
            self._roster,
            self._local_member,
            facts.seeds,
        )
        self._shared_feeds = (
            self._config_feed,
            self._servers_feed,
            self._members_feed,
            self._claims_feed,
        )
        self._reader = JobReader(self._ledger, self._dispatcher, self._peers)
        self._ingress = Ingress(
            lambda: self._route_table,
            forwarder,
            JobService(self._ledger, self._reader, self._dispatcher, self._peers),
            self._reader,
            self._metrics,
        )
        self._where = WhereAnswers(
            facts.node,
            lambda: self._route_table,
            self._fleet,
            forwarder,
            self._ejections,
            self._permits,
            self._dispatcher,
            self._claim,
            self._shared_feeds,
        )
        self._lease = DutyLease(
            facts.node, self._store, ORDER_LEASE_PATH, facts.order_spacing_s
        )
        self._load_scheduler = LoadScheduler(
            self._lease,
            self._fleet,
            PlatformOrderSender(pool),
            lambda: documents.decode_named_versions(
                self._versions_feed.objects.values()
            ),
            lambda model: self._configuration().rollout_services(),
            lambda model: self._configuration().requires_single_version(),
            lambda: self._dispatcher.demand_tokens,
            self._dispatcher.work_of_model,
            self._dispatcher.loading_ids,
            self._dispatcher.wake,
            self._metrics,
            facts.node,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._dispatcher_lifecycle = DispatcherLifecycle(
            self._claim,
            self._dispatcher,
            self._load_scheduler,
            self._lease,
            self._peers,
            (self._versions_feed, self._jobs_feed),
        )
        self._stop_requested = asyncio.Event()
        self._timer = Timer()
        self._config_feed.subscribe(self._on_config)
        self._servers_feed.subscribe(self._on_servers)

    # -- shared state

    def _make_shared_feed(self, prefix: str) -> Feed:
        return Feed(
            lambda: self._source_selector.next_source(prefix),
            prefix,
            lambda: self._source_selector.wait_s(prefix),
            lambda: self._source_selector.pause_s(prefix),
            self._freezes,
            self._outages,
        )

    async def _relay_call(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreResponse:
        return await self._peers.relay(method, target, body, wait_s)

    def _configuration(self) -> Configuration:
        return (
            Configuration(0, ())
            if self._route_table is None
            else self._route_table.configuration
        )

    def _find_route(self, host: str, path: str) -> Route | None:
        return None if self._route_table is None else self._route_table.find(host, path)

    def _customers(self) -> CustomerDirectory:
        return (
            CustomerDirectory()
            if self._route_table is None
            else self._route_table.customers
        )

    def _on_config(
        self, changed: tuple[PlatformObject, ...], deleted: tuple[str, ...]
    ) -> None:
        for stored in changed:
            configuration = documents.decode_configuration(stored)
            if configuration is None or configuration.version <= self._config_version:
                continue
            self._config_version = configuration.version
            self._route_table = RouteTable(configuration, self._route_table)
            for engine in configuration.engines:
                self._engine_properties.memory_tokens[engine.service] = (
                    engine.memory_tokens
                )
                self._engine_properties.tokens_per_event[engine.service] = (
                    engine.tokens_per_event
                )
            logger.info(
                "config: new version in force",
                version=configuration.version,
                revision=stored.version,
                copy_age_ms=_age_ms(self._config_feed),
                routes=len(configuration.routes),
                customers=len(configuration.customers),
            )

    def _http_bounds(self) -> HttpBounds:
        """Return the connection limits of the configuration in force."""
        limits = (
            Limits()
            if self._route_table is None
            else self._route_table.configuration.limits
        )
        return HttpBounds(
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
            limits.max_header_bytes,
        )

    def _on_servers(
        self, changed: tuple[PlatformObject, ...], deleted: tuple[str, ...]
    ) -> None:
        replicas: list[Replica] = []
        removed = [path.partition("/")[2] for path in deleted]
        for stored in changed:
            replica = documents.decode_replica(stored)
            if replica is None:
                removed.append(stored.path.partition("/")[2])
                continue
            replicas.append(replica)
        self._fleet.update(replicas, removed)

    async def _record_memory(self) -> None:
        for name, limits in self._response_limits.items():
            memory = limits.memory
            self._metrics.set("response_bytes", memory.used_bytes, sender=name)
            self._metrics.set("response_evictions", memory.evictions, sender=name)

    # -- lifecycle

    def _start_part(self, part: Callable[[], Awaitable[None]], name: str) -> None:
        """Run a part of the daemon and restart it if it fails."""
        self._tasks.append(asyncio.create_task(supervise(part, name), name=name))

    def is_ready(self) -> bool:
        """Whether the platform may send clients to this daemon."""
        return (
            self._route_table is not None
            and self._servers_feed.is_synced
            and not self._ingress.is_draining
        )

    async def _remove_silent_members(self) -> None:
        await self._roster.remove_silent_members(lambda: self._dispatcher.is_active)

    def _pong(self, known: FactCursor) -> Pong:
        return Pong(
            self._local_member.node,
            self._local_member.incarnation,
            self._dispatcher.is_active,
            self._lease.held_version,
            self._fact_table.update_after(known),
            *(() if self._duties is None else self._duties.clock.times()),
        )

    def _on_pong(self, pong: Pong) -> None:
        self._lease.record_version(pong.lease_version)
        self._fact_table.apply(pong.facts)

    async def run(self) -> None:
        """Serve until `stop` is called, then finish open requests and return."""
        facts = self._facts
        assert facts.front and facts.ready and facts.control
        front = HttpServer(
            bounded_config(
                self._ingress,
                self._http_bounds,
                timeout_graceful_shutdown=int(facts.grace_s),
                backlog=LISTEN_BACKLOG,
                date_header=False,
            )
        )
        control = HttpServer(
            bounded_config(
                build_peer_application(
                    self._pong,
                    self._reader,
                    self._dispatcher,
                    self._permits,
                    self._stream_origins,
                    self._suspects,
                    self._forwarder,
                    CopyServer(
                        {feed.prefix: feed for feed in self._shared_feeds},
                        lambda: self._dispatcher.is_active,
                        self._roster.record_contact,
                    ),
                    self._roster.record_contact,
                    lambda call: self._transport.call_for_peer(
                        call.method, call.target, call.body, call.wait_s
                    ),
                    self._peers.ping_reports,
                    self._ejections,
                    None if self._duties is None else self._duties.endpoints,
                ),
                date_header=False,
            )
        )
        status = HttpServer(
            bounded_config(
                build_status_application(
                    self.is_ready, self._metrics, self._where.answer
                )
            )
        )
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
        for feed in self._shared_feeds:
            self._start_part(feed.run, "feed")
        self._start_part(self._roster.run, "register")
        self._start_part(lambda: self._claim.run(self._peers), "claim")
        self._start_part(self._dispatcher.run, "dispatch")
        self._start_part(self._load_scheduler.run, "weights")
        if self._duties is not None:
            self._duties.start(self._start_part)
        self._timer.subscribe(
            CHECKPOINT_INTERVAL_S, self._dispatcher.save_checkpoint, "checkpoint"
        )
        self._timer.subscribe(
            SWEEP_INTERVAL_S, self._dispatcher.delete_expired_jobs, "sweep"
        )
        self._timer.subscribe(SWEEP_INTERVAL_S, self._remove_silent_members, "roster")
        self._timer.subscribe(
            PUBLISH_INTERVAL_S, self._permits.publish_changes, "rate limits"
        )
        self._timer.subscribe(
            PUBLISH_INTERVAL_S, self._software_history.publish_changes, "software"
        )
        self._timer.subscribe(MEMORY_INTERVAL_S, self._record_memory, "memory")
        self._timer.subscribe(FREEZE_TICK_S, self._freezes.tick, "freezes")
        self._timer.subscribe(PATH_INTERVAL_S, self._path_watch.tick, "paths")
        self._timer.subscribe(TICK_S, self._zone_loads.tick, "zone loads")
        self._timer.subscribe(SHARES_TICK_S, self._customer_shares.tick, "shares")
        self._timer.subscribe(SUSPECTS_INTERVAL_S, self._suspects.tick, "suspects")
        self._timer.subscribe(
            ARCHIVE_INTERVAL_S, self._fact_archive.synchronize, "facts"
        )
        await self._stop_requested.wait()
        await self._shut_down(front, serving)

    async def _shut_down(
        self, front: uvicorn.Server, serving: list[asyncio.Task[None]]
    ) -> None:
        stop_requested_s = time.monotonic()
        deadline_s = stop_requested_s + self._facts.grace_s - SHUTDOWN_MARGIN_S
        logger.info("daemon: stopping")
        self._ingress.is_draining = True
        self._forwarder.stop_s = deadline_s - LAST_ANSWERS_S
        self._peers.node = ""
        await self._claim.release(self._roster.successor())
        self._dispatcher_lifecycle.on_claim_change()
        if self._duties is not None:
            self._start_part(self._duties.leave, "leave duties")
        await asyncio.sleep(
            max(0.0, stop_requested_s + ROTATION_REMOVAL_TIME_S - time.monotonic())
        )
        front.should_exit = True
        try:
            async with asyncio.timeout(max(0.1, deadline_s - time.monotonic())):
                await asyncio.shield(serving[-1])
        except TimeoutError:
            logger.warning(
                "daemon: requests were still open when the shutdown time ran out"
            )
        if self._duties is not None:
            await self._duties.flush()
        self._timer.close()
        self._dispatcher_lifecycle.close()
        for task in [*self._tasks, *serving]:
            task.cancel()
        logger.info(
            "daemon: stopped", ms=int((time.monotonic() - stop_requested_s) * 1000)
        )

    def stop(self) -> None:
        """Start a graceful shutdown."""
        self._stop_requested.set()

    def reload(self) -> None:
        """Handle SIGHUP; no field that the daemon uses may change while it runs."""
        logger.info("daemon: SIGHUP received; the settings are not reloaded")


def _response_limits(memory_mb: float) -> dict[str, ResponseLimits]:
    """Return the limits on responses, by who sends them."""
    memory_bytes = memory_mb * BYTES_PER_MB
    return {
        name: ResponseLimits(
            ResponseMemory(int(memory_bytes * share), name, MAX_RESPONSE_SHARES[name])
        )
        for name, share in RESPONSE_MEMORY_SHARES.items()
    }


def _age_ms(feed: Feed) -> int | None:
    """Return the age of a copy before a change, None before its first confirmation."""
    return None if math.isinf(feed.age_s) else int(feed.age_s * MS_PER_S)
