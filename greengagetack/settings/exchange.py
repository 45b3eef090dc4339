"""greengagetack.settings.exchange: compares settings with a peer and evens them out."""

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
    """Asks single peers for their versions, fetches and pushes subtrees.

    `offer` puts in force what is fetched, if it is newer.
    """

    def __init__(self, store: SettingsStore, peers: PeerNode, offer: Offer) -> None:
        self._store = store
        self._peers = peers
        self._offer = offer

    async def compare_with(self, vm_id: str) -> None:
        """Take what a peer has newer and push to it what it has older."""
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
            logger.debug("settings: compare with {} failed: {}", vm_id, error.reason)

    async def _push_newer(
        self, vm_id: str, versions: tuple[SettingsVersion, ...]
    ) -> None:
        theirs = {one.path: one.version for one in versions}
        for known in self._store.objects():
            if known.version > theirs.get(known.path, 0):
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
        """Return what a peer has in force, or why that is not known."""
        try:
            # A digest that no daemon has makes the peer list its versions.
            answer = await self._peers.request(
                vm_id, CompareSettings(0), PEER_TIMEOUT_S
            )
        except CodedError as error:
            return MemberVersions(vm_id, reason=error.reason)
        if not isinstance(answer, SettingsVersions):
            return MemberVersions(vm_id, reason="it gave no versions")
        return MemberVersions(vm_id, answer.versions)
