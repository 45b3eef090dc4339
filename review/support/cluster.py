"""review.support.cluster: daemons started as the deploy file starts them.

The stand-ins of the store and of the replicas are the project's own. Each daemon has a
loopback address of its own, and settings like those of a small deployment.
"""

import os
import shlex
import socket
import subprocess
import threading
import time
import tomllib
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from greengagetack.world import Address
from standins.platform_cluster import PlatformCluster, wait_for
from standins.processes import Process
from standins.proxy import Relay
from standins.replica import Replica

__all__ = [
    "DRAIN_S",
    "STABLE_WINDOW_S",
    "DaemonSpec",
    "ReviewCluster",
    "is_trouble_on",
]

ROOT = Path(__file__).resolve().parent.parent.parent
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
SETTINGS_VARIABLE = "GREENGAGETACK_CONFIG"
# Bounds of a small deployment.
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
MAX_SEEDS = 3
FRONT_PORT, READY_PORT, CONTROL_PORT = 8263, 8268, 8262
STOP_LIMIT_S = 10.0


def is_trouble_on() -> bool:
    """Whether the script brings about the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclass(frozen=True)
class DaemonSpec:
    """Name and availability zone of a daemon."""

    name: str
    zone: str


class _DaemonProcess(Process):
    """A daemon that was started with the command of the deploy file."""

    def __init__(self, name: str, settings: Path, folder: Path) -> None:
        self.name = name
        self.stderr_path = folder / f"{name}.stderr"
        self.stdout_path = folder / f"{name}.stdout"
        deploy = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))
        command = shlex.split(deploy["roles"]["edge"]["run"])
        kept = ("PATH", "HOME", "LANG", "PYTHONPATH")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment[SETTINGS_VARIABLE] = str(settings)
        with self.stdout_path.open("ab") as out, self.stderr_path.open("ab") as err:
            self._child = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                start_new_session=True,
            )

    def printed_lines(self) -> list[str]:
        """Return the lines of the log so far."""
        return self.stdout_path.read_text(errors="replace").splitlines(True)


class ReviewCluster(PlatformCluster):
    """A store, replicas and daemons on loopback addresses."""

    def __init__(self, daemons: tuple[DaemonSpec, ...]) -> None:
        super().__init__()
        self._zones = {daemon.name: daemon.zone for daemon in daemons}
        # The stand-in of replicas that are added from now on.
        self.replica_type = Replica
        self._lines: list[str] = []
        self._lock = threading.Lock()
        self.started_s = time.monotonic()
        for number, daemon in enumerate(daemons, 1):
            ip = self._free_ip(number)
            self._addresses[daemon.name] = {
                "front": f"{ip}:{FRONT_PORT}",
                "ready": f"{ip}:{READY_PORT}",
                "control": f"{ip}:{CONTROL_PORT}",
            }

    @staticmethod
    def _free_ip(number: int) -> str:
        """Return a loopback address on which a daemon's ports are free."""
        pid = os.getpid()
        for offset in range(100):
            ip = f"127.{1 + (pid // 200 + offset) % 250}.{1 + pid % 200}.{10 + number}"
            try:
                for port in (FRONT_PORT, READY_PORT, CONTROL_PORT, 9464):
                    with socket.socket() as probe:
                        probe.bind((ip, port))
            except OSError:
                continue
            return ip
        raise OSError("no loopback address has the ports free")

    def start_all(self) -> None:
        """Start all daemons and wait until they are ready and one runs the jobs."""
        for name in self._zones:
            self.start_edge(name)
        for name in self._zones:
            wait_for(f"{name} is ready", partial(self.is_ready, name))
        wait_for("a daemon runs the jobs", lambda: bool(self.dispatcher()))

    def start_edge(self, name: str) -> Process:
        """Start a daemon, on the addresses of its last process if it had one."""
        ip = self._addresses[name]["front"].partition(":")[0]
        path = self.group.folder / f"{name}.toml"
        path.write_text(self._settings(name, ip))
        process = _DaemonProcess(name, path, self.group.folder)
        self.group.processes.append(process)
        self.edges[name] = process
        return process

    def add_store_proxy(self, name: str, relay: Relay) -> None:
        """Let a daemon that has not started yet reach the store by way of a relay."""
        self.relays[name] = relay

    @property
    def store_address(self) -> Address:
        """The address of the store."""
        return Address.parse(self._store_address)

    def _settings(self, name: str, ip: str) -> str:
        relay = self.relays.get(name)
        store = self._store_address if relay is None else str(relay.address)
        controls = [self._addresses[one]["control"] for one in self._zones]
        seeds = ",".join(f'"{control}"' for control in controls[:MAX_SEEDS])
        zones = "\n".join(f'{zone} = "moor"' for zone in sorted(self.zones()))
        addresses = self._addresses[name]
        return f"""
node = "{name}"
role = "edge"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{self._zones[name]}"
region = "moor"
seeds = [{seeds}]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
{zones}
[listen]
front = "{addresses["front"]}"
ready = "{addresses["ready"]}"
control = "{addresses["control"]}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
stable_window_ms = {int(STABLE_WINDOW_S * 1000)}
ack_ms = 4000
drain_ms = {int(DRAIN_S * 1000)}
grace_s = 8
config_ms = 2000
recover_s = 12
pass_ms = 120
finish_s = 10
status_s = 120
cancel_ms = 3000
settle_ms = 1000
enforce_fencing = false
lease_ms = 3000
thaw_ms = 300
{self._cloud_settings()}
[provider]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
"""

    def zones(self) -> set[str]:
        """Return the availability zones of the daemons."""
        return set(self._zones.values())

    def zone_of(self, name: str) -> str:
        """Return the availability zone of a daemon."""
        return self._zones[name]

    # -- the record

    def note(self, text: str) -> None:
        """Add a line to the record, with the seconds since the start."""
        with self._lock:
            self._lines.append(f"{time.monotonic() - self.started_s:8.3f} {text}")

    def note_at(self, at_s: float, text: str) -> None:
        """Add a line about an earlier moment to the record."""
        with self._lock:
            self._lines.append(f"{at_s - self.started_s:8.3f} {text}")

    def write_record(self, path: Path) -> None:
        """Write the record to a file, in the order of time."""
        with self._lock:
            lines = sorted(self._lines, key=lambda line: float(line[:8]))
            path.write_text("\n".join(lines) + "\n", encoding="utf-8")

    # -- replicas

    async def serve_replica(self, name: str, service: str, **options: Any) -> Replica:
        """Start a replica, on the stand-ins' loop."""
        replica = self.replica_type(name, **options)
        self.replicas[name] = replica
        address = await self._serve(replica.app, name)
        self._addresses[name] = {"address": address, "service": service}
        self._write_entry(name, "ready")
        return replica

    def stop_replica(self, name: str) -> None:
        """End a replica's process."""

        def stop() -> None:
            server = self._servers[name]
            for listener in server.servers:
                listener.close()
            for connection in list(server.server_state.connections):
                connection.transport.abort()
            self._server_tasks[name].cancel()

        self.run_on_loop(stop)
