"""greengagetack.entry.operations: status and trace routes for operators."""

import asyncio
from dataclasses import dataclass

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import BaseRoute

from greengagetack import __version__
from greengagetack.daemons.auth import Principal
from greengagetack.daemons.role import Role, Services, http_routes, role
from greengagetack.entry.http import authenticated_route
from greengagetack.errors import NotFound
from greengagetack.observability.traces import SpanRecord
from greengagetack.peers.codec import message
from greengagetack.settings.view import SettingsVersion
from greengagetack.world import Vm

__all__ = [
    "CollectSpans",
    "CollectedSpans",
    "DaemonStatus",
    "DescribeDaemon",
    "OperationsRole",
]

REQUEST_TIMEOUT_S = 2.0


@message("describe-daemon")
@dataclass(frozen=True, slots=True)
class DescribeDaemon:
    """Request the status of a daemon."""


@message("daemon-status")
@dataclass(frozen=True, slots=True)
class DaemonStatus:
    """State of one daemon: its cell table, its settings, whether it is the lead."""

    vm_id: str
    availability_zone: str
    version: str
    table_revision: int
    lead_vm_id: str
    is_lead: bool
    settings: tuple[SettingsVersion, ...]


@message("collect-spans")
@dataclass(frozen=True, slots=True)
class CollectSpans:
    """Request the spans that a daemon has recorded for a request."""

    request_id: str


@message("collected-spans")
@dataclass(frozen=True, slots=True)
class CollectedSpans:
    """The spans that one daemon has recorded for a request."""

    spans: tuple[SpanRecord, ...]


@role
class OperationsRole(Role):
    """Answers status and trace messages on each daemon."""

    name = "operations"
    started_by = ""

    async def start(self) -> None:
        """Register the message handlers."""
        self.services.peers.handle(DescribeDaemon, self._describe_daemon)
        self.services.peers.handle(CollectSpans, self._collect_spans)

    async def _describe_daemon(
        self, sender_vm_id: str, body: DescribeDaemon
    ) -> DaemonStatus:
        services = self.services
        table = services.directory.table()
        return DaemonStatus(
            vm_id=services.vm.vm_id,
            availability_zone=services.vm.availability_zone,
            version=__version__,
            table_revision=table.revision,
            lead_vm_id=table.lead_vm_id,
            is_lead=services.directory.is_lead(),
            settings=services.settings.versions(),
        )

    async def _collect_spans(
        self, sender_vm_id: str, body: CollectSpans
    ) -> CollectedSpans:
        return CollectedSpans(self.services.spans.spans(body.request_id))


class _Operations:
    """Handles operators' requests by querying all members."""

    def __init__(self, services: Services) -> None:
        self._services = services

    async def show_status(self, request: Request, principal: Principal) -> Response:
        """Serve ``GET /v1/status``."""
        members = self._services.directory.table().members
        answers = await self._request_all(members, DescribeDaemon())
        daemons = []
        for vm, answer in zip(members, answers, strict=True):
            has_answered = isinstance(answer, DaemonStatus)
            daemons.append(
                {
                    "vm_id": vm.vm_id,
                    "availability_zone": vm.availability_zone,
                    "http": str(vm.http),
                    "state": vm.state.value,
                    "answers": has_answered,
                    "status": msgspec.to_builtins(answer) if has_answered else None,
                }
            )
        table = self._services.directory.table()
        return JSONResponse(
            {
                "cell": table.cell,
                "lead": table.lead_vm_id,
                "lead_epoch": table.lead_epoch,
                "table_revision": table.revision,
                "daemons": daemons,
            }
        )

    async def show_trace(self, request: Request, principal: Principal) -> Response:
        """Serve ``GET /v1/traces/{request_id}``."""
        request_id = request.path_params["request_id"]
        members = self._services.directory.table().members
        answers = await self._request_all(members, CollectSpans(request_id))
        spans = [
            span
            for answer in answers
            if isinstance(answer, CollectedSpans)
            for span in answer.spans
        ]
        if not spans or not _may_view(principal, spans):
            raise NotFound(f"no daemon has a trace of request {request_id!r}")
        spans.sort(key=lambda span: span.started_s)
        return JSONResponse({"spans": msgspec.to_builtins(spans)})

    async def _request_all(
        self, members: tuple[Vm, ...], body: DescribeDaemon | CollectSpans
    ) -> list[object]:
        peers = self._services.peers
        requests = [peers.request(vm.vm_id, body, REQUEST_TIMEOUT_S) for vm in members]
        return await asyncio.gather(*requests, return_exceptions=True)


def _may_view(principal: Principal, spans: list[SpanRecord]) -> bool:
    """Whether the principal is an operator or the team that sent the request."""
    if principal.is_operator:
        return True
    return any(("team", principal.team) in span.attributes for span in spans)


@http_routes
def operation_routes(services: Services) -> list[BaseRoute]:
    """Return the operator routes."""
    operations = _Operations(services)
    return [
        authenticated_route(services, "/v1/status", operations.show_status, "GET"),
        authenticated_route(
            services, "/v1/traces/{request_id:path}", operations.show_trace, "GET"
        ),
    ]
