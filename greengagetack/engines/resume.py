"""greengagetack.engines.resume: resumes completions after connection failures."""

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

MAX_CONNECTIONS_WITHOUT_PROGRESS = 4
RECONNECT_DELAY_S = 0.05
CANCELLED_FINISH_REASONS = frozenset({"abort", "cancelled"})


async def stream_resumed(
    adapter: EngineAdapter, request: Generate
) -> AsyncGenerator[Chunk | Finish, None]:
    """Yield each token of a completion once, reconnecting as often as needed.

    A connection that breaks or sends nothing for the adapter's progress timeout
    is replaced by a new one, which resumes at an offset with the same request
    identifier. The last received chunk is replayed and compared.

    Raises
    ------
    EndpointRefused
        If the engine certainly did not run the request.
    EndpointFailed
        If the request was sent but its answer was lost.
    StreamTorn
        If the replayed tokens differ from the received ones.
    """
    sequence = TokenSequence(request.resume_from)
    connections_without_progress = 0
    may_have_run = False
    while True:
        end_before = sequence.end_tokens
        attempt = replace(request, resume_from=sequence.resume_offset())
        failure: CodedError
        try:
            async with aclosing(adapter.stream(attempt)) as items:
                while True:
                    item = await _next_item(adapter, items)
                    may_have_run = True
                    if isinstance(item, Finish):
                        _check_finish(adapter, item)
                        yield item
                        return
                    new_part = sequence.accept(item)
                    if new_part is not None:
                        yield new_part
        except EndpointRefused as error:
            if not may_have_run:
                raise
            failure = EndpointFailed(error.reason)
        except EndpointFailed as error:
            failure = error
        may_have_run = True
        connections_without_progress = (
            0 if sequence.end_tokens > end_before else connections_without_progress + 1
        )
        if connections_without_progress >= MAX_CONNECTIONS_WITHOUT_PROGRESS:
            raise failure
        logger.warning("engine: stream resumed: {}", failure.reason)
        await asyncio.sleep(RECONNECT_DELAY_S * connections_without_progress)


def _check_finish(adapter: EngineAdapter, finish: Finish) -> None:
    # Another keeper may have cancelled the same request after losing its reader.
    if finish.reason in CANCELLED_FINISH_REASONS:
        raise EndpointFailed(f"{adapter.endpoint.endpoint_id} cancelled a stream")


async def _next_item(
    adapter: EngineAdapter, items: AsyncGenerator[Chunk | Finish, None]
) -> Chunk | Finish:
    try:
        async with asyncio.timeout(adapter.progress_timeout_s):
            return await anext(items)
    except TimeoutError:
        raise EndpointFailed(
            f"{adapter.endpoint.endpoint_id} sent nothing for "
            f"{adapter.progress_timeout_s:g} s"
        ) from None
    except StopAsyncIteration:
        raise EndpointFailed(
            f"{adapter.endpoint.endpoint_id} ended a stream before its finish"
        ) from None
