"""greengagetack.gateway.forward: sends requests to replicas, retries and hedges."""

import asyncio
import random
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

from loguru import logger

from greengagetack.errors import (
    DeadlineExceeded,
    EndpointFailed,
    EndpointRefused,
    NoEndpoint,
)
from greengagetack.gateway.call import (
    Call,
    ExecutionStatus,
    ReplicaDialect,
    record_announcements,
)
from greengagetack.gateway.choice import choose_replica, suggested_retry_s
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
from greengagetack.http1.message import ExchangeError, ResponseHead
from greengagetack.http1.pool import Pool
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.permits import Permits
from greengagetack.replicas.replica import ReplicaState

__all__ = ["Attempt", "Forwarder", "Reply"]

# Pause after a replica refused a request because it is full.
FULL_REPLICA_PAUSE_S = 0.05
# The caller gets its response, or an error, at least this long before its deadline.
DEADLINE_MARGIN_S = 0.03
# Pause between attempts to find a replica that resumes a broken stream.
RESUME_RETRY_PAUSE_S = 0.05
MAX_LOGGED_BYTES = 80
OK = 200
SERVER_FAILURE = 500


@dataclass(frozen=True, slots=True)
class Reply:
    """A replica's response; `parts` yields the rest of the body of a streamed one."""

    head: ResponseHead
    body: bytes
    parts: AsyncIterator[bytes] | None = None


@dataclass(frozen=True, slots=True)
class Attempt:
    """The outcome of sending a request to one replica.

    `software` is the version of the replica's software that began a stream.
    """

    result: AttemptResult
    reply: Reply | None
    reason: str
    software: str = ""


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
        memory: ResponseMemory,
        zone: str,
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._dialect = dialect
        self._permits = permits
        self.origins = origins
        self.suspects = suspects
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
    ) -> Attempt:
        """Send a call to one replica, unless its rate limit forbids that now."""
        if not await self._permits.acquire(state):
            reason = f"replica {state.replica.replica_id} is at its rate limit"
            return Attempt(AttemptResult.NOT_SENT, None, reason)
        return await self.send_attempt(
            call, state, deadline_s, is_streaming, after_event
        )

    async def send_attempt(
        self,
        call: Call,
        state: ReplicaState,
        deadline_s: float,
        is_streaming: bool,
        after_event: str | None = None,
    ) -> Attempt:
        """Send a call to one replica; resume a stream if `after_event` is given.

        A rate-limited replica needs a permit, which the sender has taken before.
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
        pool_context = self._pool.connection(replica.address)
        try:
            connection = await pool_context.__aenter__()
            try:
                is_sent = True
                head = await connection.send(request, call.request_id.encode())
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
        self._run_count = 0
        self._may_have_run = False
        self._pending: set[asyncio.Task[Attempt]] = set()

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
        while True:
            remaining_s = self._deadline_s - time.monotonic() - DEADLINE_MARGIN_S
            if remaining_s <= 0:
                tried = ", ".join(sorted(self._tried))
                raise DeadlineExceeded(
                    f"no response in time on route {self._route.name} from {tried}"
                )
            done, _ = await asyncio.wait(
                self._pending,
                timeout=min(remaining_s, hedge_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                hedge_s = float("inf")
                if self._may_hedge() and self._start_attempt():
                    self._log("hedged at a second replica")
                continue
            for task in done:
                self._pending.discard(task)
                reply = self._handle_result(task.result())
                if reply is not None:
                    return reply

    def _may_hedge(self) -> bool:
        return (
            self._run_count < self._route.max_attempts
            and self._forwarder.suspects.may_hedge(self._call, self._service)
        )

    def _handle_result(self, attempt: Attempt) -> Reply | None:
        """Return the response to deliver, None to keep waiting for other attempts."""
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
            self._may_send_again() and self._next_replica() is not None,
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
            state = self._next_replica()
            if state is None:
                self._tried.clear()
                await asyncio.sleep(RESUME_RETRY_PAUSE_S)
                continue
            self._tried.add(state.replica.replica_id)
            try:
                async with asyncio.timeout(self._deadline_s - time.monotonic()):
                    attempt = await self._forwarder.attempt_with_permit(
                        self._call, state, self._deadline_s, True, after_event
                    )
            except TimeoutError:
                return None
            if attempt.result is AttemptResult.ANSWERED:
                logger.info(
                    "forward: stream goes on",
                    request_id=self._call.request_id,
                    replica=state.replica.replica_id,
                    software=state.replica.software_version,
                )
                return attempt.reply.parts if attempt.reply else None
        return None

    def _start_attempt(self) -> bool:
        state = self._next_replica()
        if state is None:
            return False
        self._tried.add(state.replica.replica_id)
        self._run_count += 1
        is_streaming = self._route.kind is RequestKind.STREAM
        attempt = self._forwarder.attempt_with_permit(
            self._call, state, self._deadline_s, is_streaming
        )
        self._pending.add(asyncio.create_task(attempt))
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
