"""bench.capacity.cell: a cell of many members in this process, with counters.

All members share one process and one event loop. They talk over real loopback
connections; the platform is in memory and counts its calls.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from greengagetack.membership.directory import CellDirectory
from greengagetack.membership.store import ReplicatedShards
from greengagetack.membership.timings import CellTimings
from greengagetack.objects.base import (
    ListedVm,
    ObjectConflict,
    ObjectStore,
    PlatformObject,
    WatchAnswer,
)
from greengagetack.peers.link import PeerLink
from greengagetack.peers.node import PeerNode, listening_socket
from greengagetack.settings.schema import FleetSettings, TeamSettings, VmSettings
from greengagetack.settings.view import SettingsVersion
from greengagetack.timer import Timer
from greengagetack.world import Address, Endpoint, EndpointKind, VmState

__all__ = ["BenchCell", "BenchMember", "CountingPlatform"]

ENDPOINTS_PER_MEMBER = 4
ZONES = 3
WAIT_LIMIT_S = 60.0
POLL_S = 0.02


class CountingPlatform:
    """Objects in memory; counts reads and writes."""

    def __init__(self) -> None:
        self.objects: dict[str, PlatformObject] = {}
        self.listed: tuple[ListedVm, ...] = ()
        self.reads = 0
        self.writes = 0

    async def read(self, path: str) -> PlatformObject | None:
        """Return an object, None if it does not exist."""
        self.reads += 1
        return self.objects.get(path)

    async def write(self, path: str, value: Any, expected_version: int) -> int:
        """Write if the version is as expected."""
        self.writes += 1
        known = self.objects.get(path)
        version = known.version if known else 0
        if version != expected_version:
            raise ObjectConflict(f"{path} is at version {version}")
        self.objects[path] = PlatformObject(path, version + 1, "", value)
        return version + 1

    async def list(self, prefix: str) -> WatchAnswer:
        """Return nothing; cells do not list."""
        return WatchAnswer(0, ())

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Return nothing; cells do not watch."""
        return WatchAnswer(0, ())

    async def vms(self) -> tuple[ListedVm, ...]:
        """Return the VM list."""
        self.reads += 1
        return self.listed

    def value_bytes(self, path: str) -> int:
        """Return the size of an object's value as JSON."""
        return len(json.dumps(self.objects[path].value, separators=(",", ":")))


class _FixedSettings:
    """Settings that do not change."""

    ready = True

    def __init__(self, fleet: FleetSettings) -> None:
        self._fleet = fleet

    def fleet(self) -> FleetSettings:
        """Return the fleet's settings."""
        return self._fleet

    def team(self, team: str) -> TeamSettings | None:
        """Return None."""
        return None

    def teams(self) -> tuple[TeamSettings, ...]:
        """Return no teams."""
        return ()

    def versions(self) -> tuple[SettingsVersion, ...]:
        """Return no versions."""
        return ()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Take no callback; nothing changes."""


class _CountingNode(PeerNode):
    """Counts the bytes that it sends and receives."""

    sent_bytes = 0
    received_bytes = 0

    def _new_link(
        self, vm_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> PeerLink:
        write = writer.write

        def counted(data: Any) -> None:
            self.sent_bytes += len(data)
            write(data)

        read = reader.read

        async def counted_read(size: int = -1) -> bytes:
            data = await read(size)
            self.received_bytes += len(data)
            return data

        writer.write = counted  # type: ignore[method-assign]
        reader.read = counted_read  # type: ignore[assignment,method-assign]
        return super()._new_link(vm_id, reader, writer)


@dataclass(slots=True)
class BenchMember:
    """One member's parts."""

    vm_id: str
    timer: Timer
    peers: _CountingNode
    directory: CellDirectory
    shards: ReplicatedShards

    async def stop(self) -> None:
        """End the member without a word to the others."""
        self.timer.close()
        await self.shards.close()
        await self.directory.close()
        await self.peers.close()


@dataclass(slots=True)
class BenchCell:
    """A cell of `count` members with default timings and `shards` shards."""

    count: int
    shards: int = 16
    timings: CellTimings = CellTimings()
    platform: CountingPlatform = field(default_factory=CountingPlatform)
    members: dict[str, BenchMember] = field(default_factory=dict)

    async def start(self) -> None:
        """Start all members and wait until the cell is whole."""
        settings = self.settings()
        for number in range(self.count):
            await self.start_member(number, settings, self.platform)
        await self.until(self.whole)

    def settings(self) -> _FixedSettings:
        """Return the cell's settings with four endpoints per member."""
        endpoints = tuple(
            Endpoint(
                endpoint_id=f"e{number}",
                kind=EndpointKind.ENGINE,
                name="model",
                adapter="openai",
                url=f"http://10.0.0.1:8000/{number}",
                availability_zone=f"zone-{number % ZONES}",
                vm_id=f"host{number}",
            )
            for number in range(self.count * ENDPOINTS_PER_MEMBER)
        )
        return _FixedSettings(
            FleetSettings(endpoints=endpoints, shard_count=self.shards)
        )

    async def start_member(
        self,
        number: int,
        settings: _FixedSettings,
        platform: ObjectStore,
        leads: bool = True,
    ) -> BenchMember:
        """Start one member, which may become the lead if `leads`."""
        vm_id = f"vm{number}"
        timer = Timer(number)
        listener = listening_socket(Address("127.0.0.1", 0))
        host, port = listener.getsockname()
        address = Address(host, port)
        vm = VmSettings(vm_id, f"zone-{number % ZONES}", "c", "", address, address)
        peers = _CountingNode(vm_id, f"start-{number}", timer)
        directory = CellDirectory(
            vm, peers.incarnation, peers, platform, settings, timer, self.timings
        )
        shards = ReplicatedShards(directory, peers, settings, timer, platform)
        await peers.start(listener)
        await directory.start()
        await shards.start()
        if leads:
            directory.become_candidate()
        member = BenchMember(vm_id, timer, peers, directory, shards)
        self.members[vm_id] = member
        listed = ListedVm(vm_id, vm.availability_zone, VmState.LIVE)
        self.platform.listed = (*self.platform.listed, listed)
        return member

    def whole(self) -> bool:
        """Whether all members know the same whole table, and all shards act."""
        names = set(self.members)
        for member in self.members.values():
            table = member.directory.table()
            if not member.directory.ready or {v.vm_id for v in table.members} != names:
                return False
        return self.lead() is not None and self.shards_act()

    def shards_act(self) -> bool:
        """Whether each shard has an owner that may act and a full backup."""
        acting = 0
        for shard in range(self.shards):
            acting += any(
                member.shards.may_act(shard) and member.shards.has_backup(shard)
                for member in self.members.values()
            )
        return acting == self.shards

    def lead(self) -> BenchMember | None:
        """Return the member that leads, None without one."""
        for member in self.members.values():
            if member.directory.is_lead():
                return member
        return None

    def sent_bytes(self) -> dict[str, int]:
        """Return the bytes sent so far, by member."""
        return {name: m.peers.sent_bytes for name, m in self.members.items()}

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while True:
                if condition():
                    return
                await asyncio.sleep(POLL_S)

    async def close(self) -> None:
        """End all members."""
        for member in self.members.values():
            await member.stop()
        self.members.clear()
