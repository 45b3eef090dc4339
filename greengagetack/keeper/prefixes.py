"""greengagetack.keeper.prefixes: an estimate of what an engine's cache holds."""

from collections import OrderedDict
from collections.abc import Callable

import xxhash

from greengagetack.engines.state import CacheEvents

__all__ = ["PREFIX_CHARACTERS", "PrefixCache", "prefix_hash"]

PREFIX_CHARACTERS = 256
MAX_PREFIXES = 256
MAX_BLOCKS = 4_096

# How sure it is that a block is cached, by what was last heard of it.
USED = 0.9
STORED = 0.7
EVICTED = 0.2

BlocksOf = Callable[[str], tuple[str, ...]]


def prefix_hash(prompt: str) -> int:
    """Return the hash of the start of a prompt."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_CHARACTERS].encode())


class PrefixCache:
    """Estimates which prompt prefixes an engine has cached.

    Prompts that were sent make their blocks likely. Events of the engine
    correct this; they come late and with gaps, so one of them moves the
    estimate but neither makes it certain nor takes all of it away, and a
    missing one changes nothing.

    Parameters
    ----------
    blocks_of : callable
        Returns the engine's hashes of the blocks at the start of a prompt.
    """

    def __init__(self, blocks_of: BlocksOf) -> None:
        self._blocks_of = blocks_of
        self._prefixes: OrderedDict[int, tuple[str, ...]] = OrderedDict()
        self._blocks: OrderedDict[str, float] = OrderedDict()
        self.next_event = 0

    def used(self, prompt: str) -> None:
        """Take a prompt that was sent to the engine."""
        key = prefix_hash(prompt)
        start = prompt[:PREFIX_CHARACTERS]
        blocks = self._blocks_of(start) or (f"{key:x}",)
        self._prefixes[key] = blocks
        self._prefixes.move_to_end(key)
        for block in blocks:
            self._set(block, USED)
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def _set(self, block: str, likelihood: float) -> None:
        self._blocks[block] = likelihood
        self._blocks.move_to_end(block)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)

    def correct(self, events: CacheEvents) -> None:
        """Take events of the engine; an engine that starts again counts anew."""
        if events.next < self.next_event:
            self._blocks.clear()
        self.next_event = events.next
        for event in events.events:
            known = self._blocks.get(event.prefix_hash, 0.0)
            if event.kind == "stored":
                self._set(event.prefix_hash, max(known, STORED))
            if event.kind == "evicted" and known:
                self._blocks[event.prefix_hash] = min(known, EVICTED)

    def cached_ratio(self, prefix: int) -> float:
        """Return the estimated cached share of a prompt, 0 to 1."""
        blocks = self._prefixes.get(prefix)
        if blocks is None:
            return 0.0
        return sum(self._blocks.get(block, 0.0) for block in blocks) / len(blocks)
