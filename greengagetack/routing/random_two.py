"""greengagetack.routing.random_two: the less loaded of two random endpoints."""

from greengagetack.routing.base import Query, RoutingPolicy, routing_policy
from greengagetack.world import Endpoint

__all__ = ["RandomTwo"]

CANDIDATE_COUNT = 2


@routing_policy("random_two")
class RandomTwo(RoutingPolicy):
    """Chooses the one of two random endpoints that has fewer requests."""

    def candidates(
        self, query: Query, endpoints: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        """Return two endpoints at random."""
        count = min(CANDIDATE_COUNT, len(endpoints))
        return tuple(self.rng.sample(endpoints, count))

    def choose(self, query: Query, candidates: tuple[Endpoint, ...]) -> Endpoint:
        """Return the candidate with fewer requests."""
        return min(candidates, key=self._request_count)

    def _request_count(self, endpoint: Endpoint) -> int:
        load = self.loads.get(endpoint.endpoint_id)
        return load.running + load.waiting if load is not None else 0
