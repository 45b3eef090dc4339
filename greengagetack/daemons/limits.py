"""greengagetack.daemons.limits: size and time limits of HTTP requests."""

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

DEFAULT_MAX_JSON_BYTES = 1024 * 1024
MAX_DISCARDED_BODY_BYTES = 1024 * 1024
REQUEST_ID_HEADER = "x-request-id"

_REQUEST_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of a request.

    `body_pause_s` is the longest pause between two parts of the body, `body_s`
    the longest time for the whole body.
    """

    path_bytes: int = 2_048
    query_bytes: int = 8_192
    header_count: int = 64
    header_bytes: int = 32_768
    body_bytes: int = 16 * 1024 * 1024
    body_pause_s: float = 5.0
    body_s: float = 30.0


class LimitsMiddleware:
    """Refuses requests that exceed a limit and returns every error as JSON.

    It also sets each request's identifier: the client's ``X-Request-Id`` if there is
    one, else a new one.
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
        exchange.read_declared_length(Headers(scope=scope))
        try:
            exchange.request_id = _request_id(scope)
            _check_head(scope, self._limits)
            REQUEST_ID.set(exchange.request_id)
            _set_request_id_header(scope, exchange.request_id)
            await self._app(scope, exchange.receive, exchange.send)
        except CodedError as error:
            await exchange.send_error(scope, error)
        except ClientDisconnect:
            logger.debug(
                "entry: the client disconnected before its request was complete"
            )
        except Exception as error:
            if exchange.response_complete:
                return
            if exchange.response_started:
                raise
            logger.opt(exception=error).error("entry: unhandled error in a request")
            await exchange.send_error(scope, unexpected_error())


def _request_id(scope: Scope) -> str:
    values = Headers(scope=scope).getlist(REQUEST_ID_HEADER)
    if not values:
        return uuid.uuid4().hex
    if len(values) > 1 or not _REQUEST_ID.fullmatch(values[0]):
        raise InvalidRequest(
            "X-Request-Id must be 1 to 128 letters, digits or . _ : -, starting with a "
            "letter or digit"
        )
    return values[0]


def _set_request_id_header(scope: Scope, request_id: str) -> None:
    """Put the identifier into the request headers, where all handlers read it."""
    others = [
        (name, value)
        for name, value in scope["headers"]
        if name != REQUEST_ID_HEADER.encode()
    ]
    scope["headers"] = [*others, (REQUEST_ID_HEADER.encode(), request_id.encode())]


def _check_head(scope: Scope, limits: HttpLimits) -> None:
    headers = scope["headers"]
    if len(headers) > limits.header_count:
        raise RequestTooLarge(
            f"a request may have at most {limits.header_count} headers"
        )
    size_bytes = sum(len(name) + len(value) for name, value in headers)
    if size_bytes > limits.header_bytes:
        raise RequestTooLarge(f"headers may have at most {limits.header_bytes} bytes")
    if len(scope.get("raw_path") or b"") > limits.path_bytes:
        raise RequestTooLarge(f"a path may have at most {limits.path_bytes} bytes")
    if len(scope["query_string"]) > limits.query_bytes:
        raise RequestTooLarge(f"a query may have at most {limits.query_bytes} bytes")
    length = Headers(scope=scope).get("content-length", "0")
    if not (length.isascii() and length.isdigit()):
        raise InvalidRequest("Content-Length is not a number")
    if int(length) > limits.body_bytes:
        raise RequestTooLarge(f"a body may have at most {limits.body_bytes} bytes")


class _Exchange:
    """Wraps `receive` and `send` of one request to enforce its limits."""

    def __init__(self, limits: HttpLimits, receive: Receive, send: Send) -> None:
        self.request_id = "-"
        self.response_started = False
        self.response_complete = False
        self._limits = limits
        self._receive = receive
        self._send = send
        self._body_bytes = 0
        self._has_body_ended = False
        self._body_deadline_s: float | None = None
        self._declared_bytes = 0

    def read_declared_length(self, headers: Headers) -> None:
        """Read the declared length of the body."""
        length = headers.get("content-length", "0")
        if length.isascii() and length.isdigit():
            self._declared_bytes = int(length)
        if "transfer-encoding" in headers:
            self._declared_bytes = MAX_DISCARDED_BODY_BYTES + 1

    async def receive(self) -> Message:
        """Receive a part of the body, or the disconnect that follows the body."""
        if self._has_body_ended:
            return await self._receive()
        try:
            async with asyncio.timeout(self._receive_timeout_s()):
                message = await self._receive()
        except TimeoutError:
            self._has_body_ended = True
            raise RequestTooSlow(
                f"the body took more than {self._limits.body_s:g} s or paused for "
                f"{self._limits.body_pause_s:g} s"
            ) from None
        if message["type"] != "http.request":
            self._has_body_ended = True
            return message
        self._body_bytes += len(message.get("body", b""))
        self._has_body_ended = not message.get("more_body", False)
        if self._body_bytes > self._limits.body_bytes:
            raise RequestTooLarge(
                f"a body may have at most {self._limits.body_bytes} bytes"
            )
        return message

    def _receive_timeout_s(self) -> float:
        now_s = asyncio.get_running_loop().time()
        if self._body_deadline_s is None:
            self._body_deadline_s = now_s + self._limits.body_s
        return max(0.0, min(self._limits.body_pause_s, self._body_deadline_s - now_s))

    async def send(self, message: Message) -> None:
        """Send a part of the response, with the request's identifier in its headers."""
        if message["type"] == "http.response.start":
            self.response_started = True
            headers = MutableHeaders(scope=message)
            headers[REQUEST_ID_HEADER] = self.request_id
            if not await self._drain_body():
                headers["connection"] = "close"
        if message["type"] == "http.response.body":
            self.response_complete = not message.get("more_body", False)
        await self._send(message)

    async def _drain_body(self) -> bool:
        """Discard a short remainder of the body; return whether it is fully read.

        Closing a connection with unread bytes could reset it before the client
        has received the response.
        """
        if self._has_body_ended or not self._declared_bytes:
            return True
        if self._declared_bytes > MAX_DISCARDED_BODY_BYTES:
            return False
        try:
            while not self._has_body_ended:
                await self.receive()
        except CodedError:
            return False
        return True

    async def send_error(self, scope: Scope, error: CodedError) -> None:
        """Send an error response; raise the error if a response has started."""
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
        If the body has more than `max_bytes`.
    RequestTooSlow
        If the client takes too long to send it.
    """
    length = request.headers.get("content-length", "0")
    if int(length) > max_bytes:
        raise RequestTooLarge(f"this body may have at most {max_bytes} bytes")
    body = bytearray()
    async for part in request.stream():
        body += part
        if len(body) > max_bytes:
            raise RequestTooLarge(f"this body may have at most {max_bytes} bytes")
    return bytes(body)


async def read_json(
    request: Request, message_type: type[T], max_bytes: int = DEFAULT_MAX_JSON_BYTES
) -> T:
    """Return the JSON body of a request as a frozen data class.

    Raises
    ------
    InvalidDocument
        Lists all problems with their paths: malformed JSON, duplicate or unknown
        keys, missing fields, wrong types.
    RequestTooLarge, RequestTooSlow
        As for `read_body`.
    """
    body = await read_body(request, max_bytes)
    if not body:
        raise InvalidRequest("a JSON body is required")
    return convert_document(parse_json(body), message_type)
