"""greengagetack.http1.blocks: splits bytes at blank lines, as streams of events are."""

import sys

__all__ = ["BLOCK_END", "BlockSplitter", "OversizedBlock"]

BLOCK_END = b"\n\n"
MAX_BLOCK_BYTES = 4 * 1024 * 1024
# Each line becomes an object of its own, many times the size of a short line.
MAX_BLOCK_LINES = 4_096


class OversizedBlock(ValueError):
    """A block is larger, or has more lines, than an event may."""


class BlockSplitter:
    """Collects bytes and returns the blocks that are complete."""

    def __init__(self) -> None:
        self._pending = bytearray()

    @property
    def pending_bytes(self) -> int:
        """Number of bytes after the last complete block."""
        return len(self._pending)

    @property
    def held_bytes(self) -> int:
        """What the bytes after the last complete block occupy."""
        return sys.getsizeof(self._pending) if self._pending else 0

    @property
    def is_pending_blank(self) -> bool:
        """Whether only white space follows the last complete block."""
        return not self._pending.strip()

    def feed(self, part: bytes) -> list[bytes]:
        """Add bytes and return the blocks that they complete, without their ends.

        Raises
        ------
        OversizedBlock
            If a block exceeds ``MAX_BLOCK_BYTES`` or ``MAX_BLOCK_LINES``.
        """
        # The end of a block may lie on both sides of the boundary of two parts.
        searched = max(0, len(self._pending) - 1)
        self._pending += part
        blocks: list[bytes] = []
        if self._pending.find(BLOCK_END, searched) >= 0:
            *blocks, rest = bytes(self._pending).split(BLOCK_END)
            self._pending = bytearray(rest)
        if len(self._pending) > MAX_BLOCK_BYTES:
            raise OversizedBlock("an event is larger than the size limit")
        for block in blocks:
            if block.count(b"\n") >= MAX_BLOCK_LINES:
                raise OversizedBlock(f"an event has over {MAX_BLOCK_LINES} lines")
        return blocks
