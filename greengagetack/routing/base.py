"""greengagetack.routing.base: base class and registry of routing policies."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from greengagetack.errors import OptionError
from greengagetack.keeper.messages import EndpointLoad
from greengagetack.routing.loads import LoadTable
from greengagetack.world import Endpoint

__all__ = ["POLICIES", "Query", "RoutingPolicy", "make_policy", "routing_policy"]

PolicyT = TypeVar("PolicyT", bound="type[RoutingPolicy]")


@dataclass(frozen=True, slots=True)
class Query:
    """What a policy may know about the request that it places."""

    model: str
    prefix_hash: int
    expected_tokens: int
    work: str
    oldest_version: int
    prompt_tokens: int = 0


class RoutingPolicy:
    """Chooses one of the endpoints that may serve a request.

    Parameters
    ----------
    loads : LoadTable
        What is known about the load of endpoints.
    probes : int
        How many endpoints the policy looks at for one request.
    chance : random.Random
        Source of random choices.

    Attributes
    ----------
    name : str
        Name in the settings' ``routing.policy``.
    """

    name = ""

    def __init__(self, loads: LoadTable, probes: int, chance: random.Random) -> None:
        self.loads = loads
        self.probes = probes
        self.chance = chance

    def candidates(
        self, query: Query, endpoints: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints to look at, whose loads are then kept fresh."""
        return endpoints

    def choose(self, query: Query, candidates: tuple[Endpoint, ...]) -> Endpoint:
        """Return the endpoint for a request; `candidates` is never empty."""
        raise NotImplementedError

    def usable(self, load: EndpointLoad | None, query: Query) -> bool:
        """Return whether nothing known speaks against an endpoint."""
        if load is None:
            return True
        if load.ejected or load.leaving:
            return False
        return not load.weight_version or load.weight_version >= query.oldest_version


POLICIES: dict[str, type[RoutingPolicy]] = {}


def routing_policy(name: str) -> Callable[[PolicyT], PolicyT]:
    """Register a policy under the name that settings use."""

    def register(policy_type: PolicyT) -> PolicyT:
        if name in POLICIES:
            raise ValueError(f"duplicate routing policy {name!r}")
        policy_type.name = name
        POLICIES[name] = policy_type
        return policy_type

    return register


def make_policy(
    name: str, loads: LoadTable, probes: int, chance: random.Random
) -> RoutingPolicy:
    """Return the policy registered under `name`.

    Raises
    ------
    OptionError
        If there is none.
    """
    policy_type = POLICIES.get(name)
    if policy_type is None:
        known = ", ".join(sorted(POLICIES))
        raise OptionError(f"unknown routing policy {name!r}; known: {known}")
    return policy_type(loads, probes, chance)
