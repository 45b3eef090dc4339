"""bench.testbed: a deployment of stand-ins and daemons for one measured round."""

import asyncio
import json
import time
from contextlib import suppress
from typing import Any

import aiosonic
from aiosonic.exceptions import AiosonicError

from bench.deployment import (
    MODEL,
    Deployment,
    DeploymentPlan,
    EnginePlan,
    ServicePlan,
)
from bench.shapes import ENGINE, Shape
from bench.workload import CALLER_TEAM, TRAINER_TEAMS
from standins.processes import Process, ProcessGroup

__all__ = ["BUDGET_TOKENS", "FLOOD_TEAM", "Testbed", "TestbedFailed"]

FLOOD_TEAM = "flood"
MEASURED_TEAMS = (*TRAINER_TEAMS, CALLER_TEAM)
READY_TIMEOUT_S = 40.0
POLL_S = 0.05
BUDGET_PERIOD_S = 3_600.0
BUDGET_TOKENS = 100_000_000


class TestbedFailed(Exception):
    """The deployment did not become ready or a stand-in refused a call."""


class Testbed:
    """A deployment of a given shape, with access to the controls of its stand-ins.

    Parameters
    ----------
    group : ProcessGroup
        Ends all processes when its context exits.
    policy : str
        Routing policy in the fleet's settings.
    flood_tokens : int
        Token budget of the flooding team per period.
    engine_options : tuple of str
        Additional options of the engine stand-ins.

    Attributes
    ----------
    saved_logs : dict of str to dict
        Logs of killed engines by endpoint identifier.
    """

    def __init__(
        self,
        group: ProcessGroup,
        shape: Shape,
        policy: str,
        flood_tokens: int = BUDGET_TOKENS,
        engine_options: tuple[str, ...] = (),
    ) -> None:
        self.shape = shape
        self.policy = policy
        self.saved_logs: dict[str, Any] = {}
        self.http = aiosonic.HTTPClient()
        plan = make_plan(shape, policy, flood_tokens, engine_options)
        self.deployment = Deployment(plan, group)

    @property
    def daemons(self) -> list[Process]:
        """The daemons in the order of their VMs."""
        return list(self.deployment.daemons.values())

    @property
    def engines(self) -> list[Process]:
        """The engines in the order of their numbers."""
        return list(self.deployment.engines.values())

    @property
    def entries(self) -> tuple[str, ...]:
        """Base URLs of the daemons."""
        return tuple(daemon.url for daemon in self.daemons)

    @property
    def operator_token(self) -> str:
        """Bearer token of an operator."""
        return self.deployment.operator.token

    def token_of(self, team: str) -> str:
        """Return the bearer token of a team."""
        return self.deployment.teams[team].token

    async def start(self) -> None:
        """Start everything and wait until all entries serve all teams.

        Raises
        ------
        TestbedFailed
            If an entry does not serve a team in time.
        """
        await asyncio.to_thread(self.deployment.start)
        await asyncio.gather(*(self.wait_until_ready(url) for url in self.entries))
        teams = self.deployment.plan.team_names
        pairs = [(url, team) for url in self.entries for team in teams]
        await asyncio.gather(*(self._warm_up(url, team) for url, team in pairs))

    async def _warm_up(self, url: str, team: str) -> None:
        """Repeat a one-token completion until the entry answers it for the team."""
        headers = {
            "Authorization": f"Bearer {self.token_of(team)}",
            "Content-Type": "application/json",
        }
        body = {"model": MODEL, "prompt": "warm-up [len=1]", "max_tokens": 1}
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            answer = await self.http.post(
                url + "/v1/completions", headers=headers, data=json.dumps(body)
            )
            await answer.content()
            if answer.status_code == 200:
                return
            await asyncio.sleep(POLL_S)
        raise TestbedFailed(f"{url} does not serve team {team} in time")

    async def restart_daemon(self, vm_id: str) -> int:
        """Stop a daemon gracefully and restart it; return its exit code."""
        old = self.deployment.daemons[vm_id]
        self.deployment.keep_addresses(vm_id)
        code = await asyncio.to_thread(old.terminate, READY_TIMEOUT_S)
        new = await asyncio.to_thread(self.deployment.restart_daemon, vm_id)
        await self.wait_until_ready(new.url)
        return code

    async def wait_until_ready(self, url: str) -> None:
        """Wait until an entry is ready.

        Raises
        ------
        TestbedFailed
            If the entry does not become ready in time.
        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with suppress(AiosonicError, OSError, EOFError):
                answer = await self.http.get(url + "/readyz")
                await answer.content()
                if answer.status_code == 200:
                    return
            await asyncio.sleep(POLL_S)
        tails = [daemon.stderr_tail(5) for daemon in self.daemons]
        raise TestbedFailed(f"{url} did not become ready: {tails}")

    async def call(
        self,
        process: Process,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Send a request to a process and return the decoded JSON answer."""
        data = None if body is None else json.dumps(body).encode()
        answer = await self.http.request(process.url + path, method, headers, data=data)
        content = json.loads(await answer.content())
        if answer.status_code >= 400:
            raise TestbedFailed(f"{method} {path}: {answer.status_code} {content}")
        return content

    async def set_faults(self, process: Process, **faults: Any) -> None:
        """Replace the faults of a stand-in."""
        await self.call(process, "POST", "/control/faults", faults)

    async def kill_engine(self, endpoint_id: str) -> None:
        """Save an engine's log and kill the engine."""
        engine = self.deployment.engines[endpoint_id]
        log = await self.call(engine, "GET", "/control/log")
        self.saved_logs[endpoint_id] = log
        await asyncio.to_thread(engine.kill)

    async def describe_unfinished_steps(self) -> list[str]:
        """Return lines that describe stopped daemons and the jobs."""
        headers = {"Authorization": f"Bearer {self.operator_token}"}
        lines = []
        for daemon in self.daemons:
            if not daemon.running:
                lines.append(f"{daemon.name} is not running: {daemon.stderr_tail(3)}")
        running = [daemon for daemon in self.daemons if daemon.running]
        with suppress(AiosonicError, OSError, EOFError, TestbedFailed):
            jobs = await self.call(running[0], "GET", "/v1/jobs", None, headers)
            lines.append(f"jobs: {json.dumps(jobs)[:1500]}")
        return lines

    async def engine_logs(self) -> list[Any]:
        """Return the logs of all engines, including killed ones."""
        logs = []
        for endpoint_id, engine in self.deployment.engines.items():
            if endpoint_id in self.saved_logs:
                logs.append(self.saved_logs[endpoint_id])
                continue
            logs.append(await self.call(engine, "GET", "/control/log"))
        return logs


def make_plan(
    shape: Shape, policy: str, flood_tokens: int, engine_options: tuple[str, ...]
) -> DeploymentPlan:
    """Return the deployment plan for a shape, including its latencies."""
    latency = f"--latency-s={shape.zone_latency_s}"
    engines = []
    for index in range(shape.engines):
        options = (latency, f"--seed={index}", *ENGINE.options(), *engine_options)
        zone = shape.zone_of(index)
        engines.append(EnginePlan(zone, slots=ENGINE.slots, options=options))
    services = [
        ServicePlan(shape.zone_of(index), (latency,)) for index in range(shape.services)
    ]
    teams = {team: team_settings(BUDGET_TOKENS) for team in MEASURED_TEAMS}
    teams[FLOOD_TEAM] = team_settings(flood_tokens)
    return DeploymentPlan(
        daemon_zones=tuple(shape.zone_of(index) for index in range(shape.daemons)),
        engines=tuple(engines),
        services=tuple(services),
        team_names=tuple(teams),
        fleet={"routing": {"policy": policy}},
        teams=teams,
        platform_options=(latency, "--vm-lag-s=1", "--weights-per-s=50"),
        scorer_options=(latency,),
        log_level="WARNING",
    )


def team_settings(tokens: int) -> dict[str, Any]:
    """Return the settings overrides of a team with a token budget."""
    return {
        "budget": {"tokens_per_period": tokens, "period_s": BUDGET_PERIOD_S},
        "policies": [{"model": MODEL, "max_staleness_versions": 1}],
    }
