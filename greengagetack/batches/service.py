"""greengagetack.batches.service: accepts and ends jobs on any daemon."""

import asyncio

from loguru import logger

from greengagetack.batches.dispatcher import Dispatcher
from greengagetack.batches.job import Item, Job
from greengagetack.batches.ledger import Ledger
from greengagetack.batches.reading import JobReader
from greengagetack.coordination.client import PeerClient
from greengagetack.errors import NotFound, PlatformUnavailable
from greengagetack.objects.base import WriteUnknown

__all__ = ["JobService"]

# A submission is retried for this long while the store does not answer.
ACCEPT_TIMEOUT_S = 3.0


class JobService:
    """Stores submitted and ended jobs, and notifies the daemon that runs the jobs."""

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
        self._hint_tasks: set[asyncio.Task[None]] = set()

    async def submit(
        self, job: Job, items: tuple[Item, ...], customer: str | None = None
    ) -> bool:
        """Accept a job; return whether this call was the first for its identifier.

        Raises
        ------
        NotFound
            If the identifier belongs to a job of another customer.
        PlatformUnavailable
            If the job was not accepted and will not be.
        WriteUnknown
            If the job may have been accepted.
        """
        if self._reader.is_known(job.job_id):
            await self._reader.job_for(job.job_id, customer)
            return False
        accepted = await self._ledger.accept(job, items, ACCEPT_TIMEOUT_S)
        if accepted is None and customer is not None:
            await self._check_owner(job.job_id, customer)
        self._reader.cache_items(job.job_id, items)
        self._notify_dispatcher(job.job_id, is_ended=False)
        if accepted is not None:
            self._reader.cache_job(accepted)
        return accepted is not None

    async def _check_owner(self, job_id: str, customer: str) -> None:
        """Check that an existing job belongs to a customer.

        Without an answer it is unknown whether the submission stands, as an earlier
        one of the same customer may have been accepted.
        """
        try:
            await self._reader.job_for(job_id, customer)
        except PlatformUnavailable as error:
            raise WriteUnknown(error.reason, error.retry_after_s) from error

    async def end(self, job_id: str, customer: str | None = None) -> None:
        """End a job; this is idempotent.

        Raises
        ------
        NotFound
            If the job does not exist or belongs to another customer.
        """
        if customer is not None:
            await self._reader.job_for(job_id, customer)
        is_known = await self._ledger.end(job_id)
        logger.info("batch: job ended by the client", request_id=job_id, known=is_known)
        if not is_known:
            raise NotFound(f"job {job_id} does not exist")
        self._notify_dispatcher(job_id, is_ended=True)

    def _notify_dispatcher(self, job_id: str, is_ended: bool) -> None:
        if self._dispatcher.is_active:
            self._dispatcher.handle_hint(job_id, is_ended)
            return
        task = asyncio.create_task(self._peers.send_job_hint(job_id, is_ended))
        self._hint_tasks.add(task)
        task.add_done_callback(self._hint_tasks.discard)
