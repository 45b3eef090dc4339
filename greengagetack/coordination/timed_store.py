"""greengagetack.coordination.timed_store: the store with the delay of its answers."""

import time

from greengagetack.objects.base import WatchAnswer
from greengagetack.objects.feed import FeedSource

__all__ = ["TimedStore"]


class TimedStore:
    """Passes calls on to the store and measures how late watches without changes end.

    Parameters
    ----------
    store : FeedSource
        The store.
    """

    def __init__(self, store: FeedSource) -> None:
        self._store = store
        self.delay_s = 0.0

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects under a prefix."""
        return await self._store.list(prefix)

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes under a prefix."""
        sent_s = time.monotonic()
        answer = await self._store.watch(prefix, after, timeout_s)
        if not answer.objects and not answer.deleted:
            self.delay_s = max(0.0, time.monotonic() - sent_s - timeout_s)
        return answer
