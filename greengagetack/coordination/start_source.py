"""greengagetack.coordination.start_source: the first listings of a starting daemon."""

import asyncio
import time

from loguru import logger

from greengagetack.coordination.client import PeerClient
from greengagetack.errors import CodedError
from greengagetack.objects.base import WatchAnswer
from greengagetack.objects.feed import FeedSource
from greengagetack.world import Address

__all__ = ["StartSource"]

# Seeds that start at the same time need a moment for their own listings.
SEED_TIME_S = 0.5
SEED_RETRY_PAUSE_S = 0.05
# The next seed is asked as well if those before it have not answered within this time:
# an unreachable one would use up the time otherwise.
NEXT_SEED_DELAY_S = 0.1


class StartSource:
    """Lists from the seeds' copies, and from the store once their time is over.

    The time is counted from the first listing, so that the feeds of a daemon that
    start together also fall back together.
    """

    def __init__(
        self, store: FeedSource, peers: PeerClient, seeds: tuple[Address, ...]
    ) -> None:
        self._store = store
        self._peers = peers
        self._seeds = seeds
        self._until_s: float | None = None
        self._finished: set[str] = set()

    def is_finished(self, prefix: str) -> bool:
        """Whether a prefix has been listed, or has had its time."""
        return prefix in self._finished

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects under a prefix."""
        if self._until_s is None:
            self._until_s = time.monotonic() + SEED_TIME_S
        left_s = self._until_s - time.monotonic()
        listing = await self._ask_seeds(prefix, left_s) if left_s > 0 else None
        self._finished.add(prefix)
        if listing is not None:
            return listing
        logger.info("feed: no seed has a copy in time", prefix=prefix)
        return await self._store.list(prefix)

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes in the store; a feed is listed before it is watched."""
        return await self._store.watch(prefix, after, timeout_s)

    async def _ask_seeds(self, prefix: str, limit_s: float) -> WatchAnswer | None:
        """Return the first listing of a seed, None if there is none in time."""
        attempts = [
            asyncio.create_task(self._ask(seed, prefix, number * NEXT_SEED_DELAY_S))
            for number, seed in enumerate(self._seeds)
        ]
        try:
            done, _ = await asyncio.wait(
                attempts, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for attempt in attempts:
                attempt.cancel()
        return done.pop().result() if done else None

    async def _ask(self, seed: Address, prefix: str, delay_s: float) -> WatchAnswer:
        await asyncio.sleep(delay_s)
        while True:
            try:
                copy = await self._peers.list_objects(seed, prefix)
                logger.info("feed: listed from a seed", prefix=prefix, seed=str(seed))
                return copy.answer
            except CodedError as error:
                logger.debug("feed: no copy at seed {}: {}", seed, error.reason)
            await asyncio.sleep(SEED_RETRY_PAUSE_S)
