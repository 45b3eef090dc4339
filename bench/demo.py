"""bench.demo: runs a complete deployment under load and checks its promises."""

import asyncio
import json
import sys
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass

import click

from bench.clients import CallerClient, OperatorClient
from bench.deployment import (
    MODEL,
    SCORER,
    SERVICE,
    Deployment,
    DeploymentPlan,
    EnginePlan,
    ServicePlan,
    send_json,
)
from greengagetack.rollouts.client import RolloutClient, StepRequest
from greengagetack.rollouts.messages import FinishedGroup
from standins.processes import Process, ProcessGroup
from standins.tokens import answer_text

__all__ = ["main"]

TEAM = "kestrelmoor"
JOB = "fault-notes"
GROUPS = 16
SAMPLES_PER_GROUP = 4
MAX_TOKENS = 192
KILL_AFTER_GROUPS = 4
TRAIN_S_PER_GROUP = 0.05
READY_TIMEOUT_S = 30.0
CALLER_PAUSE_S = 0.2
SEED_FACTOR = 1_000_003
SEED_PER_GROUP = 1_000
VISIT_KEY = "visit-7"
PLAN = DeploymentPlan(
    daemon_zones=("zone-a", "zone-b", "zone-c"),
    engines=(
        EnginePlan("zone-a", "checked", 6),
        EnginePlan("zone-b", "checked", 6),
        EnginePlan("zone-c", "ignored", 6),
    ),
    services=(ServicePlan("zone-a"),),
)


@dataclass(frozen=True, slots=True)
class Summary:
    """The results of the demonstration, printed as JSON in its last line."""

    samples_asked: int
    delivered: int
    doubled: int
    missing: int
    stale: int
    torn: int
    trainer_idle_share: float
    callers_answered: int
    callers_failed: int
    keyed_runs: int
    setting_in_force_everywhere: bool
    killed_daemon: str
    ok: bool


class Progress:
    """Prints progress lines with the seconds since the start."""

    def __init__(self) -> None:
        self._start_s = time.monotonic()

    def report(self, text: str) -> None:
        """Print one line of progress."""
        elapsed_s = time.monotonic() - self._start_s
        click.echo(f"{elapsed_s:6.1f} s  {text}")


def _prompt(group_id: int) -> str:
    return f"Summarise fault {group_id} of the kiosk at the bus stop."


def _seed(group_id: int, index: int) -> int:
    return SEED_FACTOR + group_id * SEED_PER_GROUP + index


class Trainer:
    """Fetches one step and trains on each group as it arrives."""

    def __init__(self, client: RolloutClient) -> None:
        self._client = client
        self.seen: Counter[tuple[int, int]] = Counter()
        self.stale = 0
        self.torn = 0
        self.unscored = 0
        self.idle_s = 0.0
        self.total_s = 0.0
        self.groups = 0
        self.reached_kill_point = asyncio.Event()

    async def run(self, version: int) -> None:
        """Create the step and fetch all of its groups."""
        groups = [
            {"group_id": number, "prompt": _prompt(number)} for number in range(GROUPS)
        ]
        step = StepRequest(
            JOB,
            1,
            {
                "model": MODEL,
                "trainer_version": version,
                "max_staleness_versions": 1,
                "groups": groups,
                "samples_per_group": SAMPLES_PER_GROUP,
                "max_tokens": MAX_TOKENS,
                "seed": 1,
                "scorer": SCORER,
            },
        )
        started_s = time.monotonic()
        await self._client.create_step(step)
        waiting_since_s = time.monotonic()
        async for group in self._client.fetch_step(step, version):
            self.idle_s += time.monotonic() - waiting_since_s
            self._check_group(group, version)
            await asyncio.sleep(TRAIN_S_PER_GROUP)
            waiting_since_s = time.monotonic()
        self.total_s = time.monotonic() - started_s

    def _check_group(self, group: FinishedGroup, version: int) -> None:
        self.groups += 1
        if self.groups == KILL_AFTER_GROUPS:
            self.reached_kill_point.set()
        for sample in group.samples:
            self.seen[(sample.group_id, sample.index)] += 1
            oldest = min(part.version for part in sample.versions)
            self.stale += int(oldest < version - 1)
            self.unscored += int(sample.score is None)
            seed = _seed(sample.group_id, sample.index)
            expected = answer_text(_prompt(sample.group_id), seed, MAX_TOKENS)
            self.torn += int(sample.text != expected)


class Callers:
    """A caller that streams completions and repeats a booking under one key."""

    def __init__(self, client: CallerClient) -> None:
        self._client = client
        self.answered = 0
        self.failed = 0
        self.bookings: set[str] = set()

    async def run(self, stop: asyncio.Event) -> None:
        """Send calls until `stop` is set and check every answer."""
        number = 0
        while not stop.is_set():
            number += 1
            prompt = f"Where is the nearest kiosk {number}? [len=24]"
            text = await self._client.stream_completion(MODEL, prompt, 32, number)
            self._count(text == answer_text(prompt, number, 32))
            booking = await self._client.book(SERVICE, "box-7", VISIT_KEY)
            self._count(bool(booking))
            if booking:
                self.bookings.add(booking)
            await asyncio.sleep(CALLER_PAUSE_S)

    def _count(self, is_correct: bool) -> None:
        self.answered += int(is_correct)
        self.failed += int(not is_correct)


async def _wait_until_ready(operator: OperatorClient, daemons: int) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            if await operator.ready_daemons() == daemons:
                return
            await asyncio.sleep(0.1)


async def _run_scenario(deployment: Deployment, progress: Progress) -> Summary:
    operator = OperatorClient(deployment)
    progress.report("waiting for settings and membership on every daemon")
    await _wait_until_ready(operator, len(deployment.daemons))
    client = RolloutClient(deployment.entries(), deployment.teams[TEAM].token)
    trainer = Trainer(client)
    caller_client = CallerClient(deployment, TEAM)
    callers = Callers(caller_client)
    stop = asyncio.Event()
    progress.report(f"a trainer posts {GROUPS} groups of {SAMPLES_PER_GROUP} samples")
    caller_task = asyncio.create_task(callers.run(stop))
    trainer_task = asyncio.create_task(trainer.run(1))
    await asyncio.wait(
        (asyncio.create_task(trainer.reached_kill_point.wait()), trainer_task),
        return_when=asyncio.FIRST_COMPLETED,
    )
    killed_vm_id = await _kill_owner(deployment, operator, progress)
    progress.report("an operator raises the team's weight")
    version = await operator.change_team_weight(TEAM, 2.0)
    in_force = await operator.wait_in_force(f"/teams/{TEAM}", version)
    progress.report(f"version {version} of /teams/{TEAM} is in force everywhere")
    await trainer_task
    progress.report("all groups of the step have been delivered")
    stop.set()
    await caller_task
    for used in (client, caller_client, operator):
        await used.close()
    return _summarise(deployment, trainer, callers, killed_vm_id, in_force)


async def _kill_owner(
    deployment: Deployment, operator: OperatorClient, progress: Progress
) -> str:
    killed_vm_id = await operator.owner_of(JOB)
    progress.report(f"SIGKILL to {killed_vm_id}, which owns the job")
    deployment.daemons[killed_vm_id].kill()
    return killed_vm_id


def _summarise(
    deployment: Deployment,
    trainer: Trainer,
    callers: Callers,
    killed_vm_id: str,
    in_force: bool,
) -> Summary:
    asked = GROUPS * SAMPLES_PER_GROUP
    doubled = sum(count - 1 for count in trainer.seen.values())
    missing = asked - len(trainer.seen)
    runs = _keyed_runs(deployment.services.values())
    violations = trainer.stale + trainer.torn + trainer.unscored + callers.failed
    ok = doubled + missing + violations == 0 and runs == 1 and in_force
    return Summary(
        samples_asked=asked,
        delivered=sum(trainer.seen.values()),
        doubled=doubled,
        missing=missing,
        stale=trainer.stale,
        torn=trainer.torn,
        trainer_idle_share=round(trainer.idle_s / trainer.total_s, 3),
        callers_answered=callers.answered,
        callers_failed=callers.failed,
        keyed_runs=runs,
        setting_in_force_everywhere=in_force,
        killed_daemon=killed_vm_id,
        ok=ok and len(callers.bookings) == 1,
    )


def _keyed_runs(services: Iterable[Process]) -> int:
    runs = 0
    for process in services:
        log = send_json(f"{process.url}/control/log")
        for run in log["runs"]:
            runs += int(run["idempotency_key"] == VISIT_KEY)
    return runs


def _print_table(summary: Summary) -> None:
    rows = {
        "samples asked": summary.samples_asked,
        "delivered, each whole and scored": summary.delivered,
        "doubled": summary.doubled,
        "missing": summary.missing,
        "beyond the staleness bound": summary.stale,
        "with a wrong text": summary.torn,
        "share of time the trainer waited": f"{summary.trainer_idle_share:.0%}",
        "caller answers, complete": summary.callers_answered,
        "caller answers, failed": summary.callers_failed,
        "runs of the keyed call": summary.keyed_runs,
        "setting in force everywhere": summary.setting_in_force_everywhere,
        "daemon killed meanwhile": summary.killed_daemon,
    }
    click.echo()
    for name, value in rows.items():
        click.echo(f"  {name:<36}{value!s:>10}")
    click.echo()


def main() -> int:
    """Run the demonstration; return 0 if all checked promises held, otherwise 1."""
    progress = Progress()
    with ProcessGroup() as group:
        progress.report("starting a platform, three engines, a service and a scorer")
        deployment = Deployment(PLAN, group)
        deployment.start_stand_ins()
        deployment.write_settings()
        progress.report("starting three daemons in three availability zones")
        deployment.start_daemons()
        summary = asyncio.run(_run_scenario(deployment, progress))
    _print_table(summary)
    click.echo(json.dumps(asdict(summary)))
    return 0 if summary.ok else 1


if __name__ == "__main__":
    sys.exit(main())
