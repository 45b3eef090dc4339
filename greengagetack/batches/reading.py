"""greengagetack.batches.reading: answers readers of jobs at any daemon."""

import asyncio
import time
from collections import OrderedDict

from loguru import logger

from greengagetack.batches.dispatcher import Dispatcher
from greengagetack.batches.job import Item, Job, Segment
from greengagetack.batches.ledger import Ledger
from greengagetack.batches.log import JobLog, LogCache
from greengagetack.coordination.client import PeerClient
from greengagetack.errors import NotFound, PeerUnreachable

__all__ = ["JobReader"]

KEPT_JOBS = 500
KEPT_LOG_BYTES = 16 * 1024 * 1024
KEPT_ITEM_SETS = 6
# While the daemon that runs a job does not answer, the store is asked this often.
STORE_PAUSE_S = 0.4


class JobReader:
    """Serves results and bodies from local copies of what is committed.

    A copy is brought up to date by the daemon that runs the jobs, and from the
    store while that daemon is not reached. Whatever a reader has seen was committed.
    """

    def __init__(
        self, ledger: Ledger, dispatcher: Dispatcher, peers: PeerClient
    ) -> None:
        self._ledger = ledger
        self._jobs: OrderedDict[str, Job] = OrderedDict()
        self._dispatcher = dispatcher
        self._peers = peers
        self._logs = LogCache(KEPT_LOG_BYTES)
        self._syncing: dict[str, asyncio.Task[None]] = {}
        self._items: OrderedDict[str, dict[str, Item]] = OrderedDict()

    async def job(self, job_id: str) -> Job:
        """Return a job.

        Raises
        ------
        NotFound
            If the store says that it does not exist.
        PlatformUnavailable
            If the store cannot be asked.
        """
        job = self._jobs.get(job_id) or self._dispatcher.job_of(job_id)
        if job is None:
            job = await self._found(job_id)
        self.keep_job(job)
        return job

    async def _found(self, job_id: str) -> Job:
        """Ask the daemon that runs the jobs, and the store for what it does not know.

        Readers come to any daemon; only the store can say that a job does not exist.
        """
        try:
            if self._dispatcher.is_active:
                raise PeerUnreachable("this daemon runs the jobs, but not this one")
            return await self._peers.fetch_job(job_id)
        except PeerUnreachable as unknown:
            logger.debug("read: {} is unknown to the dispatcher: {}", job_id, unknown)
        job = await self._ledger.find(job_id)
        if job is None:
            raise NotFound(f"there is no job {job_id}")
        return job

    def knows(self, job_id: str) -> bool:
        """Whether a job is known to be accepted, without asking the store."""
        return job_id in self._jobs or self._dispatcher.job_of(job_id) is not None

    def keep_job(self, job: Job) -> None:
        """Keep a job that is known to be accepted."""
        self._jobs[job.job_id] = job
        while len(self._jobs) > KEPT_JOBS:
            self._jobs.popitem(last=False)

    async def log(self, job: Job, beyond: int, wait_s: float) -> JobLog:
        """Return a job's log once it has a result at `beyond`, or after `wait_s`."""
        own = self._dispatcher.log_of(job.job_id)
        if own is not None:
            await _wait_beyond(own, beyond, wait_s)
            return own
        log = self._copy(job)
        if len(log.results) > beyond or len(log.results) >= job.total:
            return log
        until_s = time.monotonic() + wait_s
        while True:
            await self._synced(job, log, max(0.0, until_s - time.monotonic()))
            left_s = until_s - time.monotonic()
            if len(log.results) > beyond or left_s <= 0:
                return log
            await _wait_beyond(log, beyond, min(left_s, STORE_PAUSE_S))
            if len(log.results) > beyond:
                return log

    def _copy(self, job: Job) -> JobLog:
        log = self._logs.get(job.job_id) or JobLog()
        self._logs.put(job.job_id, log)
        return log

    async def _synced(self, job: Job, log: JobLog, wait_s: float) -> None:
        """Bring a log up to date; concurrent readers share one exchange.

        Raises
        ------
        PlatformUnavailable
            If neither the dispatcher nor the store has answered.
        """
        task = self._syncing.get(job.job_id)
        if task is None or task.done():
            task = asyncio.create_task(self._sync(job, log, wait_s))
            self._syncing[job.job_id] = task
            task.add_done_callback(lambda done: self._sync_ended(job.job_id, done))
        await asyncio.shield(task)

    def _sync_ended(self, job_id: str, task: asyncio.Task[None]) -> None:
        if self._syncing.get(job_id) is task:
            del self._syncing[job_id]
        # Readers that are still there get the error; all of them may have left.
        error = None if task.cancelled() else task.exception()
        if error is not None:
            logger.info(
                "read: not brought up to date", request_id=job_id, reason=str(error)
            )

    async def _sync(self, job: Job, log: JobLog, wait_s: float) -> None:
        first = log.next_segment
        try:
            if self._dispatcher.is_active:
                raise PeerUnreachable("this daemon runs the jobs, but not this one")
            segments = await self._peers.fetch_segments(job.job_id, first, wait_s)
        except PeerUnreachable as unreachable:
            logger.info(
                "read: no answer from the dispatcher; reading the store",
                request_id=job.job_id,
                known=len(log.results),
                reason=unreachable.reason,
            )
            segments = await self._ledger.segments(job.job_id, first)
        for segment in segments:
            log.absorb(segment)

    async def segments(self, job_id: str, first: int, wait_s: float) -> list[Segment]:
        """Return the segments of a job for another daemon.

        The dispatcher also reads jobs that it does not run, so that the store is
        asked once and not by each daemon.

        Raises
        ------
        NotFound
            If this daemon does not run the jobs, or there is no such job.
        PlatformUnavailable
            If the store cannot be asked.
        """
        log = self._dispatcher.log_of(job_id)
        if log is None:
            if not self._dispatcher.is_active:
                raise NotFound("this daemon does not run the jobs")
            job = await self.job(job_id)
            log = self._copy(job)
            if len(log.results) < job.total:
                await self._synced(job, log, 0.0)
            return log.segments[first:]
        if log.next_segment <= first and wait_s:
            await _wait_beyond(log, len(log.results), wait_s)
        return log.segments[first:]

    def keep_items(self, job_id: str, items: tuple[Item, ...]) -> None:
        """Keep the items of a job that was accepted here."""
        self._items[job_id] = {item.item_id: item for item in items}
        while len(self._items) > KEPT_ITEM_SETS:
            self._items.popitem(last=False)

    async def body(self, job: Job, item_id: str) -> bytes:
        """Return the body of an item.

        Raises
        ------
        NotFound
            If the job has no such item.
        PlatformUnavailable
            If neither the daemon that runs the job nor the store answers.
        """
        item = self._dispatcher.item_of(job.job_id, item_id)
        if item is not None:
            return item.body
        if job.job_id not in self._items:
            try:
                return await self._peers.fetch_body(job.job_id, item_id)
            except PeerUnreachable as unknown:
                logger.debug("read: no body from the dispatcher: {}", unknown.reason)
            self.keep_items(job.job_id, await self._ledger.items(job))
        item = self._items[job.job_id].get(item_id)
        if item is None:
            raise NotFound(f"job {job.job_id} has no item {item_id}")
        return item.body


async def _wait_beyond(log: JobLog, position: int, wait_s: float) -> None:
    try:
        async with asyncio.timeout(wait_s):
            await log.wait_beyond(position)
    except TimeoutError:
        return
