"""greengagetack.daemons.status: readiness and metrics over HTTP."""

from collections.abc import Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from greengagetack.observability.metrics import Metrics

__all__ = ["build_status_application"]

METRICS_TYPE = "text/plain; version=0.0.4"


def build_status_application(
    is_ready: Callable[[], bool], metrics: Metrics
) -> Starlette:
    """Return the application that says whether a daemon is ready and what it counts."""

    async def ready(request: Request) -> Response:
        return Response(status_code=200 if is_ready() else 503)

    async def counts(request: Request) -> Response:
        return Response(metrics.render(), media_type=METRICS_TYPE)

    return Starlette(routes=[Route("/readyz", ready), Route("/metrics", counts)])
