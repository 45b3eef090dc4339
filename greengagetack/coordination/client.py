"""greengagetack.coordination.client: calls to other daemons."""

import asyncio
import random
import zlib
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from functools import partial
from typing import TypeVar
from urllib.parse import quote, urlencode

from loguru import logger

from greengagetack.accounting.windows import UsageBundle
from greengagetack.batches.job import Job, Segment
from greengagetack.batches.progress import ProgressSnapshot
from greengagetack.coordination.copies import decode_copy, is_from_dispatcher
from greengagetack.coordination.duty_board import DutyHeartbeat
from greengagetack.coordination.messages import (
    CrashReports,
    HandOver,
    JobHint,
    Pong,
    RecordedOrigins,
    RelayCall,
    Segments,
    StreamOriginAnswer,
    decode,
    encode,
)
from greengagetack.coordination.ping_reports import PingReports
from greengagetack.coordination.relayed import read_relayed_answer, read_relayed_body
from greengagetack.errors import PeerUnreachable, PlatformUnavailable
from greengagetack.facts import FactCursor
from greengagetack.gateway.crash_reports import CrashReport
from greengagetack.gateway.detours import RelayedAnswer, RelayedRequest
from greengagetack.gateway.stream_origins import StreamOrigin
from greengagetack.gateway.suspects import ProbeRequest
from greengagetack.grants import Grant
from greengagetack.http1.limits import ResponseLimits
from greengagetack.http1.message import (
    ConnectFailed,
    ExchangeError,
    IncompleteResponse,
    Request,
    ResponseHead,
)
from greengagetack.http1.pool import Pool
from greengagetack.objects.base import HistoryGone, WatchAnswer
from greengagetack.objects.transport import StoreResponse
from greengagetack.replicas.ejections import EjectionNotice
from greengagetack.replicas.permits import PermitRequest, RateLimitNotice
from greengagetack.scaling.need import DemandReport
from greengagetack.staggered import first_result
from greengagetack.world import Address

__all__ = ["Copy", "CopyRefused", "PeerClient"]

CONNECT_TIMEOUT_S = 0.4
CALL_TIMEOUT_S = 0.5
# A caller waits for the grant; another replica may serve it sooner.
GRANT_TIMEOUT_S = 0.1
# A caller waits for the origin of the stream that it takes up.
ORIGIN_TIMEOUT_S = 0.4
# A daemon connects to replicas before it answers.
PATH_TIMEOUT_S = 0.6
# Time allowed for the response to a waiting read, in addition to its wait.
READ_MARGIN_S = 0.3
RELAY_TIMEOUT_S = 1.2
# A daemon that answers later may have lost the store itself; the next one is asked.
RELAY_STAGGER_S = 0.3
MAX_RELAY_CANDIDATES = 4
RETRY_AFTER_S = 0.5
MIN_PACKED_BYTES = 512
PACKING_LEVEL = 1
MS_PER_S = 1_000
OK = 200
NOT_FOUND = 404
GONE = 410
REFUSED_STATUSES = frozenset({429, 503})
# The previous release answers 404 unless it is the dispatcher.
COPY_REFUSED_STATUSES = frozenset({404, 503})

T = TypeVar("T")


class MessageUnknown(PeerUnreachable):
    """The daemon does not know the message, as one of the previous release."""


class CopyRefused(PeerUnreachable):
    """A daemon answered, but has no confirmed copy of a prefix."""


@dataclass(frozen=True, slots=True)
class Copy:
    """An answer from a daemon's copy, and whether that daemon runs the jobs."""

    answer: WatchAnswer
    is_from_dispatcher: bool


class PeerClient:
    """Calls the dispatcher and, for relays to the store, any other daemon.

    Parameters
    ----------
    node : str
        Name of this VM; empty while it is leaving and must not become the dispatcher.
    dispatcher_address : callable
        Returns the address of the dispatcher, None if unknown.
    other_addresses : callable
        Returns the addresses of all other daemons.
    member_addresses : callable
        Returns the addresses of all listed daemons.
    limits : ResponseLimits or None
        What the responses of all daemons may use.
    """

    def __init__(
        self,
        node: str,
        dispatcher_address: Callable[[], Address | None],
        other_addresses: Callable[[], list[Address]],
        member_addresses: Callable[[], tuple[Address, ...]],
        limits: ResponseLimits | None = None,
    ) -> None:
        self.node = node
        self._dispatcher_address = dispatcher_address
        self._other_addresses = other_addresses
        self.member_addresses = member_addresses
        self._pool = Pool(CONNECT_TIMEOUT_S, limits)
        self._rng = random.Random()
        self._preferred_relay: Address | None = None
        self.ping_reports = PingReports()

    async def ping(
        self, address: Address, known: FactCursor, offset_ms: float | None = None
    ) -> Pong:
        """Return a daemon's identity, whether it is the dispatcher, and new facts.

        `offset_ms` is that of this VM's wall clock to the daemon's steady clock.
        """
        path = f"/peer/ping?epoch={quote(known.epoch)}&revision={known.revision}"
        path += f"&node={quote(self.node)}{self.ping_reports.query()}"
        if offset_ms is not None:
            path += f"&offset_ms={offset_ms:.1f}"
        body = await self._call(address, "GET", path, b"", CALL_TIMEOUT_S)
        return _decode_response(body, Pong)

    async def fetch_segments(
        self, job_id: str, first: int, wait_s: float
    ) -> list[Segment]:
        """Return a job's segments from `first` on, waiting up to `wait_s` for one.

        Raises
        ------
        PeerUnreachable
            If the dispatcher is unknown, does not answer or does not run the job.
        """
        path = f"/peer/segments/{quote(job_id)}?first={first}&wait_s={wait_s:.3f}"
        address = self._known_dispatcher()
        body = await self._call(address, "GET", path, b"", READ_MARGIN_S + wait_s)
        return _decode_response(body, Segments).segments

    async def fetch_job(self, job_id: str) -> Job:
        """Return a job that the dispatcher runs or has accepted.

        Raises
        ------
        PeerUnreachable
            If the dispatcher is unknown, does not answer or does not have the job.
        """
        address = self._known_dispatcher()
        path = f"/peer/jobs/{quote(job_id)}"
        body = await self._call(address, "GET", path, b"", CALL_TIMEOUT_S)
        return _decode_response(body, Job)

    async def fetch_body(self, job_id: str, item_id: str) -> bytes:
        """Fetch an item's body from the dispatcher."""
        path = f"/peer/bodies/{quote(job_id)}/{quote(item_id)}"
        address = self._known_dispatcher()
        return await self._call(address, "GET", path, b"", CALL_TIMEOUT_S)

    async def send_job_hint(self, job_id: str, is_ended: bool) -> None:
        """Notify the dispatcher of a job; it also finds the job without this call."""
        try:
            body = encode(JobHint(job_id, is_ended))
            address = self._known_dispatcher()
            await self._call(address, "POST", "/peer/jobs", body, CALL_TIMEOUT_S)
        except PeerUnreachable as error:
            logger.debug("peers: hint about job {} not sent: {}", job_id, error.reason)

    async def list_objects(self, address: Address, prefix: str) -> Copy:
        """Return all objects of a prefix from a daemon's copy.

        Raises
        ------
        CopyRefused
            If the daemon's copy is not up to date.
        PeerUnreachable
            If the daemon does not answer.
        """
        path = f"/peer/objects/{quote(prefix, safe='')}?packed=1"
        return await self._fetch_copy(address, path, CALL_TIMEOUT_S)

    async def watch_objects(
        self,
        address: Address,
        prefix: str,
        after: int,
        timeout_s: float,
        known_age_s: float | None = None,
    ) -> Copy:
        """Wait for changes in a daemon's copy of a prefix, or for its confirmation.

        `known_age_s` is the age of the last answer of that daemon, if there was one.

        Raises
        ------
        HistoryGone
            If the daemon no longer has all changes after that revision.
        CopyRefused
            If the daemon's copy is not up to date.
        PeerUnreachable
            If the daemon does not answer.
        """
        path = f"/peer/objects/{quote(prefix, safe='')}?packed=1"
        path += f"&after={after}&wait_s={timeout_s:.3f}&node={quote(self.node)}"
        if known_age_s is not None:
            path += f"&age_ms={int(known_age_s * MS_PER_S)}"
        return await self._fetch_copy(address, path, CALL_TIMEOUT_S + timeout_s)

    async def _fetch_copy(self, address: Address, path: str, limit_s: float) -> Copy:
        head, content = await self._exchange(address, "GET", path, b"", limit_s)
        if head.status in COPY_REFUSED_STATUSES:
            raise CopyRefused(f"{address} has no confirmed copy", RETRY_AFTER_S)
        _require_ok(head, address, path)
        try:
            answer = decode_copy(head.headers, content)
        except ValueError as error:
            raise PeerUnreachable(
                f"the copy of {address} cannot be decoded: {error}", RETRY_AFTER_S
            ) from error
        return Copy(answer, is_from_dispatcher(head.headers))

    async def fetch_progress(self, former: Address) -> list[ProgressSnapshot]:
        """Fetch the progress of the former claim holder, which then stops its runs."""
        body = await self._call(former, "POST", "/peer/progress", b"", CALL_TIMEOUT_S)
        return _decode_response(body, HandOver).snapshots

    async def request_permit(self, request: PermitRequest) -> Grant:
        """Ask the dispatcher for a permit to send to a rate-limited replica.

        Raises
        ------
        PeerUnreachable
            If the dispatcher is unknown or does not answer in time.
        """
        return await self._request_grant("/peer/permits", request)

    async def send_rate_limit(self, notice: RateLimitNotice) -> None:
        """Notify the dispatcher of a replica's rate limit.

        Raises
        ------
        PeerUnreachable
            If the dispatcher is unknown or does not answer.
        """
        address = self._known_dispatcher()
        body = encode(notice)
        await self._call(address, "POST", "/peer/rate-limits", body, CALL_TIMEOUT_S)

    async def send_crash_reports(self, reports: tuple[CrashReport, ...]) -> None:
        """Send what this daemon has observed of requests that crash replicas.

        Raises
        ------
        PeerUnreachable
            If the dispatcher is unknown or does not answer.
        """
        address = self._known_dispatcher()
        body = encode(CrashReports(reports))
        await self._call(address, "POST", "/peer/crash-reports", body, CALL_TIMEOUT_S)

    async def send_ejection(self, notice: EjectionNotice) -> None:
        """Notify the dispatcher of a replica that this daemon ejects or readmits.

        Raises
        ------
        PeerUnreachable
            If the dispatcher is unknown or does not answer.
        """
        address = self._known_dispatcher()
        body = encode(notice)
        await self._call(address, "POST", "/peer/ejections", body, CALL_TIMEOUT_S)

    async def request_probe(self, request: ProbeRequest) -> Grant:
        """Ask the dispatcher whether a request under suspicion may run now.

        Raises
        ------
        PeerUnreachable
            If the dispatcher is unknown or does not answer in time.
        """
        return await self._request_grant("/peer/probes", request)

    async def _request_grant(self, path: str, request: object) -> Grant:
        address = self._known_dispatcher()
        body = await self._call(address, "POST", path, encode(request), GRANT_TIMEOUT_S)
        return _decode_response(body, Grant)

    async def reaches(self, address: Address, service: str) -> bool:
        """Return whether a daemon reaches a replica of a service.

        Raises
        ------
        PeerUnreachable
            If the daemon does not answer in time.
        """
        path = f"/peer/paths/{quote(service, safe='')}"
        body = await self._call(address, "GET", path, b"", PATH_TIMEOUT_S)
        return _decode_response(body, bool)

    async def send_duty_heartbeat(
        self, heartbeat: DutyHeartbeat, address: Address | None = None
    ) -> bool:
        """Send a duty's heartbeat, by default to the dispatcher.

        Returns whether the dispatcher has published the sender as the holder.

        Raises
        ------
        PeerUnreachable
            If the dispatcher is unknown or the daemon does not answer.
        """
        target = address or self._known_dispatcher()
        body = encode(heartbeat)
        path = "/peer/duties"
        try:
            answer = await self._call(target, "POST", path, body, CALL_TIMEOUT_S)
        except MessageUnknown:
            return False
        return _decode_response(answer, bool)

    async def reaches_api(self, address: Address) -> bool:
        """Return whether a daemon reaches the platform's API.

        Raises
        ------
        PeerUnreachable
            If the daemon does not answer in time.
        """
        body = await self._call(address, "GET", "/peer/api-path", b"", PATH_TIMEOUT_S)
        return _decode_response(body, bool)

    async def send_usage(self, address: Address, bundle: UsageBundle) -> None:
        """Send counts of requests to the holder of the duty, or to a collector.

        Raises
        ------
        PeerUnreachable
            If the daemon does not answer.
        """
        body, path = encode(bundle), "/peer/usage"
        if len(body) > MIN_PACKED_BYTES:
            # Totals of many daemons have the same customers.
            body, path = zlib.compress(body, PACKING_LEVEL), f"{path}?packed=1"
        await self._call(address, "POST", path, body, CALL_TIMEOUT_S)

    async def fetch_demand(
        self, standing: str = "", wants_standing: bool = False
    ) -> DemandReport:
        """Return the demand that scaling decisions need from the dispatcher.

        The dispatcher keeps `standing` for a successor, which asks for it.

        Raises
        ------
        PeerUnreachable
            If the dispatcher is unknown, does not answer or does not know the call.
        """
        address = self._known_dispatcher()
        fields = {"standing": standing} if standing else {}
        if wants_standing:
            fields["wants_standing"] = "1"
        path = f"/peer/demand?{urlencode(fields)}"
        body = await self._call(address, "GET", path, b"", CALL_TIMEOUT_S)
        return _decode_response(body, DemandReport)

    async def send_relayed(
        self, address: Address, request: RelayedRequest
    ) -> tuple[RelayedAnswer, AsyncIterator[bytes]]:
        """Let a daemon send a request; return the answer and the parts of its body.

        Raises
        ------
        PeerUnreachable
            If the daemon accepts no connection.
        ExchangeError
            If the connection breaks or the answer is invalid.
        """
        headers = ((b"host", str(address).encode()),)
        call = Request(b"POST", b"/peer/attempts", headers, encode(request))
        async with AsyncExitStack() as stack:
            try:
                connection = await stack.enter_async_context(
                    self._pool.connection(address)
                )
            except ConnectFailed as error:
                raise PeerUnreachable(str(error), RETRY_AFTER_S) from error
            head = await connection.send(call)
            if head.status != OK:
                raise IncompleteResponse(f"{address}: status {head.status}")
            answer, rest = await read_relayed_answer(connection)
            is_gathered = not answer.is_stream(request.is_streaming)
            return answer, read_relayed_body(
                connection, rest, stack.pop_all(), is_gathered
            )

    async def send_origins(
        self, address: Address, origins: tuple[StreamOrigin, ...]
    ) -> None:
        """Let a daemon remember which software began streams."""
        body = encode(RecordedOrigins(origins))
        path = "/peer/stream-origins"
        await self._call(address, "POST", path, body, CALL_TIMEOUT_S)

    async def fetch_origin(self, address: Address, request_id: str) -> str | None:
        """Return the software that began a stream, None if the daemon has no record."""
        path = f"/peer/stream-origins/{quote(request_id, safe='')}"
        body = await self._call(address, "GET", path, b"", ORIGIN_TIMEOUT_S)
        return _decode_response(body, StreamOriginAnswer).software

    async def relay(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreResponse:
        """Call the store through another daemon.

        Raises
        ------
        PlatformUnavailable
            If none of the daemons tried can reach the store.
        """
        call = encode(RelayCall(method, target, body, wait_s))
        attempts = [
            partial(self._relay_through, address, call, wait_s)
            for address in self._relay_candidates()
        ]
        relayed = await first_result(attempts, wait_s + RELAY_STAGGER_S)
        if relayed is not None:
            return relayed
        self._preferred_relay = None
        raise PlatformUnavailable(
            "no daemon tried as a relay reaches the store", RETRY_AFTER_S
        )

    async def _relay_through(
        self, address: Address, call: bytes, wait_s: float
    ) -> StoreResponse | None:
        """Call the store through one daemon; return None if it does not reach it."""
        try:
            response = await self._call(
                address, "POST", "/peer/store", call, RELAY_TIMEOUT_S + wait_s
            )
            relayed = _decode_response(response, StoreResponse)
        except PeerUnreachable as error:
            logger.debug("peers: {} relayed no call: {}", address, error.reason)
            return None
        if relayed.status in REFUSED_STATUSES:
            return None
        self._preferred_relay = address
        return relayed

    def _relay_candidates(self) -> list[Address]:
        others = self._other_addresses()
        sampled = self._rng.sample(others, min(MAX_RELAY_CANDIDATES, len(others)))
        if self._preferred_relay is None:
            return sampled
        return [
            self._preferred_relay,
            *(other for other in sampled if other != self._preferred_relay),
        ]

    def _known_dispatcher(self) -> Address:
        address = self._dispatcher_address()
        if address is None:
            raise PeerUnreachable("no dispatcher is known at present", RETRY_AFTER_S)
        return address

    async def _call(
        self, address: Address, method: str, path: str, body: bytes, limit_s: float
    ) -> bytes:
        head, content = await self._exchange(address, method, path, body, limit_s)
        _require_ok(head, address, path)
        return content

    async def _exchange(
        self, address: Address, method: str, path: str, body: bytes, limit_s: float
    ) -> tuple[ResponseHead, bytes]:
        request = Request(
            method.encode(), path.encode(), ((b"host", str(address).encode()),), body
        )
        try:
            async with asyncio.timeout(limit_s):
                async with self._pool.connection(address) as connection:
                    head = await connection.send(request)
                    return head, await connection.read_all()
        except (ExchangeError, TimeoutError) as error:
            raise PeerUnreachable(f"{address}: {error!r}", RETRY_AFTER_S) from error


def _require_ok(head: ResponseHead, address: Address, path: str) -> None:
    if head.status == GONE:
        raise HistoryGone(f"{address} no longer has the changes of {path}")
    if head.status != OK:
        kind = MessageUnknown if head.status == NOT_FOUND else PeerUnreachable
        raise kind(f"{address} responded with status {head.status}", RETRY_AFTER_S)


def _decode_response(body: bytes, kind: type[T]) -> T:
    try:
        return decode(body, type=kind)
    except ValueError as error:
        raise PeerUnreachable(
            f"the response of a daemon cannot be decoded: {error}"
        ) from error
