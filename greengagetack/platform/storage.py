"""greengagetack.platform.storage: the daemon on VMs that have a disk.

It is stateless: all durable data is in the platform's store. Its only task is to
confirm, when the operator asks, that its VM may be removed.
"""

import asyncio

from loguru import logger

from greengagetack.daemons.retirement import RetirementHandler
from greengagetack.objects.feed import Feed
from greengagetack.objects.transport import DirectTransport
from greengagetack.observability.metrics import Metrics
from greengagetack.platform import wire
from greengagetack.platform.settings import VmFacts
from greengagetack.platform.store import PlatformStore

__all__ = ["StorageDaemon"]

RETIREMENT_WATCH_WAIT_S = 8.0
COMPLETED_STATUS = {"state": "completed"}


class StorageDaemon:
    """Confirms the operator's requests to remove the VM."""

    def __init__(self, facts: VmFacts) -> None:
        transport = DirectTransport(facts.store, Metrics())
        store = PlatformStore(transport, facts.value_limit_bytes)
        prefix = f"{wire.RETIREMENTS_KIND}/"
        feed = Feed(lambda: store, prefix, lambda: RETIREMENT_WATCH_WAIT_S)
        self._retirement_handler = RetirementHandler(
            store, feed, prefix + facts.node, COMPLETED_STATUS
        )
        self._stop_requested = asyncio.Event()

    def stop(self) -> None:
        """Start the shutdown."""
        self._stop_requested.set()

    def reload(self) -> None:
        """Handle SIGHUP; no field that the daemon uses may change while it runs."""
        logger.info("storage: SIGHUP received; the settings are not reloaded")

    async def run(self) -> None:
        """Serve until `stop` is called."""
        logger.info("storage: started")
        handler_task = asyncio.create_task(self._retirement_handler.run())
        await self._stop_requested.wait()
        handler_task.cancel()
        logger.info("storage: stopped")
