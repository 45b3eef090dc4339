"""greengagetack.leases.rules: when a lease or promise may be trusted or taken."""

__all__ = ["holder_trusts", "observer_may_claim"]


def holder_trusts(now_s: float, sent_s: float, lease_s: float, margin_s: float) -> bool:
    """Whether a holder may act on a lease whose renewal it sent at `sent_s`."""
    return now_s < sent_s + lease_s - margin_s


def observer_may_claim(
    now_s: float, seen_s: float, lease_s: float, margin_s: float
) -> bool:
    """Whether a lease last seen renewed at `seen_s` has surely ended."""
    return now_s >= seen_s + lease_s + margin_s
