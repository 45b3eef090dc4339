"""bench.scenarios: the faults of a round under trainer and caller load."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from bench.callers import Callers, Flood
from bench.shapes import Shape
from bench.testbed import BUDGET_TOKENS, Testbed
from bench.workload import WorkSize

__all__ = ["SCENARIOS", "Scenario"]

FAULT_AT_S = 0.7
SLOW_FACTOR = 8.0
FLOOD_TOKENS = 20_000
FLOOD_CONCURRENCY = 64
FLOOD_ANSWER_TOKENS = 200

ScenarioT = TypeVar("ScenarioT", bound="type[Scenario]")


class Scenario:
    """A round without faults; subclasses override what differs.

    Attributes
    ----------
    name : str
        Name of the scenario in ``SCENARIO=``.
    size : WorkSize
        Size of the trainers' steps.
    flood_tokens : int
        Token budget of the flooding team per period.
    open_ended : bool
        Whether `run` does not return until it is cancelled.
    compares_policies : bool
        Whether all routing policies are measured instead of only the first.
    limit_s : float
        Timeout of a round.
    """

    name = ""
    size = WorkSize()
    open_ended = False
    compares_policies = True
    limit_s = 40.0
    flood_tokens = BUDGET_TOKENS

    def engines_left(self, shape: Shape) -> float:
        """Return the capacity, in engines, for which the ideal time is computed."""
        return shape.engines

    async def prepare(self, testbed: Testbed) -> None:
        """Inject the faults that exist from the start of the round."""

    async def run(self, testbed: Testbed, flood: Callers) -> None:
        """Inject faults during the round; trainers run until this returns."""

    async def repair(self, testbed: Testbed) -> None:
        """Undo faults that would prevent reading the logs."""


SCENARIOS: dict[str, type[Scenario]] = {}


def scenario(name: str) -> Callable[[ScenarioT], ScenarioT]:
    """Register the decorated class as the scenario `name`."""

    def register(scenario_type: ScenarioT) -> ScenarioT:
        scenario_type.name = name
        SCENARIOS[name] = scenario_type
        return scenario_type

    return register


@scenario("calm")
class Calm(Scenario):
    """No faults."""


@scenario("straggler")
class Straggler(Scenario):
    """A few samples are ten times longer than the median."""

    size = WorkSize(stragglers=2)


@scenario("engine-crash")
class EngineCrash(Scenario):
    """An engine crashes during a step and is not restarted."""

    def engines_left(self, shape: Shape) -> float:
        """Return the number of engines that do not crash."""
        return shape.engines - 1

    async def run(self, testbed: Testbed, flood: Callers) -> None:
        """Kill the first engine."""
        await asyncio.sleep(FAULT_AT_S)
        await testbed.kill_engine("engine-1")


@scenario("slow-engine")
class SlowEngine(Scenario):
    """One engine is slower than the others by a constant factor."""

    def engines_left(self, shape: Shape) -> float:
        """Return the number of healthy engines plus the rest of the slow one."""
        return shape.engines - 1 + 1 / SLOW_FACTOR

    async def prepare(self, testbed: Testbed) -> None:
        """Slow down the first engine."""
        await testbed.set_faults(testbed.engines[0], slow_factor=SLOW_FACTOR)


@scenario("failed-swap")
class FailedSwap(Scenario):
    """The first activation of new weights fails on one replica."""

    compares_policies = False

    async def prepare(self, testbed: Testbed) -> None:
        """Make the next activation on the first engine fail."""
        await testbed.set_faults(testbed.engines[0], fail_activate=1)


@scenario("platform-down")
class PlatformDown(Scenario):
    """The platform does not answer during the whole round."""

    compares_policies = False

    async def prepare(self, testbed: Testbed) -> None:
        """Start the outage."""
        await testbed.set_faults(testbed.deployment.platform, outage="hang")

    async def repair(self, testbed: Testbed) -> None:
        """End the outage."""
        await testbed.set_faults(testbed.deployment.platform)


@scenario("flooding-team")
class FloodingTeam(Scenario):
    """One team sends far more long completions than its share."""

    flood_tokens = FLOOD_TOKENS
    open_ended = True

    async def run(self, testbed: Testbed, flood: Callers) -> None:
        """Send the flood until cancelled."""
        await Flood(flood, FLOOD_CONCURRENCY, FLOOD_ANSWER_TOKENS).run()


@scenario("rolling-restart")
class RollingRestart(Scenario):
    """All daemons are stopped gracefully and restarted, one at a time."""

    compares_policies = False
    limit_s = 150.0

    async def run(self, testbed: Testbed, flood: Callers) -> None:
        """Restart all daemons; each must exit with code 0."""
        await asyncio.sleep(FAULT_AT_S)
        for vm_id in list(testbed.deployment.daemons):
            code = await testbed.restart_daemon(vm_id)
            if code != 0:
                raise RuntimeError(f"{vm_id} exited with code {code}")
