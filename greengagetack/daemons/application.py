"""greengagetack.daemons.application: the HTTP application of a daemon."""

from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import BaseRoute, Route

from greengagetack.daemons.assembly import Daemon, Readiness
from greengagetack.daemons.limits import LimitsMiddleware
from greengagetack.daemons.responses import EXCEPTION_HANDLERS
from greengagetack.daemons.role import ROUTE_SOURCES

__all__ = ["build_application"]

NOT_READY_STATUS = 503


def build_application(daemon: Daemon) -> Starlette:
    """Return the application; that of an entry also has all registered routes."""
    services = daemon.services

    async def healthy(request: Request) -> Response:
        return JSONResponse({"state": "alive"})

    async def ready(request: Request) -> Response:
        state = daemon.readiness()
        status = 200 if state is Readiness.READY else NOT_READY_STATUS
        return JSONResponse({"state": state.value}, status)

    async def metrics(request: Request) -> Response:
        content = services.metrics.render()
        return Response(content, media_type="text/plain; version=0.0.4")

    routes: list[BaseRoute] = [
        Route("/healthz", healthy),
        Route("/readyz", ready),
        Route("/metrics", metrics),
    ]
    if "entry" in services.vm.roles:
        for source in ROUTE_SOURCES:
            routes.extend(source(services))
    return Starlette(
        routes=routes,
        middleware=[Middleware(LimitsMiddleware)],
        exception_handlers=EXCEPTION_HANDLERS,
    )
