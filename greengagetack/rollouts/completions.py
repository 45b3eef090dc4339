"""greengagetack.rollouts.completions: samples by way of the daemon's front door."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing, suppress
from dataclasses import replace
from typing import Any

from greengagetack.daemons.role import Services
from greengagetack.errors import CodedError
from greengagetack.keeper.messages import (
    CancelRequest,
    Chunk,
    Complete,
    Completed,
    HeldRequest,
    HeldRequests,
    ListHeldRequests,
    ReleaseHeld,
)
from greengagetack.routing.relay import Restarted

__all__ = ["RoutedCompletions"]

ASK_TIMEOUT_S = 1.0


class RoutedCompletions:
    """Makes samples; after a takeover it joins what keepers still hold.

    Parameters
    ----------
    services : Services
        What the daemon offers.
    """

    def __init__(self, services: Services) -> None:
        self._services = services
        self._held: dict[str, HeldRequest] = {}

    async def learn_held(self, job_id: str) -> None:
        """Ask all keepers what they hold for a step; silent ones are left out."""
        for answer in await self._ask_all(ListHeldRequests(job_id)):
            if not isinstance(answer, HeldRequests):
                continue
            for held in answer.requests:
                self._held[held.request_id] = held

    async def complete(
        self, request: Complete
    ) -> AsyncGenerator[Chunk | Completed | Restarted, None]:
        """Yield the chunks of a sample, then its end."""
        held = self._held.pop(request.request_id, None)
        if held is not None and held.attempt >= request.attempt:
            request = replace(
                request, endpoint_id=held.endpoint_id, attempt=held.attempt
            )
        relay = self._services.front_door.relay
        async with aclosing(relay.complete(request, may_restart=True)) as items:
            async for item in items:
                yield item

    async def release(self, request_id: str, endpoint_id: str) -> None:
        """Tell the endpoint's keeper that the answer is kept safely."""
        keepers = self._services.directory.keepers_for(endpoint_id)
        if not keepers:
            return
        body = ReleaseHeld((request_id,))
        # A keeper that misses this forgets the answer by itself later.
        with suppress(CodedError):
            await self._services.peers.request(keepers[0], body, ASK_TIMEOUT_S)

    async def cancel(self, request_id: str) -> None:
        """Stop a request at whichever keeper runs it."""
        await self._ask_all(CancelRequest(request_id))

    async def _ask_all(self, body: Any) -> list[Any]:
        members = self._services.directory.live_members()
        questions = [
            self._services.peers.request(vm.vm_id, body, ASK_TIMEOUT_S)
            for vm in members
        ]
        return await asyncio.gather(*questions, return_exceptions=True)
