"""greengagetack.batches.carried: groups that an earlier job of a trainer left open.

A trainer sends groups that were not whole again, under the same identifiers, in a later
job. It waits for these whatever else is whole.
"""

from collections import OrderedDict
from collections.abc import Iterable

from loguru import logger

from greengagetack.batches.job import Item, Job
from greengagetack.batches.ledger import Ledger
from greengagetack.errors import CodedError

__all__ = ["CarriedGroups", "earlier_jobs"]

# A group that came to nothing comes again in the next job, or, from a trainer that asks
# ahead, in the one after it.
EARLIER_JOBS = 2
KEPT_JOBS = 64


def earlier_jobs(job: Job, jobs: Iterable[Job]) -> list[Job]:
    """Return the jobs of the same trainer right before one, the newest first."""
    before = [
        other
        for other in jobs
        if other.route == job.route
        and other.model == job.model
        and other.step < job.step
    ]
    before.sort(key=lambda other: -other.step)
    return before[:EARLIER_JOBS]


class CarriedGroups:
    """Finds groups that come again, also those of jobs that another daemon ran."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._item_ids: OrderedDict[str, frozenset[str]] = OrderedDict()

    async def of(
        self, job: Job, items: tuple[Item, ...], jobs: Iterable[Job]
    ) -> set[str]:
        """Return the groups of `items` that an earlier job among `jobs` had too."""
        self._keep(job, items)
        seen: set[str] = set()
        for earlier in earlier_jobs(job, jobs):
            seen |= await self._ids_of(earlier)
        return {item.group for item in items if item.item_id in seen}

    async def _ids_of(self, job: Job) -> frozenset[str]:
        known = self._item_ids.get(job.job_id)
        if known is not None:
            return known
        try:
            self._keep(job, await self._ledger.items(job))
        except CodedError as error:
            logger.warning(
                "batch: items of an earlier job not read; its open groups are unknown",
                request_id=job.job_id,
                reason=error.reason,
            )
            return frozenset()
        return self._item_ids[job.job_id]

    def _keep(self, job: Job, items: tuple[Item, ...]) -> None:
        self._item_ids[job.job_id] = frozenset(item.item_id for item in items)
        self._item_ids.move_to_end(job.job_id)
        while len(self._item_ids) > KEPT_JOBS:
            self._item_ids.popitem(last=False)
