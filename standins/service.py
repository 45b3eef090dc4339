"""standins.service: a plain HTTP booking service that logs each request it ran."""

import asyncio
import random
import time
from typing import Any

import click
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from standins.server import drop_connection, json_answer, read_body, run_stand_in

__all__ = ["BookingStandIn", "main"]


class Booking(msgspec.Struct, frozen=True):
    """Body of ``POST /bookings``."""

    box: str
    crew: str


class ServiceFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Injected faults.

    `lose_answers` is the share of requests that run but are not answered.
    """

    refuse: bool = False
    lose_answers: float = 0.0
    slow_s: float = 0.0
    seed: int = 0


class ServiceRun(msgspec.Struct, frozen=True):
    """A request that ran, as the log shows it."""

    method: str
    path: str
    request_id: str
    idempotency_key: str
    body: Any
    at_s: float


class BookingStandIn:
    """Serves the status of boxes and their bookings from memory."""

    def __init__(self) -> None:
        self.faults = ServiceFaults()
        self.runs: list[ServiceRun] = []
        self.bookings: list[Booking] = []
        self.refused = 0
        self._random = random.Random(0)

    def app(self) -> Starlette:
        """Return the application."""
        return Starlette(
            routes=[
                Route("/status/{box}", self._show_status),
                Route("/bookings", self._book, methods=["POST"]),
                Route("/healthz", self._show_health),
                Route("/control/faults", self._set_faults, methods=["POST"]),
                Route("/control/log", self._show_log),
            ]
        )

    async def _show_status(self, request: Request) -> Response:
        box = request.path_params["box"]
        booked = sum(booking.box == box for booking in self.bookings)
        answer = {"box": box, "state": "in order", "bookings": booked}
        return await self._run_and_answer(request, None, answer)

    async def _book(self, request: Request) -> Response:
        try:
            booking = await read_body(request, Booking)
        except msgspec.MsgspecError as error:
            return json_answer(
                {"error": {"code": "bad_request", "reason": str(error)}}, 400
            )
        if self.faults.refuse:
            return self._refuse()
        self.bookings.append(booking)
        answer = {"booking": len(self.bookings), "box": booking.box}
        return await self._run_and_answer(
            request, msgspec.to_builtins(booking), answer, 201
        )

    async def _run_and_answer(
        self, request: Request, body: Any, answer: dict[str, Any], status: int = 200
    ) -> Response:
        if self.faults.refuse:
            return self._refuse()
        self.runs.append(
            ServiceRun(
                request.method,
                request.url.path,
                request.headers.get("x-request-id", ""),
                request.headers.get("idempotency-key", ""),
                body,
                time.time(),
            )
        )
        if self.faults.slow_s > 0:
            await asyncio.sleep(self.faults.slow_s)
        if self._random.random() < self.faults.lose_answers:
            return await drop_connection(request)
        return json_answer(answer, status)

    def _refuse(self) -> Response:
        self.refused += 1
        headers = {"X-Not-Run": "true", "Retry-After": "0.5"}
        return json_answer({"error": {"code": "unavailable"}}, 503, headers)

    async def _show_health(self, request: Request) -> Response:
        return json_answer({"state": "live"})

    async def _set_faults(self, request: Request) -> Response:
        self.faults = await read_body(request, ServiceFaults)
        self._random = random.Random(self.faults.seed)
        return json_answer(self.faults)

    async def _show_log(self, request: Request) -> Response:
        return json_answer({"runs": self.runs, "refused": self.refused})


@click.command()
@click.option("--port", default=0, help="Port; 0 picks a free one.")
@click.option("--latency-s", default=0.0, help="One-way latency added to calls.")
def main(port: int, latency_s: float) -> None:
    """Run the booking stand-in."""
    run_stand_in(BookingStandIn().app(), "service", port, latency_s)


if __name__ == "__main__":
    main()
