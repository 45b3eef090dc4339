"""greengagetack.settings.spread: pushes changes to members until they confirm."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.membership.table import Directory
from greengagetack.peers.node import PeerNode
from greengagetack.settings.messages import (
    PushSettings,
    SettingsConfirmed,
    SpreadResult,
)
from greengagetack.settings.objects import SettingsObject
from greengagetack.settings.store import SettingsStore
from greengagetack.timer import Timer

__all__ = ["SettingsSpreader"]

PUSH_TIMEOUT_S = 2.0
PUSH_RETRY_S = 0.25
MAX_PUSH_S = 30.0


class SettingsSpreader:
    """Runs the tasks that push accepted changes to the other members."""

    def __init__(
        self, store: SettingsStore, peers: PeerNode, directory: Directory, timer: Timer
    ) -> None:
        self._store = store
        self._peers = peers
        self._directory = directory
        self._timer = timer
        self._tasks: set[asyncio.Task[None]] = set()

    async def spread(self, pushed: SettingsObject, wait_s: float) -> SpreadResult:
        """Push a subtree to all members; wait up to `wait_s` for them to confirm.

        Pushes continue in the background, for ``MAX_PUSH_S`` seconds in all. Members
        that are still missing the change then get it by comparing versions.
        """
        vm_ids = self._other_vm_ids()
        missing = set(vm_ids)
        own = self._peers.vm_id
        confirmed_here = self._store.version(pushed.path) >= pushed.version
        if not confirmed_here:
            missing.add(own)
        tasks = [
            self._start(self._push_until_confirmed(vm_id, pushed, missing.discard))
            for vm_id in vm_ids
        ]
        if tasks and wait_s > 0:
            await asyncio.wait(tasks, timeout=wait_s)
        confirmed = {*vm_ids, own} - missing
        return SpreadResult(tuple(sorted(confirmed)), tuple(sorted(missing)))

    def _other_vm_ids(self) -> tuple[str, ...]:
        members = self._directory.table().members
        own = self._peers.vm_id
        return tuple(vm.vm_id for vm in members if vm.vm_id != own)

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _push_until_confirmed(
        self, vm_id: str, pushed: SettingsObject, confirm: Callable[[str], None]
    ) -> None:
        deadline_s = self._timer.now_s() + MAX_PUSH_S
        body = PushSettings.from_object(pushed)
        while self._timer.now_s() < deadline_s:
            if vm_id not in self._other_vm_ids():
                return
            try:
                answer = await self._peers.request(vm_id, body, PUSH_TIMEOUT_S)
            except CodedError as error:
                logger.debug("settings: push to {} failed: {}", vm_id, error.reason)
                await self._timer.sleep(self._timer.jittered_s(PUSH_RETRY_S))
                continue
            if isinstance(answer, SettingsConfirmed):
                if answer.version >= pushed.version:
                    confirm(vm_id)
                    return
                logger.warning(
                    "settings: {} rejected {} version {}",
                    vm_id,
                    pushed.path,
                    pushed.version,
                )
                return
            await self._timer.sleep(self._timer.jittered_s(PUSH_RETRY_S))
        logger.warning(
            "settings: {} did not confirm {} version {}",
            vm_id,
            pushed.path,
            pushed.version,
        )

    def close(self) -> None:
        """Cancel all pushes."""
        for task in list(self._tasks):
            task.cancel()
