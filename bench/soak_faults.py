"""bench.soak_faults: the seeded schedule of faults of the soak."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from bench.audit_log import EngineRun, LeavingSign, PlannedStop
from bench.deployment import MODEL, SERVICE, send_json
from bench.soak_load import Fleet
from standins.processes import Process
from standins.proxy import Relay

__all__ = ["FAULTS", "FaultRunner", "engine_runs", "fault"]

FIRST_FAULT_S = 5.0
LAST_FAULT_S = 20.0
MIN_GAP_S = 1.5
MAX_GAP_S = 6.0
TWICE_SHARE = 0.35
STOP_TIMEOUT_S = 40.0
MIN_DAEMONS_UP = 2
LOST_LEASES_S = (5.0, 9.0)
OUTAGE_S = (2.0, 10.0)
SHORT_S = (1.0, 4.0)
LEAVE_NAME = "an endpoint leaves"


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


async def _post(url: str, body: object) -> None:
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
    except TimeoutError:
        exit_code = -1
    stop = PlannedStop(name, at_s, time.time(), exit_code)
    world.fleet.log.planned_stops.append(stop)
    await asyncio.sleep(duration_s)
    await asyncio.to_thread(deployment.restart_daemon, name)


async def _platform_fault(
    world: FaultWorld, duration_s: float, **faults: object
) -> None:
    url = f"{world.fleet.deployment.platform.url}/control/faults"
    await _post(url, faults | {"seed": world.random.randrange(1_000)})
    await asyncio.sleep(duration_s)
    await _post(url, {})


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
    await _post(url, {"lose_answers": 0.4, "seed": world.random.randrange(1_000)})
    await asyncio.sleep(duration_s)
    await _post(url, {})


@fault("service refuses", _service, SHORT_S)
async def refuse_calls(world: FaultWorld, name: str, duration_s: float) -> None:
    """Let the service refuse calls before it runs them."""
    url = f"{world.fleet.deployment.services[name].url}/control/faults"
    await _post(url, {"refuse": True})
    await asyncio.sleep(duration_s)
    await _post(url, {})


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


class FaultRunner:
    """Runs faults one after the other, some of them two at a time."""

    def __init__(self, fleet: Fleet, relays: dict[str, Relay], seed: int) -> None:
        self._world = FaultWorld(fleet, relays, random.Random(seed))
        self._tasks: list[asyncio.Task[None]] = []
        self.names: list[str] = []

    async def run(self, duration_s: float, say: Callable[[str], None]) -> None:
        """Run faults until shortly before the end, and undo all of them."""
        world = self._world
        loop = asyncio.get_running_loop()
        until_s = loop.time() + duration_s - LAST_FAULT_S
        leave_at_s = loop.time() + 0.6 * duration_s
        left = False
        await asyncio.sleep(FIRST_FAULT_S)
        while loop.time() < until_s:
            self._start_one(say)
            if world.random.random() < TWICE_SHARE:
                self._start_one(say)
            if not left and loop.time() > leave_at_s:
                left = await self._leave(say)
            await asyncio.sleep(world.random.uniform(MIN_GAP_S, MAX_GAP_S))
        await asyncio.gather(*self._tasks)

    async def run_chosen(
        self, names: tuple[str, ...], say: Callable[[str], None]
    ) -> None:
        """Run the faults of these names all at once, and undo them.

        Raises
        ------
        KeyError
            If there is no fault of a name.
        """
        await asyncio.sleep(FIRST_FAULT_S)
        for name in names:
            if name == LEAVE_NAME:
                await self._leave(say)
                continue
            self._start(FAULTS[name], say)
        await asyncio.gather(*self._tasks)

    def _start_one(self, say: Callable[[str], None]) -> None:
        names = sorted(FAULTS)
        self._start(FAULTS[self._world.random.choice(names)], say)

    def _start(self, chosen: Fault, say: Callable[[str], None]) -> None:
        world = self._world
        name = chosen.take(world)
        if not name:
            return
        duration_s = world.some_time_s(chosen.duration_s)
        say(f"fault: {chosen.name} ({name}, {duration_s:.1f} s)")
        self.names.append(chosen.name)
        self._tasks.append(asyncio.create_task(self._run_one(chosen, name, duration_s)))

    async def _run_one(self, chosen: Fault, name: str, duration_s: float) -> None:
        try:
            await chosen.run(self._world, name, duration_s)
        finally:
            self._world.busy.discard(name)

    async def _leave(self, say: Callable[[str], None]) -> bool:
        """Let one engine leave for good; the VM list is the sign."""
        world = self._world
        endpoint_id = world.take_engine()
        if not endpoint_id or "platform" in world.busy:
            world.busy.discard(endpoint_id)
            return False
        deployment = world.fleet.deployment
        vms = [
            {
                "vm_id": vm_id,
                "availability_zone": zone,
                "state": "leaving" if vm_id == f"vm-{endpoint_id}" else "live",
            }
            for vm_id, zone in deployment.vm_zones().items()
        ]
        await _post(f"{deployment.platform.url}/control/vms", {"vms": vms})
        world.fleet.log.leaving.append(LeavingSign(endpoint_id, time.time()))
        say(f"fault: {endpoint_id} leaves")
        self.names.append(LEAVE_NAME)
        return True
