"""greengagetack.platform.settings: loads the settings file of a VM on the platform."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path

import msgspec

from greengagetack.errors import CodedError, register_error
from greengagetack.replicas.zone_cost import ZoneCost
from greengagetack.world import Address

__all__ = [
    "METRICS_PORT",
    "CloudFacts",
    "SettingsUnreadable",
    "VmFacts",
    "load_vm_facts",
]

SETTINGS_VARIABLE = "GREENGAGETACK_CONFIG"
# deploy/system.toml names the same port.
METRICS_PORT = 9464
# Names of the duties in the settings file.
USAGE_DUTY = "usage_report"
SCALING_DUTY = "autoscale"


@register_error
class SettingsUnreadable(CodedError):
    """The platform's settings file is missing or cannot be read."""

    code = "settings_unreadable"
    http_status = 500
    remedy = "Check the file that GREENGAGETACK_CONFIG names."


class _Listen(msgspec.Struct, frozen=True):
    # Address that serves clients.
    front: str = ""
    # Address of the readiness check that the platform calls.
    ready: str = ""
    # Address that serves other daemons.
    control: str = ""


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 8.0
    # Time after which a leaving replica must not get any new request.
    drain_ms: float = 2_000.0
    # Minimum time between orders of two daemons to the same replica.
    lease_ms: float = 3_000.0
    # How long results stay readable after a job's submission.
    status_s: float = 120.0
    # Length of the windows that usage is reported for, the time after a window's end
    # within which its report is due, and the relative error that a report may have.
    window_s: float = 5.0
    usage_late_s: float = 10.0
    usage_tolerance: float = 0.05


class _Limits(msgspec.Struct, frozen=True):
    # Share of a core that the daemon may use, and the relative speed of that core.
    cpu_share: float = 1.0
    cores: float = 1.0
    # A process that uses more memory is killed.
    memory_mb: float = 300.0


class _Provider(msgspec.Struct, frozen=True):
    # Address of the platform's store.
    address: str
    value_bytes: int = 1_048_576


class _Cloud(msgspec.Struct, frozen=True):
    # Address of the platform's API for duties, empty without one.
    address: str = ""
    # Names of the duties that this deployment carries out.
    duties: tuple[str, ...] = ()
    # Calls a second that the API takes from all daemons together.
    duty_per_s: float = 10.0


class _SettingsFile(msgspec.Struct, frozen=True):
    node: str
    role: str
    machine_class: str
    zone: str
    ip: str
    provider: _Provider
    seeds: tuple[str, ...] = ()
    # Time between two heartbeats of a replica.
    heartbeat_ms: float = 1_200.0
    listen: _Listen = _Listen()
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    cloud: _Cloud = _Cloud()


@dataclass(frozen=True, slots=True)
class CloudFacts:
    """The platform's API and the duties that the deployment has towards it."""

    api: Address
    reports_usage: bool
    orders_replicas: bool
    calls_per_s: float


@dataclass(frozen=True, slots=True)
class VmFacts:
    """Facts about its VM and its environment that a daemon starts with."""

    node: str
    machine_class: str
    availability_zone: str
    ip: str
    store: Address
    value_limit_bytes: int
    seeds: tuple[Address, ...]
    front: Address | None
    ready: Address | None
    control: Address | None
    grace_s: float
    drain_s: float
    order_spacing_s: float
    result_retention_s: float
    cores: float
    memory_mb: float
    heartbeat_s: float = 1.2
    window_s: float = 5.0
    usage_late_s: float = 10.0
    usage_tolerance: float = 0.05
    # None if the deployment has no duties.
    cloud: CloudFacts | None = None
    metrics_port: int = METRICS_PORT
    zone_cost: ZoneCost = ZoneCost()  # noqa: RUF009


def _parse_optional_address(text: str) -> Address | None:
    return Address.parse(text) if text else None


def _cloud_facts(cloud: _Cloud) -> CloudFacts | None:
    if not cloud.address:
        return None
    return CloudFacts(
        Address.parse(cloud.address),
        USAGE_DUTY in cloud.duties,
        SCALING_DUTY in cloud.duties,
        cloud.duty_per_s,
    )


def load_vm_facts(path: str | None = None) -> VmFacts:
    """Read the settings file that the environment names.

    Raises
    ------
    SettingsUnreadable
        If the file is missing or invalid TOML, or a field is missing or of the
        wrong type.
    """
    name = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not name:
        raise SettingsUnreadable(f"{SETTINGS_VARIABLE} is not set")
    try:
        tree = tomllib.loads(Path(name).read_text(encoding="utf-8"))
        file = msgspec.convert(tree, _SettingsFile)
        return VmFacts(
            node=file.node,
            machine_class=file.machine_class,
            availability_zone=file.zone,
            ip=file.ip,
            store=Address.parse(file.provider.address),
            value_limit_bytes=file.provider.value_bytes,
            seeds=tuple(Address.parse(seed) for seed in file.seeds),
            front=_parse_optional_address(file.listen.front),
            ready=_parse_optional_address(file.listen.ready),
            control=_parse_optional_address(file.listen.control),
            grace_s=file.bounds.grace_s,
            drain_s=file.bounds.drain_ms / 1000,
            order_spacing_s=file.bounds.lease_ms / 1000,
            result_retention_s=file.bounds.status_s,
            cores=round(file.limits.cpu_share * file.limits.cores, 2),
            memory_mb=file.limits.memory_mb,
            heartbeat_s=file.heartbeat_ms / 1000,
            window_s=file.bounds.window_s,
            usage_late_s=file.bounds.usage_late_s,
            usage_tolerance=file.bounds.usage_tolerance,
            cloud=_cloud_facts(file.cloud),
        )
    except (OSError, ValueError) as error:
        raise SettingsUnreadable(f"{name}: {error}") from error
