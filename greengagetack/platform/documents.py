"""greengagetack.platform.documents: objects that others write, in our own types."""

from collections.abc import Iterable

import msgspec
from loguru import logger

from greengagetack.gateway.routes import (
    Configuration,
    EngineSpec,
    Limits,
    RequestKind,
    Route,
)
from greengagetack.objects.base import PlatformObject
from greengagetack.replicas.replica import Replica
from greengagetack.world import Address

__all__ = [
    "configuration_of",
    "named_versions_of",
    "replica_of",
]

KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
    "batch": RequestKind.BATCH,
    "rollout": RequestKind.ROLLOUT,
}
READY = "ready"
DRAINING = "draining"


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    # Only one of `service` and `traffic_split` is there.
    service: str = ""
    traffic_split: tuple[_Split, ...] = ()
    target_latency_ms: float = 0.0
    priority: int = 5
    max_attempts: int = 1
    resumable: bool = False
    single_version: bool = False
    # An item may be given up this long after its job's submission.
    item_ttl_s: float = 0.0
    # All results are due this long after their job's submission.
    run_target_ms: float = 0.0


class _Engine(msgspec.Struct, frozen=True):
    slots: int = 0
    # Tokens that fit into a replica's memory.
    kv_capacity: int = 0
    # Tokens per event of a stream.
    stride: int = 1


class _Service(msgspec.Struct, frozen=True):
    name: str
    health_path: str = ""
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Configuration(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()


class _Model(msgspec.Struct, frozen=True):
    name: str
    version: int


class _Server(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 0
    models: tuple[_Model, ...] = ()
    # Unix time of the replica's start, in milliseconds.
    born: int = 0
    cold_left_ms: float = 0.0


class _NamedVersion(msgspec.Struct, frozen=True):
    model: str
    version: int


def configuration_of(stored: PlatformObject) -> Configuration | None:
    """Return the configuration that an object holds, None if it holds none."""
    try:
        found = msgspec.convert(stored.value, _Configuration)
    except msgspec.ValidationError as error:
        logger.error("config: {} cannot be read: {}", stored.path, error)
        return None
    return Configuration(
        version=found.version,
        routes=tuple(_route(route) for route in found.routes if route.kind in KINDS),
        limits=Limits(
            found.limits.max_body_bytes,
            found.limits.max_header_bytes,
            found.limits.header_timeout_ms,
            found.limits.idle_timeout_ms,
        ),
        engines=tuple(
            EngineSpec(service.name, service.engine.kv_capacity, service.engine.stride)
            for service in found.services
            if service.engine is not None
        ),
    )


def _route(route: _Route) -> Route:
    targets = tuple((split.service, split.weight) for split in route.traffic_split)
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=KINDS[route.kind],
        services=targets or ((route.service, 1.0),),
        timeout_ms=route.timeout_ms,
        latency_objective_ms=route.target_latency_ms,
        priority=route.priority,
        max_attempts=route.max_attempts,
        is_resumable=route.resumable,
        single_version=route.single_version,
        give_up_after_s=route.item_ttl_s,
        due_after_ms=route.run_target_ms,
    )


def replica_of(stored: PlatformObject) -> Replica | None:
    """Return the replica of an entry; None for an entry that names none to use."""
    try:
        found = msgspec.convert(stored.value, _Server)
        address = Address.parse(found.address)
    except (msgspec.ValidationError, ValueError) as error:
        logger.warning("replicas: passing over entry {}: {}", stored.path, error)
        return None
    if found.state not in (READY, DRAINING) or not address.host:
        logger.warning("replicas: passing over {}: state {}", stored.path, found.state)
        return None
    return Replica(
        replica_id=stored.path.partition("/")[2],
        service=found.service,
        address=address,
        availability_zone=found.zone,
        slots=found.slots,
        is_draining=found.state == DRAINING,
        model_versions=tuple((m.name, m.version) for m in found.models),
        started_ms=found.born,
        cold_left_ms=found.cold_left_ms,
    )


def named_versions_of(objects: Iterable[PlatformObject]) -> dict[str, int]:
    """Return the version that a trainer has named of each model."""
    named: dict[str, int] = {}
    for stored in objects:
        try:
            found = msgspec.convert(stored.value, _NamedVersion)
        except msgspec.ValidationError as error:
            logger.warning("weights: passing over {}: {}", stored.path, error)
            continue
        named[found.model] = found.version
    return named
