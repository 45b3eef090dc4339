"""greengagetack.batches.log: the committed results of one job, in order."""

import asyncio

from greengagetack.batches.job import Result, Segment

__all__ = ["JobLog"]


class JobLog:
    """A prefix of a job's segments; it only grows."""

    def __init__(self) -> None:
        self.results: list[Result] = []
        self.listed: set[str] = set()
        self.segments: list[Segment] = []
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
        self.listed.update(result.item_id for result in segment.results)
        self._grown.set()
        self._grown = asyncio.Event()
        return True

    async def wait_beyond(self, position: int) -> None:
        """Wait until there is a result at a position."""
        while len(self.results) <= position:
            await self._grown.wait()
