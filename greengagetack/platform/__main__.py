"""greengagetack.platform.__main__: runs the daemon for the VM's settings file."""

import asyncio
import sys

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.observability.logs import configure_structured_logs
from greengagetack.platform.settings import VmFacts, load_vm_facts

__all__ = ["main"]

USAGE_EXIT_CODE = 2


async def _run(facts: VmFacts) -> None:
    if facts.front is None:
        from greengagetack.platform.storage import StorageDaemon

        await StorageDaemon(facts).run()
        return
    # Imported late: a VM without clients needs no HTTP server in its memory.
    from greengagetack.platform.daemon import EdgeDaemon

    await EdgeDaemon(facts).run()


def main() -> int:
    """Run the daemon until it is stopped."""
    try:
        facts = load_vm_facts()
    except CodedError as error:
        print(f"{error.code}: {error.reason}\n{error.remedy}", file=sys.stderr)
        return USAGE_EXIT_CODE
    configure_structured_logs(facts.node)
    try:
        asyncio.run(_run(facts))
    except asyncio.CancelledError:
        logger.info("daemon: cancelled")
    return 0


if __name__ == "__main__":
    sys.exit(main())
