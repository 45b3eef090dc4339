"""greengagetack.entry.plain: calls to plain services under ``/services``."""

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
from greengagetack.entry.http import team_of, team_route
from greengagetack.entry.owners import ask_only_owner
from greengagetack.errors import Forbidden, InvalidRequest, NotFound
from greengagetack.keeper.messages import CallService, Header, ServiceAnswer
from greengagetack.observability.logs import REQUEST_ID
from greengagetack.settings.schema import ServiceSettings

__all__ = ["PLAIN_METHODS"]

PLAIN_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
KEY_HEADER = "idempotency-key"
FIRST_ATTEMPT_HEADER = "x-first-attempt"
MAX_KEY_LENGTH = 200
MAX_BODY_BYTES = 4_000_000
OWNER_MARGIN_S = 2.0

# Headers that concern one connection, or only the caller and the entry.
DROPPED_HEADERS = frozenset(
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


def _forwarded(headers: list[tuple[str, str]]) -> tuple[Header, ...]:
    kept: list[Header] = []
    for name, value in headers:
        if name.lower() in DROPPED_HEADERS:
            continue
        kept.append(Header(name, value))
    return tuple(kept)


def _path_as_sent(request: Request) -> str:
    """Return path and query below the service, encoded as the caller sent them.

    Raises
    ------
    InvalidRequest
        If a part of the path is ``.`` or ``..``, which could leave the base URL.
    """
    _, _, _, path = request.scope["raw_path"].decode("ascii").split("/", 3)
    for part in path.split("/"):
        if unquote(part) in (".", ".."):
            raise InvalidRequest("a path to a service may not hold '.' or '..'")
    query = request.scope["query_string"].decode("ascii")
    return f"/{path}?{query}" if query else f"/{path}"


class _PlainCalls:
    """Answers calls to plain services."""

    def __init__(self, services: Services) -> None:
        self._services = services

    async def serve(self, request: Request, principal: Principal) -> Response:
        """Serve any method under ``/services/{name}/``."""
        team = team_of(request, principal)
        service = self._service(request.path_params["name"], team)
        call = await self._to_call(request, team, service)
        answer = await self._send(request, service, call)
        response = Response(answer.body, answer.status)
        for header in answer.headers:
            if header.name.lower() not in DROPPED_HEADERS:
                response.headers[header.name] = header.value
        return response

    def _service(self, name: str, team: str) -> ServiceSettings:
        contract = self._services.settings.team(team)
        if contract is not None and contract.services and name not in contract.services:
            raise Forbidden(f"team {team!r} may not use service {name!r}")
        for service in self._services.settings.fleet().services:
            if service.name == name:
                return service
        raise NotFound(f"no service {name!r}")

    async def _to_call(
        self, request: Request, team: str, service: ServiceSettings
    ) -> CallService:
        path = _path_as_sent(request)
        return CallService(
            endpoint_id="",
            request_id=REQUEST_ID.get(),
            team=team,
            service=service.name,
            method=request.method,
            path=path,
            headers=_forwarded(request.headers.items()),
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
        if len(key) > MAX_KEY_LENGTH or not key.isprintable():
            raise InvalidRequest(
                f"Idempotency-Key: up to {MAX_KEY_LENGTH} printable characters"
            )
        keyed = KeyedCall(
            key=key,
            fingerprint=_fingerprint(call),
            is_first_attempt=request.headers.get(FIRST_ATTEMPT_HEADER) == "true",
            call=call,
        )
        return await ask_only_owner(
            self._services, record_key(keyed), keyed, call.time_left_s + OWNER_MARGIN_S
        )


def _fingerprint(call: CallService) -> str:
    digest = xxhash.xxh3_128()
    digest.update(f"{call.method}\0{call.path}\0".encode())
    digest.update(call.body)
    return digest.hexdigest()


@http_routes
def plain_routes(services: Services) -> list[BaseRoute]:
    """Return the routes for plain services."""
    calls = _PlainCalls(services)
    path = "/services/{name}/{path:path}"
    return [
        team_route(services, path, calls.serve, *PLAIN_METHODS),
    ]
