"""standins.platform: object API, VM list and weight store with injectable faults."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import click
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from standins.objects import ObjectTable, VersionConflict, VmHistory
from standins.rates import RateLimit
from standins.server import (
    drop_connection,
    json_answer,
    read_body,
    run_stand_in,
    wait_for_disconnect,
)

__all__ = ["PlatformFaults", "PlatformOptions", "PlatformStandIn", "main"]

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_TIMEOUT_S = 60.0
OUTAGE_RETRY_AFTER_S = 1.0

Handler = Callable[[Request], Awaitable[Response]]


class PlatformOptions(msgspec.Struct, frozen=True):
    """Rates in calls per second (0: no limit), times in seconds, sizes in bytes."""

    reads_per_s: float = 0.0
    writes_per_s: float = 0.0
    weights_per_s: float = 0.0
    weights_duration_s: float = 0.0
    weights_bytes: int = 1_024
    vm_lag_s: float = 0.0


class PlatformFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Injected faults.

    `outage` is False for none, True or "refuse" for answers with status 503, or
    "hang" for no answer. `lose_write_answers` is the share of writes that take
    effect but are not answered.
    """

    outage: bool | str = False
    slow_s: float = 0.0
    lose_write_answers: float = 0.0
    seed: int = 0


class NewValue(msgspec.Struct, frozen=True):
    """Body of ``PUT /objects/{path}``."""

    change_id: str
    value: Any


class VmsBody(msgspec.Struct, frozen=True):
    """Body of ``POST /control/vms``."""

    vms: list[Any]


class PlatformStandIn:
    """Serves the platform's HTTP API from memory."""

    def __init__(self, options: PlatformOptions) -> None:
        self.options = options
        self.objects = ObjectTable()
        self.vms = VmHistory(options.vm_lag_s)
        self.faults = PlatformFaults()
        self.counts: Counter[str] = Counter()
        self._random = random.Random(0)
        self._reads = RateLimit(options.reads_per_s)
        self._writes = RateLimit(options.writes_per_s)
        self._weights = RateLimit(options.weights_per_s)

    def app(self) -> Starlette:
        """Return the application."""
        with_faults = self._with_faults
        reads, writes = self._reads, self._writes
        return Starlette(
            routes=[
                Route("/objects", with_faults("list", reads, self._list)),
                Route("/objects/{path:path}", with_faults("read", reads, self._read)),
                Route(
                    "/objects/{path:path}",
                    with_faults("write", writes, self._write),
                    methods=["PUT"],
                ),
                Route(
                    "/objects/{path:path}",
                    with_faults("delete", writes, self._delete),
                    methods=["DELETE"],
                ),
                Route("/watch", with_faults("watch", reads, self._watch)),
                Route("/vms", with_faults("vms", reads, self._list_vms)),
                Route(
                    "/weights/{model}/{version}",
                    with_faults("weights", self._weights, self._fetch_weights),
                ),
                Route("/control/faults", self._set_faults, methods=["POST"]),
                Route("/control/vms", self._set_vms, methods=["POST"]),
                Route("/control/log", self._show_log),
                Route("/control/history/{path:path}", self._show_history),
            ]
        )

    def _with_faults(self, kind: str, rate: RateLimit, handler: Handler) -> Handler:
        async def handle(request: Request) -> Response:
            self.counts[kind] += 1
            outage = self.faults.outage
            if outage == "hang":
                await wait_for_disconnect(request)
                return Response(status_code=503)
            if outage:
                return unavailable_response(503, OUTAGE_RETRY_AFTER_S)
            wait_s = rate.try_acquire()
            if wait_s > 0:
                self.counts["refused_by_rate"] += 1
                return unavailable_response(429, wait_s)
            if self.faults.slow_s > 0:
                await asyncio.sleep(self.faults.slow_s)
            return await handler(request)

        return handle

    async def _read(self, request: Request) -> Response:
        stored = self.objects.read(request.path_params["path"])
        if stored is None:
            return json_answer({"error": {"code": "not_found"}}, 404)
        return json_answer(stored)

    async def _list(self, request: Request) -> Response:
        found = self.objects.changed_after(request.query_params.get("prefix", ""), 0)
        return json_answer({"revision": self.objects.revision, "objects": found})

    async def _watch(self, request: Request) -> Response:
        query = request.query_params
        timeout_s = min(float(query.get("timeout_s", "30")), MAX_WATCH_TIMEOUT_S)
        found = await self.objects.wait_for_change(
            query.get("prefix", ""), int(query.get("after", "0")), timeout_s
        )
        if self.faults.outage == "hang":
            await wait_for_disconnect(request)
        return json_answer({"revision": self.objects.revision, "objects": found})

    async def _write(self, request: Request) -> Response:
        body = await request.body()
        expected_version = read_expected_version(request)
        if expected_version is None:
            return json_answer({"error": {"code": "condition_missing"}}, 428)
        try:
            new = msgspec.json.decode(body, type=NewValue)
        except msgspec.MsgspecError as error:
            return json_answer(
                {"error": {"code": "bad_body", "reason": str(error)}}, 400
            )
        if len(msgspec.json.encode(new.value)) > MAX_VALUE_BYTES:
            return json_answer({"error": {"code": "too_large"}}, 413)
        path = request.path_params["path"]
        try:
            written = self.objects.write(
                path, new.change_id, new.value, expected_version
            )
        except VersionConflict as conflict:
            return json_answer(conflict.current, 412)
        return await self._answer_write(
            request, json_answer({"path": path, "version": written.version})
        )

    async def _delete(self, request: Request) -> Response:
        path = request.path_params["path"]
        if self.objects.read(path) is None:
            return json_answer({"error": {"code": "not_found"}}, 404)
        expected_version = read_expected_version(request)
        if expected_version is None:
            return json_answer({"error": {"code": "condition_missing"}}, 428)
        try:
            self.objects.delete(path, expected_version)
        except VersionConflict as conflict:
            return json_answer(conflict.current, 412)
        return await self._answer_write(request, json_answer({"path": path}))

    async def _answer_write(self, request: Request, answer: Response) -> Response:
        if self._random.random() >= self.faults.lose_write_answers:
            return answer
        self.counts["lost_write_answers"] += 1
        return await drop_connection(request)

    async def _list_vms(self, request: Request) -> Response:
        return json_answer({"vms": self.vms.visible_vms()})

    async def _fetch_weights(self, request: Request) -> Response:
        await asyncio.sleep(self.options.weights_duration_s)
        return Response(
            bytes(self.options.weights_bytes), media_type="application/octet-stream"
        )

    async def _set_faults(self, request: Request) -> Response:
        self.faults = await read_body(request, PlatformFaults)
        self._random = random.Random(self.faults.seed)
        return json_answer(self.faults)

    async def _set_vms(self, request: Request) -> Response:
        body = await read_body(request, VmsBody)
        self.vms.replace(body.vms)
        return json_answer(body)

    async def _show_log(self, request: Request) -> Response:
        writes = [
            msgspec.structs.replace(record, value=None)
            for record in self.objects.writes
        ]
        return json_answer({"counts": self.counts, "writes": writes})

    async def _show_history(self, request: Request) -> Response:
        path = request.path_params["path"]
        found = [record for record in self.objects.writes if record.path == path]
        return json_answer({"path": path, "writes": found})


def unavailable_response(status: int, retry_after_s: float) -> Response:
    """Return an error response with a ``Retry-After`` header."""
    return json_answer(
        {"error": {"code": "unavailable" if status == 503 else "rate_limited"}},
        status,
        {"Retry-After": f"{retry_after_s:.3f}"},
    )


def read_expected_version(request: Request) -> int | None:
    """Return the version that a write expects, None without a valid condition."""
    if request.headers.get("if-none-match") == "*":
        return 0
    etag = request.headers.get("if-match", "").strip('"')
    return int(etag) if etag.isdigit() else None


@click.command()
@click.option("--port", default=0, help="Port; 0 picks a free one.")
@click.option("--latency-s", default=0.0, help="One-way latency added to calls.")
@click.option("--reads-per-s", default=0.0, help="0 means no limit.")
@click.option("--writes-per-s", default=0.0, help="0 means no limit.")
@click.option("--weights-per-s", default=0.0, help="0 means no limit.")
@click.option("--weights-duration-s", default=0.0, help="Duration of one fetch.")
@click.option("--weights-bytes", default=1_024, help="Size of one answer.")
@click.option("--vm-lag-s", default=0.0, help="Age of the VM list in answers.")
def main(port: int, latency_s: float, **options: Any) -> None:
    """Run the platform stand-in."""
    stand_in = PlatformStandIn(PlatformOptions(**options))
    run_stand_in(stand_in.app(), "platform", port, latency_s)


if __name__ == "__main__":
    main()
