"""features.support.reward_load: simulates reward calls beside callers' requests."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from greengagetack.batches.reward_placement import (
    RewardCandidate,
    RewardLimits,
    choose_reward_replica,
)

__all__ = ["LoadResult", "SimulatedReplica", "simulate_rewards"]

SLOTS = 6
QUEUE = 24
CALL_S = 0.0375
REWARD_S = 0.12
REFUSAL_PAUSE_S = 0.05
WARM_UP_S = 1.0
DURATION_S = 12.0


@dataclass
class SimulatedReplica:
    """A replica with slots and a short queue; a full one refuses."""

    name: str
    slowdown_factor: float = 1.0
    is_gone: bool = False
    running: int = 0
    waiting: list[tuple[float, str, float]] = field(default_factory=list)
    rewards: int = 0


@dataclass
class LoadResult:
    """Latencies of callers at sound replicas, and the time of the last score."""

    caller_latencies_s: list[float] = field(default_factory=list)
    refused_callers: int = 0
    scored: int = 0
    last_score_s: float = 0.0


class _Simulation:
    def __init__(
        self, replicas: list[SimulatedReplica], items: int, calls_per_s: float
    ) -> None:
        self.replicas = [r for r in replicas if not r.is_gone]
        self.result = LoadResult()
        self.limits = RewardLimits()
        self.waiting_items = 0
        self._rng = random.Random(5)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0
        for _ in range(items):
            self._at(WARM_UP_S + self._rng.random() * 0.05, self._on_item)
        time_s = 0.0
        while time_s < DURATION_S:
            time_s += self._rng.expovariate(calls_per_s)
            self._at(time_s, self._on_call)

    def _at(self, time_s: float, action: Callable[[float], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (time_s, self._number, action))

    def run(self) -> LoadResult:
        while self._events:
            time_s, _, action = heapq.heappop(self._events)
            action(time_s)
        return self.result

    def _on_item(self, now_s: float) -> None:
        self.waiting_items += 1
        self._place(now_s)

    def _on_call(self, now_s: float) -> None:
        replica = self._rng.choice(self.replicas)
        if not self._arrive(replica, now_s, "call", CALL_S):
            self.result.refused_callers += 1

    def _place(self, now_s: float) -> None:
        while self.waiting_items:
            candidates = [
                RewardCandidate(r.name, r.rewards, self.limits.limit_of(r.name, SLOTS))
                for r in self.replicas
            ]
            chosen = choose_reward_replica(candidates)
            if chosen is None:
                return
            replica = next(r for r in self.replicas if r.name == chosen)
            if not self._arrive(replica, now_s, "reward", REWARD_S):
                self.limits.record_refusal(replica.name)
                self._at(now_s + REFUSAL_PAUSE_S, self._place)
                return
            replica.rewards += 1
            self.waiting_items -= 1

    def _arrive(
        self, replica: SimulatedReplica, now_s: float, kind: str, work_s: float
    ) -> bool:
        if replica.running < SLOTS:
            self._start(replica, now_s, now_s, kind, work_s)
            return True
        if len(replica.waiting) >= QUEUE:
            return False
        replica.waiting.append((now_s, kind, work_s))
        return True

    def _start(
        self,
        replica: SimulatedReplica,
        now_s: float,
        arrived_s: float,
        kind: str,
        work_s: float,
    ) -> None:
        replica.running += 1
        end_s = now_s + work_s * replica.slowdown_factor
        self._at(end_s, lambda at_s: self._end(replica, at_s, arrived_s, kind))

    def _end(
        self, replica: SimulatedReplica, now_s: float, arrived_s: float, kind: str
    ) -> None:
        replica.running -= 1
        if kind == "call":
            if replica.slowdown_factor == 1:
                self.result.caller_latencies_s.append(now_s - arrived_s)
        else:
            replica.rewards -= 1
            self.limits.record_answer(replica.name, SLOTS)
            self.result.scored += 1
            self.result.last_score_s = now_s - WARM_UP_S
        if replica.waiting:
            waited_s, next_kind, work_s = replica.waiting.pop(0)
            self._start(replica, now_s, waited_s, next_kind, work_s)
        self._place(now_s)


def simulate_rewards(
    replicas: list[SimulatedReplica], items: int, calls_per_s: float
) -> LoadResult:
    """Return what callers and items get when all items finish within 50 ms."""
    return _Simulation(replicas, items, calls_per_s).run()
