"""features.support.cell: runs the members of a cell in one process."""

import asyncio
import itertools
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Any

from features.support.platform_fake import MemoryPlatform, PlatformPort
from greengagetack.errors import PeerLost
from greengagetack.membership.directory import CellDirectory
from greengagetack.membership.store import ReplicatedShards
from greengagetack.membership.timings import CellTimings
from greengagetack.objects.base import ListedVm
from greengagetack.peers.node import PeerNode, listening_socket
from greengagetack.settings.schema import (
    DataFolderSettings,
    FleetSettings,
    TeamSettings,
    VmSettings,
)
from greengagetack.settings.view import SettingsVersion
from greengagetack.timer import Timer
from greengagetack.world import Address, Endpoint, EndpointKind, Fencing, VmState

__all__ = ["SHORT_TIMINGS", "Cell", "FixedSettings", "Member", "make_endpoints"]

SHORT_TIMINGS = CellTimings(
    lease_s=0.8,
    margin_s=0.1,
    renew_s=0.15,
    heartbeat_s=0.15,
    suspect_s=0.5,
    poll_s=0.15,
    settle_s=0.4,
    request_timeout_s=0.3,
)
WAIT_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02


class FixedSettings:
    """A `SettingsView` with fleet settings set by the test."""

    def __init__(self, fleet: FleetSettings) -> None:
        self._fleet = fleet
        self._callbacks: list[Callable[[], None]] = []
        self.ready = True

    def fleet(self) -> FleetSettings:
        """Return the fleet's settings."""
        return self._fleet

    def set_fleet(self, fleet: FleetSettings) -> None:
        """Change the fleet's settings."""
        self._fleet = fleet
        for callback in self._callbacks:
            callback()

    def team(self, team: str) -> TeamSettings | None:
        """Return None; tests of the cell have no teams."""
        return None

    def teams(self) -> tuple[TeamSettings, ...]:
        """Return no teams."""
        return ()

    def versions(self) -> tuple[SettingsVersion, ...]:
        """Return no versions."""
        return ()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change."""
        self._callbacks.append(callback)


class PausedTimer(Timer):
    """A timer that can be frozen: sleeping tasks don't continue until it is resumed."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.awake = asyncio.Event()
        self.awake.set()

    async def sleep(self, duration_s: float) -> None:
        """Sleep, then wait until the VM is not frozen."""
        await asyncio.sleep(duration_s)
        await self.awake.wait()


class FaultyNode(PeerNode):
    """A peer node that can be frozen or disconnected from single other VMs."""

    awake: asyncio.Event
    cut: frozenset[str] = frozenset()

    async def stream(
        self, vm_id: str, body: Any, progress_timeout_s: float = 5.0
    ) -> AsyncGenerator[Any, None]:
        """Send unless disconnected; receive answers only while not frozen."""
        if vm_id in self.cut:
            await asyncio.sleep(progress_timeout_s)
            raise PeerLost(f"{vm_id} is disconnected by the test")
        async with aclosing(super().stream(vm_id, body, progress_timeout_s)) as items:
            async for item in items:
                await self.awake.wait()
                yield item

    async def _dispatch(
        self, sender_vm_id: str, body: Any
    ) -> AsyncGenerator[Any, None]:
        await self.awake.wait()
        async with aclosing(super()._dispatch(sender_vm_id, body)) as items:
            async for item in items:
                await self.awake.wait()
                yield item


@dataclass
class Member:
    """A member of the cell with its components."""

    vm_id: str
    timer: PausedTimer
    peers: FaultyNode
    port: PlatformPort
    directory: CellDirectory
    shards: ReplicatedShards

    def freeze(self) -> None:
        """Stop this member's activity until `resume`; its clock keeps running."""
        self.timer.awake.clear()

    def resume(self) -> None:
        """Continue where the member was frozen."""
        self.timer.awake.set()

    async def stop(self) -> None:
        """Stop the member as a crash would, without notifying the others."""
        self.timer.close()
        await self.shards.close()
        await self.directory.close()
        await self.peers.close()


@dataclass
class Cell:
    """A cell under test: its platform, settings and members by VM identifier."""

    platform: MemoryPlatform = field(default_factory=MemoryPlatform)
    settings: FixedSettings = field(
        default_factory=lambda: FixedSettings(FleetSettings(shard_count=4))
    )
    timings: CellTimings = SHORT_TIMINGS
    members: dict[str, Member] = field(default_factory=dict)
    zones: int = 3
    data_folder: DataFolderSettings | None = None
    never_lead: frozenset[str] = frozenset()
    starts: itertools.count = field(default_factory=lambda: itertools.count(1))
    violations: list[str] = field(default_factory=list)
    checker: asyncio.Task | None = None

    async def check_exclusivity(self) -> None:
        """Record whenever an exclusive role has two holders at once."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S / 4)
            members = list(self.members.values())
            self._expect_one("lead", [m for m in members if m.directory.is_lead()])
            for shard in range(self.settings.fleet().shard_count):
                acting = [m for m in members if m.shards.may_act(shard)]
                self._expect_one(f"owner of shard {shard}", acting)
            for endpoint in self.settings.fleet().endpoints:
                name = endpoint.endpoint_id
                holders = [m for m in members if m.directory.holds_keeper_lease(name)]
                self._expect_one(f"keeper of {name}", holders)

    def _expect_one(self, role: str, holders: list[Member]) -> None:
        if len(holders) > 1:
            names = ", ".join(member.vm_id for member in holders)
            self.violations.append(f"{role}: {names}")

    async def start(self, vm_id: str) -> Member:
        """Start a member, with a new incarnation each time."""
        number = next(self.starts)
        incarnation = f"start-{number}"
        timer = PausedTimer(number)
        listener = listening_socket(Address("127.0.0.1", 0))
        address = Address(*listener.getsockname())
        zone = f"zone-{int(vm_id.removeprefix('vm')) % self.zones}"
        vm = VmSettings(vm_id, zone, "cell-a", "", address, address)
        peers = FaultyNode(vm_id, incarnation, timer)
        peers.awake = timer.awake
        port = self.platform.port()
        port.awake = timer.awake
        directory = CellDirectory(
            vm, incarnation, peers, port, self.settings, timer, self.timings
        )
        shards = ReplicatedShards(
            directory, peers, self.settings, timer, port, self.data_folder
        )
        await peers.start(listener)
        await directory.start()
        await shards.start()
        if vm_id not in self.never_lead:
            directory.become_candidate()
        member = Member(vm_id, timer, peers, port, directory, shards)
        self.members[vm_id] = member
        self.list_vms()
        if self.checker is None:
            self.checker = asyncio.create_task(self.check_exclusivity())
        return member

    def list_vms(self) -> None:
        """Set the platform's VM list to the running members."""
        self.platform.listed_vms = tuple(
            ListedVm(vm.vm_id, vm.availability_zone, VmState.LIVE)
            for vm in (member.directory.vm for member in self.members.values())
        )

    async def crash(self, vm_id: str) -> None:
        """Stop a member without notifying the others."""
        await self.members.pop(vm_id).stop()

    async def close(self) -> None:
        """Stop all members."""
        if self.checker is not None:
            self.checker.cancel()
        for vm_id in list(self.members):
            await self.crash(vm_id)
        await asyncio.sleep(0)

    def leads(self) -> list[Member]:
        """Return the members that hold the lead's lease and trust it."""
        return [m for m in self.members.values() if m.directory.is_lead()]

    def ready(self) -> bool:
        """Whether there is one lead and all members have the full table and pairs."""
        names = set(self.members)
        for member in self.members.values():
            table = member.directory.table()
            if not member.directory.ready or {v.vm_id for v in table.members} != names:
                return False
            shards = self.settings.fleet().shard_count
            if len(member.directory.view.pairs) < shards:
                return False
        return len(self.leads()) == 1

    async def until(
        self, condition: Callable[[], bool], limit_s: float = WAIT_TIMEOUT_S
    ) -> None:
        """Wait until a condition holds; raise `TimeoutError` after `limit_s`."""
        async with asyncio.timeout(limit_s):
            while True:
                if condition():
                    return
                await asyncio.sleep(POLL_INTERVAL_S)


def make_endpoints(count: int, fencing: Fencing, zones: int = 3) -> tuple:
    """Return engines ``e0``, ``e1``... on VMs ``host0``, ``host1``..."""
    return tuple(
        Endpoint(
            endpoint_id=f"e{number}",
            kind=EndpointKind.ENGINE,
            name="model",
            adapter="openai",
            url=f"http://127.0.0.1:1/{number}",
            availability_zone=f"zone-{number % zones}",
            vm_id=f"host{number}",
            fencing=fencing,
        )
        for number in range(count)
    )
