"""bench.capacity.data_path: what requests, tokens, endpoints and steps cost a daemon.

One daemon runs as a process of its own, alone in its cell, before stand-ins; its
processor time and memory are read from outside. ``python -m bench.capacity.data_path``
prints the points, lines and predictions.
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
    """What a piece of work cost a daemon."""

    processor_ms: float
    resident_kb: float
    duration_s: float


class OneDaemon(Deployment):
    """A deployment of one daemon whose settings list an engine many times."""

    endpoint_count = 1

    def fleet_settings(self) -> dict[str, Any]:
        """Return settings with `endpoint_count` engines at one address."""
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
    deployment: OneDaemon, work: Callable[..., Any], *arguments: Any
) -> Cost:
    process = deployment.process()
    before = process.cpu_times()
    rss_before = process.memory_info().rss
    start_s = time.monotonic()
    await work(*arguments)
    return _cost(before, process, rss_before, start_s)


async def _wait_ready(deployment: OneDaemon) -> None:
    operator = OperatorClient(deployment)
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            if await operator.ready_daemons() == 1:
                return
            await asyncio.sleep(0.1)


def _start(group: ProcessGroup, endpoints: int = 1) -> OneDaemon:
    plan = DeploymentPlan(
        daemon_zones=(ZONE,),
        engines=(EnginePlan(ZONE, "checked", 64, FAST_ENGINE),),
        services=(ServicePlan(ZONE),),
        team_names=(TEAM,),
        log_level="WARNING",
    )
    deployment = OneDaemon(plan, group)
    deployment.endpoint_count = endpoints
    deployment.start()
    return deployment


async def _stream_requests(deployment: OneDaemon, tokens: int) -> None:
    http = aiosonic.HTTPClient()
    headers = deployment.team_headers(TEAM)
    url = deployment.entries()[0] + "/v1/completions"
    gate = asyncio.Semaphore(CONCURRENCY)

    async def one(number: int) -> None:
        body = {
            "model": MODEL,
            "prompt": f"request {number} [len={tokens}]",
            "max_tokens": tokens,
            "stream": True,
        }
        async with gate:
            answer = await send(http, url, "POST", headers, body)
        if answer.status != 200 or not answer.body.endswith(b"[DONE]\n\n"):
            raise RuntimeError(
                f"request failed: {answer.status} {answer.body[-200:]!r}"
            )

    await asyncio.gather(*(one(number) for number in range(REQUESTS)))


def measure_tokens() -> list[float]:
    """Return the processor time of a streamed request, in ms, by its tokens."""

    async def run(deployment: OneDaemon) -> list[float]:
        await _wait_ready(deployment)
        await _stream_requests(deployment, TOKEN_SIZES[0])
        found = []
        for tokens in TOKEN_SIZES:
            cost = await _measure(deployment, _stream_requests, deployment, tokens)
            found.append(cost.processor_ms / REQUESTS)
        return found

    with ProcessGroup() as group:
        return asyncio.run(run(_start(group)))


def measure_endpoints() -> list[Cost]:
    """Return what an idle daemon spends in a second, by the endpoints it keeps."""

    async def run(deployment: OneDaemon) -> Cost:
        await _wait_ready(deployment)
        await _stream_requests(deployment, TOKEN_SIZES[0])
        await asyncio.sleep(2.0)
        cost = await _measure(deployment, asyncio.sleep, IDLE_S)
        resident_kb = deployment.process().memory_info().rss / BYTES_PER_KB
        return Cost(cost.processor_ms / cost.duration_s, resident_kb, cost.duration_s)

    found = []
    for endpoints in ENDPOINT_SIZES:
        with ProcessGroup() as group:
            found.append(asyncio.run(run(_start(group, endpoints))))
    return found


async def _run_step(deployment: OneDaemon, number: int, groups: int) -> None:
    client = RolloutClient(deployment.entries(), deployment.teams[TEAM].token)
    step = StepRequest(
        "capacity",
        number,
        {
            "model": MODEL,
            "trainer_version": 1,
            "groups": [
                {"group_id": one, "prompt": f"group {one} [len={SAMPLE_TOKENS}]"}
                for one in range(groups)
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
    """Return what a step costs the daemon that owns it and makes its samples."""

    async def run(deployment: OneDaemon) -> list[Cost]:
        await _wait_ready(deployment)
        await _run_step(deployment, 0, GROUP_SIZES[0])
        found = []
        for number, groups in enumerate(GROUP_SIZES, 1):
            cost = await _measure(deployment, _run_step, deployment, number, groups)
            found.append(cost)
        return found

    with ProcessGroup() as group:
        return asyncio.run(run(_start(group)))


def show(name: str, unit: str, sizes: tuple[int, ...], values: list[float]) -> None:
    """Print points, line, residual, and the prediction of the largest size."""
    series = Series(name, unit, tuple(float(size) for size in sizes), tuple(values))
    smaller = series.without_largest().line()
    line = series.line()
    points = ", ".join(
        f"{size}: {value:.4g}" for size, value in zip(sizes, values, strict=True)
    )
    click.echo(f"{name} [{unit}]: {points}")
    click.echo(
        f"  line {line.offset:.4g} + {line.slope:.4g} n, largest residual "
        f"{line.max_residual:.3g}; predicted for {sizes[-1]} from the smaller ones "
        f"{smaller.at(sizes[-1]):.4g}, measured {values[-1]:.4g}"
    )


def main() -> int:
    """Measure all slopes of the data path."""
    click.echo("One daemon in a process of its own, alone in its cell.")
    show("a streamed request, by tokens", "ms", TOKEN_SIZES, measure_tokens())
    idle = measure_endpoints()
    show(
        "an idle daemon, by endpoints kept",
        "ms/s",
        ENDPOINT_SIZES,
        [cost.processor_ms for cost in idle],
    )
    show(
        "resident memory, by endpoints kept",
        "KB",
        ENDPOINT_SIZES,
        [cost.resident_kb for cost in idle],
    )
    steps = measure_groups()
    show(
        f"a step of groups of {SAMPLES_PER_GROUP} samples of {SAMPLE_TOKENS} tokens",
        "ms",
        GROUP_SIZES,
        [cost.processor_ms for cost in steps],
    )
    show(
        "memory that a step adds",
        "KB",
        GROUP_SIZES,
        [cost.resident_kb for cost in steps],
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
