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
from greengagetack.routing.router import RoutedEndpoint

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
        self._routed: dict[str, RoutedEndpoint] = {}

    async def learn_held(self, job_id: str) -> None:
        """Ask all keepers what they hold for a step; silent ones are left out."""
        for answer in await self._ask_all(ListHeldRequests(job_id)):
            if not isinstance(answer, HeldRequests):
                continue
            for held in answer.requests:
                self._held[held.request_id] = held

    async def complete(
        self, request: Complete, exclude: frozenset[str] = frozenset()
    ) -> AsyncGenerator[Chunk | Completed | Restarted, None]:
        """Yield the chunks of a sample, then its end."""
        held = self._held.pop(request.request_id, None)
        if held is not None and held.attempt >= request.attempt:
            request = replace(
                request, endpoint_id=held.endpoint_id, attempt=held.attempt
            )
        request_id = request.request_id

        def note_routed(routed: RoutedEndpoint) -> None:
            self._routed[request_id] = routed

        relay = self._services.routing.relay
        answers = relay.complete(
            request, may_restart=True, exclude=exclude, on_routed=note_routed
        )
        async with aclosing(answers) as items:
            async for item in items:
                yield item

    def endpoint_of(self, request_id: str) -> str:
        """Return the endpoint that a request in flight is at, empty if unknown."""
        routed = self._routed.get(request_id)
        return routed.endpoint.endpoint_id if routed is not None else ""

    async def release(self, request_id: str) -> None:
        """Tell the keeper that the answer is kept safely."""
        await self._tell_keeper(request_id, ReleaseHeld((request_id,)))

    async def cancel(self, request_id: str) -> None:
        """Stop a request at the keeper that runs it."""
        await self._tell_keeper(request_id, CancelRequest(request_id))

    async def _tell_keeper(
        self, request_id: str, body: ReleaseHeld | CancelRequest
    ) -> None:
        routed = self._routed.pop(request_id, None)
        if routed is None:
            return
        # A keeper that misses this forgets the answer by itself later.
        with suppress(CodedError):
            await self._services.peers.request(routed.keeper_vm_id, body, ASK_TIMEOUT_S)

    async def _ask_all(self, body: Any) -> list[Any]:
        members = self._services.directory.live_members()
        questions = [
            self._services.peers.request(vm.vm_id, body, ASK_TIMEOUT_S)
            for vm in members
        ]
        return await asyncio.gather(*questions, return_exceptions=True)
