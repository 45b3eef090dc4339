"""greengagetack.http1.pacing: bounds the parser's work for one server."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

__all__ = ["LINE_PIECES", "ParserPacing", "receive_pieces"]

# A piece is a call of the parser for a header or a part of a body. A daemon of the
# largest deployment relays about 8,000 tokens a second from all replicas together.
PIECES_PER_S = 100_000.0
BURST_PIECES = 50_000.0
# What reading from the socket, its bytes and a line of an event cost, in pieces.
RECEIVE_PIECES = 8
BYTES_PER_PIECE = 256
LINE_PIECES = 2
MAX_SOURCES = 4_096


def receive_pieces(size_bytes: int) -> int:
    """Return what receiving some bytes costs before they are parsed, in pieces."""
    return RECEIVE_PIECES + size_bytes // BYTES_PER_PIECE


class ParserPacing:
    """Delays the responses of a server that sends them in too many small pieces.

    Each server has its own budget for all its connections, so that one that sends tiny
    pieces, or a lot of bytes, without end does not keep the process from its other
    work. Above the budget, the server's connections take turns.
    """

    def __init__(
        self,
        pieces_per_s: float = PIECES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._pieces_per_s = pieces_per_s
        self._burst_s = BURST_PIECES / pieces_per_s
        self._clock = clock
        # The time at which a server's budget is full again.
        self._full_s: dict[str, float] = {}
        self._waiting: dict[str, deque[Callable[[], None]]] = {}

    def wait_s(self, source: str) -> float:
        """Return for how long nothing of a server may be parsed."""
        full_s = self._full_s.get(source)
        if full_s is None:
            return 0.0
        return max(0.0, full_s - self._burst_s - self._clock())

    def must_wait(self, source: str) -> bool:
        """Whether the budget is used up, or other connections wait for their turn."""
        return source in self._waiting or self.wait_s(source) > 0

    def record(self, source: str, pieces: int) -> None:
        """Count pieces that have been parsed."""
        now_s = self._clock()
        if len(self._full_s) >= MAX_SOURCES and source not in self._full_s:
            self._full_s = {
                name: full_s for name, full_s in self._full_s.items() if full_s > now_s
            }
        full_s = max(now_s, self._full_s.get(source, now_s))
        self._full_s[source] = full_s + pieces / self._pieces_per_s

    def run_in_turn(self, source: str, parse: Callable[[], None]) -> None:
        """Call `parse` once the budget allows it and those before it have run."""
        waiting = self._waiting.get(source)
        if waiting is not None:
            waiting.append(parse)
            return
        self._waiting[source] = deque([parse])
        self._schedule(source)

    def _schedule(self, source: str) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.wait_s(source), self._run_next, source)

    def _run_next(self, source: str) -> None:
        waiting = self._waiting[source]
        while waiting and self.wait_s(source) <= 0:
            waiting.popleft()()
        if waiting:
            self._schedule(source)
        else:
            del self._waiting[source]
