"""greengagetack.routing.affinity: routing by cached prefix, queue and speed."""

from greengagetack.membership.table import rendezvous_order
from greengagetack.routing.base import Query, RoutingPolicy, routing_policy
from greengagetack.world import Endpoint

__all__ = ["Affinity"]

RANDOM_CANDIDATE_COUNT = 1
# Prompt tokens that take as long to process as one token takes to generate.
PROMPT_TOKENS_PER_GENERATED_TOKEN = 64
DEFAULT_EXPECTED_TOKENS = 64


@routing_policy("affinity")
class Affinity(RoutingPolicy):
    """Chooses the candidate that is expected to finish a request first.

    Candidates come from rendezvous hashing on the prompt's prefix, so that
    requests with the same prefix reach the endpoints that have it cached,
    without any messages. One more candidate at random keeps a popular prefix
    from overloading its endpoints.
    """

    def candidates(
        self, query: Query, endpoints: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        """Return the first endpoints by affinity, and a random one of the rest."""
        endpoints_by_id = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        order = rendezvous_order(f"{query.prefix_hash:x}", tuple(endpoints_by_id))
        chosen = list(order[: self.probes])
        others = order[self.probes :]
        count = min(RANDOM_CANDIDATE_COUNT, len(others))
        chosen += self.rng.sample(others, count)
        return tuple(endpoints_by_id[endpoint_id] for endpoint_id in chosen)

    def choose(self, query: Query, candidates: tuple[Endpoint, ...]) -> Endpoint:
        """Return the candidate with the least expected time, the first on a tie."""
        return min(candidates, key=lambda item: self._expected_s(query, item))

    def _expected_s(self, query: Query, endpoint: Endpoint) -> float:
        load = self.loads.get(endpoint.endpoint_id)
        if load is None:
            return 0.0
        token_s = load.seconds_per_token
        tokens = query.expected_tokens or DEFAULT_EXPECTED_TOKENS
        routed_tokens = self.loads.routed_tokens(endpoint.endpoint_id)
        ratio = self.loads.cached_ratio(endpoint.endpoint_id, query.prefix_hash)
        queued_s = load.expected_wait_s
        if load.tokens_per_s:
            queued_s += routed_tokens / load.tokens_per_s
        prefill_tokens = (
            query.prompt_tokens * (1 - ratio) / PROMPT_TOKENS_PER_GENERATED_TOKEN
        )
        return queued_s + token_s * (tokens + prefill_tokens)
