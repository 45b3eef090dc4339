"""greengagetack.coordination.store_gate: rare calls to a store that others follow.

While the store does not answer the relays and the dispatcher, each call of each of
their followers would be refused as well and charged.
"""

import asyncio
import time
from collections.abc import Awaitable

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.objects.base import HistoryGone, WatchAnswer
from greengagetack.objects.feed import FeedSource, SourceMissing

__all__ = ["ClaimPause", "NoSource", "StoreGate"]

# One feed of a daemon tries the store this often; all follow once it answers. With the
# pause of a feed, a daemon that alone reaches the store is up to date within 3 s.
TRY_INTERVAL_S = 1.0
# The store counts as reached for this long after an answer.
REACHED_S = 1.5
TRY_WAIT_S = 0.1
RETRY_AFTER_S = 0.2
CLAIM_PAUSE_S = 0.1


class StoreGate:
    """Lets one call through in each interval until the store has answered one."""

    def __init__(self, store: FeedSource) -> None:
        self._store = store
        self._next_try_s = float("-inf")
        self._reached_s = float("-inf")

    @property
    def _is_reached(self) -> bool:
        return time.monotonic() - self._reached_s < REACHED_S

    def take_turn(self) -> bool:
        """Whether a call may be made now."""
        now_s = time.monotonic()
        if self._is_reached:
            return True
        if now_s < self._next_try_s:
            return False
        self._next_try_s = now_s + TRY_INTERVAL_S
        return True

    def wait_s(self, longest_s: float) -> float:
        """Return the wait of the next watch, a short one until the store answers."""
        return longest_s if self._is_reached else TRY_WAIT_S

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects under a prefix."""
        return await self._record(self._store.list(prefix))

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes under a prefix."""
        return await self._record(self._store.watch(prefix, after, timeout_s))

    async def _record(self, call: Awaitable[WatchAnswer]) -> WatchAnswer:
        sent_s = time.monotonic()
        try:
            answer = await call
        except HistoryGone:
            # The store has answered, and the listing that follows must not wait.
            self._reached_s = time.monotonic()
            raise
        except CodedError as error:
            self._record_failure(error, sent_s)
            raise
        self._reached_s = time.monotonic()
        return answer

    def _record_failure(self, error: CodedError, sent_s: float) -> None:
        """Close the gate, unless the store has answered since the call was sent."""
        if sent_s < self._reached_s:
            return
        self._reached_s = float("-inf")
        self._next_try_s = time.monotonic() + TRY_INTERVAL_S
        logger.info(
            "feed: the store is not asked for some time",
            pause_s=TRY_INTERVAL_S,
            code=error.code,
            reason=error.reason,
        )


class NoSource:
    """Stands for the source of a feed while there is none to ask."""

    async def list(self, prefix: str) -> WatchAnswer:
        """Raise, as there is nothing to list from."""
        raise SourceMissing(f"no source of {prefix} at present", RETRY_AFTER_S)

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Raise, as there is nothing to watch."""
        raise SourceMissing(f"no source of {prefix} at present", RETRY_AFTER_S)


class ClaimPause(NoSource):
    """Waits instead of asking the store while the copy of the claim is recent."""

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Return no change and no confirmation after a short pause."""
        await asyncio.sleep(CLAIM_PAUSE_S)
        return WatchAnswer(after, (), age_s=float("inf"))
