"""greengagetack.daemons.assembly: builds a daemon of its parts and runs them."""

import enum
import socket
from dataclasses import replace
from pathlib import Path

from loguru import logger

from greengagetack.daemons.parts import PARTS
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
    """What the balancer should know about a daemon."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class Daemon:
    """One process with its services and roles.

    Parameters
    ----------
    settings : VmSettings
        The settings file.
    peer, http : Address
        Where the daemon really listens.
    incarnation : str
        Differs after each start.
    """

    def __init__(
        self, settings: VmSettings, peer: Address, http: Address, incarnation: str
    ) -> None:
        vm = replace(settings, peer=peer, http=http)
        timer = Timer()
        tls = load_peer_tls(vm.tls)
        peers = PeerNode(vm.vm_id, incarnation, timer, tls.server, tls.client)
        platform = PlatformClient(vm.platform_url, _platform_token(vm))
        store = SettingsStore()
        self._directory = CellDirectory(vm, incarnation, peers, platform, store, timer)
        self._shards = ReplicatedShards(
            self._directory, peers, store, timer, platform, vm.data_folder
        )
        self._platform = platform
        self._draining = False
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
        chosen = self.services.vm.roles
        roles: list[Role] = []
        for name, role_type in ROLES.items():
            started_by = name if role_type.started_by is None else role_type.started_by
            if not started_by or started_by in chosen:
                roles.append(role_type(self.services))
        return tuple(roles)

    async def start(self, peer_listener: socket.socket) -> None:
        """Start all parts, then accept links."""
        logger.debug("daemon: {} parts are registered", len(PARTS))
        await self._directory.start()
        await self._shards.start()
        for part in self.roles:
            await part.start()
        await self.services.peers.start(peer_listener)
        logger.info("daemon: listens for peers on {}", self.services.vm.peer)

    def readiness(self) -> Readiness:
        """Return what the balancer should know."""
        if self._draining:
            return Readiness.DRAINING
        if not (self.services.settings.ready and self.services.directory.ready):
            return Readiness.STARTING
        return Readiness.READY if self._shards_are_known() else Readiness.STARTING

    def _shards_are_known(self) -> bool:
        """Whether requests for every shard can be sent to its owner."""
        shard_count = self.services.settings.fleet().shard_count
        pair = self.services.directory.pair
        return all(pair(shard) is not None for shard in range(shard_count))

    async def hand_over(self) -> None:
        """Turn readiness off, then hand over endpoints and shards.

        Jobs go on here until another VM owns their shard.
        """
        self._draining = True
        await self._directory.drain()
        for part in self.roles:
            await part.prepare_handover()
        await self._shards.drain()

    async def drain(self) -> None:
        """Finish what is in flight."""
        for part in reversed(self.roles):
            await part.drain()

    async def close(self) -> None:
        """Release everything."""
        for part in reversed(self.roles):
            await part.close()
        self.services.routing.close()
        await self._shards.close()
        await self._directory.close()
        await self.services.peers.close()
        await self._platform.close()
        self.services.timer.close()


def _platform_token(vm: VmSettings) -> str | None:
    if vm.platform_token_file is None:
        return None
    return Path(vm.platform_token_file).read_text().strip()
