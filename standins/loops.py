"""standins.loops: an event loop for synchronous callers."""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any

__all__ = ["BackgroundLoop"]

CALL_TIMEOUT_S = 60.0


class BackgroundLoop:
    """Runs coroutines on an event loop in a background thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine to completion and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            CALL_TIMEOUT_S
        )

    def close(self) -> None:
        """Stop the loop and its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CALL_TIMEOUT_S)
        self._loop.close()
