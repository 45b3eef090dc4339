"""standins.streams: streams answers of the engine stand-in as server-sent events."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import msgspec

from standins.batching import Batch
from standins.runs import Piece, Run, finish_reason
from standins.tokens import token_text

__all__ = ["event_stream"]

END_OF_STREAM = b"data: [DONE]\n\n"


async def event_stream(
    batch: Batch, run: Run, resume_from: int, chat: bool
) -> AsyncIterator[bytes]:
    """Yield the answer's events from token `resume_from` on, then ``[DONE]``."""
    offset = resume_from if resume_from <= run.generated else 0
    while True:
        for piece in pieces_from(run, offset):
            await hang_if_injected(batch)
            offset = piece.end_token
            is_last = run.ended and offset == run.generated
            yield encode_event(run, piece, is_last, chat)
            if is_last:
                yield END_OF_STREAM
                return
        if offset < run.generated:
            continue
        if run.ended:
            await hang_if_injected(batch)
            version = batch.weights.active_version(run.request.model)
            yield encode_event(run, Piece(offset, offset, version), True, chat)
            yield END_OF_STREAM
            return
        await run.wait_for_change()


async def hang_if_injected(batch: Batch) -> None:
    """Block forever if the fault `hang_streams` is set."""
    if batch.faults.hang_streams:
        await asyncio.Event().wait()


def pieces_from(run: Run, offset: int) -> list[Piece]:
    """Return the pieces generated from token `offset` on."""
    found: list[Piece] = []
    for piece in reversed(run.pieces):
        if piece.end_token <= offset:
            break
        first = max(piece.first_token, offset)
        found.append(Piece(first, piece.end_token, piece.version))
    found.reverse()
    return found


def encode_event(run: Run, piece: Piece, is_last: bool, chat: bool) -> bytes:
    """Return a piece as a server-sent event."""
    request = run.request
    text = "".join(
        token_text(request.prompt, request.seed, index)
        for index in range(piece.first_token, piece.end_token)
    )
    choice: dict[str, Any] = {"index": 0}
    if chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    choice["finish_reason"] = finish_reason(run) if is_last else None
    event = {
        "id": request.request_id,
        "choices": [choice],
        "offset_tokens": piece.first_token,
        "token_count": piece.end_token - piece.first_token,
        "weight_version": piece.version,
    }
    return b"data: " + msgspec.json.encode(event) + b"\n\n"
