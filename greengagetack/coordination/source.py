"""greengagetack.coordination.source: the source of the feeds that all daemons follow.

Only the dispatcher watches the store, so that the number of calls does not grow with
daemons times changes. The other daemons follow the dispatcher's copy, or the store
while the dispatcher does not respond.
"""

import time
from collections.abc import Awaitable

from greengagetack.coordination.claim import DispatcherClaim
from greengagetack.coordination.client import PeerClient
from greengagetack.errors import PeerUnreachable
from greengagetack.objects.base import WatchAnswer
from greengagetack.objects.feed import FeedSource

__all__ = ["SourceSelector"]

# Limits how long a stalled watch goes unnoticed: a new configuration must be in force
# within 2 s.
DISPATCHER_WATCH_WAIT_S = 0.8
FOLLOWER_WATCH_WAIT_S = 1.0
# Limits how late a follower without a dispatcher sees new daemons.
STORE_WATCH_WAIT_S = 10.0
# Pause after a change while all daemons follow the store, as at their start: each
# change wakes all of them.
STORE_PAUSE_S = 0.25
LONG_STORE_PAUSE_S = 1.0
# After a failed call to the dispatcher, the store is followed for this long.
PEER_FAILURE_PAUSE_S = 1.0


class SourceSelector:
    """Selects the store or the dispatcher's copy as the source of each call."""

    def __init__(
        self, store: FeedSource, peers: PeerClient, claim: DispatcherClaim
    ) -> None:
        self._store = store
        self._claim = claim
        self._copy = _DispatcherCopy(peers, claim)

    def next_source(self) -> FeedSource:
        """Return the source for the next call."""
        since_failure_s = time.monotonic() - self._copy.last_failure_s
        follows_dispatcher = (
            self._claim.holder is not None and not self._claim.is_held_locally
        )
        return (
            self._copy
            if follows_dispatcher and since_failure_s > PEER_FAILURE_PAUSE_S
            else self._store
        )

    def wait_s(self) -> float:
        """Return the wait of the next watch."""
        return (
            DISPATCHER_WATCH_WAIT_S
            if self._claim.is_held_locally
            else FOLLOWER_WATCH_WAIT_S
        )

    def long_wait_s(self) -> float:
        """Return the wait of the next watch of a prefix that is not urgent."""
        return STORE_WATCH_WAIT_S if self._follows_store_directly() else self.wait_s()

    def pause_s(self) -> float:
        """Return the pause after a change."""
        return STORE_PAUSE_S if self._follows_store_directly() else 0.0

    def long_pause_s(self) -> float:
        """Return the pause after a change of a prefix that is not urgent."""
        return LONG_STORE_PAUSE_S if self._follows_store_directly() else 0.0

    def _follows_store_directly(self) -> bool:
        """Whether this daemon and all others follow the store themselves."""
        return self.next_source() is self._store and not self._claim.is_held_locally


class _DispatcherCopy:
    """Reads the copy that the dispatcher keeps."""

    def __init__(self, peers: PeerClient, claim: DispatcherClaim) -> None:
        self._peers = peers
        self._claim = claim
        self.last_failure_s = float("-inf")

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects of the copy under a prefix."""
        return await self._record_outcome(self._peers.list_objects(prefix))

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes of the copy under a prefix."""
        return await self._record_outcome(
            self._peers.watch_objects(prefix, after, timeout_s)
        )

    async def _record_outcome(self, call: Awaitable[WatchAnswer]) -> WatchAnswer:
        try:
            response = await call
        except PeerUnreachable:
            self.last_failure_s = time.monotonic()
            raise
        self._claim.record_contact()
        return response
