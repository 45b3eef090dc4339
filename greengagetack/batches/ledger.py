"""greengagetack.batches.ledger: jobs and results as objects in the store.

The store is the commit point. A job is accepted when its object is created, and a
result is committed when its segment is created. Each creation succeeds for one writer
only, so two daemons that run the same job can waste work but cannot duplicate or
change a result.
"""

import asyncio
import dataclasses
import time
from typing import Any, Protocol

import msgspec
from loguru import logger

from greengagetack.batches.job import Item, Job, Result, Segment
from greengagetack.errors import InvalidRequest, NotFound
from greengagetack.objects.base import ObjectConflict, PlatformObject

__all__ = ["JOBS_PREFIX", "Ledger", "LedgerStore", "decode_job", "is_expired"]

JOBS_PREFIX = "jobs/"
ITEMS_PREFIX = "job-items/"
RESULTS_PREFIX = "job-results/"
# Shares of the store's size limit that an object of items or of results may use.
MAX_PART_RATIO = 0.6
MAX_SEGMENT_RATIO = 0.6
MAX_END_ATTEMPTS = 5
MAX_CONCURRENT_READS = 8
MS_PER_S = 1_000
# Maximum difference between the clocks of two VMs.
CLOCK_MARGIN_S = 120.0
# Copies of the store are some seconds behind; younger objects are rarely in them.
STALE_READ_S = 10.0


class LedgerStore(Protocol):
    """Object store operations that the ledger uses."""

    value_limit_bytes: int

    async def read(self, path: str) -> PlatformObject | None:
        """Return an object, None if it does not exist."""

    async def read_immutable(self, path: str) -> PlatformObject | None:
        """Return an object that never changes, None if it may not exist yet.

        This costs less than `read`, as the answer may be some seconds old.
        """

    async def write(
        self, path: str, value: Any, expected_version: int, limit_s: float = 2.0
    ) -> int:
        """Write an object if it has the expected version; return the new one."""

    async def delete(self, path: str) -> None:
        """Delete an object."""


def decode_job(stored: PlatformObject) -> Job | None:
    """Decode a stored job; return None if the object is not a valid job."""
    try:
        return msgspec.convert(stored.value, Job)
    except msgspec.ValidationError as error:
        logger.warning("ledger: skipping invalid job object {}: {}", stored.path, error)
        return None


def is_expired(job: Job, now_ms: float, retention_s: float) -> bool:
    """Return whether the retention time of an ended job has passed.

    Parameters
    ----------
    retention_s : float
        How long results stay readable after the submission, in seconds.
    """
    age_s = (now_ms - job.submitted_ms) / MS_PER_S
    return job.is_ended and age_s > retention_s + CLOCK_MARGIN_S


def _segment_path(job_id: str, number: int) -> str:
    return f"{RESULTS_PREFIX}{job_id}.{number:06d}"


def _result_count(segments: list[Segment]) -> int:
    """Return the number of a job's results up to the last of its segments."""
    return segments[-1].start + len(segments[-1].results) if segments else 0


class Ledger:
    """Accepts jobs, commits their results, ends and deletes them."""

    def __init__(self, store: LedgerStore) -> None:
        self._store = store

    async def accept(
        self, job: Job, items: tuple[Item, ...], limit_s: float
    ) -> Job | None:
        """Store a job with its items; return it, None if it already existed.

        Raises
        ------
        PlatformUnavailable
            If the job was not accepted and will not be.
        WriteUnknown
            If the job may have been accepted.
        InvalidRequest
            If a single item is too large for the store.
        """
        parts = self._split(items)
        for number, part in enumerate(parts):
            try:
                await self._store.write(
                    f"{ITEMS_PREFIX}{job.job_id}.{number:03d}", part, 0, limit_s
                )
            except ObjectConflict:
                logger.debug("ledger: items of {} were already stored", job.job_id)
        accepted = dataclasses.replace(job, item_parts=len(parts))
        value = msgspec.to_builtins(accepted)
        try:
            await self._store.write(f"{JOBS_PREFIX}{job.job_id}", value, 0, limit_s)
        except ObjectConflict:
            return None
        return accepted

    def _split(self, items: tuple[Item, ...]) -> list[list[Any]]:
        limit_bytes = int(self._store.value_limit_bytes * MAX_PART_RATIO)
        parts: list[list[Any]] = [[]]
        size_bytes = 0
        for item in items:
            value = msgspec.to_builtins(item)
            item_bytes = len(msgspec.json.encode(value))
            if item_bytes > limit_bytes:
                raise InvalidRequest(
                    f"item {item.item_id} is too large: {item_bytes} bytes"
                )
            if size_bytes + item_bytes > limit_bytes:
                parts.append([])
                size_bytes = 0
            parts[-1].append(value)
            size_bytes += item_bytes
        return parts

    async def find(self, job_id: str) -> Job | None:
        """Read a job from the store; return None if it does not exist."""
        stored = await self._store.read(f"{JOBS_PREFIX}{job_id}")
        return None if stored is None else decode_job(stored)

    async def items(self, job: Job) -> tuple[Item, ...]:
        """Return all items of a job.

        Raises
        ------
        NotFound
            If an object with some of the items is missing.
        """
        items: list[Item] = []
        for number in range(job.item_parts):
            path = f"{ITEMS_PREFIX}{job.job_id}.{number:03d}"
            stored = await self._read_known(path, job)
            if stored is None:
                raise NotFound(f"part {number} of the items of {job.job_id} is missing")
            items += msgspec.convert(stored.value, list[Item])
        return tuple(items)

    async def _read_known(self, path: str, job: Job) -> PlatformObject | None:
        """Read an immutable object of a job, in an older copy if the job is not new."""
        age_s = time.time() - job.submitted_ms / MS_PER_S
        if age_s > STALE_READ_S:
            stored = await self._store.read_immutable(path)
            if stored is not None:
                return stored
        return await self._store.read(path)

    async def end(self, job_id: str) -> bool:
        """Mark a job as ended; return False if it does not exist."""
        path = f"{JOBS_PREFIX}{job_id}"
        for _ in range(MAX_END_ATTEMPTS):
            stored = await self._store.read(path)
            job = None if stored is None else decode_job(stored)
            if stored is None or job is None:
                return False
            if job.is_ended:
                return True
            value = {**stored.value, "is_ended": True}
            try:
                await self._store.write(path, value, stored.version)
            except ObjectConflict:
                continue
            return True
        raise ObjectConflict(
            f"{path}: {MAX_END_ATTEMPTS} conditional writes failed because it changed"
        )

    async def commit(self, job_id: str, segment: Segment) -> Segment:
        """Commit a segment; return the segment that is stored under its number.

        Raises
        ------
        PlatformUnavailable, WriteUnknown
            If the outcome is unknown or the store is not reachable; committing the
            same number again is safe.
        """
        path = _segment_path(job_id, segment.number)
        value = msgspec.to_builtins(segment)
        try:
            await self._store.write(path, value, 0)
        except ObjectConflict:
            stored = await self._store.read(path)
            if stored is None:
                raise
            return msgspec.convert(stored.value, Segment)
        return segment

    async def segments(self, job_id: str, first: int, total: int = 0) -> list[Segment]:
        """Return the committed segments of a job from number `first` on.

        Segments are read by path, in batches that double in size, until the results are
        `total` or one does not exist. Listing the prefix would also return the segments
        of other jobs, a megabyte per request.
        """
        found: list[Segment] = []
        count = 1
        while True:
            batch = await self._read_segments(job_id, first + len(found), count)
            found += batch
            if total and _result_count(found) == total:
                return found
            if len(batch) == count:
                count = min(MAX_CONCURRENT_READS, 2 * count)
                continue
            # Only the store itself tells that a segment does not exist.
            path = _segment_path(job_id, first + len(found))
            stored = await self._store.read(path)
            if stored is None:
                return found
            found.append(msgspec.convert(stored.value, Segment))
            count = 1

    async def _read_segments(
        self, job_id: str, first: int, count: int
    ) -> list[Segment]:
        """Return segments that older copies of the store have, without a gap."""
        reads = [
            self._store.read_immutable(_segment_path(job_id, number))
            for number in range(first, first + count)
        ]
        found: list[Segment] = []
        for stored in await asyncio.gather(*reads):
            if stored is None:
                break
            found.append(msgspec.convert(stored.value, Segment))
        return found

    def segment_results(self, results: list[Result]) -> list[Result]:
        """Return the first results, as many as fit into one segment, at least one."""
        limit_bytes = int(self._store.value_limit_bytes * MAX_SEGMENT_RATIO)
        size_bytes = 0
        selected: list[Result] = []
        for result in results:
            size_bytes += len(msgspec.json.encode(result))
            if selected and size_bytes > limit_bytes:
                break
            selected.append(result)
        return selected

    async def delete_job(self, job: Job) -> None:
        """Delete a job whose retention time has passed, its results first."""
        for segment in await self.segments(job.job_id, 0):
            await self._store.delete(_segment_path(job.job_id, segment.number))
        for number in range(job.item_parts):
            await self._store.delete(f"{ITEMS_PREFIX}{job.job_id}.{number:03d}")
        await self._store.delete(f"{JOBS_PREFIX}{job.job_id}")
