"""greengagetack.daemons.responses: JSON responses, in particular for errors."""

import math
from typing import Any

import msgspec
from loguru import logger
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response

from greengagetack.errors import (
    CodedError,
    InvalidRequest,
    NotFound,
    Outcome,
    Unauthorized,
)
from greengagetack.observability.logs import REQUEST_ID

__all__ = [
    "EXCEPTION_HANDLERS",
    "MethodNotAllowed",
    "error_body",
    "error_headers",
    "error_response",
    "json_response",
    "unexpected_error",
]

HTTP_NOT_FOUND = 404
HTTP_METHOD_NOT_ALLOWED = 405


class MethodNotAllowed(InvalidRequest):
    """The path does not support the request's method."""

    http_status = HTTP_METHOD_NOT_ALLOWED
    remedy = "Use one of the methods that docs/API.md lists for the path."


def error_body(error: CodedError, request_id: str) -> bytes:
    """Return the JSON body of an error response."""
    fields: dict[str, Any] = {
        "code": error.code,
        "reason": error.reason,
        "outcome": error.outcome.value,
        "remedy": error.remedy,
        "retry_after_s": error.retry_after_s,
        "request_id": request_id,
    }
    details = error.details()
    if details is not None:
        fields["details"] = details
    return msgspec.json.encode({"error": fields})


def error_headers(error: CodedError) -> dict[str, str]:
    """Return the headers of an error response."""
    headers = {"content-type": "application/json"}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, math.ceil(error.retry_after_s)))
    if isinstance(error, Unauthorized):
        headers["www-authenticate"] = "Bearer"
    return headers


def error_response(error: CodedError) -> Response:
    """Return an error as an HTTP response."""
    body = error_body(error, REQUEST_ID.get())
    return Response(body, error.http_status, error_headers(error))


def json_response(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Return a value, such as a frozen data class, as a JSON response."""
    content = msgspec.json.encode(value)
    return Response(content, status, headers, media_type="application/json")


def unexpected_error() -> CodedError:
    """Return the error for an unhandled exception; the request may have run."""
    error = CodedError("unexpected error in the daemon")
    error.outcome = Outcome.UNKNOWN
    return error


async def _answer_coded_error(request: Request, error: Exception) -> Response:
    assert isinstance(error, CodedError)
    return error_response(error)


async def _answer_http_error(request: Request, error: Exception) -> Response:
    assert isinstance(error, HTTPException)
    if error.status_code == HTTP_NOT_FOUND:
        return error_response(
            NotFound(f"path {request.url.path[:200]!r} does not exist")
        )
    if error.status_code == HTTP_METHOD_NOT_ALLOWED:
        allowed = (error.headers or {}).get("Allow", "")
        method_error = MethodNotAllowed(
            f"method {request.method} is not one of {allowed}"
        )
        answer = error_response(method_error)
        answer.headers["allow"] = allowed
        return answer
    return error_response(InvalidRequest(str(error.detail)))


async def _answer_disconnect(request: Request, error: Exception) -> Response:
    """Return a response that the disconnected client most likely won't read."""
    logger.debug("entry: the client disconnected during its request")
    return error_response(InvalidRequest("the connection ended within the request"))


async def _answer_unexpected_error(request: Request, error: Exception) -> Response:
    logger.opt(exception=error).error(
        "entry: unhandled error in {}", request.url.path[:200]
    )
    return error_response(unexpected_error())


EXCEPTION_HANDLERS: dict[Any, Any] = {
    CodedError: _answer_coded_error,
    ClientDisconnect: _answer_disconnect,
    HTTPException: _answer_http_error,
    Exception: _answer_unexpected_error,
}
