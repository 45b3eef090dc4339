"""greengagetack.signals: signals that arrive before a process can handle them."""

import signal
from asyncio import AbstractEventLoop
from collections.abc import Callable, Mapping
from types import FrameType

__all__ = ["STOP_SIGNALS", "EarlySignals"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RECORDED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


class EarlySignals:
    """Records the signals of a starting process until handlers take them over."""

    def __init__(self) -> None:
        self._recorded: set[int] = set()

    def install(self) -> None:
        """Record signals from now on, instead of being ended by them."""
        for number in RECORDED_SIGNALS:
            signal.signal(number, self._record)

    def _record(self, number: int, frame: FrameType | None) -> None:
        self._recorded.add(number)

    @property
    def is_stop_requested(self) -> bool:
        """Whether a signal has asked this process to stop."""
        return not self._recorded.isdisjoint(STOP_SIGNALS)

    def hand_over(
        self,
        loop: AbstractEventLoop,
        handlers: Mapping[signal.Signals, Callable[[], None]],
    ) -> None:
        """Let handlers take over, and call those of the recorded signals."""
        for number, handler in handlers.items():
            loop.add_signal_handler(number, handler)
            if number in self._recorded:
                handler()
