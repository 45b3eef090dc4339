"""greengagetack.gateway.routes: routes, services and limits in force."""

import enum
from dataclasses import dataclass

import xxhash

__all__ = [
    "Configuration",
    "EngineSpec",
    "Limits",
    "RequestKind",
    "Route",
    "RouteTable",
]


class RequestKind(enum.StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    BATCH = "batch"
    ROLLOUT = "rollout"

    @property
    def is_batch(self) -> bool:
        """Whether requests submit batch jobs."""
        return self in (RequestKind.BATCH, RequestKind.ROLLOUT)


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path prefix go, and how long they may take.

    `services` are the targets with their weights.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    services: tuple[tuple[str, float], ...]
    timeout_ms: float
    objective_ms: float
    priority: int
    max_attempts: int
    is_resumable: bool = False
    single_version: bool = False
    give_up_after_s: float = 0.0
    due_after_ms: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable

    def service_for(self, request_id: str) -> str:
        """Return the target of a request, by weight and the same for each repeat."""
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
    """Bounds on what clients send."""

    max_body_bytes: int = 33_554_432
    max_header_bytes: int = 16_384
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Memory and event size of a service's engines."""

    service: str
    memory_tokens: int
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Configuration:
    """A whole configuration; `version` is the operator's number for it."""

    version: int
    routes: tuple[Route, ...]
    limits: Limits = Limits()
    engines: tuple[EngineSpec, ...] = ()

    def rollout_services(self) -> list[str]:
        """Return the services that trainers' jobs may go to."""
        return sorted(
            {
                service
                for route in self.routes
                if route.kind is RequestKind.ROLLOUT
                for service, _ in route.services
            }
        )

    def has_single_version(self) -> bool:
        """Whether some trainer's results must come from one version only."""
        return any(
            route.kind is RequestKind.ROLLOUT and route.single_version
            for route in self.routes
        )


class RouteTable:
    """Finds the route of a request in one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
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
