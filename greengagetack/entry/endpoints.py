"""greengagetack.entry.endpoints: lists endpoints and their keepers for operators."""

import asyncio
from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute

from greengagetack.daemons.auth import Principal, require_operator
from greengagetack.daemons.responses import json_response
from greengagetack.daemons.role import Services, http_routes
from greengagetack.entry.http import authenticated_route
from greengagetack.errors import CodedError
from greengagetack.keeper.messages import EndpointLoad, ProbeEndpoints, ProbeReply
from greengagetack.world import Endpoint

__all__ = ["EndpointList", "EndpointStatus", "endpoint_routes"]

PROBE_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Location and keeper of an endpoint, and the load that the keeper reports.

    `state` is ``live``, ``leaving``, ``ejected``, or ``unknown`` if the keeper
    did not answer.
    """

    endpoint_id: str
    kind: str
    name: str
    availability_zone: str
    keeper_vm_id: str
    state: str
    weight_version: int | None
    running: int | None
    waiting: int | None
    slots: int
    tokens_per_s: float | None
    expected_wait_s: float | None
    url: str


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The answer to ``GET /v1/endpoints``."""

    endpoints: tuple[EndpointStatus, ...]


class _Endpoints:
    """Collects the load of endpoints from their keepers."""

    def __init__(self, services: Services) -> None:
        self._services = services

    async def list_endpoints(self, request: Request, principal: Principal) -> Response:
        """Serve ``GET /v1/endpoints``."""
        require_operator(principal)
        endpoints = self._services.settings.fleet().endpoints
        endpoint_ids_by_keeper: dict[str, list[str]] = {}
        for endpoint in endpoints:
            keeper = self._keeper_of(endpoint.endpoint_id)
            endpoint_ids_by_keeper.setdefault(keeper, []).append(endpoint.endpoint_id)
        keepers = [vm_id for vm_id in endpoint_ids_by_keeper if vm_id]
        answers = await asyncio.gather(
            *[
                self._probe_loads(vm_id, tuple(endpoint_ids_by_keeper[vm_id]))
                for vm_id in keepers
            ]
        )
        loads: dict[str, EndpointLoad] = {}
        answered: set[str] = set()
        for vm_id, answer in zip(keepers, answers, strict=True):
            if answer is None:
                continue
            answered.update(endpoint_ids_by_keeper[vm_id])
            loads.update({load.endpoint_id: load for load in answer.loads})
        statuses = [
            self._status_of(
                endpoint,
                loads.get(endpoint.endpoint_id),
                endpoint.endpoint_id in answered,
            )
            for endpoint in endpoints
        ]
        return json_response(EndpointList(tuple(statuses)))

    def _keeper_of(self, endpoint_id: str) -> str:
        for assignment in self._services.directory.table().keepers:
            if assignment.endpoint_id == endpoint_id:
                return assignment.keeper_vm_id
        return ""

    async def _probe_loads(
        self, vm_id: str, endpoint_ids: tuple[str, ...]
    ) -> ProbeReply | None:
        try:
            answer = await self._services.peers.request(
                vm_id, ProbeEndpoints(endpoint_ids), PROBE_TIMEOUT_S
            )
        except CodedError:
            return None
        return answer if isinstance(answer, ProbeReply) else None

    def _status_of(
        self, endpoint: Endpoint, load: EndpointLoad | None, answered: bool
    ) -> EndpointStatus:
        return EndpointStatus(
            endpoint.endpoint_id,
            endpoint.kind.value,
            endpoint.name,
            endpoint.availability_zone,
            self._keeper_of(endpoint.endpoint_id),
            self._state_of(endpoint, load, answered),
            load.weight_version if load else None,
            load.running if load else None,
            load.waiting if load else None,
            endpoint.slots,
            load.tokens_per_s if load else None,
            load.expected_wait_s if load else None,
            endpoint.url,
        )

    def _state_of(
        self, endpoint: Endpoint, load: EndpointLoad | None, answered: bool
    ) -> str:
        """Return the state; a service reports no load, so an answer means live."""
        if self._services.directory.is_leaving(endpoint.endpoint_id):
            return "leaving"
        if not answered:
            return "unknown"
        if load is None:
            return "live"
        if load.leaving:
            return "leaving"
        return "ejected" if load.ejected else "live"


@http_routes
def endpoint_routes(services: Services) -> list[BaseRoute]:
    """Return the route that lists endpoints."""
    endpoints = _Endpoints(services)
    return [
        authenticated_route(services, "/v1/endpoints", endpoints.list_endpoints, "GET")
    ]
