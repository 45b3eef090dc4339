"""standins.platform_cluster: daemon processes among in-process stand-ins."""

import asyncio
import base64
import http.client
import itertools
import json
import os
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import uvicorn

from greengagetack.world import Address
from standins.duty_api import DutyApi, DutyJudge
from standins.identities import ReceivedIdentity
from standins.kv_store import KvStore
from standins.loops import BackgroundLoop
from standins.processes import Process, ProcessGroup
from standins.proxy import Relay
from standins.replica import MODEL, Replica
from standins.server import StandInServer

__all__ = [
    "HOST_NAME",
    "ORDER_SPACING_S",
    "PlatformCluster",
    "Submission",
    "reward_id_of",
    "wait_for",
]

MODULE = "greengagetack.platform"
HOST_NAME = "kiosk.example"
JOBS_PREFIX = "/jobs/"
DEFAULT_TIMEOUT_MS = 1_500
LOOKUP_PREFIX = "/lookup/"
REWARD_PREFIX = "/reward/"
BOOKING_PREFIX = "/booking/"
CHAT_PREFIX = "/chat/"
STREAM_PREFIX = "/stream/"
RESUMABLE = {"resumable": True}
ENGINE_SERVICE = "summariser"
PLAIN_SERVICE = "fieldbook"
# Minimum time between orders of two daemons to the same replica.
ORDER_SPACING_S = 0.6
# A replica's entry lapses this long after its process has ended; the process starts
# again a little later.
ENTRY_LAPSE_S = 1.2
RESTART_S = 1.6
WAIT_LIMIT_S = 30.0
POLL_S = 0.05
# Below the range from which the kernel takes the ports of outgoing connections, so that
# none of them holds a listener's port.
FIRST_LISTENER_PORT = 20_000
_ports = itertools.count(FIRST_LISTENER_PORT)


def wait_for(
    what: str, check: Callable[[], bool], limit_s: float = WAIT_LIMIT_S
) -> None:
    """Wait until a check succeeds.

    Raises
    ------
    AssertionError
        If it does not succeed in time.
    """
    until_s = time.monotonic() + limit_s
    while time.monotonic() < until_s:
        if check():
            return
        time.sleep(POLL_S)
    raise AssertionError(f"timed out after {limit_s:g} s: {what}")


@dataclass(frozen=True)
class Answer:
    """Status, headers and body of an answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """The decoded body."""
        return json.loads(self.body)


@dataclass(frozen=True)
class Submission:
    """A job as a trainer submits it."""

    job_id: str
    groups: int
    group_size: int
    min_version: int = 1
    target_groups: int = 0
    has_rewards: bool = False

    def item_ids(self) -> list[str]:
        """Return the identifiers of all items."""
        return [
            f"{self.job_id}-{group}-{member}"
            for group in range(self.groups)
            for member in range(self.group_size)
        ]

    def body(self) -> bytes:
        """Return the JSON of the submission."""
        items = [
            {
                "id": item_id,
                "path": f"{JOBS_PREFIX}{item_id}",
                "headers": {
                    "X-Model": MODEL,
                    "X-Token-Usage": "16,8",
                    "X-Prompt-Prefix": "ab:16",
                },
                "body": base64.b64encode(b"body of " + item_id.encode()).decode(),
                "tokens": 24,
                "group": item_id.rpartition("-")[0],
                **(_scorer(item_id) if self.has_rewards else {}),
            }
            for item_id in self.item_ids()
        ]
        fields = {
            "step": 0,
            "model": MODEL,
            "min_version": self.min_version,
            "target_groups": self.target_groups or self.groups,
            "items": items,
        }
        return json.dumps(fields).encode()


class PlatformCluster:
    """A store, replicas and daemons on loopback addresses."""

    def __init__(self) -> None:
        self.loop = BackgroundLoop()
        self.group = ProcessGroup()
        self.store = KvStore()
        self.replicas: dict[str, Replica] = {}
        self.edges: dict[str, Process] = {}
        # Module that starts a daemon, and its first arguments.
        self.launcher: tuple[str, ...] = (MODULE,)
        self._addresses: dict[str, dict[str, str]] = {}
        self._server_tasks: dict[str, asyncio.Task[None]] = {}
        self._servers: dict[str, StandInServer] = {}
        self._crash_tasks: set[asyncio.Task[None]] = set()
        # Monotonic times at which replicas ended under a request.
        self.crashed_s: list[float] = []
        self._store_address = self.loop.run(self._serve(self.store.app, "store"))
        self.memory_tokens = 100_000
        self.timeout_ms = DEFAULT_TIMEOUT_MS
        # The configuration's customers, as the operator writes them; the names of the
        # routes that need no key; and the key that clients send.
        self.customers: list[dict[str, Any]] = []
        self.public_routes: set[str] = set()
        self.key = ""
        # Additional fields of the engines' service, and of replicas' entries by name.
        self.engine_fields: dict[str, Any] = {}
        self.entry_fields: dict[str, dict[str, Any]] = {}
        # The platform's API for duties, if the deployment has any.
        self.duty_api: DutyApi | None = None
        self._duty_address = ""
        # Relays between daemons and the store, by daemon name.
        self.relays: dict[str, Relay] = {}
        self.configure(1)

    def close(self) -> None:
        """End all processes and stand-ins."""
        self.group.close()
        self.loop.run(self._stop_serving())
        self.loop.close()

    async def _stop_serving(self) -> None:
        pending_tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in pending_tasks:
            task.cancel()
        await asyncio.gather(*pending_tasks, return_exceptions=True)

    async def _serve(self, app: Any, name: str, port: int = 0) -> str:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen(1_024)
        config = uvicorn.Config(
            app, log_level="critical", access_log=False, lifespan="off"
        )
        server = StandInServer(config)
        self._servers[name] = server
        task = asyncio.create_task(server.serve(sockets=[listener]))
        self._server_tasks[name] = task
        host, port = listener.getsockname()
        return f"{host}:{port}"

    # -- configuration, replicas and versions

    def configure(self, version: int, extra_routes: tuple[str, ...] = ()) -> None:
        """Write a configuration, as the operator does."""
        routes = [
            _route("jobs", JOBS_PREFIX, "rollout", ENGINE_SERVICE),
            _route("lookup", LOOKUP_PREFIX, "idempotent", PLAIN_SERVICE),
            _route("reward", REWARD_PREFIX, "idempotent", PLAIN_SERVICE),
            _route("booking", BOOKING_PREFIX, "non_idempotent", PLAIN_SERVICE),
            {**_route("chat", CHAT_PREFIX, "streaming", ENGINE_SERVICE), **RESUMABLE},
            _route("feed", STREAM_PREFIX, "streaming", ENGINE_SERVICE),
        ]
        routes += [
            _route(f"r{prefix}", prefix, "idempotent", PLAIN_SERVICE)
            for prefix in extra_routes
        ]
        for route in routes:
            route["timeout_ms"] = self.timeout_ms
            if route["name"] in self.public_routes:
                route["public"] = True
        engine = {"slots": 4, "kv_capacity": self.memory_tokens, "stride": 1}
        services = [
            {
                "name": ENGINE_SERVICE,
                "health_path": "/healthz",
                "engine": engine,
                **self.engine_fields,
            },
            {"name": PLAIN_SERVICE, "health_path": "/healthz"},
        ]
        spec = {"version": version, "routes": routes, "services": services}
        if self.customers:
            spec["tenants"] = self.customers
        self.config_version = version
        self.run_on_loop(lambda: self.store.put("config", "main", spec))

    def run_on_loop(self, function: Callable[[], Any]) -> Any:
        """Run a function on the stand-ins' loop."""

        async def run() -> Any:
            return function()

        return self.loop.run(run())

    def add_replica(
        self, name: str, service: str = ENGINE_SERVICE, **options: Any
    ) -> Replica:
        """Start a replica and write its entry to the store."""
        return self.loop.run(self.serve_replica(name, service, **options))

    async def serve_replica(self, name: str, service: str, **options: Any) -> Replica:
        """Start a replica, on the stand-ins' loop."""
        replica = Replica(name, **options)
        self.replicas[name] = replica
        address = await self._serve(replica.app, name)
        self._addresses[name] = {"address": address, "service": service}
        replica.on_crash = partial(self._crash_replica, name)
        self._write_entry(name, "ready")
        return replica

    def _crash_replica(self, name: str) -> None:
        """End a replica's process; it starts again after its entry has lapsed."""
        self.crashed_s.append(time.monotonic())
        server = self._servers[name]
        for listener in server.servers:
            listener.close()
        for connection in list(server.server_state.connections):
            connection.transport.abort()
        self._server_tasks[name].cancel()
        task = asyncio.create_task(self._restart_replica(name))
        self._crash_tasks.add(task)
        task.add_done_callback(self._crash_tasks.discard)

    async def _restart_replica(self, name: str) -> None:
        await asyncio.sleep(ENTRY_LAPSE_S)
        self.store.remove("servers", name)
        await asyncio.sleep(RESTART_S - ENTRY_LAPSE_S)
        replica = self.replicas[name]
        replica.started_ms += 1
        replica.running = 0
        port = int(self._addresses[name]["address"].rpartition(":")[2])
        await self._serve(replica.app, name, port)
        self._write_entry(name, "ready")

    def list_replica(self, name: str, state: str = "ready", **fields: Any) -> None:
        """Write a replica's entry to the store, with additional fields if given."""
        self.run_on_loop(lambda: self._write_entry(name, state, **fields))

    def _write_entry(self, name: str, state: str, **fields: Any) -> None:
        replica = self.replicas[name]
        entry = {
            **self._addresses[name],
            "zone": "zone-a",
            "version": replica.software,
            "slots": replica.slots,
            "state": state,
            "cold_left_ms": 0,
            "models": [{"name": MODEL, "version": replica.version}],
            "sequence": 7,
            "born": replica.started_ms,
            **self.entry_fields.get(name, {}),
            **fields,
        }
        self.store.put("servers", name, entry)

    def name_version(self, version: int) -> None:
        """Name a version of the weights, as the trainer does."""
        spec = {"model": MODEL, "version": version}
        self.run_on_loop(lambda: self.store.put("versions", MODEL, spec))

    # -- daemons

    def start_edges(self, count: int) -> None:
        """Start daemons and wait until they are ready."""
        for number in range(1, count + 1):
            self.start_edge(f"edge-{number}")
        for name in self.edges:
            wait_for(f"{name} is ready", partial(self.is_ready, name))

    def add_relay(self, edge: str) -> None:
        """Put a relay between the store and a daemon that has not started yet."""

        async def start() -> Relay:
            relay = Relay(Address.parse(self._store_address))
            await relay.start()
            return relay

        self.relays[edge] = self.loop.run(start())

    def start_edge(self, name: str) -> Process:
        """Start a daemon, on the addresses of its last process if it had one."""
        ip = self.ip_of(name)
        if name not in self._addresses:
            self._addresses[name] = {
                listener: f"{ip}:{next(_ports)}"
                for listener in ("front", "ready", "control")
            }
        path = self.group.folder / f"{name}.toml"
        path.write_text(self._settings(name, ip))
        process = self.group.launch(
            name, *self.launcher, "--settings", path, "--metrics-port", "0"
        )
        self.edges[name] = process
        return process

    @staticmethod
    def ip_of(name: str) -> str:
        """Return a daemon's IP address, which no other test process uses."""
        pid = os.getpid()
        number = int(name.rpartition("-")[2])
        return f"127.{1 + pid // 256 % 250}.{pid % 256}.{10 + number}"

    def add_duty_api(self, window_s: float = 5.0, due_s: float = 10.0) -> DutyApi:
        """Serve the API for duties; daemons that start later report usage to it."""
        judge = DutyJudge(ORDER_SPACING_S, window_s, due_s)
        self.duty_api = DutyApi(judge)
        self._duty_address = self.loop.run(self._serve(self.duty_api.app, "duties"))
        self._window_s, self._due_s = window_s, due_s
        return self.duty_api

    def _cloud_settings(self) -> str:
        if self.duty_api is None:
            return ""
        return f"""
window_s = {self._window_s}
usage_late_s = {self._due_s}
[cloud]
address = "{self._duty_address}"
duties = ["usage_report", "autoscale"]
duty_per_s = 10
"""

    def _settings(self, name: str, ip: str) -> str:
        listen = "\n".join(
            f'{listener} = "{address}"'
            for listener, address in self._addresses[name].items()
        )
        relay = self.relays.get(name)
        store = self._store_address if relay is None else str(relay.address)
        return f"""
node = "{name}"
role = "edge"
machine_class = "edge"
ip = "{ip}"
zone = "zone-a"
unknown_field = true
[listen]
{listen}
[bounds]
grace_s = 8
lease_ms = {int(ORDER_SPACING_S * 1000)}
{self._cloud_settings()}
[provider]
address = "{store}"
value_bytes = 1048576
"""

    def address_of(self, edge: str, listener: str) -> str:
        """Return the address of a daemon's listener."""
        return self._addresses[edge][listener]

    def is_ready(self, name: str) -> bool:
        """Whether a daemon's readiness check succeeds."""
        try:
            return self.call(name, "GET", "/readyz", listener="ready").status == 200
        except OSError:
            return False

    def dispatcher(self) -> str:
        """Return the daemon that runs the jobs, an empty string if there is none."""
        with suppress(KeyError):
            return str(self.store.value("dispatch", "main")["node"])
        return ""

    def save_logs(self, name: str, folder: str) -> None:
        """Write the log of a daemon's last process into a folder."""
        path = Path(folder)
        path.mkdir(parents=True, exist_ok=True)
        text = "".join(self.edges[name].printed_lines())
        (path / f"{name}.log").write_text(text)

    def has_logged(self, name: str, message: str) -> bool:
        """Whether a daemon's last process has logged a message."""
        return any(message in line for line in self.edges[name].printed_lines())

    def logs(self, name: str) -> list[dict[str, Any]]:
        """Return the structured log lines of a daemon so far."""
        return [json.loads(line) for line in self.edges[name].printed_lines()]

    # -- clients

    def connect(
        self, edge: str, listener: str = "front", timeout_s: float = 10.0
    ) -> http.client.HTTPConnection:
        """Return a new connection to a daemon."""
        address = self._addresses[self._named_edge(edge)][listener]
        return http.client.HTTPConnection(address, timeout=timeout_s)

    def _named_edge(self, edge: str) -> str:
        """Return the name of a daemon that may be given by its role."""
        if edge == "the daemon that runs the jobs":
            return self.dispatcher()
        if edge == "a daemon that does not run jobs":
            return next(name for name in self.edges if name != self.dispatcher())
        return edge

    def call(
        self,
        edge: str,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        listener: str = "front",
        timeout_s: float = 10.0,
    ) -> Answer:
        """Send one request on a new connection."""
        connection = self.connect(edge, listener, timeout_s)
        try:
            key = {"X-Api-Key": self.key} if self.key else {}
            connection.request(
                method, path, body, {"Host": HOST_NAME, **key, **(headers or {})}
            )
            response = connection.getresponse()
            response_headers = {
                name.lower(): value for name, value in response.getheaders()
            }
            return Answer(response.status, response_headers, response.read())
        finally:
            connection.close()

    def submit(self, edge: str, submission: Submission) -> Answer:
        """Submit a job."""
        headers = {
            "X-Request-Id": submission.job_id,
            "Content-Type": "application/json",
        }
        path = f"{JOBS_PREFIX}{submission.job_id}"
        return self.call(edge, "POST", path, submission.body(), headers)

    def read_results(self, edge: str, job_id: str, after: int = 0) -> Answer:
        """Read a page of results from a position."""
        path = f"/lots/{job_id}?after={after}"
        return self.call(edge, "GET", path, headers={"X-Wait-Ms": "500"})

    def received_identities(self) -> dict[str, list[ReceivedIdentity]]:
        """Return what each replica's requests said of their senders."""
        return {name: replica.identities for name, replica in self.replicas.items()}

    def all_results(self, edge: str, job_id: str) -> list[dict[str, Any]]:
        """Read all results that a daemon lists so far."""
        results: list[dict[str, Any]] = []
        while True:
            answer = self.read_results(edge, job_id, len(results))
            if answer.status != 200 or not answer.json["results"]:
                return results
            results += answer.json["results"]


def reward_id_of(item_id: str) -> str:
    """Return the identifier of an item's reward call."""
    return f"reward-{item_id}"


def _scorer(item_id: str) -> dict[str, Any]:
    reward_id = reward_id_of(item_id)
    body = base64.b64encode(b"score " + item_id.encode()).decode()
    path = f"{REWARD_PREFIX}{reward_id}"
    return {"scorer": {"id": reward_id, "host": HOST_NAME, "path": path, "body": body}}


def _route(name: str, prefix: str, kind: str, service: str) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": DEFAULT_TIMEOUT_MS,
        "target_latency_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "item_ttl_s": 40.0,
        "run_target_ms": 7_500,
        "single_version": False,
    }
