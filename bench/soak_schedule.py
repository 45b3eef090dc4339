"""bench.soak_schedule: the seeded schedule of the soak's faults."""

import asyncio
import random
import time
from collections.abc import Callable

from bench.audit_log import LeavingNotice
from bench.soak_faults import FAULTS, Fault, FaultTargets, post
from bench.soak_fleet import Fleet
from standins.proxy import Relay

__all__ = ["FaultRunner"]

FIRST_FAULT_DELAY_S = 5.0
FAULT_FREE_END_S = 20.0
MIN_GAP_S = 1.5
MAX_GAP_S = 6.0
PAIR_PROBABILITY = 0.35
LEAVE_FAULT = "an endpoint leaves"


class FaultRunner:
    """Starts faults at random intervals, some of them in pairs."""

    def __init__(self, fleet: Fleet, relays: dict[str, Relay], seed: int) -> None:
        self._targets = FaultTargets(fleet, relays, random.Random(seed))
        self._tasks: list[asyncio.Task[None]] = []
        self.names: list[str] = []

    async def run(self, duration_s: float, report: Callable[[str], None]) -> None:
        """Run faults until shortly before the end and wait until all are undone."""
        targets = self._targets
        loop = asyncio.get_running_loop()
        until_s = loop.time() + duration_s - FAULT_FREE_END_S
        leave_at_s = loop.time() + 0.6 * duration_s
        has_left = False
        await asyncio.sleep(FIRST_FAULT_DELAY_S)
        while loop.time() < until_s:
            self._start_random(report)
            if targets.random.random() < PAIR_PROBABILITY:
                self._start_random(report)
            if not has_left and loop.time() > leave_at_s:
                has_left = await self._start_leaving(report)
            await asyncio.sleep(targets.random.uniform(MIN_GAP_S, MAX_GAP_S))
        await asyncio.gather(*self._tasks)

    async def run_named(
        self, names: tuple[str, ...], report: Callable[[str], None]
    ) -> None:
        """Run the named faults at the same time and wait until all are undone.

        Raises
        ------
        KeyError
            If a name is unknown.
        """
        await asyncio.sleep(FIRST_FAULT_DELAY_S)
        for name in names:
            if name == LEAVE_FAULT:
                await self._start_leaving(report)
                continue
            self._start(FAULTS[name], report)
        await asyncio.gather(*self._tasks)

    def _start_random(self, report: Callable[[str], None]) -> None:
        names = sorted(FAULTS)
        self._start(FAULTS[self._targets.random.choice(names)], report)

    def _start(self, chosen: Fault, report: Callable[[str], None]) -> None:
        targets = self._targets
        name = chosen.reserve_target(targets)
        if not name:
            return
        duration_s = targets.draw_duration_s(chosen.duration_s)
        report(f"fault: {chosen.name} ({name}, {duration_s:.1f} s)")
        self.names.append(chosen.name)
        self._tasks.append(asyncio.create_task(self._run_one(chosen, name, duration_s)))

    async def _run_one(self, chosen: Fault, name: str, duration_s: float) -> None:
        try:
            await chosen.run(self._targets, name, duration_s)
        finally:
            self._targets.busy.discard(name)

    async def _start_leaving(self, report: Callable[[str], None]) -> bool:
        """Mark the VM of one engine as leaving for good in the VM list."""
        targets = self._targets
        endpoint_id = targets.reserve_engine()
        if not endpoint_id or "platform" in targets.busy:
            targets.busy.discard(endpoint_id)
            return False
        deployment = targets.fleet.deployment
        vms = [
            {
                "vm_id": vm_id,
                "availability_zone": zone,
                "state": "leaving" if vm_id == f"vm-{endpoint_id}" else "live",
            }
            for vm_id, zone in deployment.vm_zones().items()
        ]
        await post(f"{deployment.platform.url}/control/vms", {"vms": vms})
        targets.fleet.log.leaving_notices.append(
            LeavingNotice(endpoint_id, time.time())
        )
        report(f"fault: {endpoint_id} leaves")
        self.names.append(LEAVE_FAULT)
        return True
