"""greengagetack.gateway.shares: customers' fair shares of a congested service.

Weighted max-min fairness: nobody gets more than asked for, and whoever gets less than
that gets at least as much, for its weight, as anyone else. All figures are counts over
the same period, so that no rate has to be known.
"""

import statistics
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

__all__ = [
    "FairShares",
    "ServiceDemand",
    "fair_level",
    "fair_shares",
    "newcomer_share",
]

# Requests admitted above those that were served lately. It keeps the replicas' queues
# from running empty, and follows a service that becomes faster.
HEADROOM = 1.1
# A customer is not limited for a surplus smaller than this, which may be chance.
MAX_LISTED_SHARE = 0.9
# Surplus that is not taken for chance, in standard deviations of a count.
CHANCE_FACTOR = 2.0
# Keeps a customer of a late rank from being shut out by an outdated view.
MIN_ADMITTED_SHARE = 0.01
# A newcomer that is refused has to wait, so at most half of them are for those that
# come back.
MIN_NEWCOMER_SHARE = 0.5
MAX_LISTED = 24
# Part of its equal share that a rank gets, whatever the ranks before it ask for.
MIN_RANK_RATIO = 0.25


@dataclass(slots=True)
class ServiceDemand:
    """Requests for a service in a period.

    Attributes
    ----------
    asked : dict of str to float
        Requests of each named customer, served or not.
    rest_asked : float
        Requests of the customers that are not named, of which there are `rest_count`.
    served : float
        Requests of all customers that were served.
    newcomers, returned : float
        Requests within their customers' shares, by whether they had been refused
        before.
    """

    asked: dict[str, float] = field(default_factory=dict)
    rest_asked: float = 0.0
    rest_count: int = 0
    served: float = 0.0
    newcomers: float = 0.0
    returned: float = 0.0


@dataclass(frozen=True, slots=True)
class FairShares:
    """How many requests a customer may have served, and who asks for more.

    `level` is infinite if everyone gets what was asked for; with several ranks it is
    that of the last one. `admitted` holds the share of requests to admit by customer,
    of those with the largest surplus.
    """

    level: float
    admitted: dict[str, float]


def fair_level(demands: Iterable[tuple[float, float]], capacity: float) -> float:
    """Return the most that a customer of weight 1 may get, infinite without a limit.

    Parameters
    ----------
    demands : iterable of (float, float)
        Demand and weight of each customer.
    """
    ranked = sorted(demands, key=lambda entry: entry[0] / entry[1])
    left, weight_left = capacity, sum(weight for _, weight in ranked)
    for demand, weight in ranked:
        level = max(0.0, left) / weight_left
        if demand > level * weight:
            return level
        left -= demand
        weight_left -= weight
    return float("inf")


def fair_shares(
    demand: ServiceDemand,
    rank_of: Callable[[str], int],
    rest_rank: int,
    weights: Mapping[str, float] | None = None,
) -> FairShares:
    """Divide what a service served lately among the customers that asked for it.

    A rank gets what the ranks before it leave, at least a quarter of its equal share.
    """
    weights = weights or {}
    ranks: dict[int, dict[str, float]] = {rest_rank: {}}
    for name, asked in demand.asked.items():
        ranks.setdefault(rank_of(name), {})[name] = asked
    capacity = left = HEADROOM * demand.served
    customer_count = len(demand.asked) + demand.rest_count
    usual = MIN_ADMITTED_SHARE
    level = float("inf")
    admitted: dict[str, float] = {}
    for rank in sorted(ranks):
        asked_of = ranks[rank]
        demands = [(asked, weights.get(name, 1.0)) for name, asked in asked_of.items()]
        if rank == rest_rank and demand.rest_asked:
            demands.append((demand.rest_asked, float(max(1, demand.rest_count))))
        equal = capacity * sum(w for _, w in demands) / max(1, customer_count)
        level = fair_level(demands, max(left, MIN_RANK_RATIO * equal))
        left -= sum(min(asked, level * weight) for asked, weight in demands)
        fair = {
            name: min(1.0, level * weights.get(name, 1.0) / max(1.0, asked))
            for name, asked in asked_of.items()
        }
        if fair:
            usual = max(usual, statistics.median_high(fair.values()))
        admitted |= _listed(asked_of, fair, usual)
    # Those with the largest surplus matter most; the list is bounded.
    surplus = sorted(
        admitted, key=lambda name: (admitted[name] - 1) * demand.asked[name]
    )
    return FairShares(level, {name: admitted[name] for name in surplus[:MAX_LISTED]})


def _listed(
    asked_of: dict[str, float], fair: dict[str, float], usual: float
) -> dict[str, float]:
    """Return the share to admit of the customers of a rank that are to be limited.

    What all others ask for may still be more than there is, and full replicas refuse
    the same share of all requests that reach them. So customers are limited in
    comparison with `usual`, the share of the customer in the middle of its rank or of
    an earlier one, who is not limited.
    """
    listed: dict[str, float] = {}
    for name, share in fair.items():
        asked, relative = asked_of[name], share / usual
        surplus = asked * (1 - relative)
        if relative < MAX_LISTED_SHARE and surplus > CHANCE_FACTOR * asked**0.5:
            listed[name] = max(MIN_ADMITTED_SHARE, relative)
    return listed


def newcomer_share(demand: ServiceDemand) -> float:
    """Return the share of newcomers to admit, so that those that return get places."""
    if demand.newcomers <= 0:
        return 1.0
    left = HEADROOM * demand.served - demand.returned
    return min(1.0, max(MIN_NEWCOMER_SHARE, left / demand.newcomers))
