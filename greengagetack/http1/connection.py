"""greengagetack.http1.connection: a client connection for one exchange at a time."""

import asyncio
import socket
import ssl
import struct
import sys

import httptools

from greengagetack.http1.limits import ResponseLimits
from greengagetack.http1.memory import Holding
from greengagetack.http1.message import (
    ConnectFailed,
    IncompleteResponse,
    Request,
    ResponseHead,
    header,
)
from greengagetack.http1.pacing import LINE_PIECES, receive_pieces
from greengagetack.world import Address

__all__ = ["Connection", "open_connection", "set_keepalive"]

# Keepalive probes detect a peer that dropped the connection while it is idle.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
MAX_KEEPALIVE_PROBES = 2
# The kernel closes a connection whose data stays unacknowledged for this long.
USER_TIMEOUT_MS = 2_500
# Reading pauses while more than this much of a body is buffered.
MAX_BUFFERED_BYTES = 1_048_576
# Heads, interim responses, answers to other requests and trailers bring no part of a
# response's body; more of them in a row than this is no response.
MAX_BYTES_WITHOUT_PROGRESS = 262_144
# A header line of a few bytes is held as a tuple with two objects.
HEADER_OVERHEAD_BYTES = 160
MAX_HEAD_BYTES = 262_144
INTERIM_STATUSES = range(100, 200)


def set_keepalive(sock: socket.socket) -> None:
    """Let the kernel close a connection whose peer no longer responds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def set_reset_on_close(transport: asyncio.Transport) -> None:
    """Let the kernel discard what it has not delivered when it closes a connection.

    It would otherwise go on to deliver a request that a partition holds up, long after
    the sender has given it up.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class Connection(asyncio.BufferedProtocol):
    """A connection that is reused only after exchanges that ended cleanly.

    Bytes outside an exchange, a response with the identifier of another request, or
    an abandoned exchange exclude the connection from reuse.

    Parameters
    ----------
    id_header : bytes
        Name of the header in which servers echo a request's identifier.
    source : str
        Names the server among those that share the limits.
    limits : ResponseLimits
        Bounds what the responses of all connections hold, and the work for them.

    Attributes
    ----------
    ends_at_close : bool
        Whether the response has neither a length nor chunks, so that its body ends
        with the connection.
    """

    def __init__(self, id_header: bytes, source: str, limits: ResponseLimits) -> None:
        self._id_header = id_header
        self._source = source
        self._limits = limits
        self._holding = limits.memory.open(source, self._evict)
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._closed = asyncio.Event()
        # Received, but not parsed before the server's budget allows it.
        self._deferred = b""
        self._reset_state()
        self.is_reusable = True
        self.in_exchange = False
        self.exchange_count = 0
        self.idle_since_s = 0.0
        self.idle_limit_s: float | None = None
        self.received_bytes = 0

    def _reset_state(self) -> None:
        self._head: ResponseHead | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._pieces = 0
        self._buffer = bytearray()
        self._max_buffered_bytes = MAX_BUFFERED_BYTES
        self._is_gathered = False
        # What the reader has of what it read.
        self._retained_bytes = 0
        self._is_complete = False
        self._error: Exception | None = None
        self._expected_id: bytes | None = None
        self._is_skipping = False
        self._bytes_without_progress = 0
        self.ends_at_close = False
        self._has_no_body = False
        self._state_changed = asyncio.Event()

    # -- asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections with these limits share."""
        return self._limits.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse bytes of the response; close on bytes outside an exchange."""
        self.received_bytes += nbytes
        if not self.in_exchange or self._is_complete:
            self.is_reusable = False
            self.close()
            return
        data = self._limits.receive_buffer[:nbytes]
        if self._limits.pacing.must_wait(self._source):
            self._deferred = bytes(data)
            self._update_reading()
            self._limits.pacing.run_in_turn(self._source, self._parse_deferred)
        else:
            self._parse(data)
        self._update_holding()

    def _parse_deferred(self) -> None:
        data, self._deferred = self._deferred, b""
        if not data or not self.is_open or not self.in_exchange:
            return
        self._parse(data)
        self._update_holding()

    def _parse(self, data: bytes | memoryview) -> None:
        assert self._parser is not None
        self._pieces = receive_pieces(len(data))
        self._bytes_without_progress += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.is_reusable = False
            if not self._is_complete and self._error is None:
                self._fail(f"the response is not valid HTTP: {error}")
            self.close()
        self._limits.pacing.record(self._source, self._pieces)
        if self._bytes_without_progress > MAX_BYTES_WITHOUT_PROGRESS:
            if not self._is_complete:
                self._fail(
                    f"{self._bytes_without_progress} bytes were no part of the response"
                )
            self.close()
        self._update_reading()

    def eof_received(self) -> None:
        """Complete a response that has neither a length nor chunks."""
        if self.ends_at_close and self._head is not None:
            self._is_complete = True
            self._state_changed.set()
        self.is_reusable = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.is_reusable = False
        self._closed.set()
        if self.in_exchange and not self._is_complete:
            self._fail(f"the connection was lost: {exc or 'closed by the server'}")

    # -- httptools callbacks

    def on_message_begin(self) -> None:
        """Start a response; a second one in the same exchange prevents reuse."""
        if self._is_complete:
            self.is_reusable = False
            return
        self._headers = []
        self._head_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; trailers are dropped."""
        self._pieces += 1
        if self._head is not None:
            return
        self._head_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail(
                f"a head of {len(self._headers) + 1} header lines needs "
                f"{self._head_bytes} bytes"
            )
            raise ValueError("the head is too large")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Store the head; skip interim responses and responses to other requests."""
        if self._is_complete:
            return
        assert self._parser is not None
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        response_id = header(headers, self._id_header)
        has_other_id = response_id is not None and response_id != self._expected_id
        # A request without an identifier gets none echoed, so a response with one is a
        # late answer to an earlier request.
        if status in INTERIM_STATUSES or has_other_id:
            self._is_skipping = True
            self.is_reusable = self.is_reusable and status in INTERIM_STATUSES
            return
        self._head = ResponseHead(status, headers)
        self._update_persistence(headers)
        if self._has_no_body:
            self._is_complete = True
            self.ends_at_close = False
            self.is_reusable = False
        self._state_changed.set()

    def _update_persistence(self, headers: tuple[tuple[bytes, bytes], ...]) -> None:
        has_length = header(headers, b"content-length") is not None
        is_chunked = b"chunked" in (header(headers, b"transfer-encoding") or b"")
        assert self._head is not None and self._parser is not None
        self.ends_at_close = not has_length and not is_chunked
        if self.ends_at_close or not self._parser.should_keep_alive():
            self.is_reusable = False
        for part in (header(headers, b"keep-alive") or b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name == b"timeout" and value.isdigit():
                self.idle_limit_s = float(value)

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body."""
        self._pieces += 1
        if self._is_skipping or self._is_complete:
            return
        self._bytes_without_progress = 0
        if not self._is_gathered:
            # What is read in parts is a stream of events, of which each line is parsed.
            self._pieces += LINE_PIECES * body.count(b"\n")
        self._buffer += body
        self._state_changed.set()

    def on_message_complete(self) -> None:
        """Complete the response, or the one being skipped."""
        if self._is_skipping:
            self._is_skipping = False
            return
        if self._head is None:
            return
        self._is_complete = True
        self._state_changed.set()

    # -- one exchange

    async def send(
        self, request: Request, expected_id: bytes | None = None
    ) -> ResponseHead:
        """Send a request and return the head of its response.

        Raises
        ------
        IncompleteResponse
            If the connection is lost, or the response is not valid HTTP.
        """
        assert self._transport is not None and not self.in_exchange
        self._reset_state()
        self._parser = httptools.HttpResponseParser(self)
        self._expected_id = expected_id
        self._has_no_body = request.method == b"HEAD"
        self.in_exchange = True
        self.exchange_count += 1
        if self._closed.is_set():
            raise IncompleteResponse(
                "the connection was lost before the request was sent"
            )
        self._transport.write(request.encode())
        while self._head is None:
            if self._error is not None:
                raise self._error
            self._state_changed.clear()
            await self._state_changed.wait()
        return self._head

    async def read(self, kept_bytes: int = 0) -> bytes:
        """Return the next bytes of the response's body, empty at its end.

        They count as held until the next ones are returned.

        Parameters
        ----------
        kept_bytes : int
            How much the reader still holds of what it has read before.

        Raises
        ------
        IncompleteResponse
            If the response ended early.
        """
        while not self._buffer:
            if self._is_complete:
                self._end_exchange()
                return b""
            if self._error is not None:
                raise self._error
            self._state_changed.clear()
            await self._state_changed.wait()
        data = self._take_buffer()
        self._retain(kept_bytes + len(data))
        self._update_reading()
        return data

    async def read_all(self, max_bytes: int | None = None) -> bytes:
        """Return the remaining body.

        Parameters
        ----------
        max_bytes : int or None
            Largest size of the body, None for the share of a response in the memory.

        Raises
        ------
        IncompleteResponse
            If the response ended early or has more than `max_bytes`.
        """
        if max_bytes is None:
            max_bytes = self._limits.memory.max_response_bytes
        self._max_buffered_bytes = max_bytes
        self._is_gathered = True
        self._retain(0)
        self._update_reading()
        while len(self._buffer) <= max_bytes and not self._is_complete:
            if self._error is not None:
                raise self._error
            self._state_changed.clear()
            await self._state_changed.wait()
        if len(self._buffer) > max_bytes:
            self.close()
            raise IncompleteResponse(
                f"the body of the response exceeds {max_bytes} bytes"
            )
        body = self._take_buffer()
        self._end_exchange()
        return body

    def _take_buffer(self) -> bytes:
        data = bytes(self._buffer)
        self._buffer = bytearray()
        return data

    def _end_exchange(self) -> None:
        self.in_exchange = False
        self._release()

    def _release(self) -> None:
        """Hold nothing of a response any more, while the connection is idle."""
        self._buffer = bytearray()
        self._head = None
        self._headers = []
        self._deferred = b""
        self._retained_bytes = 0
        # The parser holds parts of headers, and refers to this connection.
        self._parser = None
        self._holding.resize(0)

    def _retain(self, size_bytes: int) -> None:
        self._retained_bytes = size_bytes
        self._update_holding()

    def hold_ready(self, body: bytes) -> Holding:
        """Count a response that was read whole until it has been passed on."""
        holding = self._limits.memory.open(self._source)
        holding.resize(self._head_bytes + len(body))
        return holding

    def close(self) -> None:
        """Abort the connection at once; an exchange in progress resets it."""
        self.is_reusable = False
        if self._transport is None or self._transport.is_closing():
            return
        if self.in_exchange:
            set_reset_on_close(self._transport)
        self._transport.abort()

    def discard(self) -> None:
        """Close the connection; what it holds of a response is not read any more."""
        self.close()
        self._release()

    def _evict(self, reason: str) -> None:
        self._fail(reason)
        self.discard()

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return not self._closed.is_set() and not (
            self._transport is None or self._transport.is_closing()
        )

    def _update_holding(self) -> None:
        if not self.in_exchange or not self.is_open:
            return
        self._holding.resize(
            self._head_bytes
            + self._bytes_without_progress
            + sys.getsizeof(self._buffer)
            + self._retained_bytes
            + len(self._deferred)
        )

    def _update_reading(self) -> None:
        """Let the server wait while enough of its response is buffered."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._deferred or len(self._buffer) > self._max_buffered_bytes:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _fail(self, reason: str) -> None:
        self._error = IncompleteResponse(reason)
        self._state_changed.set()


async def open_connection(
    address: Address,
    id_header: bytes,
    timeout_s: float,
    limits: ResponseLimits | None = None,
    tls: ssl.SSLContext | None = None,
) -> Connection:
    """Open a connection.

    Raises
    ------
    ConnectFailed
        If the server refuses or does not answer within `timeout_s`.
    """
    loop = asyncio.get_running_loop()
    shared = limits or ResponseLimits()
    try:
        async with asyncio.timeout(timeout_s):
            transport, connection = await loop.create_connection(
                lambda: Connection(id_header, str(address), shared),
                address.host,
                address.port,
                ssl=tls,
            )
    except (OSError, TimeoutError) as error:
        raise ConnectFailed(f"cannot connect to {address}: {error!r}") from error
    sock = transport.get_extra_info("socket")
    if sock is not None:
        set_keepalive(sock)
    return connection
