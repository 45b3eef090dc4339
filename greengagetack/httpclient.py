"""greengagetack.httpclient: HTTP clients whose connections are safe to reuse."""

from types import TracebackType

from aiosonic import HTTPClient
from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

__all__ = ["make_http_client"]

DEFAULT_POOL_SIZE = 32
IDLE_LIMIT_MS = 10_000


class _ClosingConnection(Connection):
    """A connection that is never reused after an exchange that did not end.

    The library puts a connection whose exchange was cancelled back into its
    pool; the next request would then read the answer of the former one.
    """

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        """Close the connection if the exchange failed, then release it."""
        if exc_type is not None:
            self.keep = False
            self.close()
        await super().__aexit__(exc_type, exc, tb)


def make_http_client(
    pool_size: int = DEFAULT_POOL_SIZE,
    timeouts: Timeouts | None = None,
    max_requests: int | None = None,
) -> HTTPClient:
    """Return a client with a pool of its own.

    Parameters
    ----------
    pool_size : int
        Most connections at a time.
    timeouts : Timeouts or None
        Timeouts of all requests, None for the library's.
    max_requests : int or None
        Requests for which a connection is reused, 0 for a new one each time.
    """
    pool = PoolConfig(
        size=pool_size, max_conn_requests=max_requests, max_conn_idle_ms=IDLE_LIMIT_MS
    )
    connector = TCPConnector(
        pool_configs={":default": pool},
        timeouts=timeouts,
        connection_cls=_ClosingConnection,
    )
    return HTTPClient(connector)
