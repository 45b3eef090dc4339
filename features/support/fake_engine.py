"""features.support.fake_engine: a model engine on a socket, with fault injection."""

import asyncio
import json
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import xxhash

from greengagetack.peers.node import listening_socket
from greengagetack.world import Address


def token_text(prompt: str, seed: int, index: int) -> str:
    """Return the text of a token; the same arguments give the same text."""
    digest = xxhash.xxh32_intdigest(f"{prompt}/{seed}/{index}".encode()) & 0xFFF
    return f"tok{index}-{digest:x} "


@dataclass
class FakeRun:
    """A completion that the engine runs or has run."""

    prompt: str
    seed: int
    max_tokens: int
    versions: list[int] = field(default_factory=list)
    cancelled: bool = False
    task: "asyncio.Task[None] | None" = None

    @property
    def ended(self) -> bool:
        """Whether no more tokens will come."""
        return self.cancelled or len(self.versions) >= self.max_tokens


class FakeEngine:
    """Implements the engine API; its attributes switch faults on."""

    def __init__(self) -> None:
        self.version = 1
        self.token_s = 0.002
        self.runs: dict[str, FakeRun] = {}
        self.starts: list[str] = []
        self.priorities: list[int] = []
        self.cancels: list[str] = []
        self.orders: list[dict[str, Any]] = []
        self.fencing_number = 0
        self.checks_fencing = True
        self.failing_orders = 0
        self.lose_order_answers = 0
        self.order_s = 0.02
        self.doing: list[str] = []
        self.prefetched: list[int] = []
        # Each fault occurs once, at the given token of the next stream.
        self.silent_at: int | None = None
        self.break_at: int | None = None
        self.swap_at: int | None = None
        self.error_at: int | None = None
        self.refuse = False
        self.leaving = False
        self.salt = ""
        self.answer_delay_s = 0.0
        self.answer_version: int | None = None
        self.cache_answers: list[dict[str, Any]] = []
        self.address = Address("127.0.0.1", 0)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def url(self) -> str:
        """Base URL of the engine."""
        return f"http://{self.address}"

    async def start(self) -> None:
        """Listen on loopback."""
        listener = listening_socket(self.address)
        self.address = Address("127.0.0.1", listener.getsockname()[1])
        self._server = await asyncio.start_server(self._serve, sock=listener)

    async def crash(self) -> None:
        """Stop listening, abort all connections and discard all runs."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for run in self.runs.values():
            if run.task is not None:
                run.task.cancel()
        self.runs.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while await self._exchange(reader, writer):
                    pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        line = await reader.readline()
        if not line:
            return False
        method, path, _ = line.decode().split(" ", 2)
        length = 0
        while (header := await reader.readline()).strip():
            name, _, value = header.decode().partition(":")
            if name.lower() == "content-length":
                length = int(value)
        body = json.loads(await reader.readexactly(length)) if length else {}
        if path == "/v1/completions":
            return await self._complete(body, writer)
        await asyncio.sleep(self.answer_delay_s)
        if path == "/orders" and body:
            status, answer = await self._order_slowly(body)
            if self.lose_order_answers:
                self.lose_order_answers -= 1
                return False
        else:
            status, answer = self._answer_short(method, path, body)
        await self._answer(writer, status, answer)
        return True

    async def _answer(
        self, writer: asyncio.StreamWriter, status: int, answer: dict[str, Any]
    ) -> None:
        data = json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
            f"Retry-After: 1\r\nContent-Type: application/json\r\n\r\n".encode()
            + data
        )
        await writer.drain()

    def _answer_short(
        self, method: str, path: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if path == "/healthz":
            return (503, {"state": "leaving"}) if self.leaving else (200, {})
        if path == "/orders":
            return 200, self._state()
        if path.startswith("/v1/requests/"):
            request_id = path.split("/")[3].replace("%2F", "/")
            self.cancels.append(request_id)
            run = self.runs.get(request_id)
            if run is not None:
                run.cancelled = True
            return 200, {"cancelled": run is not None}
        if path.startswith("/named/"):
            return 200, {"path": path}
        if path.startswith("/cache/events"):
            answer = {"next": 0, "events": []}
            return 200, self.cache_answers.pop(0) if self.cache_answers else answer
        return 200, {"running": 0, "waiting": 0, "slots": 8, "tokens_per_s": 0}

    def _state(self) -> dict[str, Any]:
        versions = {"active": self.version, "prefetched": self.prefetched}
        return {"models": {"m": versions}, "fencing_number": self.fencing_number}

    async def _order_slowly(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        kind = body["kind"]
        self.doing.append(kind)
        await asyncio.sleep(self.order_s)
        answer = self._order(body)
        self.doing.remove(kind)
        return answer

    def _order(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if self.checks_fencing and body["fencing_number"] < self.fencing_number:
            return 409, {"error": {"code": "stale_fencing_number"}}
        self.fencing_number = max(self.fencing_number, body["fencing_number"])
        if self.failing_orders:
            self.failing_orders -= 1
            return 500, {"error": {"code": "order_failed"}}
        self.orders.append(body)
        if body["kind"] == "prefetch":
            self.prefetched.append(body["version"])
        if body["kind"] == "activate":
            self.version = body["version"]
        return 200, self._state()

    async def _complete(
        self, body: dict[str, Any], writer: asyncio.StreamWriter
    ) -> bool:
        if self.refuse or self.leaving:
            error = {"code": "busy", "message": "not now", "ran": False}
            await self._answer(writer, 503, {"error": error})
            return True
        known = body["request_id"] in self.runs
        run = self._run_of(body)
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            b"Content-Type: text/event-stream\r\n\r\n"
        )
        index = min(body["resume_from"], len(run.versions)) if known else 0
        while True:
            if await self._inject_fault(index, writer):
                return False
            if index < len(run.versions):
                await self._send(writer, self._event(run, index))
                index += 1
                continue
            if run.ended:
                break
            await asyncio.sleep(self.token_s / 4)
        reason = "cancelled" if run.cancelled else "length"
        last = {"choices": [{"text": "", "finish_reason": reason}]}
        await self._send(writer, json.dumps(last))
        await self._send(writer, "[DONE]")
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def _run_of(self, body: dict[str, Any]) -> FakeRun:
        request_id = body["request_id"]
        run = self.runs.get(request_id)
        if run is not None:
            return run
        run = FakeRun(body["prompt"] + self.salt, body["seed"], body["max_tokens"])
        self.runs[request_id] = run
        self.starts.append(request_id)
        self.priorities.append(body["priority"])
        run.task = asyncio.create_task(self._generate(run))
        return run

    async def _generate(self, run: FakeRun) -> None:
        while not run.ended:
            await asyncio.sleep(self.token_s)
            if self.swap_at == len(run.versions):
                self.swap_at = None
                self.version += 1
            run.versions.append(self.version)

    async def _inject_fault(self, index: int, writer: asyncio.StreamWriter) -> bool:
        if self.break_at == index:
            self.break_at = None
            return True
        if self.silent_at == index:
            self.silent_at = None
            await asyncio.sleep(3600)
        if self.error_at == index:
            self.error_at = None
            error = {"error": {"code": "engine_failed", "message": "out of memory"}}
            await self._send(writer, json.dumps(error))
            await self._send(writer, "[DONE]")
            return True
        return False

    def _event(self, run: FakeRun, index: int) -> str:
        event = {
            "id": "x",
            "choices": [{"index": 0, "text": token_text(run.prompt, run.seed, index)}],
            "offset_tokens": index,
            "token_count": 1,
            "weight_version": self.answer_version or run.versions[index],
        }
        return json.dumps(event)

    async def _send(self, writer: asyncio.StreamWriter, data: str) -> None:
        part = f"data: {data}\n\n".encode()
        writer.write(f"{len(part):x}\r\n".encode() + part + b"\r\n")
        await writer.drain()
