"""greengagetack.coordination.server: HTTP endpoints for other daemons."""

from collections.abc import Awaitable, Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from greengagetack.batches.dispatcher import Dispatcher
from greengagetack.batches.reading import JobReader
from greengagetack.coordination.copies import CopyServer
from greengagetack.coordination.duty_endpoints import DutyEndpoints
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
from greengagetack.coordination.relayed import encode_relayed
from greengagetack.errors import CodedError
from greengagetack.facts import FactCursor
from greengagetack.gateway.clients import ClientDisconnected, cancel_on_disconnect
from greengagetack.gateway.detours import RelayedRequest
from greengagetack.gateway.forward import Forwarder
from greengagetack.gateway.stream_origins import StreamOrigins
from greengagetack.gateway.suspects import ProbeRequest, Suspects
from greengagetack.objects.transport import StoreResponse
from greengagetack.replicas.ejections import EjectionNotice, Ejections
from greengagetack.replicas.permits import PermitRequest, Permits, RateLimitNotice

__all__ = ["build_peer_application"]

MAX_READ_WAIT_S = 30.0
BAD_REQUEST = 400
NOT_FOUND = 404
# Nobody reads this status.
CLIENT_CLOSED_REQUEST = 499


def build_peer_application(
    pong: Callable[[FactCursor], Pong],
    reader: JobReader,
    dispatcher: Dispatcher,
    permits: Permits,
    stream_origins: StreamOrigins,
    suspects: Suspects,
    forwarder: Forwarder,
    copies: CopyServer,
    on_ping: Callable[[str], None],
    call_store: Callable[[RelayCall], Awaitable[StoreResponse]],
    ping_reports: PingReports,
    ejections: Ejections,
    duties: DutyEndpoints | None = None,
) -> Starlette:
    """Return the HTTP application that serves a daemon's control address."""

    async def ping(request: Request) -> Response:
        query = request.query_params
        if duties is not None:
            duties.record_ping(query)
        known = FactCursor(query.get("epoch", ""), int(query.get("revision", "0")))
        ping_reports.handle(query)
        on_ping(query.get("node", ""))
        return Response(encode(pong(known)))

    async def segments(request: Request) -> Response:
        job_id = request.path_params["job_id"]
        first = int(request.query_params["first"])
        wait_s = min(MAX_READ_WAIT_S, float(request.query_params["wait_s"]))
        found = await reader.segments(job_id, first, wait_s)
        return Response(encode(Segments(found)))

    async def known_job(request: Request) -> Response:
        job = dispatcher.job_of(request.path_params["job_id"])
        if job is None:
            return Response(status_code=NOT_FOUND)
        return Response(encode(job))

    async def body(request: Request) -> Response:
        job_id, item_id = request.path_params["job_id"], request.path_params["item_id"]
        item = dispatcher.item_of(job_id, item_id)
        if item is None:
            return Response(status_code=NOT_FOUND)
        return Response(item.body)

    async def receive_hint(request: Request) -> Response:
        hint = decode(await request.body(), type=JobHint)
        dispatcher.handle_hint(hint.job_id, hint.is_ended)
        return Response()

    async def permit(request: Request) -> Response:
        wanted = decode(await request.body(), type=PermitRequest)
        return Response(encode(permits.handle_request(wanted)))

    async def rate_limit(request: Request) -> Response:
        permits.handle_notice(decode(await request.body(), type=RateLimitNotice))
        return Response()

    async def crash_reports(request: Request) -> Response:
        received = decode(await request.body(), type=CrashReports)
        suspects.handle_reports(received.reports)
        return Response()

    async def receive_ejection(request: Request) -> Response:
        ejections.handle_notice(decode(await request.body(), type=EjectionNotice))
        return Response()

    async def probe(request: Request) -> Response:
        wanted = decode(await request.body(), type=ProbeRequest)
        return Response(encode(suspects.handle_probe_request(wanted)))

    async def has_path(request: Request) -> Response:
        service = request.path_params["service"]
        is_usable = not forwarder.is_stopping and await forwarder.paths.check(service)
        return Response(encode(is_usable))

    async def attempts(request: Request) -> Response:
        relayed = decode(await request.body(), type=RelayedRequest)
        pending = forwarder.send_relayed(relayed)
        try:
            attempt = await cancel_on_disconnect(pending, request.receive)
        except ClientDisconnected:
            return Response(status_code=CLIENT_CLOSED_REQUEST)
        return StreamingResponse(encode_relayed(attempt))

    async def record_origins(request: Request) -> Response:
        recorded = decode(await request.body(), type=RecordedOrigins)
        stream_origins.remember(recorded.origins)
        return Response()

    async def stream_origin(request: Request) -> Response:
        software = stream_origins.known(request.path_params["request_id"])
        return Response(encode(StreamOriginAnswer(software)))

    async def progress(request: Request) -> Response:
        return Response(encode(HandOver(dispatcher.deactivate())))

    async def store(request: Request) -> Response:
        call = decode(await request.body(), type=RelayCall)
        return Response(encode(await call_store(call)))

    async def error_response(request: Request, error: Exception) -> Response:
        status = error.http_status if isinstance(error, CodedError) else BAD_REQUEST
        return Response(str(error), status)

    return Starlette(
        routes=[
            Route("/peer/ping", ping),
            Route("/peer/segments/{job_id}", segments),
            Route("/peer/jobs/{job_id}", known_job),
            Route("/peer/bodies/{job_id}/{item_id}", body),
            Route("/peer/objects/{prefix:path}", copies.handle),
            Route("/peer/jobs", receive_hint, methods=["POST"]),
            Route("/peer/permits", permit, methods=["POST"]),
            Route("/peer/rate-limits", rate_limit, methods=["POST"]),
            Route("/peer/crash-reports", crash_reports, methods=["POST"]),
            Route("/peer/ejections", receive_ejection, methods=["POST"]),
            Route("/peer/paths/{service}", has_path),
            Route("/peer/attempts", attempts, methods=["POST"]),
            Route("/peer/probes", probe, methods=["POST"]),
            Route("/peer/stream-origins", record_origins, methods=["POST"]),
            Route("/peer/stream-origins/{request_id}", stream_origin),
            Route("/peer/progress", progress, methods=["POST"]),
            Route("/peer/store", store, methods=["POST"]),
            *(() if duties is None else duties.routes()),
        ],
        exception_handlers={
            CodedError: error_response,
            ValueError: error_response,
            KeyError: error_response,
        },
    )
