"""greengagetack.scaling.view: the replicas of a service as a decision sees them."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from greengagetack.coordination.duty_api import ReplicaOrder

__all__ = ["Pool", "ReplicaSeen", "ServiceView", "pool_of", "total_in_zone"]


class Pool(NamedTuple):
    """The replicas of one kind in one availability zone; each is counted separately."""

    zone: str
    is_spot: bool


@dataclass(frozen=True, slots=True)
class ReplicaSeen:
    """A listed replica.

    Attributes
    ----------
    is_leaving : bool
        Whether it is draining or has announced that it leaves.
    is_reclaimed : bool
        Whether the platform takes it back; `is_leaving` is true then, too.
    is_slow : bool
        Whether its pace is far above the usual one.
    """

    incarnation: tuple[str, int]
    pool: Pool
    slots: int
    is_leaving: bool = False
    is_reclaimed: bool = False
    is_slow: bool = False


class ServiceView:
    """The listed replicas of a service, counted by pool.

    Attributes
    ----------
    living : Counter of Pool
        Replicas that do not leave, slow ones included.
    """

    def __init__(self, replicas: Iterable[ReplicaSeen]) -> None:
        self.replicas = tuple(replicas)
        staying = [replica for replica in self.replicas if not replica.is_leaving]
        self.living: Counter[Pool] = Counter(replica.pool for replica in staying)
        self.slow_count = sum(replica.is_slow for replica in staying)
        self.reclaimed = {seen.pool for seen in self.replicas if seen.is_reclaimed}
        slots = [replica.slots for replica in staying if replica.slots]
        self.mean_slots = sum(slots) / len(slots) if slots else 0.0

    @property
    def living_count(self) -> int:
        """Number of replicas that do not leave."""
        return self.living.total()

    def incarnations(self, pool: Pool) -> frozenset[tuple[str, int]]:
        """Return the listed replicas of a pool, leaving ones included."""
        return frozenset(r.incarnation for r in self.replicas if r.pool == pool)


def total_in_zone(counts: Counter[Pool], zone: str) -> int:
    """Return the count of a zone, both kinds together."""
    return counts[Pool(zone, False)] + counts[Pool(zone, True)]


def pool_of(order: ReplicaOrder) -> Pool:
    """Return the pool that an order is for."""
    return Pool(order.availability_zone, order.is_spot)
