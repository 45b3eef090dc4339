"""bench.soak: runs load and seeded faults on real processes, then audits the logs."""

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
PUBLISH_INTERVAL_S = 7.0
MAX_BREACHES_SHOWN = 40
TRAINER_JOBS = ("fault-notes", "route-edits")
STREAM_CALLER_COUNT = 3
PLAIN_CALLER_COUNT = 3
OPERATOR_COUNT = 2
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


class LoadGenerator(Protocol):
    """One source of load or observation."""

    async def run(self) -> None:
        """Run until the soak ends."""


class SoakDeployment(Deployment):
    """A deployment whose first engine and first service are reached through relays."""

    relay_urls: dict[str, str]

    def fleet_settings(self) -> dict[str, Any]:
        """Return the fleet's settings with the addresses of the relays."""
        settings = super().fleet_settings()
        for endpoint in settings["endpoints"]:
            url = self.relay_urls.get(endpoint["endpoint_id"])
            endpoint["url"] = url or endpoint["url"]
        return settings


class Soak:
    """One run: generates load, injects faults and collects the log for the audit.

    If `fault_names` is given, exactly these faults run, all at the same time,
    instead of the seeded schedule.
    """

    def __init__(
        self,
        deployment: SoakDeployment,
        seed: int,
        duration_s: float,
        fault_names: tuple[str, ...] = (),
    ) -> None:
        self._deployment = deployment
        self._seed = seed
        self._duration_s = duration_s
        self._fault_names = fault_names
        self._start_s = time.monotonic()
        self.log = SoakLog()
        self.faults: list[str] = []
        self.steps = 0

    def print_progress(self, text: str) -> None:
        """Print a line with the seconds since the start."""
        click.echo(f"{time.monotonic() - self._start_s:6.1f} s  {text}")

    async def run(self) -> None:
        """Start the deployment, run load and faults, and collect the logs."""
        deployment = self._deployment
        relays = await self._start_relays()
        await asyncio.to_thread(deployment.write_settings)
        await asyncio.to_thread(deployment.start_daemons)
        await self._wait_until_ready()
        self.print_progress("all daemons are ready; starting load and faults")
        fleet = Fleet(deployment, self.log, self._seed)
        trainers = [TrainerLoad(fleet, job) for job in TRAINER_JOBS]
        streams = [StreamLoad(fleet, number) for number in range(STREAM_CALLER_COUNT)]
        calls = [PlainCallLoad(fleet, number) for number in range(PLAIN_CALLER_COUNT)]
        operators = [OperatorLoad(fleet, number) for number in range(OPERATOR_COUNT)]
        watches = [SettingsWatch(fleet, vm_id) for vm_id in deployment.daemons]
        generators: list[LoadGenerator] = [
            *trainers,
            *streams,
            *calls,
            *operators,
            *watches,
        ]
        tasks = [asyncio.create_task(generator.run()) for generator in generators]
        tasks.append(asyncio.create_task(self._publish_versions(fleet)))
        runner = FaultRunner(fleet, relays, self._seed)
        if self._fault_names:
            await runner.run_named(self._fault_names, self.print_progress)
        else:
            await runner.run(self._duration_s, self.print_progress)
        self.faults = runner.names
        self.print_progress("all faults have ended; stopping the load")
        await asyncio.sleep(SETTLE_S)
        fleet.stopping.set()
        await self._finish_load(tasks)
        self.steps = sum(trainer.steps for trainer in trainers)
        for watch in watches:
            self.log.settings_at_end.extend(await watch.read_versions())
        await asyncio.to_thread(self._collect_logs)
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
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while True:
                    if await operator.ready_daemons() == len(self._deployment.daemons):
                        return
                    await asyncio.sleep(0.1)
        finally:
            await operator.close()

    async def _publish_versions(self, fleet: Fleet) -> None:
        """Publish a new weight version periodically until the load ends."""
        while not fleet.stopping.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(PUBLISH_INTERVAL_S):
                    await fleet.stopping.wait()
                    return
            await self._publish(fleet, fleet.weight_version + 1)

    async def _publish(self, fleet: Fleet, version: int) -> None:
        """Announce a weight version, or order it from the engines.

        The orders are sent if the daemons do not serve announcements.
        """
        deployment = self._deployment
        for entry in deployment.entries():
            path = f"{entry}/v1/models/{MODEL}/versions"
            headers = deployment.team_headers(TEAM)
            answer = await fleet.send(path, "POST", headers, {"version": version})
            if answer.status in (200, 201, 202):
                fleet.weight_version = version
                return
            if answer.status in (404, 405):
                break
        else:
            return
        for process in deployment.engines.values():
            for kind in ("prefetch", "activate"):
                order = {"kind": kind, "model": MODEL, "version": version}
                await fleet.send(f"{process.url}/orders", "POST", {}, order)
        fleet.weight_version = version

    async def _finish_load(self, tasks: Sequence[asyncio.Task[None]]) -> None:
        _, pending = await asyncio.wait(tasks, timeout=FINISH_TIMEOUT_S)
        if pending:
            self.print_progress(
                f"{len(pending)} load generators did not finish in time"
            )
        for task in pending:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                self.print_progress(f"a load generator failed with {result!r}")

    def _collect_logs(self) -> None:
        """Copy the logs of the stand-ins into the soak log."""
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


def print_summary(soak: Soak, result: Audit, seed: int) -> None:
    """Print counts, faults and breaches, then one line of JSON."""
    click.echo()
    for name, count in result.counts.items():
        click.echo(f"  {name:<32}{count:>8,}")
    click.echo()
    for name, count in sorted(Counter(soak.faults).items()):
        click.echo(f"  fault: {name:<32}{count:>4}")
    click.echo()
    for breach in result.breaches[:MAX_BREACHES_SHOWN]:
        click.echo(f"BREACH  {breach.kind}: {breach.detail}")
    summary = {
        "seed": seed,
        "steps": soak.steps,
        "faults": len(soak.faults),
        **result.counts,
        "breaches": len(result.breaches),
        "kinds": sorted({breach.kind for breach in result.breaches}),
        "ok": not result.breaches,
    }
    click.echo(json.dumps(summary))


@click.command()
@click.option("--seed", default=int(os.environ.get("SEED", "1")))
@click.option(
    "--duration-s", default=float(os.environ.get("DURATION_S", DEFAULT_DURATION_S))
)
@click.option("--keep-logs", default="", help="Folder for the processes' output.")
def main(seed: int, duration_s: float, keep_logs: str) -> None:
    """Run the soak; the exit code is 0 if no breach was found, otherwise 1."""
    folder = Path(keep_logs) if keep_logs else None
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
    with ProcessGroup(folder) as group:
        deployment = SoakDeployment(PLAN, group)
        deployment.start_stand_ins()
        soak = Soak(deployment, seed, duration_s)
        asyncio.run(soak.run())
    result = audit(soak.log)
    print_summary(soak, result, seed)
    sys.exit(1 if result.breaches else 0)


if __name__ == "__main__":
    main()
