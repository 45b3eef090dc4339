"""standins.batching: continuous batching in a limited number of slots."""

import asyncio
import heapq
import itertools
import os
import time

import msgspec

from standins.orders import Weights
from standins.prefixes import PrefixCache
from standins.runs import KvCache, Run, RunRequest, RunState
from standins.tokens import answer_length, count_prompt_tokens

__all__ = ["Batch", "EngineFaults", "EngineOptions"]

CRASH_EXIT_CODE = 17
FINISHED_RETENTION_S = 300.0
EXPIRY_INTERVAL_S = 5.0


class EngineOptions(msgspec.Struct, frozen=True):
    """Sizes and speeds of an engine, before `time_scale` is applied.

    Each sequence of a full batch decodes ``1 + batch_slowdown`` times slower than
    a sequence that runs alone.
    """

    slots: int = 8
    max_waiting: int = 10_000
    prefill_tokens_per_s: float = 4_000.0
    decode_tokens_per_s: float = 50.0
    batch_slowdown: float = 0.5
    cache_blocks: int = 2_000
    cache_event_lag_s: float = 0.5
    cache_event_gap_share: float = 0.1
    load_lag_s: float = 0.5
    tick_s: float = 0.01
    activate_s: float = 0.5
    time_scale: float = 1.0
    seed: int = 0


class EngineFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Injected faults; `fail_activate` and `crash_after_tokens` are counted down."""

    slow_factor: float = 1.0
    fail_activate: int = 0
    refuse: bool = False
    leaving: bool = False
    hang_streams: bool = False
    crash_after_tokens: int | None = None


class Batch:
    """Runs requests in order of priority and keeps finished ones for some time."""

    def __init__(self, options: EngineOptions, weights: Weights) -> None:
        self.options = options
        self.faults = EngineFaults()
        self.weights = weights
        self.cache = PrefixCache(
            options.cache_blocks,
            options.cache_event_lag_s,
            options.cache_event_gap_share,
            options.seed,
        )
        self.runs: dict[str, Run] = {}
        self.expired: list[Run] = []
        self.running: list[Run] = []
        self.tokens_generated = 0
        self.refused = 0
        self.slot_seconds = 0.0
        self._queue: list[tuple[int, int, Run]] = []
        self._arrivals = itertools.count()
        self._has_work = asyncio.Event()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(run.state is RunState.WAITING for _, _, run in self._queue)

    def submit(self, request: RunRequest) -> Run:
        """Return the run of a known request ID, or queue a new run.

        A cancelled request continues after the tokens generated so far.
        """
        run = self.runs.get(request.request_id)
        if run is not None and run.state is not RunState.CANCELLED:
            run.submissions += 1
            return run
        if run is None:
            length = answer_length(request.prompt, request.seed, request.max_tokens)
            run = Run(request, length, time.time())
            self.runs[request.request_id] = run
        run.submissions += 1
        self._enqueue(run)
        return run

    def _enqueue(self, run: Run) -> None:
        run.state = RunState.WAITING
        entry = (-run.request.priority, next(self._arrivals), run)
        heapq.heappush(self._queue, entry)
        self._has_work.set()

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; return whether it was waiting or running."""
        run = self.runs.get(request_id)
        if run is None or run.ended:
            return False
        run.set_state(RunState.CANCELLED, time.time())
        self._queue = [entry for entry in self._queue if entry[2] is not run]
        heapq.heapify(self._queue)
        if run in self.running:
            self.running.remove(run)
        self._has_work.set()
        return True

    def import_kv(self, kv: KvCache) -> None:
        """Add a request that was cancelled at another engine, with its tokens."""
        run = Run(kv.request, kv.length, time.time())
        run.pieces = list(kv.pieces)
        run.state = RunState.CANCELLED
        self.runs[kv.request.request_id] = run

    async def run_forever(self) -> None:
        """Generate tokens once per `tick_s` while requests are running."""
        last_s = time.monotonic()
        expire_at_s = last_s + EXPIRY_INTERVAL_S
        while True:
            self._admit()
            if not self.running:
                self._has_work.clear()
                await self._has_work.wait()
                self._admit()
                last_s = time.monotonic()
            await asyncio.sleep(self.options.tick_s)
            now_s = time.monotonic()
            self._advance(now_s - last_s)
            last_s = now_s
            if now_s >= expire_at_s:
                self._expire_finished()
                expire_at_s = now_s + EXPIRY_INTERVAL_S

    def _admit(self) -> None:
        while self._queue and len(self.running) < self.options.slots:
            _, _, run = heapq.heappop(self._queue)
            if run.state is not RunState.WAITING:
                continue
            run.cached_tokens = self.cache.store_prompt(run.request.prompt)
            tokens = count_prompt_tokens(run.request.prompt) + run.generated
            uncached = max(0, tokens - run.cached_tokens)
            run.prefill_left_s = uncached / self.options.prefill_tokens_per_s
            run.token_credit = 0.0
            run.set_state(RunState.RUNNING, time.time())
            self.running.append(run)

    def _advance(self, elapsed_s: float) -> None:
        if self.weights.activating:
            return
        options = self.options
        speed = options.time_scale / self.faults.slow_factor
        occupancy = (len(self.running) - 1) / max(1, options.slots - 1)
        rate = options.decode_tokens_per_s / (1.0 + options.batch_slowdown * occupancy)
        self.slot_seconds += elapsed_s * len(self.running)
        for run in list(self.running):
            left_s = elapsed_s * speed - run.prefill_left_s
            run.prefill_left_s = max(0.0, -left_s)
            if left_s <= 0:
                continue
            run.token_credit += left_s * rate
            self._generate(run)

    def _generate(self, run: Run) -> None:
        count = int(run.token_credit)
        run.token_credit -= count
        version = self.weights.active_version(run.request.model)
        added = run.add_tokens(count, version)
        self.tokens_generated += added
        self._count_down_to_crash(added)
        if run.generated >= run.length:
            run.set_state(RunState.FINISHED, time.time())
            self.running.remove(run)
            self._admit()

    def _count_down_to_crash(self, added: int) -> None:
        left = self.faults.crash_after_tokens
        if left is None:
            return
        if left <= added:
            os._exit(CRASH_EXIT_CODE)
        self.faults = msgspec.structs.replace(
            self.faults, crash_after_tokens=left - added
        )

    def _expire_finished(self) -> None:
        oldest_s = time.time() - FINISHED_RETENTION_S
        for request_id, run in list(self.runs.items()):
            if not run.ended or run.ended_at_s > oldest_s:
                continue
            self.expired.append(self.runs.pop(request_id))
