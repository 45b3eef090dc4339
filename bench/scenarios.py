"""bench.scenarios: what goes wrong while trainers and callers work."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from bench.callers import Callers, Flood
from bench.shapes import Shape
from bench.site import BUDGET_TOKENS, Site
from bench.workload import WorkSize

__all__ = ["SCENARIOS", "Scenario"]

FAULT_AT_S = 0.7
SLOW_FACTOR = 8.0
FLOOD_TOKENS = 20_000
FLOOD_CONCURRENCY = 64
FLOOD_ANSWER_TOKENS = 200

ScenarioT = TypeVar("ScenarioT", bound="type[Scenario]")


class Scenario:
    """A calm round; variants override what differs.

    Attributes
    ----------
    name : str
        Name in ``SCENARIO=``.
    size : WorkSize
        Size of the trainers' steps.
    flood_tokens : int
        Bound of the flooding team in the period.
    open_ended : bool
        Whether `run` goes on until it is cancelled.
    compares_policies : bool
        Whether all routing policies are measured, or only the first.
    limit_s : float
        Time after which a round is given up.
    """

    name = ""
    size = WorkSize()
    open_ended = False
    compares_policies = True
    limit_s = 40.0
    flood_tokens = BUDGET_TOKENS

    def engines_left(self, shape: Shape) -> float:
        """Return how many engines' worth of capacity the ideal may use."""
        return shape.engines

    async def prepare(self, site: Site) -> None:
        """Set what is wrong from the start."""

    async def run(self, site: Site, flood: Callers) -> None:
        """Do what goes wrong; trainers go on until this returns."""

    async def repair(self, site: Site) -> None:
        """Undo what would keep the logs from being read."""


SCENARIOS: dict[str, type[Scenario]] = {}


def scenario(name: str) -> Callable[[ScenarioT], ScenarioT]:
    """Register a scenario under a name."""

    def register(scenario_type: ScenarioT) -> ScenarioT:
        scenario_type.name = name
        SCENARIOS[name] = scenario_type
        return scenario_type

    return register


@scenario("calm")
class Calm(Scenario):
    """Nothing goes wrong."""


@scenario("straggler")
class Straggler(Scenario):
    """A few samples run ten times longer than the median."""

    size = WorkSize(stragglers=2)


@scenario("engine-crash")
class EngineCrash(Scenario):
    """An engine dies in mid-step and does not come back."""

    def engines_left(self, shape: Shape) -> float:
        """Return the engines that live through the round."""
        return shape.engines - 1

    async def run(self, site: Site, flood: Callers) -> None:
        """Kill the first engine."""
        await asyncio.sleep(FAULT_AT_S)
        await site.kill_engine("engine-1")


@scenario("slow-engine")
class SlowEngine(Scenario):
    """An engine answers everything, but slowly."""

    def engines_left(self, shape: Shape) -> float:
        """Return the healthy engines and what the slow one still does."""
        return shape.engines - 1 + 1 / SLOW_FACTOR

    async def prepare(self, site: Site) -> None:
        """Slow the first engine down."""
        await site.set_faults(site.engines[0], slow_factor=SLOW_FACTOR)


@scenario("failed-swap")
class FailedSwap(Scenario):
    """The first activation of new weights fails on one replica."""

    compares_policies = False

    async def prepare(self, site: Site) -> None:
        """Let the next activation of the first engine fail."""
        await site.set_faults(site.engines[0], fail_activate=1)


@scenario("platform-down")
class PlatformDown(Scenario):
    """The platform does not answer for the whole round."""

    compares_policies = False

    async def prepare(self, site: Site) -> None:
        """Start the outage."""
        await site.set_faults(site.deployment.platform, outage="hang")

    async def repair(self, site: Site) -> None:
        """End the outage."""
        await site.set_faults(site.deployment.platform)


@scenario("flooding-team")
class FloodingTeam(Scenario):
    """One team sends far more long completions than its share."""

    flood_tokens = FLOOD_TOKENS
    open_ended = True

    async def run(self, site: Site, flood: Callers) -> None:
        """Flood until the trainers have finished."""
        await Flood(flood, FLOOD_CONCURRENCY, FLOOD_ANSWER_TOKENS).run()


@scenario("rolling-restart")
class RollingRestart(Scenario):
    """Every daemon is stopped gracefully and started again, one at a time."""

    compares_policies = False
    limit_s = 150.0

    async def run(self, site: Site, flood: Callers) -> None:
        """Restart all daemons; each has to exit with code 0."""
        await asyncio.sleep(FAULT_AT_S)
        for vm_id in list(site.deployment.daemons):
            code = await site.restart_daemon(vm_id)
            if code != 0:
                raise RuntimeError(f"{vm_id} ended with code {code}")
