"""greengagetack.engines.http: HTTP connections to one endpoint."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from aiosonic import HttpResponse
from aiosonic.exceptions import (
    AiosonicError,
    ConnectionPoolAcquireTimeout,
    ConnectTimeout,
)
from aiosonic.timeout import Timeouts

from greengagetack.errors import CodedError, EndpointFailed
from greengagetack.httpclient import make_http_client
from greengagetack.keeper.errors import EndpointUnreachable
from greengagetack.observability.logs import REQUEST_ID
from greengagetack.observability.traces import current_traceparent
from greengagetack.world import Endpoint

__all__ = ["EndpointHttp", "HttpAnswer", "transport_error"]

CONNECT_TIMEOUT_S = 1.0
POOL_TIMEOUT_S = 1.0
REFUSED_RETRY_S = 0.5
SPARE_CONNECTIONS = 16
MAX_ANSWER_BYTES = 16 * 1024 * 1024

# Raised if a connection breaks, times out or receives invalid HTTP.
CONNECTION_ERRORS = (AiosonicError, OSError, asyncio.IncompleteReadError, ValueError)
CONNECT_ERRORS = (ConnectionRefusedError, ConnectTimeout, ConnectionPoolAcquireTimeout)


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete HTTP answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return the first header with the lower-case `name`, or an empty string."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return ""


def transport_error(endpoint: Endpoint, error: Exception) -> CodedError:
    """Return the coded error for a failed connection."""
    detail = str(error) or type(error).__name__
    if isinstance(error, CONNECT_ERRORS):
        return EndpointUnreachable(
            f"{endpoint.endpoint_id} accepts no connections: {detail}", REFUSED_RETRY_S
        )
    return EndpointFailed(f"connection to {endpoint.endpoint_id} failed: {detail}")


class EndpointHttp:
    """HTTP client of one endpoint.

    Streams, short requests and calls that must not be resent have separate
    connection pools, so that they don't wait for each other. Each call that must
    not be resent uses a new connection, because the HTTP library resends a request
    by itself if a reused connection fails.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        timeouts = Timeouts(
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=None,
            pool_acquire=POOL_TIMEOUT_S,
            request_timeout=None,
        )
        pool_size = 2 * endpoint.slots + SPARE_CONNECTIONS
        self._streams = make_http_client(pool_size, timeouts)
        self._pooled = make_http_client(SPARE_CONNECTIONS, timeouts)
        self._single_use = make_http_client(pool_size, timeouts, max_requests=0)

    def _headers(self) -> dict[str, str]:
        headers = {"X-Request-Id": REQUEST_ID.get()}
        traceparent = current_traceparent()
        if traceparent:
            headers["traceparent"] = traceparent
        return headers

    async def request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        never_resend: bool = False,
    ) -> HttpAnswer:
        """Send a request and return the complete answer.

        With `never_resend`, a new connection is used, on which the HTTP library
        does not resend the request.

        Raises
        ------
        EndpointRefused
            If no connection could be made.
        EndpointFailed
            If the complete answer did not arrive within `timeout_s`.
        """
        client = self._single_use if never_resend else self._pooled
        try:
            async with asyncio.timeout(timeout_s):
                response = await client.request(
                    self.endpoint.url + path,
                    method=method,
                    data=body,
                    headers=self._headers() | (headers or {}),
                    stream=True,
                )
                return await self._read_whole(response)
        except TimeoutError:
            raise EndpointFailed(
                f"{self.endpoint.endpoint_id} did not answer within {timeout_s:g} s"
            ) from None
        except CONNECTION_ERRORS as error:
            raise transport_error(self.endpoint, error) from error

    async def _read_whole(self, response: HttpResponse) -> HttpAnswer:
        parts: list[bytes] = []
        size_bytes = len(response.body)
        if response.body:
            parts.append(response.body)
        try:
            if self._lacks_length(response):
                raise ValueError(
                    "the answer has neither Content-Length nor chunked encoding"
                )
            if response._has_pending_body():
                async for part in response.read_chunks():
                    size_bytes += len(part)
                    if size_bytes > MAX_ANSWER_BYTES:
                        raise ValueError("the answer is larger than 16 MiB")
                    parts.append(part)
        finally:
            await response.aclose()
        headers = tuple((key, value) for key, value in response.raw_headers)
        return HttpAnswer(response.status_code, headers, b"".join(parts))

    @staticmethod
    def _lacks_length(response: HttpResponse) -> bool:
        # An answer without a length ends when the connection is closed; the library
        # returns an empty body for it.
        if response.method == "HEAD" or response.status_code in (204, 304):
            return False
        return not response.chunked and "content-length" not in response.headers

    @asynccontextmanager
    async def stream(
        self, path: str, body: bytes
    ) -> AsyncGenerator[HttpResponse, None]:
        """Send a POST request and yield the answer while it is still arriving.

        Leaving the block early closes the connection. Connection errors are
        raised as `EndpointUnreachable` or `EndpointFailed`.
        """
        response: HttpResponse | None = None
        try:
            response = await self._streams.request(
                self.endpoint.url + path,
                method="POST",
                data=body,
                headers=self._headers() | {"Content-Type": "application/json"},
                stream=True,
            )
            yield response
        except CONNECTION_ERRORS as error:
            raise transport_error(self.endpoint, error) from error
        finally:
            if response is not None:
                await response.aclose()

    async def read_rest(self, response: HttpResponse) -> HttpAnswer:
        """Read a streamed answer to its end and return it."""
        return await self._read_whole(response)

    async def close(self) -> None:
        """Close all connections."""
        for client in (self._streams, self._pooled, self._single_use):
            await client.connector.cleanup()
