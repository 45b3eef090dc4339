"""standins.kv_store: a stand-in for the platform's store, with faults."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

__all__ = ["KvStore", "StoreFault"]

LATE_WRITE_S = 0.5
FOREVER_S = 3_600.0


@dataclass
class StoreFault:
    """Faults that are injected into the store.

    Attributes
    ----------
    mode : str
        ``up``, ``busy`` (503), ``many`` (429) or ``silent``.
    lose_answers : int
        Number of next writes that take effect without an answer.
    late_writes : int
        Number of next writes that take effect ``LATE_WRITE_S`` later, without an
        answer.
    refused_ips : set of str
        IP addresses of callers that are refused while others are served.
    suppress_events : bool
        Watches return no events and do not advance.
    """

    mode: str = "up"
    lose_answers: int = 0
    late_writes: int = 0
    refused_ips: set[str] = field(default_factory=set)
    suppress_events: bool = False


class KvStore:
    """Objects with one revision counter, conditional writes and watches."""

    def __init__(self) -> None:
        self.fault = StoreFault()
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.revision = 1
        self.calls = 0
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._oldest = 1
        self._changed = asyncio.Event()
        self.app = Starlette(
            routes=[
                Route("/objects/{kind}", self._handle_kind, methods=["GET", "POST"]),
                Route(
                    "/objects/{kind}/{name}",
                    self._handle_object,
                    methods=["GET", "PUT", "DELETE"],
                ),
                Route(
                    "/objects/{kind}/{name}/status",
                    self._handle_status,
                    methods=["PUT"],
                ),
            ]
        )

    # -- for tests

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, as the operator, a replica or a trainer does."""
        self._save_object(
            kind, name, spec, self.objects.get((kind, name), {}).get("status")
        )

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._delete(kind, name)

    def forget_history(self) -> None:
        """Drop the history; watches from an earlier revision get 410."""
        self._oldest = self.revision + 1
        self._events.clear()
        self._notify_watches()

    def value(self, kind: str, name: str) -> Any:
        """Return the value that a daemon wrote, without its change identifier."""
        return self.objects[(kind, name)]["spec"]["value"]

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects in order."""
        return sorted(name for object_kind, name in self.objects if object_kind == kind)

    # -- the protocol

    async def _admit(self, request: Request) -> Response | None:
        self.calls += 1
        client = request.client.host if request.client else ""
        fault = self.fault
        if fault.mode == "silent":
            await asyncio.sleep(FOREVER_S)
        if fault.mode == "busy" or client in fault.refused_ips:
            return Response(status_code=503)
        if fault.mode == "many":
            return Response(status_code=429)
        return None

    async def _handle_kind(self, request: Request) -> Response:
        refusal = await self._admit(request)
        if refusal is not None:
            return refusal
        kind = request.path_params["kind"]
        if request.method == "POST":
            body = await request.json()
            name = body["metadata"]["name"]
            return await self._write(lambda: self._create(kind, name, body.get("spec")))
        if "watch" in request.query_params:
            return await self._watch(request, kind)
        after = request.query_params.get("after", "")
        found = [
            self.objects[(kind, name)] for name in self.names(kind) if name > after
        ]
        return _json({"items": found, "more": False, "store_revision": self.revision})

    async def _handle_object(self, request: Request) -> Response:
        refusal = await self._admit(request)
        if refusal is not None:
            return refusal
        kind, name = request.path_params["kind"], request.path_params["name"]
        if request.method == "GET":
            found = self.objects.get((kind, name))
            return _json(found) if found else Response(status_code=404)
        if request.method == "DELETE":
            self._delete(kind, name)
            return Response(status_code=200)
        body = await request.json()
        revision = body["metadata"].get("revision")
        return await self._write(
            lambda: self._replace(kind, name, body.get("spec"), revision)
        )

    async def _handle_status(self, request: Request) -> Response:
        refusal = await self._admit(request)
        if refusal is not None:
            return refusal
        kind, name = request.path_params["kind"], request.path_params["name"]
        body = await request.json()
        existing = self.objects.get((kind, name))
        if existing is None:
            return Response(status_code=404)
        return _json(self._save_object(kind, name, existing["spec"], body["status"]))

    async def _write(self, apply: Callable[[], Response]) -> Response:
        if self.fault.late_writes > 0:
            self.fault.late_writes -= 1
            asyncio.get_running_loop().call_later(LATE_WRITE_S, apply)
            await asyncio.sleep(FOREVER_S)
        answer = apply()
        if self.fault.lose_answers > 0:
            self.fault.lose_answers -= 1
            await asyncio.sleep(FOREVER_S)
        return answer

    def _create(self, kind: str, name: str, spec: Any) -> Response:
        existing = self.objects.get((kind, name))
        if existing is not None:
            return _json(existing, 409)
        return _json(self._save_object(kind, name, spec, None), 201)

    def _replace(self, kind: str, name: str, spec: Any, revision: Any) -> Response:
        existing = self.objects.get((kind, name))
        if existing is None:
            return Response(status_code=404)
        if revision is not None and revision != existing["metadata"]["revision"]:
            return _json(existing, 409)
        return _json(self._save_object(kind, name, spec, existing["status"]))

    async def _watch(self, request: Request, kind: str) -> Response:
        after = int(request.query_params["watch"])
        wait_s = int(request.query_params["wait_ms"]) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while not self._events_after(kind, after) and after + 1 >= self._oldest:
                    await self._changed.wait()
        except TimeoutError:
            pass
        if after + 1 < self._oldest:
            return Response(status_code=410)
        events = [
            {"object": item, "deleted": deleted}
            for item, deleted in self._events_after(kind, after)
        ]
        # A watch that returns no events must not advance its revision either.
        revision = after if self.fault.suppress_events else self.revision
        return _json({"events": events, "store_revision": revision})

    def _events_after(self, kind: str, after: int) -> list[tuple[dict[str, Any], bool]]:
        if self.fault.suppress_events:
            return []
        return [
            (item, deleted)
            for revision, event_kind, item, deleted in self._events
            if revision > after and event_kind == kind
        ]

    def _save_object(
        self, kind: str, name: str, spec: Any, status: Any
    ) -> dict[str, Any]:
        existing = self.objects.get((kind, name))
        if (
            existing is not None
            and existing["spec"] == spec
            and existing["status"] == status
        ):
            return existing
        self.revision += 1
        created = existing["metadata"]["created"] if existing else self.revision
        metadata = {"name": name, "revision": self.revision, "created": created}
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[(kind, name)] = item
        self._events.append((self.revision, kind, item, False))
        self._notify_watches()
        return item

    def _delete(self, kind: str, name: str) -> None:
        existing = self.objects.pop((kind, name), None)
        if existing is None:
            return
        self.revision += 1
        self._events.append((self.revision, kind, existing, True))
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _json(value: Any, status: int = 200) -> Response:
    return Response(json.dumps(value), status, media_type="application/json")
