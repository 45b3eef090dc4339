"""standins.engine: a simulated model engine with an OpenAI-compatible API."""

import asyncio
import itertools
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import click
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from standins.batching import Batch, EngineFaults, EngineOptions
from standins.orders import Order, OrderFailed, StaleFencingNumber, Weights
from standins.runs import KvCache, Run, RunRequest, RunState, finish_reason
from standins.server import (
    json_answer,
    read_body,
    run_stand_in,
    wait_for_disconnect,
)
from standins.streams import event_stream
from standins.tokens import (
    ChatMessage,
    count_prompt_tokens,
    render_chat_prompt,
    token_text,
)
from standins.weights import weight_fetcher

__all__ = ["EngineStandIn", "main"]

RETRY_AFTER_S = 0.5


class CompletionBody(msgspec.Struct, frozen=True):
    """Body of a completion or chat request."""

    model: str
    prompt: str = ""
    messages: list[ChatMessage] | None = None
    max_tokens: int = 256
    seed: int = 0
    stream: bool = False
    request_id: str = ""
    priority: int = 0
    resume_from: int = 0


class LoadReport(msgspec.Struct, frozen=True):
    """Answer to ``GET /load``, measured once per `load_lag_s`."""

    running: int
    waiting: int
    slots: int
    tokens_per_s: float
    measured_at_s: float


class EngineStandIn:
    """Serves the engine's HTTP API."""

    def __init__(self, options: EngineOptions, weights: Weights) -> None:
        self.options = options
        self.weights = weights
        self.batch = Batch(options, weights)
        self._load = LoadReport(0, 0, options.slots, 0.0, time.time())
        self._unnamed_ids = itertools.count(1)

    def app(self) -> Starlette:
        """Return the application."""
        return Starlette(
            routes=[
                Route("/v1/completions", self._complete, methods=["POST"]),
                Route("/v1/chat/completions", self._complete, methods=["POST"]),
                Route(
                    "/v1/requests/{request_id}/cancel", self._cancel, methods=["POST"]
                ),
                Route("/load", self._show_load),
                Route("/cache/events", self._show_cache_events),
                Route("/orders", self._show_orders),
                Route("/orders", self._apply_order, methods=["POST"]),
                Route("/kv/{request_id}", self._export_kv),
                Route("/kv/{request_id}", self._import_kv, methods=["PUT"]),
                Route("/healthz", self._show_health),
                Route("/control/faults", self._set_faults, methods=["POST"]),
                Route("/control/log", self._show_log),
            ],
            lifespan=self._lifespan,
        )

    @asynccontextmanager
    async def _lifespan(self, _: Starlette) -> AsyncIterator[None]:
        tasks = [
            asyncio.create_task(self.batch.run_forever()),
            asyncio.create_task(self._measure_load()),
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()

    async def _measure_load(self) -> None:
        lag_s = self.options.load_lag_s
        counted = 0
        while True:
            generated = self.batch.tokens_generated
            self._load = LoadReport(
                len(self.batch.running),
                self.batch.waiting,
                self.options.slots,
                (generated - counted) / lag_s,
                time.time(),
            )
            counted = generated
            await asyncio.sleep(lag_s)

    async def _complete(self, request: Request) -> Response:
        chat = request.url.path == "/v1/chat/completions"
        try:
            body = await read_body(request, CompletionBody)
        except msgspec.MsgspecError as error:
            return error_response(400, "bad_request", str(error))
        is_known = body.request_id in self.batch.runs
        refused = self._check_admission(body, is_known)
        if refused is not None:
            self.batch.refused += 1
            return refused
        run = self.batch.submit(self._run_request(body))
        if body.stream:
            events = event_stream(self.batch, run, body.resume_from, chat)
            return StreamingResponse(
                self._cancel_on_disconnect(events, run, bool(body.request_id)),
                media_type="text/event-stream",
            )
        return await self._answer_unstreamed(request, run, body, chat)

    def _check_admission(self, body: CompletionBody, is_known: bool) -> Response | None:
        if body.model not in self.weights.state.models:
            return error_response(404, "unknown_model", body.model)
        if is_known:
            return None
        if self.batch.faults.refuse or self.batch.faults.leaving:
            return error_response(503, "unavailable", "not accepting new requests")
        if self.batch.waiting >= self.options.max_waiting:
            return error_response(429, "queue_full", "too many requests are waiting")
        return None

    def _run_request(self, body: CompletionBody) -> RunRequest:
        prompt = body.prompt
        if body.messages is not None:
            prompt = render_chat_prompt(body.messages)
        request_id = body.request_id or f"unnamed-{next(self._unnamed_ids)}"
        return RunRequest(
            request_id, body.model, prompt, body.seed, body.max_tokens, body.priority
        )

    async def _cancel_on_disconnect(
        self, events: AsyncIterator[bytes], run: Run, has_request_id: bool
    ) -> AsyncIterator[bytes]:
        """Cancel a request without an ID when its client disconnects."""
        try:
            async for event in events:
                yield event
        finally:
            if not has_request_id:
                self.batch.cancel(run.request.request_id)

    async def _answer_unstreamed(
        self, request: Request, run: Run, body: CompletionBody, chat: bool
    ) -> Response:
        disconnected = asyncio.create_task(wait_for_disconnect(request))
        try:
            while not run.ended or self.batch.faults.hang_streams:
                changed = asyncio.create_task(run.wait_for_change())
                await asyncio.wait(
                    {disconnected, changed},
                    timeout=1.0,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                changed.cancel()
                if not disconnected.done():
                    continue
                if not body.request_id:
                    self.batch.cancel(run.request.request_id)
                return Response(status_code=499)
        finally:
            disconnected.cancel()
        return json_answer(unstreamed_answer(run, chat))

    async def _cancel(self, request: Request) -> Response:
        cancelled = self.batch.cancel(request.path_params["request_id"])
        return json_answer({"cancelled": cancelled})

    async def _show_load(self, request: Request) -> Response:
        return json_answer(self._load)

    async def _show_cache_events(self, request: Request) -> Response:
        after = int(request.query_params.get("after", "0"))
        events = self.batch.cache.events_after(after)
        last = events[-1].sequence if events else after
        return json_answer({"next": last, "events": events})

    async def _show_orders(self, request: Request) -> Response:
        return json_answer(self.weights.state)

    async def _apply_order(self, request: Request) -> Response:
        try:
            order = await read_body(request, Order)
            await self.weights.apply(order)
        except msgspec.MsgspecError as error:
            return error_response(400, "bad_request", str(error))
        except StaleFencingNumber as error:
            return error_response(409, "stale_fencing_number", str(error))
        except OrderFailed as error:
            return error_response(500, "order_failed", str(error))
        return json_answer(self.weights.state)

    async def _export_kv(self, request: Request) -> Response:
        run = self.batch.runs.get(request.path_params["request_id"])
        if run is None:
            return error_response(404, "unknown_request", "no such request")
        if run.state is not RunState.CANCELLED:
            return error_response(
                409, "not_stopped", "the request has not been cancelled"
            )
        return json_answer(KvCache(run.request, run.length, run.pieces))

    async def _import_kv(self, request: Request) -> Response:
        try:
            kv = await read_body(request, KvCache)
        except msgspec.MsgspecError as error:
            return error_response(400, "bad_request", str(error))
        if kv.request.request_id != request.path_params["request_id"]:
            return error_response(
                400, "bad_request", "the KV cache belongs to another request"
            )
        if kv.request.request_id not in self.batch.runs:
            self.batch.import_kv(kv)
        return json_answer({"imported": True})

    async def _show_health(self, request: Request) -> Response:
        if self.batch.faults.leaving:
            return json_answer({"state": "leaving"}, 503)
        return json_answer({"state": "live"})

    async def _set_faults(self, request: Request) -> Response:
        faults = await read_body(request, EngineFaults)
        self.batch.faults = faults
        self.weights.fail_activate = faults.fail_activate
        return json_answer(faults)

    async def _show_log(self, request: Request) -> Response:
        runs = [*self.batch.expired, *self.batch.runs.values()]
        return json_answer(
            {
                "tokens_generated": self.batch.tokens_generated,
                "refused": self.batch.refused,
                "slot_seconds": self.batch.slot_seconds,
                "runs": [run.record() for run in runs],
                "orders": self.weights.records,
            }
        )


def error_response(status: int, code: str, message: str) -> Response:
    """Return an error response for a request that did not run."""
    headers = None
    if status in (429, 503):
        headers = {"Retry-After": f"{RETRY_AFTER_S:g}"}
    error = {"code": code, "message": message, "ran": False}
    return json_answer({"error": error}, status, headers)


def unstreamed_answer(run: Run, chat: bool) -> dict[str, Any]:
    """Return the body of an answer that is not streamed."""
    request = run.request
    text = "".join(
        token_text(request.prompt, request.seed, index)
        for index in range(run.generated)
    )
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason(run)}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": request.request_id,
        "model": request.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": count_prompt_tokens(request.prompt),
            "completion_tokens": run.generated,
            "cached_tokens": run.cached_tokens,
        },
        "weight_versions": run.version_ranges(),
    }


@click.command()
@click.option("--port", default=0, help="Port; 0 picks a free one.")
@click.option("--latency-s", default=0.0, help="One-way latency added to calls.")
@click.option("--model", "models", multiple=True, default=["model"])
@click.option("--version", default=1, help="Weight version at the start.")
@click.option("--fencing", type=click.Choice(["checked", "ignored"]), default="checked")
@click.option("--platform-url", default="", help="Base URL of the weight store.")
@click.option("--slots", default=8)
@click.option("--max-waiting", default=10_000)
@click.option("--prefill-tokens-per-s", default=4_000.0)
@click.option("--decode-tokens-per-s", default=50.0, help="Speed of one sequence.")
@click.option(
    "--batch-slowdown", default=0.5, help="Slowdown of each sequence in a full batch."
)
@click.option("--cache-blocks", default=2_000)
@click.option("--cache-event-lag-s", default=0.5)
@click.option("--cache-event-gap-share", default=0.1)
@click.option("--load-lag-s", default=0.5)
@click.option("--tick-s", default=0.01)
@click.option("--activate-s", default=0.5)
@click.option(
    "--time-scale", default=1.0, help="Factor by which the engine runs faster."
)
@click.option("--seed", default=0)
def main(
    port: int,
    latency_s: float,
    models: tuple[str, ...],
    version: int,
    fencing: str,
    platform_url: str,
    **sizes: Any,
) -> None:
    """Run the engine stand-in."""
    options = EngineOptions(**sizes)
    weights = Weights(
        dict.fromkeys(models, version),
        fencing == "checked",
        options.activate_s / options.time_scale,
        weight_fetcher(platform_url),
    )
    run_stand_in(EngineStandIn(options, weights).app(), "engine", port, latency_s)


if __name__ == "__main__":
    main()
