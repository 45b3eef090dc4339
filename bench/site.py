"""bench.site: one deployment of stand-ins and daemons for a measured round."""

import asyncio
import json
import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import aiosonic
from aiosonic.exceptions import AiosonicError

from bench.shapes import ENGINE, Shape
from bench.workload import CALLER_TEAM, MODEL, TRAINER_TEAMS
from greengagetack.daemons.auth import hash_token
from standins.processes import Process, ProcessGroup

__all__ = ["FLOOD_TEAM", "OPERATOR_TOKEN", "Site", "SiteFailed", "token_of"]

OPERATOR_TOKEN = "ggt_operator"
FLOOD_TEAM = "flood"
READY_LIMIT_S = 40.0
POLL_S = 0.05
BUDGET_PERIOD_S = 3_600.0
BUDGET_TOKENS = 100_000_000


class SiteFailed(Exception):
    """The deployment did not come up."""


def token_of(team: str) -> str:
    """Return the bearer token of a team."""
    return f"ggt_{team}"


@dataclass(slots=True)
class Site:
    """Processes of one deployment and calls to the stand-ins' controls.

    `saved_logs` holds the logs of engines that were killed.
    """

    group: ProcessGroup
    shape: Shape
    policy: str
    seed: int
    engine_options: tuple[str, ...] = ()
    platform: Process | None = None
    engines: list[Process] = field(default_factory=list)
    services: list[Process] = field(default_factory=list)
    scorer: Process | None = None
    daemons: list[Process] = field(default_factory=list)
    saved_logs: dict[int, Any] = field(default_factory=dict)
    http: aiosonic.HTTPClient = field(default_factory=aiosonic.HTTPClient)

    @property
    def entries(self) -> tuple[str, ...]:
        """Base URLs of the daemons."""
        return tuple(daemon.url for daemon in self.daemons)

    async def start(self, flood_tokens: int) -> None:
        """Start everything and wait until all daemons are ready.

        Raises
        ------
        SiteFailed
            If a daemon is not ready in time.
        """
        shape = self.shape
        latency = f"--latency-s={shape.zone_latency_s}"
        self.platform = self.group.launch_stand_in(
            "platform", latency, "--vm-lag-s=1", "--weights-per-s=50"
        )
        self.scorer = self.group.launch_stand_in("scorer", latency)
        for _ in range(shape.services):
            self.services.append(self.group.launch_stand_in("service", latency))
        self.platform.wait_ready()
        for index in range(shape.engines):
            self.engines.append(
                self.group.launch_stand_in(
                    "engine",
                    latency,
                    f"--model={MODEL}",
                    f"--platform-url={self.platform.url}",
                    f"--seed={index}",
                    *ENGINE.options(),
                    *self.engine_options,
                )
            )
        for process in [self.scorer, *self.services, *self.engines]:
            process.wait_ready()
        await self._write_settings(flood_tokens)
        for index in range(shape.daemons):
            self.daemons.append(self._launch_daemon(index))
        for daemon in self.daemons:
            daemon.wait_ready()
        await asyncio.gather(*(self.wait_until_ready(url) for url in self.entries))
        teams = (*TRAINER_TEAMS, CALLER_TEAM, FLOOD_TEAM)
        pairs = [(url, team) for url in self.entries for team in teams]
        await asyncio.gather(*(self._warm_up(url, team) for url, team in pairs))

    async def _warm_up(self, url: str, team: str) -> None:
        """Repeat a small completion until the entry answers it for the team."""
        headers = {
            "Authorization": f"Bearer {token_of(team)}",
            "Content-Type": "application/json",
        }
        body = {"model": MODEL, "prompt": "warm-up [len=1]", "max_tokens": 1}
        deadline_s = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < deadline_s:
            answer = await self.http.post(
                url + "/v1/completions", headers=headers, data=json.dumps(body)
            )
            await answer.content()
            if answer.status_code == 200:
                return
            await asyncio.sleep(POLL_S)
        raise SiteFailed(f"{url} serves nothing to {team}")

    async def _write_settings(self, flood_tokens: int) -> None:
        await self.put_object("settings/fleet", self._fleet())
        for team in (*TRAINER_TEAMS, CALLER_TEAM):
            await self.put_object(f"settings/teams/{team}", team_settings(team))
        flood = team_settings(FLOOD_TEAM, flood_tokens)
        await self.put_object(f"settings/teams/{FLOOD_TEAM}", flood)
        vms = []
        for index in range(self.shape.daemons):
            zone = self.shape.zone_of(index)
            vm = {"vm_id": vm_id(index), "availability_zone": zone, "state": "live"}
            vms.append(vm)
        assert self.platform is not None
        await self.call(self.platform, "POST", "/control/vms", {"vms": vms})

    def _fleet(self) -> dict[str, Any]:
        endpoints = []
        for index, engine in enumerate(self.engines):
            endpoints.append(self._endpoint("engine", MODEL, "openai", index, engine))
        for index, service in enumerate(self.services):
            endpoints.append(
                self._endpoint("service", "booking", "plain", index, service)
            )
        assert self.scorer is not None
        endpoints.append(self._endpoint("service", "scorer", "plain", 0, self.scorer))
        return {
            "endpoints": endpoints,
            "models": [{"name": MODEL}],
            "services": [
                {"name": "booking"},
                {"name": "scorer", "idempotent_methods": ["GET", "POST"]},
            ],
            "routing": {"policy": self.policy},
            "operator_token_hashes": [hash_token(OPERATOR_TOKEN)],
        }

    def _endpoint(
        self, kind: str, name: str, adapter: str, index: int, process: Process
    ) -> dict[str, Any]:
        return {
            "endpoint_id": f"{name}-{index}",
            "kind": kind,
            "name": name,
            "adapter": adapter,
            "url": process.url,
            "availability_zone": self.shape.zone_of(index),
            "slots": ENGINE.slots,
        }

    def _launch_daemon(
        self, index: int, addresses: dict[str, Any] | None = None
    ) -> Process:
        assert self.platform is not None
        settings = {
            "vm_id": vm_id(index),
            "availability_zone": self.shape.zone_of(index),
            "cell": "cell-1",
            "platform_url": self.platform.url,
            "log": {"level": "WARNING"},
            **(addresses or {}),
        }
        path = self.group.folder / f"{vm_id(index)}.jsonc"
        path.write_text(json.dumps(settings))
        return self.group.launch_daemon(path)

    async def restart_daemon(self, index: int) -> int:
        """Stop a daemon gracefully, start it again; return its exit code."""
        old = self.daemons[index]
        addresses = {key: address_of(old.ready[key]) for key in ("http", "peer")}
        code = await asyncio.to_thread(old.terminate, READY_LIMIT_S)
        new = self._launch_daemon(index, addresses)
        await asyncio.to_thread(new.wait_ready)
        self.daemons[index] = new
        await self.wait_until_ready(new.url)
        return code

    async def wait_until_ready(self, url: str) -> None:
        """Wait until an entry is ready.

        Raises
        ------
        SiteFailed
            If it is not in time.
        """
        deadline_s = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < deadline_s:
            with suppress(AiosonicError, OSError, EOFError):
                answer = await self.http.get(url + "/readyz")
                await answer.content()
                if answer.status_code == 200:
                    return
            await asyncio.sleep(POLL_S)
        tails = [daemon.stderr_tail(5) for daemon in self.daemons]
        raise SiteFailed(f"{url} is not ready: {tails}")

    async def call(
        self,
        process: Process,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Call a stand-in and return the decoded answer."""
        data = None if body is None else json.dumps(body).encode()
        answer = await self.http.request(process.url + path, method, headers, data=data)
        content = json.loads(await answer.content())
        if answer.status_code >= 400:
            raise SiteFailed(f"{method} {path}: {answer.status_code} {content}")
        return content

    async def put_object(self, path: str, value: Any) -> None:
        """Write a new object into the platform."""
        assert self.platform is not None
        body = {"change_id": f"bench-{path}", "value": value}
        headers = {"If-None-Match": "*"}
        await self.call(self.platform, "PUT", f"/objects/{path}", body, headers)

    async def set_faults(self, process: Process, **faults: Any) -> None:
        """Set the faults of a stand-in."""
        await self.call(process, "POST", "/control/faults", faults)

    async def kill_engine(self, index: int) -> None:
        """Keep the engine's log and kill it."""
        engine = self.engines[index]
        self.saved_logs[index] = await self.call(engine, "GET", "/control/log")
        await asyncio.to_thread(engine.kill)

    async def unfinished_steps(self) -> list[str]:
        """Return what is known about steps that are not whole."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        lines = []
        for daemon in self.daemons:
            if not daemon.running:
                lines.append(f"{daemon.name} does not run: {daemon.stderr_tail(3)}")
        running = [daemon for daemon in self.daemons if daemon.running]
        with suppress(AiosonicError, OSError, EOFError, SiteFailed):
            shown = await self.call(running[0], "GET", "/v1/jobs", None, headers)
            lines.append(f"jobs: {json.dumps(shown)[:1500]}")
        return lines

    async def engine_logs(self) -> list[Any]:
        """Return the logs of all engines, killed ones too."""
        logs = []
        for index, engine in enumerate(self.engines):
            if index in self.saved_logs:
                logs.append(self.saved_logs[index])
                continue
            logs.append(await self.call(engine, "GET", "/control/log"))
        return logs


def vm_id(index: int) -> str:
    """Return the identifier of a daemon's VM."""
    return f"vm-{index + 1}"


def team_settings(team: str, tokens: int = BUDGET_TOKENS) -> dict[str, Any]:
    """Return the settings of a team with a bound of tokens."""
    return {
        "team": team,
        "token_hashes": [hash_token(token_of(team))],
        "budget": {"tokens_per_period": tokens, "period_s": BUDGET_PERIOD_S},
        "models": [MODEL],
        "services": ["booking", "scorer"],
        "policies": [{"model": MODEL, "max_staleness_versions": 1}],
    }


def address_of(text: str) -> dict[str, Any]:
    """Return the settings of an address such as ``127.0.0.1:80``."""
    host, _, port = text.rpartition(":")
    return {"host": host, "port": int(port)}
