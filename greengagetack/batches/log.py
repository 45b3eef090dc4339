"""greengagetack.batches.log: the committed results of jobs, in order."""

import asyncio
from collections import OrderedDict

from greengagetack.batches.job import Result, Segment

__all__ = ["JobLog", "LogCache"]


class JobLog:
    """A prefix of a job's segments; it only grows."""

    def __init__(self) -> None:
        self.results: list[Result] = []
        self.listed: set[str] = set()
        self.segments: list[Segment] = []
        self.size_bytes = 0
        self._grown = asyncio.Event()

    @property
    def next_segment(self) -> int:
        """Number of the first segment that is not known."""
        return len(self.segments)

    def absorb(self, segment: Segment) -> bool:
        """Append the next segment; return whether it was the next one."""
        if segment.number != self.next_segment:
            return False
        self.segments.append(segment)
        self.results.extend(segment.results)
        self.size_bytes += sum(len(result.output) for result in segment.results)
        self.listed.update(result.item_id for result in segment.results)
        self._grown.set()
        self._grown = asyncio.Event()
        return True

    async def wait_beyond(self, position: int) -> None:
        """Wait until there is a result at a position."""
        while len(self.results) <= position:
            await self._grown.wait()


class LogCache:
    """Logs of jobs up to a size, those that were used last; one is always kept.

    Parameters
    ----------
    limit_bytes : int
        Size of the outputs that are kept.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._logs: OrderedDict[str, JobLog] = OrderedDict()

    def get(self, job_id: str) -> JobLog | None:
        """Return a job's log, None if it is not kept."""
        log = self._logs.get(job_id)
        if log is not None:
            self._logs.move_to_end(job_id)
        return log

    def put(self, job_id: str, log: JobLog) -> None:
        """Keep a log; logs that grow count with their size of now."""
        self._logs[job_id] = log
        self._logs.move_to_end(job_id)
        size_bytes = sum(kept.size_bytes for kept in self._logs.values())
        while size_bytes > self._limit_bytes and len(self._logs) > 1:
            size_bytes -= self._logs.popitem(last=False)[1].size_bytes

    def clear(self) -> None:
        """Forget all logs."""
        self._logs.clear()
