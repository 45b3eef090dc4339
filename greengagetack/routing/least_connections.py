"""greengagetack.routing.least_connections: the fewest reported requests."""

from greengagetack.routing.base import Query, RoutingPolicy, routing_policy
from greengagetack.world import Endpoint

__all__ = ["LeastConnections"]


@routing_policy("least_connections")
class LeastConnections(RoutingPolicy):
    """Chooses the endpoint with the fewest requests in its last load report.

    Requests routed to an endpoint since that report are not counted.
    """

    def choose(self, query: Query, candidates: tuple[Endpoint, ...]) -> Endpoint:
        """Return the endpoint with the fewest requests, ties at random."""
        shuffled = self.rng.sample(candidates, len(candidates))
        return min(shuffled, key=self._request_count)

    def _request_count(self, endpoint: Endpoint) -> int:
        load = self.loads.get(endpoint.endpoint_id)
        return load.running + load.waiting if load is not None else 0
