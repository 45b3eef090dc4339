"""greengagetack.timer: the clock and periodic wake-ups that parts subscribe to."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from loguru import logger

__all__ = ["Subscription", "Timer"]

JITTER_RATIO = 0.1

Callback = Callable[[], Awaitable[None]]


class Subscription:
    """A periodic wake-up; `cancel` ends it."""

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    def cancel(self) -> None:
        """Stop the wake-ups; a running callback is cancelled."""
        self._task.cancel()


class Timer:
    """Gives monotonic time and calls subscribers at intervals.

    Parameters
    ----------
    seed : int or None
        Seed of the jitter that spreads wake-ups, None for a random one.
    """

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)
        self._subscriptions: set[asyncio.Task[None]] = set()

    def now_s(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return seconds since the epoch, for people and records only."""
        return time.time()

    def jittered_s(self, interval_s: float) -> float:
        """Return `interval_s` spread by the jitter ratio to both sides."""
        return interval_s * self._random.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)

    async def sleep(self, duration_s: float) -> None:
        """Wait for `duration_s` seconds."""
        await asyncio.sleep(duration_s)

    def subscribe(
        self, interval_s: float, callback: Callback, name: str
    ) -> Subscription:
        """Call `callback` about every `interval_s` seconds until cancelled.

        A callback that raises is logged and called again at its next turn.
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
