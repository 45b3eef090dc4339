"""greengagetack.objects.transport: calls to the store, directly or relayed."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from loguru import logger

from greengagetack.errors import PlatformUnavailable
from greengagetack.http1.limits import ResponseLimits
from greengagetack.http1.message import ExchangeError, Request, ResponseHead
from greengagetack.http1.pool import Pool
from greengagetack.observability.metrics import Metrics
from greengagetack.staggered import first_result
from greengagetack.world import Address

__all__ = [
    "REFUSED_STATUSES",
    "DirectTransport",
    "RelayedTransport",
    "StoreResponse",
    "Transport",
]

# A slow store answers within some hundred ms, so a longer silence counts as a failure.
CALL_TIMEOUT_S = 1.0
# Added to the wait of a watch. A watch that never answers must end early enough to list
# again within the bounds on leaving replicas and new configurations (2 s).
WATCH_MARGIN_S = 0.6
RETRY_AFTER_S = 0.5
# After a direct call failed, peers are asked first for this long. The time doubles
# while direct calls go on failing, because each one may take its whole limit.
DIRECT_FAILURE_PAUSE_S = 1.0
# A direct call without a response for this long is repeated through a peer: a store
# that is cut off from this VM alone does not answer at all. Calls may be repeated, as
# writes are conditional and name their change.
HEDGE_DELAY_S = 0.4
# A store that is slow for everybody is given this multiple of its answers' time.
SLOW_STORE_FACTOR = 2.0
SLOW_ANSWER_DECAY = 0.9
MAX_DIRECT_FAILURE_PAUSE_S = 8.0
OK = 200
CREATED = 201
# Statuses with which the store refuses a call without carrying it out.
REFUSED_STATUSES = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """Status and body of one call to the store."""

    status: int
    body: bytes


class Transport(Protocol):
    """Carries calls to the store."""

    async def call(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreResponse:
        """Send one call.

        Raises
        ------
        PlatformUnavailable
            If no response arrived; the call may have been carried out.
        """


class DirectTransport:
    """Calls the store directly."""

    def __init__(
        self,
        address: Address,
        metrics: Metrics,
        limits: ResponseLimits | None = None,
    ) -> None:
        self._address = address
        self._pool = Pool(CALL_TIMEOUT_S, limits)
        self._host = str(address).encode()
        self._metrics = metrics

    async def call(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreResponse:
        """Send one call on a connection that it does not share.

        Raises
        ------
        PlatformUnavailable
            If no response arrived.
        """
        headers = ((b"host", self._host), (b"content-type", b"application/json"))
        request = Request(method.encode(), target.encode(), headers, body)
        self._metrics.add("store_calls", method=method)
        started_s = time.monotonic()
        try:
            limit_s = wait_s + WATCH_MARGIN_S if wait_s else CALL_TIMEOUT_S
            async with asyncio.timeout(limit_s):
                async with self._pool.connection(self._address) as connection:
                    head = await connection.send(request)
                    content = await connection.read_all()
        except (ExchangeError, TimeoutError) as error:
            self._metrics.add("store_failures", method=method)
            raise PlatformUnavailable(
                f"no response to {method} {target[:80]}: {error!r}", RETRY_AFTER_S
            ) from error
        if not wait_s:
            self._metrics.observe_s("store_call_s", time.monotonic() - started_s)
        return StoreResponse(_normalized_status(head), content)


def _normalized_status(head: ResponseHead) -> int:
    return OK if head.status == CREATED else head.status


@dataclass(slots=True)
class _DirectOutcome:
    """How a direct call ended, if it did."""

    response: StoreResponse | None = None
    failure: PlatformUnavailable | None = None

    @property
    def is_pending(self) -> bool:
        """Whether the call was given up for the answer through a peer."""
        return self.response is None and self.failure is None


class RelayedTransport:
    """Calls the store directly, or through a peer while direct calls fail.

    Parameters
    ----------
    direct_transport : Transport
        Direct calls to the store.
    relay_call : callable
        Sends a call through a peer that reaches the store; raises
        `PlatformUnavailable` if there is none.
    metrics : Metrics
        Counts the calls made on behalf of peers.
    """

    def __init__(
        self,
        direct_transport: Transport,
        relay_call: Callable[[str, str, bytes, float], Awaitable[StoreResponse]],
        metrics: Metrics,
    ) -> None:
        self._direct_transport = direct_transport
        self._relay_call = relay_call
        self._metrics = metrics
        # The longest of the recent direct answers.
        self._slow_answer_s = 0.0
        self._direct_failures = 0
        self._direct_paused_until_s = float("-inf")

    @property
    def is_direct_failing(self) -> bool:
        """Whether direct calls have been refused or got no response lately."""
        return time.monotonic() < self._direct_paused_until_s

    async def call(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreResponse:
        """Send one call, directly unless direct calls are failing.

        Raises
        ------
        PlatformUnavailable
            If neither the store nor a peer answered.
        """
        if self.is_direct_failing:
            relayed = await self._call_through_peer(method, target, body, wait_s)
            return relayed or await self._call_directly(method, target, body, wait_s)
        outcome = _DirectOutcome()
        served = await first_result(
            (
                partial(self._try_directly, method, target, body, wait_s, outcome),
                partial(self._call_through_peer, method, target, body, wait_s),
            ),
            wait_s + max(HEDGE_DELAY_S, SLOW_STORE_FACTOR * self._slow_answer_s),
        )
        if served is not None:
            if outcome.is_pending:
                self._record_direct_failure("no response as soon as through a peer")
            return served
        if outcome.response is not None:
            return outcome.response
        raise outcome.failure or PlatformUnavailable("the store was not called")

    async def _try_directly(
        self,
        method: str,
        target: str,
        body: bytes,
        wait_s: float,
        outcome: "_DirectOutcome",
    ) -> StoreResponse | None:
        """Call directly; return None if the store did not answer or refused."""
        try:
            response = await self._call_directly(method, target, body, wait_s)
        except PlatformUnavailable as error:
            outcome.failure = error
            return None
        outcome.response = response
        return None if response.status in REFUSED_STATUSES else response

    async def _call_directly(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreResponse:
        started_s = time.monotonic()
        try:
            response = await self._direct_transport.call(method, target, body, wait_s)
        except PlatformUnavailable as error:
            self._record_direct_failure(error.reason)
            raise
        answer_s = max(0.0, time.monotonic() - started_s - wait_s)
        self._slow_answer_s = max(answer_s, SLOW_ANSWER_DECAY * self._slow_answer_s)
        if response.status in REFUSED_STATUSES:
            self._record_direct_failure(f"status {response.status}")
            return response
        if self._direct_failures:
            logger.info("store: reached directly again")
            self._direct_failures = 0
            self._direct_paused_until_s = float("-inf")
        return response

    def _record_direct_failure(self, reason: str) -> None:
        now_s = time.monotonic()
        if not self._direct_failures:
            logger.warning("store: not reached directly: {}", reason)
        # Calls that fail together count once.
        if now_s < self._direct_paused_until_s:
            return
        pause_s = DIRECT_FAILURE_PAUSE_S * 2**self._direct_failures
        self._direct_paused_until_s = now_s + min(MAX_DIRECT_FAILURE_PAUSE_S, pause_s)
        self._direct_failures += 1

    async def call_for_peer(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreResponse:
        """Call the store on behalf of a daemon that cannot reach it.

        Raises
        ------
        PlatformUnavailable
            If this daemon cannot reach the store either.
        """
        if self.is_direct_failing:
            raise PlatformUnavailable("this daemon cannot reach the store either")
        response = await self._direct_transport.call(method, target, body, wait_s)
        self._metrics.add("relayed_calls")
        return response

    async def _call_through_peer(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreResponse | None:
        """Call the store through a peer; return None if no peer reaches it."""
        try:
            return await self._relay_call(method, target, body, wait_s)
        except PlatformUnavailable as error:
            logger.debug("store: relayed call failed: {}", error.reason)
            return None
