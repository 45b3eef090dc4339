"""standins.kv_store: a stand-in of the platform's store, with faults."""

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

LATE_S = 0.5
FOREVER_S = 3_600.0


@dataclass
class StoreFault:
    """How the store misbehaves.

    Attributes
    ----------
    mode : str
        ``up``, ``busy`` (503), ``many`` (429) or ``silent``.
    lose_answers : int
        So many of the next writes take effect without an answer.
    late_writes : int
        So many of the next writes take effect ``LATE_S`` later, without an answer.
    refused_ips : set of str
        Callers that are refused while others are served.
    """

    mode: str = "up"
    lose_answers: int = 0
    late_writes: int = 0
    refused_ips: set[str] = field(default_factory=set)
    hear_nothing: bool = False


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
                Route("/objects/{kind}", self._kind, methods=["GET", "POST"]),
                Route(
                    "/objects/{kind}/{name}",
                    self._name,
                    methods=["GET", "PUT", "DELETE"],
                ),
                Route("/objects/{kind}/{name}/status", self._status, methods=["PUT"]),
            ]
        )

    # -- for tests

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write as the operator, a replica or a trainer does."""
        self._store(kind, name, spec, self.objects.get((kind, name), {}).get("status"))

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._drop(kind, name)

    def forget_history(self) -> None:
        """Drop the history; watches from before get 410."""
        self._oldest = self.revision + 1
        self._events.clear()
        self._wake()

    def value(self, kind: str, name: str) -> Any:
        """Return what the system wrote, without its change identifier."""
        return self.objects[(kind, name)]["spec"]["value"]

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects in order."""
        return sorted(name for of, name in self.objects if of == kind)

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

    async def _kind(self, request: Request) -> Response:
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

    async def _name(self, request: Request) -> Response:
        refusal = await self._admit(request)
        if refusal is not None:
            return refusal
        kind, name = request.path_params["kind"], request.path_params["name"]
        if request.method == "GET":
            found = self.objects.get((kind, name))
            return _json(found) if found else Response(status_code=404)
        if request.method == "DELETE":
            self._drop(kind, name)
            return Response(status_code=200)
        body = await request.json()
        revision = body["metadata"].get("revision")
        return await self._write(
            lambda: self._replace(kind, name, body.get("spec"), revision)
        )

    async def _status(self, request: Request) -> Response:
        refusal = await self._admit(request)
        if refusal is not None:
            return refusal
        kind, name = request.path_params["kind"], request.path_params["name"]
        body = await request.json()
        known = self.objects.get((kind, name))
        if known is None:
            return Response(status_code=404)
        return _json(self._store(kind, name, known["spec"], body["status"]))

    async def _write(self, apply: Callable[[], Response]) -> Response:
        if self.fault.late_writes > 0:
            self.fault.late_writes -= 1
            asyncio.get_running_loop().call_later(LATE_S, apply)
            await asyncio.sleep(FOREVER_S)
        answer = apply()
        if self.fault.lose_answers > 0:
            self.fault.lose_answers -= 1
            await asyncio.sleep(FOREVER_S)
        return answer

    def _create(self, kind: str, name: str, spec: Any) -> Response:
        known = self.objects.get((kind, name))
        if known is not None:
            return _json(known, 409)
        return _json(self._store(kind, name, spec, None), 201)

    def _replace(self, kind: str, name: str, spec: Any, revision: Any) -> Response:
        known = self.objects.get((kind, name))
        if known is None:
            return Response(status_code=404)
        if revision is not None and revision != known["metadata"]["revision"]:
            return _json(known, 409)
        return _json(self._store(kind, name, spec, known["status"]))

    async def _watch(self, request: Request, kind: str) -> Response:
        after = int(request.query_params["watch"])
        wait_s = int(request.query_params["wait_ms"]) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while not self._after(kind, after) and after + 1 >= self._oldest:
                    await self._changed.wait()
        except TimeoutError:
            pass
        if after + 1 < self._oldest:
            return Response(status_code=410)
        events = [
            {"object": item, "deleted": gone} for item, gone in self._after(kind, after)
        ]
        # A watch that hears nothing does not move on either.
        revision = after if self.fault.hear_nothing else self.revision
        return _json({"events": events, "store_revision": revision})

    def _after(self, kind: str, after: int) -> list[tuple[dict[str, Any], bool]]:
        if self.fault.hear_nothing:
            return []
        return [
            (item, gone)
            for revision, of, item, gone in self._events
            if revision > after and of == kind
        ]

    def _store(self, kind: str, name: str, spec: Any, status: Any) -> dict[str, Any]:
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec and known["status"] == status:
            return known
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        metadata = {"name": name, "revision": self.revision, "created": created}
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[(kind, name)] = item
        self._events.append((self.revision, kind, item, False))
        self._wake()
        return item

    def _drop(self, kind: str, name: str) -> None:
        known = self.objects.pop((kind, name), None)
        if known is None:
            return
        self.revision += 1
        self._events.append((self.revision, kind, known, True))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _json(value: Any, status: int = 200) -> Response:
    return Response(json.dumps(value), status, media_type="application/json")
