"""greengagetack.batches.log: the committed results of jobs, in order."""

import asyncio
from collections import OrderedDict
from weakref import WeakValueDictionary

from greengagetack.batches.job import Result, Segment

__all__ = ["JobLog", "LogCache"]


class JobLog:
    """A prefix of a job's committed segments, append-only."""

    def __init__(self) -> None:
        self.results: list[Result] = []
        self.committed_ids: set[str] = set()
        self.segments: list[Segment] = []
        self.size_bytes = 0
        self._appended = asyncio.Event()

    @property
    def next_segment(self) -> int:
        """Number of the first segment that the log does not contain."""
        return len(self.segments)

    def append_segment(self, segment: Segment) -> bool:
        """Append a segment if it is the next one; return whether it was appended."""
        if segment.number != self.next_segment:
            return False
        self.segments.append(segment)
        self.results.extend(segment.results)
        self.size_bytes += sum(len(result.output) for result in segment.results)
        self.committed_ids.update(result.item_id for result in segment.results)
        self._appended.set()
        self._appended = asyncio.Event()
        return True

    async def wait_for_result(self, position: int) -> None:
        """Wait until the log has a result at `position`."""
        while len(self.results) <= position:
            await self._appended.wait()


class LogCache:
    """LRU cache of job logs with a size limit; it always keeps at least one log.

    A log that somebody still uses is found again after its eviction, so that there is
    never a second one of the same job.

    Parameters
    ----------
    limit_bytes : int
        Maximum total size of the cached outputs.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._logs: OrderedDict[str, JobLog] = OrderedDict()
        self._used: WeakValueDictionary[str, JobLog] = WeakValueDictionary()

    def get(self, job_id: str) -> JobLog | None:
        """Return a job's log, None if it is neither cached nor used by anybody."""
        log = self._logs.get(job_id)
        if log is None:
            return self._used.get(job_id)
        self._logs.move_to_end(job_id)
        return log

    def put(self, job_id: str, log: JobLog) -> None:
        """Add a log and evict others by the current total size of all logs."""
        self._used[job_id] = log
        self._logs[job_id] = log
        self._logs.move_to_end(job_id)
        size_bytes = sum(cached.size_bytes for cached in self._logs.values())
        while size_bytes > self._limit_bytes and len(self._logs) > 1:
            size_bytes -= self._logs.popitem(last=False)[1].size_bytes

    def clear(self) -> None:
        """Remove all logs, also those that are still used."""
        self._logs.clear()
        self._used.clear()
