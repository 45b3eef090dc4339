"""greengagetack.entry.completions: completion routes, with and without streaming."""

import json
import uuid
from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any

from loguru import logger
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import BaseRoute

from greengagetack.daemons.auth import Principal
from greengagetack.daemons.limits import read_json
from greengagetack.daemons.responses import error_body
from greengagetack.daemons.role import Services, http_routes
from greengagetack.entry.http import authenticated_route, team_of
from greengagetack.errors import CodedError, Forbidden, InvalidRequest, NotFound
from greengagetack.keeper.messages import Chunk, Complete, Completed, Work
from greengagetack.observability.logs import REQUEST_ID
from greengagetack.rollouts.versions import VersionRange, ranges_of_chunks
from greengagetack.routing.relay import Restarted

__all__ = ["ChatBody", "ChatMessage", "CompletionBody"]

MAX_TOKENS = 1_000_000
MAX_PRIORITY = 100
DEFAULT_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class CompletionBody:
    """Body of ``POST /v1/completions``; `timeout_s` covers the whole response."""

    model: str
    prompt: str
    max_tokens: int = 256
    seed: int = 0
    stream: bool = False
    priority: int = 0
    oldest_version: int = 0
    timeout_s: float = DEFAULT_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class ChatMessage:
    """One message of a conversation."""

    role: str
    content: str


@dataclass(frozen=True, slots=True)
class ChatBody:
    """Body of ``POST /v1/chat/completions``."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int = 256
    seed: int = 0
    stream: bool = False
    priority: int = 0
    oldest_version: int = 0
    timeout_s: float = DEFAULT_TIMEOUT_S


def _prompt_of(messages: tuple[ChatMessage, ...]) -> str:
    lines = [f"{message.role}: {message.content}" for message in messages]
    return "\n".join([*lines, "assistant:"])


def _to_completion_body(body: ChatBody) -> CompletionBody:
    if not body.messages:
        raise InvalidRequest("/messages: at least one message is required")
    return CompletionBody(
        body.model,
        _prompt_of(body.messages),
        body.max_tokens,
        body.seed,
        body.stream,
        body.priority,
        body.oldest_version,
        body.timeout_s,
    )


class _Completions:
    """Handles completion requests by relaying them through the router."""

    def __init__(self, services: Services) -> None:
        self._services = services

    async def serve_text(self, request: Request, principal: Principal) -> Response:
        """Serve ``POST /v1/completions``."""
        body = await read_json(request, CompletionBody)
        return await self._complete(request, principal, body, is_chat=False)

    async def serve_chat(self, request: Request, principal: Principal) -> Response:
        """Serve ``POST /v1/chat/completions``."""
        body = _to_completion_body(await read_json(request, ChatBody))
        return await self._complete(request, principal, body, is_chat=True)

    async def _complete(
        self,
        request: Request,
        principal: Principal,
        body: CompletionBody,
        is_chat: bool,
    ) -> Response:
        complete = self._to_message(team_of(request, principal), body)
        relay = self._services.routing.relay
        if not body.stream:
            items = relay.complete(complete, may_restart=True)
            return await self._collect_response(items, body, is_chat)
        items = relay.complete(complete)
        # Await the first item, so that a refusal is returned with its HTTP status.
        first = await anext(items)
        return StreamingResponse(
            self._stream_events(first, items, body, is_chat),
            media_type="text/event-stream",
        )

    def _to_message(self, team: str, body: CompletionBody) -> Complete:
        self._check_body(team, body)
        # The caller's X-Request-Id is not used, because it need not be unique.
        return Complete(
            request_id=f"call/{uuid.uuid4().hex}",
            team=team,
            work=Work.CALLER,
            endpoint_id="",
            model=body.model,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            seed=body.seed,
            time_left_s=body.timeout_s,
            oldest_version=body.oldest_version,
            priority=body.priority,
            expected_tokens=body.max_tokens,
        )

    def _check_body(self, team: str, body: CompletionBody) -> None:
        check_model(self._services, team, body.model)
        if not body.prompt:
            raise InvalidRequest("/prompt: must not be empty")
        if not 0 < body.max_tokens <= MAX_TOKENS:
            raise InvalidRequest(f"/max_tokens: 1 to {MAX_TOKENS}")
        if not 0 < body.timeout_s <= 86_400:
            raise InvalidRequest("/timeout_s: greater than 0, up to 86400")
        if not 0 <= body.priority <= MAX_PRIORITY:
            raise InvalidRequest(f"/priority: 0 to {MAX_PRIORITY}")
        if body.oldest_version < 0:
            raise InvalidRequest("/oldest_version: must not be negative")

    async def _collect_response(
        self,
        items: AsyncGenerator[Chunk | Completed | Restarted, None],
        body: CompletionBody,
        is_chat: bool,
    ) -> Response:
        chunks: list[Chunk] = []
        reason = "stop"
        async with aclosing(items) as answers:
            async for item in answers:
                if isinstance(item, Chunk):
                    chunks.append(item)
                    continue
                if isinstance(item, Restarted):
                    chunks.clear()
                    continue
                reason = item.finish_reason
        text = "".join(chunk.text for chunk in chunks)
        versions = ranges_of_chunks(chunks)
        return JSONResponse(_response_content(text, reason, versions, body, is_chat))

    async def _stream_events(
        self,
        first: Chunk | Completed | Restarted,
        items: AsyncGenerator[Chunk | Completed | Restarted, None],
        body: CompletionBody,
        is_chat: bool,
    ) -> AsyncGenerator[bytes, None]:
        async with aclosing(items) as answers:
            yield _encode_item(first, body, is_chat)
            try:
                async for item in answers:
                    yield _encode_item(item, body, is_chat)
            except CodedError as error:
                logger.warning("entry: completion stream failed with {}", error.code)
                yield _sse_event(error_body(error, REQUEST_ID.get()))
                return
        yield b"data: [DONE]\n\n"


def check_model(services: Services, team: str, model: str) -> None:
    """Check that a model exists and that the team is allowed to use it.

    Raises
    ------
    NotFound
        If no endpoint in the settings serves the model.
    Forbidden
        If the team's settings do not list the model.
    """
    fleet = services.settings.fleet()
    known = {endpoint.name for endpoint in fleet.endpoints}
    known.update(entry.name for entry in fleet.models)
    if model not in known:
        raise NotFound(f"/model: model {model!r} does not exist")
    team_settings = services.settings.team(team)
    if team_settings is None:
        raise NotFound(f"team {team!r} does not exist")
    if team_settings.models and model not in team_settings.models:
        raise Forbidden(f"/model: team {team!r} may not use {model!r}")


def _sse_event(content: bytes) -> bytes:
    return b"data: " + content + b"\n\n"


def _encode_item(
    item: Chunk | Completed | Restarted, body: CompletionBody, is_chat: bool
) -> bytes:
    text = item.text if isinstance(item, Chunk) else ""
    reason = item.finish_reason if isinstance(item, Completed) else None
    choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
    if is_chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    value: dict[str, Any] = {
        "id": REQUEST_ID.get(),
        "model": body.model,
        "choices": [choice],
    }
    if isinstance(item, Chunk):
        value["offset_tokens"] = item.offset_tokens
        value["token_count"] = item.token_count
        value["weight_version"] = item.weight_version
    return _sse_event(json.dumps(value).encode())


def _response_content(
    text: str,
    reason: str,
    versions: tuple[VersionRange, ...],
    body: CompletionBody,
    is_chat: bool,
) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    token_count = versions[-1].end_token if versions else 0
    return {
        "id": REQUEST_ID.get(),
        "model": body.model,
        "choices": [choice],
        "usage": {"completion_tokens": token_count},
        "weight_versions": [
            {
                "version": version_range.version,
                "first_token": version_range.first_token,
                "end_token": version_range.end_token,
            }
            for version_range in versions
        ],
    }


@http_routes
def completion_routes(services: Services) -> list[BaseRoute]:
    """Return the completion routes."""
    completions = _Completions(services)
    return [
        authenticated_route(
            services, "/v1/completions", completions.serve_text, "POST"
        ),
        authenticated_route(
            services, "/v1/chat/completions", completions.serve_chat, "POST"
        ),
    ]
