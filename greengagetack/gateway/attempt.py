"""greengagetack.gateway.attempt: the outcome of sending a request to one replica."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from greengagetack.accounting.windows import RequestUsage
from greengagetack.gateway.retry import AttemptResult
from greengagetack.http1.memory import Holding
from greengagetack.http1.message import ResponseHead

__all__ = ["Attempt", "AttemptTerms", "Reply"]


@dataclass(frozen=True, slots=True)
class AttemptTerms:
    """How a request is sent to one replica.

    Attributes
    ----------
    deadline_s : float
        Monotonic time until which the caller waits.
    is_streaming : bool
        Whether a successful response is a stream of events.
    after_event : str or None
        The event after which a stream is resumed, None for a new one.
    is_fresh : bool
        Whether no connection that is open already may be used.
    usage : RequestUsage or None
        Counts the request for its customer, None if it is not counted here.
    """

    deadline_s: float
    is_streaming: bool = False
    after_event: str | None = None
    is_fresh: bool = False
    usage: RequestUsage | None = None


@dataclass(frozen=True, slots=True)
class Reply:
    """A replica's response.

    Attributes
    ----------
    parts : async iterator or None
        Yields the rest of the body of a streamed response.
    holding : Holding or None
        Counts the body until the caller has it, and the reply is deleted.
    """

    head: ResponseHead
    body: bytes
    parts: AsyncIterator[bytes] | None = None
    holding: Holding | None = None

    async def body_parts(self) -> AsyncIterator[bytes]:
        """Yield the whole body, streamed or not."""
        if self.body:
            yield self.body
        if self.parts is not None:
            async for part in self.parts:
                yield part


@dataclass(frozen=True, slots=True)
class Attempt:
    """The outcome of sending a request to one replica.

    `software` is the version of the replica's software that began a stream;
    `replica_id` names the replica if another daemon has chosen it.
    """

    result: AttemptResult
    reply: Reply | None
    reason: str
    software: str = ""
    replica_id: str = ""
