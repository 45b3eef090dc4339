"""bench.soak: load and seeded faults on real processes, then an audit from outside."""

import asyncio
import json
import os
import sys
import time
from collections import Counter
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any, Protocol

import click

from bench.audit import Audit, audit
from bench.audit_log import AppliedOrder, ServiceRun, SoakLog
from bench.clients import OperatorClient
from bench.deployment import (
    MODEL,
    Deployment,
    DeploymentPlan,
    EnginePlan,
    ServicePlan,
    send_json,
)
from bench.soak_callers import PlainCallLoad, StreamLoad
from bench.soak_faults import engine_runs
from bench.soak_fleet import TEAM, TEAM_PATH, Fleet
from bench.soak_operators import OperatorLoad, SettingsWatch
from bench.soak_schedule import FaultRunner
from bench.soak_trainer import TrainerLoad
from greengagetack.world import Address
from standins.processes import ProcessGroup
from standins.proxy import Relay

__all__ = ["PLAN", "Soak", "SoakDeployment", "main"]

DEFAULT_DURATION_S = 120.0
READY_TIMEOUT_S = 30.0
FINISH_TIMEOUT_S = 120.0
SETTLE_S = 3.0
VERSION_INTERVAL_S = 7.0
MAX_BREACHES_SHOWN = 40
TRAINERS = ("fault-notes", "route-edits")
STREAM_CALLERS = 3
PLAIN_CALLERS = 3
OPERATORS = 2
ENGINE_OPTIONS = ("--time-scale", "3")
PLAN = DeploymentPlan(
    daemon_zones=("zone-a", "zone-b", "zone-c", "zone-a"),
    engines=(
        EnginePlan("zone-a", "checked", 8, ENGINE_OPTIONS),
        EnginePlan("zone-b", "checked", 8, ENGINE_OPTIONS),
        EnginePlan("zone-c", "ignored", 8, ENGINE_OPTIONS),
    ),
    services=(ServicePlan("zone-a"),),
    team_names=(TEAM,),
)


class Load(Protocol):
    """A part of the load."""

    async def run(self) -> None:
        """Work until the soak ends."""


class SoakDeployment(Deployment):
    """A deployment whose first engine and service stand behind relays."""

    relay_urls: dict[str, str]

    def fleet_settings(self) -> dict[str, Any]:
        """Return the fleet's settings with the relays' addresses."""
        settings = super().fleet_settings()
        for endpoint in settings["endpoints"]:
            url = self.relay_urls.get(endpoint["endpoint_id"])
            endpoint["url"] = url or endpoint["url"]
        return settings


class Soak:
    """One run: load, faults, and the log for the audit.

    With `chosen` just the faults of these names are run, all at once.
    """

    def __init__(
        self,
        deployment: SoakDeployment,
        seed: int,
        duration_s: float,
        chosen: tuple[str, ...] = (),
    ) -> None:
        self._deployment = deployment
        self._seed = seed
        self._duration_s = duration_s
        self._chosen = chosen
        self._start_s = time.monotonic()
        self.log = SoakLog()
        self.faults: list[str] = []
        self.steps = 0

    def say(self, text: str) -> None:
        """Print one line of progress."""
        click.echo(f"{time.monotonic() - self._start_s:6.1f} s  {text}")

    async def run(self) -> None:
        """Start everything, run load and faults, and collect the logs."""
        deployment = self._deployment
        relays = await self._start_relays()
        await asyncio.to_thread(deployment.write_settings)
        await asyncio.to_thread(deployment.start_daemons)
        await self._wait_until_ready()
        self.say("all daemons are ready; load and faults begin")
        fleet = Fleet(deployment, self.log, self._seed)
        trainers = [TrainerLoad(fleet, job) for job in TRAINERS]
        streams = [StreamLoad(fleet, number) for number in range(STREAM_CALLERS)]
        calls = [PlainCallLoad(fleet, number) for number in range(PLAIN_CALLERS)]
        operators = [OperatorLoad(fleet, number) for number in range(OPERATORS)]
        watches = [SettingsWatch(fleet, vm_id) for vm_id in deployment.daemons]
        parts: list[Load] = [*trainers, *streams, *calls, *operators, *watches]
        tasks = [asyncio.create_task(part.run()) for part in parts]
        tasks.append(asyncio.create_task(self._publish_versions(fleet)))
        runner = FaultRunner(fleet, relays, self._seed)
        if self._chosen:
            await runner.run_chosen(self._chosen, self.say)
        else:
            await runner.run(self._duration_s, self.say)
        self.faults = runner.names
        self.say("faults are over; the load ends")
        await asyncio.sleep(SETTLE_S)
        fleet.ending.set()
        await self._finish(tasks)
        self.steps = sum(trainer.steps for trainer in trainers)
        for watch in watches:
            self.log.settings_at_end.extend(await watch.look())
        await asyncio.to_thread(self._collect)
        for relay in relays.values():
            await relay.close()

    async def _start_relays(self) -> dict[str, Relay]:
        deployment = self._deployment
        relays: dict[str, Relay] = {}
        deployment.relay_urls = {}
        for name, process in (
            ("engine-1", deployment.engines["engine-1"]),
            ("booking-1", deployment.services["booking-1"]),
        ):
            host, _, port = process.url.removeprefix("http://").partition(":")
            relay = Relay(Address(host, int(port)))
            address = await relay.start()
            relays[name] = relay
            deployment.relay_urls[name] = f"http://{address}"
        return relays

    async def _wait_until_ready(self) -> None:
        operator = OperatorClient(self._deployment)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                if await operator.ready_daemons() == len(self._deployment.daemons):
                    return
                await asyncio.sleep(0.1)

    async def _publish_versions(self, fleet: Fleet) -> None:
        """Bring out a version of the weights now and then, until the load ends."""
        while not fleet.ending.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(VERSION_INTERVAL_S):
                    await fleet.ending.wait()
                    return
            await self._publish(fleet, fleet.version + 1)

    async def _publish(self, fleet: Fleet, version: int) -> None:
        """Announce a version, or order it where announcements are not served."""
        deployment = self._deployment
        for entry in deployment.entries():
            path = f"{entry}/v1/models/{MODEL}/versions"
            headers = deployment.team_headers(TEAM)
            answer = await fleet.send(path, "POST", headers, {"version": version})
            if answer.status in (200, 201, 202):
                fleet.version = version
                return
            if answer.status in (404, 405):
                break
        else:
            return
        for process in deployment.engines.values():
            for kind in ("prefetch", "activate"):
                order = {"kind": kind, "model": MODEL, "version": version}
                await fleet.send(f"{process.url}/orders", "POST", {}, order)
        fleet.version = version

    async def _finish(self, tasks: Sequence[asyncio.Task[None]]) -> None:
        _, pending = await asyncio.wait(tasks, timeout=FINISH_TIMEOUT_S)
        if pending:
            self.say(f"{len(pending)} parts of the load did not come to an end")
        for task in pending:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                self.say(f"a part of the load ended with {result!r}")

    def _collect(self) -> None:
        """Read the stand-ins' own logs."""
        deployment = self._deployment
        log = self.log
        for name, process in deployment.engines.items():
            log.engine_runs.extend(engine_runs(name, process))
            records = send_json(f"{process.url}/control/log")["orders"]
            log.orders.extend(
                AppliedOrder(name, record["order"]["fencing_number"])
                for record in records
                if record["applied"] and record["order"]["fencing_number"]
            )
        for name, process in deployment.services.items():
            log.service_runs.extend(
                ServiceRun(name, run["request_id"], run["idempotency_key"])
                for run in send_json(f"{process.url}/control/log")["runs"]
                if run["method"] == "POST"
            )
        url = f"{deployment.platform.url}/control/history/settings{TEAM_PATH}"
        for write in send_json(url)["writes"]:
            weight = write["value"]["settings"].get("weight", 0.0)
            key = (TEAM_PATH, write["version"])
            log.written_settings[key] = f"{weight:.4f}"


def show(soak: Soak, found: Audit, seed: int) -> None:
    """Print counts, faults and breaches, and one JSON line at the end."""
    click.echo()
    for name, count in found.counts.items():
        click.echo(f"  {name:<32}{count:>8,}")
    click.echo()
    for name, count in sorted(Counter(soak.faults).items()):
        click.echo(f"  fault: {name:<32}{count:>4}")
    click.echo()
    for breach in found.breaches[:MAX_BREACHES_SHOWN]:
        click.echo(f"BREACH  {breach.kind}: {breach.detail}")
    summary = {
        "seed": seed,
        "steps": soak.steps,
        "faults": len(soak.faults),
        **found.counts,
        "breaches": len(found.breaches),
        "kinds": sorted({breach.kind for breach in found.breaches}),
        "ok": not found.breaches,
    }
    click.echo(json.dumps(summary))


@click.command()
@click.option("--seed", default=int(os.environ.get("SEED", "1")))
@click.option(
    "--duration-s", default=float(os.environ.get("DURATION_S", DEFAULT_DURATION_S))
)
@click.option("--keep-logs", default="", help="Folder for the processes' output.")
def main(seed: int, duration_s: float, keep_logs: str) -> None:
    """Run the soak; exit code 0 only without a breach."""
    folder = Path(keep_logs) if keep_logs else None
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
    with ProcessGroup(folder) as group:
        deployment = SoakDeployment(PLAN, group)
        deployment.start_stand_ins()
        soak = Soak(deployment, seed, duration_s)
        asyncio.run(soak.run())
    found = audit(soak.log)
    show(soak, found, seed)
    sys.exit(1 if found.breaches else 0)


if __name__ == "__main__":
    main()
