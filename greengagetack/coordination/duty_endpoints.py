"""greengagetack.coordination.duty_endpoints: HTTP endpoints for duties and usage."""

import zlib
from collections.abc import Mapping
from typing import Protocol

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from greengagetack.accounting.clock import FleetClock
from greengagetack.accounting.windows import UsageBundle
from greengagetack.coordination.duty_api import DutyApi
from greengagetack.coordination.duty_board import DutyBoard, DutyHeartbeat
from greengagetack.coordination.duty_seat import DutySeat
from greengagetack.coordination.messages import decode, encode
from greengagetack.scaling.endpoints import ScalingEndpoints

__all__ = ["DutyEndpoints", "UsageReceiver"]

MAX_BUNDLE_BYTES = 64 * 1024 * 1024


class UsageReceiver(Protocol):
    """Takes the counts of other daemons."""

    def receive(self, bundle: UsageBundle) -> None:
        """Merge counts of other daemons."""


class DutyEndpoints:
    """Answers heartbeats, questions about the API, counts and clock offsets."""

    def __init__(
        self,
        board: DutyBoard,
        api: DutyApi,
        clock: FleetClock,
        usage: UsageReceiver,
    ) -> None:
        self._board = board
        self._api = api
        self._clock = clock
        self._usage = usage
        self.seats: list[DutySeat] = []
        # Set if the deployment scales its services.
        self.scaling: ScalingEndpoints | None = None

    def record_ping(self, query: Mapping[str, str]) -> None:
        """Record the offset of a clock that a ping tells."""
        offset_ms = query.get("offset_ms")
        if offset_ms is not None and query.get("node"):
            self._clock.record_offset(query.get("node", ""), float(offset_ms))

    async def _heartbeat(self, request: Request) -> Response:
        heartbeat = decode(await request.body(), type=DutyHeartbeat)
        for seat in self.seats:
            seat.hear(heartbeat)
        return Response(encode(self._board.receive(heartbeat)))

    async def _api_path(self, request: Request) -> Response:
        return Response(encode(await self._api.is_reachable()))

    async def _receive_usage(self, request: Request) -> Response:
        body = await request.body()
        if request.query_params.get("packed"):
            body = _unpacked(body)
        self._usage.receive(decode(body, type=UsageBundle))
        return Response()

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the control address."""
        return (
            Route("/peer/duties", self._heartbeat, methods=["POST"]),
            Route("/peer/api-path", self._api_path),
            Route("/peer/usage", self._receive_usage, methods=["POST"]),
            *(() if self.scaling is None else self.scaling.routes()),
        )


def _unpacked(body: bytes) -> bytes:
    """Return the content of a compressed body.

    Raises
    ------
    ValueError
        If it is not valid, or too large.
    """
    unpacking = zlib.decompressobj()
    try:
        content = unpacking.decompress(body, MAX_BUNDLE_BYTES)
    except zlib.error as error:
        raise ValueError(f"the body cannot be decompressed: {error}") from error
    if unpacking.unconsumed_tail:
        raise ValueError(f"the body has more than {MAX_BUNDLE_BYTES} bytes")
    return content
