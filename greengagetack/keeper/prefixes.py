"""greengagetack.keeper.prefixes: estimates the contents of an engine's prefix cache."""

from collections import OrderedDict
from collections.abc import Callable

import xxhash

from greengagetack.engines.state import CacheEvents

__all__ = ["PREFIX_CHARACTERS", "PrefixCache", "prefix_hash"]

PREFIX_CHARACTERS = 256
MAX_TRACKED_PREFIXES = 256
MAX_TRACKED_BLOCKS = 4_096

# Estimated likelihood that a block is cached after its prompt was sent, or after a
# cache event reported it as stored or evicted.
SENT_LIKELIHOOD = 0.9
STORED_LIKELIHOOD = 0.7
EVICTED_LIKELIHOOD = 0.2

BlockHasher = Callable[[str], tuple[str, ...]]


def prefix_hash(prompt: str) -> int:
    """Return the hash of the start of a prompt."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_CHARACTERS].encode())


class PrefixCache:
    """Estimates which prompt prefixes an engine has cached.

    A prompt that was sent makes its blocks likely to be cached. Cache events of
    the engine correct the estimate. They arrive late and with gaps, so an event
    raises or lowers the likelihood of a block but never makes its state certain,
    and a missing event changes nothing.

    Parameters
    ----------
    hash_blocks : callable
        Returns the engine's hashes of the blocks at the start of a prompt.
    """

    def __init__(self, hash_blocks: BlockHasher) -> None:
        self._hash_blocks = hash_blocks
        self._prefixes: OrderedDict[int, tuple[str, ...]] = OrderedDict()
        self._blocks: OrderedDict[str, float] = OrderedDict()
        self.next_event = 0

    def record_prompt(self, prompt: str) -> None:
        """Record a prompt that was sent to the engine."""
        key = prefix_hash(prompt)
        start = prompt[:PREFIX_CHARACTERS]
        blocks = self._hash_blocks(start) or (f"{key:x}",)
        self._prefixes[key] = blocks
        self._prefixes.move_to_end(key)
        for block in blocks:
            self._set_likelihood(block, SENT_LIKELIHOOD)
        while len(self._prefixes) > MAX_TRACKED_PREFIXES:
            self._prefixes.popitem(last=False)

    def _set_likelihood(self, block: str, likelihood: float) -> None:
        self._blocks[block] = likelihood
        self._blocks.move_to_end(block)
        while len(self._blocks) > MAX_TRACKED_BLOCKS:
            self._blocks.popitem(last=False)

    def apply_events(self, events: CacheEvents) -> None:
        """Apply cache events; a lower sequence number means an engine restart."""
        if events.next < self.next_event:
            self._blocks.clear()
        self.next_event = events.next
        for event in events.events:
            known = self._blocks.get(event.prefix_hash, 0.0)
            if event.kind == "stored":
                self._set_likelihood(event.prefix_hash, max(known, STORED_LIKELIHOOD))
            if event.kind == "evicted" and known:
                self._blocks[event.prefix_hash] = min(known, EVICTED_LIKELIHOOD)

    def cached_ratio(self, prefix: int) -> float:
        """Return the estimated cached share of a prompt, 0 to 1."""
        blocks = self._prefixes.get(prefix)
        if blocks is None:
            return 0.0
        return sum(self._blocks.get(block, 0.0) for block in blocks) / len(blocks)
