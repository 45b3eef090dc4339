"""bench.capacity.data_path: a daemon's cost of requests, tokens, endpoints and steps.

One daemon runs as a separate process, alone in its cell, in front of stand-ins. Its
processor time and memory are read from outside. ``python -m bench.capacity.data_path``
prints the measured points, the fitted lines and the predictions.
"""

import asyncio
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import aiosonic
import click
import psutil

from bench.capacity.fit import Series
from bench.clients import OperatorClient, send
from bench.deployment import MODEL, Deployment, DeploymentPlan, EnginePlan, ServicePlan
from greengagetack.rollouts.client import RolloutClient, StepRequest
from standins.processes import ProcessGroup

__all__ = ["main"]

ZONE = "zone-a"
TEAM = "kestrelmoor"
TOKEN_SIZES = (16, 64, 256, 1_024)
ENDPOINT_SIZES = (4, 8, 16, 32)
GROUP_SIZES = (16, 32, 64, 128)
REQUESTS = 96
CONCURRENCY = 16
SAMPLES_PER_GROUP = 4
SAMPLE_TOKENS = 16
IDLE_S = 10.0
READY_TIMEOUT_S = 60.0
FAST_ENGINE = (
    "--time-scale",
    "20",
    "--max-waiting",
    "100000",
)
MILLISECONDS_PER_SECOND = 1_000.0
BYTES_PER_KB = 1_024.0


@dataclass(frozen=True, slots=True)
class Cost:
    """The cost of a piece of work for a daemon."""

    processor_ms: float
    resident_kb: float
    duration_s: float


class SingleDaemonDeployment(Deployment):
    """A deployment of one daemon whose settings list one engine several times."""

    endpoint_count = 1

    def fleet_settings(self) -> dict[str, Any]:
        """Return settings with `endpoint_count` engines at the same address."""
        settings = super().fleet_settings()
        engine = settings["endpoints"][0]
        for number in range(1, self.endpoint_count):
            copy = {**engine, "endpoint_id": f"copy-{number}", "vm_id": f"c-{number}"}
            settings["endpoints"].append(copy)
        return settings

    def process(self) -> psutil.Process:
        """Return the daemon's process."""
        return psutil.Process(self.daemons["vm-1"].pid)


def _cost(
    before: Any, process: psutil.Process, rss_before: int, start_s: float
) -> Cost:
    after = process.cpu_times()
    spent_s = after.user + after.system - before.user - before.system
    grown = process.memory_info().rss - rss_before
    return Cost(
        spent_s * MILLISECONDS_PER_SECOND,
        grown / BYTES_PER_KB,
        time.monotonic() - start_s,
    )


async def _measure(
    deployment: SingleDaemonDeployment, work: Callable[..., Any], *arguments: Any
) -> Cost:
    process = deployment.process()
    before = process.cpu_times()
    rss_before = process.memory_info().rss
    start_s = time.monotonic()
    await work(*arguments)
    return _cost(before, process, rss_before, start_s)


async def _wait_ready(deployment: SingleDaemonDeployment) -> None:
    operator = OperatorClient(deployment)
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                if await operator.ready_daemons() == 1:
                    return
                await asyncio.sleep(0.1)
    finally:
        await operator.close()


def _start(group: ProcessGroup, endpoints: int = 1) -> SingleDaemonDeployment:
    plan = DeploymentPlan(
        daemon_zones=(ZONE,),
        engines=(EnginePlan(ZONE, "checked", 64, FAST_ENGINE),),
        services=(ServicePlan(ZONE),),
        team_names=(TEAM,),
        log_level="WARNING",
    )
    deployment = SingleDaemonDeployment(plan, group)
    deployment.endpoint_count = endpoints
    deployment.start()
    return deployment


async def _stream_requests(deployment: SingleDaemonDeployment, tokens: int) -> None:
    http = aiosonic.HTTPClient()
    headers = deployment.team_headers(TEAM)
    url = deployment.entries()[0] + "/v1/completions"
    limiter = asyncio.Semaphore(CONCURRENCY)

    async def send_request(number: int) -> None:
        body = {
            "model": MODEL,
            "prompt": f"request {number} [len={tokens}]",
            "max_tokens": tokens,
            "stream": True,
        }
        async with limiter:
            answer = await send(http, url, "POST", headers, body)
        if answer.status != 200 or not answer.body.endswith(b"[DONE]\n\n"):
            raise RuntimeError(
                f"request failed: {answer.status} {answer.body[-200:]!r}"
            )

    await asyncio.gather(*(send_request(number) for number in range(REQUESTS)))


def measure_tokens() -> list[float]:
    """Return the processor time in ms of a streamed request, by number of tokens."""

    async def run(deployment: SingleDaemonDeployment) -> list[float]:
        await _wait_ready(deployment)
        await _stream_requests(deployment, TOKEN_SIZES[0])
        costs = []
        for tokens in TOKEN_SIZES:
            cost = await _measure(deployment, _stream_requests, deployment, tokens)
            costs.append(cost.processor_ms / REQUESTS)
        return costs

    with ProcessGroup() as group:
        return asyncio.run(run(_start(group)))


def measure_endpoints() -> list[Cost]:
    """Return the cost per second of an idle daemon, by number of endpoints."""

    async def run(deployment: SingleDaemonDeployment) -> Cost:
        await _wait_ready(deployment)
        await _stream_requests(deployment, TOKEN_SIZES[0])
        await asyncio.sleep(2.0)
        cost = await _measure(deployment, asyncio.sleep, IDLE_S)
        resident_kb = deployment.process().memory_info().rss / BYTES_PER_KB
        return Cost(cost.processor_ms / cost.duration_s, resident_kb, cost.duration_s)

    costs = []
    for endpoints in ENDPOINT_SIZES:
        with ProcessGroup() as group:
            costs.append(asyncio.run(run(_start(group, endpoints))))
    return costs


async def _run_step(
    deployment: SingleDaemonDeployment, number: int, groups: int
) -> None:
    client = RolloutClient(deployment.entries(), deployment.teams[TEAM].token)
    step = StepRequest(
        "capacity",
        number,
        {
            "model": MODEL,
            "trainer_version": 1,
            "groups": [
                {"group_id": index, "prompt": f"group {index} [len={SAMPLE_TOKENS}]"}
                for index in range(groups)
            ],
            "samples_per_group": SAMPLES_PER_GROUP,
            "max_tokens": SAMPLE_TOKENS,
        },
    )
    await client.create_step(step)
    async for _ in client.fetch_step(step, 1):
        continue
    await client.close()


def measure_groups() -> list[Cost]:
    """Return the cost of a step for the daemon that owns and runs it."""

    async def run(deployment: SingleDaemonDeployment) -> list[Cost]:
        await _wait_ready(deployment)
        await _run_step(deployment, 0, GROUP_SIZES[0])
        costs = []
        for number, groups in enumerate(GROUP_SIZES, 1):
            cost = await _measure(deployment, _run_step, deployment, number, groups)
            costs.append(cost)
        return costs

    with ProcessGroup() as group:
        return asyncio.run(run(_start(group)))


def print_series(
    name: str, unit: str, sizes: tuple[int, ...], values: list[float]
) -> None:
    """Print the points, line, residual and prediction for the largest size."""
    series = Series(name, unit, tuple(float(size) for size in sizes), tuple(values))
    smaller_line = series.without_largest().line()
    line = series.line()
    points = ", ".join(
        f"{size}: {value:.4g}" for size, value in zip(sizes, values, strict=True)
    )
    click.echo(f"{name} [{unit}]: {points}")
    click.echo(
        f"  line {line.offset:.4g} + {line.slope:.4g} n, largest residual "
        f"{line.max_residual:.3g}; predicted for {sizes[-1]} from the smaller ones "
        f"{smaller_line.at(sizes[-1]):.4g}, measured {values[-1]:.4g}"
    )


def main() -> int:
    """Run all measurements of the data path."""
    click.echo("One daemon in a separate process, alone in its cell.")
    print_series("a streamed request, by tokens", "ms", TOKEN_SIZES, measure_tokens())
    idle = measure_endpoints()
    print_series(
        "an idle daemon, by endpoints kept",
        "ms/s",
        ENDPOINT_SIZES,
        [cost.processor_ms for cost in idle],
    )
    print_series(
        "resident memory, by endpoints kept",
        "KB",
        ENDPOINT_SIZES,
        [cost.resident_kb for cost in idle],
    )
    steps = measure_groups()
    print_series(
        f"a step of groups of {SAMPLES_PER_GROUP} samples of {SAMPLE_TOKENS} tokens",
        "ms",
        GROUP_SIZES,
        [cost.processor_ms for cost in steps],
    )
    print_series(
        "memory that a step adds",
        "KB",
        GROUP_SIZES,
        [cost.resident_kb for cost in steps],
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
