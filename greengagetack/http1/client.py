"""greengagetack.http1.client: exchanges with the server that a base URL names."""

import ssl
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from urllib.parse import urlsplit

from greengagetack.http1.connection import Connection
from greengagetack.http1.limits import ResponseLimits
from greengagetack.http1.message import (
    Headers,
    IncompleteResponse,
    Request,
    ResponseHead,
)
from greengagetack.http1.pool import Pool
from greengagetack.world import Address

__all__ = ["Exchange", "HttpClient"]

DEFAULT_PORTS = {"http": 80, "https": 443}


@dataclass(frozen=True, slots=True)
class Exchange:
    """The head of a response, and the connection that its body is read from."""

    head: ResponseHead
    connection: Connection


class HttpClient:
    """Client of one server; each exchange has a connection of its own.

    Parameters
    ----------
    url : str
        Base URL of the server; the path of a request is appended to it.
    connect_timeout_s : float
        Time in which a connection must open.
    limits : ResponseLimits or None
        What the responses may use, see `Pool`.
    """

    def __init__(
        self, url: str, connect_timeout_s: float, limits: ResponseLimits | None = None
    ) -> None:
        parts = urlsplit(url)
        port = parts.port or DEFAULT_PORTS[parts.scheme]
        self._address = Address(parts.hostname or "", port)
        self._host = parts.netloc.rpartition("@")[2].encode()
        self._prefix = parts.path.rstrip("/")
        tls = ssl.create_default_context() if parts.scheme == "https" else None
        self._pool = Pool(connect_timeout_s, limits, b"", tls)

    @asynccontextmanager
    async def exchange(
        self,
        method: str,
        path: str,
        headers: Headers = (),
        body: bytes = b"",
        is_fresh: bool = False,
        may_resend: bool = False,
    ) -> AsyncGenerator[Exchange, None]:
        """Send a request and yield the exchange once the response's head is there.

        Leaving the block before the end of the body closes the connection.

        Parameters
        ----------
        is_fresh : bool
            Whether no connection that is open already may be used.
        may_resend : bool
            Whether the request is sent once more if the server has closed an idle
            connection instead of answering on it.

        Raises
        ------
        ConnectFailed
            If no connection can be opened.
        IncompleteResponse
            If the connection is lost, or the response is not valid HTTP.
        """
        target = (self._prefix + path).encode()
        request = Request(
            method.encode(), target, ((b"host", self._host), *headers), body
        )
        async with AsyncExitStack() as stack:
            connection = await stack.enter_async_context(
                self._pool.connection(self._address, is_fresh)
            )
            received_bytes = connection.received_bytes
            try:
                head = await connection.send(request)
            except IncompleteResponse:
                has_answered = connection.received_bytes > received_bytes
                if not may_resend or connection.exchange_count == 1 or has_answered:
                    raise
                connection = await stack.enter_async_context(
                    self._pool.connection(self._address, is_fresh=True)
                )
                head = await connection.send(request)
            yield Exchange(head, connection)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()
