"""greengagetack.limits.permits: a team's concurrent requests over all keepers."""

from dataclasses import dataclass

from greengagetack.limits.messages import HeldPermits, PermitShare, SharePermits

__all__ = ["PermitBook"]

PERMIT_LIFE_S = 10.0
END_MARGIN_S = 1.0


@dataclass(slots=True)
class _Share:
    """Permits of one keeper, which end at `ends_s` at the owner."""

    permits: int
    in_use: int
    ends_s: float


class PermitBook:
    """Shares a bound among keepers; the sum of live shares never exceeds it.

    Shares live for a short time, so nothing is kept when the owner changes: a
    new one asks all keepers what they hold, and until all have told or the
    former shares have ended it only confirms.

    Parameters
    ----------
    now_s : float
        Since when this VM owns the bound.
    """

    def __init__(self, now_s: float) -> None:
        self._confirm_until_s = now_s + PERMIT_LIFE_S + END_MARGIN_S
        self._shares: dict[str, _Share] = {}

    @property
    def in_use(self) -> int:
        """Permits that stand for requests in flight, as last told."""
        return sum(share.in_use for share in self._shares.values())

    def confirm(self, held: HeldPermits, now_s: float) -> None:
        """Take what a keeper holds from the former owner."""
        ends_s = now_s + PERMIT_LIFE_S + END_MARGIN_S
        if held.holder not in self._shares and held.held:
            self._shares[held.holder] = _Share(held.held, held.in_use, ends_s)

    def confirming(self, now_s: float) -> bool:
        """Return whether shares of a former owner may still be unknown."""
        return now_s < self._confirm_until_s

    def all_told(self) -> None:
        """Note that every keeper has told what it holds."""
        self._confirm_until_s = 0.0

    def share(self, request: SharePermits, bound: int, now_s: float) -> PermitShare:
        """Return how many permits a keeper has from now on."""
        self._drop_ended(now_s)
        others = sum(
            share.permits
            for holder, share in self._shares.items()
            if holder != request.holder
        )
        free = max(0, bound - others)
        wanted = max(request.wanted, request.in_use)
        if now_s < self._confirm_until_s:
            wanted = min(wanted, request.held)
        permits = min(free, wanted)
        ends_s = now_s + PERMIT_LIFE_S + END_MARGIN_S
        self._shares[request.holder] = _Share(permits, request.in_use, ends_s)
        return PermitShare(permits, PERMIT_LIFE_S)

    def _drop_ended(self, now_s: float) -> None:
        for holder, share in list(self._shares.items()):
            if share.ends_s <= now_s:
                del self._shares[holder]
