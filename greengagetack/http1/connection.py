"""greengagetack.http1.connection: one client connection, one exchange at a time."""

import asyncio
import socket
from collections import deque

import httptools

from greengagetack.http1.message import (
    AnswerBroken,
    AnswerHead,
    ConnectFailed,
    Request,
    header,
)
from greengagetack.world import Address

__all__ = ["Connection", "open_connection", "set_keepalive"]

# Probes find a peer that has forgotten the connection without any traffic of ours.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Unacknowledged bytes for longer than this end the connection.
USER_TIMEOUT_MS = 2_500
# Reading pauses while this much of an answer waits for its consumer.
MAX_BUFFERED_BYTES = 1_048_576
CONTINUE_STATUSES = range(100, 200)


def set_keepalive(sock: socket.socket) -> None:
    """Let the kernel end a connection whose peer has gone silent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Connection(asyncio.Protocol):
    """A connection that is reused only after exchanges that ended cleanly.

    Bytes that belong to no exchange, an answer with another request's identifier,
    or an exchange that was abandoned make it unfit for reuse.
    """

    def __init__(self, id_header: bytes) -> None:
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._closed = asyncio.Event()
        self._reset_state()
        self.reusable = True
        self.in_exchange = False
        self.exchanges = 0
        self.idle_since_s = 0.0
        self.idle_limit_s: float | None = None
        self.received_bytes = 0

    def _reset_state(self) -> None:
        self._head: AnswerHead | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._is_complete = False
        self._error: Exception | None = None
        self._expected_id: bytes | None = None
        self._skips_message = False
        self._until_eof = False
        self._no_body = False
        self._news = asyncio.Event()

    # -- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answer; without an exchange they are stray."""
        self.received_bytes += len(data)
        if not self.in_exchange or self._is_complete:
            self.reusable = False
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.reusable = False
            if not self._is_complete:
                self._fail(f"the answer is no HTTP: {error}")
            self.close()
        self._pause_if_full()

    def eof_received(self) -> None:
        """End an answer that has neither a length nor chunks."""
        if self._until_eof and self._head is not None:
            self._is_complete = True
            self._news.set()
        self.reusable = False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange in progress."""
        self.reusable = False
        self._closed.set()
        if self.in_exchange and not self._is_complete:
            self._fail(f"the connection ended: {exc or 'closed by the server'}")

    # -- httptools callbacks

    def on_message_begin(self) -> None:
        """Start an answer; a second one after a complete one is stray."""
        if self._is_complete:
            self.reusable = False
            return
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Take the head; an answer to another request is passed over."""
        if self._is_complete:
            return
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        answered_id = header(headers, self._id_header)
        is_foreign = answered_id is not None and answered_id != self._expected_id
        if status in CONTINUE_STATUSES or (self._expected_id and is_foreign):
            self._skips_message = True
            self.reusable = self.reusable and status in CONTINUE_STATUSES
            return
        self._head = AnswerHead(status, headers)
        self._note_persistence(headers)
        if self._no_body:
            self._is_complete = True
            self.reusable = False
        self._news.set()

    def _note_persistence(self, headers: tuple[tuple[bytes, bytes], ...]) -> None:
        has_length = header(headers, b"content-length") is not None
        is_chunked = b"chunked" in (header(headers, b"transfer-encoding") or b"")
        assert self._head is not None
        self._until_eof = not has_length and not is_chunked
        if self._until_eof or not self._parser.should_keep_alive():
            self.reusable = False
        for part in (header(headers, b"keep-alive") or b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name == b"timeout" and value.isdigit():
                self.idle_limit_s = float(value)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self._skips_message or self._is_complete:
            return
        self._parts.append(body)
        self._buffered_bytes += len(body)
        self._news.set()

    def on_message_complete(self) -> None:
        """End the answer, or the passed-over one."""
        if self._skips_message:
            self._skips_message = False
            return
        if self._head is None:
            return
        self._is_complete = True
        self._news.set()

    # -- one exchange

    async def send(
        self, request: Request, expected_id: bytes | None = None
    ) -> AnswerHead:
        """Send a request and return the head of its answer.

        Raises
        ------
        AnswerBroken
            If the connection ends, or the bytes are no HTTP.
        """
        assert self._transport is not None and not self.in_exchange
        self._reset_state()
        self._parser = httptools.HttpResponseParser(self)
        self._expected_id = expected_id
        self._no_body = request.method == b"HEAD"
        self.in_exchange = True
        self.exchanges += 1
        if self._closed.is_set():
            raise AnswerBroken("the connection ended before the request was sent")
        self._transport.write(request.encode())
        while self._head is None:
            if self._error is not None:
                raise self._error
            self._news.clear()
            await self._news.wait()
        return self._head

    async def read(self) -> bytes:
        """Return the next bytes of the answer's body, empty at its end.

        Raises
        ------
        AnswerBroken
            If the answer ended early.
        """
        while not self._parts:
            if self._is_complete:
                self.in_exchange = False
                return b""
            if self._error is not None:
                raise self._error
            self._news.clear()
            await self._news.wait()
        data = b"".join(self._parts)
        self._parts.clear()
        self._buffered_bytes = 0
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        return data

    async def read_all(self, max_bytes: int) -> bytes:
        """Return the rest of the body.

        Raises
        ------
        AnswerBroken
            If the answer ended early or has more than `max_bytes`.
        """
        parts: list[bytes] = []
        size_bytes = 0
        while part := await self.read():
            parts.append(part)
            size_bytes += len(part)
            if size_bytes > max_bytes:
                self.close()
                raise AnswerBroken(f"the answer has over {max_bytes} bytes")
        return b"".join(parts)

    def close(self) -> None:
        """Drop the connection at once."""
        self.reusable = False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()

    @property
    def is_open(self) -> bool:
        """Whether the connection still stands."""
        return not self._closed.is_set() and not (
            self._transport is None or self._transport.is_closing()
        )

    def _pause_if_full(self) -> None:
        transport = self._transport
        if self._buffered_bytes > MAX_BUFFERED_BYTES and transport is not None:
            transport.pause_reading()

    def _fail(self, reason: str) -> None:
        self._error = AnswerBroken(reason)
        self._news.set()


async def open_connection(
    address: Address, id_header: bytes, timeout_s: float
) -> Connection:
    """Open a connection.

    Raises
    ------
    ConnectFailed
        If the server refuses or does not answer within `timeout_s`.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, connection = await loop.create_connection(
                lambda: Connection(id_header), address.host, address.port
            )
    except (OSError, TimeoutError) as error:
        raise ConnectFailed(f"no connection to {address}: {error!r}") from error
    sock = transport.get_extra_info("socket")
    if sock is not None:
        set_keepalive(sock)
    return connection
