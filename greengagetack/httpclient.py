"""greengagetack.httpclient: HTTP clients with safe connection reuse."""

from types import TracebackType

from aiosonic import HTTPClient
from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import ConnectionDisconnected
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

__all__ = ["make_http_client"]

DEFAULT_POOL_SIZE = 32
MAX_IDLE_MS = 10_000


class _StrictConnection(Connection):
    """A connection that takes no incomplete exchange for a whole one.

    aiosonic returns a connection to the pool even if its exchange was cancelled;
    the next request would then read the response to the previous one. It also takes
    a connection that closes within a response's head for the end of that head.
    """

    async def readline(self) -> bytes:
        """Return a line with its end; the connection must not close before that."""
        line = await super().readline()
        if not line.endswith(b"\n"):
            self.keep = False
            raise ConnectionDisconnected
        return line

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
    """Return a client with its own connection pool.

    Parameters
    ----------
    pool_size : int
        Maximum number of simultaneous connections.
    timeouts : Timeouts or None
        Timeouts of all requests, None for the defaults of aiosonic.
    max_requests : int or None
        Number of requests for which a connection is reused, 0 to open a new one for
        each request.
    """
    pool = PoolConfig(
        size=pool_size, max_conn_requests=max_requests, max_conn_idle_ms=MAX_IDLE_MS
    )
    connector = TCPConnector(
        pool_configs={":default": pool},
        timeouts=timeouts,
        connection_cls=_StrictConnection,
    )
    return HTTPClient(connector)
