"""greengagetack.objects.outages: tells outages of the store from the loss of daemons.

A daemon copies the store's objects from other daemons, so that a copy that stays away
says nothing about the store. The store has been away only if calls to it failed, and
if no daemon on the way is known to have got an answer meanwhile.
"""

from loguru import logger

from greengagetack.errors import PlatformUnavailable
from greengagetack.freezes import FreezeWatch, boottime_s
from greengagetack.objects.base import StoreRateLimited

__all__ = ["StoreOutages"]

# Entries of the store expire after three missed heartbeats, so that none expires in a
# gap between two answers that is shorter than this many.
MIN_MISSED_HEARTBEATS = 1.5


class StoreOutages:
    """When the store was last away, as far as this daemon knows.

    All times are those of `boottime_s`.

    Parameters
    ----------
    heartbeat_s : float
        Time between two heartbeats of those whose entries expire.
    freezes : FreezeWatch or None
        Tells whether a call failed because this process did not run, None if that is
        not watched.
    """

    def __init__(self, heartbeat_s: float, freezes: FreezeWatch | None = None) -> None:
        self._min_outage_s = MIN_MISSED_HEARTBEATS * heartbeat_s
        self._freezes = freezes
        # Latest time at which the store is known to have answered a daemon.
        self._answered_s = float("-inf")
        self._failed_s = float("-inf")
        self._returned_s = float("-inf")

    @property
    def since_return_s(self) -> float:
        """Seconds since the store's last return, infinite if it was never away."""
        return boottime_s() - self._returned_s

    def record_failure(self, error: Exception, sent_s: float) -> None:
        """Record the failure of a feed's call that was sent at a time.

        Failures of other daemons, refusals by rate and what a freeze of this process
        has broken off are no signs of an outage.
        """
        if not isinstance(error, PlatformUnavailable):
            return
        if isinstance(error, StoreRateLimited):
            return
        if self._freezes is not None and self._freezes.was_frozen_since(sent_s):
            return
        self._failed_s = boottime_s()

    def record_answer(self, answered_s: float, latest_s: float | None = None) -> None:
        """Record that the store answered this or another daemon at a time.

        A call that is repeated may be answered later than `answered_s`, but not later
        than `latest_s`: an outage ended by then.
        """
        if answered_s <= self._answered_s:
            return
        if self._failed_s > self._answered_s:
            returned_s = answered_s if latest_s is None else latest_s
            self._record_return(answered_s, returned_s)
        self._answered_s = answered_s

    def learn_return(self, since_return_s: float) -> None:
        """Learn from another daemon how long ago the store returned."""
        returned_s = boottime_s() - since_return_s
        if returned_s > self._answered_s:
            self._record_return(returned_s, returned_s)
            self._answered_s = returned_s

    def _record_return(self, answered_s: float, returned_s: float) -> None:
        away_s = answered_s - self._answered_s
        if away_s < self._min_outage_s:
            return
        self._returned_s = max(self._returned_s, returned_s)
        logger.info(
            "store: returned after an outage",
            away_s=round(away_s, 1),
            since_return_ms=int(self.since_return_s * 1000),
        )
