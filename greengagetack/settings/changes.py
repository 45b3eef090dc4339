"""greengagetack.settings.changes: differences between two plain JSON values."""

from dataclasses import dataclass
from typing import Any

from greengagetack.settings.bounds import is_token_hash

__all__ = ["ABSENT", "Change", "find_changes", "redact"]

SHOWN_HASH_CHARACTERS = 15
ABSENT = "(absent)"


@dataclass(frozen=True, slots=True)
class Change:
    """One difference between two values; ``(absent)`` marks a missing value."""

    path: str
    before: Any
    after: Any


def find_changes(before: Any, after: Any, path: str = "") -> list[Change]:
    """Return all differences between two plain values, one per leaf path."""
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


def redact(value: Any) -> Any:
    """Return a copy of a plain value with token hashes shortened."""
    if isinstance(value, dict):
        return {key: redact(item) for key, item in value.items()}
    if isinstance(value, list):
        return [redact(item) for item in value]
    if isinstance(value, str) and is_token_hash(value):
        return value[:SHOWN_HASH_CHARACTERS] + "…"
    return value
