"""greengagetack.gateway.request_run: all attempts of one request of a caller."""

import asyncio
import time
from collections.abc import AsyncIterator, Coroutine
from typing import TYPE_CHECKING, Any

from loguru import logger

from greengagetack.accounting.windows import RequestUsage
from greengagetack.errors import (
    DeadlineExceeded,
    EndpointFailed,
    EndpointRefused,
    NoEndpoint,
    PlatformUnavailable,
)
from greengagetack.gateway.attempt import Attempt, AttemptTerms, Reply
from greengagetack.gateway.call import Call
from greengagetack.gateway.request_admission import RequestAdmission
from greengagetack.gateway.retry import (
    AttemptResult,
    NextStep,
    hedge_delay_s,
    next_step,
)
from greengagetack.gateway.routes import RequestKind, Route
from greengagetack.gateway.stream import resumable_stream
from greengagetack.gateway.stream_origins import StreamOrigin
from greengagetack.replicas.replica import ReplicaState
from greengagetack.world import Address

if TYPE_CHECKING:
    from greengagetack.gateway.forward import Forwarder

__all__ = ["RequestRun"]

# The caller gets its response, or an error, at least this long before its deadline.
DEADLINE_MARGIN_S = 0.03
# Pause between attempts to find a replica that resumes a broken stream.
RESUME_RETRY_PAUSE_S = 0.05
# How often a waiting request is checked for a lost path to its replicas.
PATH_CHECK_INTERVAL_S = 0.1
# How late a request notices that this daemon stops.
STOP_CHECK_INTERVAL_S = 0.5


class RequestRun:
    """Tracks all attempts of one request."""

    def __init__(
        self, forwarder: "Forwarder", call: Call, route: Route, deadline_s: float
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
        self._usage = self._make_usage()
        self.admission = RequestAdmission(
            forwarder.congestion, forwarder.shares, call, route, deadline_s
        )
        self._run_count = 0
        self._may_have_run = False
        self._pending: set[asyncio.Task[Attempt]] = set()
        # Attempts at replicas over this VM's own links.
        self._direct: set[asyncio.Task[Attempt]] = set()

    def _make_usage(self) -> RequestUsage | None:
        """Return what counts this request, None if it is not counted.

        A stream that is taken up was counted when it began.
        """
        counter, customer = self._forwarder.usage, self._call.customer
        if counter is None or not customer or self._call.resumes:
            return None
        return RequestUsage(counter, customer)

    async def find_software(self) -> None:
        """Find the software that began the stream, if this request takes one up.

        Raises
        ------
        NoEndpoint
            If that is not known, and several versions served lately or may have.
        """
        if not self._call.resumes or self._route.kind is not RequestKind.STREAM:
            return
        self._software = await self._forwarder.origins.find(self._call.resumes)
        if self._software is not None:
            return
        try:
            versions = await self._forwarder.software_history.recent(self._service)
        except PlatformUnavailable as error:
            raise NoEndpoint(
                f"the software version that began stream {self._call.resumes} is "
                f"unknown, and so is which versions served lately: {error.reason}",
                self.admission.retry_after_s(),
            ) from error
        if len(versions) > 1:
            raise NoEndpoint(
                f"the software version that began stream {self._call.resumes} is "
                f"unknown, and {len(versions)} versions served lately",
                self.admission.retry_after_s(),
            )
        self._software = next(iter(versions), None)

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
                self.admission.retry_after_s(),
            )
        started_s = time.monotonic()
        has_hedged = False
        while True:
            now_s = time.monotonic()
            end_s = min(self._deadline_s, self._forwarder.stop_s)
            remaining_s = end_s - now_s - DEADLINE_MARGIN_S
            if remaining_s <= 0:
                tried = ", ".join(sorted(self._tried))
                raise DeadlineExceeded(
                    f"no response in time on route {self._route.name} from {tried}"
                )
            until_hedge_s = hedge_s + started_s - now_s
            waits_s = [remaining_s]
            if not has_hedged:
                waits_s.append(max(0.0, until_hedge_s))
            waits_s.append(
                PATH_CHECK_INTERVAL_S if self._direct else STOP_CHECK_INTERVAL_S
            )
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
            limit_s = self._forwarder.silence_limit_s(self._tried)
            paths.suspect_if_silent(self._service, started_s, limit_s)
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
            if attempt.result is AttemptResult.NOT_RUN:
                self.admission.record_full()
            retry_s = self.admission.retry_after_s()
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
        on_first = None if self._usage is None else self._usage.record_began
        parts = resumable_stream(
            self._call, reply.parts, resume, on_first, self._forwarder.memory
        )
        return Reply(reply.head, reply.body, parts)

    async def _resume(self, after_event: str) -> AsyncIterator[bytes] | None:
        """Resume the stream after an event, preferably at a replica not yet tried.

        Without a replica of the software that began it, the stream ends at once. A
        replica that answers with an error has run the request like any other.
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
            if attempt.result is not AttemptResult.ANSWERED:
                continue
            assert attempt.reply is not None
            if attempt.reply.parts is not None:
                logger.info(
                    "forward: stream goes on",
                    request_id=self._call.request_id,
                    software=attempt.software,
                )
                return attempt.reply.parts
            self._run_count += 1
            self._log(f"stream not resumed, status {attempt.reply.head.status}")
            if self._run_count >= self._route.max_attempts:
                return None
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
        terms = AttemptTerms(
            self._deadline_s,
            self._is_streaming,
            after_event,
            is_fresh,
            # A stream counts from its first event on.
            None if self._is_streaming else self._usage,
        )
        if self._is_path_lost():
            return self._next_detour(terms)
        state = self._next_replica()
        if state is None:
            return None
        self._tried.add(state.replica.replica_id)
        return self._forwarder.attempt_with_permit(self._call, state, terms)

    def _next_detour(self, terms: AttemptTerms) -> Coroutine[Any, Any, Attempt] | None:
        peer = self._next_peer()
        if peer is None:
            return None
        self._tried_peers.add(peer)
        attempt = self._forwarder.detours.attempt(
            peer, self._service, self._call, terms, self._tried, self._software
        )
        return attempt if terms.usage is None else _counted(attempt, terms.usage)

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

    def settle_usage(self) -> None:
        """Count the request, as no other attempt follows; streams count later."""
        if self._usage is not None and not self._is_streaming:
            self._usage.settle()


async def _counted(
    attempt: Coroutine[Any, Any, Attempt], usage: RequestUsage
) -> Attempt:
    """Run an attempt at a replica that another daemon makes, and count it."""
    sent_s = usage.record_sent()
    ended = await attempt
    if ended.result in (AttemptResult.NOT_RUN, AttemptResult.NOT_SENT):
        usage.record_refused(sent_s)
    return ended
