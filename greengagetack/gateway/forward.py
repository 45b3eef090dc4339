"""greengagetack.gateway.forward: sends requests to replicas, retries and hedges."""

import asyncio
import math
import random
import time
from collections.abc import AsyncIterator, Callable, Collection, Iterable
from dataclasses import replace

from loguru import logger

from greengagetack.accounting.windows import UsageCounter
from greengagetack.errors import EndpointRefused, NoEndpoint, NotReady, Overloaded
from greengagetack.gateway.attempt import Attempt, AttemptTerms, Reply
from greengagetack.gateway.call import (
    Call,
    ExecutionStatus,
    ReplicaDialect,
    record_announcements,
)
from greengagetack.gateway.choice import choose_replica
from greengagetack.gateway.congestion import Congestion
from greengagetack.gateway.customer_shares import CustomerShares
from greengagetack.gateway.detours import Detours, RelayedRequest
from greengagetack.gateway.request_run import RequestRun
from greengagetack.gateway.retry import (
    AttemptResult,
)
from greengagetack.gateway.routes import Route
from greengagetack.gateway.software_history import SoftwareHistory
from greengagetack.gateway.stream_origins import StreamOrigins
from greengagetack.gateway.suspects import Suspects
from greengagetack.gateway.zone_routing import ZoneReading, ZoneRouting
from greengagetack.http1.connection import Connection
from greengagetack.http1.message import ExchangeError, IncompleteResponse
from greengagetack.http1.pool import Pool
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.paths import ReplicaPaths
from greengagetack.replicas.permits import Permits
from greengagetack.replicas.replica import ReplicaState

__all__ = ["Forwarder"]

# Pause after a replica refused a request because it is full.
FULL_REPLICA_PAUSE_S = 0.05
MAX_LOGGED_BYTES = 80
# Silence of a service that puts the path to its replicas in doubt: a multiple of the
# usual time of a request, and at least so long.
SILENCE_FACTOR = 3.0
MIN_SILENCE_S = 0.15
# A replica that has not answered after this multiple of its usual time, and at least so
# long, hangs.
HANG_FACTOR = 5.0
MIN_HANG_S = 0.5
# A request of a stopping daemon needs this multiple of its usual time.
STOP_FACTOR = 2.0
# Replicas that a request of another daemon is offered to before it is refused.
MAX_RELAYED_OFFERS = 2
MS_PER_S = 1_000
OK = 200
SERVER_FAILURE = 500


class Forwarder:
    """Forwards requests to the replicas of their route's service."""

    def __init__(
        self,
        fleet: Fleet,
        pool: Pool,
        dialect: ReplicaDialect,
        permits: Permits,
        origins: StreamOrigins,
        software_history: SoftwareHistory,
        suspects: Suspects,
        paths: ReplicaPaths,
        detours: Detours,
        zones: ZoneRouting,
        record_outcome: Callable[[ReplicaState, bool], None],
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self.memory = pool.limits.memory
        self._dialect = dialect
        self._permits = permits
        self.origins = origins
        self.software_history = software_history
        self.suspects = suspects
        self.paths = paths
        self.detours = detours
        self._zones = zones
        self._record_outcome = record_outcome
        self._rng = random.Random()
        self.congestion = Congestion(fleet, zones.used_share)
        # No request runs on after this time; infinite unless the daemon is stopping.
        self.stop_s = float("inf")
        # Called with the service of each caller's request.
        self.on_arrival: Callable[[str], None] = lambda service: None
        # Counts callers' requests by customer, if this deployment reports them.
        self.usage: UsageCounter | None = None
        # Keeps customers to their shares of congested services, if there are customers.
        self.shares: CustomerShares | None = None

    @property
    def is_stopping(self) -> bool:
        """Whether this daemon is about to stop."""
        return math.isfinite(self.stop_s)

    async def forward(self, call: Call, route: Route, deadline_s: float) -> Reply:
        """Forward a request and return the response of a replica.

        Raises
        ------
        NoEndpoint, EndpointRefused, NotReady, Overloaded
            If no replica has run the request, and none will.
        RequestCrashesReplicas
            If replicas crashed under the request; none will run it now.
        EndpointFailed, DeadlineExceeded
            If the request may have run.
        """
        service = route.service_for(call.routing_id)
        self.on_arrival(service)
        if self.is_stopping:
            self._require_time_to_run(service)
        run = RequestRun(self, call, route, deadline_s)
        await self.suspects.admit(call, service)
        try:
            await run.find_software()
            run.admission.check()
            reply = await run.execute()
            run.admission.record_outcome(True)
            return reply
        except (NoEndpoint, EndpointRefused, Overloaded):
            run.admission.record_outcome(False)
            raise
        finally:
            run.cancel()
            run.settle_usage()

    def _require_time_to_run(self, service: str) -> None:
        """Refuse a request that would be cut off when this daemon stops."""
        remaining_s = self.stop_s - time.monotonic()
        listed = self._fleet.replicas_of_service(service)
        usual_s = self._usual_s(state.replica.replica_id for state in listed)
        if remaining_s <= STOP_FACTOR * usual_s:
            raise NotReady("this daemon stops before the request would end", 0.0)

    def unusable_reason(self, service: str, software: str | None) -> str:
        """Describe why no replica can get a request now."""
        now_s = time.monotonic()
        listed = self._fleet.replicas_of_service(service)
        if self.paths.is_lost(service):
            return (
                f"no replica of {service} is reached, neither from here nor by way of "
                "the daemons tried"
            )
        limited = sum(now_s < state.rate_limited_until_s for state in listed)
        reason = f"none of the {len(listed)} listed replicas of {service} is usable"
        if limited:
            reason += f", {limited} of them without a permit under their rate limit"
        if software is not None:
            reason += f"; the stream was begun by software {software}"
        return reason

    def zone_reading(self) -> ZoneReading:
        """Return a view of the zones' shares that changes none."""
        return self._zones.reading()

    def serving_replicas(
        self, service: str, software: str | None
    ) -> list[ReplicaState]:
        """Return replicas that may get requests, of one software version if given."""
        return [
            state
            for state in self._fleet.serving_replicas(service)
            if software in (None, state.replica.software_version)
        ]

    def next_replica(
        self, service: str, tried: set[str], software: str | None
    ) -> ReplicaState | None:
        """Return the best replica outside `tried`, None if none is left."""
        states = self.serving_replicas(service, software)
        now_s = time.monotonic()
        return choose_replica(service, states, tried, self._zones, now_s, self._rng)

    async def attempt_with_permit(
        self,
        call: Call,
        state: ReplicaState,
        terms: AttemptTerms,
    ) -> Attempt:
        """Send a call to one replica, unless its rate limit forbids that now."""
        if not await self._permits.acquire(state):
            reason = f"replica {state.replica.replica_id} is at its rate limit"
            return Attempt(AttemptResult.NOT_SENT, None, reason)
        return await self.send_attempt(call, state, terms)

    async def send_attempt(
        self,
        call: Call,
        state: ReplicaState,
        terms: AttemptTerms,
    ) -> Attempt:
        """Send a call to one replica.

        A rate-limited replica needs a permit, which the sender has taken before.
        """
        remaining_s = terms.deadline_s - time.monotonic()
        replica = state.replica
        request = self._dialect.build_request(
            call, replica, remaining_s * MS_PER_S, terms.after_event
        )
        state.record_send()
        started_s = time.monotonic()
        is_sent = False
        is_handed_over = False
        pool_context = self._pool.connection(replica.address, terms.is_fresh)
        try:
            connection = await pool_context.__aenter__()
            try:
                is_sent = True
                sent_s = 0.0 if terms.usage is None else terms.usage.record_sent()
                head = await connection.send(request, call.request_id.encode())
                self.paths.record_contact(replica.service)
                execution = self._dialect.execution_status(head)
                if execution is not ExecutionStatus.OTHER_REPLICA:
                    record_announcements(state, self._dialect, head)
                is_stream = terms.is_streaming and head.status == OK
                is_genuine = self._dialect.is_genuine(head)
                if execution is ExecutionStatus.RAN and is_stream and is_genuine:
                    is_handed_over = True
                    parts = self._stream(call, connection, pool_context, state)
                    reply = Reply(head, b"", parts)
                    software = replica.software_version
                    return Attempt(AttemptResult.ANSWERED, reply, "", software)
                # A stream that is no replica's answer need not end.
                body = b"" if is_stream else await connection.read_all()
                holding = connection.hold_ready(body)
                size_bytes = len(call.body) + len(body)
                self._zones.record_size(
                    replica.service, replica.availability_zone, size_bytes
                )
            finally:
                if not is_handed_over:
                    await pool_context.__aexit__(None, None, None)
        except asyncio.CancelledError:
            # Another attempt was faster, or the caller has left.
            waited_s = time.monotonic() - started_s
            hang_s = max(MIN_HANG_S, HANG_FACTOR * (state.service_time_s or 0.0))
            if is_sent and waited_s > hang_s:
                self._record_outcome(state, True)
            raise
        except ExchangeError as error:
            pause_s = state.record_failure()
            logger.info(
                "forward: attempt failed",
                request_id=call.request_id,
                target=call.target[:MAX_LOGGED_BYTES].decode("latin-1"),
                replica=replica.replica_id,
                reason=str(error),
                pause_s=pause_s,
            )
            if not is_sent:
                self.paths.suspect(replica.service)
                return Attempt(AttemptResult.NOT_SENT, None, str(error))
            self.suspects.record_break(call, state)
            self._record_outcome(state, True)
            return Attempt(AttemptResult.UNKNOWN, None, str(error))
        finally:
            if not is_handed_over:
                state.in_flight -= 1
        if execution is not ExecutionStatus.RAN:
            if execution is ExecutionStatus.OTHER_REPLICA:
                state.is_gone = True
            state.record_refusal(FULL_REPLICA_PAUSE_S)
            if terms.usage is not None:
                terms.usage.record_refused(sent_s)
            reason = f"replica {replica.replica_id} refused with status {head.status}"
            return Attempt(AttemptResult.NOT_RUN, None, reason)
        if not is_genuine:
            state.record_failure()
            self._record_outcome(state, True)
            reason = (
                f"the response of replica {replica.replica_id} lacks its seal header"
            )
            return Attempt(AttemptResult.UNKNOWN, None, reason)
        is_failure = head.status >= SERVER_FAILURE
        # A replica that fails fast is not a fast one.
        state.record_success(None if is_failure else time.monotonic() - started_s)
        self._record_outcome(state, is_failure)
        if head.status < SERVER_FAILURE:
            self.suspects.record_answer(call, replica.service)
        reply = Reply(head, body, holding=holding)
        return Attempt(AttemptResult.ANSWERED, reply, "")

    async def send_relayed(self, request: RelayedRequest) -> Attempt:
        """Send a request of another daemon, which has no path, to one replica."""
        service = request.service
        if self.is_stopping:
            return Attempt(AttemptResult.NOT_SENT, None, "this daemon is stopping")
        if self.paths.is_lost(service):
            return Attempt(
                AttemptResult.NOT_SENT, None, f"no path to the replicas of {service}"
            )
        call = Call(
            request.request_id,
            request.method,
            request.target,
            request.headers,
            request.body,
            customer=request.customer,
            urgency=request.urgency,
        )
        terms = AttemptTerms(
            time.monotonic() + request.remaining_ms / MS_PER_S,
            request.is_streaming,
            request.after_event,
        )
        tried = set(request.tried)
        attempt = Attempt(
            AttemptResult.NOT_SENT, None, self.unusable_reason(service, None)
        )
        for _ in range(MAX_RELAYED_OFFERS):
            state = self.next_replica(service, tried, request.software)
            if state is None:
                break
            replica_id = state.replica.replica_id
            tried.add(replica_id)
            attempt = replace(
                await self.attempt_with_permit(call, state, terms),
                replica_id=replica_id,
            )
            if attempt.result in (AttemptResult.ANSWERED, AttemptResult.UNKNOWN):
                break
        return attempt

    def silence_limit_s(self, replica_ids: Collection[str]) -> float:
        """Return the silence of replicas that puts the path to them in doubt."""
        return max(MIN_SILENCE_S, SILENCE_FACTOR * self._usual_s(replica_ids))

    def _usual_s(self, replica_ids: Iterable[str]) -> float:
        """Return the usual time of a request at the slowest of some replicas."""
        usual_s = 0.0
        for replica_id in replica_ids:
            state = self._fleet.get(replica_id)
            if state is not None and state.service_time_s is not None:
                usual_s = max(usual_s, state.service_time_s)
        return usual_s

    async def _stream(
        self,
        call: Call,
        connection: Connection,
        pool_context: object,
        state: ReplicaState,
    ) -> AsyncIterator[bytes]:
        replica = state.replica
        received_bytes = 0
        try:
            while part := await connection.read():
                received_bytes += len(part)
                self._zones.record_size(
                    replica.service, replica.availability_zone, len(part), False
                )
                yield part
            if connection.ends_at_close and not received_bytes:
                raise IncompleteResponse("a stream without a length had no event")
            state.record_success()
            self._record_outcome(state, False)
            self.suspects.record_answer(call, state.replica.service)
        except ExchangeError:
            self.suspects.record_break(call, state)
            self._record_outcome(state, True)
            raise
        finally:
            state.in_flight -= 1
            await pool_context.__aexit__(None, None, None)  # type: ignore[attr-defined]
