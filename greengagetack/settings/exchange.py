"""greengagetack.settings.exchange: exchanges newer settings versions with a peer."""

from collections.abc import Callable

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.peers.node import PeerNode
from greengagetack.settings.messages import (
    CompareSettings,
    FetchSettings,
    MemberVersions,
    PushSettings,
    SettingsVersions,
)
from greengagetack.settings.objects import SettingsObject
from greengagetack.settings.store import SettingsStore
from greengagetack.settings.view import SettingsVersion

__all__ = ["SettingsExchange"]

PEER_TIMEOUT_S = 2.0

Offer = Callable[[SettingsObject], bool]


class SettingsExchange:
    """Compares versions with single peers, and fetches and pushes subtrees.

    `offer` is called with each fetched subtree and applies it if it is newer.
    """

    def __init__(self, store: SettingsStore, peers: PeerNode, offer: Offer) -> None:
        self._store = store
        self._peers = peers
        self._offer = offer

    async def compare_with(self, vm_id: str) -> None:
        """Fetch subtrees that are newer on a peer and push those that are older."""
        try:
            answer = await self._peers.request(
                vm_id, CompareSettings(self._store.digest()), PEER_TIMEOUT_S
            )
            if not isinstance(answer, SettingsVersions):
                return
            if answer.loaded:
                await self.fetch(vm_id, answer.versions)
            await self._push_newer(vm_id, answer.versions)
        except CodedError as error:
            logger.debug("settings: comparison with {} failed: {}", vm_id, error.reason)

    async def _push_newer(
        self, vm_id: str, versions: tuple[SettingsVersion, ...]
    ) -> None:
        peer_versions = {one.path: one.version for one in versions}
        for known in self._store.objects():
            if known.version > peer_versions.get(known.path, 0):
                body = PushSettings.from_object(known)
                await self._peers.request(vm_id, body, PEER_TIMEOUT_S)

    async def fetch(self, vm_id: str, versions: tuple[SettingsVersion, ...]) -> None:
        """Fetch the subtrees of which a peer has a higher version."""
        paths = tuple(
            one.path for one in versions if one.version > self._store.version(one.path)
        )
        if not paths:
            return
        async for answer in self._peers.stream(
            vm_id, FetchSettings(paths), PEER_TIMEOUT_S
        ):
            if isinstance(answer, PushSettings):
                self._offer(answer.to_object())

    async def ask_versions(self, vm_id: str) -> MemberVersions:
        """Return the versions that a peer has applied, or why they are unknown."""
        try:
            # A digest that matches no daemon's makes the peer list its versions.
            answer = await self._peers.request(
                vm_id, CompareSettings(0), PEER_TIMEOUT_S
            )
        except CodedError as error:
            return MemberVersions(vm_id, reason=error.reason)
        if not isinstance(answer, SettingsVersions):
            return MemberVersions(
                vm_id, reason="unexpected answer to the version request"
            )
        return MemberVersions(vm_id, answer.versions)
