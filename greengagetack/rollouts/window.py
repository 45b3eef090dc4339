"""greengagetack.rollouts.window: adaptive limit of a step's samples in flight."""

from greengagetack.keeper.messages import EndpointLoad

__all__ = ["DispatchWindow"]

MAX_WAITING_RATIO = 0.25
MIN_WINDOW_RATIO = 0.25
MIN_WINDOW_SAMPLES = 4


class DispatchWindow:
    """Adapts the samples in flight to the queue lengths at the endpoints.

    A sample that waits at a keeper stays bound to its engine, even if another
    engine becomes idle first. The window therefore shrinks by one for each
    finished sample whose engine still has a queue of more than `MAX_WAITING_RATIO`
    of its slots, and grows by one for any other. These queues also contain the
    samples of other owners, so owners need not exchange messages.
    """

    def __init__(self) -> None:
        self._size: float | None = None

    def record_load(self, load: EndpointLoad) -> None:
        """Adjust the window to the load reported with a finished sample."""
        if self._size is None:
            return
        is_overloaded = load.waiting > MAX_WAITING_RATIO * max(1, load.slots)
        self._size += -1 if is_overloaded else 1

    def size(self, max_samples: int) -> int:
        """Return the maximum number of samples in flight, at most `max_samples`."""
        min_samples = max(MIN_WINDOW_SAMPLES, int(max_samples * MIN_WINDOW_RATIO))
        if self._size is None:
            self._size = max_samples
        self._size = min(float(max_samples), max(float(min_samples), self._size))
        return max(MIN_WINDOW_SAMPLES, int(self._size))
