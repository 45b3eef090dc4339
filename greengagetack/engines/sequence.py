"""greengagetack.engines.sequence: joins the chunks of a resumed completion."""

from bisect import bisect_left, bisect_right

from greengagetack.keeper.errors import StreamTorn
from greengagetack.keeper.messages import Chunk

__all__ = ["TokenSequence"]


class TokenSequence:
    """The tokens received so far, against which replayed ones are checked.

    Replayed tokens may be cut into other chunks than the received ones, as
    long as the replay begins where a received chunk did.

    Parameters
    ----------
    start_tokens : int
        Offset of the first token that is expected; text before it is unknown.
    check_versions : bool
        Whether replayed tokens must name the same weight version.
    """

    def __init__(self, start_tokens: int = 0, check_versions: bool = True) -> None:
        self.start_tokens = start_tokens
        self.end_tokens = start_tokens
        self._check_versions = check_versions
        self._text = ""
        self._offsets: list[int] = []
        self._versions: list[int] = []
        # Where in the text a token begins, for each known chunk boundary.
        self._positions: dict[int, int] = {}

    def resume_offset(self) -> int:
        """Return the offset from which the last received chunk is replayed."""
        return self._offsets[-1] if self._offsets else self.start_tokens

    def accept(self, chunk: Chunk) -> Chunk | None:
        """Return the part of `chunk` that is new, None if there is none.

        Raises
        ------
        StreamTorn
            If tokens are missing or replayed ones differ from the received.
        """
        if chunk.offset_tokens > self.end_tokens:
            raise StreamTorn(
                f"tokens {self.end_tokens} to {chunk.offset_tokens} are missing"
            )
        if not self._offsets and chunk.offset_tokens < self.start_tokens:
            # The engine started anew: its tokens from the first on are all new.
            self.start_tokens = chunk.offset_tokens
            self.end_tokens = chunk.offset_tokens
        fresh: Chunk | None = chunk
        if chunk.offset_tokens < self.end_tokens:
            fresh = self._rest_after_overlap(chunk)
        if fresh is None or not fresh.token_count:
            return None
        self._append(fresh)
        return fresh

    def _append(self, chunk: Chunk) -> None:
        self._offsets.append(chunk.offset_tokens)
        self._versions.append(chunk.weight_version)
        self._positions[chunk.offset_tokens] = len(self._text)
        self._text += chunk.text
        self.end_tokens = chunk.offset_tokens + chunk.token_count

    def _rest_after_overlap(self, chunk: Chunk) -> Chunk | None:
        offset = chunk.offset_tokens
        chunk_end = offset + chunk.token_count
        if offset < self.start_tokens and chunk_end <= self.start_tokens:
            return None
        position = self._positions.get(offset)
        if position is None:
            raise StreamTorn(f"no received chunk starts at token {offset}")
        self._check_version(chunk)
        if chunk_end < self.end_tokens:
            if not self._text.startswith(chunk.text, position):
                raise StreamTorn(f"other text at token {offset}")
            # The replay goes on from here.
            self._positions[chunk_end] = position + len(chunk.text)
            return None
        known = self._text[position:]
        if not chunk.text.startswith(known):
            raise StreamTorn(f"other text at token {offset}")
        return Chunk(
            offset_tokens=self.end_tokens,
            token_count=chunk_end - self.end_tokens,
            text=chunk.text[len(known) :],
            weight_version=chunk.weight_version,
        )

    def _check_version(self, chunk: Chunk) -> None:
        if not self._check_versions:
            return
        first = bisect_right(self._offsets, chunk.offset_tokens) - 1
        chunk_end = chunk.offset_tokens + chunk.token_count
        last = bisect_left(self._offsets, chunk_end)
        for received in self._versions[first:last]:
            if received == chunk.weight_version:
                continue
            raise StreamTorn(
                f"tokens from {chunk.offset_tokens} came from version {received}, "
                f"their replay from {chunk.weight_version}"
            )
