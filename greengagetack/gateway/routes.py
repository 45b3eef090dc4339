"""greengagetack.gateway.routes: the routes, services and limits of a configuration."""

import enum
from dataclasses import dataclass

import xxhash

from greengagetack.gateway.customers import Customer, CustomerDirectory
from greengagetack.scaling.spec import ScalingSpec

__all__ = [
    "Configuration",
    "EngineSpec",
    "Limits",
    "RequestKind",
    "Route",
    "RouteTable",
]


class RequestKind(enum.StrEnum):
    """Kind of a route's requests, which decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    BATCH = "batch"
    ROLLOUT = "rollout"

    @property
    def is_batch(self) -> bool:
        """Whether requests of this kind submit batch jobs."""
        return self in (RequestKind.BATCH, RequestKind.ROLLOUT)


@dataclass(frozen=True, slots=True)
class Route:
    """Target services and time limits of requests with a host and path prefix.

    `services` holds the name and the traffic weight of each target service. A public
    route needs no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    services: tuple[tuple[str, float], ...]
    timeout_ms: float
    latency_objective_ms: float
    priority: int
    max_attempts: int
    is_resumable: bool = False
    single_version: bool = False
    give_up_after_s: float = 0.0
    due_after_ms: float = 0.0
    is_public: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable

    def service_for(self, request_id: str) -> str:
        """Return the target service: a weighted choice, equal for each retry."""
        if len(self.services) == 1:
            return self.services[0][0]
        total = sum(weight for _, weight in self.services)
        point = xxhash.xxh32_intdigest(request_id.encode()) / 2**32 * total
        for service, weight in self.services:
            point -= weight
            if point < 0:
                return service
        return self.services[-1][0]


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on clients' requests and connections."""

    max_body_bytes: int = 33_554_432
    max_header_bytes: int = 16_384
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """KV cache capacity and tokens per stream event of a service's engines."""

    service: str
    memory_tokens: int
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration; `version` is the number set by the operator."""

    version: int
    routes: tuple[Route, ...]
    limits: Limits = Limits()
    engines: tuple[EngineSpec, ...] = ()
    customers: tuple[Customer, ...] = ()
    scaling: tuple[ScalingSpec, ...] = ()

    def rollout_services(self) -> list[str]:
        """Return the services to which rollout routes send trainers' jobs."""
        return sorted(
            {
                service
                for route in self.routes
                if route.kind is RequestKind.ROLLOUT
                for service, _ in route.services
            }
        )

    def job_services(self) -> list[str]:
        """Return the services that run the items of jobs."""
        return sorted(
            {
                service
                for route in self.routes
                if route.kind.is_batch
                for service, _ in route.services
            }
        )

    def requires_single_version(self) -> bool:
        """Whether any rollout route requires results of a single weight version."""
        return any(
            route.kind is RequestKind.ROLLOUT and route.single_version
            for route in self.routes
        )


class RouteTable:
    """Finds the route of a request in one configuration.

    The customers' directory of `previous` is kept if its customers are the same.
    """

    def __init__(
        self, configuration: Configuration, previous: "RouteTable | None" = None
    ) -> None:
        self.configuration = configuration
        self.customers: CustomerDirectory
        if (
            previous is not None
            and previous.configuration.customers == configuration.customers
        ):
            self.customers = previous.customers
        else:
            self.customers = CustomerDirectory(configuration.customers)
        self._hosts: dict[str, list[Route]] = {}
        by_length = sorted(
            configuration.routes, key=lambda r: len(r.path_prefix), reverse=True
        )
        for route in by_length:
            self._hosts.setdefault(route.host.lower(), []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix, None if none matches."""
        name = host.lower()
        routes = self._hosts.get(name)
        if routes is None:
            routes = self._hosts.get(name.partition(":")[0], [])
        for route in routes:
            if path.startswith(route.path_prefix):
                return route
        return None

    def has_public_jobs(self, host: str) -> bool:
        """Whether jobs can be submitted to a host without a key."""
        name = host.lower()
        routes = self._hosts.get(name) or self._hosts.get(name.partition(":")[0], [])
        return any(route.is_public and route.kind.is_batch for route in routes)
