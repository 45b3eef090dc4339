"""greengagetack.platform.ingress: the HTTP interface for the platform's clients."""

import time
from collections.abc import Callable
from dataclasses import replace
from urllib.parse import parse_qs, unquote

from loguru import logger

from greengagetack.batches.reading import JobReader
from greengagetack.batches.service import JobService
from greengagetack.daemons.responses import error_body, unexpected_error
from greengagetack.errors import (
    CodedError,
    InvalidRequest,
    NotFound,
    UnknownKey,
)
from greengagetack.gateway.attempt import Reply
from greengagetack.gateway.call import Call
from greengagetack.gateway.clients import (
    ClientDisconnected,
    Receive,
    Scope,
    Send,
    cancel_on_disconnect,
    discard_body,
    read_body,
)
from greengagetack.gateway.customer_metrics import CustomerMetrics
from greengagetack.gateway.forward import Forwarder
from greengagetack.gateway.routes import Route, RouteTable
from greengagetack.http1.message import ExchangeError, ResponseHead
from greengagetack.objects.base import WriteUnknown
from greengagetack.observability.metrics import Metrics
from greengagetack.platform import wire
from greengagetack.platform.admission import (
    BODIES_PATH,
    RESULTS_PATH,
    Admission,
    admit,
    job_id_from_path,
)
from greengagetack.platform.batch_api import decode_submission, encode_results
from greengagetack.platform.identity import (
    Caller,
    with_identity,
    without_item_identity,
)

__all__ = ["Ingress"]

MS_PER_S = 1_000
# Applies to a request that carries no deadline.
DEFAULT_DEADLINE_MS = 30_000.0
MAX_RESULTS_WAIT_MS = 1_000.0
# With these statuses, the daemon guarantees that the request has not run and never
# will.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
UNKNOWN_OUTCOME_STATUS = 502
# How long the rest of a request without a known key is discarded before its connection
# is closed.
UNREAD_BODY_LIMIT_S = 0.5
NO_BODY_STATUSES = frozenset({204, 304})
HOP_BY_HOP_HEADERS = frozenset(
    {b"connection", b"keep-alive", b"transfer-encoding", b"content-length", b"upgrade"}
)


class _StreamBroken(Exception):
    """Makes the server close the connection before the response is complete."""


class Ingress:
    """The ASGI application on a daemon's front address.

    Parameters
    ----------
    route_table : callable
        Returns the routes in force, None before the first configuration.
    """

    def __init__(
        self,
        route_table: Callable[[], RouteTable | None],
        forwarder: Forwarder,
        jobs: JobService,
        reader: JobReader,
        metrics: Metrics,
    ) -> None:
        self._route_table = route_table
        self._forwarder = forwarder
        self._jobs = jobs
        self._reader = reader
        self._metrics = metrics
        self._customer_metrics = CustomerMetrics(metrics)
        self.is_draining = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        arrived_s = time.monotonic()
        headers = tuple(scope["headers"])
        request_id = _header_value(headers, wire.REQUEST_ID) or job_id_from_path(
            scope["path"]
        )
        kind = "unrouted"
        try:
            kind, reply = await self._handle(
                scope, headers, request_id, receive, arrived_s
            )
            await cancel_on_disconnect(self._send_reply(reply, send), receive)
        except ClientDisconnected:
            logger.info("entry: client disconnected", request_id=request_id)
            self._metrics.add("requests", kind=kind, status="gone")
            return
        except UnknownKey as error:
            await self._send_error(error, request_id, scope, arrived_s, send, receive)
            return
        except CodedError as error:
            await self._send_error(error, request_id, scope, arrived_s, send)
            return
        except ExchangeError as error:
            # The response has started; only a broken connection shows that it is
            # incomplete.
            logger.warning(
                "entry: stream failed", request_id=request_id, reason=str(error)
            )
            self._metrics.add("requests", kind=kind, status="broken")
            raise _StreamBroken from error
        except Exception as error:
            logger.opt(exception=error).error(
                "entry: unexpected error", request_id=request_id
            )
            unexpected = unexpected_error()
            await self._send_error(unexpected, request_id, scope, arrived_s, send)
            return
        self._metrics.add("requests", kind=kind, status=str(reply.head.status))
        self._metrics.observe_s("request_s", time.monotonic() - arrived_s, kind=kind)

    async def _handle(
        self,
        scope: Scope,
        headers: tuple[tuple[bytes, bytes], ...],
        request_id: str,
        receive: Receive,
        arrived_s: float,
    ) -> tuple[str, Reply]:
        admission = admit(self._route_table(), scope, headers)
        customer = admission.caller.customer
        self._customer_metrics.add_request(customer)
        try:
            return await self._serve(
                admission, scope, headers, request_id, receive, arrived_s
            )
        except CodedError as error:
            if _http_status(error) in NOT_EXECUTED_STATUSES:
                self._customer_metrics.add_refusal(customer)
            raise

    async def _serve(
        self,
        admission: Admission,
        scope: Scope,
        headers: tuple[tuple[bytes, bytes], ...],
        request_id: str,
        receive: Receive,
        arrived_s: float,
    ) -> tuple[str, Reply]:
        route, caller = admission.route, admission.caller
        max_body_bytes = admission.configuration.limits.max_body_bytes
        body = await read_body(receive, max_body_bytes)
        if admission.is_job_request:
            pending_reply = self._handle_batch_request(scope, headers, caller)
            return "batch", await cancel_on_disconnect(pending_reply, receive)
        if route is None:
            raise NotFound("no route matches the host and path")
        if route.kind.is_batch:
            if scope["method"] != "POST":
                raise NotFound("jobs are submitted with POST")
            reply = await self._submit(request_id, body, route, arrived_s, caller)
            return "submit", reply
        if not request_id:
            raise InvalidRequest("the request has no identifier")
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        call = Call(
            request_id,
            scope["method"].encode(),
            target,
            with_identity(headers, caller.customer, caller.urgency),
            body,
            _resumed_request(headers, request_id),
            customer=caller.customer,
            urgency=caller.urgency,
            after_event=_header_value(headers, wire.LAST_EVENT_ID),
        )
        deadline_ms = _parse_number(
            _header_value(headers, wire.DEADLINE), DEFAULT_DEADLINE_MS
        )
        limit_ms = min(deadline_ms, route.timeout_ms)
        deadline_s = min(arrived_s + limit_ms / MS_PER_S, self._forwarder.stop_s)
        pending_reply = self._forwarder.forward(call, route, deadline_s)
        reply = await cancel_on_disconnect(pending_reply, receive)
        logger.info(
            "entry: answered",
            request_id=request_id,
            route=route.name,
            config=admission.configuration.version,
            status=reply.head.status,
            ms=int((time.monotonic() - arrived_s) * MS_PER_S),
            limit_ms=int(limit_ms),
            **caller.log_fields(),
        )
        return route.kind.value, reply

    # -- batch jobs

    async def _submit(
        self,
        job_id: str,
        body: bytes,
        route: Route,
        arrived_s: float,
        caller: Caller,
    ) -> Reply:
        if not job_id or "/" in job_id:
            raise InvalidRequest("the job has no identifier")
        job, items = decode_submission(job_id, body, route)
        if caller.customer is not None:
            job = replace(job, customer=caller.customer)
            items = without_item_identity(items)
        is_new = await self._jobs.submit(job, items, caller.customer)
        logger.info(
            "batch: job accepted",
            request_id=job_id,
            route=route.name,
            step=job.step,
            model=job.model,
            min_version=job.min_version,
            items=len(items),
            is_new=is_new,
            **caller.log_fields(),
            ms=int((time.monotonic() - arrived_s) * MS_PER_S),
        )
        return _reply(202, b"")

    async def _handle_batch_request(
        self, scope: Scope, headers: tuple[tuple[bytes, bytes], ...], caller: Caller
    ) -> Reply:
        method, path = scope["method"], scope["path"]
        query = parse_qs(scope["query_string"].decode("latin-1"))
        if path.startswith(BODIES_PATH):
            if method != "GET":
                raise NotFound("bodies are read with GET")
            job_id = unquote(path.removeprefix(BODIES_PATH))
            job = await self._reader.job_for(job_id, caller.customer)
            item_id = query.get("id", [""])[0]
            body = await self._reader.body(job, item_id)
            return _reply(200, body, b"application/octet-stream")
        job_id = unquote(path.removeprefix(RESULTS_PATH))
        if method == "DELETE":
            await self._jobs.end(job_id, caller.customer)
            return _reply(200, b"{}")
        if method != "GET":
            raise NotFound("results are read with GET")
        job = await self._reader.job_for(job_id, caller.customer)
        after = int(_parse_number(query.get("after", ["0"])[0], 0.0))
        wait_ms = min(
            MAX_RESULTS_WAIT_MS, _parse_number(_header_value(headers, wire.WAIT), 0.0)
        )
        log = await self._reader.log(job, after, wait_ms / MS_PER_S)
        return _reply(200, encode_results(job.total, log.results, after))

    # -- responses

    async def _send_reply(self, reply: Reply, send: Send) -> None:
        headers = [
            pair
            for pair in reply.head.headers
            if pair[0].lower() not in HOP_BY_HOP_HEADERS
        ]
        if reply.parts is None and reply.head.status not in NO_BODY_STATUSES:
            headers.append((b"content-length", b"%d" % len(reply.body)))
        if self.is_draining:
            headers.append((b"connection", b"close"))
        start = {"type": "http.response.start", "status": reply.head.status}
        await send({**start, "headers": headers})
        if reply.parts is not None:
            async for part in reply.parts:
                await send(
                    {"type": "http.response.body", "body": part, "more_body": True}
                )
        await send({"type": "http.response.body", "body": reply.body})

    async def _send_error(
        self,
        error: CodedError,
        request_id: str,
        scope: Scope,
        arrived_s: float,
        send: Send,
        unread: Receive | None = None,
    ) -> None:
        """Send an error.

        If `unread` is given, the request's body has not been read. The connection is
        closed unless the rest of it arrives soon.
        """
        status = _http_status(error)
        logger.info(
            "entry: refused" if status in NOT_EXECUTED_STATUSES else "entry: failed",
            request_id=request_id,
            method=scope["method"],
            path=scope["path"][:80],
            status=status,
            code=error.code,
            reason=error.reason,
            ms=int((time.monotonic() - arrived_s) * MS_PER_S),
        )
        self._metrics.add("requests", kind="refused", status=str(status))
        body = error_body(error, request_id)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        ]
        if request_id:
            headers.append((wire.REQUEST_ID, request_id.encode()))
        if error.retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % error.retry_after_s))
        # A client that waits for permission to send its body will not send it now.
        awaits_permission = unread is not None and _header_value(
            tuple(scope["headers"]), b"expect"
        )
        if self.is_draining or awaits_permission:
            headers.append((b"connection", b"close"))
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await send(start)
        if unread is None or awaits_permission:
            await send({"type": "http.response.body", "body": body})
            return
        await send({"type": "http.response.body", "body": body, "more_body": True})
        if not await discard_body(unread, UNREAD_BODY_LIMIT_S):
            raise _StreamBroken
        await send({"type": "http.response.body"})


def _http_status(error: CodedError) -> int:
    """Return the HTTP status of an error.

    429 and 503 guarantee that the request has not run and never will, so they are not
    sent for a write whose outcome is unknown.
    """
    if error.http_status in NOT_EXECUTED_STATUSES and isinstance(error, WriteUnknown):
        return UNKNOWN_OUTCOME_STATUS
    return error.http_status


def _header_value(headers: tuple[tuple[bytes, bytes], ...], name: bytes) -> str:
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return ""


def _resumed_request(headers: tuple[tuple[bytes, bytes], ...], request_id: str) -> str:
    """Return the request that began the stream, an empty string for a new one."""
    resumes = _header_value(headers, wire.RESUMES)
    if not resumes and _header_value(headers, wire.LAST_EVENT_ID):
        return request_id
    return resumes


def _parse_number(text: str, default: float) -> float:
    try:
        value = float(text)
    except ValueError:
        return default
    return value if 0 <= value < 1e12 else default


def _reply(
    status: int, body: bytes, content_type: bytes = b"application/json"
) -> Reply:
    return Reply(ResponseHead(status, ((b"content-type", content_type),)), body)
