"""greengagetack.peers.node: a daemon's listening socket and its links to peers."""

import asyncio
import inspect
import socket
import ssl
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing, suppress
from typing import Any

from loguru import logger

from greengagetack.errors import InvalidRequest, PeerUnreachable
from greengagetack.peers.codec import (
    Frame,
    FrameError,
    FrameKind,
    FrameReader,
    UnknownMessage,
    encode_frame,
    message_name,
)
from greengagetack.peers.link import READ_CHUNK_BYTES, PeerLink, set_low_delay
from greengagetack.peers.messages import Hello
from greengagetack.timer import Timer
from greengagetack.world import Address

__all__ = ["PeerNode", "listening_socket"]

CONNECT_TIMEOUT_S = 2.0
HELLO_TIMEOUT_S = 2.0
DEFAULT_TIMEOUT_S = 5.0
UNREACHABLE_RETRY_S = 1.0

Handler = Callable[[str, Any], Any]


def listening_socket(address: Address) -> socket.socket:
    """Return a listening socket without Nagle's algorithm.

    The protocol number is required: asyncio sets TCP_NODELAY only on sockets
    created with it.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address.host, address.port))
    listener.listen(1_024)
    return listener


class PeerNode:
    """Sends messages to other daemons and serves theirs.

    Parameters
    ----------
    vm_id, incarnation : str
        Identity of this daemon, sent to peers.
    timer : Timer
        Clock and timers.
    server_tls, client_tls : ssl.SSLContext or None
        Contexts for mutual TLS, None for unencrypted links.
    """

    def __init__(
        self,
        vm_id: str,
        incarnation: str,
        timer: Timer,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
    ) -> None:
        self.vm_id = vm_id
        self.incarnation = incarnation
        self._timer = timer
        self._server_tls = server_tls
        self._client_tls = client_tls
        self._handlers: dict[type, Handler] = {}
        self._addresses: dict[str, Address] = {}
        self._links: dict[str, PeerLink] = {}
        self._incoming: set[PeerLink] = set()
        self._connecting: dict[str, asyncio.Task[PeerLink]] = {}
        self._server: asyncio.Server | None = None

    def handle(self, message_type: type, handler: Handler) -> None:
        """Register the handler for messages of a type.

        `handler` takes the sender's VM identifier and the message; it is a
        coroutine function that returns one message or None, or an
        asynchronous generator of messages.
        """
        self._handlers[message_type] = handler

    def set_address(self, vm_id: str, address: Address) -> None:
        """Set the address of a peer; a changed address closes the peer's link."""
        old_address = self._addresses.get(vm_id)
        self._addresses[vm_id] = address
        if old_address is not None and old_address != address and vm_id in self._links:
            self._links[vm_id].close()

    def address_of(self, vm_id: str) -> Address | None:
        """Return the address of a peer, None if it is unknown."""
        return self._addresses.get(vm_id)

    @property
    def link_count(self) -> int:
        """Number of open links, outgoing and incoming."""
        return len(self._links) + len(self._incoming)

    async def start(self, listener: socket.socket) -> None:
        """Accept links on `listener`."""
        self._server = await asyncio.start_server(
            self._accept_connection, sock=listener, ssl=self._server_tls
        )

    async def request(
        self, vm_id: str, body: Any, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> Any:
        """Send a message and return the first message of the answer, or None.

        Raises
        ------
        PeerUnreachable
            If no link could be opened; the message was not sent.
        PeerLost
            If the link was lost or timed out before the answer arrived.
        CodedError
            If the peer answers with a failure.
        """
        async with aclosing(self.stream(vm_id, body, timeout_s)) as answers:
            async for answer in answers:
                return answer
        return None

    async def stream(
        self, vm_id: str, body: Any, progress_timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> AsyncGenerator[Any, None]:
        """Send a message and yield the messages of the answer.

        Raises the same errors as `request`.
        """
        if vm_id == self.vm_id:
            answers = self._dispatch(vm_id, body)
        else:
            link = await self._link_to(vm_id)
            answers = link.exchange(body, progress_timeout_s)
        async with aclosing(answers) as items:
            async for item in items:
                yield item

    async def _dispatch(
        self, sender_vm_id: str, body: Any
    ) -> AsyncGenerator[Any, None]:
        if isinstance(body, UnknownMessage):
            raise InvalidRequest(
                f"this daemon does not know messages of type {body.name!r}"
            )
        handler = self._handlers.get(type(body))
        if handler is None:
            name = message_name(type(body))
            raise InvalidRequest(
                f"this daemon does not serve messages of type {name!r}"
            )
        answer = handler(sender_vm_id, body)
        if inspect.isasyncgen(answer):
            async with aclosing(answer) as items:
                async for item in items:
                    yield item
            return
        reply = await answer
        if reply is not None:
            yield reply

    async def _link_to(self, vm_id: str) -> PeerLink:
        link = self._links.get(vm_id)
        if link is not None and not link.closed:
            return link
        connecting = self._connecting.get(vm_id)
        if connecting is None:
            connecting = asyncio.create_task(self._connect(vm_id))
            self._connecting[vm_id] = connecting
            connecting.add_done_callback(lambda _: self._connecting.pop(vm_id, None))
        return await asyncio.shield(connecting)

    async def _connect(self, vm_id: str) -> PeerLink:
        address = self._addresses.get(vm_id)
        if address is None:
            raise PeerUnreachable(f"the address of {vm_id} is unknown", 1.0)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port, ssl=self._client_tls
                )
                set_low_delay(writer)
                hello = Hello(self.vm_id, self.incarnation)
                writer.write(encode_frame(Frame(FrameKind.HELLO, body=hello)))
                await writer.drain()
        except (OSError, TimeoutError) as error:
            raise PeerUnreachable(
                f"cannot connect to {vm_id} at {address}: {error}",
                UNREACHABLE_RETRY_S,
            ) from error
        link = self._new_link(vm_id, reader, writer)
        self._links[vm_id] = link
        link.start(FrameReader())
        return link

    def _new_link(
        self, vm_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> PeerLink:
        return PeerLink(
            vm_id, reader, writer, self._dispatch, self._timer, self._remove_link
        )

    def _remove_link(self, link: PeerLink) -> None:
        self._incoming.discard(link)
        if self._links.get(link.remote_vm_id) is link:
            del self._links[link.remote_vm_id]

    async def _accept_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        frames = FrameReader()
        hello = await self._read_hello(frames, reader)
        if hello is None:
            logger.warning("link: refused a connection that sent no valid hello")
            with suppress(OSError):
                writer.transport.abort()
            return
        link = self._new_link(hello.vm_id, reader, writer)
        self._incoming.add(link)
        link.start(frames)

    async def _read_hello(
        self, frames: FrameReader, reader: asyncio.StreamReader
    ) -> Hello | None:
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                while data := await reader.read(READ_CHUNK_BYTES):
                    for frame in frames.feed(data):
                        is_hello = isinstance(frame.body, Hello)
                        return frame.body if is_hello else None
        except (OSError, TimeoutError, FrameError):
            return None
        except asyncio.CancelledError:
            # The callback of asyncio's stream server fails on a cancelled task.
            return None
        return None

    async def close(self) -> None:
        """Stop listening and close all links."""
        if self._server is not None:
            self._server.close()
        for link in [*self._links.values(), *self._incoming]:
            link.close()
