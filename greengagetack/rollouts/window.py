"""greengagetack.rollouts.window: how many samples a step keeps in flight."""

from greengagetack.keeper.messages import EndpointLoad

__all__ = ["DispatchWindow"]

WAITING_RATIO = 0.25
SMALLEST_RATIO = 0.25
MIN_SIZE = 4


class DispatchWindow:
    """Follows the queues that finished samples report.

    A sample that waits at a keeper is bound to its engine, though another may
    be idle before. So the window shrinks by one with each sample that leaves a
    queue of more than `WAITING_RATIO` of its engine's slots behind, and grows
    by one with any other. Steps of other owners are felt by their queues, and
    cost no message.
    """

    def __init__(self) -> None:
        self._size: float | None = None

    def note(self, load: EndpointLoad) -> None:
        """Take the load that came with a finished sample."""
        if self._size is None:
            return
        crowded = load.waiting > WAITING_RATIO * max(1, load.slots)
        self._size += -1 if crowded else 1

    def size(self, largest: int) -> int:
        """Return how many samples may be in flight, at most `largest`."""
        smallest = max(MIN_SIZE, int(largest * SMALLEST_RATIO))
        if self._size is None:
            self._size = largest
        self._size = min(float(largest), max(float(smallest), self._size))
        return max(MIN_SIZE, int(self._size))
