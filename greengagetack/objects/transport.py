"""greengagetack.objects.transport: calls to the store, directly or through a peer."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from greengagetack.errors import PlatformUnavailable
from greengagetack.http1.message import AnswerHead, ExchangeError, Request
from greengagetack.http1.pool import Pool
from greengagetack.observability.metrics import Metrics
from greengagetack.world import Address

__all__ = [
    "REFUSED",
    "DirectTransport",
    "RelayedTransport",
    "StoreAnswer",
    "Transport",
]

# A slow store answers within some hundred ms; longer than this it counts as silent.
CALL_TIMEOUT_S = 1.0
RETRY_AFTER_S = 0.5
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# After a failure the direct way is tried again after this time.
DIRECT_PAUSE_S = 1.0
OK = 200
CREATED = 201
# The store did nothing and says so.
REFUSED = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Status and body of one call to the store."""

    status: int
    body: bytes


class Transport(Protocol):
    """One way to the store."""

    async def call(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreAnswer:
        """Send one call.

        Raises
        ------
        PlatformUnavailable
            If no answer came; the call may have been carried out.
        """


class DirectTransport:
    """Calls the store itself."""

    def __init__(self, address: Address, metrics: Metrics) -> None:
        self._address = address
        self._pool = Pool(CALL_TIMEOUT_S)
        self._host = str(address).encode()
        self._metrics = metrics

    async def call(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreAnswer:
        """Send one call on a connection of its own.

        Raises
        ------
        PlatformUnavailable
            If no answer came.
        """
        headers = ((b"host", self._host), (b"content-type", b"application/json"))
        request = Request(method.encode(), target.encode(), headers, body)
        self._metrics.add("store_calls", method=method)
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S + wait_s):
                async with self._pool.connection(self._address) as connection:
                    head = await connection.send(request)
                    content = await connection.read_all(MAX_ANSWER_BYTES)
        except (ExchangeError, TimeoutError) as error:
            self._metrics.add("store_failures", method=method)
            raise PlatformUnavailable(
                f"{method} {target[:80]} got no answer: {error!r}", RETRY_AFTER_S
            ) from error
        if not wait_s:
            self._metrics.observe_s("store_call_s", time.monotonic() - started_s)
        return StoreAnswer(_status(head), content)


def _status(head: AnswerHead) -> int:
    return OK if head.status == CREATED else head.status


class RelayedTransport:
    """Calls the store itself, or through a peer while the store refuses this VM.

    Parameters
    ----------
    direct : Transport
        The store itself.
    relay : callable
        Sends a call through some peer that the store serves; raises
        `PlatformUnavailable` if there is none.
    metrics : Metrics
        Counts the calls that are made for peers.
    """

    def __init__(
        self,
        direct: Transport,
        relay: Callable[[str, str, bytes, float], Awaitable[StoreAnswer]],
        metrics: Metrics,
    ) -> None:
        self._direct = direct
        self._relay = relay
        self._metrics = metrics
        self._direct_failed_s = float("-inf")

    @property
    def is_direct_failing(self) -> bool:
        """Whether the store refused this VM or did not answer it just now."""
        return time.monotonic() - self._direct_failed_s < DIRECT_PAUSE_S

    async def call(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreAnswer:
        """Send one call by the way that worked last.

        Raises
        ------
        PlatformUnavailable
            If no way gave an answer.
        """
        if self.is_direct_failing:
            relayed = await self._relayed(method, target, body, wait_s)
            return relayed or await self._direct.call(method, target, body, wait_s)
        failure: PlatformUnavailable | None = None
        try:
            answer = await self._direct.call(method, target, body, wait_s)
            if answer.status not in REFUSED:
                if self._direct_failed_s > 0:
                    logger.info("store: reached directly again")
                    self._direct_failed_s = float("-inf")
                return answer
        except PlatformUnavailable as error:
            failure = error
        if self._direct_failed_s < 0:
            reason = failure.reason if failure else f"status {answer.status}"
            logger.warning("store: not reached directly: {}", reason)
        self._direct_failed_s = time.monotonic()
        relayed = await self._relayed(method, target, body, wait_s)
        if relayed is not None:
            return relayed
        if failure is not None:
            raise failure
        return answer

    async def relayed_for_peer(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreAnswer:
        """Call the store for a daemon that does not reach it.

        Raises
        ------
        PlatformUnavailable
            If this daemon does not reach it either.
        """
        if self.is_direct_failing:
            raise PlatformUnavailable("this daemon does not reach the store either")
        answer = await self._direct.call(method, target, body, wait_s)
        self._metrics.add("relayed_calls")
        return answer

    async def _relayed(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreAnswer | None:
        """Return the answer that a peer got, None if no peer reaches the store."""
        try:
            return await self._relay(method, target, body, wait_s)
        except PlatformUnavailable as error:
            logger.debug("store: no relay: {}", error.reason)
            return None
