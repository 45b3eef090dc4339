"""greengagetack.engines.openai: engines with an OpenAI-compatible API."""

from collections.abc import AsyncGenerator
from dataclasses import asdict, dataclass
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
import xxhash

from greengagetack.engines.base import EngineAdapter, adapter
from greengagetack.engines.http import HttpAnswer
from greengagetack.engines.sse import EventReader
from greengagetack.engines.state import (
    CacheEvents,
    EngineLoad,
    EngineState,
    Finish,
    Generate,
    ModelVersions,
    Order,
)
from greengagetack.errors import (
    CodedError,
    Conflict,
    EndpointFailed,
    EndpointRefused,
    InvalidRequest,
)
from greengagetack.keeper.messages import Chunk

__all__ = ["LEAVING_CODE", "OpenAIAdapter"]

REQUEST_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 60.0
DEFAULT_RETRY_S = 1.0
CACHE_BLOCK_TOKENS = 16
MAX_LOGGED_CHARS = 200
LEAVING_CODE = "leaving"
END_OF_STREAM = b"[DONE]"

AnswerT = TypeVar("AnswerT")


@dataclass(frozen=True, slots=True)
class _Choice:
    text: str = ""
    finish_reason: str | None = None


@dataclass(frozen=True, slots=True)
class _Event:
    choices: tuple[_Choice, ...] = ()
    offset_tokens: int = 0
    token_count: int = 0
    weight_version: int = 0
    # What the engine says of a failure in mid-stream, which [DONE] may follow.
    error: Any = None


@dataclass(frozen=True, slots=True)
class _ErrorDetail:
    code: str = ""
    message: str = ""
    ran: bool | None = None


@dataclass(frozen=True, slots=True)
class _ErrorBody:
    error: _ErrorDetail = _ErrorDetail()


@dataclass(frozen=True, slots=True)
class _Versions:
    active: int = 0
    prefetched: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class _State:
    models: dict[str, _Versions]
    adapters: tuple[str, ...] = ()
    role: str = ""
    fencing_number: int = 0


@dataclass(frozen=True, slots=True)
class _Cancelled:
    cancelled: bool = False


def _retry_after_s(answer: HttpAnswer) -> float:
    try:
        return max(0.0, float(answer.header("retry-after")))
    except ValueError:
        return DEFAULT_RETRY_S


def _error_detail(answer: HttpAnswer) -> _ErrorDetail:
    try:
        return msgspec.json.decode(answer.body, type=_ErrorBody).error
    except (msgspec.MsgspecError, RecursionError):
        return _ErrorDetail()


@adapter("openai")
class OpenAIAdapter(EngineAdapter):
    """Streams completions as server-sent events; supports resume, cancel and orders."""

    def _answer_error(self, answer: HttpAnswer) -> CodedError:
        detail = _error_detail(answer)
        detail_text = detail.message or detail.code or "no reason given"
        reason = f"{self.endpoint.endpoint_id} answered {answer.status}: {detail_text}"
        if answer.status in (429, 503) and detail.ran is False:
            return EndpointRefused(reason, _retry_after_s(answer))
        if answer.status == 409:
            return Conflict(reason)
        if answer.status in (400, 404, 413, 422):
            return InvalidRequest(reason)
        return EndpointFailed(reason)

    def _decode(self, data: bytes, answer_type: type[AnswerT]) -> AnswerT:
        try:
            return msgspec.json.decode(data, type=answer_type)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise EndpointFailed(
                f"{self.endpoint.endpoint_id} sent a malformed answer: {error}"
            ) from error

    async def _request_json(
        self,
        method: str,
        path: str,
        answer_type: type[AnswerT],
        body: Any = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> AnswerT:
        data = b"" if body is None else msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"} if data else {}
        answer = await self.http.request(method, path, timeout_s, data, headers)
        if answer.status != 200:
            raise self._answer_error(answer)
        return self._decode(answer.body, answer_type)

    async def stream(self, request: Generate) -> AsyncGenerator[Chunk | Finish, None]:
        """Yield the chunks of a completion, then its finish, over one connection."""
        body = msgspec.json.encode(asdict(request) | {"stream": True})
        async with self.http.stream("/v1/completions", body) as response:
            if response.status != 200:
                raise self._answer_error(await response.read_rest())
            reader = EventReader()
            reason: str | None = None
            async for part in response.parts():
                for data in reader.feed(part):
                    if data == END_OF_STREAM:
                        yield Finish(reason or "stop")
                        return
                    event = self._decode(data, _Event)
                    if event.error is not None:
                        raise EndpointFailed(
                            f"{self.endpoint.endpoint_id} reported an error in a "
                            f"stream: {str(event.error)[:MAX_LOGGED_CHARS]}"
                        )
                    choice = event.choices[0] if event.choices else _Choice()
                    reason = choice.finish_reason or reason
                    if not event.token_count:
                        continue
                    yield Chunk(
                        offset_tokens=event.offset_tokens,
                        token_count=event.token_count,
                        text=choice.text,
                        weight_version=event.weight_version,
                    )
                response.kept_bytes = reader.held_bytes
        raise EndpointFailed(
            f"{self.endpoint.endpoint_id} ended a stream without [DONE]"
        )

    async def cancel(self, request_id: str) -> bool:
        """Cancel a completion and return whether the engine had it."""
        path = f"/v1/requests/{quote(request_id, safe='')}/cancel"
        return (await self._request_json("POST", path, _Cancelled)).cancelled

    async def load(self) -> EngineLoad:
        """Return the load that the engine reports, which lags behind."""
        return await self._request_json("GET", "/load", EngineLoad)

    async def state(self) -> EngineState:
        """Read back what the engine has loaded."""
        return self._engine_state(await self._request_json("GET", "/orders", _State))

    async def send_order(self, order: Order) -> EngineState:
        """Send an order and return the state after it."""
        state = await self._request_json(
            "POST", "/orders", _State, asdict(order), ORDER_TIMEOUT_S
        )
        return self._engine_state(state)

    def _engine_state(self, state: _State) -> EngineState:
        models = tuple(
            ModelVersions(model, versions.active, versions.prefetched)
            for model, versions in state.models.items()
        )
        return EngineState(models, state.adapters, state.role, state.fencing_number)

    async def cache_events(self, after: int) -> CacheEvents:
        """Return cache events after a sequence number."""
        return await self._request_json(
            "GET", f"/cache/events?after={after}", CacheEvents
        )

    def prefix_block_hashes(self, prompt: str) -> tuple[str, ...]:
        """Return the engine's hashes of a prompt's full cache blocks."""
        words = prompt.split()
        ends = range(CACHE_BLOCK_TOKENS, len(words) + 1, CACHE_BLOCK_TOKENS)
        return tuple(
            xxhash.xxh64_hexdigest(" ".join(words[:end]).encode()) for end in ends
        )

    async def is_leaving(self) -> bool:
        """Return whether the engine reports that it is leaving."""
        answer = await self.http.request("GET", "/healthz", REQUEST_TIMEOUT_S)
        return answer.status == 503 and LEAVING_CODE.encode() in answer.body
