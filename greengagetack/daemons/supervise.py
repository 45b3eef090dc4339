"""greengagetack.daemons.supervise: parts of a daemon that are started again."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

__all__ = ["supervise"]

RESTART_PAUSE_S = 0.2


async def supervise(part: Callable[[], Awaitable[None]], name: str) -> None:
    """Run a part until it returns; start it again when it fails."""
    while True:
        try:
            await part()
            return
        except Exception as error:
            logger.opt(exception=error).error("daemon: part failed", part=name)
            await asyncio.sleep(RESTART_PAUSE_S)
