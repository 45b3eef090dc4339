"""greengagetack.batches.ledger: jobs and results as objects of the store.

The store is the commit point. A job is accepted when its object is created, a
result when its segment is; each creation succeeds for one writer only, so two
runners of a job can waste work but never double or change a result.
"""

import asyncio
import dataclasses
from typing import Any, Protocol

import msgspec
from loguru import logger

from greengagetack.batches.job import Item, Job, Result, Segment
from greengagetack.errors import InvalidRequest, NotFound
from greengagetack.objects.base import ObjectConflict, PlatformObject

__all__ = ["JOBS", "Ledger", "LedgerStore", "is_forgettable", "job_of"]

JOBS = "jobs/"
ITEMS = "job-items/"
RESULTS = "job-results/"
# Items in one object stay well below the size that the store takes.
PART_RATIO = 0.6
SEGMENT_RATIO = 0.6
END_ATTEMPTS = 5
# Segments that are read at the same time at most.
MOST_READS = 8
MS_PER_S = 1_000
# Clocks of VMs may differ by this much.
CLOCK_MARGIN_S = 120.0


class LedgerStore(Protocol):
    """What the ledger needs of the object store."""

    value_limit_bytes: int

    async def read(self, path: str) -> PlatformObject | None:
        """Return an object, None if there is none."""

    async def write(
        self, path: str, value: Any, expected_version: int, limit_s: float = 2.0
    ) -> int:
        """Write under a condition."""

    async def delete(self, path: str) -> None:
        """Remove an object."""


def job_of(stored: PlatformObject) -> Job | None:
    """Return the job that an object holds, None if it holds none."""
    try:
        return msgspec.convert(stored.value, Job)
    except msgspec.ValidationError as error:
        logger.warning("ledger: passing over {}: {}", stored.path, error)
        return None


def is_forgettable(job: Job, now_ms: float, kept_s: float) -> bool:
    """Return whether nobody may ask for a job any more.

    Parameters
    ----------
    kept_s : float
        How long after its submission results stay readable, in seconds.
    """
    age_s = (now_ms - job.submitted_ms) / MS_PER_S
    return job.is_ended and age_s > kept_s + CLOCK_MARGIN_S


def _segment_path(job_id: str, number: int) -> str:
    return f"{RESULTS}{job_id}.{number:06d}"


class Ledger:
    """Accepts jobs, commits their results and ends them."""

    def __init__(self, store: LedgerStore) -> None:
        self._store = store

    async def accept(
        self, job: Job, items: tuple[Item, ...], limit_s: float
    ) -> Job | None:
        """Store a job with its items; return it, None if it was there already.

        Raises
        ------
        PlatformUnavailable
            If nothing was accepted and nothing will be.
        WriteUnknown
            If the job may be accepted.
        InvalidRequest
            If an item alone is too large for the store.
        """
        parts = self._split(items)
        for number, part in enumerate(parts):
            try:
                await self._store.write(
                    f"{ITEMS}{job.job_id}.{number:03d}", part, 0, limit_s
                )
            except ObjectConflict:
                logger.debug("ledger: items of {} were stored before", job.job_id)
        accepted = dataclasses.replace(job, item_parts=len(parts))
        value = msgspec.to_builtins(accepted)
        try:
            await self._store.write(f"{JOBS}{job.job_id}", value, 0, limit_s)
        except ObjectConflict:
            return None
        return accepted

    def _split(self, items: tuple[Item, ...]) -> list[list[Any]]:
        limit_bytes = int(self._store.value_limit_bytes * PART_RATIO)
        parts: list[list[Any]] = [[]]
        size_bytes = 0
        for item in items:
            value = msgspec.to_builtins(item)
            item_bytes = len(msgspec.json.encode(value))
            if item_bytes > limit_bytes:
                raise InvalidRequest(f"item {item.item_id} has {item_bytes} bytes")
            if size_bytes + item_bytes > limit_bytes:
                parts.append([])
                size_bytes = 0
            parts[-1].append(value)
            size_bytes += item_bytes
        return parts

    async def find(self, job_id: str) -> Job | None:
        """Return a job as the store has it now, None if it was never accepted."""
        stored = await self._store.read(f"{JOBS}{job_id}")
        return None if stored is None else job_of(stored)

    async def items(self, job: Job) -> tuple[Item, ...]:
        """Return all items of a job.

        Raises
        ------
        NotFound
            If a part is missing.
        """
        items: list[Item] = []
        for number in range(job.item_parts):
            stored = await self._store.read(f"{ITEMS}{job.job_id}.{number:03d}")
            if stored is None:
                raise NotFound(f"part {number} of the items of {job.job_id} is missing")
            items += msgspec.convert(stored.value, list[Item])
        return tuple(items)

    async def end(self, job_id: str) -> bool:
        """Mark a job as ended; return False if there is no such job."""
        path = f"{JOBS}{job_id}"
        for _ in range(END_ATTEMPTS):
            stored = await self._store.read(path)
            job = None if stored is None else job_of(stored)
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
        raise ObjectConflict(f"{path} changed {END_ATTEMPTS} times meanwhile")

    async def commit(self, job_id: str, segment: Segment) -> Segment:
        """Commit the next segment; return the one that now has its number.

        Raises
        ------
        PlatformUnavailable, WriteUnknown
            If no answer came; committing the same number again is safe.
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

    async def segments(self, job_id: str, first: int) -> list[Segment]:
        """Return the committed segments from a number on.

        They are read by name, ever more at a time until one does not exist: a list
        of their kind would bring those of other jobs along, a megabyte at a time.
        """
        found: list[Segment] = []
        count = 1
        while True:
            start = first + len(found)
            reads = [
                self._store.read(_segment_path(job_id, number))
                for number in range(start, start + count)
            ]
            for stored in await asyncio.gather(*reads):
                if stored is None:
                    return found
                found.append(msgspec.convert(stored.value, Segment))
            count = min(MOST_READS, 2 * count)

    def cut(self, results: list[Result]) -> list[Result]:
        """Return as many results as fit into one segment, at least one."""
        limit_bytes = int(self._store.value_limit_bytes * SEGMENT_RATIO)
        size_bytes = 0
        taken: list[Result] = []
        for result in results:
            size_bytes += len(msgspec.json.encode(result))
            if taken and size_bytes > limit_bytes:
                break
            taken.append(result)
        return taken

    async def forget(self, job: Job) -> None:
        """Remove a job that is no longer owed, its results first."""
        for segment in await self.segments(job.job_id, 0):
            await self._store.delete(_segment_path(job.job_id, segment.number))
        for number in range(job.item_parts):
            await self._store.delete(f"{ITEMS}{job.job_id}.{number:03d}")
        await self._store.delete(f"{JOBS}{job.job_id}")
