"""bench.capacity.cell: a cell of many members in this process, with counters.

All members share one process and one event loop and communicate over real loopback
connections. The platform is an in-memory object store that counts its calls.
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
WAIT_TIMEOUT_S = 60.0
POLL_S = 0.02


class CountingPlatform:
    """An in-memory object store that counts reads and writes."""

    def __init__(self) -> None:
        self.objects: dict[str, PlatformObject] = {}
        self.listed: tuple[ListedVm, ...] = ()
        self.reads = 0
        self.writes = 0

    async def read(self, path: str) -> PlatformObject | None:
        """Return an object; None if it does not exist."""
        self.reads += 1
        return self.objects.get(path)

    async def write(self, path: str, value: Any, expected_version: int) -> int:
        """Write an object if its version is `expected_version`; return the new one."""
        self.writes += 1
        current = self.objects.get(path)
        version = current.version if current else 0
        if version != expected_version:
            raise ObjectConflict(f"{path} is at version {version}")
        self.objects[path] = PlatformObject(path, version + 1, "", value)
        return version + 1

    async def list(self, prefix: str) -> WatchAnswer:
        """Return no objects; members of a cell do not list."""
        return WatchAnswer(0, ())

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Return no objects; members of a cell do not watch."""
        return WatchAnswer(0, ())

    async def vms(self) -> tuple[ListedVm, ...]:
        """Return the VM list."""
        self.reads += 1
        return self.listed

    def value_bytes(self, path: str) -> int:
        """Return the size of an object's value as JSON."""
        return len(json.dumps(self.objects[path].value, separators=(",", ":")))


class _FixedSettings:
    """Constant settings of the fleet without teams."""

    ready = True

    def __init__(self, fleet: FleetSettings) -> None:
        self._fleet = fleet

    def fleet(self) -> FleetSettings:
        """Return the fleet's settings."""
        return self._fleet

    def team(self, team: str) -> TeamSettings | None:
        """Return None; there are no teams."""
        return None

    def teams(self) -> tuple[TeamSettings, ...]:
        """Return no teams."""
        return ()

    def versions(self) -> tuple[SettingsVersion, ...]:
        """Return no versions."""
        return ()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Ignore the callback, because the settings never change."""


class _CountingNode(PeerNode):
    """A peer node that counts the bytes that it sends and receives."""

    sent_bytes = 0
    received_bytes = 0

    def _new_link(
        self, vm_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> PeerLink:
        write = writer.write

        def counted_write(data: Any) -> None:
            self.sent_bytes += len(data)
            write(data)

        read = reader.read

        async def counted_read(size: int = -1) -> bytes:
            data = await read(size)
            self.received_bytes += len(data)
            return data

        writer.write = counted_write  # type: ignore[method-assign]
        reader.read = counted_read  # type: ignore[assignment,method-assign]
        return super()._new_link(vm_id, reader, writer)


@dataclass(slots=True)
class BenchMember:
    """The components of one member."""

    vm_id: str
    timer: Timer
    peers: _CountingNode
    directory: CellDirectory
    shards: ReplicatedShards

    async def stop(self) -> None:
        """End the member without notifying the others."""
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
        """Start all members and wait until the cell has converged."""
        settings = self.settings()
        for number in range(self.count):
            await self.start_member(number, settings, self.platform)
        await self.wait_until(self.has_converged)

    def settings(self) -> _FixedSettings:
        """Return the cell's settings with a fixed number of endpoints per member."""
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
        may_lead: bool = True,
    ) -> BenchMember:
        """Start one member; it stands for lead only if `may_lead`."""
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
        if may_lead:
            directory.become_candidate()
        member = BenchMember(vm_id, timer, peers, directory, shards)
        self.members[vm_id] = member
        listed = ListedVm(vm_id, vm.availability_zone, VmState.LIVE)
        self.platform.listed = (*self.platform.listed, listed)
        return member

    def has_converged(self) -> bool:
        """Whether all members have a table of all members and all shards are active."""
        names = set(self.members)
        for member in self.members.values():
            table = member.directory.table()
            if not member.directory.ready or {v.vm_id for v in table.members} != names:
                return False
        return self.lead() is not None and self.are_shards_active()

    def are_shards_active(self) -> bool:
        """Whether each shard has an owner that may act and a complete backup."""
        active = 0
        for shard in range(self.shards):
            active += any(
                member.shards.may_act(shard) and member.shards.has_backup(shard)
                for member in self.members.values()
            )
        return active == self.shards

    def lead(self) -> BenchMember | None:
        """Return the lead; None without one."""
        for member in self.members.values():
            if member.directory.is_lead():
                return member
        return None

    def sent_bytes(self) -> dict[str, int]:
        """Return the number of bytes sent so far by each member."""
        return {name: m.peers.sent_bytes for name, m in self.members.items()}

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Poll a condition until it holds.

        Raises
        ------
        TimeoutError
            If the condition does not hold within `WAIT_TIMEOUT_S`.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                if condition():
                    return
                await asyncio.sleep(POLL_S)

    async def close(self) -> None:
        """Stop all members."""
        for member in self.members.values():
            await member.stop()
        self.members.clear()
