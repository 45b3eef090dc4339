"""greengagetack.rollouts.versions: which weight versions made which tokens."""

from collections.abc import Iterable
from dataclasses import dataclass

from greengagetack.keeper.messages import Chunk

__all__ = ["VersionRange", "extend_ranges", "oldest_version", "ranges_of_chunks"]


@dataclass(frozen=True, slots=True)
class VersionRange:
    """Tokens `first_token` up to `end_token` (exclusive) made by `version`."""

    version: int
    first_token: int
    end_token: int


def extend_ranges(
    ranges: tuple[VersionRange, ...], chunk: Chunk
) -> tuple[VersionRange, ...]:
    """Return `ranges` with the tokens of one more chunk."""
    end_token = chunk.offset_tokens + chunk.token_count
    if ranges and ranges[-1].version == chunk.weight_version:
        last = ranges[-1]
        merged = VersionRange(last.version, last.first_token, end_token)
        return (*ranges[:-1], merged)
    added = VersionRange(chunk.weight_version, chunk.offset_tokens, end_token)
    return (*ranges, added)


def ranges_of_chunks(chunks: Iterable[Chunk]) -> tuple[VersionRange, ...]:
    """Return the version ranges of chunks in the order of their tokens."""
    ranges: tuple[VersionRange, ...] = ()
    for chunk in chunks:
        if chunk.token_count == 0:
            continue
        ranges = extend_ranges(ranges, chunk)
    return ranges


def oldest_version(ranges: tuple[VersionRange, ...]) -> int | None:
    """Return the oldest version of the ranges, None if there are none."""
    return min((part.version for part in ranges), default=None)
