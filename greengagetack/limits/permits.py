"""greengagetack.limits.permits: a bound on a team's concurrent requests."""

from dataclasses import dataclass

from greengagetack.limits.messages import HeldPermits, PermitShare, RequestPermits

__all__ = ["PermitAllocator"]

PERMIT_LIFE_S = 10.0
END_MARGIN_S = 1.0


@dataclass(slots=True)
class _Share:
    """Permits of one keeper, which expire at `ends_s` on the owner's clock."""

    permits: int
    in_use: int
    ends_s: float


class PermitAllocator:
    """Divides a bound among keepers; the sum of live shares never exceeds it.

    Shares expire after a short time, so no record survives a change of owner: a
    new owner queries all keepers for the permits that they hold. Until all have
    responded or the former shares have expired, it grants no keeper more permits
    than it holds.

    Parameters
    ----------
    now_s : float
        Time from which this VM owns the bound.
    """

    def __init__(self, now_s: float) -> None:
        self._confirm_until_s = now_s + PERMIT_LIFE_S + END_MARGIN_S
        self._shares: dict[str, _Share] = {}

    @property
    def in_use(self) -> int:
        """Number of requests in flight, as last reported by the keepers."""
        return sum(share.in_use for share in self._shares.values())

    def add_held(self, held: HeldPermits, now_s: float) -> None:
        """Add the permits that a keeper holds from a former owner."""
        ends_s = now_s + PERMIT_LIFE_S + END_MARGIN_S
        if held.holder not in self._shares and held.held:
            self._shares[held.holder] = _Share(held.held, held.in_use, ends_s)

    def is_confirming(self, now_s: float) -> bool:
        """Return whether shares of a former owner may still be unknown."""
        return now_s < self._confirm_until_s

    def finish_confirmation(self) -> None:
        """End the confirmation after every keeper has responded."""
        self._confirm_until_s = 0.0

    def allocate(
        self, request: RequestPermits, bound: int, now_s: float
    ) -> PermitShare:
        """Allocate permits to a keeper; they replace those that it held."""
        self._drop_expired(now_s)
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

    def _drop_expired(self, now_s: float) -> None:
        for holder, share in list(self._shares.items()):
            if share.ends_s <= now_s:
                del self._shares[holder]
