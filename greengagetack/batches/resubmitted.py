"""greengagetack.batches.resubmitted: groups resubmitted from a trainer's earlier jobs.

A trainer resubmits incomplete groups in a later job, under the same item identifiers.
It always waits for these groups, however many others are complete.
"""

from collections import OrderedDict
from collections.abc import Iterable

from loguru import logger

from greengagetack.batches.job import Item, Job
from greengagetack.batches.ledger import Ledger
from greengagetack.errors import CodedError

__all__ = ["ResubmittedGroups", "earlier_jobs"]

# An incomplete group is resubmitted in the next job or, by a trainer that submits jobs
# ahead of time, in the job after that.
MAX_EARLIER_JOBS = 2
MAX_CACHED_JOBS = 64


def earlier_jobs(job: Job, jobs: Iterable[Job]) -> list[Job]:
    """Return the most recent earlier jobs of the same trainer, newest first."""
    earlier = [
        other
        for other in jobs
        if other.route == job.route
        and other.model == job.model
        and other.step < job.step
    ]
    earlier.sort(key=lambda other: -other.step)
    return earlier[:MAX_EARLIER_JOBS]


class ResubmittedGroups:
    """Finds resubmitted groups, including those of jobs that another daemon ran."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._item_ids: OrderedDict[str, frozenset[str]] = OrderedDict()

    async def find(
        self, job: Job, items: tuple[Item, ...], jobs: Iterable[Job]
    ) -> set[str]:
        """Return the groups of `items` that an earlier job in `jobs` also contained."""
        self._cache_item_ids(job, items)
        earlier_ids: set[str] = set()
        for earlier in earlier_jobs(job, jobs):
            earlier_ids |= await self._item_ids_of(earlier)
        return {item.group for item in items if item.item_id in earlier_ids}

    async def _item_ids_of(self, job: Job) -> frozenset[str]:
        cached = self._item_ids.get(job.job_id)
        if cached is not None:
            return cached
        try:
            self._cache_item_ids(job, await self._ledger.items(job))
        except CodedError as error:
            logger.warning(
                "batch: items of an earlier job not read; resubmitted groups unknown",
                request_id=job.job_id,
                reason=error.reason,
            )
            return frozenset()
        return self._item_ids[job.job_id]

    def _cache_item_ids(self, job: Job, items: tuple[Item, ...]) -> None:
        self._item_ids[job.job_id] = frozenset(item.item_id for item in items)
        self._item_ids.move_to_end(job.job_id)
        while len(self._item_ids) > MAX_CACHED_JOBS:
            self._item_ids.popitem(last=False)
