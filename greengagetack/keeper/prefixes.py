"""greengagetack.keeper.prefixes: an estimate of what an engine's cache holds."""

from collections import OrderedDict

import xxhash

__all__ = ["PREFIX_CHARACTERS", "PrefixCache", "prefix_hash"]

PREFIX_CHARACTERS = 256
MAX_PREFIXES = 256
HIT_RATIO = 0.9


def prefix_hash(prompt: str) -> int:
    """Return the hash of the start of a prompt."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_CHARACTERS].encode())


class PrefixCache:
    """Remembers which prompt prefixes an engine has lately been sent.

    Events from the engine correct it; they come late and with gaps, so a
    missing one changes nothing.
    """

    def __init__(self) -> None:
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._next_event = 0

    @property
    def next_event(self) -> int:
        """Sequence number after the last event taken."""
        return self._next_event

    def used(self, prompt: str) -> None:
        """Take a prompt that was sent to the engine."""
        self._remember(prefix_hash(prompt))

    def _remember(self, prefix: int) -> None:
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def cached_ratio(self, prefix: int) -> float:
        """Return the estimated cached share of a prompt, 0 to 1."""
        return HIT_RATIO if prefix in self._prefixes else 0.0
