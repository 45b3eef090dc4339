"""greengagetack.coordination.backed_copy: a daemon's copy with the store behind it."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from functools import partial

from loguru import logger

from greengagetack.coordination.remote_copy import RemoteCopy
from greengagetack.coordination.store_gate import TRY_WAIT_S, StoreGate
from greengagetack.errors import CodedError
from greengagetack.freezes import boottime_s
from greengagetack.objects.base import HistoryGone, WatchAnswer
from greengagetack.objects.feed import Feed

__all__ = ["BackedCopy"]

# The feeds of a daemon are overdue together; one of them tries the store first.
TURN_PAUSE_S = 0.05
MS_PER_S = 1_000


class BackedCopy:
    """Reads a daemon's copy, and the store too once the feed is overdue.

    The time that a silent daemon may take is what the feed has left, however many
    daemons were asked before.

    Parameters
    ----------
    copy : RemoteCopy
        The copy of another daemon.
    gate : StoreGate
        Limits the calls to a store that does not answer.
    feed : Feed
        The feed that reads the copy.
    limit_s : float
        Age from which the feed is overdue.
    """

    def __init__(
        self, copy: RemoteCopy, gate: StoreGate, feed: Feed, limit_s: float
    ) -> None:
        self.copy = copy
        self._gate = gate
        self._feed = feed
        self._limit_s = limit_s

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects under a prefix."""
        from_store = partial(self._gate.list, prefix)
        return await self._read(prefix, self.copy.list(prefix), from_store, 0.0)

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes under a prefix."""
        return await self._read(
            prefix,
            self.copy.watch(prefix, after, timeout_s),
            partial(self._gate.watch, prefix, after, TRY_WAIT_S),
            TRY_WAIT_S,
        )

    async def _read(
        self,
        prefix: str,
        from_copy: Awaitable[WatchAnswer],
        from_store: Callable[[], Awaitable[WatchAnswer]],
        store_wait_s: float,
    ) -> WatchAnswer:
        began_s = boottime_s()
        reading = asyncio.ensure_future(from_copy)
        backup: asyncio.Future[WatchAnswer] | None = None
        try:
            await asyncio.wait((reading,), timeout=self._left_s())
            while not reading.done() and not self._gate.take_turn():
                await asyncio.wait((reading,), timeout=TURN_PAUSE_S)
            if reading.done():
                return reading.result()
            waited_s = boottime_s() - began_s + store_wait_s
            backup = asyncio.ensure_future(self._ask_store(from_store, waited_s))
            await asyncio.wait((reading, backup), return_when=asyncio.FIRST_COMPLETED)
            if reading.done():
                return await _first_success(reading, backup)
            answer = await _first_success(backup, reading)
            if not reading.done():
                self._record_overdue(prefix)
            return answer
        finally:
            for task in (reading, backup):
                _drop(task)

    def _left_s(self) -> float:
        if not self._feed.is_synced:
            return self._limit_s
        return max(0.0, self._limit_s - self._feed.age_s)

    async def _ask_store(
        self, from_store: Callable[[], Awaitable[WatchAnswer]], waited_s: float
    ) -> WatchAnswer:
        try:
            answer = await from_store()
        except HistoryGone:
            raise
        except CodedError as error:
            # The feed may get the daemon's answer and would not learn of this failure.
            self._feed.record_source_failure(error)
            raise
        return dataclasses.replace(answer, waited_s=waited_s)

    def _record_overdue(self, prefix: str) -> None:
        logger.info(
            "feed: the store answered instead of a silent daemon",
            prefix=prefix,
            source=str(self.copy.address),
            age_ms=int(self._feed.age_s * MS_PER_S),
        )
        self.copy.record_overdue(prefix)


def _drop(task: "asyncio.Future[WatchAnswer] | None") -> None:
    """Cancel a call whose outcome is not needed."""
    if task is None:
        return
    task.cancel()
    if task.done() and not task.cancelled():
        task.exception()


async def _first_success(
    first: Awaitable[WatchAnswer], second: Awaitable[WatchAnswer]
) -> WatchAnswer:
    try:
        return await first
    except HistoryGone:
        raise
    except CodedError:
        return await second
