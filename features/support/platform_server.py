"""features.support.platform_server: an HTTP platform with fault injection."""

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from greengagetack.peers.node import listening_socket
from greengagetack.world import Address

__all__ = ["HttpPlatform"]


@dataclass
class HttpPlatform:
    """Serves ``/objects``, ``/watch`` and ``/vms``.

    `faults` apply to the next calls on single objects, one each. A fault is "ok",
    "refuse" (answers 503), "rate" (answers 429), "hang" (takes effect, never answers),
    "drop" (neither takes effect nor answers), "gateway" (takes effect, answers 502),
    "cut" (takes effect, truncates the answer), "garbage" (takes effect, answers no
    JSON), "race" (another writer is first) or "hang-then-race" (takes effect, is
    overwritten by another writer and never answers).
    """

    objects: dict[str, dict] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    puts: int = 0
    url: str = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._closing = asyncio.Event()
        listener = listening_socket(Address("127.0.0.1", 0))
        app = Starlette(
            routes=[
                Route("/objects/{path:path}", self._object, methods=["GET", "PUT"]),
                Route("/objects", self._list),
                Route("/watch", self._list),
                Route("/vms", self._vms),
            ]
        )
        config = uvicorn.Config(app, log_level="error", lifespan="off")
        self._server = uvicorn.Server(config)
        self._task = asyncio.create_task(self._server.serve([listener]))
        self.url = f"http://127.0.0.1:{listener.getsockname()[1]}"

    async def close(self) -> None:
        """Stop listening."""
        self._closing.set()
        self._server.should_exit = True
        await self._task

    async def _object(self, request: Request) -> Response:
        path = request.path_params["path"]
        body = await request.body()
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "refuse":
            return JSONResponse({}, 503, {"Retry-After": "7"})
        if fault == "rate":
            return JSONResponse({}, 429, {"Retry-After": "3"})
        if fault == "drop":
            await self._closing.wait()
        if fault == "race":
            self._store(path, {"change_id": "other", "value": "other"})
        if request.method == "GET" and fault not in ("cut", "garbage"):
            current = self.objects.get(path)
            return JSONResponse(current or {}, 200 if current else 404)
        answer: Response = Response(b"")
        if request.method == "PUT":
            self.puts += 1
            answer = self._put(request, path, json.loads(body))
        if fault == "cut":
            return StreamingResponse(cut_off(), headers={"Content-Length": "500"})
        if fault == "garbage":
            return Response(b"<html>busy</html>", media_type="text/html")
        if fault == "hang-then-race":
            self._store(path, {"change_id": "other", "value": "other"})
        if fault in ("hang", "hang-then-race"):
            await self._closing.wait()
        if fault == "gateway":
            return JSONResponse({}, 502)
        return answer

    def _put(self, request: Request, path: str, body: dict) -> Response:
        current = self.objects.get(path)
        version = current["version"] if current else 0
        match = request.headers.get("if-match", "").strip('"')
        expected = int(match) if match else 0
        if version != expected:
            return JSONResponse(current or {}, 412)
        self._store(path, body)
        return JSONResponse({"path": path, "version": version + 1})

    def _store(self, path: str, body: dict) -> None:
        current = self.objects.get(path)
        version = current["version"] if current else 0
        self.objects[path] = {"path": path, "version": version + 1, **body}

    async def _list(self, request: Request) -> Response:
        prefix = request.query_params["prefix"]
        found = [o for p, o in self.objects.items() if p.startswith(prefix)]
        return JSONResponse({"revision": self.puts, "objects": found})

    async def _vms(self, _: Request) -> Response:
        vm = {"vm_id": "vm1", "availability_zone": "a", "state": "leaving"}
        return JSONResponse({"vms": [vm]})


async def cut_off() -> AsyncIterator[bytes]:
    """Yield the start of an answer, then break the connection."""
    yield b'{"path": "'
    raise ConnectionResetError("cut off")
