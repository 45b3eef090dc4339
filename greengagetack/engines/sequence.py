"""greengagetack.engines.sequence: joins the chunks of a resumed completion."""

from bisect import bisect_left, bisect_right

from greengagetack.keeper.errors import StreamTorn
from greengagetack.keeper.messages import Chunk

__all__ = ["TokenSequence"]


class TokenSequence:
    """The tokens received so far; replayed tokens are checked against them.

    Chunk boundaries of the replay may differ from those of the received chunks,
    but the replay has to begin at the start of a received chunk.

    Parameters
    ----------
    start_tokens : int
        Offset of the first expected token; the text before it is unknown.
    check_versions : bool
        Whether replayed tokens must have the same weight version.
    """

    def __init__(self, start_tokens: int = 0, check_versions: bool = True) -> None:
        self.start_tokens = start_tokens
        self.end_tokens = start_tokens
        self._check_versions = check_versions
        self._text = ""
        self._offsets: list[int] = []
        self._versions: list[int] = []
        # Position in the text of each received chunk boundary, by token offset.
        self._positions: dict[int, int] = {}

    def resume_offset(self) -> int:
        """Return the offset from which the last received chunk is replayed."""
        return self._offsets[-1] if self._offsets else self.start_tokens

    def accept(self, chunk: Chunk) -> Chunk | None:
        """Append a chunk and return its new part, None if there is none.

        Raises
        ------
        StreamTorn
            If tokens are missing or replayed tokens differ from the received ones.
        """
        if chunk.offset_tokens > self.end_tokens:
            raise StreamTorn(
                f"tokens {self.end_tokens} to {chunk.offset_tokens} are missing"
            )
        if not self._offsets and chunk.offset_tokens < self.start_tokens:
            # The engine restarted the completion: all of its tokens are new.
            self.start_tokens = chunk.offset_tokens
            self.end_tokens = chunk.offset_tokens
        new_part: Chunk | None = chunk
        if chunk.offset_tokens < self.end_tokens:
            new_part = self._rest_after_overlap(chunk)
        if new_part is None or not new_part.token_count:
            return None
        self._append(new_part)
        return new_part

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
            raise StreamTorn(
                f"the replay starts at token {offset}, where no received chunk starts"
            )
        self._check_version(chunk)
        if chunk_end < self.end_tokens:
            if not self._text.startswith(chunk.text, position):
                raise StreamTorn(f"the replayed text differs at token {offset}")
            # The next chunk of the replay starts here.
            self._positions[chunk_end] = position + len(chunk.text)
            return None
        received_text = self._text[position:]
        if not chunk.text.startswith(received_text):
            raise StreamTorn(f"the replayed text differs at token {offset}")
        return Chunk(
            offset_tokens=self.end_tokens,
            token_count=chunk_end - self.end_tokens,
            text=chunk.text[len(received_text) :],
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
                f"tokens from {chunk.offset_tokens} on have version {received}, "
                f"but their replay has version {chunk.weight_version}"
            )
