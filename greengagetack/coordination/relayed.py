"""greengagetack.coordination.relayed: the format of a relayed attempt's outcome.

The body of the replica's response follows the encoded answer, which is preceded by its
length.
"""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

from greengagetack.coordination.messages import decode, encode
from greengagetack.gateway.attempt import Attempt
from greengagetack.gateway.detours import RelayedAnswer
from greengagetack.http1.connection import Connection
from greengagetack.http1.message import IncompleteResponse

__all__ = ["encode_relayed", "read_relayed_answer", "read_relayed_body"]

LENGTH_BYTES = 4
# The head of a replica's response is bounded, and the rest of the answer is short.
MAX_ANSWER_BYTES = 1_048_576


async def encode_relayed(attempt: Attempt) -> AsyncIterator[bytes]:
    """Yield the encoded outcome of an attempt, then the body of the response."""
    answer = encode(RelayedAnswer.of(attempt))
    yield len(answer).to_bytes(LENGTH_BYTES) + answer
    if attempt.reply is not None:
        async for part in attempt.reply.body_parts():
            yield part


async def read_relayed_answer(connection: Connection) -> tuple[RelayedAnswer, bytes]:
    """Return the answer before the body, and the bytes read beyond it.

    Raises
    ------
    IncompleteResponse
        If the response ends early, or the answer cannot be decoded.
    """
    received = b""
    end = LENGTH_BYTES
    while len(received) < end:
        part = await connection.read()
        if not part:
            raise IncompleteResponse("the answer of the daemon is incomplete")
        received += part
        if len(received) >= LENGTH_BYTES:
            end = LENGTH_BYTES + int.from_bytes(received[:LENGTH_BYTES])
        if end > MAX_ANSWER_BYTES:
            raise IncompleteResponse(f"the answer of the daemon has {end} bytes")
    try:
        answer = decode(received[LENGTH_BYTES:end], type=RelayedAnswer)
    except ValueError as error:
        raise IncompleteResponse(f"the answer cannot be decoded: {error}") from error
    return answer, received[end:]


async def read_relayed_body(
    connection: Connection, first: bytes, stack: AsyncExitStack, is_gathered: bool
) -> AsyncIterator[bytes]:
    """Yield the body, of which `first` has been read; `stack` is closed at its end.

    With `is_gathered`, the reader keeps all parts until the end.
    """
    async with stack:
        kept_bytes = len(first)
        if first:
            yield first
        while part := await connection.read(kept_bytes if is_gathered else 0):
            kept_bytes += len(part)
            yield part
