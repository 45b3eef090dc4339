"""features.support.fact_fleet: daemons that learn facts from their owner, simulated."""

import random
from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from greengagetack.coordination.messages import Pong, decode, encode
from greengagetack.facts import FactTable
from greengagetack.gateway.crash_evidence import BLOCK_S, Standing

__all__ = ["FactFleet"]

CLOCK = "greengagetack.facts.time.monotonic"
PING_INTERVAL_S = 1.0
# Two seconds after the last fact was published.
CHANGE_S = 3.0
TAKEOVER_S = 1.0
RUN_S = 40.0


class FactFleet:
    """Daemons with their tables; the owner is one of them."""

    def __init__(self, count: int) -> None:
        self._rng = random.Random(5)
        self._now_s = 0.0
        self._owner: int | None = 0
        self._tables = [
            FactTable(f"daemon-{number}", lambda number=number: self._owner == number)
            for number in range(count)
        ]
        self._dead: set[int] = set()
        self._published_s = 0.0
        self._complete_s: dict[int, float] = {}
        self.most_bytes = 0

    def _ping(self, number: int) -> None:
        if self._owner is None:
            return
        table = self._tables[number]
        update = self._tables[self._owner].update_after(table.cursor)
        body = encode(Pong("node", "incarnation", True, 0, update))
        self.most_bytes = max(self.most_bytes, len(body))
        table.apply(decode(body, type=Pong).facts)

    @contextmanager
    def _clock(self) -> Iterator[None]:
        with patch(CLOCK, lambda: self._now_s):
            yield

    def run(self, facts: int, event: str) -> None:
        """Publish facts and let the daemons ping for a while."""
        with self._clock():
            self._run(facts, event)

    def _run(self, facts: int, event: str) -> None:
        next_ping_s = [
            self._rng.random() * PING_INTERVAL_S for _ in range(len(self._tables))
        ]
        steps = int(RUN_S / 0.05)
        for step in range(steps):
            self._now_s = step * 0.05
            published = int(facts * min(1.0, self._now_s))
            if self._owner is not None:
                self._publish(self._owner, published)
            self._change_owner(event)
            for number, due_s in enumerate(next_ping_s):
                if self._now_s < due_s or number in self._dead:
                    continue
                next_ping_s[number] = due_s + PING_INTERVAL_S
                self._ping(number)
                known = len(self._tables[number].current())
                if known >= facts and published >= facts:
                    self._complete_s.setdefault(number, self._now_s)

    def _publish(self, owner: int, count: int) -> None:
        table = self._tables[owner]
        for number in range(len(table.current()), count):
            fact = Standing(3, True, True)
            key = f"{number:016x}.{number:032x}"
            table.publish(key, fact, BLOCK_S)
            self._published_s = self._now_s

    def _change_owner(self, event: str) -> None:
        if event == "nothing else happens" or self._now_s < CHANGE_S:
            return
        if event == "the owner is replaced 2 s later":
            self._owner = 1
            return
        assert event == "the owner dies 2 s later", event
        self._dead.add(0)
        is_taken_over = self._now_s >= CHANGE_S + TAKEOVER_S
        self._owner = 1 if is_taken_over else None

    def known_after_s(self) -> float:
        """Return when the last daemon knew all facts, from their publication."""
        alive = set(range(len(self._tables))) - self._dead - {self._owner}
        missing = alive - set(self._complete_s)
        assert not missing, f"{len(missing)} daemons do not know all facts"
        return max(self._complete_s[number] for number in alive) - self._published_s

    def wait(self, period_s: float) -> None:
        """Let time pass."""
        self._now_s += period_s
        with self._clock():
            for table in self._tables:
                table.forget_expired()

    def known_counts(self) -> list[int]:
        """Return how many facts each daemon knows."""
        with self._clock():
            return [len(table.current()) for table in self._tables]
