"""greengagetack.batches.item_run: one run of an item at one replica."""

import asyncio
import enum
import time
from collections.abc import Callable

from greengagetack.batches.events import EventParser
from greengagetack.batches.progress import ItemProgress
from greengagetack.gateway.call import Call, ExecutionStatus, ReplicaDialect
from greengagetack.http1.connection import Connection
from greengagetack.http1.message import ExchangeError
from greengagetack.http1.pool import Pool
from greengagetack.replicas.replica import ReplicaState

__all__ = ["RunEnd", "run_item"]

MAX_REFUSAL_BYTES = 65_536
OK = 200
HOPELESS = 422


class RunEnd(enum.Enum):
    """How a run of an item ended."""

    COMPLETED = "completed"
    # The replica said that it did not run the item.
    REFUSED = "refused"
    OTHER_REPLICA = "other_replica"
    # The replica answered with a failure of its own.
    FAILED = "failed"
    HOPELESS = "hopeless"
    # The replica's weights are none that the job allows.
    OTHER_VERSION = "other_version"
    # The stream broke or went silent; its events so far are kept.
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
    admits: Callable[[int], bool],
) -> tuple[RunEnd, str]:
    """Run an item from its last event on; return how it ended and why.

    Parameters
    ----------
    stall_s : callable
        Returns how long the replica may be silent now, in seconds.
    on_event : callable
        Called with the seconds since the event before, 0 for a run's first.
    admits : callable
        Called with the version of the weights that the answer names before any event
        is taken; returns whether the item may be made by it.
    """
    after = progress.last_event_id or None
    request = dialect.build_request(call, state.replica, None, after)
    sent = False
    try:
        async with pool.connection(state.replica.address) as connection:
            sent = True
            async with asyncio.timeout(stall_s()):
                head = await connection.send(request, call.request_id.encode())
            verdict = dialect.execution_status(head)
            if verdict is ExecutionStatus.OTHER_REPLICA:
                await _drain(connection)
                return RunEnd.OTHER_REPLICA, f"status {head.status}"
            if verdict is ExecutionStatus.NOT_RUN:
                await _drain(connection)
                return RunEnd.REFUSED, f"status {head.status}"
            if head.status != OK:
                await _drain(connection)
                end = RunEnd.HOPELESS if head.status == HOPELESS else RunEnd.FAILED
                return end, f"status {head.status}"
            version = dialect.weight_version(head)
            if version is None or not dialect.is_genuine(head):
                return RunEnd.BROKEN, "the answer does not name its weights"
            if not admits(version):
                return RunEnd.OTHER_VERSION, f"version {version}"
            return await _follow(
                progress, connection, dialect, version, stall_s, on_event, admits
            )
    except TimeoutError:
        return RunEnd.BROKEN, "silent"
    except (ExchangeError, ValueError) as error:
        return (RunEnd.BROKEN if sent else RunEnd.NOT_SENT), str(error)


async def _drain(connection: Connection) -> None:
    await connection.read_all(MAX_REFUSAL_BYTES)


async def _follow(
    progress: ItemProgress,
    connection: Connection,
    dialect: ReplicaDialect,
    version: int,
    stall_s: Callable[[], float],
    on_event: Callable[[float], None],
    admits: Callable[[int], bool],
) -> tuple[RunEnd, str]:
    parser = EventParser()
    last_s = 0.0
    while True:
        async with asyncio.timeout(stall_s()):
            part = await connection.read()
        if not part:
            if parser.has_partial_event:
                return RunEnd.BROKEN, "the stream ended within an event"
            progress.is_complete = True
            return RunEnd.COMPLETED, ""
        for event in parser.feed(part):
            changed = dialect.event_version(event.fields)
            if changed is not None and not admits(changed):
                return RunEnd.OTHER_VERSION, f"version {changed}"
            version = changed or version
            progress.take(event, version)
            now_s = time.monotonic()
            on_event(now_s - last_s if last_s else 0.0)
            last_s = now_s
