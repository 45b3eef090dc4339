"""greengagetack.daemons.retirement: confirms the retirement of a stateless VM."""

import asyncio
from typing import Any, Protocol

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.objects.base import PlatformObject
from greengagetack.objects.feed import Feed

__all__ = ["RetirementHandler", "StatusStore"]

CONFIRM_RETRY_S = 0.5


class StatusStore(Protocol):
    """The part of the object store that `RetirementHandler` uses."""

    async def write_status(self, path: str, status: Any) -> None:
        """Replace an object's status."""


class RetirementHandler:
    """Watches retirement requests and confirms the one for its own VM at once.

    Parameters
    ----------
    path : str
        Path of the object that requests this VM's retirement.
    confirmation : object
        Status that confirms the request.
    """

    def __init__(
        self, store: StatusStore, feed: Feed, path: str, confirmation: Any
    ) -> None:
        self._store = store
        self._feed = feed
        self._path = path
        self._confirmation = confirmation
        self._requested = asyncio.Event()
        feed.subscribe(self._on_request)

    def _on_request(
        self, changed: tuple[PlatformObject, ...], deleted: tuple[str, ...]
    ) -> None:
        if any(stored.path == self._path for stored in changed):
            self._requested.set()

    async def run(self) -> None:
        """Watch for requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._feed.run())
            group.create_task(self._confirm())

    async def _confirm(self) -> None:
        await self._requested.wait()
        while True:
            try:
                await self._store.write_status(self._path, self._confirmation)
            except CodedError as error:
                logger.warning(
                    "storage: could not confirm that the VM is empty: {}", error.reason
                )
                await asyncio.sleep(CONFIRM_RETRY_S)
                continue
            logger.info("storage: confirmed that the VM is empty")
            return
