"""greengagetack.platform.batch_api: JSON encoding of batch jobs and results."""

import base64
import binascii
import time
from typing import Any

import msgspec

from greengagetack.batches.job import Item, Job, Result, RewardRequest
from greengagetack.errors import InvalidRequest
from greengagetack.gateway.routes import Route

__all__ = ["decode_submission", "encode_results"]

MAX_PAGE_BYTES = 900_000
MS_PER_S = 1_000
TOKEN_USAGE = "x-token-usage"
LENGTH_HINT = "x-length-hint"


class _Scorer(msgspec.Struct, frozen=True):
    id: str
    host: str
    path: str
    # Base64.
    body: str


class _Item(msgspec.Struct, frozen=True):
    id: str
    path: str
    headers: dict[str, str]
    # Base64.
    body: str
    # Prompt tokens plus the maximum number of output tokens.
    tokens: int = 0
    group: str = ""
    # Request that scores the complete output.
    scorer: _Scorer | None = None


class _Submission(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...]
    step: int = 0
    model: str = ""
    # Oldest weight version that may generate tokens.
    min_version: int = 0
    # Number of complete groups that the trainer waits for.
    target_groups: int = 0


def decode_submission(
    job_id: str, body: bytes, route: Route
) -> tuple[Job, tuple[Item, ...]]:
    """Decode the job of a submission and its items.

    Raises
    ------
    InvalidRequest
        If the body is malformed, has no items or repeats the identifier of an item or
        of a scorer.
    """
    try:
        submission = msgspec.json.decode(body, type=_Submission)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidRequest(f"the job cannot be decoded: {error}") from error
    items = tuple(_decode_item(item) for item in submission.items)
    if not items:
        raise InvalidRequest("the job has no items")
    if len({item.item_id for item in items}) != len(items):
        raise InvalidRequest("the job contains an item identifier twice")
    reward_ids = [item.reward.request_id for item in items if item.reward]
    if len(set(reward_ids)) != len(reward_ids):
        raise InvalidRequest("the job contains a scorer identifier twice")
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
        step=submission.step,
        model=submission.model,
        min_version=submission.min_version,
        wanted_groups=submission.target_groups,
        single_version=route.single_version,
    )
    return job, items


def _decode_item(item: _Item) -> Item:
    body = _decode_base64(item.body, f"the body of item {item.id}")
    headers = {name.lower(): value for name, value in item.headers.items()}
    has_forbidden_character = any(
        c in text for pair in headers.items() for text in pair for c in "\r\n\0"
    )
    if not item.id or not item.path.startswith("/") or has_forbidden_character:
        raise InvalidRequest(f"item {item.id!r} has a bad identifier, path or header")
    if any(c in item.path or c in item.id for c in " \r\n\0"):
        raise InvalidRequest(f"item {item.id!r} has a bad identifier or path")
    prompt_tokens, max_output_tokens = _parse_token_usage(headers.get(TOKEN_USAGE, ""))
    hint = headers.get(LENGTH_HINT, "")
    return Item(
        item_id=item.id,
        path=item.path,
        headers=tuple(item.headers.items()),
        body=body,
        tokens=item.tokens,
        group=item.group,
        prompt_tokens=prompt_tokens,
        output_hint=int(hint) if hint.isdigit() else max_output_tokens,
        reward=None if item.scorer is None else _decode_scorer(item.scorer, item.id),
    )


def _decode_scorer(scorer: _Scorer, item_id: str) -> RewardRequest:
    for field, value in (("id", scorer.id), ("host", scorer.host)):
        if not value or not value.isprintable() or " " in value:
            raise InvalidRequest(f"the scorer of item {item_id} has a bad {field}")
    if not scorer.path.startswith("/") or any(c in scorer.path for c in " \r\n\0"):
        raise InvalidRequest(f"the scorer of item {item_id} has a bad path")
    body = _decode_base64(scorer.body, f"the body of the scorer of item {item_id}")
    return RewardRequest(scorer.id, scorer.host, scorer.path, body)


def _decode_base64(text: str, what: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise InvalidRequest(f"{what} is not valid base64") from error


def _parse_token_usage(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(",")
    if not (prompt.strip().isdigit() and output.strip().isdigit()):
        return 0, 0
    return int(prompt), int(output)


def _result_fields(result: Result) -> dict[str, Any]:
    fields = {
        "id": result.item_id,
        "state": result.state.value,
        "output": result.output,
        "versions": result.versions,
    }
    if result.score:
        fields["score"] = result.score
    return fields


def encode_results(total: int, results: list[Result], after: int) -> bytes:
    """Encode the page of results that starts at `after`, limited in size."""
    parts: list[bytes] = []
    size_bytes = 0
    for result in results[after:]:
        encoded = msgspec.json.encode(_result_fields(result))
        size_bytes += len(encoded) + 1
        if parts and size_bytes > MAX_PAGE_BYTES:
            break
        parts.append(encoded)
    return b'{"total":%d,"next":%d,"results":[%b]}' % (
        total,
        after + len(parts),
        b",".join(parts),
    )
