"""greengagetack.engines.resume: completions that survive lost connections."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import replace

from loguru import logger

from greengagetack.engines.base import EngineAdapter
from greengagetack.engines.sequence import TokenSequence
from greengagetack.engines.state import Finish, Generate
from greengagetack.errors import CodedError, EndpointFailed, EndpointRefused
from greengagetack.keeper.messages import Chunk

__all__ = ["stream_resumed"]

MAX_FRUITLESS_CONNECTIONS = 4
RECONNECT_DELAY_S = 0.05
CANCELLED_REASONS = frozenset({"abort", "cancelled"})


async def stream_resumed(
    adapter: EngineAdapter, request: Generate
) -> AsyncGenerator[Chunk | Finish, None]:
    """Yield each token of a completion once, over as many connections as needed.

    A connection that is silent for the adapter's progress timeout, or breaks,
    is replaced by a new one that resumes by offset under the same request
    identifier. The last received chunk is replayed and compared.

    Raises
    ------
    EndpointRefused
        If the engine surely did not run the request.
    EndpointFailed
        If it was lost after it had been sent.
    StreamTorn
        If the replayed tokens differ from the received.
    """
    sequence = TokenSequence(request.resume_from)
    fruitless = 0
    sent = False
    while True:
        end_before = sequence.end_tokens
        attempt = replace(request, resume_from=sequence.resume_offset())
        failure: CodedError
        try:
            async with aclosing(adapter.stream(attempt)) as items:
                while True:
                    item = await _next_item(adapter, items)
                    sent = True
                    if isinstance(item, Finish):
                        _check_finish(adapter, item)
                        yield item
                        return
                    fresh = sequence.accept(item)
                    if fresh is not None:
                        yield fresh
        except EndpointRefused as error:
            if not sent:
                raise
            failure = EndpointFailed(error.reason)
        except EndpointFailed as error:
            failure = error
        sent = True
        fruitless = 0 if sequence.end_tokens > end_before else fruitless + 1
        if fruitless >= MAX_FRUITLESS_CONNECTIONS:
            raise failure
        logger.warning("engine: stream resumed: {}", failure.reason)
        await asyncio.sleep(RECONNECT_DELAY_S * fruitless)


def _check_finish(adapter: EngineAdapter, finish: Finish) -> None:
    # Another keeper that lost its reader may have cancelled the same request.
    if finish.reason in CANCELLED_REASONS:
        raise EndpointFailed(f"{adapter.endpoint.endpoint_id} cancelled a stream")


async def _next_item(
    adapter: EngineAdapter, items: AsyncGenerator[Chunk | Finish, None]
) -> Chunk | Finish:
    try:
        async with asyncio.timeout(adapter.progress_timeout_s):
            return await anext(items)
    except TimeoutError:
        raise EndpointFailed(
            f"{adapter.endpoint.endpoint_id} was silent for "
            f"{adapter.progress_timeout_s:g} s"
        ) from None
    except StopAsyncIteration:
        raise EndpointFailed(
            f"{adapter.endpoint.endpoint_id} ended a stream early"
        ) from None
