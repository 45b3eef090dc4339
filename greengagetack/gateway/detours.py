"""greengagetack.gateway.detours: sends requests to replicas by way of other daemons.

A daemon that has lost its path to the replicas of a service lets another daemon send
the request. To the sender that is one attempt at one replica, like any other.
"""

import random
import time
from collections.abc import AsyncIterator, Collection
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.gateway.attempt import Attempt, AttemptTerms, Reply
from greengagetack.gateway.call import Call
from greengagetack.gateway.retry import AttemptResult
from greengagetack.http1.message import ExchangeError, Headers, ResponseHead
from greengagetack.observability.metrics import Metrics
from greengagetack.world import Address

__all__ = ["DetourPeers", "Detours", "RelayedAnswer", "RelayedRequest"]

# Daemons that one request is sent to at most.
MAX_PEERS = 3
# A daemon that could not send a request on is not asked again for this long.
PEER_PAUSE_S = 1.0
MS_PER_S = 1_000
OK = 200


@dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A request that another daemon is to send to one replica of a service.

    `tried` names replicas that must not get it. `software` restricts the choice if it
    is not None. `customer` and `urgency` are those of `Call`; requests of the previous
    release have none.
    """

    service: str
    request_id: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    remaining_ms: float
    is_streaming: bool
    after_event: str | None
    tried: tuple[str, ...]
    software: str | None
    customer: str | None = None
    urgency: int | None = None


@dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """How the attempt ended; the body of the replica's response follows it."""

    result: AttemptResult
    reason: str
    replica_id: str = ""
    software: str = ""
    status: int = 0
    headers: Headers = ()

    @classmethod
    def of(cls, attempt: Attempt) -> "RelayedAnswer":
        """Return the answer that tells how an attempt ended."""
        head = ResponseHead(0, ()) if attempt.reply is None else attempt.reply.head
        return cls(
            attempt.result,
            attempt.reason,
            attempt.replica_id,
            attempt.software,
            head.status,
            head.headers,
        )

    def is_stream(self, is_streaming: bool) -> bool:
        """Whether the body is a stream that was asked for; that of an error is not."""
        is_answer = self.result is AttemptResult.ANSWERED
        return is_streaming and is_answer and self.status == OK


class DetourPeers(Protocol):
    """Calls to the daemons that send requests on."""

    def member_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of all daemons."""

    async def send_relayed(
        self, address: Address, request: RelayedRequest
    ) -> tuple[RelayedAnswer, AsyncIterator[bytes]]:
        """Let a daemon send a request; return the answer and the parts of its body.

        Raises
        ------
        PeerUnreachable
            If the daemon has not received the request, and will not.
        ExchangeError
            If it may have.
        """


class Detours:
    """Chooses the daemons that send requests on, and sends these to them."""

    def __init__(
        self, peers: DetourPeers, local_address: Address, metrics: Metrics
    ) -> None:
        self._peers = peers
        self._local_address = local_address
        self._metrics = metrics
        self._rng = random.Random()
        # The daemon that last sent on a request to a service.
        self._preferred: dict[str, Address] = {}
        self._paused_until_s: dict[tuple[str, Address], float] = {}

    def next_peer(self, service: str, tried: Collection[Address]) -> Address | None:
        """Return a daemon outside `tried` that may reach a service's replicas."""
        if len(tried) >= MAX_PEERS:
            return None
        preferred = self._preferred.get(service)
        now_s = time.monotonic()
        peers = [
            address
            for address in self._peers.member_addresses()
            if address != self._local_address
            and address not in tried
            and now_s >= self._paused_until_s.get((service, address), 0.0)
        ]
        if preferred in peers:
            return preferred
        return self._rng.choice(peers) if peers else None

    async def attempt(
        self,
        address: Address,
        service: str,
        call: Call,
        terms: AttemptTerms,
        tried: Collection[str],
        software: str | None,
    ) -> Attempt:
        """Let a daemon send a call to one replica."""
        request = RelayedRequest(
            service,
            call.request_id,
            call.method,
            call.target,
            call.headers,
            call.body,
            (terms.deadline_s - time.monotonic()) * MS_PER_S,
            terms.is_streaming,
            terms.after_event,
            tuple(sorted(tried)),
            software,
            call.customer,
            call.urgency,
        )
        try:
            answer, parts = await self._peers.send_relayed(address, request)
            is_stream = answer.is_stream(terms.is_streaming)
            body = b"" if is_stream else b"".join([part async for part in parts])
        except CodedError as error:
            self._pause(service, address, error.reason)
            return Attempt(AttemptResult.NOT_SENT, None, error.reason)
        except ExchangeError as error:
            self._pause(service, address, str(error))
            return Attempt(AttemptResult.UNKNOWN, None, f"{address}: {error}")
        self._metrics.add("detours", result=answer.result.value)
        if answer.result is not AttemptResult.ANSWERED:
            if answer.result is AttemptResult.NOT_SENT:
                self._pause(service, address, answer.reason)
            return Attempt(answer.result, None, answer.reason, "", answer.replica_id)
        self._preferred[service] = address
        head = ResponseHead(answer.status, answer.headers)
        reply = Reply(head, body, parts if is_stream else None)
        return Attempt(answer.result, reply, "", answer.software, answer.replica_id)

    def _pause(self, service: str, address: Address, reason: str) -> None:
        logger.info(
            "forward: {} could not send a request on", address, reason=reason[:200]
        )
        if self._preferred.get(service) == address:
            del self._preferred[service]
        now_s = time.monotonic()
        self._paused_until_s = {
            key: until_s
            for key, until_s in self._paused_until_s.items()
            if until_s > now_s
        }
        self._paused_until_s[service, address] = now_s + PEER_PAUSE_S
