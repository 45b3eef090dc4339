"""greengagetack.engines.sequence: joins the chunks of a resumed completion."""

from bisect import bisect_left

from greengagetack.keeper.errors import StreamTorn
from greengagetack.keeper.messages import Chunk

__all__ = ["TokenSequence"]


class TokenSequence:
    """The tokens received so far, against which replayed ones are checked.

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
        self._chunks: list[Chunk] = []
        self._offsets: list[int] = []

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
        if not self._chunks and chunk.offset_tokens < self.start_tokens:
            # The engine started anew: its tokens from the first on are all new.
            self.start_tokens = chunk.offset_tokens
            self.end_tokens = chunk.offset_tokens
        fresh = chunk
        if chunk.offset_tokens < self.end_tokens:
            rest = self._rest_after_overlap(chunk)
            if rest is None:
                return None
            fresh = rest
        if not fresh.token_count:
            return None
        self._chunks.append(fresh)
        self._offsets.append(fresh.offset_tokens)
        self.end_tokens = fresh.offset_tokens + fresh.token_count
        return fresh

    def _rest_after_overlap(self, chunk: Chunk) -> Chunk | None:
        chunk_end = chunk.offset_tokens + chunk.token_count
        if chunk.offset_tokens < self.start_tokens:
            if chunk_end <= self.start_tokens:
                return None
            raise StreamTorn(f"no token starts at {self.start_tokens}")
        index = bisect_left(self._offsets, chunk.offset_tokens)
        if index == len(self._offsets) or self._offsets[index] != chunk.offset_tokens:
            raise StreamTorn(f"no received chunk starts at {chunk.offset_tokens}")
        self._check_version(chunk, self._chunks[index])
        known = "".join(received.text for received in self._chunks[index:])
        if chunk_end < self.end_tokens:
            if not known.startswith(chunk.text):
                raise StreamTorn(f"other text at token {chunk.offset_tokens}")
            return None
        if not chunk.text.startswith(known):
            raise StreamTorn(f"other text at token {chunk.offset_tokens}")
        return Chunk(
            offset_tokens=self.end_tokens,
            token_count=chunk_end - self.end_tokens,
            text=chunk.text[len(known) :],
            weight_version=chunk.weight_version,
        )

    def _check_version(self, chunk: Chunk, received: Chunk) -> None:
        if not self._check_versions:
            return
        if chunk.weight_version != received.weight_version:
            raise StreamTorn(
                f"token {chunk.offset_tokens} came from version "
                f"{received.weight_version}, its replay from {chunk.weight_version}"
            )
