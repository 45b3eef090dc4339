"""greengagetack.scaling.spec: limits and prices of a service's replicas."""

from dataclasses import dataclass

__all__ = ["ScalingSpec"]


@dataclass(frozen=True, slots=True)
class ScalingSpec:
    """How many replicas a service may have in each availability zone, and their prices.

    Attributes
    ----------
    min_replicas, max_replicas : int
        Limits in each zone, on the regular and the spot kind together.
    boot_s : float
        Time from an order until a new replica serves, in seconds.
    spot_price_ratio : float
        Price of a spot replica as a share of the zone's price.
    zone_prices : tuple of (str, float)
        Price of a regular replica for one second, by zone. Replicas are ordered only in
        these zones.
    """

    service: str
    min_replicas: int
    max_replicas: int
    boot_s: float
    spot_price_ratio: float
    zone_prices: tuple[tuple[str, float], ...]
