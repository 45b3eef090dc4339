"""greengagetack.batches.item_run: a single run of an item on one replica."""

import asyncio
import enum
import time
from collections.abc import Callable

from loguru import logger

from greengagetack.batches.events import EventParser
from greengagetack.batches.progress import ItemProgress, OutputTooLong
from greengagetack.gateway.call import (
    Call,
    ExecutionStatus,
    ReplicaDialect,
    record_announcements,
)
from greengagetack.http1.connection import Connection
from greengagetack.http1.message import ExchangeError
from greengagetack.http1.pool import Pool
from greengagetack.replicas.replica import ReplicaState

__all__ = ["RunEnd", "run_item"]

MAX_ERROR_BODY_BYTES = 65_536
OK = 200
UNPROCESSABLE = 422


class RunEnd(enum.Enum):
    """How a run of an item ended."""

    COMPLETED = "completed"
    # The replica answered that it did not run the item.
    REFUSED = "refused"
    OTHER_REPLICA = "other_replica"
    # The replica answered with an error status.
    FAILED = "failed"
    # The replica cannot process the item; a retry cannot succeed.
    HOPELESS = "hopeless"
    # The job does not allow the replica's weight version.
    OTHER_VERSION = "other_version"
    # The stream broke or stalled; the events received so far are kept.
    BROKEN = "broken"
    NOT_SENT = "not_sent"


async def run_item(
    progress: ItemProgress,
    call: Call,
    state: ReplicaState,
    pool: Pool,
    dialect: ReplicaDialect,
    stall_s: Callable[[], float],
    on_event: Callable[[float], None],
    allows_version: Callable[[int], bool],
) -> tuple[RunEnd, str]:
    """Run an item from its last event; return the outcome and the reason.

    Parameters
    ----------
    stall_s : callable
        Returns the current limit on the time without a complete event, in seconds.
    on_event : callable
        Called with the seconds since the previous event, 0 for the run's first event.
    allows_version : callable
        Called with the weight version that the response names, before its events are
        accepted; returns whether that version may generate the item.
    """
    after = progress.last_event_id or None
    generation = progress.generation
    request = dialect.build_request(call, state.replica, None, after)
    is_sent = False
    try:
        async with pool.connection(state.replica.address) as connection:
            is_sent = True
            async with asyncio.timeout(stall_s()):
                head = await connection.send(request, call.request_id.encode())
            execution = dialect.execution_status(head)
            if execution is ExecutionStatus.OTHER_REPLICA:
                await _drain(connection, stall_s())
                return RunEnd.OTHER_REPLICA, f"status {head.status}"
            record_announcements(state, dialect, head)
            if execution is ExecutionStatus.NOT_RUN:
                await _drain(connection, stall_s())
                return RunEnd.REFUSED, f"status {head.status}"
            if head.status != OK:
                await _drain(connection, stall_s())
                end = RunEnd.HOPELESS if head.status == UNPROCESSABLE else RunEnd.FAILED
                return end, f"status {head.status}"
            version = dialect.weight_version(head)
            if version is None or not dialect.is_genuine(head):
                return RunEnd.BROKEN, "the response does not name its weight version"
            if not allows_version(version):
                return RunEnd.OTHER_VERSION, f"version {version}"
            return await _read_events(
                progress,
                generation,
                connection,
                dialect,
                version,
                stall_s,
                on_event,
                allows_version,
            )
    except TimeoutError:
        return RunEnd.BROKEN, "silent"
    except OutputTooLong as error:
        progress.restart()
        return RunEnd.BROKEN, str(error)
    except (ExchangeError, ValueError) as error:
        return (RunEnd.BROKEN if is_sent else RunEnd.NOT_SENT), str(error)


async def _drain(connection: Connection, limit_s: float) -> None:
    """Read the rest of a response, so that its connection can be used again.

    The head has already told how the run ended, so a body that does not end costs only
    the connection.
    """
    try:
        async with asyncio.timeout(limit_s):
            await connection.read_all(MAX_ERROR_BODY_BYTES)
    except (ExchangeError, TimeoutError) as error:
        logger.info("dispatch: the body of an error did not end: {!r}", error)
        connection.close()


async def _read_events(
    progress: ItemProgress,
    generation: int,
    connection: Connection,
    dialect: ReplicaDialect,
    version: int,
    stall_s: Callable[[], float],
    on_event: Callable[[float], None],
    allows_version: Callable[[int], bool],
) -> tuple[RunEnd, str]:
    parser = EventParser()
    held_bytes = 0
    last_event_s = 0.0
    # Single bytes are no progress: a stalled replica may go on sending some.
    progress_s = time.monotonic()
    while True:
        async with asyncio.timeout(progress_s + stall_s() - time.monotonic()):
            part = await connection.read(held_bytes)
        if progress.generation != generation:
            return RunEnd.BROKEN, "the item was restarted meanwhile"
        if not part:
            if parser.has_partial_event:
                return RunEnd.BROKEN, "the stream ended in the middle of an event"
            if connection.ends_at_close and not last_event_s:
                return RunEnd.BROKEN, "a stream without a length had no event"
            progress.is_complete = True
            return RunEnd.COMPLETED, ""
        for event in parser.feed(part):
            new_version = dialect.event_version(event.fields)
            if new_version is not None and not allows_version(new_version):
                return RunEnd.OTHER_VERSION, f"version {new_version}"
            version = new_version or version
            progress.append_event(event, version)
            now_s = time.monotonic()
            on_event(now_s - last_event_s if last_event_s else 0.0)
            last_event_s = progress_s = now_s
        held_bytes = parser.held_bytes
