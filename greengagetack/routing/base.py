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
    """Properties of a request that a routing policy may use."""

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
        Last known loads of the endpoints.
    probes : int
        Number of candidates that the policy compares for one request.
    rng : random.Random
        Source of random choices.

    Attributes
    ----------
    name : str
        Value of ``routing.policy`` in the settings.
    """

    name = ""

    def __init__(self, loads: LoadTable, probes: int, rng: random.Random) -> None:
        self.loads = loads
        self.probes = probes
        self.rng = rng

    def candidates(
        self, query: Query, endpoints: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints to compare; their loads are then probed."""
        return endpoints

    def choose(self, query: Query, candidates: tuple[Endpoint, ...]) -> Endpoint:
        """Return the endpoint for a request; `candidates` is never empty."""
        raise NotImplementedError

    def is_usable(self, load: EndpointLoad | None, query: Query) -> bool:
        """Return whether an endpoint's last known load allows routing to it."""
        if load is None:
            return True
        if load.ejected or load.leaving:
            return False
        return not load.weight_version or load.weight_version >= query.oldest_version


POLICIES: dict[str, type[RoutingPolicy]] = {}


def routing_policy(name: str) -> Callable[[PolicyT], PolicyT]:
    """Register a policy under its name in the settings."""

    def register(policy_type: PolicyT) -> PolicyT:
        if name in POLICIES:
            raise ValueError(f"duplicate routing policy {name!r}")
        policy_type.name = name
        POLICIES[name] = policy_type
        return policy_type

    return register


def make_policy(
    name: str, loads: LoadTable, probes: int, rng: random.Random
) -> RoutingPolicy:
    """Return the policy registered under `name`.

    Raises
    ------
    OptionError
        If no policy has this name.
    """
    policy_type = POLICIES.get(name)
    if policy_type is None:
        known = ", ".join(sorted(POLICIES))
        raise OptionError(f"unknown routing policy {name!r}; known: {known}")
    return policy_type(loads, probes, rng)
