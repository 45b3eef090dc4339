"""features.support.loops: event loops for synchronous steps."""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any

from behave.runner import Context

__all__ = ["BackgroundLoop", "run_on_loop", "start_loop"]

CALL_TIMEOUT_S = 60.0


class BackgroundLoop:
    """Runs coroutines on a loop that lives in a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine to its end and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(CALL_TIMEOUT_S)

    def close(self) -> None:
        """Stop the loop."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CALL_TIMEOUT_S)
        self._loop.close()


def start_loop(context: Context) -> None:
    """Make the loop of a scenario, closed with all its tasks at the end."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(_close_loop, context.loop)


def run_on_loop(context: Context, work: Any) -> Any:
    """Run a coroutine on the scenario's loop."""
    return context.loop.run_until_complete(work)


def _close_loop(loop: asyncio.AbstractEventLoop) -> None:
    loop.run_until_complete(_end_tasks())
    loop.run_until_complete(loop.shutdown_asyncgens())
    loop.close()


async def _end_tasks() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
