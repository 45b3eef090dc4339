"""greengagetack.http1.memory: the memory that a process holds of servers' responses."""

from collections.abc import Callable

from loguru import logger

__all__ = ["Holding", "ResponseMemory"]

DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024


class Holding:
    """What one holder has of a server's responses; nothing once it is deleted."""

    __slots__ = ("_memory", "held_bytes", "on_evicted", "source")

    def __init__(
        self,
        memory: "ResponseMemory",
        source: str,
        on_evicted: Callable[[str], None] | None,
    ) -> None:
        self._memory = memory
        self.source = source
        self.on_evicted = on_evicted
        self.held_bytes = 0

    def resize(self, held_bytes: int) -> None:
        """Set how much is held; the largest holders are evicted at the limit."""
        self._memory.resize(self, held_bytes)

    def __del__(self) -> None:
        """Count the holder's bytes no longer."""
        self._memory.resize(self, 0)


class ResponseMemory:
    """Bounds what all responses of a process hold together.

    Servers may send without end, several at a time and over many connections, and a
    process that uses more than its VM's memory is killed. At the limit, the source with
    the most bytes loses its largest holder. A response that is ready to be passed on is
    never evicted, and half of the limit is left to the others, however many are ready.

    Parameters
    ----------
    limit_bytes : int
        Memory for all responses, in bytes that are held: an object's own size is part
        of it.
    name : str
        Names the servers in logs.
    max_response_share : float
        Share of this memory that the body of a single response may use.
    """

    def __init__(
        self,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
        name: str = "servers",
        max_response_share: float = 0.5,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.max_response_bytes = int(limit_bytes * max_response_share)
        self.used_bytes = 0
        self.evictions = 0
        self._evictable_bytes = 0
        self._name = name
        self._source_bytes: dict[str, int] = {}
        self._holdings: dict[str, set[Holding]] = {}

    def open(
        self, source: str, on_evicted: Callable[[str], None] | None = None
    ) -> Holding:
        """Return a new holder's entry.

        Parameters
        ----------
        source : str
            The server or exchange that decides how much is held.
        on_evicted : callable or None
            Drops what is held, for the reason given; None if it may not be dropped.
        """
        return Holding(self, source, on_evicted)

    def resize(self, holding: Holding, held_bytes: int) -> None:
        """Set how much a holder has, and evict others or itself at the limit."""
        growth_bytes = held_bytes - holding.held_bytes
        if not growth_bytes:
            return
        holding.held_bytes = held_bytes
        self.used_bytes += growth_bytes
        if holding.on_evicted is None:
            return
        self._evictable_bytes += growth_bytes
        self._update_source(holding, growth_bytes)
        if growth_bytes > 0:
            self._evict()

    def _update_source(self, holding: Holding, growth_bytes: int) -> None:
        source = holding.source
        holdings = self._holdings.setdefault(source, set())
        if holding.held_bytes:
            holdings.add(holding)
        else:
            holdings.discard(holding)
        if holdings:
            source_bytes = self._source_bytes.get(source, 0) + growth_bytes
            self._source_bytes[source] = source_bytes
            return
        del self._holdings[source]
        self._source_bytes.pop(source, None)

    def _evict(self) -> None:
        ready_bytes = self.used_bytes - self._evictable_bytes
        allowed_bytes = max(self.limit_bytes - ready_bytes, self.limit_bytes // 2)
        while self._evictable_bytes > allowed_bytes:
            source = max(self._source_bytes, key=self._source_bytes.__getitem__)
            largest = max(
                self._holdings[source], key=lambda holding: holding.held_bytes
            )
            self.evictions += 1
            logger.warning(
                "memory: dropped what a server sent",
                servers=self._name,
                source=source,
                held_bytes=largest.held_bytes,
                source_bytes=self._source_bytes[source],
                ready_bytes=ready_bytes,
                used_bytes=self.used_bytes,
                limit_bytes=self.limit_bytes,
            )
            assert largest.on_evicted is not None
            largest.on_evicted(
                f"{self.used_bytes} bytes of responses from {self._name} exceed the "
                "memory for them"
            )
            largest.resize(0)
