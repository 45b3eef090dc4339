"""bench.soak_schedule: the seeded schedule of the soak's faults."""

import asyncio
import random
import time
from collections.abc import Callable

from bench.audit_log import LeavingSign
from bench.soak_faults import FAULTS, Fault, FaultWorld, post
from bench.soak_fleet import Fleet
from standins.proxy import Relay

__all__ = ["FaultRunner"]

FIRST_FAULT_S = 5.0
LAST_FAULT_S = 20.0
MIN_GAP_S = 1.5
MAX_GAP_S = 6.0
TWICE_SHARE = 0.35
LEAVE_NAME = "an endpoint leaves"


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
        await post(f"{deployment.platform.url}/control/vms", {"vms": vms})
        world.fleet.log.leaving.append(LeavingSign(endpoint_id, time.time()))
        say(f"fault: {endpoint_id} leaves")
        self.names.append(LEAVE_NAME)
        return True
