"""greengagetack.routing.random_two: the better of two endpoints taken at random."""

from greengagetack.routing.base import Query, RoutingPolicy, routing_policy
from greengagetack.world import Endpoint

__all__ = ["RandomTwo"]

CHOICES = 2


@routing_policy("random_two")
class RandomTwo(RoutingPolicy):
    """Looks at two random endpoints and takes the one with fewer requests."""

    def candidates(
        self, query: Query, endpoints: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        """Return two endpoints at random."""
        count = min(CHOICES, len(endpoints))
        return tuple(self.chance.sample(endpoints, count))

    def choose(self, query: Query, candidates: tuple[Endpoint, ...]) -> Endpoint:
        """Return the candidate with fewer requests."""
        return min(candidates, key=self._requests)

    def _requests(self, endpoint: Endpoint) -> int:
        load = self.loads.get(endpoint.endpoint_id)
        return load.running + load.waiting if load is not None else 0
