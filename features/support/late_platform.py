"""features.support.late_platform: an object API with delayed reads."""

import asyncio
import json
from contextlib import suppress

from greengagetack.peers.node import listening_socket
from greengagetack.world import Address

__all__ = ["LatePlatform"]


class LatePlatform:
    """Answers each read after `delay_s` seconds with an object of the read path."""

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.url = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on loopback."""
        listener = listening_socket(Address("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        self._server = await asyncio.start_server(self._serve, sock=listener)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                path = line.decode().split(" ")[1].removeprefix("/objects/")
                await asyncio.sleep(self.delay_s)
                stored = {"path": path, "version": 1, "change_id": "c", "value": 1}
                data = json.dumps(stored).encode()
                length = f"Content-Length: {len(data)}\r\n\r\n".encode()
                writer.write(b"HTTP/1.1 200 OK\r\n" + length + data)
        writer.transport.abort()

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
