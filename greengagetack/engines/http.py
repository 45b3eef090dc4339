"""greengagetack.engines.http: HTTP connections to one endpoint."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from greengagetack.errors import CodedError, EndpointFailed
from greengagetack.http1.client import Exchange, HttpClient
from greengagetack.http1.limits import ResponseLimits
from greengagetack.http1.message import ConnectFailed, ExchangeError, Headers
from greengagetack.keeper.errors import EndpointUnreachable
from greengagetack.observability.logs import REQUEST_ID
from greengagetack.observability.traces import current_traceparent
from greengagetack.world import Endpoint

__all__ = ["EndpointHttp", "HttpAnswer", "StreamedAnswer", "transport_error"]

CONNECT_TIMEOUT_S = 1.0
REFUSED_RETRY_S = 0.5
MAX_ANSWER_BYTES = 16 * 1024 * 1024

# Raised if a connection breaks, times out or receives invalid HTTP or events.
CONNECTION_ERRORS = (ExchangeError, OSError, ValueError)


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


class StreamedAnswer:
    """An answer that is still arriving."""

    def __init__(self, exchange: Exchange) -> None:
        self.head = exchange.head
        self._connection = exchange.connection
        # What the reader holds of the parts that it has read.
        self.kept_bytes = 0

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self.head.status

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        IncompleteResponse
            If the answer ends early.
        """
        while part := await self._connection.read(self.kept_bytes):
            yield part

    async def read_rest(self) -> HttpAnswer:
        """Read the answer to its end.

        Raises
        ------
        IncompleteResponse
            If the answer ends early or is larger than ``MAX_ANSWER_BYTES``.
        ValueError
            If the answer does not tell where it ends.
        """
        if self._connection.ends_at_close and self.status not in (204, 304):
            raise ValueError(
                "the answer has neither Content-Length nor chunked encoding"
            )
        body = await self._connection.read_all(MAX_ANSWER_BYTES)
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self.head.headers
        )
        return HttpAnswer(self.status, headers, body)


def transport_error(endpoint: Endpoint, error: Exception) -> CodedError:
    """Return the coded error for a failed connection."""
    detail = str(error) or type(error).__name__
    if isinstance(error, ConnectFailed):
        return EndpointUnreachable(
            f"{endpoint.endpoint_id} accepts no connections: {detail}", REFUSED_RETRY_S
        )
    return EndpointFailed(f"connection to {endpoint.endpoint_id} failed: {detail}")


class EndpointHttp:
    """HTTP client of one endpoint.

    Each call that must not be resent uses a new connection: one that is idle may have
    been closed by the endpoint, and then nobody knows whether the call ran.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint to connect to.
    limits : ResponseLimits or None
        What the answers may use, together with those of other endpoints.
    """

    def __init__(
        self, endpoint: Endpoint, limits: ResponseLimits | None = None
    ) -> None:
        self.endpoint = endpoint
        self._client = HttpClient(endpoint.url, CONNECT_TIMEOUT_S, limits)

    def _headers(self, others: dict[str, str]) -> Headers:
        headers = {"X-Request-Id": REQUEST_ID.get()}
        traceparent = current_traceparent()
        if traceparent:
            headers["traceparent"] = traceparent
        return tuple(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in (headers | others).items()
        )

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

        With `never_resend`, a new connection is used, and the request is sent once.

        Raises
        ------
        EndpointUnreachable
            If no connection could be made.
        EndpointFailed
            If the complete answer did not arrive within `timeout_s`.
        """
        try:
            async with asyncio.timeout(timeout_s):
                async with self._client.exchange(
                    method,
                    path,
                    self._headers(headers or {}),
                    body,
                    is_fresh=never_resend,
                    may_resend=not never_resend,
                ) as exchange:
                    return await StreamedAnswer(exchange).read_rest()
        except TimeoutError:
            raise EndpointFailed(
                f"{self.endpoint.endpoint_id} did not answer within {timeout_s:g} s"
            ) from None
        except CONNECTION_ERRORS as error:
            raise transport_error(self.endpoint, error) from error

    @asynccontextmanager
    async def stream(
        self, path: str, body: bytes
    ) -> AsyncGenerator[StreamedAnswer, None]:
        """Send a POST request and yield the answer while it is still arriving.

        Leaving the block early closes the connection. Connection errors are
        raised as `EndpointUnreachable` or `EndpointFailed`.
        """
        headers = self._headers({"Content-Type": "application/json"})
        try:
            async with self._client.exchange(
                "POST", path, headers, body, may_resend=True
            ) as exchange:
                yield StreamedAnswer(exchange)
        except CONNECTION_ERRORS as error:
            raise transport_error(self.endpoint, error) from error

    async def close(self) -> None:
        """Close all connections."""
        self._client.close()
