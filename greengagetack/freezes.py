"""greengagetack.freezes: detects that this process did not run for a while."""

import time

__all__ = ["FREEZE_TICK_S", "FreezeWatch", "boottime_s"]

FREEZE_TICK_S = 0.25
# A longer gap between two ticks counts as a freeze. A busy event loop stays below it.
MIN_FREEZE_S = 0.7


def boottime_s() -> float:
    """Return a clock that also advances while the VM is frozen."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FreezeWatch:
    """Records when this process last continued after a freeze.

    An answer that was in flight during a freeze may have waited in a buffer for its
    whole length, so the time at which it is read says nothing about its age.
    """

    def __init__(self) -> None:
        self._last_tick_s: float | None = None
        self._thawed_s = float("-inf")

    async def tick(self) -> None:
        """Record that this process runs; to be called every `FREEZE_TICK_S`."""
        self._check(boottime_s())

    def was_frozen_since(self, since_s: float) -> bool:
        """Whether a freeze ended after a time of `boottime_s`."""
        self._check(boottime_s(), is_tick=False)
        return self._thawed_s > since_s

    def _check(self, now_s: float, is_tick: bool = True) -> None:
        if self._last_tick_s is not None and now_s - self._last_tick_s > MIN_FREEZE_S:
            self._thawed_s = now_s
        if is_tick:
            self._last_tick_s = now_s
