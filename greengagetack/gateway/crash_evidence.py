"""greengagetack.gateway.crash_evidence: decides which requests crash their replicas.

When a replica ends, every request that broke off there is a suspect. The culprit is at
every crash that it causes, the others are there by chance: a request is blocked once
enough replicas have ended under it and no other suspect was at as many of these
crashes. A request that a replica answers crashes nothing.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from greengagetack.facts import fact_type
from greengagetack.replicas.replica import Incarnation

__all__ = ["CRASH_LIMIT", "CrashEvidence", "Standing", "PROBE_THRESHOLD"]

# Crashes after which a request is refused for good.
CRASH_LIMIT = 3
# Crashes after which a request runs only alone among the suspects of its service.
PROBE_THRESHOLD = 2
# A replica whose entry is still listed this long after a request broke off there has
# not ended: entries lapse after a few missed heartbeats.
CONFIRMATION_S = 12.0
# Crashes and blocks are forgotten after these times.
CRASH_RETENTION_S = 600.0
BLOCK_S = 600.0
# An answer clears a request for this long.
CLEARANCE_S = 60.0
# Bounds on what is remembered.
MAX_CRASHES = 256
MAX_SUSPECTS_PER_CRASH = 64
MAX_BLOCKED = 1_000


def _keep_blocked(earlier: "Standing", newer: "Standing") -> "Standing":
    return earlier if earlier.is_blocked else newer


@fact_type("suspect_request", merge=_keep_blocked)
@dataclass(frozen=True, slots=True)
class Standing:
    """What is known of a request.

    `crashes` counts the replicas that ended, or seem to have, while they ran it and
    whose end nothing else explains; `is_settled` tells whether all their ends are
    confirmed.
    """

    crashes: int = 0
    is_settled: bool = True
    is_blocked: bool = False


UNSUSPECTED = Standing()


@dataclass(slots=True)
class _Crash:
    reported_s: float
    is_confirmed: bool
    suspects: set[str] = field(default_factory=set)


class CrashEvidence:
    """The crashes of the last minutes with their suspects; times are monotonic."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[Incarnation, _Crash] = OrderedDict()
        self._by_suspect: dict[str, set[Incarnation]] = {}
        # Replicas that ended lately, with the time.
        self._ended_s: OrderedDict[Incarnation, float] = OrderedDict()
        self._blocked_s: OrderedDict[str, float] = OrderedDict()
        self._cleared_s: OrderedDict[str, float] = OrderedDict()

    def size(self) -> int:
        """Return the number of records, for metrics."""
        return (
            sum(len(crash.suspects) for crash in self._crashes.values())
            + len(self._blocked_s)
            + len(self._cleared_s)
            + len(self._ended_s)
        )

    def standing(self, suspect: str) -> Standing:
        """Return what is known of a request."""
        if suspect in self._blocked_s:
            return Standing(CRASH_LIMIT, is_blocked=True)
        crashes = self._crashes_of(suspect)
        if not crashes:
            return UNSUSPECTED
        return Standing(len(crashes), all(crash.is_confirmed for crash in crashes))

    def _crashes_of(self, suspect: str) -> list[_Crash]:
        return [self._crashes[at] for at in self._by_suspect.get(suspect, ())]

    def is_cleared(self, suspect: str, now_s: float) -> bool:
        """Whether a replica has answered the request lately."""
        return now_s - self._cleared_s.get(suspect, float("-inf")) < CLEARANCE_S

    def record_break(self, suspect: str, at: Incarnation, now_s: float) -> set[str]:
        """Record that a request broke off at a replica that seems to have ended.

        Returns the requests whose standings may have changed, as all methods do that
        record something.
        """
        if self.is_cleared(suspect, now_s):
            return set()
        crash = self._crashes.get(at)
        if crash is None:
            crash = _Crash(now_s, at in self._ended_s)
            self._crashes[at] = crash
            if len(self._crashes) > MAX_CRASHES:
                self._drop(next(iter(self._crashes)))
        if len(crash.suspects) >= MAX_SUSPECTS_PER_CRASH:
            return set()
        if any(other in self._blocked_s for other in crash.suspects - {suspect}):
            return set()
        crash.suspects.add(suspect)
        self._by_suspect.setdefault(suspect, set()).add(at)
        if suspect in self._blocked_s:
            return self._clear_others(suspect, at)
        return self._evaluate({suspect}, now_s)

    def record_end(self, at: Incarnation, now_s: float) -> set[str]:
        """Record that a replica has ended without having announced that it leaves."""
        self._ended_s[at] = now_s
        while len(self._ended_s) > MAX_CRASHES:
            self._ended_s.popitem(last=False)
        crash = self._crashes.get(at)
        if crash is None or crash.is_confirmed:
            return set()
        crash.is_confirmed = True
        return self._evaluate(set(crash.suspects), now_s)

    def record_leave(self, at: Incarnation) -> set[str]:
        """Record that a replica has ended as announced, which is no crash."""
        return self._drop(at)

    def record_answer(self, suspect: str, now_s: float) -> set[str]:
        """Record that a replica has answered the request, which clears it."""
        self._cleared_s[suspect] = now_s
        self._cleared_s.move_to_end(suspect)
        while len(self._cleared_s) > MAX_BLOCKED:
            self._cleared_s.popitem(last=False)
        affected = {suspect}
        self._blocked_s.pop(suspect, None)
        for at in self._by_suspect.pop(suspect, set()):
            others = self._crashes[at].suspects
            others.discard(suspect)
            affected |= others
        return affected | self._evaluate(affected, now_s)

    def _evaluate(self, suspects: Iterable[str], now_s: float) -> set[str]:
        affected = set(suspects)
        for suspect in sorted(affected):
            if suspect not in self._blocked_s and self._explains_crashes(suspect):
                affected |= self._block(suspect, now_s)
        return affected

    def _explains_crashes(self, suspect: str) -> bool:
        crashes = self._crashes_of(suspect)
        if sum(crash.is_confirmed for crash in crashes) < CRASH_LIMIT:
            return False
        others = set().union(*(crash.suspects for crash in crashes)) - {suspect}
        return all(len(self._by_suspect[other]) < len(crashes) for other in others)

    def _block(self, suspect: str, now_s: float) -> set[str]:
        """Block a request; that clears the other suspects of its crashes."""
        self._blocked_s[suspect] = now_s
        while len(self._blocked_s) > MAX_BLOCKED:
            self._blocked_s.popitem(last=False)
        freed: set[str] = set()
        for at in self._by_suspect[suspect]:
            freed |= self._clear_others(suspect, at)
        return freed

    def _clear_others(self, culprit: str, at: Incarnation) -> set[str]:
        others = self._crashes[at].suspects - {culprit}
        self._crashes[at].suspects = {culprit}
        for other in others:
            self._forget_crash(other, at)
        return others

    def _forget_crash(self, suspect: str, at: Incarnation) -> None:
        self._by_suspect[suspect].discard(at)
        if not self._by_suspect[suspect]:
            del self._by_suspect[suspect]

    def expire(self, now_s: float) -> set[str]:
        """Forget what is old, and breaks at replicas that have not ended after all."""
        affected: set[str] = set()
        for at, crash in list(self._crashes.items()):
            limit_s = CRASH_RETENTION_S if crash.is_confirmed else CONFIRMATION_S
            if now_s - crash.reported_s > limit_s:
                affected |= self._drop(at)
        for remembered, limit_s in (
            (self._blocked_s, BLOCK_S),
            (self._cleared_s, CLEARANCE_S),
            (self._ended_s, CRASH_RETENTION_S),
        ):
            self._forget_old(remembered, now_s - limit_s)
        return affected

    @staticmethod
    def _forget_old(remembered: OrderedDict[Any, float], before_s: float) -> None:
        while remembered and next(iter(remembered.values())) < before_s:
            remembered.popitem(last=False)

    def _drop(self, at: Incarnation) -> set[str]:
        crash = self._crashes.pop(at, None)
        if crash is None:
            return set()
        for suspect in crash.suspects:
            self._forget_crash(suspect, at)
        return crash.suspects
