"""greengagetack.gateway.attempt: the outcome of sending a request to one replica."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from greengagetack.gateway.retry import AttemptResult
from greengagetack.http1.message import ResponseHead

__all__ = ["Attempt", "Reply"]


@dataclass(frozen=True, slots=True)
class Reply:
    """A replica's response; `parts` yields the rest of the body of a streamed one."""

    head: ResponseHead
    body: bytes
    parts: AsyncIterator[bytes] | None = None


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
