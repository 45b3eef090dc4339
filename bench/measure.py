"""bench.measure: compares routing policies under trainer and caller load and faults.

Environment variables select what is measured: ``SHAPE=``, ``SCENARIO=`` and
``POLICIES=`` take comma-separated names, ``REPETITIONS=`` a number, ``SEED=`` the
first seed and ``OUTPUT=`` the JSON file. ``SCENARIO=hop`` measures an idle daemon
and a hop through it.
"""

import asyncio
import dataclasses
import itertools
import os
import sys
import time
from contextlib import suppress
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from bench.callers import Balancer, Callers
from bench.figures import RoundFigures, failure_reasons, round_figures, summarise
from bench.hop import HopFigures, measure_hop, print_hop
from bench.scenarios import SCENARIOS, Scenario
from bench.shapes import ENGINE, SHAPES, Shape
from bench.testbed import FLOOD_TEAM, Testbed
from bench.trainers import AnnouncedVersions, Trainer
from bench.workload import CALLER_TEAM, TRAINER_TEAMS
from greengagetack.rollouts.client import RolloutClient
from standins.processes import ProcessGroup

__all__ = ["main"]

POLICY_NAMES = ("affinity", "round_robin", "least_connections", "random_two")
CALLS_PER_S = 20.0
HOP = "hop"
TABLE_COLUMNS = (
    ("idle", "idle_share", "{:.3f}"),
    ("idle/ideal", "idle_to_ideal", "{:.2f}"),
    ("step s", "step_mean_s", "{:.2f}"),
    ("max s", "step_max_s", "{:.2f}"),
    ("stale v", "staleness_mean_versions", "{:.2f}"),
    ("waste", "wasted_share", "{:.3f}"),
    ("doubled", "doubled", "{:.0f}"),
    ("missing", "missing", "{:.0f}"),
    ("beyond", "beyond_bound", "{:.0f}"),
    ("look p50 ms", "lookup_median_ms", "{:.1f}"),
    ("p99", "lookup_p99_ms", "{:.1f}"),
    ("compl p50 ms", "completion_median_ms", "{:.1f}"),
    ("p99", "completion_p99_ms", "{:.1f}"),
    ("failed", "failed_calls", "{:.0f}"),
    ("tries", "attempts_per_request", "{:.2f}"),
    ("flood/bound", "flood_to_bound", "{:.2f}"),
)


@dataclass(frozen=True, slots=True)
class RoundResult:
    """The parameters of a round and its figures, which are None if it failed."""

    shape: str
    scenario: str
    policy: str
    repetition: int
    seed: int
    duration_s: float
    figures: RoundFigures | None
    faults: list[str] = field(default_factory=list)


async def run_load(testbed: Testbed, scenario: Scenario, seed: int) -> RoundResult:
    """Run trainers and callers on a deployment during a scenario's faults."""
    shape = testbed.shape
    announced = AnnouncedVersions()
    balancer = Balancer(testbed.entries)
    callers = make_callers(testbed, balancer, CALLER_TEAM, seed)
    flood = make_callers(testbed, balancer, FLOOD_TEAM, seed + 1)
    operator = RolloutClient(testbed.entries, testbed.operator_token, seed)
    tokens_per_s = scenario.engines_left(shape) * ENGINE.tokens_per_s
    trainers = []
    for index, team in enumerate(TRAINER_TEAMS):
        client = RolloutClient(testbed.entries, testbed.token_of(team), seed + index)
        announcer = operator if index == 0 else None
        trainers.append(
            Trainer(team, client, announcer, announced, shape.client_latency_s)
        )
    stop, steps_may_end = asyncio.Event(), asyncio.Event()
    started_s = time.monotonic()
    await scenario.prepare(testbed)
    balancer_task = asyncio.create_task(balancer.run())
    caller_task = asyncio.create_task(callers.run(CALLS_PER_S, stop))
    fault_task = asyncio.create_task(scenario.run(testbed, flood))
    if not scenario.open_ended:
        fault_task.add_done_callback(lambda _: steps_may_end.set())
    else:
        steps_may_end.set()
    faults: list[str] = []
    try:
        async with asyncio.timeout(scenario.limit_s):
            await asyncio.gather(
                *(
                    trainer.run(scenario.size, seed, steps_may_end, tokens_per_s)
                    for trainer in trainers
                )
            )
            if not scenario.open_ended:
                await fault_task
    except Exception as error:
        faults.append(f"round: {type(error).__name__}: {error}")
        faults += await testbed.describe_unfinished_steps()
    duration_s = time.monotonic() - started_s
    stop.set()
    fault_task.cancel()
    with suppress(TimeoutError):
        async with asyncio.timeout(20.0):
            await caller_task
    for task in (balancer_task, caller_task, fault_task):
        task.cancel()
    await scenario.repair(testbed)
    for trainer in trainers:
        faults += trainer.announce_failures
    for reason, count in failure_reasons(callers.log.calls).items():
        faults.append(f"{count} calls: {reason}")
    records = [record for trainer in trainers for record in trainer.records]
    figures = round_figures(
        records, callers.log, await testbed.engine_logs(), scenario.flood_tokens
    )
    return RoundResult(
        shape.name, scenario.name, testbed.policy, 0, seed, duration_s, figures, faults
    )


def make_callers(testbed: Testbed, balancer: Balancer, team: str, seed: int) -> Callers:
    """Return a caller generator for a team."""
    latency_s = testbed.shape.client_latency_s
    return Callers(balancer, testbed.token_of(team), team, latency_s, seed)


async def run_round(
    shape: Shape, scenario: Scenario, policy: str, repetition: int, seed: int
) -> RoundResult:
    """Run one round on a new deployment and end the deployment."""
    with ProcessGroup() as group:
        testbed = Testbed(group, shape, policy, scenario.flood_tokens)
        try:
            await testbed.start()
            result = await run_load(testbed, scenario, seed)
        except Exception as error:
            fault = f"{type(error).__name__}: {error}"
            result = RoundResult(
                shape.name, scenario.name, policy, 0, seed, 0.0, None, [fault]
            )
    return dataclasses.replace(result, repetition=repetition)


def plan_rounds(
    shapes: list[str], scenarios: list[str], policies: list[str], repetitions: int
) -> list[tuple[str, str, int, str]]:
    """Return the shape, scenario, repetition and policy of all rounds.

    The policies are interleaved: each repetition runs all of them.
    """
    plan = []
    for shape, name, repetition in itertools.product(
        shapes, scenarios, range(repetitions)
    ):
        measured = policies if SCENARIOS[name].compares_policies else policies[:1]
        plan += [(shape, name, repetition, policy) for policy in measured]
    return plan


def names_from_environment(variable: str, known: Any) -> list[str]:
    """Return the names that an environment variable selects, by default all."""
    names = [name for name in os.environ.get(variable, "").split(",") if name]
    for name in names:
        if name not in known:
            sys.exit(
                f"{variable}: unknown name {name!r}; known names: {', '.join(known)}"
            )
    return names or list(known)


def print_tables(results: list[RoundResult]) -> None:
    """Print the median of each figure and below it the spread (maximum - minimum)."""
    groups: dict[tuple[str, str], dict[str, list[RoundResult]]] = {}
    for result in results:
        policies = groups.setdefault((result.shape, result.scenario), {})
        policies.setdefault(result.policy, []).append(result)
    for (shape, scenario), policies in groups.items():
        print(f"\n{shape} / {scenario}")
        print(
            "  ".join(["policy".ljust(18), *(title for title, _, _ in TABLE_COLUMNS)])
        )
        for policy, rounds in policies.items():
            print_policy(policy, rounds)


def print_policy(policy: str, rounds: list[RoundResult]) -> None:
    """Print the lines of one policy in the table."""
    completed = [result.figures for result in rounds if result.figures is not None]
    failed = len(rounds) - len(completed)
    if completed:
        summary = summarise(completed)
        medians = []
        ranges = []
        for title, name, layout in TABLE_COLUMNS:
            item = summary[name]
            medians.append(layout.format(item.median).rjust(len(title)))
            ranges.append(layout.format(item.high - item.low).rjust(len(title)))
        print("  ".join([policy.ljust(18), *medians]))
        print("  ".join(["  spread".ljust(18), *ranges]))
    if failed:
        print(f"  {policy}: {failed} of {len(rounds)} rounds failed")
    for result in rounds:
        for fault in result.faults:
            print(f"  {policy} #{result.repetition}: {fault}")


def main() -> None:
    """Run all selected rounds, write the figures and print tables."""
    shapes = names_from_environment("SHAPE", SHAPES)
    scenarios = names_from_environment("SCENARIO", (*SCENARIOS, HOP))
    policies = names_from_environment("POLICIES", POLICY_NAMES)
    repetitions = int(os.environ.get("REPETITIONS", "3"))
    first_seed = int(os.environ.get("SEED", "1"))
    output = Path(os.environ.get("OUTPUT", "measurements.json"))
    print(f"time scale {ENGINE.time_scale:g}; first seed {first_seed}", flush=True)
    hop = None
    if HOP in scenarios:
        scenarios.remove(HOP)
        hop = asyncio.run(measure_hop())
        print_hop(hop)
    results: list[RoundResult] = []
    plan = plan_rounds(shapes, scenarios, policies, repetitions)
    for number, (shape, name, repetition, policy) in enumerate(plan, 1):
        seed = first_seed + repetition
        scenario = SCENARIOS[name]()
        result = asyncio.run(
            run_round(SHAPES[shape], scenario, policy, repetition, seed)
        )
        results.append(result)
        faults = "; ".join(result.faults)[:150]
        print(
            f"[{number}/{len(plan)}] {shape} {name} {policy}"
            f" {result.duration_s:.1f} s {faults}",
            flush=True,
        )
        write_results(output, results, hop)
    print_tables(results)


def write_results(
    output: Path, results: list[RoundResult], hop: HopFigures | None
) -> None:
    """Write the figures of all rounds as JSON."""
    document = {
        "engine": asdict(ENGINE),
        "shapes": {name: asdict(shape) for name, shape in SHAPES.items()},
        "hop": None if hop is None else asdict(hop),
        "rounds": [asdict(result) for result in results],
    }
    output.write_bytes(msgspec.json.format(msgspec.json.encode(document)))


if __name__ == "__main__":
    main()
