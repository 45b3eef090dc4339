"""greengagetack.daemons.status: readiness and metrics over HTTP."""

from collections.abc import Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from greengagetack.observability.metrics import Metrics

__all__ = ["build_status_application"]

METRICS_MEDIA_TYPE = "text/plain; version=0.0.4"


def build_status_application(
    is_ready: Callable[[], bool], metrics: Metrics
) -> Starlette:
    """Return an application that serves the readiness and the metrics of a daemon."""

    async def ready(request: Request) -> Response:
        return Response(status_code=200 if is_ready() else 503)

    async def metrics_text(request: Request) -> Response:
        return Response(metrics.render(), media_type=METRICS_MEDIA_TYPE)

    return Starlette(routes=[Route("/readyz", ready), Route("/metrics", metrics_text)])
