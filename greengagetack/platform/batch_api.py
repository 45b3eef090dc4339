"""greengagetack.platform.batch_api: the wire form of batch jobs."""

import base64
import binascii
import time
from typing import Any

import msgspec

from greengagetack.batches.job import Item, Job, Result
from greengagetack.errors import InvalidRequest
from greengagetack.gateway.routes import Route

__all__ = ["decode_submission", "encode_results"]

MAX_RESULT_BYTES = 900_000
MS_PER_S = 1_000
TOKEN_USAGE = "x-token-usage"
LENGTH_HINT = "x-length-hint"


class _Item(msgspec.Struct, frozen=True):
    id: str
    path: str
    headers: dict[str, str]
    # Base64.
    body: str
    # Prompt tokens and the most output tokens together.
    tokens: int = 0
    group: str = ""


class _Submission(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...]
    step: int = 0
    model: str = ""
    # Oldest version of the weights that may make tokens.
    min_version: int = 0
    # Whole groups that the trainer waits for.
    target_groups: int = 0


def decode_submission(
    job_id: str, body: bytes, route: Route
) -> tuple[Job, tuple[Item, ...]]:
    """Return the job of a submitted body.

    Raises
    ------
    InvalidRequest
        If the body is malformed, has no items, or an item twice.
    """
    try:
        found = msgspec.json.decode(body, type=_Submission)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidRequest(f"the job cannot be read: {error}") from error
    items = tuple(_item(item) for item in found.items)
    if not items:
        raise InvalidRequest("the job has no items")
    if len({item.item_id for item in items}) != len(items):
        raise InvalidRequest("the job has an item twice")
    service = route.service_for(job_id)
    job = Job(
        job_id=job_id,
        route=route.name,
        host=route.host,
        service=service,
        submitted_ms=int(time.time() * MS_PER_S),
        due_after_ms=route.due_after_ms,
        give_up_after_s=route.give_up_after_s,
        max_attempts=route.max_attempts,
        total=len(items),
        item_parts=0,
        step=found.step,
        model=found.model,
        min_version=found.min_version,
        wanted_groups=found.target_groups,
        single_version=route.single_version,
    )
    return job, items


def _item(item: _Item) -> Item:
    try:
        body = base64.b64decode(item.body, validate=True)
    except (binascii.Error, ValueError) as error:
        raise InvalidRequest(f"the body of item {item.id} is no base64") from error
    headers = {name.lower(): value for name, value in item.headers.items()}
    bad = any(c in text for pair in headers.items() for text in pair for c in "\r\n\0")
    if not item.id or not item.path.startswith("/") or bad:
        raise InvalidRequest(f"item {item.id!r} has a bad identifier, path or header")
    if any(c in item.path or c in item.id for c in " \r\n\0"):
        raise InvalidRequest(f"item {item.id!r} has a bad identifier or path")
    prompt_tokens, most_output = _token_usage(headers.get(TOKEN_USAGE, ""))
    hint = headers.get(LENGTH_HINT, "")
    return Item(
        item_id=item.id,
        path=item.path,
        headers=tuple(item.headers.items()),
        body=body,
        tokens=item.tokens,
        group=item.group,
        prompt_tokens=prompt_tokens,
        output_hint=int(hint) if hint.isdigit() else most_output,
    )


def _token_usage(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(",")
    if not (prompt.strip().isdigit() and output.strip().isdigit()):
        return 0, 0
    return int(prompt), int(output)


def _wire_result(result: Result) -> dict[str, Any]:
    return {
        "id": result.item_id,
        "state": result.state.value,
        "output": result.output,
        "versions": result.versions,
    }


def encode_results(total: int, results: list[Result], after: int) -> bytes:
    """Return the answer to a read from a position, bounded in size."""
    parts: list[bytes] = []
    size_bytes = 0
    for result in results[after:]:
        encoded = msgspec.json.encode(_wire_result(result))
        size_bytes += len(encoded) + 1
        if parts and size_bytes > MAX_RESULT_BYTES:
            break
        parts.append(encoded)
    return b'{"total":%d,"next":%d,"results":[%b]}' % (
        total,
        after + len(parts),
        b",".join(parts),
    )
