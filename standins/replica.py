"""standins.replica: a stand-in for a replica on the platform, with faults."""

import asyncio
import json
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from standins.identities import ReceivedIdentity, received_identity
from standins.server import drop_connection

__all__ = ["Replica", "ReplicaFault", "output_of", "seal_of"]

MODEL = "m0"
LOAD_S = 0.2
FOREVER_S = 3_600.0


def output_of(item_id: str, count: int) -> str:
    """Return the whole output of an item with `count` events."""
    return "\n".join(f"{item_id}:{number}" for number in range(1, count + 1))


def seal_of(request_id: str) -> str:
    """Return the seal of a replica's response to a request."""
    return f"seal.{request_id}"


@dataclass
class ReplicaFault:
    """Faults that are injected into the replica.

    Attributes
    ----------
    break_after : int
        Number of events after which each stream breaks, 0 for never.
    silent : bool
        Accepts requests and never answers.
    slowdown_factor : float
        Factor by which the time between events grows.
    late_orders : int
        Number of next orders that get no answer and are carried out later.
    failures : int
        Number of next requests that are answered with 500.
    unprocessable_items : set of str
        Items that are answered with 422.
    foreign_answers : int
        Number of next answers that carry another request's identifier.
    failing_ids : set of str
        Requests that are always answered with 500.
    leaving : bool
        Announces in every answer that the replica leaves.
    rate_limit : str
        Requests a second that every answer names as the replica's limit.
    crashing_paths : set of str
        Paths of requests under which the replica's process ends.
    reset_paths : set of str
        Paths of requests whose connections are reset, without an end of the process.
    """

    break_after: int = 0
    silent: bool = False
    slowdown_factor: float = 1.0
    late_orders: int = 0
    failures: int = 0
    unprocessable_items: set[str] = field(default_factory=set)
    foreign_answers: int = 0
    failing_ids: set[str] = field(default_factory=set)
    leaving: bool = False
    rate_limit: str = ""
    crashing_paths: set[str] = field(default_factory=set)
    reset_paths: set[str] = field(default_factory=set)


class Replica:
    """Answers requests, streams items and accepts orders.

    `arrivals` lists (request id, after event, version) of each request that it ran,
    `orders` (holder, fence, version) of each order that it accepted.
    """

    def __init__(
        self, replica_id: str, slots: int = 4, events: int = 5, event_s: float = 0.01
    ) -> None:
        self.replica_id = replica_id
        self.slots = slots
        self.events = events
        self.event_s = event_s
        self.version = 1
        self.software = "v1"
        # Unix time of the process's start, in milliseconds.
        self.started_ms = 1
        # Ends the replica's process.
        self.on_crash: Callable[[], None] = lambda: None
        # Paths of the requests that it ran, with the monotonic time of their arrival.
        self.arrived_paths: list[tuple[str, float]] = []
        self.running = 0
        self.accepted_orders = 0
        self.is_loading = False
        self.fault = ReplicaFault()
        self.arrivals: list[tuple[str, str, int]] = []
        # Monotonic time of each request's arrival and of the end of its answer.
        self.arrived_s: list[tuple[str, float]] = []
        self.ended_s: dict[str, float] = {}
        # Number of the last event sent of each request.
        self.sent_events: dict[str, int] = {}
        self.interrupted_ids: list[str] = []
        # Requests whose caller left before the head of the response.
        self.unanswered_ids: set[str] = set()
        self.orders: list[tuple[str, int, int]] = []
        # Monotonic time, holder and fence of each order that arrived.
        self.order_arrivals: list[tuple[float, str, int]] = []
        self.bodies: dict[str, bytes] = {}
        # Of each request, also of those that it refused.
        self.identities: list[ReceivedIdentity] = []
        self.app = Starlette(
            routes=[
                Route("/report", self._handle_report),
                Route("/order", self._handle_order, methods=["POST"]),
                Route(
                    "/{path:path}", self._handle_request, methods=["GET", "POST", "PUT"]
                ),
            ]
        )

    async def _handle_report(self, request: Request) -> Response:
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        return _json(
            {
                "models": models,
                "busy": self.is_loading,
                "sequence": self.accepted_orders,
                "running": self.running,
            }
        )

    async def _handle_order(self, request: Request) -> Response:
        order = await request.json()
        arrival = (time.monotonic(), order["holder"], order["fence"])
        self.order_arrivals.append(arrival)
        if request.headers.get("x-expect-instance", self.replica_id) != self.replica_id:
            return Response(status_code=421)
        if self.fault.late_orders > 0:
            self.fault.late_orders -= 1
            asyncio.get_running_loop().call_later(1.5, self._accept_order, order)
            await asyncio.sleep(FOREVER_S)
        return Response(status_code=self._accept_order(order))

    def _accept_order(self, order: dict[str, Any]) -> int:
        if order["version"] == self.version:
            return 200
        expected = order.get("precondition", self.accepted_orders)
        if self.is_loading or expected != self.accepted_orders:
            return 409
        self.accepted_orders += 1
        self.orders.append((order["holder"], order["fence"], order["version"]))
        self.is_loading = True
        loop = asyncio.get_running_loop()
        loop.call_later(LOAD_S, self._finish_load, order["version"])
        return 202

    def _finish_load(self, version: int) -> None:
        self.version = version
        self.is_loading = False

    async def _handle_request(self, request: Request) -> Response:
        request_id = request.headers.get("x-request-id", "")
        body = await request.body()
        self.identities.append(received_identity(request, request_id, body))
        seal = {"x-request-id": request_id, "x-response-seal": seal_of(request_id)}
        if self.fault.leaving:
            seal["server-leaving"] = "1"
        if self.fault.rate_limit:
            seal["server-limit"] = self.fault.rate_limit
        if request.headers.get("x-expect-instance", self.replica_id) != self.replica_id:
            return Response(status_code=421)
        if self.running >= self.slots or self.is_loading:
            return Response(status_code=503, headers={**seal, "x-not-executed": "1"})
        self.arrived_s.append((request_id, time.monotonic()))
        after = request.headers.get("last-event-id", "")
        self.arrivals.append((request_id, after, self.version))
        path = request.url.path
        self.arrived_paths.append((path, time.monotonic()))
        self.bodies[request_id] = body
        if path in self.fault.crashing_paths:
            await asyncio.sleep(self.event_s)
            self.on_crash()
            await asyncio.sleep(FOREVER_S)
        if path in self.fault.reset_paths:
            return await drop_connection(request)
        if self.fault.silent:
            await asyncio.sleep(FOREVER_S)
        if request_id in self.fault.failing_ids:
            return Response(status_code=500, headers=seal)
        if self.fault.failures > 0:
            self.fault.failures -= 1
            return Response(status_code=500, headers=seal)
        if request_id in self.fault.unprocessable_items:
            return Response(status_code=422, headers=seal)
        if self.fault.foreign_answers > 0:
            self.fault.foreign_answers -= 1
            seal["x-request-id"] = "another"
        if "x-model" not in request.headers:
            await self._simulate_work(request, request_id)
            return Response(b"answer to " + request_id.encode(), headers=seal)
        headers = {
            **seal,
            "x-weight-versions": str(self.version),
            "x-software": self.software,
        }
        first = int(after) + 1 if after else 1
        return StreamingResponse(
            self._stream_events(request_id, first),
            headers=headers,
            media_type="text/event-stream",
        )

    async def _simulate_work(self, request: Request, request_id: str) -> None:
        """Wait for the duration of one request; record a client that disconnects."""
        until_s = time.monotonic() + self.event_s * self.fault.slowdown_factor
        while time.monotonic() < until_s:
            await asyncio.sleep(min(0.02, self.event_s))
            if await request.is_disconnected():
                self.interrupted_ids.append(request_id)
                self.unanswered_ids.add(request_id)
                return

    async def _stream_events(self, request_id: str, first: int) -> AsyncIterator[bytes]:
        self.running += 1
        version = self.version
        is_complete = False
        try:
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.event_s * self.fault.slowdown_factor)
                if self.fault.break_after and number - first >= self.fault.break_after:
                    yield b"id: %d\nda" % number
                    raise ConnectionResetError("stream broken by an injected fault")
                change = b""
                if self.version != version:
                    version = self.version
                    change = b"x-weight-versions: %d\n" % version
                data = f"{request_id}:{number}".encode()
                yield change + b"id: %d\ndata: %b\n\n" % (number, data)
                self.sent_events[request_id] = number
            is_complete = True
            self.ended_s[request_id] = time.monotonic()
        finally:
            self.running -= 1
            if not is_complete:
                self.interrupted_ids.append(request_id)


def _json(value: Any, status: int = 200) -> Response:
    return Response(json.dumps(value), status, media_type="application/json")
