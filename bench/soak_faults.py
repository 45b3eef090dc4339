"""bench.soak_faults: the faults that the soak injects."""

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

__all__ = ["FAULTS", "Fault", "FaultTargets", "engine_runs", "fault", "post"]

STOP_TIMEOUT_S = 40.0
EXIT_CODE_NOT_ENDED = -1
MIN_DAEMONS_UP = 2
LEASE_LOSS_PAUSE_S = (5.0, 9.0)
OUTAGE_S = (2.0, 10.0)
SHORT_FAULT_S = (1.0, 4.0)


@dataclass(slots=True)
class FaultTargets:
    """The targets of faults; `busy` names those that have a fault at present."""

    fleet: Fleet
    relays: dict[str, Relay]
    random: random.Random
    busy: set[str] = field(default_factory=set)

    def reserve_daemon(self) -> str:
        """Reserve a daemon without a fault; empty if too few would keep running."""
        daemons = self.fleet.deployment.daemons
        idle = [name for name in daemons if name not in self.busy]
        if len(idle) <= MIN_DAEMONS_UP:
            return ""
        return self._reserve(idle)

    def reserve_engine(self) -> str:
        """Reserve an engine without a fault; empty if none would keep running."""
        engines = self.fleet.deployment.engines
        idle = [name for name in engines if name not in self.busy]
        return self._reserve(idle) if len(idle) > 1 else ""

    def reserve(self, name: str) -> str:
        """Reserve a target by name; empty if it already has a fault."""
        return "" if name in self.busy else self._reserve([name])

    def _reserve(self, names: list[str]) -> str:
        name = self.random.choice(names)
        self.busy.add(name)
        return name

    def draw_duration_s(self, bounds_s: tuple[float, float]) -> float:
        """Draw a duration between two bounds."""
        return self.random.uniform(*bounds_s)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault: how it reserves its target and how it is injected and undone."""

    name: str
    reserve_target: Callable[[FaultTargets], str]
    run: Callable[[FaultTargets, str, float], Awaitable[None]]
    duration_s: tuple[float, float]


FAULTS: dict[str, Fault] = {}
FaultFunction = Callable[[FaultTargets, str, float], Awaitable[None]]


def fault(
    name: str,
    reserve_target: Callable[[FaultTargets], str],
    duration_s: tuple[float, float],
) -> Callable[[FaultFunction], FaultFunction]:
    """Register the decorated function as the fault `name`."""

    def register(function: FaultFunction) -> FaultFunction:
        FAULTS[name] = Fault(name, reserve_target, function, duration_s)
        return function

    return register


def _reserve_platform(targets: FaultTargets) -> str:
    return targets.reserve("platform")


def _reserve_service(targets: FaultTargets) -> str:
    return targets.reserve(f"{SERVICE}-1")


def _reserve_relay(targets: FaultTargets) -> str:
    names = sorted(
        name for name in targets.relays if f"relay {name}" not in targets.busy
    )
    if not names:
        return ""
    return targets.reserve(f"relay {targets.random.choice(names)}")


async def post(url: str, body: object) -> None:
    """POST a JSON body to a stand-in."""
    await asyncio.to_thread(send_json, url, "POST", body)


@fault("kill a daemon and restart it", FaultTargets.reserve_daemon, SHORT_FAULT_S)
async def kill_daemon(targets: FaultTargets, target: str, duration_s: float) -> None:
    """Kill a daemon with SIGKILL and restart it after `duration_s`."""
    deployment = targets.fleet.deployment
    await asyncio.to_thread(deployment.daemons[target].kill)
    await asyncio.sleep(duration_s)
    await asyncio.to_thread(deployment.restart_daemon, target)


@fault(
    "pause a daemon past its leases", FaultTargets.reserve_daemon, LEASE_LOSS_PAUSE_S
)
async def pause_daemon(targets: FaultTargets, target: str, duration_s: float) -> None:
    """Pause a daemon with SIGSTOP and resume it."""
    process = targets.fleet.deployment.daemons[target]
    process.pause()
    await asyncio.sleep(duration_s)
    process.resume()


@fault("stop a daemon as planned", FaultTargets.reserve_daemon, SHORT_FAULT_S)
async def stop_daemon(targets: FaultTargets, target: str, duration_s: float) -> None:
    """Stop a daemon with SIGTERM and restart it after `duration_s`."""
    deployment = targets.fleet.deployment
    at_s = time.time()
    try:
        exit_code = await asyncio.to_thread(
            deployment.daemons[target].terminate, STOP_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        exit_code = EXIT_CODE_NOT_ENDED
        await asyncio.to_thread(deployment.daemons[target].kill)
    stop = PlannedStop(target, at_s, time.time(), exit_code)
    targets.fleet.log.planned_stops.append(stop)
    await asyncio.sleep(duration_s)
    await asyncio.to_thread(deployment.restart_daemon, target)


async def _platform_fault(
    targets: FaultTargets, duration_s: float, **faults: object
) -> None:
    url = f"{targets.fleet.deployment.platform.url}/control/faults"
    await post(url, faults | {"seed": targets.random.randrange(1_000)})
    await asyncio.sleep(duration_s)
    await post(url, {})


@fault("platform refuses", _reserve_platform, OUTAGE_S)
async def refuse_platform(
    targets: FaultTargets, target: str, duration_s: float
) -> None:
    """Make the platform refuse all calls."""
    await _platform_fault(targets, duration_s, outage="refuse")


@fault("platform hangs", _reserve_platform, OUTAGE_S)
async def hang_platform(targets: FaultTargets, target: str, duration_s: float) -> None:
    """Make the platform answer no call."""
    await _platform_fault(targets, duration_s, outage="hang")


@fault("platform is slow", _reserve_platform, OUTAGE_S)
async def slow_platform(targets: FaultTargets, target: str, duration_s: float) -> None:
    """Delay all answers of the platform."""
    await _platform_fault(targets, duration_s, slow_s=targets.random.uniform(0.3, 1.5))


@fault("platform loses write answers", _reserve_platform, OUTAGE_S)
async def lose_answers(targets: FaultTargets, target: str, duration_s: float) -> None:
    """Make the platform apply writes without answering some of them."""
    await _platform_fault(targets, duration_s, lose_write_answers=0.6)


@fault("service loses answers", _reserve_service, OUTAGE_S)
async def lose_service_answers(
    targets: FaultTargets, target: str, duration_s: float
) -> None:
    """Make the service run calls without answering some of them."""
    url = f"{targets.fleet.deployment.services[target].url}/control/faults"
    await post(url, {"lose_answers": 0.4, "seed": targets.random.randrange(1_000)})
    await asyncio.sleep(duration_s)
    await post(url, {})


@fault("service refuses", _reserve_service, SHORT_FAULT_S)
async def refuse_calls(targets: FaultTargets, target: str, duration_s: float) -> None:
    """Make the service refuse calls without running them."""
    url = f"{targets.fleet.deployment.services[target].url}/control/faults"
    await post(url, {"refuse": True})
    await asyncio.sleep(duration_s)
    await post(url, {})


@fault("open connections go silent", _reserve_relay, SHORT_FAULT_S)
async def freeze_connections(
    targets: FaultTargets, target: str, duration_s: float
) -> None:
    """Drop all bytes on open connections to an endpoint; new connections work."""
    targets.relays[target.removeprefix("relay ")].freeze()
    await asyncio.sleep(duration_s)


@fault("connections are cut", _reserve_relay, SHORT_FAULT_S)
async def cut_connections(
    targets: FaultTargets, target: str, duration_s: float
) -> None:
    """Close all open connections to an endpoint."""
    targets.relays[target.removeprefix("relay ")].cut()
    await asyncio.sleep(duration_s)


@fault("pause an engine", FaultTargets.reserve_engine, SHORT_FAULT_S)
async def pause_engine(targets: FaultTargets, target: str, duration_s: float) -> None:
    """Pause an engine with SIGSTOP and resume it."""
    process = targets.fleet.deployment.engines[target]
    process.pause()
    await asyncio.sleep(duration_s)
    process.resume()


@fault("crash an engine and restart it", FaultTargets.reserve_engine, SHORT_FAULT_S)
async def crash_engine(targets: FaultTargets, target: str, duration_s: float) -> None:
    """Kill an engine and restart it; its log is read just before the kill."""
    fleet = targets.fleet
    process = fleet.deployment.engines[target]
    fleet.log.engine_runs.extend(await asyncio.to_thread(engine_runs, target, process))
    fleet.log.lost_engine_logs.append(target)
    await asyncio.to_thread(process.kill)
    await asyncio.sleep(duration_s)
    restarted = await asyncio.to_thread(_start_engine, fleet, target)
    fleet.deployment.engines[target] = restarted


def _start_engine(fleet: Fleet, name: str) -> Process:
    """Restart an engine on its former port with the newest weight version."""
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
        fleet.weight_version,
        "--fencing",
        plan.fencing,
        "--slots",
        plan.slots,
        "--platform-url",
        deployment.platform.url,
        *plan.options,
    ).wait_ready()


def engine_runs(name: str, process: Process) -> list[EngineRun]:
    """Return the generations that an engine logged."""
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
