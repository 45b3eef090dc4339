"""features.support.virtual_time: an event loop whose clock jumps to the next timer."""

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

__all__ = ["run_in_virtual_time"]

T = TypeVar("T")

START_S = 1_000.0


class _Clock:
    def __init__(self) -> None:
        self.now_s = START_S

    def monotonic(self) -> float:
        return self.now_s

    def gettime(self, clock: int) -> float:
        return self.now_s


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the clock instead of waiting."""

    def __init__(self, clock: _Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("all tasks wait for something that no timer causes")
        self._clock.now_s += max(0.0, timeout)
        return super().select(0)


def run_in_virtual_time(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine; sleeps and time-outs pass without waiting."""
    clock = _Clock()
    with (
        mock.patch.object(time, "monotonic", clock.monotonic),
        mock.patch.object(time, "clock_gettime", clock.gettime),
    ):
        loop = asyncio.SelectorEventLoop(_JumpingSelector(clock))
        try:
            return loop.run_until_complete(work)
        finally:
            loop.run_until_complete(_cancel_tasks())
            loop.close()


async def _cancel_tasks() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
