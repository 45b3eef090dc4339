"""greengagetack.siblings.source: where a daemon follows what all daemons follow.

Only the daemon that runs the jobs watches the store, so that calls do not grow with
daemons times changes; the others watch it, and the store while it does not answer.
"""

import time
from collections.abc import Awaitable

from greengagetack.errors import PeerUnreachable
from greengagetack.objects.base import WatchAnswer
from greengagetack.objects.feed import FeedSource
from greengagetack.siblings.claim import ClaimDuty
from greengagetack.siblings.client import PeerClient

__all__ = ["SharedSource"]

# A watch of the store that has gone silent is noticed after this time; the bound on
# configurations is 2 s.
DISPATCHER_WATCH_S = 0.8
FOLLOWER_WATCH_S = 1.0
# A follower that reaches the store only learns of new daemons at the latest then.
STORE_WATCH_S = 10.0
# While all daemons follow the store, as at their start, each change wakes all of them.
STORE_PAUSE_S = 0.25
LONG_STORE_PAUSE_S = 1.0
# After the dispatcher has not answered, the store is watched for this long.
PEER_PAUSE_S = 1.0


class SharedSource:
    """Chooses between the store and the dispatcher's copy for each call."""

    def __init__(self, store: FeedSource, peers: PeerClient, claim: ClaimDuty) -> None:
        self._store = store
        self._claim = claim
        self._copy = _DispatcherCopy(peers, claim)

    def choose(self) -> FeedSource:
        """Return the source of the next call."""
        failed_s = time.monotonic() - self._copy.failed_s
        is_known = self._claim.claimer is not None and not self._claim.is_mine
        return self._copy if is_known and failed_s > PEER_PAUSE_S else self._store

    def wait_s(self) -> float:
        """Return how long the next watch waits."""
        return DISPATCHER_WATCH_S if self._claim.is_mine else FOLLOWER_WATCH_S

    def long_wait_s(self) -> float:
        """Return how long the next watch of something that may be late waits."""
        return STORE_WATCH_S if self._is_one_of_many() else self.wait_s()

    def pause_s(self) -> float:
        """Return how long to rest after a change."""
        return STORE_PAUSE_S if self._is_one_of_many() else 0.0

    def long_pause_s(self) -> float:
        """Return how long to rest after a change of something that may be late."""
        return LONG_STORE_PAUSE_S if self._is_one_of_many() else 0.0

    def _is_one_of_many(self) -> bool:
        """Whether this daemon follows the store beside all others."""
        return self.choose() is self._store and not self._claim.is_mine


class _DispatcherCopy:
    """Follows the copy of the daemon that runs the jobs."""

    def __init__(self, peers: PeerClient, claim: ClaimDuty) -> None:
        self._peers = peers
        self._claim = claim
        self.failed_s = float("-inf")

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects of the copy."""
        return await self._noted(self._peers.snapshot(prefix))

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes of the copy."""
        return await self._noted(self._peers.changes(prefix, after, timeout_s))

    async def _noted(self, call: Awaitable[WatchAnswer]) -> WatchAnswer:
        try:
            answer = await call
        except PeerUnreachable:
            self.failed_s = time.monotonic()
            raise
        self._claim.note_heard()
        return answer
