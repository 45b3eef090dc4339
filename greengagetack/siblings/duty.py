"""greengagetack.siblings.duty: what only the daemon that holds the claim does."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from greengagetack.batches.dispatcher import Dispatcher
from greengagetack.daemons.supervise import supervise
from greengagetack.errors import PeerUnreachable
from greengagetack.objects.feed import Feed
from greengagetack.siblings.claim import ClaimDuty
from greengagetack.siblings.client import PeerClient
from greengagetack.weights.load_scheduler import LoadScheduler
from greengagetack.weights.order_lease import OrderLease
from greengagetack.world import Address

__all__ = ["DispatchDuty"]

# A daemon that gave up the claim keeps its runs until its successor asks for them, at
# most this long.
HAND_OVER_S = 1.0


class DispatchDuty:
    """Runs the jobs and orders loads while this daemon holds the claim.

    Parameters
    ----------
    feeds : tuple of Feed
        What is followed only meanwhile.
    """

    def __init__(
        self,
        claim: ClaimDuty,
        dispatcher: Dispatcher,
        waves: LoadScheduler,
        lease: OrderLease,
        peers: PeerClient,
        feeds: tuple[Feed, ...],
    ) -> None:
        self._claim = claim
        self._dispatcher = dispatcher
        self._waves = waves
        self._lease = lease
        self._peers = peers
        self._feeds = feeds
        self._following: list[asyncio.Task[None]] = []
        self._steps: set[asyncio.Task[None]] = set()

    def on_claim(self) -> None:
        """Begin or cease as the claim says."""
        is_mine = self._claim.is_mine and not self._claim.is_leaving
        if is_mine and not self._following:
            self._following = [
                asyncio.create_task(supervise(feed.run, feed.prefix))
                for feed in self._feeds
            ]
            self._waves.is_active = True
            self._start(supervise(self._activate, "activate"))
        if is_mine:
            return
        if self._waves.is_active:
            self._waves.is_active = False
            self._start(supervise(self._release_lease, "release lease"))
        has_heir = not self._claim.is_leaving or self._claim.claimer is not None
        if has_heir:
            self._stop_following()
        if not self._dispatcher.is_active:
            return
        if not self._claim.is_leaving:
            self._dispatcher.deactivate()
        elif has_heir:
            loop = asyncio.get_running_loop()
            loop.call_later(HAND_OVER_S, self._dispatcher.deactivate)

    def close(self) -> None:
        """End what is under way."""
        self._stop_following()
        for task in self._steps:
            task.cancel()

    def _stop_following(self) -> None:
        for task in self._following:
            task.cancel()
        self._following = []

    def _start(self, step: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(step)
        self._steps.add(task)
        task.add_done_callback(self._steps.discard)

    async def _release_lease(self) -> None:
        # An order under way would reach its replica after the release.
        await self._waves.wait_idle()
        await self._lease.release()

    async def _activate(self) -> None:
        await self._dispatcher.load_checkpoint()
        claimer = self._claim.claimer
        if claimer is not None and claimer.former:
            former = Address.parse(claimer.former)
            try:
                snapshots = await self._peers.take_progress(former)
                self._dispatcher.adopt(snapshots)
            except PeerUnreachable as error:
                logger.warning("dispatch: no progress taken over: {}", error.reason)
        if self._claim.is_mine and not self._claim.is_leaving:
            self._dispatcher.activate()
