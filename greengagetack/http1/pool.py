"""greengagetack.http1.pool: a pool of idle connections per server."""

import ssl
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from greengagetack.http1.connection import Connection, open_connection
from greengagetack.http1.limits import ResponseLimits
from greengagetack.world import Address

__all__ = ["Pool"]

# Shorter than the idle timeout of most servers; used if the server states none.
DEFAULT_IDLE_LIMIT_S = 4.0
# A connection is closed this long before the idle timeout stated by the server.
IDLE_MARGIN_S = 1.0
REQUEST_ID_HEADER = b"x-request-id"


class Pool:
    """Pools idle connections per address; each runs one exchange at a time.

    Parameters
    ----------
    connect_timeout_s : float
        Time in which a connection must open.
    limits : ResponseLimits or None
        What the responses may use, together with those of other pools; None for limits
        of the pool's own.
    id_header : bytes
        Header in which servers echo a request's identifier, empty if they do not.
    tls : SSLContext or None
        Encrypts the connections; None for plain ones.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        limits: ResponseLimits | None = None,
        id_header: bytes = REQUEST_ID_HEADER,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self.limits = limits or ResponseLimits()
        self._id_header = id_header
        self._tls = tls
        self._idle_connections: dict[Address, list[Connection]] = {}

    @asynccontextmanager
    async def connection(
        self, address: Address, is_fresh: bool = False
    ) -> AsyncIterator[Connection]:
        """Acquire a connection; it is closed if its exchange does not end cleanly.

        With `is_fresh`, a new one is opened even if one is idle.

        Raises
        ------
        ConnectFailed
            If none is idle and no new one can be opened.
        """
        connection = None if is_fresh else self._take_idle(address)
        if connection is None:
            connection = await self._open(address)
        try:
            yield connection
        finally:
            self._release(address, connection)

    async def open_idle(self, address: Address) -> None:
        """Open a connection and keep it for the next exchange.

        Raises
        ------
        ConnectFailed
            If no connection can be opened.
        """
        self._release(address, await self._open(address))

    async def _open(self, address: Address) -> Connection:
        return await open_connection(
            address, self._id_header, self._connect_timeout_s, self.limits, self._tls
        )

    def _take_idle(self, address: Address) -> Connection | None:
        idle = self._idle_connections.get(address, [])
        now_s = time.monotonic()
        while idle:
            connection = idle.pop()
            limit_s = DEFAULT_IDLE_LIMIT_S
            if connection.idle_limit_s is not None:
                limit_s = max(0.0, connection.idle_limit_s - IDLE_MARGIN_S)
            if connection.is_open and now_s - connection.idle_since_s < limit_s:
                return connection
            connection.close()
        return None

    def _release(self, address: Address, connection: Connection) -> None:
        if (
            connection.in_exchange
            or not connection.is_reusable
            or not connection.is_open
        ):
            connection.discard()
            return
        connection.idle_since_s = time.monotonic()
        self._idle_connections.setdefault(address, []).append(connection)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to a server."""
        for connection in self._idle_connections.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_connections):
            self.close_idle(address)
