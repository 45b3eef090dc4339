"""bench.deployment: a complete deployment as separate processes on loopback."""

import json
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from greengagetack.daemons.auth import NewToken, new_token
from standins.processes import Process, ProcessGroup

__all__ = ["Deployment", "DeploymentPlan", "EnginePlan", "ServicePlan", "send_json"]

HTTP_TIMEOUT_S = 10.0
CELL = "cell-1"
MODEL = "summary"
SERVICE = "booking"
SCORER = "scorer"


@dataclass(frozen=True, slots=True)
class EnginePlan:
    """One engine stand-in: its availability zone, fencing, slots and options."""

    availability_zone: str
    fencing: str = "checked"
    slots: int = 8
    options: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """One replica of the plain service: its availability zone and options."""

    availability_zone: str
    options: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """The processes of a deployment and their settings.

    `daemon_zones` lists the availability zone of each daemon. `fleet` and `teams`
    override parts of the settings. `data_folder_daemons` is the number of daemons
    with a data folder. `vm_settings` adds values to a daemon's settings file, by
    the identifier of its VM.
    """

    daemon_zones: tuple[str, ...]
    engines: tuple[EnginePlan, ...]
    services: tuple[ServicePlan, ...]
    team_names: tuple[str, ...] = ("kestrelmoor",)
    fleet: dict[str, Any] = field(default_factory=dict)
    teams: dict[str, dict[str, Any]] = field(default_factory=dict)
    platform_options: tuple[str, ...] = ()
    scorer_options: tuple[str, ...] = ()
    data_folder_daemons: int = 0
    log_level: str = "INFO"
    vm_settings: dict[str, dict[str, Any]] = field(default_factory=dict)


def send_json(
    url: str,
    method: str = "GET",
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> Any:
    """Send a request with the standard library's client; return the JSON answer."""
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data, headers or {}, method=method)
    request.add_header("Content-Type", "application/json")
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as response:
        return json.loads(response.read() or b"null")


class Deployment:
    """Starts stand-ins and daemons and holds their processes and tokens.

    Parameters
    ----------
    plan : DeploymentPlan
        The processes to start and their settings.
    group : ProcessGroup
        Ends all processes when its context exits.
    """

    def __init__(self, plan: DeploymentPlan, group: ProcessGroup) -> None:
        self.plan = plan
        self.group = group
        self.operator: NewToken = new_token()
        self.teams: dict[str, NewToken] = {
            name: new_token() for name in plan.team_names
        }
        self.platform: Process
        self.engines: dict[str, Process] = {}
        self.services: dict[str, Process] = {}
        self.scorer: Process
        self.daemons: dict[str, Process] = {}
        self._settings_files: dict[str, Path] = {}
        self._vm_settings_by_id: dict[str, dict[str, Any]] = {}

    def start(self) -> None:
        """Start everything in the order of its dependencies."""
        self.start_stand_ins()
        self.write_settings()
        self.start_daemons()

    def start_stand_ins(self) -> None:
        """Start platform, engines, service replicas and scorer."""
        plan = self.plan
        launch = self.group.launch_stand_in
        self.platform = launch("platform", *plan.platform_options, name="platform")
        self.scorer = launch("scorer", *plan.scorer_options, name=SCORER)
        for number, service in enumerate(plan.services, 1):
            endpoint_id = f"{SERVICE}-{number}"
            self.services[endpoint_id] = launch(
                "service", *service.options, name=endpoint_id
            )
        self.platform.wait_ready()
        for number, engine in enumerate(plan.engines, 1):
            endpoint_id = f"engine-{number}"
            self.engines[endpoint_id] = launch(
                "engine",
                "--model",
                MODEL,
                "--fencing",
                engine.fencing,
                "--slots",
                engine.slots,
                "--platform-url",
                self.platform.url,
                *engine.options,
                name=endpoint_id,
            )
        for process in [self.scorer, *self.services.values(), *self.engines.values()]:
            process.wait_ready()

    def fleet_settings(self) -> dict[str, Any]:
        """Return the fleet's settings as plain JSON."""
        endpoints = [
            {
                "endpoint_id": endpoint_id,
                "kind": "engine",
                "name": MODEL,
                "adapter": "openai",
                "url": process.url,
                "availability_zone": engine.availability_zone,
                "vm_id": f"vm-{endpoint_id}",
                "fencing": engine.fencing,
                "slots": engine.slots,
            }
            for (endpoint_id, process), engine in zip(
                self.engines.items(), self.plan.engines, strict=True
            )
        ]
        zones = [service.availability_zone for service in self.plan.services]
        for (endpoint_id, process), zone in zip(
            self.services.items(), zones, strict=True
        ):
            endpoints.append(_plain_endpoint(endpoint_id, SERVICE, process.url, zone))
        zone = self.plan.daemon_zones[0]
        endpoints.append(_plain_endpoint("scorer-1", SCORER, self.scorer.url, zone))
        return {
            "endpoints": endpoints,
            "models": [{"name": MODEL}],
            "services": [
                {"name": SERVICE},
                {
                    "name": SCORER,
                    "idempotent_methods": ["GET", "HEAD", "PUT", "DELETE", "POST"],
                },
            ],
            "operator_token_hashes": [self.operator.token_hash],
            **self.plan.fleet,
        }

    def team_settings(self, team: str) -> dict[str, Any]:
        """Return a team's settings as plain JSON."""
        return {
            "team": team,
            "token_hashes": [self.teams[team].token_hash],
            "models": [MODEL],
            "services": [SERVICE, SCORER],
            **self.plan.teams.get(team, {}),
        }

    def write_settings(self) -> None:
        """Write the initial settings and the VM list to the platform."""
        self._write_object("settings/fleet", self.fleet_settings())
        for team in self.teams:
            self._write_object(f"settings/teams/{team}", self.team_settings(team))
        vms = [
            {"vm_id": vm_id, "availability_zone": zone, "state": "live"}
            for vm_id, zone in self.vm_zones().items()
        ]
        send_json(f"{self.platform.url}/control/vms", "POST", {"vms": vms})

    def vm_zones(self) -> dict[str, str]:
        """Return the availability zone of each VM of a daemon or an endpoint."""
        zones = {
            f"vm-{number}": zone
            for number, zone in enumerate(self.plan.daemon_zones, 1)
        }
        for endpoint_id, engine in zip(self.engines, self.plan.engines, strict=True):
            zones[f"vm-{endpoint_id}"] = engine.availability_zone
        for endpoint_id, service in zip(self.services, self.plan.services, strict=True):
            zones[f"vm-{endpoint_id}"] = service.availability_zone
        zones["vm-scorer-1"] = self.plan.daemon_zones[0]
        return zones

    def _write_object(self, path: str, settings: dict[str, Any]) -> None:
        body = {
            "change_id": f"install-{path}",
            "value": {"settings": settings, "author": "installation"},
        }
        url = f"{self.platform.url}/objects/{path}"
        send_json(url, "PUT", body, {"If-None-Match": "*"})

    def start_daemons(self) -> None:
        """Start all daemons and wait until each is ready to serve."""
        for number, zone in enumerate(self.plan.daemon_zones, 1):
            vm_id = f"vm-{number}"
            value = self._vm_settings(number, vm_id, zone)
            self._write_vm_file(vm_id, value)
            self.daemons[vm_id] = self.launch_daemon(vm_id)
        for process in self.daemons.values():
            process.wait_ready()

    def _vm_settings(self, number: int, vm_id: str, zone: str) -> dict[str, Any]:
        value: dict[str, Any] = {
            "vm_id": vm_id,
            "availability_zone": zone,
            "cell": CELL,
            "platform_url": self.platform.url,
            "log": {"level": self.plan.log_level},
        }
        if number <= self.plan.data_folder_daemons:
            folder = self.group.folder / f"data-{vm_id}"
            folder.mkdir(exist_ok=True)
            value["data_folder"] = {"path": str(folder), "interval_s": 2.0}
        value.update(self.plan.vm_settings.get(vm_id, {}))
        return value

    def _write_vm_file(self, vm_id: str, value: dict[str, Any]) -> None:
        path = self.group.folder / f"{vm_id}.jsonc"
        path.write_text(f"// Settings of {vm_id}.\n{json.dumps(value, indent=2)}\n")
        self._settings_files[vm_id] = path
        self._vm_settings_by_id[vm_id] = value

    def keep_addresses(self, vm_id: str) -> None:
        """Make a daemon's next start listen on the addresses of the running one."""
        ready = self.daemons[vm_id].ready
        value = dict(self._vm_settings_by_id[vm_id])
        for key in ("http", "peer"):
            host, _, port = ready[key].rpartition(":")
            value[key] = {"host": host, "port": int(port)}
        self._write_vm_file(vm_id, value)

    def launch_daemon(self, vm_id: str) -> Process:
        """Start a daemon without waiting until it is ready."""
        return self.group.launch(
            vm_id,
            "greengagetack.daemons.main",
            "--settings",
            self._settings_files[vm_id],
        )

    def restart_daemon(self, vm_id: str) -> Process:
        """Start a daemon again after it has ended and wait until it is ready."""
        process = self.launch_daemon(vm_id).wait_ready()
        self.daemons[vm_id] = process
        return process

    def entries(self) -> tuple[str, ...]:
        """Return the base URLs of the running daemons."""
        return tuple(
            process.url for process in self.daemons.values() if process.running
        )

    def operator_headers(self) -> dict[str, str]:
        """Return the authorization headers of an operator."""
        return {"Authorization": f"Bearer {self.operator.token}"}

    def team_headers(self, team: str) -> dict[str, str]:
        """Return the authorization headers of a team."""
        return {"Authorization": f"Bearer {self.teams[team].token}"}


def _plain_endpoint(endpoint_id: str, name: str, url: str, zone: str) -> dict[str, Any]:
    return {
        "endpoint_id": endpoint_id,
        "kind": "service",
        "name": name,
        "adapter": "plain",
        "url": url,
        "availability_zone": zone,
        "vm_id": f"vm-{endpoint_id}",
    }
