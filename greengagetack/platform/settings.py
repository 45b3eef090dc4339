"""greengagetack.platform.settings: a process's settings file on the platform."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path

import msgspec

from greengagetack.errors import CodedError, register_error
from greengagetack.world import Address

__all__ = ["METRICS_PORT", "SettingsUnreadable", "VmFacts", "load_vm_facts"]

SETTINGS_VARIABLE = "GREENGAGETACK_CONFIG"
# Named in deploy/system.toml.
METRICS_PORT = 9464


@register_error
class SettingsUnreadable(CodedError):
    """The platform's settings file is missing or cannot be read."""

    code = "settings_unreadable"
    http_status = 500
    remedy = "Check the file that GREENGAGETACK_CONFIG names."


class _Listen(msgspec.Struct, frozen=True):
    # Address for clients.
    front: str = ""
    # Address at which the platform asks whether the daemon is ready.
    ready: str = ""
    # Address for other daemons.
    control: str = ""


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 8.0
    # How far orders of two daemons to one replica must lie apart.
    lease_ms: float = 3_000.0
    # How long results stay readable after a job's submission.
    status_s: float = 120.0


class _Limits(msgspec.Struct, frozen=True):
    # Share of a core that the daemon may use, and how many times as fast it is.
    cpu_share: float = 1.0
    cores: float = 1.0


class _Provider(msgspec.Struct, frozen=True):
    # Address of the platform's store.
    address: str
    value_bytes: int = 1_048_576


class _File(msgspec.Struct, frozen=True):
    node: str
    role: str
    machine_class: str
    zone: str
    ip: str
    provider: _Provider
    seeds: tuple[str, ...] = ()
    listen: _Listen = _Listen()
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()


@dataclass(frozen=True, slots=True)
class VmFacts:
    """What a daemon learns about its VM and its surroundings."""

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
    orders_apart_s: float
    results_kept_s: float
    cores: float
    metrics_port: int = METRICS_PORT


def _optional(text: str) -> Address | None:
    return Address.parse(text) if text else None


def load_vm_facts(path: str | None = None) -> VmFacts:
    """Read the settings file that the environment names.

    Raises
    ------
    SettingsUnreadable
        If the file is missing, is no TOML, or a field is missing or of another type.
    """
    name = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not name:
        raise SettingsUnreadable(f"{SETTINGS_VARIABLE} is not set")
    try:
        tree = tomllib.loads(Path(name).read_text(encoding="utf-8"))
        file = msgspec.convert(tree, _File)
        return VmFacts(
            node=file.node,
            machine_class=file.machine_class,
            availability_zone=file.zone,
            ip=file.ip,
            store=Address.parse(file.provider.address),
            value_limit_bytes=file.provider.value_bytes,
            seeds=tuple(Address.parse(seed) for seed in file.seeds),
            front=_optional(file.listen.front),
            ready=_optional(file.listen.ready),
            control=_optional(file.listen.control),
            grace_s=file.bounds.grace_s,
            orders_apart_s=file.bounds.lease_ms / 1000,
            results_kept_s=file.bounds.status_s,
            cores=round(file.limits.cpu_share * file.limits.cores, 2),
        )
    except (OSError, ValueError) as error:
        raise SettingsUnreadable(f"{name}: {error}") from error
