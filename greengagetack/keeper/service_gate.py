"""greengagetack.keeper.service_gate: the gate of one plain service endpoint."""

import asyncio

from loguru import logger

from greengagetack.daemons.role import Services
from greengagetack.engines.base import EngineAdapter
from greengagetack.errors import (
    CodedError,
    EndpointRefused,
    NotReady,
    Overloaded,
)
from greengagetack.keeper.errors import EndpointUnreachable
from greengagetack.keeper.messages import CallService, ServiceAnswer
from greengagetack.observability.traces import span
from greengagetack.world import Endpoint

__all__ = ["ServiceGate"]

BUSY_RETRY_S = 0.5
DRAIN_RETRY_S = 0.2
FAILURES_TO_EJECT = 3
# A call that waits longer for a slot than this share of its time left is refused.
MAX_WAIT_RATIO = 0.5


class ServiceGate:
    """Relays calls to one service endpoint, at most `slots` at a time."""

    def __init__(
        self, endpoint: Endpoint, adapter: EngineAdapter, services: Services
    ) -> None:
        self.endpoint = endpoint
        self.adapter = adapter
        self.draining = False
        self.running = 0
        self.used_at_s = services.timer.now_s()
        self._services = services
        self._slots = asyncio.Semaphore(endpoint.slots)
        self._failures = 0
        self._ejected_until_s = 0.0

    @property
    def leaving(self) -> bool:
        """Whether the endpoint is leaving and takes no new work."""
        return self._services.directory.is_leaving(self.endpoint.endpoint_id)

    @property
    def ejected(self) -> bool:
        """Whether the endpoint is ejected after refusing connections."""
        return self._services.timer.now_s() < self._ejected_until_s

    async def call(self, request: CallService) -> ServiceAnswer:
        """Send one call, without retries.

        Raises
        ------
        CodedError
            With the outcome ``not_run`` only if the call certainly did not run.
        """
        self._check_open()
        timer = self._services.timer
        self.used_at_s = timer.now_s()
        await self._acquire_slot(request.time_left_s * MAX_WAIT_RATIO)
        self.running += 1
        try:
            self._check_open()
            with span("service.call", endpoint=self.endpoint.endpoint_id):
                answer = await self.adapter.call(request)
        except CodedError as error:
            self._record_failure(error)
            raise
        finally:
            self.running -= 1
            self._slots.release()
        self._failures = 0
        return answer

    async def _acquire_slot(self, limit_s: float) -> None:
        try:
            async with asyncio.timeout(limit_s):
                await self._slots.acquire()
        except TimeoutError:
            raise Overloaded(
                f"{self.endpoint.endpoint_id} has no free slot", BUSY_RETRY_S
            ) from None

    def _check_open(self) -> None:
        if self.draining:
            raise NotReady("this daemon is stopping", DRAIN_RETRY_S)
        if self.leaving:
            raise EndpointRefused(f"{self.endpoint.endpoint_id} is leaving")
        if self.ejected:
            wait_s = self._ejected_until_s - self._services.timer.now_s()
            raise EndpointRefused(f"{self.endpoint.endpoint_id} is ejected", wait_s)

    def _record_failure(self, error: CodedError) -> None:
        if not isinstance(error, EndpointUnreachable):
            return
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT:
            return
        pause_s = self._services.settings.fleet().routing.ejection_s
        # One more failure after the pause ejects it again.
        self._failures = FAILURES_TO_EJECT - 1
        self._ejected_until_s = self._services.timer.now_s() + pause_s
        logger.warning("keeper: service {} ejected", self.endpoint.endpoint_id)

    async def check_leaving(self) -> None:
        """Read from the service whether it is leaving and report it to the cell."""
        try:
            leaving = await self.adapter.is_leaving()
        except CodedError:
            return
        if leaving and not self.leaving:
            self._services.directory.report_leaving(self.endpoint.endpoint_id)

    async def close(self) -> None:
        """Close all connections."""
        await self.adapter.close()
