"""features.support.deployments: real processes shared by the scenarios of a feature."""

import time
import urllib.request
from dataclasses import dataclass
from typing import Any
from urllib.error import URLError

import msgspec

from bench.deployment import (
    Deployment,
    DeploymentPlan,
    EnginePlan,
    ServicePlan,
    send_json,
)
from features.support.throwaway_keys import Authority
from greengagetack.world import Address
from standins.processes import ProcessGroup

__all__ = [
    "Effects",
    "address_of",
    "effects_of",
    "shared_deployment",
    "shared_tls_deployment",
]

READY_TIMEOUT_S = 40.0
TEAMS = ("quetzal", "kestrelmoor")

_STARTED: dict[str, Deployment] = {}


@dataclass(frozen=True)
class Effects:
    """Everything that a request may have changed or run."""

    settings: tuple[tuple[str, int], ...]
    engine_runs: int
    service_runs: int
    steps: tuple[tuple[str, int], ...]


def shared_deployment() -> Deployment:
    """Return a deployment of two daemons, stopped at the end of the run."""
    if "plain" not in _STARTED:
        plan = DeploymentPlan(
            ("a", "b"), (EnginePlan("a"),), (ServicePlan("a"),), TEAMS
        )
        # The group stops its processes when Python exits.
        _STARTED["plain"] = _started(plan, ProcessGroup())
    return _STARTED["plain"]


def shared_tls_deployment() -> Deployment:
    """Return a deployment of three daemons whose links use mutual TLS."""
    if "tls" not in _STARTED:
        group = ProcessGroup()
        authority = Authority(group.folder, "fleet")
        vm_settings = {
            vm_id: {"tls": msgspec.to_builtins(authority.issue(vm_id))}
            for vm_id in ("vm-1", "vm-2", "vm-3")
        }
        plan = DeploymentPlan(
            ("a", "b", "c"),
            (EnginePlan("a"),),
            (ServicePlan("a"),),
            TEAMS,
            vm_settings=vm_settings,
        )
        _STARTED["tls"] = _started(plan, group)
    return _STARTED["tls"]


def _started(plan: DeploymentPlan, group: ProcessGroup) -> Deployment:
    deployment = Deployment(plan, group)
    deployment.start()
    _wait_ready(deployment)
    return deployment


def _wait_ready(deployment: Deployment) -> None:
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    for url in deployment.entries():
        while not _is_ready(url):
            if time.monotonic() > deadline_s:
                raise AssertionError(f"{url} is not ready")
            time.sleep(0.05)


def _is_ready(url: str) -> bool:
    try:
        with urllib.request.urlopen(f"{url}/readyz", timeout=2.0) as response:
            return bool(response.status == 200)
    except (URLError, OSError):
        return False


def address_of(url: str) -> Address:
    """Return the address of a base URL."""
    host, _, port = url.removeprefix("http://").partition(":")
    return Address(host, int(port))


def effects_of(deployment: Deployment) -> Effects:
    """Return what has been changed or run so far, as visible from outside."""
    platform = deployment.platform.url
    listed: Any = send_json(f"{platform}/objects?prefix=settings/")
    settings = sorted((one["path"], one["version"]) for one in listed["objects"])
    engines = [
        send_json(f"{one.url}/control/log") for one in deployment.engines.values()
    ]
    services = [
        send_json(f"{one.url}/control/log") for one in deployment.services.values()
    ]
    entry = deployment.entries()[0]
    headers = deployment.operator_headers()
    jobs: Any = send_json(f"{entry}/v1/jobs", headers=headers)
    return Effects(
        tuple(settings),
        sum(len(log["runs"]) for log in engines),
        sum(len(log["runs"]) for log in services),
        tuple((step["job"], step["step"]) for step in jobs["steps"]),
    )
