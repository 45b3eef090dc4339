"""greengagetack.routing.round_robin: endpoints in turn."""

import random

from greengagetack.routing.base import Query, RoutingPolicy, routing_policy
from greengagetack.routing.loads import LoadTable
from greengagetack.world import Endpoint

__all__ = ["RoundRobin"]


@routing_policy("round_robin")
class RoundRobin(RoutingPolicy):
    """Cycles through the endpoints of a model, regardless of their load."""

    def __init__(self, loads: LoadTable, probes: int, rng: random.Random) -> None:
        super().__init__(loads, probes, rng)
        self._turns: dict[str, int] = {}

    def choose(self, query: Query, candidates: tuple[Endpoint, ...]) -> Endpoint:
        """Return the next endpoint in turn."""
        turn = self._turns.get(query.model)
        if turn is None:
            turn = self.rng.randrange(len(candidates))
        self._turns[query.model] = turn + 1
        return candidates[turn % len(candidates)]
