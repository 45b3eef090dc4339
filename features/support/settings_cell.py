"""features.support.settings_cell: members with settings, in one process."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import uvicorn
from starlette.applications import Starlette

import greengagetack.settings.http  # noqa: F401 - registers its routes
from features.support.memory_platform import MemoryPlatform
from greengagetack.daemons.limits import LimitsMiddleware
from greengagetack.daemons.protocol import bounded_config
from greengagetack.daemons.responses import EXCEPTION_HANDLERS
from greengagetack.daemons.role import ROUTE_SOURCES, Services
from greengagetack.membership.shards import ShardStore
from greengagetack.membership.table import CellTable
from greengagetack.observability.metrics import Metrics
from greengagetack.observability.traces import SpanStore
from greengagetack.peers.node import PeerNode, listening_socket
from greengagetack.routing.shared import SharedRouting
from greengagetack.settings.schema import VmSettings
from greengagetack.settings.store import SettingsStore
from greengagetack.settings.sync import SettingsRole
from greengagetack.timer import Timer
from greengagetack.world import Address, Endpoint, Vm

__all__ = [
    "FixedDirectory",
    "Member",
    "SettingsCell",
    "cancel_other_tasks",
    "wait_until",
]

LOOPBACK = Address("127.0.0.1", 0)
WAIT_S = 15.0


class FixedDirectory:
    """A directory whose members are set by the test."""

    ready = True

    def __init__(self) -> None:
        self.members: dict[str, Vm] = {}
        self.suspected: set[str] = set()

    def table(self) -> CellTable:
        """Return a table of all members."""
        return CellTable("c", 1, members=tuple(self.members.values()))

    def live_members(self) -> tuple[Vm, ...]:
        """Return the members that are not suspected."""
        return tuple(
            vm for vm in self.members.values() if vm.vm_id not in self.suspected
        )

    def endpoint(self, endpoint_id: str) -> Endpoint | None:
        """Return None; the cell has no endpoints."""
        return None

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Ignore the callback; members are only changed by the test."""


@dataclass
class Member:
    """The parts of one daemon that handle settings."""

    services: Services
    store: SettingsStore
    role: SettingsRole
    peers: PeerNode
    timer: Timer
    http: Address = LOOPBACK
    server: uvicorn.Server | None = None


class SettingsCell:
    """Starts and stops members that share one in-memory platform."""

    def __init__(self) -> None:
        self.platform = MemoryPlatform()
        self.directory = FixedDirectory()
        self.members: dict[str, Member] = {}
        self._starts = 0
        self._servers: list[asyncio.Task[None]] = []

    async def start(self, vm_id: str) -> Member:
        """Start a member; it has no state even if it ran before."""
        self._starts += 1
        timer = Timer(self._starts)
        incarnation = f"i{self._starts}"
        peers = PeerNode(vm_id, incarnation, timer)
        listener = listening_socket(LOOPBACK)
        address = Address(*listener.getsockname())
        await peers.start(listener)
        store = SettingsStore()
        services = Services(
            vm=VmSettings(vm_id, "a", "c", "http://127.0.0.1:1"),
            timer=timer,
            peers=peers,
            platform=self.platform,
            settings=store,
            directory=self.directory,  # type: ignore[arg-type]
            shards=cast(ShardStore, None),
            metrics=Metrics(),
            spans=SpanStore(vm_id),
            routing=SharedRouting(),
        )
        vm = Vm(vm_id, "a", incarnation, address, LOOPBACK)
        self.directory.members[vm_id] = vm
        self.directory.suspected.discard(vm_id)
        member = Member(services, store, SettingsRole(services), peers, timer)
        self.members[vm_id] = member
        for other_id, other in self.members.items():
            other.peers.set_address(vm_id, address)
            peers.set_address(other_id, self.directory.members[other_id].peer)
        await member.role.start()
        return member

    async def serve_http(self, vm_id: str) -> Address:
        """Serve the registered routes of a member and return the address."""
        member = self.members[vm_id]
        routes = [
            route for source in ROUTE_SOURCES for route in source(member.services)
        ]
        app = Starlette(routes=routes, exception_handlers=EXCEPTION_HANDLERS)
        listener = listening_socket(LOOPBACK)
        member.http = Address(*listener.getsockname())
        member.server = uvicorn.Server(bounded_config(LimitsMiddleware(app)))
        task = asyncio.create_task(member.server.serve(sockets=[listener]))
        self._servers.append(task)
        await wait_until(lambda: member.server and member.server.started)
        return member.http

    async def stop(self, vm_id: str, suspect: bool = True) -> None:
        """Stop a member at once and mark it as suspected if `suspect` is set."""
        member = self.members.pop(vm_id)
        if member.server is not None:
            member.server.should_exit = True
        await member.role.close()
        member.timer.close()
        await member.peers.close()
        if suspect:
            self.directory.suspected.add(vm_id)

    async def close(self) -> None:
        """Stop all members."""
        for vm_id in list(self.members):
            await self.stop(vm_id)
        await asyncio.gather(*self._servers, return_exceptions=True)
        await cancel_other_tasks()

    def versions(self, path: str) -> dict[str, int]:
        """Return the version of a path that each member has in force."""
        return {
            vm_id: member.store.version(path) for vm_id, member in self.members.items()
        }


async def cancel_other_tasks() -> None:
    """Cancel all other tasks of the event loop and wait for them."""
    current = asyncio.current_task()
    others = [task for task in asyncio.all_tasks() if task is not current]
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


async def wait_until(condition: Callable[[], Any], what: Any = "") -> None:
    """Wait for a condition, for at most ``WAIT_S`` seconds."""
    deadline_s = asyncio.get_running_loop().time() + WAIT_S
    while not condition():
        if asyncio.get_running_loop().time() > deadline_s:
            raise AssertionError(f"condition not met in {WAIT_S:g} s: {what}")
        await asyncio.sleep(0.01)
