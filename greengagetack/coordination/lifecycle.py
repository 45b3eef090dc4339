"""greengagetack.coordination.lifecycle: runs the dispatcher while the claim is held."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from greengagetack.batches.dispatcher import Dispatcher
from greengagetack.coordination.claim import DispatcherClaim
from greengagetack.coordination.client import PeerClient
from greengagetack.coordination.duty_lease import DutyLease
from greengagetack.daemons.supervise import supervise
from greengagetack.errors import PeerUnreachable
from greengagetack.objects.feed import Feed
from greengagetack.weights.load_scheduler import LoadScheduler
from greengagetack.world import Address

__all__ = ["DispatcherLifecycle"]

# After releasing the claim, a daemon keeps its runs until the successor fetches their
# progress, for at most this time.
HAND_OVER_TIMEOUT_S = 1.0
# A former dispatcher that cannot be reached learns of its successor within this time if
# it reaches the store, and cannot commit results otherwise.
RIVAL_S = 5.0


class DispatcherLifecycle:
    """Runs the jobs and orders weight loads while this daemon holds the claim.

    Parameters
    ----------
    feeds : tuple of Feed
        Feeds that run only while the claim is held.
    """

    def __init__(
        self,
        claim: DispatcherClaim,
        dispatcher: Dispatcher,
        load_scheduler: LoadScheduler,
        lease: DutyLease,
        peers: PeerClient,
        feeds: tuple[Feed, ...],
    ) -> None:
        self._claim = claim
        self._dispatcher = dispatcher
        self._load_scheduler = load_scheduler
        self._lease = lease
        self._peers = peers
        self._feeds = feeds
        self._feed_tasks: list[asyncio.Task[None]] = []
        self._steps: set[asyncio.Task[None]] = set()

    def on_claim_change(self) -> None:
        """Start or stop the dispatcher according to the claim."""
        is_acting = self._claim.is_acting
        if is_acting and not self._feed_tasks:
            self._feed_tasks = [
                asyncio.create_task(supervise(feed.run, feed.prefix))
                for feed in self._feeds
            ]
            self._load_scheduler.is_active = True
            self._start_step(supervise(self._activate, "activate"))
        if is_acting:
            return
        if self._load_scheduler.is_active:
            self._load_scheduler.is_active = False
            self._start_step(supervise(self._release_lease, "release lease"))
        has_successor = not self._claim.is_leaving or self._claim.holder is not None
        if has_successor:
            self._stop_feeds()
        if not self._dispatcher.is_active:
            return
        if not self._claim.is_leaving and not self._claim.names_local_as_former:
            self._dispatcher.deactivate()
        elif has_successor:
            loop = asyncio.get_running_loop()
            loop.call_later(HAND_OVER_TIMEOUT_S, self._end_hand_over)

    def _end_hand_over(self) -> None:
        """Stop the runs whose progress the successor has not fetched."""
        if not self._claim.is_acting:
            self._dispatcher.deactivate()

    def close(self) -> None:
        """Cancel the feeds and all pending steps."""
        self._stop_feeds()
        for task in self._steps:
            task.cancel()

    def _stop_feeds(self) -> None:
        for task in self._feed_tasks:
            task.cancel()
        self._feed_tasks = []

    def _start_step(self, step: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(step)
        self._steps.add(task)
        task.add_done_callback(self._steps.discard)

    async def _release_lease(self) -> None:
        # Otherwise an order in flight could reach its replica after the release.
        await self._load_scheduler.wait_idle()
        await self._lease.release()

    async def _activate(self) -> None:
        await self._dispatcher.load_checkpoint()
        rival_s = 0.0
        holder = self._claim.holder
        if holder is not None and holder.former:
            former = Address.parse(holder.former)
            try:
                snapshots = await self._peers.fetch_progress(former)
                self._dispatcher.add_received_progress(snapshots)
            except PeerUnreachable as error:
                rival_s = RIVAL_S
                logger.warning(
                    "dispatch: no progress fetched from the former dispatcher: {}",
                    error.reason,
                )
        if self._claim.is_acting:
            self._dispatcher.activate(rival_s)
