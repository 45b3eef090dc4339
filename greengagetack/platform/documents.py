"""greengagetack.platform.documents: decodes the objects that other systems write."""

from collections.abc import Iterable
from ipaddress import IPv4Address
from typing import Annotated

import msgspec
from loguru import logger

from greengagetack.gateway.customers import Customer
from greengagetack.gateway.routes import (
    Configuration,
    EngineSpec,
    Limits,
    RequestKind,
    Route,
)
from greengagetack.objects.base import PlatformObject
from greengagetack.replicas.replica import Replica
from greengagetack.scaling.spec import ScalingSpec
from greengagetack.world import Address

__all__ = [
    "decode_configuration",
    "decode_named_versions",
    "decode_replica",
]

REQUEST_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
    "batch": RequestKind.BATCH,
    "rollout": RequestKind.ROLLOUT,
}
LOWEST_PRIORITY = 9
# Larger values are no properties of a replica.
MAX_SLOTS = 1_000_000
MAX_TIME_LEFT_MS = 86_400_000
MAX_COUNT = 2**53
READY = "ready"
DRAINING = "draining"


_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_TimeLeftMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIME_LEFT_MS)]


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    # Only one of `service` and `traffic_split` is set.
    service: str = ""
    traffic_split: tuple[_Split, ...] = ()
    target_latency_ms: float = 0.0
    priority: int = 5
    max_attempts: int = 1
    resumable: bool = False
    single_version: bool = False
    # An unfinished item may be reported as lost this long after its job was submitted.
    item_ttl_s: float = 0.0
    # All results are due this long after their job was submitted.
    run_target_ms: float = 0.0
    public: bool = False


class _Engine(msgspec.Struct, frozen=True):
    slots: int = 0
    # Number of tokens that fit into a replica's memory.
    kv_capacity: int = 0
    # Tokens in each event of a stream.
    stride: int = 1


class _Scaling(msgspec.Struct, frozen=True):
    # Limits on the replicas in each zone, both kinds together.
    min: int = 0
    max: int = 0
    # Time from an order until the new replica serves.
    boot_s: float = 4.0
    # Price of a spot replica as a share of the zone's price.
    spot_price: float = 1.0
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct, frozen=True):
    name: str
    health_path: str = ""
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None


class _Configuration(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


class _Model(msgspec.Struct, frozen=True):
    name: str
    version: _Count


class _Server(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    state: str
    # Version of the replica's software.
    version: str = ""
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)] = 0
    models: tuple[_Model, ...] = ()
    # Unix time of the replica's start, in milliseconds.
    born: _Count = 0
    cold_left_ms: _TimeLeftMs = 0.0
    # A replica of the spot kind may be reclaimed; `leaves_ms` is then what is left.
    spot: bool = False
    leaves_ms: _TimeLeftMs | None = None


class _NamedVersion(msgspec.Struct, frozen=True):
    model: str
    version: _Count


def decode_configuration(stored: PlatformObject) -> Configuration | None:
    """Return the configuration in an object, None if it is invalid."""
    try:
        decoded = msgspec.convert(stored.value, _Configuration)
    except msgspec.ValidationError as error:
        logger.error("config: {} cannot be decoded: {}", stored.path, error)
        return None
    return Configuration(
        version=decoded.version,
        routes=tuple(
            _convert_route(route)
            for route in decoded.routes
            if route.kind in REQUEST_KINDS
        ),
        limits=Limits(
            decoded.limits.max_body_bytes,
            decoded.limits.max_header_bytes,
            decoded.limits.header_timeout_ms,
            decoded.limits.idle_timeout_ms,
        ),
        engines=tuple(
            EngineSpec(service.name, service.engine.kv_capacity, service.engine.stride)
            for service in decoded.services
            if service.engine is not None
        ),
        customers=_convert_customers(decoded.tenants),
        scaling=tuple(
            _convert_scaling(service.name, service.scaling)
            for service in decoded.services
            if service.scaling is not None
        ),
    )


def _convert_scaling(service: str, scaling: _Scaling) -> ScalingSpec:
    return ScalingSpec(
        service=service,
        min_replicas=scaling.min,
        max_replicas=scaling.max,
        boot_s=scaling.boot_s,
        spot_price_ratio=scaling.spot_price,
        zone_prices=tuple(sorted(scaling.zone_prices.items())),
    )


def _convert_customers(tenants: Iterable[_Tenant]) -> tuple[Customer, ...]:
    """Return the customers, without those whose name cannot be sent in a header."""
    customers: list[Customer] = []
    for tenant in tenants:
        if not tenant.name or not tenant.name.isprintable():
            logger.error("config: skipping a customer with bad name {!r}", tenant.name)
            continue
        priority = tenant.priority
        if priority is not None and not 0 <= priority <= LOWEST_PRIORITY:
            logger.warning(
                "config: priority {} of customer {} is not within 0 to {}",
                priority,
                tenant.name,
                LOWEST_PRIORITY,
            )
            priority = min(max(priority, 0), LOWEST_PRIORITY)
        keys = tuple(key for key in tenant.api_keys if key)
        customers.append(Customer(tenant.name, keys, priority))
    return tuple(customers)


def _convert_route(route: _Route) -> Route:
    targets = tuple((split.service, split.weight) for split in route.traffic_split)
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=REQUEST_KINDS[route.kind],
        services=targets or ((route.service, 1.0),),
        timeout_ms=route.timeout_ms,
        latency_objective_ms=route.target_latency_ms,
        priority=route.priority,
        max_attempts=route.max_attempts,
        is_resumable=route.resumable,
        single_version=route.single_version,
        give_up_after_s=route.item_ttl_s,
        due_after_ms=route.run_target_ms,
        is_public=route.public,
    )


def decode_replica(stored: PlatformObject) -> Replica | None:
    """Return the replica that an entry describes, None if it cannot be used."""
    replica_id = stored.path.partition("/")[2]
    try:
        decoded = msgspec.convert(stored.value, _Server)
        address = _decode_address(decoded.address)
    except ValueError as error:
        logger.warning("replicas: skipping invalid entry {}: {}", stored.path, error)
        return None
    is_sendable = replica_id.isascii() and replica_id.isprintable()
    if decoded.state not in (READY, DRAINING) or not is_sendable:
        logger.warning(
            "replicas: skipping {!r}: unusable identifier or state {!r}",
            stored.path,
            decoded.state,
        )
        return None
    return Replica(
        replica_id=replica_id,
        service=decoded.service,
        address=address,
        availability_zone=decoded.zone,
        slots=decoded.slots,
        is_draining=decoded.state == DRAINING,
        model_versions=tuple((m.name, m.version) for m in decoded.models),
        started_ms=decoded.born,
        cold_left_ms=decoded.cold_left_ms,
        software_version=decoded.version,
        is_spot=decoded.spot,
        leaves_in_ms=decoded.leaves_ms,
    )


def _decode_address(text: str) -> Address:
    """Return a replica's address.

    Raises
    ------
    ValueError
        If it is not an IPv4 address with a port from 1 on.
    """
    address = Address.parse(text)
    if not address.port:
        raise ValueError("a replica has no port")
    return Address(str(IPv4Address(address.host)), address.port)


def decode_named_versions(objects: Iterable[PlatformObject]) -> dict[str, int]:
    """Return the weight version that a trainer has named for each model."""
    named: dict[str, int] = {}
    for stored in objects:
        try:
            decoded = msgspec.convert(stored.value, _NamedVersion)
        except msgspec.ValidationError as error:
            logger.warning(
                "weights: skipping invalid object {}: {}", stored.path, error
            )
            continue
        named[decoded.model] = decoded.version
    return named
