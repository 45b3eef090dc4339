"""greengagetack.membership.promises: promises held by owners and given by backups."""

from dataclasses import dataclass

from greengagetack.leases.decisions import lease_expires_s, may_act
from greengagetack.membership.timings import CellTimings
from greengagetack.timer import Timer

__all__ = ["GivenPromises", "HeldPromises", "Promises"]


@dataclass(frozen=True, slots=True)
class _Promise:
    epoch: int
    at_s: float


class Promises:
    """The newest promise of each shard, and the epochs that are sealed.

    A sealed epoch never counts again in this process; one that restarts has
    another incarnation and is in no pair.
    """

    def __init__(self, timings: CellTimings, timer: Timer) -> None:
        self._timings = timings
        self._timer = timer
        self._promises: dict[int, _Promise] = {}
        self._sealed: dict[int, int] = {}

    def seal(self, shard: int, epoch: int) -> None:
        """Let this epoch and older ones never count again."""
        self._sealed[shard] = max(epoch, self._sealed.get(shard, 0))

    def sealed_epoch(self, shard: int) -> int:
        """Return the newest sealed epoch of a shard, 0 if none is."""
        return self._sealed.get(shard, 0)

    def sealed(self, shard: int, epoch: int) -> bool:
        """Whether the epoch is sealed."""
        return self.sealed_epoch(shard) >= epoch

    def until_s(self, shard: int) -> float:
        """Return when the last promise of any epoch ends; the past if none was."""
        promise = self._promises.get(shard)
        return self._end_s(promise) if promise else 0.0

    def _end_s(self, promise: _Promise) -> float:
        raise NotImplementedError


class HeldPromises(Promises):
    """Promises that backups gave to this VM as an owner, by shard.

    A promise ends a margin before the time that the backup counts, which began
    only after this VM had sent its request.
    """

    def grant(self, shard: int, epoch: int, sent_s: float) -> None:
        """Take a promise that was asked for at `sent_s`."""
        known = self._promises.get(shard)
        if known and (known.epoch, known.at_s) >= (epoch, sent_s):
            return
        self._promises[shard] = _Promise(epoch, sent_s)

    def trusted(self, shard: int, epoch: int) -> bool:
        """Whether this VM holds a promise for the epoch and has not sealed it."""
        promise = self._promises.get(shard)
        if promise is None or promise.epoch != epoch or self.sealed(shard, epoch):
            return False
        return may_act(self._timer.now_s(), self._end_s(promise))

    def _end_s(self, promise: _Promise) -> float:
        times = self._timings
        return lease_expires_s(promise.at_s, times.lease_s, times.margin_s)


class GivenPromises(Promises):
    """Promises that this VM gave to owners as their backup, by shard."""

    def give(self, shard: int, epoch: int) -> bool:
        """Give or extend a promise, and return False if the epoch is sealed."""
        if self.sealed(shard, epoch):
            return False
        self._promises[shard] = _Promise(epoch, self._timer.now_s())
        return True

    def silent_s(self, shard: int, epoch: int) -> float | None:
        """Return how long ago the owner asked last, None if never in this epoch."""
        promise = self._promises.get(shard)
        if promise is None or promise.epoch != epoch:
            return None
        return self._timer.now_s() - promise.at_s

    def _end_s(self, promise: _Promise) -> float:
        return lease_expires_s(promise.at_s, self._timings.observer_s)
