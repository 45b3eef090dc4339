"""bench.soak_faults: what the soak does to processes and connections."""

import asyncio
import random
import subprocess
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from bench.audit_log import EngineRun, PlannedStop
from bench.deployment import MODEL, SERVICE, send_json
from bench.soak_fleet import Fleet
from standins.processes import Process
from standins.proxy import Relay

__all__ = ["FAULTS", "Fault", "FaultWorld", "engine_runs", "fault", "post"]

STOP_TIMEOUT_S = 40.0
NOT_ENDED = -1
MIN_DAEMONS_UP = 2
LOST_LEASES_S = (5.0, 9.0)
OUTAGE_S = (2.0, 10.0)
SHORT_S = (1.0, 4.0)


@dataclass(slots=True)
class FaultWorld:
    """What faults act on, and which parts have one at the moment."""

    fleet: Fleet
    relays: dict[str, Relay]
    random: random.Random
    busy: set[str] = field(default_factory=set)

    def take_daemon(self) -> str:
        """Reserve a daemon that has no fault, empty if too few would be left."""
        daemons = self.fleet.deployment.daemons
        idle = [name for name in daemons if name not in self.busy]
        if len(idle) <= MIN_DAEMONS_UP:
            return ""
        return self._reserve(idle)

    def take_engine(self) -> str:
        """Reserve an engine that has no fault, empty if too few would be left."""
        engines = self.fleet.deployment.engines
        idle = [name for name in engines if name not in self.busy]
        return self._reserve(idle) if len(idle) > 1 else ""

    def take(self, name: str) -> str:
        """Reserve a part, empty if it has a fault."""
        return "" if name in self.busy else self._reserve([name])

    def _reserve(self, names: list[str]) -> str:
        name = self.random.choice(names)
        self.busy.add(name)
        return name

    def some_time_s(self, bounds_s: tuple[float, float]) -> float:
        """Draw a duration."""
        return self.random.uniform(*bounds_s)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault: what it takes and what it does to it."""

    name: str
    take: Callable[[FaultWorld], str]
    run: Callable[[FaultWorld, str, float], Awaitable[None]]
    duration_s: tuple[float, float]


FAULTS: dict[str, Fault] = {}
Run = Callable[[FaultWorld, str, float], Awaitable[None]]


def fault(
    name: str, take: Callable[[FaultWorld], str], duration_s: tuple[float, float]
) -> Callable[[Run], Run]:
    """Register a fault under its name."""

    def register(function: Run) -> Run:
        FAULTS[name] = Fault(name, take, function, duration_s)
        return function

    return register


def _platform(world: FaultWorld) -> str:
    return world.take("platform")


def _service(world: FaultWorld) -> str:
    return world.take(f"{SERVICE}-1")


def _relay(world: FaultWorld) -> str:
    names = sorted(name for name in world.relays if f"relay {name}" not in world.busy)
    if not names:
        return ""
    return world.take(f"relay {world.random.choice(names)}")


async def post(url: str, body: object) -> None:
    """Send a body to a stand-in without the product's client."""
    await asyncio.to_thread(send_json, url, "POST", body)


@fault("kill a daemon and restart it", FaultWorld.take_daemon, SHORT_S)
async def kill_daemon(world: FaultWorld, name: str, duration_s: float) -> None:
    """End a daemon with SIGKILL and start it again later."""
    deployment = world.fleet.deployment
    await asyncio.to_thread(deployment.daemons[name].kill)
    await asyncio.sleep(duration_s)
    await asyncio.to_thread(deployment.restart_daemon, name)


@fault("pause a daemon past its leases", FaultWorld.take_daemon, LOST_LEASES_S)
async def pause_daemon(world: FaultWorld, name: str, duration_s: float) -> None:
    """Freeze a daemon with SIGSTOP and wake it."""
    process = world.fleet.deployment.daemons[name]
    process.pause()
    await asyncio.sleep(duration_s)
    process.resume()


@fault("stop a daemon as planned", FaultWorld.take_daemon, SHORT_S)
async def stop_daemon(world: FaultWorld, name: str, duration_s: float) -> None:
    """Stop a daemon with SIGTERM and start it again later."""
    deployment = world.fleet.deployment
    at_s = time.time()
    try:
        exit_code = await asyncio.to_thread(
            deployment.daemons[name].terminate, STOP_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        exit_code = NOT_ENDED
        await asyncio.to_thread(deployment.daemons[name].kill)
    stop = PlannedStop(name, at_s, time.time(), exit_code)
    world.fleet.log.planned_stops.append(stop)
    await asyncio.sleep(duration_s)
    await asyncio.to_thread(deployment.restart_daemon, name)


async def _platform_fault(
    world: FaultWorld, duration_s: float, **faults: object
) -> None:
    url = f"{world.fleet.deployment.platform.url}/control/faults"
    await post(url, faults | {"seed": world.random.randrange(1_000)})
    await asyncio.sleep(duration_s)
    await post(url, {})


@fault("platform refuses", _platform, OUTAGE_S)
async def refuse_platform(world: FaultWorld, name: str, duration_s: float) -> None:
    """Let the platform refuse all calls."""
    await _platform_fault(world, duration_s, outage="refuse")


@fault("platform hangs", _platform, OUTAGE_S)
async def hang_platform(world: FaultWorld, name: str, duration_s: float) -> None:
    """Let the platform answer nothing."""
    await _platform_fault(world, duration_s, outage="hang")


@fault("platform is slow", _platform, OUTAGE_S)
async def slow_platform(world: FaultWorld, name: str, duration_s: float) -> None:
    """Delay all calls of the platform."""
    await _platform_fault(world, duration_s, slow_s=world.random.uniform(0.3, 1.5))


@fault("platform loses write answers", _platform, OUTAGE_S)
async def lose_answers(world: FaultWorld, name: str, duration_s: float) -> None:
    """Let writes take effect without an answer."""
    await _platform_fault(world, duration_s, lose_write_answers=0.6)


@fault("service loses answers", _service, OUTAGE_S)
async def lose_service_answers(world: FaultWorld, name: str, duration_s: float) -> None:
    """Let calls run without an answer."""
    url = f"{world.fleet.deployment.services[name].url}/control/faults"
    await post(url, {"lose_answers": 0.4, "seed": world.random.randrange(1_000)})
    await asyncio.sleep(duration_s)
    await post(url, {})


@fault("service refuses", _service, SHORT_S)
async def refuse_calls(world: FaultWorld, name: str, duration_s: float) -> None:
    """Let the service refuse calls before it runs them."""
    url = f"{world.fleet.deployment.services[name].url}/control/faults"
    await post(url, {"refuse": True})
    await asyncio.sleep(duration_s)
    await post(url, {})


@fault("open connections go silent", _relay, SHORT_S)
async def silence(world: FaultWorld, name: str, duration_s: float) -> None:
    """Drop all bytes of open connections to an endpoint; new ones work."""
    world.relays[name.removeprefix("relay ")].freeze()
    await asyncio.sleep(duration_s)


@fault("connections are cut", _relay, SHORT_S)
async def cut(world: FaultWorld, name: str, duration_s: float) -> None:
    """Close all open connections to an endpoint."""
    world.relays[name.removeprefix("relay ")].cut()
    await asyncio.sleep(duration_s)


@fault("pause an engine", FaultWorld.take_engine, SHORT_S)
async def pause_engine(world: FaultWorld, name: str, duration_s: float) -> None:
    """Freeze an engine and wake it."""
    process = world.fleet.deployment.engines[name]
    process.pause()
    await asyncio.sleep(duration_s)
    process.resume()


@fault("crash an engine and restart it", FaultWorld.take_engine, SHORT_S)
async def crash_engine(world: FaultWorld, name: str, duration_s: float) -> None:
    """Kill an engine; its log is read right before."""
    fleet = world.fleet
    process = fleet.deployment.engines[name]
    fleet.log.engine_runs.extend(await asyncio.to_thread(engine_runs, name, process))
    fleet.log.lost_engine_logs.append(name)
    await asyncio.to_thread(process.kill)
    await asyncio.sleep(duration_s)
    restarted = await asyncio.to_thread(_start_engine, fleet, name)
    fleet.deployment.engines[name] = restarted


def _start_engine(fleet: Fleet, name: str) -> Process:
    """Start an engine anew at its old port, with the newest weights."""
    deployment = fleet.deployment
    port = deployment.engines[name].url.rpartition(":")[2]
    plan = deployment.plan.engines[sorted(deployment.engines).index(name)]
    return deployment.group.launch(
        name,
        "standins.engine",
        "--port",
        port,
        "--model",
        MODEL,
        "--version",
        fleet.version,
        "--fencing",
        plan.fencing,
        "--slots",
        plan.slots,
        "--platform-url",
        deployment.platform.url,
        *plan.options,
    ).wait_ready()


def engine_runs(name: str, process: Process) -> list[EngineRun]:
    """Return the generations in an engine's log."""
    log = send_json(f"{process.url}/control/log")
    return [
        EngineRun(
            name,
            run["request_id"],
            tuple(run["versions"]),
            run["generated"],
            run["arrived_at_s"],
        )
        for run in log["runs"]
    ]
