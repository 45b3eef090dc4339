"""greengagetack.weights.routes: HTTP routes for announcing weight versions."""

from dataclasses import dataclass
from typing import Any

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute

from greengagetack.daemons.auth import Principal
from greengagetack.daemons.limits import read_json
from greengagetack.daemons.responses import json_response
from greengagetack.daemons.role import Services, http_routes
from greengagetack.entry.http import authenticated_route
from greengagetack.errors import Forbidden, NotReady
from greengagetack.weights.messages import AnnounceVersion, GetRollout

__all__ = ["VersionBody", "weights_routes"]

LEAD_TIMEOUT_S = 3.0
NO_LEAD_RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class VersionBody:
    """Body of ``POST /v1/models/{model}/versions``."""

    version: int


def _check_model(services: Services, principal: Principal, model: str) -> None:
    if principal.is_operator:
        return
    settings = services.settings.team(principal.team)
    if settings is None or model not in settings.models:
        raise Forbidden(f"team {principal.team!r} has no access to model {model!r}")


async def _request_lead(services: Services, body: Any) -> Any:
    lead = services.directory.table().lead_vm_id
    if not lead:
        raise NotReady("the cell currently has no lead", NO_LEAD_RETRY_S)
    return await services.peers.request(lead, body, LEAD_TIMEOUT_S)


@http_routes
def weights_routes(services: Services) -> list[BaseRoute]:
    """Return the routes for weight versions."""

    async def announce(request: Request, principal: Principal) -> Response:
        model = request.path_params["model"]
        _check_model(services, principal, model)
        body = await read_json(request, VersionBody)
        message = AnnounceVersion(model, body.version, principal.name)
        return json_response(await _request_lead(services, message))

    async def status(request: Request, principal: Principal) -> Response:
        model = request.path_params["model"]
        _check_model(services, principal, model)
        return json_response(await _request_lead(services, GetRollout(model)))

    versions_path = "/v1/models/{model}/versions"
    return [
        authenticated_route(services, versions_path, announce, "POST"),
        authenticated_route(services, versions_path, status, "GET"),
    ]
