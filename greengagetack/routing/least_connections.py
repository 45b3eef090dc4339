"""greengagetack.routing.least_connections: the fewest requests as last reported."""

from greengagetack.routing.base import Query, RoutingPolicy, routing_policy
from greengagetack.world import Endpoint

__all__ = ["LeastConnections"]


@routing_policy("least_connections")
class LeastConnections(RoutingPolicy):
    """Takes the endpoint with the fewest requests in the lagging reports.

    Nothing that was placed since a report is counted.
    """

    def choose(self, query: Query, candidates: tuple[Endpoint, ...]) -> Endpoint:
        """Return the endpoint with the fewest requests, ties at random."""
        shuffled = self.chance.sample(candidates, len(candidates))
        return min(shuffled, key=self._requests)

    def _requests(self, endpoint: Endpoint) -> int:
        load = self.loads.get(endpoint.endpoint_id)
        return load.running + load.waiting if load is not None else 0
