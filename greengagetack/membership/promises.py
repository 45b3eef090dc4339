"""greengagetack.membership.promises: promises held by owners and given by backups."""

from dataclasses import dataclass

from greengagetack.leases.rules import holder_trusts, observer_may_claim
from greengagetack.membership.timings import CellTimings
from greengagetack.timer import Timer

__all__ = ["GivenPromises", "HeldPromises"]


@dataclass(frozen=True, slots=True)
class _Promise:
    epoch: int
    at_s: float


class HeldPromises:
    """Promises that backups gave to this VM as an owner, by shard.

    A promise is trusted for `CellTimings.holder_s` after the request for it was
    sent, and never in an epoch that this VM has sealed.
    """

    def __init__(self, timings: CellTimings, timer: Timer) -> None:
        self._timings = timings
        self._timer = timer
        self._promises: dict[int, _Promise] = {}
        self._sealed: dict[int, int] = {}

    def grant(self, shard: int, epoch: int, sent_s: float) -> None:
        """Take a promise that was asked for at `sent_s`."""
        known = self._promises.get(shard)
        if known and (known.epoch, known.at_s) >= (epoch, sent_s):
            return
        self._promises[shard] = _Promise(epoch, sent_s)

    def seal(self, shard: int, epoch: int) -> None:
        """Never act in this epoch or an older one again."""
        self._sealed[shard] = max(epoch, self._sealed.get(shard, 0))

    def sealed(self, shard: int, epoch: int) -> bool:
        """Whether the epoch is sealed."""
        return self._sealed.get(shard, 0) >= epoch

    def trusted(self, shard: int, epoch: int) -> bool:
        """Whether this VM holds a promise for the epoch and has not sealed it."""
        promise = self._promises.get(shard)
        if promise is None or promise.epoch != epoch or self.sealed(shard, epoch):
            return False
        return self._lasts(promise)

    def outstanding(self, shard: int) -> bool:
        """Whether a promise that was held for any epoch has not run out yet."""
        promise = self._promises.get(shard)
        return promise is not None and self._lasts(promise)

    def _lasts(self, promise: _Promise) -> bool:
        return holder_trusts(
            self._timer.now_s(),
            promise.at_s,
            self._timings.lease_s,
            self._timings.margin_s,
        )


class GivenPromises:
    """Promises that this VM gave to owners as their backup, by shard.

    Once an epoch is sealed here, no promise is given for it any more.
    """

    def __init__(self, timings: CellTimings, timer: Timer) -> None:
        self._timings = timings
        self._timer = timer
        self._promises: dict[int, _Promise] = {}
        self._sealed: dict[int, int] = {}

    def give(self, shard: int, epoch: int) -> bool:
        """Give or extend a promise, and return False if the epoch is sealed."""
        if self.sealed(shard, epoch):
            return False
        self._promises[shard] = _Promise(epoch, self._timer.now_s())
        return True

    def seal(self, shard: int, epoch: int) -> None:
        """Give no promise for this epoch or an older one again."""
        self._sealed[shard] = max(epoch, self._sealed.get(shard, 0))

    def sealed(self, shard: int, epoch: int) -> bool:
        """Whether the epoch is sealed."""
        return self._sealed.get(shard, 0) >= epoch

    def outstanding(self, shard: int) -> bool:
        """Whether the holder of a promise may still trust it, of any epoch."""
        promise = self._promises.get(shard)
        return promise is not None and not observer_may_claim(
            self._timer.now_s(),
            promise.at_s,
            self._timings.lease_s,
            self._timings.margin_s,
        )

    def silent_s(self, shard: int, epoch: int) -> float | None:
        """Return how long ago the owner asked last, None if never in this epoch."""
        promise = self._promises.get(shard)
        if promise is None or promise.epoch != epoch:
            return None
        return self._timer.now_s() - promise.at_s
