"""greengagetack.platform.storage: the daemon on VMs that have a disk.

It keeps nothing: all that lasts is in the platform's store. It only confirms that
its VM may be taken away when the operator asks for that.
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

WATCH_S = 8.0
EMPTY = {"state": "completed"}


class StorageDaemon:
    """Runs the duty to confirm that the VM is empty."""

    def __init__(self, facts: VmFacts) -> None:
        transport = DirectTransport(facts.store, Metrics())
        store = PlatformStore(transport, facts.value_limit_bytes)
        prefix = f"{wire.RETIREMENTS_KIND}/"
        feed = Feed(lambda: store, prefix, lambda: WATCH_S)
        self._duty = RetirementHandler(store, feed, prefix + facts.node, EMPTY)
        self._stop = asyncio.Event()

    def stop(self) -> None:
        """Begin to stop."""
        self._stop.set()

    def reload(self) -> None:
        """Note a change of the settings file; no field that is used may change."""
        logger.info("storage: SIGHUP; the settings in force stay valid")

    async def run(self) -> None:
        """Serve until `stop`."""
        logger.info("storage: started")
        duty = asyncio.create_task(self._duty.run())
        await self._stop.wait()
        duty.cancel()
        logger.info("storage: stopped")
