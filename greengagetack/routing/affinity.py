"""greengagetack.routing.affinity: prefix affinity weighed against queue and pace."""

from greengagetack.membership.table import rendezvous_order
from greengagetack.routing.base import Query, RoutingPolicy, routing_policy
from greengagetack.world import Endpoint

__all__ = ["Affinity"]

OTHER_CANDIDATES = 1
# Tokens of a prompt that take as long as one generated token.
PROMPT_TOKENS_PER_TOKEN = 64
DEFAULT_TOKENS = 64


@routing_policy("affinity")
class Affinity(RoutingPolicy):
    """Takes the candidate that is expected to finish a request first.

    Candidates come from rendezvous hashing on the prompt's prefix, so that
    requests with the same prefix meet where it is cached without any messages;
    one more at random keeps a popular prefix from overloading its candidates.
    """

    def candidates(
        self, query: Query, endpoints: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        """Return the first endpoints by affinity, and some others."""
        by_id = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        order = rendezvous_order(f"{query.prefix_hash:x}", tuple(by_id))
        chosen = list(order[: self.probes])
        others = order[self.probes :]
        count = min(OTHER_CANDIDATES, len(others))
        chosen += self.chance.sample(others, count)
        return tuple(by_id[endpoint_id] for endpoint_id in chosen)

    def choose(self, query: Query, candidates: tuple[Endpoint, ...]) -> Endpoint:
        """Return the candidate with the least expected time, first ones on ties."""
        return min(candidates, key=lambda item: self._expected_s(query, item))

    def _expected_s(self, query: Query, endpoint: Endpoint) -> float:
        load = self.loads.get(endpoint.endpoint_id)
        if load is None:
            return 0.0
        pace_s = load.seconds_per_token
        tokens = query.expected_tokens or DEFAULT_TOKENS
        placed = self.loads.placed_tokens(endpoint.endpoint_id)
        ratio = self.loads.cached_ratio(endpoint.endpoint_id, query.prefix_hash)
        queued_s = load.expected_wait_s
        if load.tokens_per_s:
            queued_s += placed / load.tokens_per_s
        prefill = query.prompt_tokens * (1 - ratio) / PROMPT_TOKENS_PER_TOKEN
        return queued_s + pace_s * (tokens + prefill)
