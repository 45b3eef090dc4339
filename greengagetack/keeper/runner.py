"""greengagetack.keeper.runner: streams a completion from the engine to its readers."""

import asyncio
from contextlib import aclosing, suppress

from greengagetack.engines.base import EngineAdapter
from greengagetack.engines.resume import stream_resumed
from greengagetack.engines.state import Finish, Generate
from greengagetack.errors import CodedError, DeadlineExceeded, Outcome
from greengagetack.keeper.errors import StaleVersion
from greengagetack.keeper.generation import Generation
from greengagetack.keeper.health import EndpointHealth
from greengagetack.keeper.messages import Work
from greengagetack.keeper.prefixes import PrefixCache
from greengagetack.keeper.spending import Spending
from greengagetack.keeper.versions import LoadedVersions, stale_version_error
from greengagetack.timer import Timer

__all__ = ["GenerationRunner", "expired_error"]

CALLER_PRIORITY_BOOST = 1_000


def expired_error() -> DeadlineExceeded:
    """Return the error for a request whose deadline passed before it was run."""
    error = DeadlineExceeded("the deadline passed before the request was run")
    error.outcome = Outcome.NOT_RUN
    return error


class GenerationRunner:
    """Runs admitted requests at one engine.

    Parameters
    ----------
    adapter : EngineAdapter
        Client of the engine's protocol.
    versions : LoadedVersions
        The loaded weight versions, checked again before each start.
    health : EndpointHealth
        Receives the measured time per token.
    prefixes : PrefixCache
        Receives the prompts that are sent.
    spending : Spending
        Reserves the team's tokens.
    timer : Timer
        Clock.
    """

    def __init__(
        self,
        adapter: EngineAdapter,
        versions: LoadedVersions,
        health: EndpointHealth,
        prefixes: PrefixCache,
        spending: Spending,
        timer: Timer,
    ) -> None:
        self._adapter = adapter
        self._versions = versions
        self._health = health
        self._prefixes = prefixes
        self._spending = spending
        self._timer = timer

    async def run(self, generation: Generation) -> None:
        """Run a request and relay all its tokens.

        Raises
        ------
        DeadlineExceeded
            If the deadline passes; a started run is cancelled at the engine.
        StaleVersion
            If the loaded version, or that of a token, is older than allowed.
        CodedError
            If the team's limits or the engine refuse or end the request.
        """
        self._versions.require_allowed_version(generation.request)
        await self._spending.reserve(generation)
        generation.started_s = self._timer.now_s()
        time_left_s = generation.deadline_s - generation.started_s
        if time_left_s <= 0:
            raise expired_error()
        self._prefixes.record_prompt(generation.request.prompt)
        try:
            async with asyncio.timeout(time_left_s):
                await self._relay_stream(generation)
        except TimeoutError:
            await self.cancel(generation)
            raise DeadlineExceeded(
                "the completion did not finish before its deadline"
            ) from None
        except StaleVersion:
            await self.cancel(generation)
            raise

    async def _relay_stream(self, generation: Generation) -> None:
        request = generation.request
        last_s = generation.started_s
        stream = stream_resumed(self._adapter, _engine_request(generation))
        async with aclosing(stream) as items:
            async for item in items:
                now_s = self._timer.now_s()
                if isinstance(item, Finish):
                    generation.mark_finished(item, now_s)
                    return
                if item.weight_version < request.oldest_version:
                    error = stale_version_error(request, item.weight_version)
                    error.outcome = Outcome.UNKNOWN
                    raise error
                if generation.token_count:
                    self._health.observe_pace(item.token_count, now_s - last_s)
                last_s = now_s
                generation.add_chunk(item)

    async def cancel(self, generation: Generation) -> None:
        """Cancel a request at the engine; errors of the engine are ignored."""
        with suppress(CodedError):
            await self._adapter.cancel(generation.engine_request_id)


def _engine_request(generation: Generation) -> Generate:
    request = generation.request
    boost = CALLER_PRIORITY_BOOST if request.work == Work.CALLER else 0
    return Generate(
        request_id=generation.engine_request_id,
        model=request.model,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        seed=request.seed,
        priority=request.priority + boost,
        resume_from=generation.first_offset,
    )
