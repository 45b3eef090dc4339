"""greengagetack.timer: the clock, and periodic callbacks with jitter."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from loguru import logger

__all__ = ["Subscription", "Timer"]

JITTER_RATIO = 0.1

Callback = Callable[[], Awaitable[None]]


class Subscription:
    """Handle for a periodic callback."""

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    def cancel(self) -> None:
        """Stop the callbacks; one that is running is cancelled."""
        self._task.cancel()


class Timer:
    """Provides the time and calls subscribers periodically.

    Parameters
    ----------
    seed : int or None
        Seed of the jitter between callbacks, None for a random one.
    """

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)
        self._subscriptions: set[asyncio.Task[None]] = set()

    def now_s(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return seconds since the epoch; use only for display and records."""
        return time.time()

    def jittered_s(self, interval_s: float) -> float:
        """Return `interval_s` varied at random by up to ``JITTER_RATIO``."""
        return interval_s * self._random.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)

    async def sleep(self, duration_s: float) -> None:
        """Wait for `duration_s` seconds."""
        await asyncio.sleep(duration_s)

    def subscribe(
        self, interval_s: float, callback: Callback, name: str
    ) -> Subscription:
        """Call `callback` about every `interval_s` seconds until cancelled.

        An exception in a callback is logged, and the callback runs again after the
        next interval.
        """
        task = asyncio.create_task(self._run(interval_s, callback, name), name=name)
        self._subscriptions.add(task)
        task.add_done_callback(self._subscriptions.discard)
        return Subscription(task)

    async def _run(self, interval_s: float, callback: Callback, name: str) -> None:
        while True:
            await self.sleep(self.jittered_s(interval_s))
            try:
                await callback()
            except Exception as error:
                logger.opt(exception=error).error("timer: {} failed", name)

    def close(self) -> None:
        """Cancel all subscriptions."""
        for task in list(self._subscriptions):
            task.cancel()
