"""greengagetack.membership.promises: promises between a shard's owner and backup."""

from dataclasses import dataclass

from greengagetack.leases.decisions import lease_expires_s, may_act
from greengagetack.membership.timings import CellTimings
from greengagetack.timer import Timer

__all__ = ["GivenPromises", "HeldPromises", "Promises"]


@dataclass(frozen=True, slots=True)
class _Promise:
    epoch: int
    start_s: float


class Promises:
    """The newest promise of each shard, and the epochs that are sealed.

    Promises of a sealed epoch are never valid again in this process. A restarted
    process has another incarnation, so that no pair names it.
    """

    def __init__(self, timings: CellTimings, timer: Timer) -> None:
        self._timings = timings
        self._timer = timer
        self._promises: dict[int, _Promise] = {}
        self._sealed: dict[int, int] = {}

    def seal(self, shard: int, epoch: int) -> None:
        """Invalidate the promises of this epoch and of older ones for good."""
        self._sealed[shard] = max(epoch, self._sealed.get(shard, 0))

    def sealed_epoch(self, shard: int) -> int:
        """Return the newest sealed epoch of a shard, 0 if none is."""
        return self._sealed.get(shard, 0)

    def is_sealed(self, shard: int, epoch: int) -> bool:
        """Whether the epoch is sealed."""
        return self.sealed_epoch(shard) >= epoch

    def ends_s(self, shard: int) -> float:
        """Return when the last promise of any epoch ends, 0 if there was none."""
        promise = self._promises.get(shard)
        return self._end_s(promise) if promise else 0.0

    def _end_s(self, promise: _Promise) -> float:
        raise NotImplementedError


class HeldPromises(Promises):
    """Promises that backups gave to this VM as an owner, by shard.

    The owner counts a promise from when it sent the request and subtracts a margin,
    so it ends here before it ends at the backup, which counts from the answer.
    """

    def record(self, shard: int, epoch: int, sent_s: float) -> None:
        """Record a promise whose request was sent at `sent_s`."""
        known = self._promises.get(shard)
        if known and (known.epoch, known.start_s) >= (epoch, sent_s):
            return
        self._promises[shard] = _Promise(epoch, sent_s)

    def trusted(self, shard: int, epoch: int) -> bool:
        """Whether this VM holds a promise for the epoch and has not sealed it."""
        promise = self._promises.get(shard)
        if promise is None or promise.epoch != epoch or self.is_sealed(shard, epoch):
            return False
        return may_act(self._timer.now_s(), self._end_s(promise))

    def _end_s(self, promise: _Promise) -> float:
        times = self._timings
        return lease_expires_s(promise.start_s, times.lease_s, times.margin_s)


class GivenPromises(Promises):
    """Promises that this VM gave to owners as their backup, by shard."""

    def grant(self, shard: int, epoch: int) -> bool:
        """Give or extend a promise; return False if the epoch is sealed."""
        if self.is_sealed(shard, epoch):
            return False
        self._promises[shard] = _Promise(epoch, self._timer.now_s())
        return True

    def silent_s(self, shard: int, epoch: int) -> float | None:
        """Return the time since the owner's last request in this epoch, or None."""
        promise = self._promises.get(shard)
        if promise is None or promise.epoch != epoch:
            return None
        return self._timer.now_s() - promise.start_s

    def _end_s(self, promise: _Promise) -> float:
        return lease_expires_s(promise.start_s, self._timings.observer_s)
