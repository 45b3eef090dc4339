"""greengagetack.platform.storage: the daemon on VMs that have a disk.

It keeps nothing: all that lasts is in the platform's store. It only confirms that
its VM may be taken away when the operator asks for that.
"""

import asyncio

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.objects.base import PlatformObject
from greengagetack.objects.feed import Feed
from greengagetack.objects.transport import DirectTransport
from greengagetack.observability.metrics import Metrics
from greengagetack.platform import wire
from greengagetack.platform.settings import VmFacts
from greengagetack.platform.store import PlatformStore

__all__ = ["StorageDaemon"]

WATCH_S = 8.0
RETRY_S = 0.5
EMPTY = {"state": "completed"}


class StorageDaemon:
    """Follows the requests to empty VMs and confirms its own at once."""

    def __init__(self, facts: VmFacts) -> None:
        self._path = f"{wire.RETIREMENTS_KIND}/{facts.node}"
        transport = DirectTransport(facts.store, Metrics())
        self._store = PlatformStore(transport, facts.value_limit_bytes)
        self._feed = Feed(
            lambda: self._store, f"{wire.RETIREMENTS_KIND}/", lambda: WATCH_S
        )
        self._feed.subscribe(self._on_request)
        self._asked = asyncio.Event()
        self._stop = asyncio.Event()

    def _on_request(
        self, changed: tuple[PlatformObject, ...], gone: tuple[str, ...]
    ) -> None:
        if any(stored.path == self._path for stored in changed):
            self._asked.set()

    async def _confirm(self) -> None:
        await self._asked.wait()
        while True:
            try:
                await self._store.write_status(self._path, EMPTY)
            except CodedError as error:
                logger.warning("storage: not confirmed as empty: {}", error.reason)
                await asyncio.sleep(RETRY_S)
                continue
            logger.info("storage: confirmed as empty")
            return

    def stop(self) -> None:
        """Begin to stop."""
        self._stop.set()

    def reload(self) -> None:
        """Note a change of the settings file; no field that is used may change."""
        logger.info("storage: SIGHUP; the settings in force stay valid")

    async def run(self) -> None:
        """Serve until `stop`."""
        logger.info("storage: started")
        tasks = [
            asyncio.create_task(self._feed.run()),
            asyncio.create_task(self._confirm()),
        ]
        await self._stop.wait()
        for task in tasks:
            task.cancel()
        logger.info("storage: stopped")
