"""greengagetack.settings.changes: what differs between two plain values."""

from dataclasses import dataclass
from typing import Any

from greengagetack.settings.bounds import is_token_hash

__all__ = ["ABSENT", "Change", "find_changes", "redacted"]

SHOWN_HASH_CHARACTERS = 15
ABSENT = "(absent)"


@dataclass(frozen=True, slots=True)
class Change:
    """One place where two values differ; ``(absent)`` stands for no value."""

    path: str
    before: Any
    after: Any


def find_changes(before: Any, after: Any, path: str = "") -> list[Change]:
    """Return all places where two plain values differ, as paths of leaves."""
    if isinstance(before, dict) and isinstance(after, dict):
        return _changes_by_key(before, after, path)
    if isinstance(before, list) and isinstance(after, list):
        return _changes_by_key(dict(enumerate(before)), dict(enumerate(after)), path)
    if type(before) is type(after) and before == after:
        return []
    is_number = isinstance(before, int | float) and isinstance(after, int | float)
    if is_number and before == after and not isinstance(before, bool):
        return []
    return [Change(path, before, after)]


def _changes_by_key(
    before: dict[Any, Any], after: dict[Any, Any], path: str
) -> list[Change]:
    changes: list[Change] = []
    for key in dict.fromkeys([*before, *after]):
        old = before.get(key, ABSENT)
        new = after.get(key, ABSENT)
        changes.extend(find_changes(old, new, f"{path}/{key}"))
    return changes


def redacted(value: Any) -> Any:
    """Return a plain value whose token hashes are shortened."""
    if isinstance(value, dict):
        return {key: redacted(item) for key, item in value.items()}
    if isinstance(value, list):
        return [redacted(item) for item in value]
    if isinstance(value, str) and is_token_hash(value):
        return value[:SHOWN_HASH_CHARACTERS] + "…"
    return value
