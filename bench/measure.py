"""bench.measure: trainers and callers under faults, policy against policy.

The environment picks a part: ``SHAPE=``, ``SCENARIO=`` and ``POLICIES=`` take
names with commas between them, ``REPETITIONS=`` a number, ``SEED=`` the first
seed and ``OUTPUT=`` the JSON file. ``SCENARIO=hop`` measures an idle daemon and
a hop through it.
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
from bench.hop import HopFigures, measure_hop, show_hop
from bench.scenarios import SCENARIOS, Scenario
from bench.shapes import ENGINE, SHAPES, Shape
from bench.site import FLOOD_TEAM, Site
from bench.trainers import Trainer, VersionClock
from bench.workload import CALLER_TEAM, TRAINER_TEAMS
from greengagetack.rollouts.client import RolloutClient
from standins.processes import ProcessGroup

__all__ = ["main"]

POLICY_NAMES = ("affinity", "round_robin", "least_connections", "random_two")
CALLS_PER_S = 20.0
HOP = "hop"
SHOWN = (
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
    """A round's place in the table and its figures, None if it broke off."""

    shape: str
    scenario: str
    policy: str
    repetition: int
    seed: int
    duration_s: float
    figures: RoundFigures | None
    faults: list[str] = field(default_factory=list)


async def play(site: Site, scenario: Scenario, seed: int) -> RoundResult:
    """Let trainers and callers work on a deployment while things go wrong."""
    shape = site.shape
    clock = VersionClock()
    balancer = Balancer(site.entries)
    callers = make_callers(site, balancer, CALLER_TEAM, seed)
    flood = make_callers(site, balancer, FLOOD_TEAM, seed + 1)
    operator = RolloutClient(site.entries, site.operator_token, seed)
    tokens_per_s = scenario.engines_left(shape) * ENGINE.tokens_per_s
    trainers = []
    for index, team in enumerate(TRAINER_TEAMS):
        client = RolloutClient(site.entries, site.token_of(team), seed + index)
        announcer = operator if index == 0 else None
        trainers.append(Trainer(team, client, announcer, clock, shape.client_latency_s))
    stop, over = asyncio.Event(), asyncio.Event()
    started_s = time.monotonic()
    await scenario.prepare(site)
    checking = asyncio.create_task(balancer.run())
    calling = asyncio.create_task(callers.run(CALLS_PER_S, stop))
    going_wrong = asyncio.create_task(scenario.run(site, flood))
    if not scenario.open_ended:
        going_wrong.add_done_callback(lambda _: over.set())
    else:
        over.set()
    faults: list[str] = []
    try:
        async with asyncio.timeout(scenario.limit_s):
            await asyncio.gather(
                *(
                    trainer.run(scenario.size, seed, over, tokens_per_s)
                    for trainer in trainers
                )
            )
            if not scenario.open_ended:
                await going_wrong
    except Exception as error:
        faults.append(f"round: {type(error).__name__}: {error}")
        faults += await site.unfinished_steps()
    duration_s = time.monotonic() - started_s
    stop.set()
    going_wrong.cancel()
    with suppress(TimeoutError):
        async with asyncio.timeout(20.0):
            await calling
    for task in (checking, calling, going_wrong):
        task.cancel()
    await scenario.repair(site)
    for trainer in trainers:
        faults += trainer.announce_failures
    for reason, count in failure_reasons(callers.log.calls).items():
        faults.append(f"{count} calls: {reason}")
    records = [record for trainer in trainers for record in trainer.records]
    figures = round_figures(
        records, callers.log, await site.engine_logs(), scenario.flood_tokens
    )
    return RoundResult(
        shape.name, scenario.name, site.policy, 0, seed, duration_s, figures, faults
    )


def make_callers(site: Site, balancer: Balancer, team: str, seed: int) -> Callers:
    """Return the callers of a team."""
    latency_s = site.shape.client_latency_s
    return Callers(balancer, site.token_of(team), team, latency_s, seed)


async def run_round(
    shape: Shape, scenario: Scenario, policy: str, repetition: int, seed: int
) -> RoundResult:
    """Start a deployment, play a round on it and end it."""
    with ProcessGroup() as group:
        site = Site(group, shape, policy, scenario.flood_tokens)
        try:
            await site.start()
            result = await play(site, scenario, seed)
        except Exception as error:
            fault = f"{type(error).__name__}: {error}"
            result = RoundResult(
                shape.name, scenario.name, policy, 0, seed, 0.0, None, [fault]
            )
    return dataclasses.replace(result, repetition=repetition)


def plan_rounds(
    shapes: list[str], scenarios: list[str], policies: list[str], repetitions: int
) -> list[tuple[str, str, int, str]]:
    """Return shape, scenario, repetition and policy of all rounds.

    The policies take turns within a repetition.
    """
    plan = []
    for shape, name, repetition in itertools.product(
        shapes, scenarios, range(repetitions)
    ):
        compared = policies if SCENARIOS[name].compares_policies else policies[:1]
        plan += [(shape, name, repetition, policy) for policy in compared]
    return plan


def chosen(variable: str, known: Any) -> list[str]:
    """Return the names that an environment variable picks, all by default."""
    names = [name for name in os.environ.get(variable, "").split(",") if name]
    for name in names:
        if name not in known:
            sys.exit(f"{variable}: unknown {name!r}; known: {', '.join(known)}")
    return names or list(known)


def show(results: list[RoundResult]) -> None:
    """Print a table with the median of each figure and its range below."""
    groups: dict[tuple[str, str], dict[str, list[RoundResult]]] = {}
    for result in results:
        policies = groups.setdefault((result.shape, result.scenario), {})
        policies.setdefault(result.policy, []).append(result)
    for (shape, scenario), policies in groups.items():
        print(f"\n{shape} / {scenario}")
        print("  ".join(["policy".ljust(18), *(title for title, _, _ in SHOWN)]))
        for policy, rounds in policies.items():
            show_policy(policy, rounds)


def show_policy(policy: str, rounds: list[RoundResult]) -> None:
    """Print the lines of one policy."""
    whole = [result.figures for result in rounds if result.figures is not None]
    broken = len(rounds) - len(whole)
    if whole:
        summary = summarise(whole)
        medians = []
        ranges = []
        for title, name, layout in SHOWN:
            item = summary[name]
            medians.append(layout.format(item.median).rjust(len(title)))
            ranges.append(layout.format(item.high - item.low).rjust(len(title)))
        print("  ".join([policy.ljust(18), *medians]))
        print("  ".join(["  spread".ljust(18), *ranges]))
    if broken:
        print(f"  {policy}: {broken} of {len(rounds)} rounds broke off")
    for result in rounds:
        for fault in result.faults:
            print(f"  {policy} #{result.repetition}: {fault}")


def main() -> None:
    """Run all rounds, interleaving the policies, and write the figures."""
    shapes = chosen("SHAPE", SHAPES)
    scenarios = chosen("SCENARIO", (*SCENARIOS, HOP))
    policies = chosen("POLICIES", POLICY_NAMES)
    repetitions = int(os.environ.get("REPETITIONS", "3"))
    first_seed = int(os.environ.get("SEED", "1"))
    output = Path(os.environ.get("OUTPUT", "measurements.json"))
    print(f"time scale {ENGINE.time_scale:g}; first seed {first_seed}", flush=True)
    hop = None
    if HOP in scenarios:
        scenarios.remove(HOP)
        hop = asyncio.run(measure_hop())
        show_hop(hop)
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
        write(output, results, hop)
    show(results)


def write(output: Path, results: list[RoundResult], hop: HopFigures | None) -> None:
    """Write all rounds as JSON."""
    document = {
        "engine": asdict(ENGINE),
        "shapes": {name: asdict(shape) for name, shape in SHAPES.items()},
        "hop": None if hop is None else asdict(hop),
        "rounds": [asdict(result) for result in results],
    }
    output.write_bytes(msgspec.json.format(msgspec.json.encode(document)))


if __name__ == "__main__":
    main()
