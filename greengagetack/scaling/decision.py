"""greengagetack.scaling.decision: which replicas to order, without side effects.

Missing capacity is ordered at once: replicas that are lost, leave or are slow, and what
a step needs to be in time. Capacity is given back slowly. The regular kind carries what
was there at the start; what exceeds that is ordered as the cheaper spot kind, which the
platform may reclaim, all of a zone at once.
"""

from collections import Counter
from dataclasses import dataclass

from greengagetack.coordination.duty_api import ReplicaOrder
from greengagetack.scaling.memory import ServiceMemory
from greengagetack.scaling.need import ServiceDemand, load_replicas, needed_replicas
from greengagetack.scaling.spec import ScalingSpec
from greengagetack.scaling.view import Pool, ServiceView, pool_of, total_in_zone

__all__ = ["Decision", "choose_orders"]

# Time for which a surplus must have lasted before a replica is given back.
SURPLUS_S = 10.0
# Minimum time between two orders for a pool.
ORDER_INTERVAL_S = 1.0
# After a reclaim, no spot replica is ordered in the zone for this long.
RECLAIM_PAUSE_S = 15.0
# Assumed mean time between two reclaims in a zone before any was seen: one in the
# course of a short deployment.
RECLAIM_PRIOR_S = 120.0


@dataclass(frozen=True, slots=True)
class Decision:
    """Orders with what they were derived from, for the log."""

    orders: tuple[ReplicaOrder, ...]
    wanted: int
    usable: int
    reason: str


def _prices(spec: ScalingSpec) -> dict[str, float]:
    return dict(spec.zone_prices)


def _expected_cost(
    spec: ScalingSpec,
    memory: ServiceMemory,
    pool: Pool,
    counts: Counter[Pool],
    now_s: float,
) -> float:
    """Return the price of one more replica of a pool, with the risk of a reclaim.

    A reclaim costs a boot time of all spot replicas of the zone at the price of regular
    ones, so each further replica in one zone is a greater risk.
    """
    price = _prices(spec)[pool.zone]
    if not pool.is_spot:
        return price
    watched_s = now_s - (now_s if memory.first_view_s is None else memory.first_view_s)
    reclaims = 1 + memory.pool(pool).reclaim_count
    reclaims_per_s = reclaims / (RECLAIM_PRIOR_S + watched_s)
    risk = reclaims_per_s * spec.boot_s * (1 + counts[pool])
    return price * (spec.spot_price_ratio + risk)


def _pools_of(spec: ScalingSpec, zone: str) -> list[Pool]:
    """Return the pools of a zone that may be ordered; spot only if it is cheaper."""
    regular, spot = Pool(zone, False), Pool(zone, True)
    return [regular, spot] if spec.spot_price_ratio < 1.0 else [regular]


def _is_open(memory: ServiceMemory, pool: Pool, now_s: float) -> bool:
    """Whether an order for a pool may be sent now and may be accepted."""
    known = memory.pool(pool)
    if now_s < known.paused_until_s or now_s - known.ordered_s < ORDER_INTERVAL_S:
        return False
    return not pool.is_spot or now_s - known.reclaimed_s >= RECLAIM_PAUSE_S


def _best_pool(
    spec: ScalingSpec,
    view: ServiceView,
    memory: ServiceMemory,
    counts: Counter[Pool],
    is_spot: bool,
    now_s: float,
    zones: list[str],
) -> Pool | None:
    """Return the pool for one more replica, None if no pool takes one now.

    A pool that has lost replicas comes last: whether the platform counts these into the
    target is not known.
    """
    best: Pool | None = None
    best_key = (True, True, float("inf"))
    for zone in zones:
        if total_in_zone(counts, zone) >= spec.max_replicas:
            continue
        for pool in _pools_of(spec, zone):
            if not _is_open(memory, pool, now_s):
                continue
            has_lost = view.living[pool] < memory.standing[pool]
            cost = _expected_cost(spec, memory, pool, counts, now_s)
            key = (pool.is_spot != is_spot, has_lost, cost)
            if best is None or key < best_key:
                best, best_key = pool, key
    return best


def choose_orders(
    spec: ScalingSpec,
    view: ServiceView,
    demand: ServiceDemand | None,
    memory: ServiceMemory,
    now_s: float,
) -> Decision:
    """Return the orders for one service.

    Parameters
    ----------
    demand : ServiceDemand or None
        None if it is not known; then only missing replicas are replaced.
    memory : ServiceMemory
        Has observed the same view.
    """
    usable = view.living_count - view.slow_count + memory.booting_count
    wanted = memory.standing.total()
    if demand is not None:
        need = needed_replicas(demand, usable, spec.boot_s, view.mean_slots)
        wanted = max(wanted, need)
    counts = memory.counts(view)
    added: Counter[Pool] = Counter()
    _add_minimum(spec, view, memory, counts, added, now_s)
    _add_missing(spec, view, memory, counts, added, wanted - usable, now_s)
    grown = [_grown(spec, view, memory, pool, added[pool]) for pool in sorted(added)]
    orders = [order for order in grown if order.replicas > view.living[pool_of(order)]]
    orders += _repeats(spec, memory, added, now_s)
    if orders:
        return Decision(tuple(orders), wanted, usable, "missing")
    if demand is not None and usable > 0 and wanted <= usable:
        surplus = _reduced(spec, view, memory, demand, now_s)
        return Decision(tuple(surplus), wanted, usable, "surplus")
    return Decision((), wanted, usable, "none open" if wanted > usable else "enough")


def _add_minimum(
    spec: ScalingSpec,
    view: ServiceView,
    memory: ServiceMemory,
    counts: Counter[Pool],
    added: Counter[Pool],
    now_s: float,
) -> None:
    """Bring each zone to its minimum."""
    for zone in _prices(spec):
        while total_in_zone(counts, zone) < min(spec.min_replicas, spec.max_replicas):
            pool = _best_pool(spec, view, memory, counts, False, now_s, [zone])
            if pool is None:
                break
            counts[pool] += 1
            added[pool] += 1


def _add_missing(
    spec: ScalingSpec,
    view: ServiceView,
    memory: ServiceMemory,
    counts: Counter[Pool],
    added: Counter[Pool],
    missing: int,
    now_s: float,
) -> None:
    """Add replicas one by one, each where it costs least."""
    standing_regular = _count_regular(memory.standing)
    while added.total() < missing:
        is_spot = _count_regular(counts) >= standing_regular
        zones = list(_prices(spec))
        pool = _best_pool(spec, view, memory, counts, is_spot, now_s, zones)
        if pool is None:
            return
        counts[pool] += 1
        added[pool] += 1


def _count_regular(counts: Counter[Pool]) -> int:
    return sum(count for pool, count in counts.items() if not pool.is_spot)


def _grown(
    spec: ScalingSpec, view: ServiceView, memory: ServiceMemory, pool: Pool, count: int
) -> ReplicaOrder:
    known = memory.pool(pool)
    present = view.living[pool] + known.booting
    if known.has_stalled and known.target is not None:
        # The platform counts replicas into the target that are not listed.
        present = max(present, known.target)
    other = Pool(pool.zone, not pool.is_spot)
    limit = spec.max_replicas - view.living[other] - memory.pool(other).booting
    return ReplicaOrder(
        spec.service, pool.zone, min(present + count, limit), pool.is_spot
    )


def _repeats(
    spec: ScalingSpec, memory: ServiceMemory, added: Counter[Pool], now_s: float
) -> list[ReplicaOrder]:
    """Return the orders whose answer was lost, unless a newer one replaces them."""
    return [
        ReplicaOrder(spec.service, pool.zone, known.target, pool.is_spot)
        for pool, known in sorted(memory.pools.items())
        if known.is_unconfirmed
        and known.target is not None
        and not added[pool]
        and _is_open(memory, pool, now_s)
    ]


def _reduced(
    spec: ScalingSpec,
    view: ServiceView,
    memory: ServiceMemory,
    demand: ServiceDemand,
    now_s: float,
) -> list[ReplicaOrder]:
    """Return orders for one replica less in each zone that can spare one.

    The most expensive ones go first. Only one goes below the number at the start.
    """
    since_s = memory.surplus_since_s
    if since_s is None or now_s - since_s < SURPLUS_S:
        return []
    prices = _prices(spec)
    # The regular kind alone carries the base load.
    base = max(1.0, load_replicas(demand, view.mean_slots))
    regular_count = _count_regular(view.living)
    orders: list[ReplicaOrder] = []
    pools = sorted(
        (pool for pool in view.living if view.living[pool] and pool.zone in prices),
        key=lambda pool: (-_price_of(spec, pool), pool),
    )
    done: set[str] = set()
    for pool in pools:
        removed = len(orders) + 1
        is_extra = view.living_count - removed >= memory.standing.total()
        if pool.zone in done or not (is_extra or removed == 1):
            continue
        if is_extra and view.living[pool] <= memory.standing[pool]:
            continue
        if total_in_zone(view.living, pool.zone) <= spec.min_replicas:
            continue
        if not _may_reduce(memory, pool, now_s):
            continue
        if not pool.is_spot and not is_extra and regular_count - 1 < base:
            continue
        if not memory.can_spare(view, demand, removed):
            break
        done.add(pool.zone)
        target = view.living[pool] - 1
        orders.append(ReplicaOrder(spec.service, pool.zone, target, pool.is_spot))
    return orders


def _may_reduce(memory: ServiceMemory, pool: Pool, now_s: float) -> bool:
    return now_s - memory.pool(pool).ordered_s >= ORDER_INTERVAL_S


def _price_of(spec: ScalingSpec, pool: Pool) -> float:
    ratio = spec.spot_price_ratio if pool.is_spot else 1.0
    return _prices(spec)[pool.zone] * ratio
