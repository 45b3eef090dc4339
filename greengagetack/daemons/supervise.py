"""greengagetack.daemons.supervise: restarts failed parts of a daemon."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

__all__ = ["supervise"]

RESTART_DELAY_S = 0.2


async def supervise(part: Callable[[], Awaitable[None]], name: str) -> None:
    """Run a part until it returns; restart it after each failure."""
    while True:
        try:
            await part()
            return
        except Exception as error:
            logger.opt(exception=error).error("daemon: part failed", part=name)
            await asyncio.sleep(RESTART_DELAY_S)
