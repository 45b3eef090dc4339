"""greengagetack.scaling.endpoints: HTTP endpoint for the holder of the scaling duty."""

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from greengagetack.batches.dispatcher import Dispatcher
from greengagetack.scaling.demand import DemandSource

__all__ = ["ScalingEndpoints"]

NOT_FOUND = 404


class ScalingEndpoints:
    """Answers with the demand."""

    def __init__(self, source: DemandSource, dispatcher: Dispatcher) -> None:
        self._source = source
        self._dispatcher = dispatcher

    async def _demand(self, request: Request) -> Response:
        if not self._dispatcher.is_active:
            return Response(status_code=NOT_FOUND)
        query = request.query_params
        self._source.keep_standing(query.get("standing", ""))
        report = self._source.report("wants_standing" in query)
        return Response(msgspec.msgpack.encode(report))

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the control address."""
        return (Route("/peer/demand", self._demand),)
