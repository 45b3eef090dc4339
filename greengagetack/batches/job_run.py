"""greengagetack.batches.job_run: state of an open job on the daemon that runs it."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Iterable

from loguru import logger

from greengagetack.batches.job import Item, Job, Result, Segment
from greengagetack.batches.ledger import Ledger
from greengagetack.batches.log import JobLog
from greengagetack.batches.priority import WaitingGroup, needed_groups
from greengagetack.batches.progress import ItemProgress
from greengagetack.errors import CodedError
from greengagetack.observability.metrics import Metrics
from greengagetack.weights.load_timing import ModelWork

__all__ = ["JobRun", "work_of"]

# Results that finish within this time are committed together. The delay is shorter
# when the job is nearly due, and longer while none of the results completes a group, as
# a trainer can use complete groups only and each commit is a charged call.
COMMIT_DELAY_S = 0.4
PARTIAL_COMMIT_DELAY_S = 1.0
NEARLY_DUE_COMMIT_DELAY_S = 0.1
NEARLY_DUE_S = 1.5
COMMIT_RETRY_S = 0.2
MAX_SEAL_ATTEMPTS = 10
# A commit without an answer for this long may have taken effect in the store.
UNCERTAIN_COMMIT_S = 0.25
MS_PER_S = 1_000


class JobRun:
    """Tracks the items of a job that are not committed yet and commits their results.

    Parameters
    ----------
    job : Job
        The job to run.
    items : tuple of Item
        All items of the job.
    log : JobLog
        Results of the job that are already committed.
    progress_of : callable
        Returns the progress of an item, including progress from an earlier job or
        another daemon.
    tokens_per_event : callable
        Returns the number of tokens per event of the job's service.
    """

    def __init__(
        self,
        job: Job,
        items: tuple[Item, ...],
        log: JobLog,
        ledger: Ledger,
        metrics: Metrics,
        progress_of: Callable[[Item, Job], ItemProgress],
        tokens_per_event: Callable[[], int],
    ) -> None:
        self.job = job
        self.opened_s = time.monotonic()
        self.log = log
        self._ledger = ledger
        self._metrics = metrics
        self._tokens_per_event = tokens_per_event
        self._finished: dict[str, Result] = {}
        # Progress of the items in `_finished`; a successor needs it until the commit.
        self._uncommitted: dict[str, ItemProgress] = {}
        self._has_finished = asyncio.Event()
        # Whether results that are not committed yet complete a group.
        self._completes_group = False
        # Monotonic start of the oldest commit whose outcome is unknown.
        self._uncertain_since_s: float | None = None
        self._refresh_task: asyncio.Task[None] | None = None
        # Until this monotonic time, a former dispatcher may still commit results.
        self.rival_until_s = float("-inf")
        self.unfinished: dict[str, ItemProgress] = {}
        # Groups resubmitted from an earlier job; the trainer always waits for them.
        self.required_groups: set[str] = set()
        self._open_in_group = Counter(
            item.group for item in items if item.item_id not in log.committed_ids
        )
        for item in items:
            if item.item_id in log.committed_ids:
                continue
            progress = progress_of(item, job)
            self.unfinished[item.item_id] = progress
            if progress.is_finished:
                self.add_result(progress.result())
        self.items = {item.item_id: item for item in items}
        self._groups = {item.group for item in items}

    @property
    def due_ms(self) -> float:
        """Unix time at which all results are due, in milliseconds."""
        return self.job.submitted_ms + self.job.due_after_ms

    def needed_groups(self) -> set[str]:
        """Return the groups that are needed to satisfy the trainer."""
        events_by_group: dict[str, list[int]] = {}
        for progress in self.unfinished.values():
            item = progress.item
            events_left = progress.events_left(self._tokens_per_event())
            events_by_group.setdefault(item.group, []).append(events_left)
        complete = self._groups - set(events_by_group)
        groups = [
            WaitingGroup(group, group in self.required_groups, tuple(events))
            for group, events in events_by_group.items()
        ]
        target = self.job.wanted_groups
        return needed_groups(groups, max(1, target - len(complete)) if target else 0)

    def add_result(self, result: Result) -> None:
        """Queue a result for the next commit."""
        if result.item_id in self.log.committed_ids or result.item_id in self._finished:
            return
        progress = self._close_item(result.item_id)
        if progress is not None:
            self._uncommitted[result.item_id] = progress
        self._finished[result.item_id] = result
        self._has_finished.set()

    def _close_item(self, item_id: str) -> ItemProgress | None:
        progress = self.unfinished.pop(item_id, None)
        if progress is None:
            return None
        group = progress.item.group
        self._open_in_group[group] -= 1
        if not group or not self._open_in_group[group]:
            self._completes_group = True
        return progress

    def collect_finished(self) -> None:
        """Add the results of items that a run of another job completed meanwhile.

        A trainer submits unfinished groups again under the same identifiers, and the
        earlier job may have allowed older weight versions.
        """
        for progress in list(self.unfinished.values()):
            if progress.is_running or not progress.is_complete:
                continue
            if not progress.has_allowed_versions(
                self.job.min_version, self.job.single_version
            ):
                progress.restart()
            elif progress.is_finished:
                self.add_result(progress.result())

    def uncommitted(self) -> list[ItemProgress]:
        """Return the progress of all items whose results are not committed."""
        return [*self.unfinished.values(), *self._uncommitted.values()]

    async def run(self) -> None:
        """Commit results until all items are committed."""
        while self.unfinished or self._finished:
            if not self._finished:
                self._has_finished.clear()
                await self._has_finished.wait()
                continue
            # Once all needed results are finished, commit without delay.
            if self._has_needed_items():
                await self._wait_for_more()
            await self._commit()
        logger.info(
            "batch: all items of the job committed",
            request_id=self.job.job_id,
            total=self.job.total,
        )

    async def seal(self) -> None:
        """Commit the unfinished items of an ended job as lost to finalize its log.

        Readers of a complete log need no further request to learn that no results can
        follow. If the store does not answer, the log remains incomplete and readers
        read the store.
        """
        for progress in list(self.unfinished.values()):
            self.add_result(progress.lost_result())
        for _ in range(MAX_SEAL_ATTEMPTS):
            if not self._finished:
                return
            await self._commit()

    async def _wait_for_more(self) -> None:
        """Wait for results that are committed together with the finished ones."""
        started_s = time.monotonic()
        while True:
            left_s = started_s + self._commit_delay_s() - time.monotonic()
            if left_s <= 0 or (self._completes_group and not self._has_needed_items()):
                return
            self._has_finished.clear()
            try:
                async with asyncio.timeout(left_s):
                    await self._has_finished.wait()
            except TimeoutError:
                return

    def _commit_delay_s(self) -> float:
        due_in_s = self.due_ms / MS_PER_S - time.time()
        if 0 < due_in_s < NEARLY_DUE_S:
            return NEARLY_DUE_COMMIT_DELAY_S
        if self._completes_group or due_in_s <= 0:
            return COMMIT_DELAY_S
        # The longer delay does not reach into the time in which the job is nearly due.
        rest_s = due_in_s - NEARLY_DUE_S
        return max(COMMIT_DELAY_S, min(PARTIAL_COMMIT_DELAY_S, rest_s))

    def _has_needed_items(self) -> bool:
        """Whether the trainer still waits for items that are not finished."""
        open_groups = {p.item.group for p in self.unfinished.values()}
        target = self.job.wanted_groups
        complete = len(self._groups - open_groups)
        if not target or complete < target:
            return bool(open_groups)
        return bool(open_groups & self.required_groups)

    async def _commit(self) -> None:
        results = self._ledger.segment_results(list(self._finished.values()))
        segment = Segment(self.log.next_segment, len(self.log.results), tuple(results))
        started_s = time.monotonic()
        if self._uncertain_since_s is None:
            self._uncertain_since_s = started_s
        try:
            committed = await self._ledger.commit(self.job.job_id, segment)
        except CodedError as error:
            logger.warning(
                "batch: results not committed",
                request_id=self.job.job_id,
                segment=segment.number,
                reason=error.reason,
            )
            await asyncio.sleep(COMMIT_RETRY_S)
            return
        self._metrics.observe_s("commit_s", time.monotonic() - started_s)
        self._uncertain_since_s = None
        self._apply(committed)
        logger.info(
            "batch: results committed",
            request_id=self.job.job_id,
            segment=segment.number,
            first=segment.start,
            count=len(committed.results),
            items=",".join(result.item_id for result in committed.results),
            by_other=committed is not segment,
        )

    def _apply(self, segment: Segment) -> None:
        self.log.append_segment(segment)
        for result in segment.results:
            self._finished.pop(result.item_id, None)
            self._uncommitted.pop(result.item_id, None)
            self._close_item(result.item_id)
        if not self._finished:
            self._completes_group = False

    def may_be_behind(self) -> bool:
        """Whether the store may have results that the log does not have yet.

        Readers that used the store may have seen them, so an empty page must not be
        served from the log alone.
        """
        now_s = time.monotonic()
        if now_s < self.rival_until_s:
            return True
        since_s = self._uncertain_since_s
        return since_s is not None and now_s - since_s > UNCERTAIN_COMMIT_S

    async def refresh(self) -> None:
        """Append the segments that the store has beyond the log; readers share a call.

        Raises
        ------
        PlatformUnavailable
            If the store does not answer.
        """
        if self._refresh_task is None or self._refresh_task.done():
            self._refresh_task = asyncio.create_task(self._read_new_segments())
        await asyncio.shield(self._refresh_task)

    async def _read_new_segments(self) -> None:
        first = self.log.next_segment
        for segment in await self._ledger.segments(self.job.job_id, first):
            self._apply(segment)


def work_of(runs: Iterable[JobRun]) -> ModelWork:
    """Return the work of the open jobs of one model."""
    waiting_items = waiting_min_version = newest_min_version = 0
    for run in runs:
        newest_min_version = max(newest_min_version, run.job.min_version)
        waiting = sum(
            not (progress.is_running or progress.is_complete)
            for progress in run.unfinished.values()
        )
        if waiting:
            waiting_items += waiting
            waiting_min_version = max(waiting_min_version, run.job.min_version)
    return ModelWork(waiting_items, waiting_min_version, newest_min_version)
