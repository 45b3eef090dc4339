"""greengagetack.scaling.memory: what the orders of a service so far have led to."""

from collections import Counter
from dataclasses import dataclass, field

from greengagetack.coordination.duty_api import DutyEnd, ReplicaOrder
from greengagetack.scaling.need import ServiceDemand, load_replicas
from greengagetack.scaling.spec import ScalingSpec
from greengagetack.scaling.view import Pool, ServiceView, pool_of

__all__ = ["PoolMemory", "ServiceMemory"]

# Replicas that are listed this long after the first view count as there at the start:
# their entries appear one after the other.
START_S = 5.0
# A new replica is listed within this time after its boot.
LISTING_S = 2.0
FIRST_REFUSAL_PAUSE_S = 2.0
MAX_REFUSAL_PAUSE_S = 8.0
# After an order that failed otherwise.
FAILURE_PAUSE_S = 1.0
# Fewer replicas are enough if they hold this multiple of the load.
SPARE_FACTOR = 2.0
EXTRA_SPARE_FACTOR = 1 / 0.7


@dataclass(slots=True)
class PoolMemory:
    """The last order for a pool, and the platform's last refusals.

    Attributes
    ----------
    target : int or None
        Target of the last order that took effect or may have, None without one.
    ordered_s : float
        Time of the last order, whatever its result.
    booting : int
        Ordered replicas that are not listed yet.
    is_unconfirmed : bool
        Whether the answer to the last order was lost.
    has_stalled : bool
        Whether replicas that the platform promised did not come in time.
    """

    target: int | None = None
    ordered_s: float = float("-inf")
    booting: int = 0
    is_unconfirmed: bool = False
    has_stalled: bool = False
    refusal_count: int = 0
    paused_until_s: float = float("-inf")
    reclaimed_s: float = float("-inf")
    reclaim_count: int = 0
    is_being_reclaimed: bool = False
    known: frozenset[tuple[str, int]] = field(default_factory=frozenset)


class ServiceMemory:
    """State that the decisions about one service need.

    Attributes
    ----------
    standing : Counter of Pool
        Replicas to keep: those at the start, less those that were scaled down.
    surplus_since_s : float or None
        Since when fewer replicas would have been enough, None if they would not.
    """

    def __init__(self) -> None:
        self.pools: dict[Pool, PoolMemory] = {}
        self.standing: Counter[Pool] = Counter()
        self.first_view_s: float | None = None
        self.surplus_since_s: float | None = None
        self._has_ordered = False
        self._was_used = False

    def pool(self, pool: Pool) -> PoolMemory:
        """Return the memory of a pool."""
        return self.pools.setdefault(pool, PoolMemory())

    @property
    def booting_count(self) -> int:
        """Ordered replicas of all pools that are not listed yet."""
        return sum(pool.booting for pool in self.pools.values())

    def counts(self, view: ServiceView) -> Counter[Pool]:
        """Return the living and booting replicas by pool."""
        found = Counter(view.living)
        for pool, memory in self.pools.items():
            found[pool] += memory.booting
        return found

    def is_starting(self, now_s: float) -> bool:
        """Whether listed replicas still count as there at the start."""
        if self._has_ordered:
            return False
        return self.first_view_s is None or now_s - self.first_view_s <= START_S

    def begin_tenure(self) -> None:
        """Forget the orders of an earlier tenure; another holder may have ordered."""
        for memory in self.pools.values():
            memory.booting = 0
            memory.target = None
            memory.is_unconfirmed = memory.has_stalled = False
        self.surplus_since_s = None

    def adopt_standing(self, standing: Counter[Pool]) -> None:
        """Go on with the numbers of replicas that an earlier holder kept."""
        self.standing = Counter(standing)
        self._has_ordered = True

    def observe(
        self,
        spec: ScalingSpec,
        view: ServiceView,
        demand: ServiceDemand | None,
        now_s: float,
    ) -> None:
        """Update the memory from a view; the demand is None while it is not known."""
        if self.first_view_s is None:
            self.first_view_s = now_s
        if self.is_starting(now_s):
            self.standing |= view.living
        for pool in view.reclaimed:
            self.pool(pool)
        for pool, memory in self.pools.items():
            self._observe_pool(spec, view, pool, memory, now_s)
        self._observe_surplus(view, demand, now_s)

    def _observe_pool(
        self,
        spec: ScalingSpec,
        view: ServiceView,
        pool: Pool,
        memory: PoolMemory,
        now_s: float,
    ) -> None:
        is_reclaimed = pool in view.reclaimed
        if is_reclaimed:
            memory.reclaimed_s = now_s
        if is_reclaimed and not memory.is_being_reclaimed:
            # All of the zone are taken back, those that still boot included.
            memory.reclaim_count += 1
            memory.booting = 0
            memory.is_unconfirmed = False
        memory.is_being_reclaimed = is_reclaimed
        arrived = (
            view.incarnations(pool) - memory.known if memory.booting else frozenset()
        )
        if arrived:
            memory.booting = max(0, memory.booting - len(arrived))
            memory.known |= arrived
            memory.has_stalled = False
        if memory.is_unconfirmed and memory.target == view.living[pool]:
            memory.is_unconfirmed = False
        if now_s - memory.ordered_s > spec.boot_s + LISTING_S and memory.booting:
            memory.booting = 0
            memory.has_stalled = True

    def _observe_surplus(
        self, view: ServiceView, demand: ServiceDemand | None, now_s: float
    ) -> None:
        if (
            demand is None
            or not self._has_seen_work(demand)
            or self.booting_count
            or not self.can_spare(view, demand, 1)
        ):
            self.surplus_since_s = None
        elif self.surplus_since_s is None:
            self.surplus_since_s = now_s

    def _has_seen_work(self, demand: ServiceDemand) -> bool:
        """Whether there has been work, before which the load is not known."""
        has_work = bool(demand.steps or demand.arrivals_per_s or demand.busy_slots)
        self._was_used = self._was_used or has_work
        return self._was_used

    def can_spare(self, view: ServiceView, demand: ServiceDemand, count: int) -> bool:
        """Whether the remaining replicas would hold the load with room to spare.

        More room is kept below the number of replicas that were there at the start.
        """
        remaining = view.living_count - view.slow_count - count
        load = load_replicas(demand, view.mean_slots)
        if remaining >= self.standing.total():
            return remaining >= load * EXTRA_SPARE_FACTOR
        return remaining > 0 and remaining >= load * SPARE_FACTOR

    def record_result(
        self, order: ReplicaOrder, end: DutyEnd, view: ServiceView, now_s: float
    ) -> None:
        """Record an order and how it ended."""
        pool = pool_of(order)
        memory = self.pool(pool)
        memory.ordered_s = now_s
        if end in (DutyEnd.CONFLICT, DutyEnd.REFUSED):
            pause_s = FIRST_REFUSAL_PAUSE_S * 2**memory.refusal_count
            memory.paused_until_s = now_s + min(MAX_REFUSAL_PAUSE_S, pause_s)
            memory.refusal_count += 1
            memory.is_unconfirmed = False
            return
        if end not in (DutyEnd.ACCEPTED, DutyEnd.UNKNOWN):
            memory.paused_until_s = now_s + FAILURE_PAUSE_S
            return
        memory.refusal_count = 0 if end is DutyEnd.ACCEPTED else memory.refusal_count
        memory.is_unconfirmed = end is DutyEnd.UNKNOWN
        self._has_ordered = True
        living = view.living[pool]
        is_repeat = order.replicas == memory.target and memory.booting > 0
        if not is_repeat:
            # A target above the promised replicas that never came adds only the rest.
            base = max(living, memory.target or 0) if memory.has_stalled else living
            memory.booting = max(0, order.replicas - base)
            memory.known = view.incarnations(pool)
        memory.target = order.replicas
        if order.replicas >= living and not memory.booting:
            # The platform took the order and has nothing to add.
            memory.paused_until_s = now_s + MAX_REFUSAL_PAUSE_S
        if order.replicas < living:
            self._record_reduction(pool, living - order.replicas, view)

    def _record_reduction(self, pool: Pool, count: int, view: ServiceView) -> None:
        self.surplus_since_s = None
        extra = max(0, view.living_count - self.standing.total())
        below = max(0, count - extra)
        for kept in (pool, *sorted(self.standing)):
            taken = min(below, self.standing[kept])
            self.standing[kept] -= taken
            below -= taken
