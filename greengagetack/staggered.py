"""greengagetack.staggered: tries several ways to one result, one after another."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

__all__ = ["first_result"]

T = TypeVar("T")


async def first_result(
    attempts: Sequence[Callable[[], Awaitable[T | None]]], delay_s: float
) -> T | None:
    """Return the first result that is not None, None if all attempts give None.

    An attempt starts when the one before it has given None, or no result within
    `delay_s`. The others are cancelled once there is a result.
    """
    waiting = list(attempts)
    pending: set[asyncio.Task[T | None]] = set()
    try:
        while waiting or pending:
            if waiting:
                pending.add(asyncio.ensure_future(_run(waiting.pop(0))))
            timeout_s = delay_s if waiting else None
            done, pending = await asyncio.wait(
                pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                result = task.result()
                if result is not None:
                    return result
        return None
    finally:
        for task in pending:
            task.cancel()


async def _run(attempt: Callable[[], Awaitable[T | None]]) -> T | None:
    return await attempt()
