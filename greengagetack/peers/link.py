"""greengagetack.peers.link: a connection between two daemons."""

import asyncio
import itertools
import socket
from collections.abc import AsyncGenerator, Callable
from contextlib import suppress
from typing import Any

from loguru import logger

from greengagetack.errors import CodedError, PeerLost
from greengagetack.observability.logs import REQUEST_ID
from greengagetack.observability.traces import current_traceparent, use_traceparent
from greengagetack.peers.codec import (
    Frame,
    FrameError,
    FrameKind,
    FrameReader,
    encode_frame,
)
from greengagetack.peers.messages import Failure, failure_from_error
from greengagetack.timer import Timer

__all__ = ["Dispatch", "PeerLink", "set_low_delay"]

READ_CHUNK_BYTES = 65_536
PING_INTERVAL_S = 1.0
SILENCE_TIMEOUT_S = 3.0
IDLE_TIMEOUT_S = 60.0
MAX_QUEUED_ANSWER_FRAMES = 4_096
MAX_SERVED_EXCHANGES = 4_096

Dispatch = Callable[[str, Any], AsyncGenerator[Any, None]]
ClosedCallback = Callable[["PeerLink"], None]


def set_low_delay(writer: asyncio.StreamWriter) -> None:
    """Disable Nagle's algorithm on the writer's socket."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class PeerLink:
    """Multiplexes requests and their answers over one connection.

    A link without incoming data for ``SILENCE_TIMEOUT_S`` seconds is closed; its
    open exchanges end with `PeerLost`. The side that opened a link closes it
    after ``IDLE_TIMEOUT_S`` seconds without a request, so that a daemon pings
    only the peers that it works with and not every peer that it once contacted.
    """

    def __init__(
        self,
        remote_vm_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dispatch: Dispatch,
        timer: Timer,
        on_closed: ClosedCallback,
    ) -> None:
        self.remote_vm_id = remote_vm_id
        self.closed = False
        self._reader = reader
        self._writer = writer
        self._dispatch = dispatch
        self._timer = timer
        self._on_closed = on_closed
        self._exchange_ids = itertools.count(1)
        self._answer_queues: dict[int, asyncio.Queue[Frame]] = {}
        self._served_tasks: dict[int, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.last_received_s = timer.now_s()
        self._last_exchange_s: float | None = None
        set_low_delay(writer)

    def start(self, frames: FrameReader) -> None:
        """Start reading and pinging; `frames` may hold bytes read before."""
        self._spawn(self._read(frames))
        self._spawn(self._ping_and_check())

    def _spawn(self, coroutine: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def send(self, frame: Frame) -> None:
        """Write a frame without waiting.

        Raises
        ------
        PeerLost
            If the link is closed.
        """
        if self.closed:
            raise PeerLost(f"the link to {self.remote_vm_id} is closed")
        self._writer.write(encode_frame(frame))

    async def exchange(
        self, body: Any, progress_timeout_s: float
    ) -> AsyncGenerator[Any, None]:
        """Send a request and yield the messages of its answer.

        Raises
        ------
        PeerLost
            If the link closes or nothing arrives for `progress_timeout_s`.
        CodedError
            If the peer answers with a failure.
        """
        exchange_id = next(self._exchange_ids)
        answers: asyncio.Queue[Frame] = asyncio.Queue(MAX_QUEUED_ANSWER_FRAMES)
        self._answer_queues[exchange_id] = answers
        self._last_exchange_s = self._timer.now_s()
        has_ended = False
        try:
            self.send(
                Frame(
                    FrameKind.REQUEST,
                    exchange_id,
                    body,
                    current_traceparent(),
                    REQUEST_ID.get(),
                )
            )
            while True:
                frame = await self._next_answer(answers, progress_timeout_s)
                if frame.kind is FrameKind.ITEM:
                    yield frame.body
                    continue
                has_ended = True
                if frame.kind is FrameKind.FAILURE:
                    raise frame.body.to_error()
                return
        finally:
            self._answer_queues.pop(exchange_id, None)
            self._last_exchange_s = self._timer.now_s()
            if not has_ended and not self.closed:
                self.send(Frame(FrameKind.CANCEL, exchange_id))

    async def _next_answer(
        self, answers: asyncio.Queue[Frame], progress_timeout_s: float
    ) -> Frame:
        try:
            async with asyncio.timeout(progress_timeout_s):
                return await answers.get()
        except TimeoutError:
            raise PeerLost(
                f"{self.remote_vm_id} made no progress for {progress_timeout_s:g} s"
            ) from None

    async def _read(self, frames: FrameReader) -> None:
        data = b""
        try:
            while True:
                for frame in frames.feed(data):
                    self._handle_frame(frame)
                data = await self._reader.read(READ_CHUNK_BYTES)
                if not data:
                    break
                self.last_received_s = self._timer.now_s()
        except (OSError, FrameError) as error:
            logger.warning(
                "link: connection to {} failed: {}", self.remote_vm_id, error
            )
        finally:
            self.close()

    def _handle_frame(self, frame: Frame) -> None:
        if frame.kind is FrameKind.PING:
            self.send(Frame(FrameKind.PONG))
            return
        if frame.kind is FrameKind.PONG:
            return
        if frame.kind is FrameKind.REQUEST:
            self._serve_request(frame)
            return
        if frame.kind is FrameKind.CANCEL:
            task = self._served_tasks.get(frame.exchange_id)
            if task is not None:
                task.cancel()
            return
        self._queue_answer(frame)

    def _queue_answer(self, frame: Frame) -> None:
        answers = self._answer_queues.get(frame.exchange_id)
        if answers is None:
            # A late answer to an exchange that was cancelled.
            return
        try:
            answers.put_nowait(frame)
        except asyncio.QueueFull:
            answers.get_nowait()
            lost = Failure(
                "peer_lost", "the reader of the answer is too slow", None, "unknown"
            )
            answers.put_nowait(Frame(FrameKind.FAILURE, frame.exchange_id, lost))
            self._answer_queues.pop(frame.exchange_id)
            self.send(Frame(FrameKind.CANCEL, frame.exchange_id))

    def _serve_request(self, frame: Frame) -> None:
        if len(self._served_tasks) >= MAX_SERVED_EXCHANGES:
            overloaded = Failure(
                "overloaded", "too many open exchanges on one link", 1.0
            )
            self.send(Frame(FrameKind.FAILURE, frame.exchange_id, overloaded))
            return
        task = self._spawn(self._run_handler(frame))
        self._served_tasks[frame.exchange_id] = task
        task.add_done_callback(
            lambda _: self._served_tasks.pop(frame.exchange_id, None)
        )

    async def _run_handler(self, frame: Frame) -> None:
        REQUEST_ID.set(frame.request_id or "-")
        exchange_id = frame.exchange_id
        last = Frame(FrameKind.END, exchange_id)
        try:
            with use_traceparent(frame.traceparent):
                async for item in self._dispatch(self.remote_vm_id, frame.body):
                    self.send(Frame(FrameKind.ITEM, exchange_id, item))
                    await self._writer.drain()
        except CodedError as error:
            last = Frame(FrameKind.FAILURE, exchange_id, failure_from_error(error))
        except OSError:
            self.close()
        except Exception as error:
            logger.opt(exception=error).error("link: message handler failed")
            failure = Failure("internal_error", str(error), None, "unknown")
            last = Frame(FrameKind.FAILURE, exchange_id, failure)
        if not self.closed:
            self.send(last)

    async def _ping_and_check(self) -> None:
        while not self.closed:
            await self._timer.sleep(PING_INTERVAL_S)
            silent_s = self._timer.now_s() - self.last_received_s
            if silent_s > SILENCE_TIMEOUT_S:
                logger.warning(
                    "link: closing the link to {}, no data for {:.1f} s",
                    self.remote_vm_id,
                    silent_s,
                )
                self.close()
                return
            if self._is_idle():
                self.close()
                return
            if silent_s < PING_INTERVAL_S:
                # Any received data proves that the peer is alive, like a pong.
                continue
            if not self.closed:
                self.send(Frame(FrameKind.PING))

    def _is_idle(self) -> bool:
        """Whether this side opened the link and has not used it for a long time.

        Only the side that opened a link sends requests on it, so closing it here
        loses none.
        """
        if self._last_exchange_s is None or self._answer_queues:
            return False
        return self._timer.now_s() - self._last_exchange_s > IDLE_TIMEOUT_S

    def close(self) -> None:
        """Close the connection and end all open exchanges."""
        if self.closed:
            return
        self.closed = True
        with suppress(OSError, RuntimeError):
            self._writer.transport.abort()
        lost = Failure(
            "peer_lost", f"the link to {self.remote_vm_id} was closed", None, "unknown"
        )
        for exchange_id, answers in self._answer_queues.items():
            while answers.full():
                answers.get_nowait()
            answers.put_nowait(Frame(FrameKind.FAILURE, exchange_id, lost))
        current = asyncio.current_task()
        for task in list(self._tasks):
            if task is not current:
                task.cancel()
        self._on_closed(self)
