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
MAX_BODY_BYTES = 16 * 1024 * 1024

# Raised by a connection that broke, was silent or spoke no HTTP.
BROKEN = (AiosonicError, OSError, asyncio.IncompleteReadError, ValueError)
NOT_SENT = (ConnectionRefusedError, ConnectTimeout, ConnectionPoolAcquireTimeout)


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole HTTP answer; header names in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return the first header called `name`, or an empty string."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return ""


def transport_error(endpoint: Endpoint, error: Exception) -> CodedError:
    """Return the coded error for a connection that failed."""
    what = str(error) or type(error).__name__
    if isinstance(error, NOT_SENT):
        return EndpointUnreachable(
            f"{endpoint.endpoint_id} accepts no connection: {what}", REFUSED_RETRY_S
        )
    return EndpointFailed(f"{endpoint.endpoint_id} was lost: {what}")


class EndpointHttp:
    """HTTP client of one endpoint.

    Streams, short requests and calls that must not be repeated each have a
    pool, so that none waits for another. The last one makes a new connection
    for each call: the library repeats a request by itself only on a reused one.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        timeouts = Timeouts(
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=None,
            pool_acquire=POOL_TIMEOUT_S,
            request_timeout=None,
        )
        size = 2 * endpoint.slots + SPARE_CONNECTIONS
        self._streams = make_http_client(size, timeouts)
        self._short = make_http_client(SPARE_CONNECTIONS, timeouts)
        self._once = make_http_client(size, timeouts, max_requests=0)

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
        once: bool = False,
    ) -> HttpAnswer:
        """Send a request and return the whole answer.

        Raises
        ------
        EndpointRefused
            If no connection could be made.
        EndpointFailed
            If the answer did not come whole within `timeout_s`.
        """
        client = self._once if once else self._short
        try:
            async with asyncio.timeout(timeout_s):
                response = await client.request(
                    self.endpoint.url + path,
                    method=method,
                    data=body,
                    headers=self._headers() | (headers or {}),
                    stream=True,
                )
                return await self._whole(response)
        except TimeoutError:
            raise EndpointFailed(
                f"{self.endpoint.endpoint_id} did not answer in {timeout_s:g} s"
            ) from None
        except BROKEN as error:
            raise transport_error(self.endpoint, error) from error

    async def _whole(self, response: HttpResponse) -> HttpAnswer:
        parts: list[bytes] = []
        size_bytes = len(response.body)
        if response.body:
            parts.append(response.body)
        try:
            if self._lacks_length(response):
                raise ValueError("the answer does not say how long it is")
            if response._has_pending_body():
                async for part in response.read_chunks():
                    size_bytes += len(part)
                    if size_bytes > MAX_BODY_BYTES:
                        raise ValueError("the answer is too large")
                    parts.append(part)
        finally:
            await response.aclose()
        headers = tuple((key, value) for key, value in response.raw_headers)
        return HttpAnswer(response.status_code, headers, b"".join(parts))

    @staticmethod
    def _lacks_length(response: HttpResponse) -> bool:
        # The library gives an empty body for an answer that ends by closing.
        if response.method == "HEAD" or response.status_code in (204, 304):
            return False
        return not response.chunked and "content-length" not in response.headers

    @asynccontextmanager
    async def stream(
        self, path: str, body: bytes
    ) -> AsyncGenerator[HttpResponse, None]:
        """Post a request and give its answer while it is still arriving.

        Leaving the block early closes the connection. Errors of the connection
        come out as `EndpointUnreachable` or `EndpointFailed`.
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
        except BROKEN as error:
            raise transport_error(self.endpoint, error) from error
        finally:
            if response is not None:
                await response.aclose()

    async def whole_body(self, response: HttpResponse) -> HttpAnswer:
        """Read the rest of a streamed answer."""
        return await self._whole(response)

    async def close(self) -> None:
        """Close all connections."""
        for client in (self._streams, self._short, self._once):
            await client.connector.cleanup()
