"""features.support.placement_load: items on engines of different speeds, simulated."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from greengagetack.batches.pace import (
    Paces,
    PaceTracker,
    RunningItem,
    choose_moves,
    is_worth_moving,
    usual_pace_s,
)
from greengagetack.batches.placement import Candidate, ItemWork, choose_candidate

EVENT_S = 0.05
TOKENS_PER_EVENT = 50
PROMPT_TOKENS = 1_000
PROMPT_TOKENS_PER_S = 400_000
SLOTS = 8
MEMORY_TOKENS = 60_000
STEP_S = 0.01
CHECK_STEPS = 5
HORIZON_EVENTS = 20
GROUP_SIZE = 4
SLOW_FACTOR = 3.0
# What the earlier choice used.
PROMPT_AFFINITY = 0.3
SLOW_RATIO = 1.8
MIN_GAIN_S = 0.4

Choose = Callable[[list[Candidate], ItemWork], Candidate | None]
Move = Callable[[list[RunningItem], dict[str, float], dict[str, int]], list[str]]


def choose_by_load(candidates: list[Candidate], work: ItemWork) -> Candidate | None:
    """Return the least loaded replica: the choice before the expected end was used."""
    free = [
        c
        for c in candidates
        if c.in_flight < c.slots
        and (c.free_tokens >= work.soon_tokens or not c.in_flight)
    ]
    usual_s = usual_pace_s(c.pace_s for c in free)

    def cost(c: Candidate) -> float:
        slow = c.pace_s / usual_s if c.pace_s > SLOW_RATIO * usual_s else 0.0
        return c.load - PROMPT_AFFINITY * c.has_prompt + slow

    return min(free, key=cost, default=None)


def moves_by_gain(
    running: list[RunningItem], paces_s: dict[str, float], free_slots: dict[str, int]
) -> list[str]:
    """Return the moves as before: off replicas slower than usual, by gain."""
    usual_s = usual_pace_s(paces_s.values())
    targets = {name for name, pace in paces_s.items() if pace <= SLOW_RATIO * usual_s}
    gains = [
        (run.events_left * (paces_s[run.replica_id] - usual_s), run.item_id)
        for run in running
        if run.replica_id not in targets
    ]
    ranked = sorted((gain for gain in gains if gain[0] > MIN_GAIN_S), reverse=True)
    return [name for _, name in ranked[: sum(free_slots[name] for name in targets)]]


@dataclass(eq=False)
class SimulatedItem:
    """An item; `hint` is the number of events that the dispatcher expects."""

    name: str
    group: str
    events: int
    hint: int
    made: float = 0.0
    started_s: float = 0.0
    last_event_s: float = 0.0
    stalled_s: float = 0.0
    replica: str = ""
    avoided: tuple[str, float] = ("", 0.0)
    end_s: float = 0.0

    @property
    def left(self) -> int:
        """The expected number of remaining events."""
        return max(1, self.hint - int(self.made), int(self.made) // 2)

    def tokens(self, more_events: int = 0) -> int:
        """Return the memory that its run takes after some more events."""
        return PROMPT_TOKENS + (int(self.made) + more_events) * TOKENS_PER_EVENT


@dataclass(eq=False)
class SimulatedEngine:
    """An engine, slow by ``SLOW_FACTOR`` within the period `slow_s`."""

    name: str
    speed: float
    slow_s: tuple[float, float] = (0.0, 0.0)
    runs: list[SimulatedItem] = field(default_factory=list)
    prompts: set[str] = field(default_factory=set)

    def event_s(self, now_s: float, load_slowdown: float) -> float:
        """Return the time per event of its runs."""
        factor = SLOW_FACTOR if self.slow_s[0] <= now_s < self.slow_s[1] else 1.0
        return (
            EVENT_S / self.speed * factor * (1 + load_slowdown * len(self.runs) / SLOTS)
        )


def make_items(count: int, kind: str, seed: int) -> list[SimulatedItem]:
    """Return items in groups; `kind` is short, long or mixed (one of five is long)."""
    rng = random.Random(seed)
    items = []
    for number in range(count):
        is_long = kind == "long" or (kind == "mixed" and rng.random() < 0.2)
        events = int(rng.uniform(80, 160) if is_long else rng.uniform(8, 30))
        hint = max(1, int(events * rng.lognormvariate(0.0, 0.3)))
        group = f"g{number // GROUP_SIZE}"
        items.append(SimulatedItem(f"i{number}", group, events, hint))
    return items


class PlacementLoad:
    """Runs items to their ends under one choice of replicas and moves."""

    def __init__(
        self,
        engines: list[SimulatedEngine],
        items: Iterable[SimulatedItem],
        choose: Choose,
        move: Move,
        load_slowdown: float,
    ) -> None:
        self.now_s = 0.0
        self._engines = {engine.name: engine for engine in engines}
        self._items = list(items)
        self._waiting = list(self._items)
        self._choose = choose
        self._move = move
        self._load_slowdown = load_slowdown
        self._tracker = PaceTracker(lambda: self.now_s)
        self.moved = 0

    def run(self) -> tuple[float, float]:
        """Return the mean and the last end of the items, in seconds."""
        step = 0
        while not all(item.end_s for item in self._items):
            if step % CHECK_STEPS == 0:
                self._place()
                self._move_runs()
            for engine in self._engines.values():
                self._advance(engine)
            step += 1
            self.now_s = step * STEP_S
        ends_s = [item.end_s for item in self._items]
        return sum(ends_s) / len(ends_s), max(ends_s)

    def _candidates(
        self, item: SimulatedItem, paces: Paces, leaving: str = ""
    ) -> list[Candidate]:
        avoided = {leaving}
        if self.now_s < item.avoided[1]:
            avoided.add(item.avoided[0])
        return [
            Candidate(
                engine.name,
                len(engine.runs),
                SLOTS,
                paces.pace_of(engine.name),
                MEMORY_TOKENS - sum(run.tokens(HORIZON_EVENTS) for run in engine.runs),
                sum(run.tokens(run.left) for run in engine.runs) / MEMORY_TOKENS,
                item.group in engine.prompts,
            )
            for engine in self._engines.values()
            if engine.name not in avoided
        ]

    def _choose_for(
        self, item: SimulatedItem, paces: Paces, leaving: str = ""
    ) -> Candidate | None:
        soon = item.tokens(min(item.left, HORIZON_EVENTS))
        work = ItemWork(item.left, soon, PROMPT_TOKENS)
        return self._choose(self._candidates(item, paces, leaving), work)

    def _place(self) -> None:
        paces = self._tracker.current()
        for item in sorted(self._waiting, key=lambda item: -item.left):
            chosen = self._choose_for(item, paces)
            if chosen is None:
                continue
            self._waiting.remove(item)
            engine = self._engines[chosen.replica_id]
            read = 0 if item.group in engine.prompts else PROMPT_TOKENS
            read += int(item.made) * TOKENS_PER_EVENT
            engine.prompts.add(item.group)
            engine.runs.append(item)
            for run in engine.runs:
                run.stalled_s += read / PROMPT_TOKENS_PER_S
            item.replica = engine.name
            item.started_s = item.last_event_s = self.now_s

    def _move_runs(self) -> None:
        paces = self._tracker.current()
        paces_s = {name: paces.pace_of(name) for name in self._engines}
        free = {name: SLOTS - len(e.runs) for name, e in self._engines.items()}
        running = {
            item.name: item
            for engine in self._engines.values()
            for item in engine.runs
            if self.now_s - item.started_s > 0.3
        }
        runs = [
            RunningItem(item.name, item.replica, item.left) for item in running.values()
        ]
        for name in self._move(runs, paces_s, free):
            item = running[name]
            target = self._choose_for(item, paces, item.replica)
            if target is None or not is_worth_moving(
                item.left, paces_s[item.replica], paces_s[target.replica_id]
            ):
                continue
            self._engines[item.replica].runs.remove(item)
            item.avoided = (item.replica, self.now_s + 1.0)
            item.made = float(int(item.made))
            self._waiting.append(item)
            self.moved += 1

    def _advance(self, engine: SimulatedEngine) -> None:
        used = 0
        event_s = engine.event_s(self.now_s, self._load_slowdown)
        for item in list(engine.runs):
            used += item.tokens()
            # The newest runs wait while the memory is full.
            if used > MEMORY_TOKENS:
                continue
            worked_s = STEP_S - min(STEP_S, item.stalled_s)
            item.stalled_s = max(0.0, item.stalled_s - STEP_S)
            before = int(item.made)
            item.made += worked_s / event_s
            if int(item.made) == before:
                continue
            self._tracker.record(engine.name, self.now_s - item.last_event_s)
            item.last_event_s = self.now_s
            if item.made >= item.events:
                item.end_s = self.now_s
                engine.runs.remove(item)


def compare(
    speeds: list[float], count: int, kind: str, seed: int, load_slowdown: float
) -> dict[str, tuple[float, float]]:
    """Return mean and last end by the earlier choice and by expected end."""
    ends = {}
    for name, choose, move in (
        ("load", choose_by_load, moves_by_gain),
        ("end", choose_candidate, choose_moves),
    ):
        engines = [
            # One fast engine turns slow while the items run.
            SimulatedEngine(f"e{n}", speed, (2.0, 6.0) if n == 1 else (0.0, 0.0))
            for n, speed in enumerate(speeds)
        ]
        items = make_items(count, kind, seed)
        ends[name] = PlacementLoad(engines, items, choose, move, load_slowdown).run()
    return ends
