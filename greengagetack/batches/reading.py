"""greengagetack.batches.reading: serves job data to readers on any daemon."""

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
from greengagetack.gateway.customers import may_access

__all__ = ["JobReader"]

MAX_CACHED_JOBS = 500
MAX_CACHED_LOG_BYTES = 16 * 1024 * 1024
MAX_CACHED_ITEM_SETS = 6
# While the dispatcher does not answer, the store is polled at this interval.
STORE_POLL_INTERVAL_S = 0.4


class JobReader:
    """Serves results and item bodies from local copies of committed data.

    A copy is updated from the daemon that runs the jobs, or from the store while that
    daemon is unreachable. Readers only ever see committed results.
    """

    def __init__(
        self, ledger: Ledger, dispatcher: Dispatcher, peers: PeerClient
    ) -> None:
        self._ledger = ledger
        self._jobs: OrderedDict[str, Job] = OrderedDict()
        self._dispatcher = dispatcher
        self._peers = peers
        self._logs = LogCache(MAX_CACHED_LOG_BYTES)
        self._sync_tasks: dict[str, asyncio.Task[None]] = {}
        self._items: OrderedDict[str, dict[str, Item]] = OrderedDict()

    async def job(self, job_id: str) -> Job:
        """Return a job.

        Raises
        ------
        NotFound
            If the store has no such job.
        PlatformUnavailable
            If the store does not answer.
        """
        job = self._jobs.get(job_id) or self._dispatcher.job_of(job_id)
        if job is None:
            job = await self._fetch_job(job_id)
        self.cache_job(job)
        return job

    async def job_for(self, job_id: str, customer: str | None) -> Job:
        """Return a job for a caller, see `may_access`.

        Raises
        ------
        NotFound
            If there is no such job, or it belongs to another customer.
        PlatformUnavailable
            If the store does not answer.
        """
        job = await self.job(job_id)
        if not may_access(job.customer, customer):
            logger.info(
                "read: job withheld from another customer",
                request_id=job_id,
                customer=customer,
            )
            raise _missing(job_id)
        return job

    async def _fetch_job(self, job_id: str) -> Job:
        """Fetch a job from the dispatcher, or from the store if it is unknown there.

        Readers may contact any daemon; only the store is authoritative on whether a
        job exists.
        """
        try:
            if self._dispatcher.is_active:
                raise PeerUnreachable(
                    "this daemon is the dispatcher and does not run this job"
                )
            return await self._peers.fetch_job(job_id)
        except PeerUnreachable as error:
            logger.debug("read: job {} not found at the dispatcher: {}", job_id, error)
        job = await self._ledger.find(job_id)
        if job is None:
            raise _missing(job_id)
        return job

    def is_known(self, job_id: str) -> bool:
        """Whether a job is known to be accepted, without a request to the store."""
        return job_id in self._jobs or self._dispatcher.job_of(job_id) is not None

    def cache_job(self, job: Job) -> None:
        """Cache a job that is known to be accepted."""
        self._jobs[job.job_id] = job
        while len(self._jobs) > MAX_CACHED_JOBS:
            self._jobs.popitem(last=False)

    async def log(self, job: Job, position: int, wait_s: float) -> JobLog:
        """Return a job's log once it has a result at `position`, or after `wait_s`."""
        dispatcher_log = self._dispatcher.log_of(job.job_id)
        if dispatcher_log is not None:
            await _wait_for_result(dispatcher_log, position, wait_s)
            if len(dispatcher_log.results) <= position:
                await self._dispatcher.refresh_log(job.job_id)
            return dispatcher_log
        log = self._cached_log(job)
        if len(log.results) > position or len(log.results) >= job.total:
            return log
        deadline_s = time.monotonic() + wait_s
        while True:
            await self._update_log(job, log, max(0.0, deadline_s - time.monotonic()))
            left_s = deadline_s - time.monotonic()
            if len(log.results) > position or left_s <= 0:
                return log
            await _wait_for_result(log, position, min(left_s, STORE_POLL_INTERVAL_S))
            if len(log.results) > position:
                return log

    def _cached_log(self, job: Job) -> JobLog:
        log = self._logs.get(job.job_id) or JobLog()
        self._logs.put(job.job_id, log)
        return log

    async def _update_log(self, job: Job, log: JobLog, wait_s: float) -> None:
        """Update a log; concurrent readers share one exchange.

        Raises
        ------
        PlatformUnavailable
            If neither the dispatcher nor the store answered.
        """
        task = self._sync_tasks.get(job.job_id)
        if task is None or task.done():
            task = asyncio.create_task(self._sync(job, log, wait_s))
            self._sync_tasks[job.job_id] = task
            task.add_done_callback(lambda done: self._on_sync_done(job.job_id, done))
        await asyncio.shield(task)

    def _on_sync_done(self, job_id: str, task: asyncio.Task[None]) -> None:
        if self._sync_tasks.get(job_id) is task:
            del self._sync_tasks[job_id]
        # Waiting readers receive the error; log it in case none is left.
        error = None if task.cancelled() else task.exception()
        if error is not None:
            logger.info(
                "read: log of a job not updated", request_id=job_id, reason=str(error)
            )

    async def _sync(self, job: Job, log: JobLog, wait_s: float) -> None:
        first = log.next_segment
        try:
            if self._dispatcher.is_active:
                raise PeerUnreachable(
                    "this daemon is the dispatcher and does not run this job"
                )
            segments = await self._peers.fetch_segments(job.job_id, first, wait_s)
        except PeerUnreachable as error:
            logger.info(
                "read: no answer from the dispatcher; reading the store",
                request_id=job.job_id,
                known=len(log.results),
                reason=error.reason,
            )
            segments = await self._ledger.segments(job.job_id, first, job.total)
        for segment in segments:
            log.append_segment(segment)

    async def segments(self, job_id: str, first: int, wait_s: float) -> list[Segment]:
        """Return the segments of a job for another daemon.

        The dispatcher also reads jobs that it does not run, so that the store receives
        one request instead of one from each daemon.

        Raises
        ------
        NotFound
            If this daemon is not the dispatcher or the job does not exist.
        PlatformUnavailable
            If the store does not answer.
        """
        log = self._dispatcher.log_of(job_id)
        if log is None:
            if not self._dispatcher.is_active:
                raise NotFound("this daemon does not run the jobs")
            job = await self.job(job_id)
            log = self._cached_log(job)
            # The copy may lack results that were read at other daemons.
            if len(log.results) < job.total:
                await self._update_log(job, log, 0.0)
            return log.segments[first:]
        if log.next_segment <= first and wait_s:
            await _wait_for_result(log, len(log.results), wait_s)
        if log.next_segment <= first:
            await self._dispatcher.refresh_log(job_id)
        return log.segments[first:]

    def cache_items(self, job_id: str, items: tuple[Item, ...]) -> None:
        """Cache the items of a job that this daemon accepted."""
        self._items[job_id] = {item.item_id: item for item in items}
        while len(self._items) > MAX_CACHED_ITEM_SETS:
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
            except PeerUnreachable as error:
                logger.debug(
                    "read: item body not fetched from the dispatcher: {}",
                    error.reason,
                )
            self.cache_items(job.job_id, await self._ledger.items(job))
        item = self._items[job.job_id].get(item_id)
        if item is None:
            raise NotFound(f"job {job.job_id} has no item {item_id}")
        return item.body


def _missing(job_id: str) -> NotFound:
    """Return one error for missing jobs and for those of other customers."""
    return NotFound(f"job {job_id} does not exist")


async def _wait_for_result(log: JobLog, position: int, wait_s: float) -> None:
    try:
        async with asyncio.timeout(wait_s):
            await log.wait_for_result(position)
    except TimeoutError:
        return
