"""greengagetack.weights.plan: selects the next orders of a rollout."""

from dataclasses import dataclass

from greengagetack.engines.state import OrderKind

__all__ = ["NextOrder", "Replica", "max_switching", "next_orders"]

INITIAL_RETRY_S = 0.5
MAX_RETRY_S = 10.0


@dataclass(slots=True)
class Replica:
    """The lead's view of a replica.

    `is_serving` is whether it currently accepts requests; `current_order` is the order
    in progress, which was sent at `started_s`.
    """

    endpoint_id: str
    active_version: int = 0
    prefetched: tuple[int, ...] = ()
    is_serving: bool = True
    current_order: OrderKind | None = None
    started_s: float = 0.0
    retry_at_s: float = 0.0
    failures: int = 0
    last_error: str = ""

    def record_success(self, active_version: int, prefetched: tuple[int, ...]) -> None:
        """Store the state that was read back after an order."""
        self.current_order = None
        self.active_version = active_version
        self.prefetched = prefetched
        self.failures = 0
        self.last_error = ""

    def record_failure(self, reason: str, now_s: float) -> None:
        """Record a failed order and schedule the retry with exponential backoff."""
        self.current_order = None
        self.last_error = reason
        self.retry_at_s = now_s + min(MAX_RETRY_S, INITIAL_RETRY_S * 2.0**self.failures)
        self.failures += 1


@dataclass(frozen=True, slots=True)
class NextOrder:
    """An order to be sent now."""

    endpoint_id: str
    kind: OrderKind


def max_switching(replicas: list[Replica], wave_ratio: float) -> int:
    """Return how many serving replicas may switch at once, at least one."""
    return max(1, int(len(replicas) * wave_ratio))


def next_orders(
    target_version: int,
    replicas: list[Replica],
    wave_ratio: float,
    prefetch_concurrency: int,
    now_s: float,
) -> list[NextOrder]:
    """Return the orders that may be sent now.

    Replicas prefetch up to the concurrency limit of the weight store, and switch once
    the weights are prefetched. The number of replicas that switch at once is limited
    by the wave, which also counts replicas that do not serve for other reasons; those
    switch first, since that costs no capacity. One replica may always switch, so that
    broken replicas do not block the others.
    """
    orders: list[NextOrder] = []
    waiting = [
        replica
        for replica in replicas
        if replica.current_order is None
        and replica.active_version < target_version
        and replica.retry_at_s <= now_s
    ]
    prefetching = sum(
        replica.current_order is OrderKind.PREFETCH for replica in replicas
    )
    unavailable = sum(
        replica.current_order is OrderKind.ACTIVATE or not replica.is_serving
        for replica in replicas
    )
    switching = sum(replica.current_order is OrderKind.ACTIVATE for replica in replicas)
    limit = max_switching(replicas, wave_ratio)
    for replica in sorted(waiting, key=lambda item: item.is_serving):
        if target_version not in replica.prefetched:
            if prefetching < prefetch_concurrency:
                prefetching += 1
                orders.append(NextOrder(replica.endpoint_id, OrderKind.PREFETCH))
            continue
        if replica.is_serving:
            if unavailable >= limit and switching:
                continue
            unavailable += 1
        switching += 1
        orders.append(NextOrder(replica.endpoint_id, OrderKind.ACTIVATE))
    return orders
