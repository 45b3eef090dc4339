"""greengagetack.daemons.assembly: builds, starts and stops a daemon."""

import enum
import socket
from dataclasses import replace
from pathlib import Path

from loguru import logger

from greengagetack.daemons.parts import REGISTERED_MODULES
from greengagetack.daemons.role import ROLES, Role, Services
from greengagetack.membership.directory import CellDirectory
from greengagetack.membership.store import ReplicatedShards
from greengagetack.objects.client import PlatformClient
from greengagetack.observability.metrics import Metrics
from greengagetack.observability.traces import configure_traces
from greengagetack.peers.node import PeerNode
from greengagetack.peers.tls import load_peer_tls
from greengagetack.routing.shared import SharedRouting
from greengagetack.settings.schema import VmSettings
from greengagetack.settings.store import SettingsStore
from greengagetack.timer import Timer
from greengagetack.world import Address

__all__ = ["Daemon", "Readiness"]


class Readiness(enum.StrEnum):
    """Readiness of a daemon as reported to the load balancer."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class Daemon:
    """One daemon process with its services and roles.

    Parameters
    ----------
    settings : VmSettings
        Content of the settings file.
    peer, http : Address
        Addresses that the daemon's sockets are bound to.
    incarnation : str
        Identifier that is unique to each start of the daemon.
    """

    def __init__(
        self, settings: VmSettings, peer: Address, http: Address, incarnation: str
    ) -> None:
        vm = replace(settings, peer=peer, http=http)
        timer = Timer()
        tls = load_peer_tls(vm.tls)
        peers = PeerNode(vm.vm_id, incarnation, timer, tls.server, tls.client)
        platform = PlatformClient(vm.platform_url, _read_platform_token(vm))
        store = SettingsStore()
        self._directory = CellDirectory(vm, incarnation, peers, platform, store, timer)
        self._shards = ReplicatedShards(
            self._directory, peers, store, timer, platform, vm.data_folder
        )
        self._platform = platform
        self._is_draining = False
        self.services = Services(
            vm=vm,
            timer=timer,
            peers=peers,
            platform=platform,
            settings=store,
            directory=self._directory,
            shards=self._shards,
            metrics=Metrics(),
            spans=configure_traces(vm.vm_id),
            routing=SharedRouting(),
        )
        self.services.routing.connect(self.services)
        self.roles = self._make_roles()

    def _make_roles(self) -> tuple[Role, ...]:
        configured_roles = self.services.vm.roles
        roles: list[Role] = []
        for name, role_type in ROLES.items():
            started_by = name if role_type.started_by is None else role_type.started_by
            if not started_by or started_by in configured_roles:
                roles.append(role_type(self.services))
        return tuple(roles)

    async def start(self, peer_listener: socket.socket) -> None:
        """Start all services and roles, then accept connections from peers."""
        logger.debug(
            "daemon: {} modules with roles or routes loaded", len(REGISTERED_MODULES)
        )
        await self._directory.start()
        await self._shards.start()
        for role in self.roles:
            await role.start()
        await self.services.peers.start(peer_listener)
        logger.info("daemon: listening for peers on {}", self.services.vm.peer)

    def readiness(self) -> Readiness:
        """Return the readiness reported to the load balancer."""
        if self._is_draining:
            return Readiness.DRAINING
        if not (self.services.settings.ready and self.services.directory.ready):
            return Readiness.STARTING
        return Readiness.READY if self._all_shards_have_owners() else Readiness.STARTING

    def _all_shards_have_owners(self) -> bool:
        """Whether the owner of every shard is known, so that requests can be routed."""
        shard_count = self.services.settings.fleet().shard_count
        pair = self.services.directory.pair
        return all(pair(shard) is not None for shard in range(shard_count))

    async def hand_over(self) -> None:
        """Report draining, then hand over endpoints and shards.

        Jobs continue on this VM until another VM owns their shard.
        """
        self._is_draining = True
        await self._directory.drain()
        for role in self.roles:
            await role.prepare_handover()
        await self._shards.drain()

    async def drain(self) -> None:
        """Finish requests in flight."""
        for role in reversed(self.roles):
            await role.drain()

    async def close(self) -> None:
        """Close all roles, services and connections."""
        for role in reversed(self.roles):
            await role.close()
        self.services.routing.close()
        await self._shards.close()
        await self._directory.close()
        await self.services.peers.close()
        await self._platform.close()
        self.services.timer.close()


def _read_platform_token(vm: VmSettings) -> str | None:
    if vm.platform_token_file is None:
        return None
    return Path(vm.platform_token_file).read_text().strip()
