"""greengagetack.entry.http: common wrapper of all HTTP handlers."""

from collections.abc import Awaitable, Callable

from loguru import logger
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from greengagetack.daemons.auth import Principal, authenticate
from greengagetack.daemons.responses import error_response
from greengagetack.daemons.role import Services
from greengagetack.errors import CodedError, InvalidRequest, NotReady
from greengagetack.observability.traces import span, use_traceparent

__all__ = ["Handler", "authenticated_route", "team_of"]

NOT_READY_RETRY_S = 1.0
TEAM_HEADER = "x-team"

Handler = Callable[[Request, Principal], Awaitable[Response]]


def team_of(request: Request, principal: Principal) -> str:
    """Return the team that a request acts for.

    An operator specifies the team in the ``X-Team`` header.

    Raises
    ------
    InvalidRequest
        If an operator's request has no ``X-Team`` header.
    """
    if not principal.is_operator:
        return principal.team
    team = request.headers.get(TEAM_HEADER, "")
    if not team:
        raise InvalidRequest("operators must name the team in the X-Team header")
    return team


def authenticated_route(
    services: Services, path: str, handler: Handler, *methods: str
) -> BaseRoute:
    """Return a route whose handler receives the authenticated principal.

    Each request is traced as a span whose parent is the ``traceparent`` header.
    """

    async def handle_traced(request: Request) -> Response:
        with (
            use_traceparent(request.headers.get("traceparent", "")),
            span(f"entry {request.method} {path}") as current,
        ):
            principal = _authenticate(request, services)
            current.set_attribute("team", principal.name)
            return await handler(request, principal)

    async def serve(request: Request) -> Response:
        started_s = services.timer.now_s()
        try:
            response = await handle_traced(request)
        except CodedError as error:
            logger.info("entry: {} {} refused: {}", request.method, path, error.code)
            response = error_response(error)
        duration_s = services.timer.now_s() - started_s
        services.metrics.observe_s("entry_request_seconds", duration_s, path=path)
        services.metrics.add(
            "entry_requests_total", path=path, status=str(response.status_code)
        )
        return response

    return Route(path, serve, methods=list(methods))


def _authenticate(request: Request, services: Services) -> Principal:
    if not services.settings.ready or not services.directory.ready:
        raise NotReady("settings or membership not loaded yet", NOT_READY_RETRY_S)
    return authenticate(request.headers.get("authorization"), services.settings)
