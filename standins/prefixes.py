"""standins.prefixes: the prefix cache of the engine stand-in."""

import random
import time
from collections import OrderedDict

import msgspec
import xxhash

__all__ = ["BLOCK_TOKENS", "CacheEvent", "PrefixCache", "prefix_hashes"]

BLOCK_TOKENS = 16
MAX_EVENTS = 10_000


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of the cache's content; `kind` is "stored" or "evicted"."""

    sequence: int
    kind: str
    prefix_hash: str


def prefix_hashes(prompt: str) -> list[str]:
    """Return the hash of each prefix of whole blocks, shortest first."""
    words = prompt.split()
    hashes = []
    for end in range(BLOCK_TOKENS, len(words) + 1, BLOCK_TOKENS):
        hashes.append(xxhash.xxh64_hexdigest(" ".join(words[:end]).encode()))
    return hashes


class PrefixCache:
    """Keeps the most recently used prefix blocks, up to a maximum number.

    Parameters
    ----------
    max_blocks : int
        Capacity in blocks of `BLOCK_TOKENS` tokens.
    event_lag_s : float
        Delay after which an event becomes visible.
    event_gap_share : float
        Share of the events that are dropped.
    """

    def __init__(
        self, max_blocks: int, event_lag_s: float, event_gap_share: float, seed: int
    ) -> None:
        self._max_blocks = max_blocks
        self._event_lag_s = event_lag_s
        self._event_gap_share = event_gap_share
        self._random = random.Random(seed)
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[tuple[float, CacheEvent]] = []
        self._sequence = 0

    def store_prompt(self, prompt: str) -> int:
        """Store the prompt's blocks; return how many tokens were already cached."""
        hashes = prefix_hashes(prompt)
        cached_blocks = 0
        for prefix_hash in hashes:
            if prefix_hash not in self._blocks:
                break
            cached_blocks += 1
        for prefix_hash in hashes:
            if prefix_hash in self._blocks:
                self._blocks.move_to_end(prefix_hash)
                continue
            self._blocks[prefix_hash] = None
            self._add_event("stored", prefix_hash)
        while len(self._blocks) > self._max_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._add_event("evicted", evicted)
        return cached_blocks * BLOCK_TOKENS

    def clear(self) -> None:
        """Evict all blocks, as after a change of weights."""
        while self._blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._add_event("evicted", evicted)

    def events_after(self, sequence: int) -> list[CacheEvent]:
        """Return the visible events after a sequence number."""
        latest_s = time.monotonic() - self._event_lag_s
        found = []
        for added_at_s, event in self._events:
            if event.sequence > sequence and added_at_s <= latest_s:
                found.append(event)
        return found

    def _add_event(self, kind: str, prefix_hash: str) -> None:
        self._sequence += 1
        if self._random.random() < self._event_gap_share:
            return
        event = CacheEvent(self._sequence, kind, prefix_hash)
        self._events.append((time.monotonic(), event))
        if len(self._events) > MAX_EVENTS:
            del self._events[: MAX_EVENTS // 2]
