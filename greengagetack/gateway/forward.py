"""greengagetack.gateway.forward: sends requests to replicas, retries and hedges."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Collection, Coroutine
from dataclasses import replace
from typing import Any

from loguru import logger

from greengagetack.errors import (
    DeadlineExceeded,
    EndpointFailed,
    EndpointRefused,
    NoEndpoint,
)
from greengagetack.gateway.attempt import Attempt, Reply
from greengagetack.gateway.call import (
    Call,
    ExecutionStatus,
    ReplicaDialect,
    record_announcements,
)
from greengagetack.gateway.choice import choose_replica, suggested_retry_s
from greengagetack.gateway.detours import Detours, RelayedRequest
from greengagetack.gateway.retry import (
    AttemptResult,
    NextStep,
    hedge_delay_s,
    next_step,
)
from greengagetack.gateway.routes import RequestKind, Route
from greengagetack.gateway.stream import resumable_stream
from greengagetack.gateway.stream_origins import (
    RETENTION_S,
    StreamOrigin,
    StreamOrigins,
)
from greengagetack.gateway.suspects import Suspects
from greengagetack.http1.connection import Connection
from greengagetack.http1.memory import ResponseMemory
from greengagetack.http1.message import ExchangeError
from greengagetack.http1.pool import Pool
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.paths import ReplicaPaths
from greengagetack.replicas.permits import Permits
from greengagetack.replicas.replica import ReplicaState
from greengagetack.world import Address

__all__ = ["Forwarder"]

# Pause after a replica refused a request because it is full.
FULL_REPLICA_PAUSE_S = 0.05
# The caller gets its response, or an error, at least this long before its deadline.
DEADLINE_MARGIN_S = 0.03
# Pause between attempts to find a replica that resumes a broken stream.
RESUME_RETRY_PAUSE_S = 0.05
MAX_LOGGED_BYTES = 80
# How often a waiting request is checked for a lost path to its replicas.
PATH_CHECK_INTERVAL_S = 0.1
# Silence of a service that puts the path to its replicas in doubt: a multiple of the
# usual time of a request, and at least so long.
SILENCE_FACTOR = 3.0
MIN_SILENCE_S = 0.15
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
        suspects: Suspects,
        paths: ReplicaPaths,
        detours: Detours,
        memory: ResponseMemory,
        zone: str,
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._dialect = dialect
        self._permits = permits
        self.origins = origins
        self.suspects = suspects
        self.paths = paths
        self.detours = detours
        self._memory = memory
        self._zone = zone
        self._rng = random.Random()

    async def forward(self, call: Call, route: Route, deadline_s: float) -> Reply:
        """Forward a request and return the response of a replica.

        Raises
        ------
        NoEndpoint, EndpointRefused
            If no replica has run the request, and none will.
        RequestCrashesReplicas
            If replicas crashed under the request; none will run it now.
        EndpointFailed, DeadlineExceeded
            If the request may have run.
        """
        run = _RequestRun(self, call, route, deadline_s)
        await self.suspects.admit(call, route.service_for(call.routing_id))
        try:
            await run.find_software()
            return await run.execute()
        finally:
            run.cancel()

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

    def recent_software(self, service: str) -> set[str]:
        """Return the software versions that may have begun a stream still read."""
        return self._fleet.recent_software(service, RETENTION_S)

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
        return choose_replica(states, tried, self._zone, now_s, self._rng)

    def retry_after_s(self, service: str) -> float:
        """Return when a caller whose request was refused should come back."""
        states = self._fleet.serving_replicas(service)
        return suggested_retry_s(states, time.monotonic(), self._rng)

    async def attempt_with_permit(
        self,
        call: Call,
        state: ReplicaState,
        deadline_s: float,
        is_streaming: bool,
        after_event: str | None = None,
        is_fresh: bool = False,
    ) -> Attempt:
        """Send a call to one replica, unless its rate limit forbids that now."""
        if not await self._permits.acquire(state):
            reason = f"replica {state.replica.replica_id} is at its rate limit"
            return Attempt(AttemptResult.NOT_SENT, None, reason)
        return await self.send_attempt(
            call, state, deadline_s, is_streaming, after_event, is_fresh
        )

    async def send_attempt(
        self,
        call: Call,
        state: ReplicaState,
        deadline_s: float,
        is_streaming: bool,
        after_event: str | None = None,
        is_fresh: bool = False,
    ) -> Attempt:
        """Send a call to one replica; resume a stream if `after_event` is given.

        A rate-limited replica needs a permit, which the sender has taken before. With
        `is_fresh`, no connection that is open already is used.
        """
        remaining_s = deadline_s - time.monotonic()
        replica = state.replica
        request = self._dialect.build_request(
            call, replica, remaining_s * 1000, after_event
        )
        state.record_send()
        started_s = time.monotonic()
        is_sent = False
        is_handed_over = False
        pool_context = self._pool.connection(replica.address, is_fresh)
        try:
            connection = await pool_context.__aenter__()
            try:
                is_sent = True
                head = await connection.send(request, call.request_id.encode())
                self.paths.record_contact(replica.service)
                execution = self._dialect.execution_status(head)
                if execution is not ExecutionStatus.OTHER_REPLICA:
                    record_announcements(state, self._dialect, head)
                is_stream = is_streaming and head.status == OK
                if execution is ExecutionStatus.RAN and is_stream:
                    is_handed_over = True
                    parts = self._stream(call, connection, pool_context, state)
                    reply = Reply(head, b"", parts)
                    software = replica.software_version
                    return Attempt(AttemptResult.ANSWERED, reply, "", software)
                body = await self._memory.read_all(connection)
            finally:
                if not is_handed_over:
                    await pool_context.__aexit__(None, None, None)
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
            return Attempt(AttemptResult.UNKNOWN, None, str(error))
        finally:
            if not is_handed_over:
                state.in_flight -= 1
        if execution is not ExecutionStatus.RAN:
            if execution is ExecutionStatus.OTHER_REPLICA:
                state.is_gone = True
            state.record_refusal(FULL_REPLICA_PAUSE_S)
            reason = f"replica {replica.replica_id} refused with status {head.status}"
            return Attempt(AttemptResult.NOT_RUN, None, reason)
        if not self._dialect.is_genuine(head):
            state.record_failure()
            reason = (
                f"the response of replica {replica.replica_id} lacks its seal header"
            )
            return Attempt(AttemptResult.UNKNOWN, None, reason)
        state.record_success(time.monotonic() - started_s)
        if head.status < SERVER_FAILURE:
            self.suspects.record_answer(call, replica.service)
        return Attempt(AttemptResult.ANSWERED, Reply(head, body), "")

    async def send_relayed(self, request: RelayedRequest) -> Attempt:
        """Send a request of another daemon, which has no path, to one replica."""
        service = request.service
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
        )
        deadline_s = time.monotonic() + request.remaining_ms / MS_PER_S
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
                await self.attempt_with_permit(
                    call, state, deadline_s, request.is_streaming, request.after_event
                ),
                replica_id=replica_id,
            )
            if attempt.result in (AttemptResult.ANSWERED, AttemptResult.UNKNOWN):
                break
        return attempt

    def silence_limit_s(self, replica_ids: Collection[str]) -> float:
        """Return the silence of replicas that puts the path to them in doubt."""
        usual_s = 0.0
        for replica_id in replica_ids:
            state = self._fleet.get(replica_id)
            if state is not None and state.service_time_s is not None:
                usual_s = max(usual_s, state.service_time_s)
        return max(MIN_SILENCE_S, SILENCE_FACTOR * usual_s)

    async def _stream(
        self,
        call: Call,
        connection: Connection,
        pool_context: object,
        state: ReplicaState,
    ) -> AsyncIterator[bytes]:
        try:
            while part := await connection.read():
                yield part
            state.record_success()
            self.suspects.record_answer(call, state.replica.service)
        except ExchangeError:
            self.suspects.record_break(call, state)
            raise
        finally:
            state.in_flight -= 1
            await pool_context.__aexit__(None, None, None)  # type: ignore[attr-defined]


class _RequestRun:
    """Tracks all attempts of one request."""

    def __init__(
        self, forwarder: Forwarder, call: Call, route: Route, deadline_s: float
    ) -> None:
        self._forwarder = forwarder
        self._call = call
        self._route = route
        self._deadline_s = deadline_s
        self._service = route.service_for(call.routing_id)
        # What two software versions write does not fit together, so a stream that has
        # begun goes on only at replicas of this version.
        self._software: str | None = None
        self._tried: set[str] = set()
        self._tried_peers: set[Address] = set()
        self._has_detoured = False
        self._is_streaming = route.kind is RequestKind.STREAM
        self._run_count = 0
        self._may_have_run = False
        self._pending: set[asyncio.Task[Attempt]] = set()
        # Attempts at replicas over this VM's own links.
        self._direct: set[asyncio.Task[Attempt]] = set()

    async def find_software(self) -> None:
        """Find the software that began the stream, if this request takes one up.

        Raises
        ------
        NoEndpoint
            If that is not known, and replicas of several versions served lately.
        """
        if not self._call.resumes or self._route.kind is not RequestKind.STREAM:
            return
        self._software = await self._forwarder.origins.find(self._call.resumes)
        if self._software is not None:
            return
        versions = self._forwarder.recent_software(self._service)
        if len(versions) > 1:
            raise NoEndpoint(
                f"the software version that began stream {self._call.resumes} is "
                f"unknown, and {len(versions)} versions served lately",
                self._forwarder.retry_after_s(self._service),
            )

    async def execute(self) -> Reply:
        """Try replicas until one responds or no retry is allowed."""
        hedge_s = hedge_delay_s(
            self._route.latency_objective_ms,
            self._route.may_repeat,
            self._route.max_attempts,
        )
        if not self._start_attempt():
            raise NoEndpoint(
                self._forwarder.unusable_reason(self._service, self._software),
                self._forwarder.retry_after_s(self._service),
            )
        started_s = time.monotonic()
        has_hedged = False
        while True:
            now_s = time.monotonic()
            remaining_s = self._deadline_s - now_s - DEADLINE_MARGIN_S
            if remaining_s <= 0:
                tried = ", ".join(sorted(self._tried))
                raise DeadlineExceeded(
                    f"no response in time on route {self._route.name} from {tried}"
                )
            until_hedge_s = hedge_s + started_s - now_s
            waits_s = [remaining_s]
            if not has_hedged:
                waits_s.append(max(0.0, until_hedge_s))
            if self._direct:
                waits_s.append(PATH_CHECK_INTERVAL_S)
            done, _ = await asyncio.wait(
                self._pending,
                timeout=min(waits_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                self._pending.discard(task)
                self._direct.discard(task)
                reply = self._handle_result(task.result())
                if reply is not None:
                    return reply
            if done:
                continue
            self._check_path(started_s)
            if not has_hedged and time.monotonic() - started_s >= hedge_s:
                has_hedged = True
                # An open connection may be silent for the same reason as the first one.
                if self._may_hedge() and self._start_attempt(is_fresh=True):
                    self._log("hedged at a second replica")

    def _check_path(self, started_s: float) -> None:
        """Send the request another way, once the path to its replicas is lost."""
        paths = self._forwarder.paths
        if not self._direct:
            return
        if not paths.is_lost(self._service):
            silent_s = time.monotonic() - max(
                started_s, paths.last_contact_s(self._service)
            )
            if silent_s > self._forwarder.silence_limit_s(self._tried):
                paths.suspect(self._service)
            return
        if self._has_detoured or not self._route.may_repeat:
            return
        self._has_detoured = True
        if self._may_hedge() and self._start_attempt():
            self._log("sent by way of another daemon")

    def _may_hedge(self) -> bool:
        return (
            self._run_count < self._route.max_attempts
            and self._forwarder.suspects.may_hedge(self._call, self._service)
        )

    def _handle_result(self, attempt: Attempt) -> Reply | None:
        """Return the response to deliver, None to keep waiting for other attempts."""
        if attempt.replica_id:
            self._tried.add(attempt.replica_id)
        if attempt.result in (AttemptResult.NOT_RUN, AttemptResult.NOT_SENT):
            self._run_count -= 1
        ran_before = self._may_have_run or bool(self._pending)
        self._may_have_run |= attempt.result is AttemptResult.UNKNOWN
        step = next_step(
            attempt.result,
            self._route.may_repeat,
            ran_before,
            self._run_count,
            self._route.max_attempts,
            self._may_send_again() and self._has_other(),
            self._deadline_s - time.monotonic() - DEADLINE_MARGIN_S,
        )
        if step is NextStep.DELIVER:
            return self._wrap_stream(attempt)
        if step is NextStep.RETRY and self._start_attempt():
            return None
        if self._pending:
            return None
        if step is NextStep.REFUSE:
            retry_s = self._forwarder.retry_after_s(self._service)
            raise EndpointRefused(attempt.reason, retry_s)
        raise EndpointFailed(attempt.reason)

    def _may_send_again(self) -> bool:
        return self._forwarder.suspects.may_send_again(self._call, self._service)

    def _next_replica(self) -> ReplicaState | None:
        return self._forwarder.next_replica(self._service, self._tried, self._software)

    def _wrap_stream(self, attempt: Attempt) -> Reply | None:
        reply = attempt.reply
        if reply is None or reply.parts is None:
            return reply
        self._software = attempt.software
        if self._route.is_resumable and not self._call.resumes:
            origin = StreamOrigin(self._call.request_id, attempt.software)
            self._forwarder.origins.record(origin)
        resume = self._resume if self._route.is_resumable else None
        parts = resumable_stream(self._call, reply.parts, resume)
        return Reply(reply.head, reply.body, parts)

    async def _resume(self, after_event: str) -> AsyncIterator[bytes] | None:
        """Resume the stream after an event, preferably at a replica not yet tried.

        Without a replica of the software that began it, the stream ends at once.
        """
        while time.monotonic() < self._deadline_s:
            if not self._forwarder.serving_replicas(self._service, self._software):
                return None
            if not self._may_send_again():
                return None
            pending = self._next_attempt(after_event)
            if pending is None:
                self._tried.clear()
                self._tried_peers.clear()
                await asyncio.sleep(RESUME_RETRY_PAUSE_S)
                continue
            try:
                async with asyncio.timeout(self._deadline_s - time.monotonic()):
                    attempt = await pending
            except TimeoutError:
                return None
            if attempt.result is AttemptResult.ANSWERED:
                logger.info(
                    "forward: stream goes on",
                    request_id=self._call.request_id,
                    software=attempt.software,
                )
                return attempt.reply.parts if attempt.reply else None
        return None

    def _is_path_lost(self) -> bool:
        return self._forwarder.paths.is_lost(self._service)

    def _has_other(self) -> bool:
        """Whether another replica, or a way to one, is left."""
        if self._is_path_lost():
            return self._next_peer() is not None
        return self._next_replica() is not None

    def _next_peer(self) -> Address | None:
        return self._forwarder.detours.next_peer(self._service, self._tried_peers)

    def _next_attempt(
        self, after_event: str | None = None, is_fresh: bool = False
    ) -> Coroutine[Any, Any, Attempt] | None:
        """Return an attempt at a replica not yet tried, None if none is left."""
        if self._is_path_lost():
            return self._next_detour(after_event)
        state = self._next_replica()
        if state is None:
            return None
        self._tried.add(state.replica.replica_id)
        return self._forwarder.attempt_with_permit(
            self._call,
            state,
            self._deadline_s,
            self._is_streaming,
            after_event,
            is_fresh,
        )

    def _next_detour(
        self, after_event: str | None
    ) -> Coroutine[Any, Any, Attempt] | None:
        peer = self._next_peer()
        if peer is None:
            return None
        self._tried_peers.add(peer)
        return self._forwarder.detours.attempt(
            peer,
            self._service,
            self._call,
            self._deadline_s,
            self._is_streaming,
            after_event,
            self._tried,
            self._software,
        )

    def _start_attempt(self, is_fresh: bool = False) -> bool:
        is_direct = not self._is_path_lost()
        attempt = self._next_attempt(is_fresh=is_fresh)
        if attempt is None:
            return False
        self._run_count += 1
        task = asyncio.create_task(attempt)
        self._pending.add(task)
        if is_direct:
            self._direct.add(task)
        return True

    def _log(self, event: str) -> None:
        logger.info(
            f"forward: {event}",
            request_id=self._call.request_id,
            replicas=",".join(sorted(self._tried)),
        )

    def cancel(self) -> None:
        """Cancel the pending attempts, so that their replicas drop the request."""
        for task in self._pending:
            task.cancel()
