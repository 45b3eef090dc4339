"""greengagetack.daemons.limits: bounds of every HTTP request in size and time."""

import asyncio
import re
import uuid
from dataclasses import dataclass
from typing import TypeVar

from loguru import logger
from starlette.datastructures import Headers, MutableHeaders
from starlette.requests import ClientDisconnect, Request
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from greengagetack.daemons.responses import error_response, unexpected_error
from greengagetack.documents import convert_document, parse_json
from greengagetack.errors import (
    CodedError,
    InvalidRequest,
    RequestTooLarge,
    RequestTooSlow,
)
from greengagetack.observability.logs import REQUEST_ID

__all__ = ["HttpLimits", "LimitsMiddleware", "read_body", "read_json"]

DEFAULT_JSON_BYTES = 1024 * 1024
MAX_DROPPED_BYTES = 1024 * 1024
REQUEST_ID_HEADER = "x-request-id"

_REQUEST_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds of a request.

    A sender may pause for `body_pause_s` and take `body_s` for the whole body.
    """

    path_bytes: int = 2_048
    query_bytes: int = 8_192
    header_count: int = 64
    header_bytes: int = 32_768
    body_bytes: int = 16 * 1024 * 1024
    body_pause_s: float = 5.0
    body_s: float = 30.0


class LimitsMiddleware:
    """Refuses requests over their bounds and answers every error as JSON.

    It also names each request: by the sender's ``X-Request-Id`` or a new one.
    """

    def __init__(self, app: ASGIApp, limits: HttpLimits | None = None) -> None:
        self._app = app
        self._limits = limits or HttpLimits()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] == "lifespan":
            await self._app(scope, receive, send)
            return
        if scope["type"] != "http":
            await send({"type": "websocket.close", "code": 1003})
            return
        exchange = _Exchange(self._limits, receive, send)
        exchange.declare(Headers(scope=scope))
        try:
            exchange.request_id = _request_id(scope)
            _check_head(scope, self._limits)
            REQUEST_ID.set(exchange.request_id)
            _name_request(scope, exchange.request_id)
            await self._app(scope, exchange.receive, exchange.send)
        except CodedError as error:
            await exchange.answer(scope, error)
        except ClientDisconnect:
            logger.debug("entry: the sender left in the middle of its request")
        except Exception as error:
            if exchange.response_complete:
                return
            if exchange.response_started:
                raise
            logger.opt(exception=error).error("entry: the request failed")
            await exchange.answer(scope, unexpected_error())


def _request_id(scope: Scope) -> str:
    given = Headers(scope=scope).getlist(REQUEST_ID_HEADER)
    if not given:
        return uuid.uuid4().hex
    if len(given) > 1 or not _REQUEST_ID.fullmatch(given[0]):
        raise InvalidRequest(
            "X-Request-Id may have 128 letters, digits and the signs . _ : -"
        )
    return given[0]


def _name_request(scope: Scope, request_id: str) -> None:
    """Give all handlers the same identifier, also if the sender named none."""
    others = [
        (name, value)
        for name, value in scope["headers"]
        if name != REQUEST_ID_HEADER.encode()
    ]
    scope["headers"] = [*others, (REQUEST_ID_HEADER.encode(), request_id.encode())]


def _check_head(scope: Scope, limits: HttpLimits) -> None:
    headers = scope["headers"]
    if len(headers) > limits.header_count:
        raise RequestTooLarge(f"a request may have {limits.header_count} headers")
    size_bytes = sum(len(name) + len(value) for name, value in headers)
    if size_bytes > limits.header_bytes:
        raise RequestTooLarge(f"headers may have {limits.header_bytes} bytes")
    if len(scope.get("raw_path") or b"") > limits.path_bytes:
        raise RequestTooLarge(f"a path may have {limits.path_bytes} bytes")
    if len(scope["query_string"]) > limits.query_bytes:
        raise RequestTooLarge(f"a query may have {limits.query_bytes} bytes")
    length = Headers(scope=scope).get("content-length", "0")
    if not (length.isascii() and length.isdigit()):
        raise InvalidRequest("Content-Length is no number")
    if int(length) > limits.body_bytes:
        raise RequestTooLarge(f"a body may have {limits.body_bytes} bytes")


class _Exchange:
    """Receives and sends for one request, within the bounds."""

    def __init__(self, limits: HttpLimits, receive: Receive, send: Send) -> None:
        self.request_id = "-"
        self.response_started = False
        self.response_complete = False
        self._limits = limits
        self._receive = receive
        self._send = send
        self._body_bytes = 0
        self._body_done = False
        self._body_until_s: float | None = None
        self._declared_bytes = 0

    def declare(self, headers: Headers) -> None:
        """Take note of how long the body is said to be."""
        length = headers.get("content-length", "0")
        if length.isascii() and length.isdigit():
            self._declared_bytes = int(length)
        if "transfer-encoding" in headers:
            self._declared_bytes = MAX_DROPPED_BYTES + 1

    async def receive(self) -> Message:
        """Receive a part of the body; after the body, wait for the sender to leave."""
        if self._body_done:
            return await self._receive()
        try:
            async with asyncio.timeout(self._patience_s()):
                message = await self._receive()
        except TimeoutError:
            self._body_done = True
            raise RequestTooSlow(
                f"the body took over {self._limits.body_s:g} s or paused for "
                f"{self._limits.body_pause_s:g} s"
            ) from None
        if message["type"] != "http.request":
            self._body_done = True
            return message
        self._body_bytes += len(message.get("body", b""))
        self._body_done = not message.get("more_body", False)
        if self._body_bytes > self._limits.body_bytes:
            raise RequestTooLarge(f"a body may have {self._limits.body_bytes} bytes")
        return message

    def _patience_s(self) -> float:
        now_s = asyncio.get_running_loop().time()
        if self._body_until_s is None:
            self._body_until_s = now_s + self._limits.body_s
        return max(0.0, min(self._limits.body_pause_s, self._body_until_s - now_s))

    async def send(self, message: Message) -> None:
        """Send a part of the answer, with the request's identifier."""
        if message["type"] == "http.response.start":
            self.response_started = True
            headers = MutableHeaders(scope=message)
            headers[REQUEST_ID_HEADER] = self.request_id
            if not await self._body_is_read():
                headers["connection"] = "close"
        if message["type"] == "http.response.body":
            self.response_complete = not message.get("more_body", False)
        await self._send(message)

    async def _body_is_read(self) -> bool:
        """Whether all of the body has come; a short rest is read and dropped.

        Closing a connection with unread bytes could reset it before the answer
        arrives.
        """
        if self._body_done or not self._declared_bytes:
            return True
        if self._declared_bytes > MAX_DROPPED_BYTES:
            return False
        try:
            while not self._body_done:
                await self.receive()
        except CodedError:
            return False
        return True

    async def answer(self, scope: Scope, error: CodedError) -> None:
        """Answer with an error unless an answer has begun."""
        if self.response_started:
            raise error
        REQUEST_ID.set(self.request_id)
        response = error_response(error)
        await response(scope, self.receive, self.send)


async def read_body(request: Request, max_bytes: int) -> bytes:
    """Return the body of a request.

    Raises
    ------
    RequestTooLarge
        If it has more than `max_bytes`.
    RequestTooSlow
        If the sender takes too long.
    """
    length = request.headers.get("content-length", "0")
    if int(length) > max_bytes:
        raise RequestTooLarge(f"this body may have {max_bytes} bytes")
    body = bytearray()
    async for part in request.stream():
        body += part
        if len(body) > max_bytes:
            raise RequestTooLarge(f"this body may have {max_bytes} bytes")
    return bytes(body)


async def read_json(
    request: Request, message_type: type[T], max_bytes: int = DEFAULT_JSON_BYTES
) -> T:
    """Return the frozen data class that the JSON body of a request describes.

    Raises
    ------
    InvalidDocument
        With all faults and their paths: malformed JSON, keys that are twice there
        or unknown, missing fields, wrong types.
    RequestTooLarge, RequestTooSlow
        As `read_body`.
    """
    body = await read_body(request, max_bytes)
    if not body:
        raise InvalidRequest("a JSON body is expected; there is none")
    return convert_document(parse_json(body), message_type)
