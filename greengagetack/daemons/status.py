"""greengagetack.daemons.status: readiness and metrics over HTTP."""

from collections.abc import Callable
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from greengagetack.daemons.responses import error_response, json_response
from greengagetack.errors import CodedError
from greengagetack.observability.metrics import Metrics

__all__ = ["build_status_application"]

METRICS_MEDIA_TYPE = "text/plain; version=0.0.4"


def build_status_application(
    is_ready: Callable[[], bool],
    metrics: Metrics,
    explain: Callable[[list[tuple[str, str]]], Any] | None = None,
) -> Starlette:
    """Return an application that serves the readiness and the metrics of a daemon.

    `explain` answers ``GET /where`` by its query, None for a daemon without it.
    """

    async def ready(request: Request) -> Response:
        return Response(status_code=200 if is_ready() else 503)

    async def metrics_text(request: Request) -> Response:
        return Response(metrics.render(), media_type=METRICS_MEDIA_TYPE)

    async def where(request: Request) -> Response:
        assert explain is not None
        try:
            return json_response(explain(request.query_params.multi_items()))
        except CodedError as error:
            return error_response(error)

    routes = [Route("/readyz", ready), Route("/metrics", metrics_text)]
    if explain is not None:
        routes.append(Route("/where", where, methods=["GET"]))
    return Starlette(routes=routes)
