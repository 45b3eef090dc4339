"""greengagetack.rollouts.completions: sample completions via the router."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing, suppress
from dataclasses import replace
from typing import Any

from loguru import logger

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

REQUEST_TIMEOUT_S = 1.0


class RoutedCompletions:
    """Runs completions; after a takeover it rejoins requests that keepers hold.

    Parameters
    ----------
    services : Services
        Services of the daemon.
    """

    def __init__(self, services: Services) -> None:
        self._services = services
        self._held: dict[str, HeldRequest] = {}
        self._routed: dict[str, RoutedEndpoint] = {}

    async def load_held_requests(self, job_id: str) -> None:
        """Query all members for held requests of a step; failures are skipped."""
        for answer in await self._request_all(ListHeldRequests(job_id)):
            if not isinstance(answer, HeldRequests):
                continue
            for held in answer.requests:
                self._held[held.request_id] = held

    async def complete(
        self, request: Complete, exclude: frozenset[str] = frozenset()
    ) -> AsyncGenerator[Chunk | Completed | Restarted, None]:
        """Yield the chunks of a sample, then `Completed`."""
        held = self._held.pop(request.request_id, None)
        if held is not None and held.attempt >= request.attempt:
            request = replace(
                request, endpoint_id=held.endpoint_id, attempt=held.attempt
            )
        request_id = request.request_id

        def record_route(routed: RoutedEndpoint) -> None:
            self._routed[request_id] = routed
            logger.info(
                "rollout: {} is generated at {} by way of {}",
                request_id,
                routed.endpoint.endpoint_id,
                routed.keeper_vm_id,
            )

        relay = self._services.routing.relay
        answers = relay.complete(
            request, may_restart=True, exclude=exclude, on_routed=record_route
        )
        async with aclosing(answers) as items:
            async for item in items:
                yield item

    def endpoint_of(self, request_id: str) -> str:
        """Return the endpoint that runs a request, an empty string if unknown."""
        routed = self._routed.get(request_id)
        return routed.endpoint.endpoint_id if routed is not None else ""

    async def release(self, request_id: str) -> None:
        """Let the keeper discard the answer of a completed request."""
        await self._notify_keeper(request_id, ReleaseHeld((request_id,)))

    async def cancel(self, request_id: str) -> None:
        """Cancel a request at the keeper that runs it."""
        await self._notify_keeper(request_id, CancelRequest(request_id))

    async def _notify_keeper(
        self, request_id: str, body: ReleaseHeld | CancelRequest
    ) -> None:
        routed = self._routed.pop(request_id, None)
        if routed is None:
            return
        # A keeper that misses this message discards the answer by itself later.
        with suppress(CodedError):
            await self._services.peers.request(
                routed.keeper_vm_id, body, REQUEST_TIMEOUT_S
            )

    async def _request_all(self, body: Any) -> list[Any]:
        members = self._services.directory.live_members()
        requests = [
            self._services.peers.request(vm.vm_id, body, REQUEST_TIMEOUT_S)
            for vm in members
        ]
        return await asyncio.gather(*requests, return_exceptions=True)
