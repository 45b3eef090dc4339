"""greengagetack.rollouts.window: adaptive limit of a step's samples in flight."""

from greengagetack.keeper.messages import EndpointLoad

__all__ = ["DispatchWindow"]

MAX_WAITING_RATIO = 0.25
MIN_SIZE_RATIO = 0.25
MIN_SIZE = 4


class DispatchWindow:
    """Adapts the samples in flight to the queue lengths at the endpoints.

    A sample that waits at a keeper stays bound to its engine, even if another
    engine becomes idle first. The window therefore shrinks by one for each
    finished sample whose engine still has a queue of more than `MAX_WAITING_RATIO`
    of its slots, and grows by one for any other. Load from steps of other
    owners shows in the same queues, so owners need no messages between them.
    """

    def __init__(self) -> None:
        self._size: float | None = None

    def record_load(self, load: EndpointLoad) -> None:
        """Adjust the window to the load reported with a finished sample."""
        if self._size is None:
            return
        is_overloaded = load.waiting > MAX_WAITING_RATIO * max(1, load.slots)
        self._size += -1 if is_overloaded else 1

    def size(self, largest: int) -> int:
        """Return the maximum number of samples in flight, at most `largest`."""
        smallest = max(MIN_SIZE, int(largest * MIN_SIZE_RATIO))
        if self._size is None:
            self._size = largest
        self._size = min(float(largest), max(float(smallest), self._size))
        return max(MIN_SIZE, int(self._size))
