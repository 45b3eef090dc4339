"""greengagetack.scaling.listing: makes views of services from the list of replicas."""

from dataclasses import dataclass

from greengagetack.replicas.replica import Replica, ReplicaState
from greengagetack.scaling.spec import ScalingSpec
from greengagetack.scaling.view import Pool, ReplicaSeen, ServiceView

__all__ = ["ReplicaList", "ViewBuilder"]


@dataclass(frozen=True, slots=True)
class ReplicaList:
    """The listed replicas with the revision and the age of the list."""

    replicas: tuple[ReplicaState, ...]
    revision: int
    age_s: float


class ViewBuilder:
    """Makes views; most replicas do not change between two of them."""

    def __init__(self) -> None:
        self._seen: dict[str, ReplicaSeen] = {}
        self._entries: dict[str, tuple[Replica, bool, bool]] = {}

    @property
    def replica_count(self) -> int:
        """Number of replicas in recent views."""
        return len(self._seen)

    def group(
        self, listed: ReplicaList, specs: tuple[ScalingSpec, ...]
    ) -> dict[str, list[ReplicaState]]:
        """Return the replicas of each scaled service, in one pass."""
        self._forget_removed(listed)
        found: dict[str, list[ReplicaState]] = {spec.service: [] for spec in specs}
        for state in listed.replicas:
            if state.replica.service in found and not state.is_gone:
                found[state.replica.service].append(state)
        return found

    def build(
        self, states: list[ReplicaState], slow_ids: frozenset[str]
    ) -> ServiceView:
        """Return the view of a service's replicas."""
        return ServiceView(self._see(state, slow_ids) for state in states)

    def _see(self, state: ReplicaState, slow_ids: frozenset[str]) -> ReplicaSeen:
        replica = state.replica
        replica_id = replica.replica_id
        known = self._entries.get(replica_id)
        is_serving, is_slow = state.is_serving, replica_id in slow_ids
        if (
            known is not None
            and known[0] is replica
            and known[1] == is_serving
            and known[2] == is_slow
        ):
            return self._seen[replica_id]
        entry = self._entries[replica_id] = (replica, is_serving, is_slow)
        seen = self._seen[replica_id] = _seen(entry)
        return seen

    def _forget_removed(self, listed: ReplicaList) -> None:
        if len(self._seen) <= 2 * len(listed.replicas):
            return
        self._seen.clear()
        self._entries.clear()


def _seen(entry: tuple[Replica, bool, bool]) -> ReplicaSeen:
    replica, is_serving, is_slow = entry
    return ReplicaSeen(
        replica.incarnation,
        Pool(replica.availability_zone, replica.is_spot),
        replica.slots,
        is_leaving=not is_serving,
        is_reclaimed=replica.is_spot and replica.leaves_in_ms is not None,
        is_slow=is_slow,
    )
