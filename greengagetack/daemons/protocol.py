"""greengagetack.daemons.protocol: uvicorn's HTTP protocol with limits on headers."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import uvicorn
from loguru import logger
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from greengagetack.daemons.responses import error_body, error_headers
from greengagetack.errors import (
    CodedError,
    InvalidRequest,
    RequestTooLarge,
    RequestTooSlow,
)

__all__ = ["BoundedHttpProtocol", "HttpBounds", "bounded_config"]

HEADER_TIMEOUT_S = 10.0
KEEP_ALIVE_TIMEOUT_S = 65.0
MAX_HEADER_BYTES = 65_536
MAX_CONNECTIONS = 20_000
REASON_PHRASES = {400: "Bad Request", 408: "Request Timeout", 413: "Content Too Large"}


@dataclass(frozen=True, slots=True)
class HttpBounds:
    """Limits of a connection: header time, idle time and header size."""

    header_timeout_s: float
    idle_timeout_s: float
    max_header_bytes: int


def _default_bounds() -> HttpBounds:
    return HttpBounds(HEADER_TIMEOUT_S, KEEP_ALIVE_TIMEOUT_S, MAX_HEADER_BYTES)


class BoundedHttpProtocol(HttpToolsProtocol):
    """Refuses requests whose headers arrive too slowly or are too large.

    A client that half-closes its connection in the middle of a request gets an
    error and nothing is run; a half-close after the request counts as a
    disconnect. `bounds` is called anew for each request and each idle period, so
    that changed limits apply at once.
    """

    bounds: Callable[[], HttpBounds] = staticmethod(_default_bounds)
    _header_timer: asyncio.TimerHandle | None = None
    _received_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Start the timer for the beginning of the first request."""
        super().connection_made(transport)
        self._start_header_timer(self.bounds().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer."""
        self._stop_header_timer()
        super().connection_lost(exc)

    def _start_header_timer(self, limit_s: float) -> None:
        self._stop_header_timer()
        self._header_timer = self.loop.call_later(limit_s, self._on_header_timeout)

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        if self.transport.is_closing():
            return
        if not self._received_bytes:
            self.transport.close()
            return
        limit_s = self.bounds().header_timeout_s
        self._refuse(RequestTooSlow(f"headers took more than {limit_s:g} s"))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; refuse a request whose headers are too large."""
        if self.transport.is_closing():
            return
        self._received_bytes += len(data)
        super().data_received(data)
        is_reading_headers = self._header_timer is not None
        limit_bytes = self.bounds().max_header_bytes
        if is_reading_headers and self._received_bytes > limit_bytes:
            self._refuse(
                RequestTooLarge(f"headers may have at most {limit_bytes} bytes")
            )

    def on_message_begin(self) -> None:
        """Start the timer for a request's headers."""
        super().on_message_begin()
        self._start_header_timer(self.bounds().header_timeout_s)

    def on_headers_complete(self) -> None:
        """Stop the timer for a request's headers."""
        self._stop_header_timer()
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Reset the header size and the idle timeout for the next request."""
        self._received_bytes = 0
        self.timeout_keep_alive = math.ceil(self.bounds().idle_timeout_s)
        super().on_response_complete()

    def eof_received(self) -> None:
        """Refuse a request that the client half-closed before its end."""
        cycle = self.cycle
        in_body = cycle is not None and cycle.more_body and not cycle.response_started
        in_headers = self._header_timer is not None and self._received_bytes > 0
        if in_headers or in_body:
            self._refuse(InvalidRequest("the connection ended within the request"))

    def send_400_response(self, msg: str) -> None:
        """Refuse bytes that are not valid HTTP."""
        self._refuse(InvalidRequest(msg))

    def _refuse(self, error: CodedError) -> None:
        logger.debug("entry: refused a malformed or slow request: {}", error.reason)
        self._stop_header_timer()
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            cycle.disconnected = True
            cycle.message_event.set()
        body = error_body(error, "-")
        headers = error_headers(error)
        headers["content-length"] = str(len(body))
        headers["connection"] = "close"
        phrase = REASON_PHRASES.get(error.http_status, "Error")
        lines = [f"HTTP/1.1 {error.http_status} {phrase}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(lines) + "\r\n\r\n"
        if not self.transport.is_closing():
            self.transport.write(head.encode() + body)
            self.transport.close()


def bounded_config(
    app: Any, bounds: Callable[[], HttpBounds] = _default_bounds, **options: Any
) -> uvicorn.Config:
    """Return a uvicorn configuration that enforces the connection limits.

    Parameters
    ----------
    bounds : callable
        Returns the limits currently in force.
    """
    protocol = type(
        "ConfiguredHttpProtocol",
        (BoundedHttpProtocol,),
        {"bounds": staticmethod(bounds)},
    )
    return uvicorn.Config(
        app,
        http=protocol,
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        timeout_keep_alive=int(KEEP_ALIVE_TIMEOUT_S),
        limit_concurrency=MAX_CONNECTIONS,
        server_header=False,
        proxy_headers=False,
        **options,
    )
