"""features.support.loops: event loops for synchronous steps."""

import asyncio
from typing import Any

from behave.runner import Context

__all__ = ["run_on_loop", "start_loop"]


def start_loop(context: Context) -> None:
    """Create an event loop that is closed, with all its tasks, after the scenario."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(_close_loop, context.loop)


def run_on_loop(context: Context, coroutine: Any) -> Any:
    """Run a coroutine to completion on the scenario's loop."""
    return context.loop.run_until_complete(coroutine)


def _close_loop(loop: asyncio.AbstractEventLoop) -> None:
    loop.run_until_complete(_cancel_tasks())
    loop.run_until_complete(loop.shutdown_asyncgens())
    loop.close()


async def _cancel_tasks() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
