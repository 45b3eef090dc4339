"""greengagetack.entry.http: what all HTTP handlers share."""

import uuid
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from loguru import logger
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import BaseRoute, Route

from greengagetack.daemons.auth import Principal, authenticate
from greengagetack.daemons.role import Services
from greengagetack.documents import convert_document, parse_json
from greengagetack.errors import CodedError, InvalidRequest, NotReady
from greengagetack.observability.logs import REQUEST_ID
from greengagetack.observability.traces import attached, span

__all__ = ["error_body", "error_response", "read_body", "team_of", "team_route"]

MAX_REQUEST_ID_LENGTH = 128
NOT_READY_RETRY_S = 1.0
TEAM_HEADER = "x-team"

T = TypeVar("T")
Handler = Callable[[Request, Principal], Awaitable[Response]]


def error_body(error: CodedError) -> dict[str, Any]:
    """Return the JSON value that describes an error to HTTP clients."""
    return {
        "error": {
            "code": error.code,
            "reason": error.reason,
            "outcome": error.outcome.value,
            "remedy": error.remedy,
            "retry_after_s": error.retry_after_s,
            "request_id": REQUEST_ID.get(),
        }
    }


def error_response(error: CodedError) -> Response:
    """Return the HTTP answer for an error, with ``Retry-After`` where it has one."""
    response = JSONResponse(error_body(error), error.http_status)
    if error.retry_after_s is not None:
        response.headers["Retry-After"] = f"{max(1, round(error.retry_after_s))}"
    return response


async def read_body(request: Request, body_type: type[T]) -> T:
    """Return the JSON body of a request as a frozen data class.

    Raises
    ------
    InvalidDocument
        With all problems and their paths.
    """
    return convert_document(parse_json(await request.body()), body_type)


def team_of(request: Request, principal: Principal) -> str:
    """Return the team that a request acts for.

    An operator names it in the ``X-Team`` header.

    Raises
    ------
    InvalidRequest
        If an operator's request names no team.
    """
    if not principal.is_operator:
        return principal.team
    team = request.headers.get(TEAM_HEADER, "")
    if not team:
        raise InvalidRequest("an operator names the team in the X-Team header")
    return team


def _request_id(request: Request) -> str:
    given = request.headers.get("x-request-id", "")
    if not given:
        return uuid.uuid4().hex
    if len(given) > MAX_REQUEST_ID_LENGTH or not given.isprintable():
        raise InvalidRequest(
            f"X-Request-Id: up to {MAX_REQUEST_ID_LENGTH} printable characters"
        )
    return given


def team_route(
    services: Services, path: str, handler: Handler, *methods: str
) -> BaseRoute:
    """Return a route whose handler gets the authenticated principal.

    Each request is one span under the caller's ``traceparent``; errors become
    coded answers.
    """

    async def serve(request: Request) -> Response:
        REQUEST_ID.set("-")
        started_s = services.timer.now_s()
        try:
            REQUEST_ID.set(_request_id(request))
            with (
                attached(request.headers.get("traceparent", "")),
                span(f"entry {request.method} {path}") as current,
            ):
                principal = _principal_of(request)
                current.set_attribute("team", principal.name)
                response = await handler(request, principal)
        except CodedError as error:
            logger.info("entry: {} {} refused: {}", request.method, path, error.code)
            response = error_response(error)
        response.headers["X-Request-Id"] = REQUEST_ID.get()
        duration_s = services.timer.now_s() - started_s
        services.metrics.observe_s("entry_request_seconds", duration_s, path=path)
        services.metrics.add(
            "entry_requests_total", path=path, status=str(response.status_code)
        )
        return response

    def _principal_of(request: Request) -> Principal:
        if not services.settings.ready or not services.directory.ready:
            raise NotReady("settings or membership not known yet", NOT_READY_RETRY_S)
        return authenticate(request.headers.get("authorization"), services.settings)

    return Route(path, serve, methods=list(methods))
