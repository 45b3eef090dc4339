"""features.support.scripted_replicas: replicas that answer with given bytes."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

from features.support.cut_network import CutNetwork
from greengagetack.gateway.routes import RequestKind
from greengagetack.http1.connection import Connection, set_reset_on_close
from greengagetack.http1.message import ConnectFailed
from greengagetack.http1.pool import Pool
from greengagetack.world import Address

__all__ = ["Script", "ScriptedNetwork", "ScriptedReplicas"]

CONNECT_TIMEOUT_S = 0.3
# Time in which the bytes reach the daemon before the connection ends.
FLUSH_S = 0.02


@dataclass(frozen=True)
class Script:
    """Bytes that answer one request; the connection ends after `linger_s`."""

    answer: bytes
    linger_s: float = FLUSH_S
    is_reset: bool = False


class ScriptedReplicas:
    """Servers that answer the requests in the order of their arrival."""

    def __init__(self, scripts: Sequence[Script]) -> None:
        self._scripts = list(scripts)
        self._servers: list[asyncio.Server] = []
        self._writers: list[asyncio.StreamWriter] = []
        self.addresses: list[Address] = []
        # The heads of the requests that arrived.
        self.requests: list[bytes] = []

    async def start(self, count: int) -> None:
        """Listen at several addresses."""
        for _ in range(count):
            server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
            self._servers.append(server)
            self.addresses.append(Address(*server.sockets[0].getsockname()))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        try:
            self.requests.append(await reader.readuntil(b"\r\n\r\n"))
        except asyncio.IncompleteReadError:
            # A check of the path opens a connection only.
            writer.close()
            return
        script = self._scripts.pop(0) if self._scripts else Script(b"")
        writer.write(script.answer)
        await asyncio.sleep(script.linger_s)
        if script.is_reset:
            transport = writer.transport
            assert isinstance(transport, asyncio.Transport)
            set_reset_on_close(transport)
            transport.abort()
        writer.close()

    async def close(self) -> None:
        """Stop listening and end all connections."""
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(2 * FLUSH_S)


class _RefusablePool(Pool):
    """A daemon's connections, of which no new one opens while it is cut off."""

    def __init__(self, network: CutNetwork, daemon: int) -> None:
        super().__init__(CONNECT_TIMEOUT_S)
        self._network = network
        self._daemon = daemon

    def _require_path(self, address: Address) -> None:
        if self._network.cut_of(self._daemon):
            error = ConnectionRefusedError(111, "refused")
            raise ConnectFailed(f"cannot connect to {address}") from error

    @asynccontextmanager
    async def connection(
        self, address: Address, is_fresh: bool = False
    ) -> AsyncIterator[Connection]:
        """Open a connection, if the daemon reaches the replicas."""
        self._require_path(address)
        async with super().connection(address, is_fresh) as connection:
            yield connection

    async def open_idle(self, address: Address) -> None:
        """Open a connection and keep it, if the daemon reaches the replicas."""
        self._require_path(address)
        await super().open_idle(address)


class ScriptedNetwork(CutNetwork):
    """Two daemons before scripted replicas."""

    def __init__(self, replicas: ScriptedReplicas, kind: RequestKind) -> None:
        super().__init__(2, len(replicas.addresses), kind, replicas.addresses)

    def _make_pool(self, number: int) -> Pool:
        return _RefusablePool(self, number)
