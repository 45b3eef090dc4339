"""greengagetack.settings.sync: keeps this daemon's settings up to date."""

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
    SettingsVersions,
    SpreadResult,
    SpreadSettings,
)
from greengagetack.settings.objects import (
    PREFIX,
    SettingsObject,
    settings_from_platform,
)
from greengagetack.settings.spread import SettingsSpreader
from greengagetack.settings.store import SettingsStore

__all__ = ["SettingsRole"]

WATCHER_COUNT = 2
NEIGHBOUR_COUNT = 2
WATCH_TIMEOUT_S = 20.0
WATCH_RETRY_S = 0.5
MAX_WATCH_RETRY_S = 2.0
WATCHER_CHECK_INTERVAL_S = 0.5
LOAD_RETRY_S = 0.3
PLATFORM_HEAD_START_S = 0.5
MAX_LOAD_RETRY_S = 2.0
COMPARE_INTERVAL_S = 1.0
VERIFY_DELAY_S = 0.5


@role
class SettingsRole(Role):
    """Loads the settings at startup and keeps them up to date.

    Two members of a cell watch the platform and push changes to the others. Each
    member compares a digest of its versions with a few fixed partners.
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
        self._compare_count = 0
        self._buffered: dict[str, SettingsObject] = {}

    async def start(self) -> None:
        """Register message handlers and start loading and watching settings."""
        self._peers.handle(PushSettings, self._handle_push)
        self._peers.handle(CompareSettings, self._handle_compare)
        self._peers.handle(FetchSettings, self._handle_fetch)
        self._peers.handle(SpreadSettings, self._handle_spread)
        self._peers.handle(AskApplied, self._handle_ask_applied)
        self._store.subscribe(self._export_versions)
        self._spawn(self._load())
        self._spawn(self._watch())
        self._timer.subscribe(COMPARE_INTERVAL_S, self._compare, "settings compare")

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _export_versions(self) -> None:
        for one in self._store.versions():
            self.services.metrics.set("settings_version", one.version, path=one.path)

    async def close(self) -> None:
        """Cancel all tasks."""
        self._spreader.close()
        for task in list(self._tasks):
            task.cancel()

    # Loading

    async def _load(self) -> None:
        """Load all settings from the platform or from all members, with retries.

        The platform has every accepted change, so members are only asked if it
        does not answer within ``PLATFORM_HEAD_START_S``. Nothing is applied until
        loading is complete: a member that lags, or that was behind this daemon
        before its restart, must not bring an older version back.
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
        """Offer a subtree to the store, or buffer it while settings are loading."""
        if self._store.loaded:
            return self._store.offer(found)
        known = self._buffered.get(found.path)
        if known is None or accept_version(known.version, found.version):
            self._buffered[found.path] = found
        return False

    def _finish_loading(self) -> None:
        """Apply the highest buffered versions and mark the store as loaded."""
        for found in self._buffered.values():
            self._store.offer(found)
        self._buffered.clear()
        self._store.mark_loaded()

    async def _load_from_platform(self) -> bool:
        try:
            answer = await self._platform.list(PREFIX)
        except CodedError as error:
            logger.warning(
                "settings: loading from the platform failed: {}", error.reason
            )
            return False
        for stored in answer.objects:
            self._offer(settings_from_platform(stored))
        return True

    async def _load_from_members(self) -> bool:
        """Fetch the settings of all other members.

        Returns
        -------
        bool
            Whether all of them answered. A member that did not answer may be the only
            one with the highest version.
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
            logger.debug("settings: loading from {} failed: {}", vm_id, error.reason)
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
                await self._timer.sleep(WATCHER_CHECK_INTERVAL_S)
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
        already_applied = [
            self._apply_from_platform(stored) for stored in answer.objects
        ]
        self._finish_loading()
        if any(already_applied) and revision is not None:
            # The daemon that accepted the change pushes it; check that members got it.
            self._spawn(self._verify_members())
        return answer.revision

    def _apply_from_platform(self, stored: PlatformObject) -> bool:
        """Apply and spread a newer version; return whether it was already applied."""
        found = settings_from_platform(stored)
        known = self._store.version(found.path)
        if found.version < known:
            logger.error(
                "settings: the platform has version {} of {}, version {} is applied",
                found.version,
                found.path,
                known,
            )
        if found.version > known and self._offer(found):
            self._spawn(self._spread_in_background(found))
        return found.version == known

    async def _spread_in_background(self, found: SettingsObject) -> None:
        await self._spreader.spread(found, 0.0)

    async def _verify_members(self) -> None:
        await self._timer.sleep(self._timer.jittered_s(VERIFY_DELAY_S))
        for vm_id in self._other_vm_ids():
            await self._exchange.compare_with(vm_id)

    # Comparing

    def _partner_vm_ids(self) -> tuple[str, ...]:
        """Return the watchers and two fixed neighbours, excluding this daemon."""
        others = self._other_vm_ids()
        own = self._peers.vm_id
        neighbours = rendezvous_order(f"settings/{own}", others)[:NEIGHBOUR_COUNT]
        watchers = [vm_id for vm_id in self._watcher_vm_ids() if vm_id != own]
        return tuple(dict.fromkeys([*watchers, *neighbours]))

    async def _compare(self) -> None:
        partners = self._partner_vm_ids()
        if not partners:
            return
        self._compare_count += 1
        await self._exchange.compare_with(partners[self._compare_count % len(partners)])

    # Serving

    async def _handle_push(self, sender: str, body: PushSettings) -> SettingsConfirmed:
        if not self._store.loaded:
            raise NotReady("the settings are still loading", LOAD_RETRY_S)
        self._store.offer(body.to_object())
        return SettingsConfirmed(body.path, self._store.version(body.path))

    async def _handle_compare(
        self, sender: str, body: CompareSettings
    ) -> Done | SettingsVersions:
        if body.digest == self._store.digest() and self._store.ready:
            return Done()
        return SettingsVersions(self._store.ready, self._store.versions())

    async def _handle_fetch(
        self, sender: str, body: FetchSettings
    ) -> AsyncGenerator[PushSettings, None]:
        for known in self._store.objects():
            if not body.paths or known.path in body.paths:
                yield PushSettings.from_object(known)

    async def _handle_spread(self, sender: str, body: SpreadSettings) -> SpreadResult:
        pushed = body.pushed.to_object()
        self._store.offer(pushed)
        return await self._spreader.spread(pushed, body.wait_s)

    async def _handle_ask_applied(
        self, sender: str, body: AskApplied
    ) -> AsyncGenerator[MemberVersions, None]:
        yield MemberVersions(self._peers.vm_id, self._store.versions())
        vm_ids = self._other_vm_ids(live_only=False)
        for answer in await asyncio.gather(
            *[self._exchange.ask_versions(vm_id) for vm_id in vm_ids]
        ):
            yield answer
