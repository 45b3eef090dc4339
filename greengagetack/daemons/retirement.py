"""greengagetack.daemons.retirement: confirms that a VM without state may be taken."""

import asyncio
from typing import Any, Protocol

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.objects.base import PlatformObject
from greengagetack.objects.feed import Feed

__all__ = ["RetirementDuty", "StatusStore"]

RETRY_S = 0.5


class StatusStore(Protocol):
    """What the duty needs of the object store."""

    async def write_status(self, path: str, status: Any) -> None:
        """Replace an object's status."""


class RetirementDuty:
    """Follows requests to empty VMs and confirms its own at once.

    Parameters
    ----------
    path : str
        Where the request to empty this VM lies.
    confirmation : object
        The status that confirms it.
    """

    def __init__(
        self, store: StatusStore, feed: Feed, path: str, confirmation: Any
    ) -> None:
        self._store = store
        self._feed = feed
        self._path = path
        self._confirmation = confirmation
        self._asked = asyncio.Event()
        feed.subscribe(self._on_request)

    def _on_request(
        self, changed: tuple[PlatformObject, ...], gone: tuple[str, ...]
    ) -> None:
        if any(stored.path == self._path for stored in changed):
            self._asked.set()

    async def run(self) -> None:
        """Follow requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._feed.run())
            group.create_task(self._confirm())

    async def _confirm(self) -> None:
        await self._asked.wait()
        while True:
            try:
                await self._store.write_status(self._path, self._confirmation)
            except CodedError as error:
                logger.warning("storage: not confirmed as empty: {}", error.reason)
                await asyncio.sleep(RETRY_S)
                continue
            logger.info("storage: confirmed as empty")
            return
