"""greengagetack.entry.service_calls: forwards calls to services under ``/services``."""

from urllib.parse import unquote

import xxhash
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute

from greengagetack.calls.keyed import record_key
from greengagetack.calls.messages import KeyedCall
from greengagetack.daemons.auth import Principal
from greengagetack.daemons.limits import read_body
from greengagetack.daemons.role import Services, http_routes
from greengagetack.entry.http import authenticated_route, team_of
from greengagetack.entry.owners import send_to_owner
from greengagetack.errors import Forbidden, InvalidRequest, NotFound
from greengagetack.keeper.messages import CallService, Header, ServiceAnswer
from greengagetack.observability.logs import REQUEST_ID
from greengagetack.settings.schema import ServiceSettings

__all__ = ["SERVICE_METHODS"]

SERVICE_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
KEY_HEADER = "idempotency-key"
FIRST_ATTEMPT_HEADER = "x-first-attempt"
MAX_KEY_CHARACTERS = 200
MAX_BODY_BYTES = 4_000_000
OWNER_TIMEOUT_MARGIN_S = 2.0

# Headers of a single connection, and headers meant only for the caller or the entry.
UNFORWARDED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    }
)


def _forwarded_headers(headers: list[tuple[str, str]]) -> tuple[Header, ...]:
    forwarded: list[Header] = []
    for name, value in headers:
        if name.lower() in UNFORWARDED_HEADERS:
            continue
        forwarded.append(Header(name, value))
    return tuple(forwarded)


def _raw_path_and_query(request: Request) -> str:
    """Return the path below the service and the query, encoded as received.

    Raises
    ------
    InvalidRequest
        If a path segment is ``.`` or ``..``, which could escape the base URL.
    """
    _, _, _, path = request.scope["raw_path"].decode("ascii").split("/", 3)
    for segment in path.split("/"):
        if unquote(segment) in (".", ".."):
            raise InvalidRequest("the path must not have '.' or '..' segments")
    query = request.scope["query_string"].decode("ascii")
    return f"/{path}?{query}" if query else f"/{path}"


class _ServiceCalls:
    """Handles calls to services."""

    def __init__(self, services: Services) -> None:
        self._services = services

    async def serve(self, request: Request, principal: Principal) -> Response:
        """Serve all methods of `SERVICE_METHODS` under ``/services/{name}/``."""
        team = team_of(request, principal)
        service = self._service_settings(request.path_params["name"], team)
        call = await self._make_call(request, team, service)
        answer = await self._send(request, service, call)
        response = Response(answer.body, answer.status)
        for header in answer.headers:
            if header.name.lower() not in UNFORWARDED_HEADERS:
                response.headers[header.name] = header.value
        return response

    def _service_settings(self, name: str, team: str) -> ServiceSettings:
        team_settings = self._services.settings.team(team)
        if (
            team_settings is not None
            and team_settings.services
            and name not in team_settings.services
        ):
            raise Forbidden(f"team {team!r} may not use service {name!r}")
        for service in self._services.settings.fleet().services:
            if service.name == name:
                return service
        raise NotFound(f"service {name!r} does not exist")

    async def _make_call(
        self, request: Request, team: str, service: ServiceSettings
    ) -> CallService:
        path = _raw_path_and_query(request)
        return CallService(
            endpoint_id="",
            request_id=REQUEST_ID.get(),
            team=team,
            service=service.name,
            method=request.method,
            path=path,
            headers=_forwarded_headers(request.headers.items()),
            body=await read_body(request, MAX_BODY_BYTES),
            time_left_s=service.timeout_s,
        )

    async def _send(
        self, request: Request, service: ServiceSettings, call: CallService
    ) -> ServiceAnswer:
        idempotent = call.method in service.idempotent_methods
        key = request.headers.get(KEY_HEADER, "")
        if idempotent or not key:
            relay = self._services.routing.service_relay
            return await relay.call(call, idempotent=idempotent)
        if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
            raise InvalidRequest(
                f"Idempotency-Key: up to {MAX_KEY_CHARACTERS} printable characters"
            )
        keyed = KeyedCall(
            key=key,
            fingerprint=_fingerprint(call),
            is_first_attempt=request.headers.get(FIRST_ATTEMPT_HEADER) == "true",
            call=call,
        )
        return await send_to_owner(
            self._services,
            record_key(keyed),
            keyed,
            call.time_left_s + OWNER_TIMEOUT_MARGIN_S,
        )


def _fingerprint(call: CallService) -> str:
    digest = xxhash.xxh3_128()
    digest.update(f"{call.method}\0{call.path}\0".encode())
    digest.update(call.body)
    return digest.hexdigest()


@http_routes
def service_routes(services: Services) -> list[BaseRoute]:
    """Return the routes to services."""
    calls = _ServiceCalls(services)
    path = "/services/{name}/{path:path}"
    return [
        authenticated_route(services, path, calls.serve, *SERVICE_METHODS),
    ]
