"""standins.proxy: a TCP relay that cuts, freezes and delays connections."""

import asyncio
import time
from contextlib import suppress

from greengagetack.peers.link import set_low_delay
from greengagetack.peers.node import listening_socket
from greengagetack.world import Address

__all__ = ["Relay"]

READ_BYTES = 65_536
MAX_QUEUED_CHUNKS = 1_024


class RelayedConnection:
    """A client's connection and the relay's connection to the target."""

    def __init__(
        self, client: asyncio.StreamWriter, server: asyncio.StreamWriter
    ) -> None:
        self.writers = (client, server)
        self.frozen = False

    def close(self) -> None:
        """Abort both connections."""
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """Relays connections to `target`; runs in the event loop of the test.

    Parameters
    ----------
    target : Address
        Address to which connections are relayed.
    latency_s : float
        One-way latency, added in each direction.
    """

    def __init__(self, target: Address, latency_s: float = 0.0) -> None:
        self.target = target
        self.latency_s = latency_s
        self.refuse = False
        self.freeze_new = False
        self._connections: set[RelayedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.address = target

    async def start(self) -> Address:
        """Listen on a free loopback port and return the address."""
        listener = listening_socket(Address("127.0.0.1", 0))
        self.address = Address("127.0.0.1", listener.getsockname()[1])
        self._server = await asyncio.start_server(self._accept, sock=listener)
        return self.address

    @property
    def open_connections(self) -> int:
        """Number of relayed connections that are open."""
        return len(self._connections)

    def cut(self) -> None:
        """Abort all open connections; new ones are accepted."""
        for connection in list(self._connections):
            connection.close()

    def freeze(self) -> None:
        """Discard all further bytes of the open connections without closing them."""
        for connection in self._connections:
            connection.frozen = True

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.cut()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuse:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.target.host, self.target.port
            )
        except OSError:
            writer.transport.abort()
            return
        set_low_delay(writer)
        set_low_delay(target_writer)
        connection = RelayedConnection(writer, target_writer)
        connection.frozen = self.freeze_new
        self._connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._relay(connection, reader, target_writer))
                group.create_task(self._relay(connection, target_reader, writer))
        finally:
            connection.close()
            self._connections.discard(connection)

    async def _relay(
        self,
        connection: RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        sender = asyncio.create_task(self._send(connection, chunks, writer))
        try:
            with suppress(OSError):
                while data := await reader.read(READ_BYTES):
                    await chunks.put((time.monotonic() + self.latency_s, data))
            await chunks.put((time.monotonic() + self.latency_s, b""))
            await sender
        finally:
            sender.cancel()

    async def _send(
        self,
        connection: RelayedConnection,
        chunks: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        with suppress(OSError):
            while True:
                due_s, data = await chunks.get()
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                if connection.frozen:
                    continue
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
