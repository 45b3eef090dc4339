"""features.support.fake_service: a plain service on a socket, with fault injection."""

import asyncio
from contextlib import suppress

from greengagetack.peers.node import listening_socket
from greengagetack.world import Address

__all__ = ["FakeService"]


class FakeService:
    """Answers plain calls; the first `faults` calls show `behaviour`."""

    def __init__(self, behaviour: str = "answers", faults: int = 1_000_000) -> None:
        self.behaviour = behaviour
        self.faults = faults
        self.runs = 0
        self.address = Address("127.0.0.1", 0)
        self._server: asyncio.Server | None = None

    @property
    def url(self) -> str:
        """Base URL of the service."""
        return f"http://{self.address}"

    async def start(self) -> None:
        """Listen on loopback, or leave the port closed."""
        listener = listening_socket(self.address)
        self.address = Address("127.0.0.1", listener.getsockname()[1])
        if self.behaviour == "accepts no connection":
            listener.close()
            return
        self._server = await asyncio.start_server(self._serve, sock=listener)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while await self._exchange(reader, writer):
                pass
        writer.transport.abort()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        line = await reader.readline()
        if not line:
            return False
        length = 0
        while (header := await reader.readline()).strip():
            name, _, value = header.decode().partition(":")
            if name.lower() == "content-length":
                length = int(value)
        await reader.readexactly(length)
        if b"/healthz" in line:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        behaviour = self.behaviour if self.faults > 0 else "answers"
        self.faults -= 1
        if behaviour == "refuses before running":
            writer.write(
                b"HTTP/1.1 503 X\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        self.runs += 1
        if behaviour == "breaks after running":
            return False
        if behaviour == "is silent":
            await asyncio.sleep(3600)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        return True

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
