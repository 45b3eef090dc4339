"""greengagetack.routing: choice of the endpoint and keeper for a request."""

from greengagetack.routing import affinity, least_connections, random_two, round_robin
from greengagetack.routing.base import POLICIES, RoutingPolicy, make_policy

__all__ = [
    "POLICIES",
    "RoutingPolicy",
    "affinity",
    "least_connections",
    "make_policy",
    "random_two",
    "round_robin",
]
