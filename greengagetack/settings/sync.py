"""greengagetack.settings.sync: keeps this daemon's settings at the newest version."""

import asyncio
from collections.abc import AsyncGenerator, Coroutine
from typing import Any

from loguru import logger

from greengagetack.daemons.role import Role, Services, role
from greengagetack.errors import CodedError, NotReady
from greengagetack.leases.decisions import accept_version
from greengagetack.membership.table import rendezvous_order
from greengagetack.objects.base import PlatformObject
from greengagetack.peers.messages import Done
from greengagetack.settings.exchange import PEER_TIMEOUT_S, SettingsExchange
from greengagetack.settings.messages import (
    AskApplied,
    CompareSettings,
    FetchSettings,
    MemberVersions,
    PushSettings,
    SettingsConfirmed,
    SettingsSpread,
    SettingsVersions,
    SpreadSettings,
)
from greengagetack.settings.objects import PREFIX, SettingsObject, from_platform
from greengagetack.settings.spread import SettingsSpreader
from greengagetack.settings.store import SettingsStore

__all__ = ["SettingsRole"]

WATCHER_COUNT = 2
NEIGHBOUR_COUNT = 2
WATCH_TIMEOUT_S = 20.0
WATCH_RETRY_S = 0.5
MAX_WATCH_RETRY_S = 2.0
DUTY_CHECK_S = 0.5
LOAD_RETRY_S = 0.3
PLATFORM_HEAD_START_S = 0.5
MAX_LOAD_RETRY_S = 2.0
COMPARE_INTERVAL_S = 1.0
VERIFY_DELAY_S = 0.5


@role
class SettingsRole(Role):
    """Loads settings at start, watches or compares, and spreads changes.

    Two members of a cell watch the platform and push what changes; all others
    compare a digest of their versions with a few fixed partners.
    """

    name = "settings"
    started_by = ""

    def __init__(self, services: Services) -> None:
        super().__init__(services)
        store = services.settings
        if not isinstance(store, SettingsStore):
            raise TypeError("the role 'settings' needs a SettingsStore")
        self._store = store
        self._peers = services.peers
        self._directory = services.directory
        self._platform = services.platform
        self._timer = services.timer
        self._spreader = SettingsSpreader(
            store, services.peers, services.directory, services.timer
        )
        self._exchange = SettingsExchange(store, services.peers, self._offer)
        self._tasks: set[asyncio.Task[None]] = set()
        self._turn = 0
        self._loading: dict[str, SettingsObject] = {}

    async def start(self) -> None:
        """Serve messages, load the settings and keep them at the newest version."""
        self._peers.handle(PushSettings, self._take_push)
        self._peers.handle(CompareSettings, self._take_compare)
        self._peers.handle(FetchSettings, self._take_fetch)
        self._peers.handle(SpreadSettings, self._take_spread)
        self._peers.handle(AskApplied, self._take_ask_applied)
        self._store.subscribe(self._show_versions)
        self._spawn(self._load())
        self._spawn(self._watch())
        self._timer.subscribe(COMPARE_INTERVAL_S, self._compare, "settings compare")

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _show_versions(self) -> None:
        for one in self._store.versions():
            self.services.metrics.set("settings_version", one.version, path=one.path)

    async def close(self) -> None:
        """End all tasks."""
        self._spreader.close()
        for task in list(self._tasks):
            task.cancel()

    # Loading

    async def _load(self) -> None:
        """Ask the platform or all members until one has given all settings.

        The platform has every accepted change, so that members are asked only if
        it does not answer at once. Until then nothing is put in force: a member
        that lags, or that this daemon was ahead of before it restarted, must not
        bring an older version back.
        """
        retry_s = LOAD_RETRY_S
        while not self._store.ready:
            if await self._load_once():
                self._finish_loading()
            if self._store.ready:
                logger.info("settings: loaded")
                return
            await self._timer.sleep(self._timer.jittered_s(retry_s))
            retry_s = min(2 * retry_s, MAX_LOAD_RETRY_S)

    async def _load_once(self) -> bool:
        platform = asyncio.create_task(self._load_from_platform())
        await asyncio.wait([platform], timeout=PLATFORM_HEAD_START_S)
        if platform.done() and platform.result():
            return True
        answers = await asyncio.gather(platform, self._load_from_members())
        return any(answers)

    def _offer(self, found: SettingsObject) -> bool:
        """Offer a subtree to the store, or keep it until all are loaded."""
        if self._store.loaded:
            return self._store.offer(found)
        known = self._loading.get(found.path)
        if known is None or accept_version(known.version, found.version):
            self._loading[found.path] = found
        return False

    def _finish_loading(self) -> None:
        """Put the highest versions that were offered in force."""
        for found in self._loading.values():
            self._store.offer(found)
        self._loading.clear()
        self._store.mark_loaded()

    async def _load_from_platform(self) -> bool:
        try:
            answer = await self._platform.list(PREFIX)
        except CodedError as error:
            logger.warning("settings: the platform did not answer: {}", error.reason)
            return False
        for stored in answer.objects:
            self._offer(from_platform(stored))
        return True

    async def _load_from_members(self) -> bool:
        """Take the highest versions of all other members.

        Returns
        -------
        bool
            Whether every one of them answered; the one that is missing may be the
            only one with the highest version.
        """
        vm_ids = self._other_vm_ids(live_only=False)
        answers = await asyncio.gather(*[self._load_from(vm_id) for vm_id in vm_ids])
        return bool(answers) and all(answers)

    async def _load_from(self, vm_id: str) -> bool:
        try:
            answer = await self._peers.request(
                vm_id, CompareSettings(self._store.digest()), PEER_TIMEOUT_S
            )
            if not isinstance(answer, SettingsVersions) or not answer.loaded:
                return False
            await self._exchange.fetch(vm_id, answer.versions)
        except CodedError as error:
            logger.debug("settings: {} gave no settings: {}", vm_id, error.reason)
            return False
        return True

    # Watching

    def _other_vm_ids(self, live_only: bool = True) -> tuple[str, ...]:
        directory = self._directory
        members = directory.live_members() if live_only else directory.table().members
        own = self._peers.vm_id
        return tuple(vm.vm_id for vm in members if vm.vm_id != own)

    def _watcher_vm_ids(self) -> tuple[str, ...]:
        vm_ids = (*self._other_vm_ids(), self._peers.vm_id)
        order = rendezvous_order("settings/watch", vm_ids)
        return order[:WATCHER_COUNT]

    async def _watch(self) -> None:
        revision: int | None = None
        retry_s = WATCH_RETRY_S
        while True:
            if self._peers.vm_id not in self._watcher_vm_ids():
                revision = None
                await self._timer.sleep(DUTY_CHECK_S)
                continue
            try:
                revision = await self._watch_once(revision)
                retry_s = WATCH_RETRY_S
            except CodedError as error:
                logger.warning("settings: watch failed: {}", error.reason)
                wait_s = max(retry_s, error.retry_after_s or 0.0)
                retry_s = min(2 * retry_s, MAX_WATCH_RETRY_S)
                await self._timer.sleep(
                    self._timer.jittered_s(min(wait_s, MAX_WATCH_RETRY_S))
                )

    async def _watch_once(self, revision: int | None) -> int:
        if revision is None:
            answer = await self._platform.list(PREFIX)
        else:
            answer = await self._platform.watch(PREFIX, revision, WATCH_TIMEOUT_S)
        already_known = [self._take_from_platform(stored) for stored in answer.objects]
        self._finish_loading()
        if any(already_known) and revision is not None:
            # The daemon that accepted the change pushes it; see that it does.
            self._spawn(self._verify_later())
        return answer.revision

    def _take_from_platform(self, stored: PlatformObject) -> bool:
        """Apply and spread what is newer; return whether it was in force before."""
        found = from_platform(stored)
        known = self._store.version(found.path)
        if found.version < known:
            logger.error(
                "settings: the platform shows version {} of {}, version {} is in force",
                found.version,
                found.path,
                known,
            )
        if found.version > known and self._offer(found):
            self._spawn(self._spread_quietly(found))
        return found.version == known

    async def _spread_quietly(self, found: SettingsObject) -> None:
        await self._spreader.spread(found, 0.0)

    async def _verify_later(self) -> None:
        await self._timer.sleep(self._timer.jittered_s(VERIFY_DELAY_S))
        for vm_id in self._other_vm_ids():
            await self._exchange.compare_with(vm_id)

    # Comparing

    def _partner_vm_ids(self) -> tuple[str, ...]:
        """Return the watchers and two fixed neighbours, without this daemon."""
        others = self._other_vm_ids()
        own = self._peers.vm_id
        neighbours = rendezvous_order(f"settings/{own}", others)[:NEIGHBOUR_COUNT]
        watchers = [vm_id for vm_id in self._watcher_vm_ids() if vm_id != own]
        return tuple(dict.fromkeys([*watchers, *neighbours]))

    async def _compare(self) -> None:
        partners = self._partner_vm_ids()
        if not partners:
            return
        self._turn += 1
        await self._exchange.compare_with(partners[self._turn % len(partners)])

    # Serving

    async def _take_push(self, sender: str, body: PushSettings) -> SettingsConfirmed:
        if not self._store.loaded:
            raise NotReady("the settings are being loaded", LOAD_RETRY_S)
        self._store.offer(body.to_object())
        return SettingsConfirmed(body.path, self._store.version(body.path))

    async def _take_compare(
        self, sender: str, body: CompareSettings
    ) -> Done | SettingsVersions:
        if body.digest == self._store.digest() and self._store.ready:
            return Done()
        return SettingsVersions(self._store.ready, self._store.versions())

    async def _take_fetch(
        self, sender: str, body: FetchSettings
    ) -> AsyncGenerator[PushSettings, None]:
        for known in self._store.objects():
            if not body.paths or known.path in body.paths:
                yield PushSettings.from_object(known)

    async def _take_spread(self, sender: str, body: SpreadSettings) -> SettingsSpread:
        pushed = body.pushed.to_object()
        self._store.offer(pushed)
        return await self._spreader.spread(pushed, body.wait_s)

    async def _take_ask_applied(
        self, sender: str, body: AskApplied
    ) -> AsyncGenerator[MemberVersions, None]:
        yield MemberVersions(self._peers.vm_id, self._store.versions())
        vm_ids = self._other_vm_ids(live_only=False)
        for answer in await asyncio.gather(
            *[self._exchange.ask_versions(vm_id) for vm_id in vm_ids]
        ):
            yield answer
