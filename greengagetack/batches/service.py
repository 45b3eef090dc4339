"""greengagetack.batches.service: accepts and ends jobs at any daemon."""

import asyncio

from loguru import logger

from greengagetack.batches.dispatcher import Dispatcher
from greengagetack.batches.job import Item, Job
from greengagetack.batches.ledger import Ledger
from greengagetack.batches.reading import JobReader
from greengagetack.coordination.client import PeerClient
from greengagetack.errors import NotFound

__all__ = ["JobService"]

# A submission is kept trying this long while the store does not answer.
ACCEPT_LIMIT_S = 3.0


class JobService:
    """Stores what callers ask for, and tells the daemon that runs the jobs."""

    def __init__(
        self,
        ledger: Ledger,
        reader: JobReader,
        dispatcher: Dispatcher,
        peers: PeerClient,
    ) -> None:
        self._ledger = ledger
        self._reader = reader
        self._dispatcher = dispatcher
        self._peers = peers
        self._hints: set[asyncio.Task[None]] = set()

    async def submit(self, job: Job, items: tuple[Item, ...]) -> bool:
        """Accept a job once; return whether this call was the first.

        Raises
        ------
        PlatformUnavailable
            If nothing was accepted and nothing will be.
        WriteUnknown
            If the job may be accepted.
        """
        if self._reader.knows(job.job_id):
            return False
        accepted = await self._ledger.accept(job, items, ACCEPT_LIMIT_S)
        self._reader.keep_items(job.job_id, items)
        self._hint(job.job_id, is_ended=False)
        if accepted is not None:
            self._reader.keep_job(accepted)
        return accepted is not None

    async def end(self, job_id: str) -> None:
        """End a job; ending it again changes nothing.

        Raises
        ------
        NotFound
            If there is no such job.
        """
        is_known = await self._ledger.end(job_id)
        logger.info("batch: job ended by its sender", request_id=job_id, known=is_known)
        if not is_known:
            raise NotFound(f"there is no job {job_id}")
        self._hint(job_id, is_ended=True)

    def _hint(self, job_id: str, is_ended: bool) -> None:
        if self._dispatcher.is_active:
            self._dispatcher.take_hint(job_id, is_ended)
            return
        task = asyncio.create_task(self._peers.send_job_hint(job_id, is_ended))
        self._hints.add(task)
        task.add_done_callback(self._hints.discard)
