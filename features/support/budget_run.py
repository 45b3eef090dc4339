"""features.support.budget_run: a stepwise simulation of keepers that spend a bound."""

import random
from dataclasses import dataclass, field

from greengagetack.limits.budget import BudgetRecord, TeamBudget, period_number
from greengagetack.limits.messages import Slice
from greengagetack.limits.slice_pool import Reservation, SlicePool

PERIOD_S = 200.0
STEP_S = 0.25
STEP_COUNT = 3_200
MAX_SKEW_S = 3.0


@dataclass
class RunningRequest:
    """A request in flight at a keeper."""

    reservation: Reservation
    ends_s: float
    tokens: int


@dataclass
class Keeper:
    """A keeper with its slices and requests."""

    name: str
    slices: SlicePool = field(default_factory=SlicePool)
    requests: list[RunningRequest] = field(default_factory=list)


class BudgetRun:
    """Simulates keepers and the owner in time steps and counts spent tokens.

    `spent` counts tokens in the owner's period at the time of dispatch,
    `settled` in the owner's period at the end of the request. The clocks of
    owners differ, but the period never goes back.
    """

    def __init__(self, bound: int, faults: str, seed: int) -> None:
        self.bound = bound
        self.faults = faults
        self.spent: dict[int, int] = {}
        self.settled: dict[int, int] = {}
        self._rng = random.Random(seed)
        self._now_s = PERIOD_S
        self._skew_s = 0.0
        record = BudgetRecord("t", 1)
        self._budget = TeamBudget(record, self._now_s, self._wall_s())
        self._last_number = 0
        self._keepers = [Keeper(f"k{number}") for number in range(4)]

    def run(self) -> None:
        """Run all time steps."""
        for _ in range(STEP_COUNT):
            self._now_s += STEP_S
            self._budget.enter_period(self._period(), self._now_s)
            for keeper in self._keepers:
                self._step(keeper)
            self._inject_faults()

    def _wall_s(self) -> float:
        return self._now_s + self._skew_s

    def _period(self) -> int:
        return period_number(self._wall_s(), PERIOD_S)

    def _has_fault(self, fault: str) -> bool:
        return self.faults in (fault, "everything")

    def _inject_faults(self) -> None:
        if self._has_fault("keepers dying") and self._rng.random() < 0.01:
            index = self._rng.randrange(len(self._keepers))
            self._last_number += 1
            self._keepers[index] = Keeper(f"k{self._last_number}")
        if self._has_fault("owners failing over") and self._rng.random() < 0.05:
            data = self._budget.record.to_bytes()
            self._skew_s = self._rng.uniform(-MAX_SKEW_S, MAX_SKEW_S)
            record = BudgetRecord.from_bytes(data)
            self._budget = TeamBudget(record, self._now_s, self._wall_s())

    def _step(self, keeper: Keeper) -> None:
        for request in list(keeper.requests):
            if request.ends_s <= self._now_s:
                keeper.requests.remove(request)
                keeper.slices.settle(request.reservation, request.tokens)
                period = self._budget.record.period
                settled = self.settled.get(period, 0) + request.tokens
                self.settled[period] = settled
        # Every other period has enough demand to spend its whole bound. If the owner
        # forgot the slices of the period before, they would exceed the bound.
        demand = 0.3 if self._budget.record.period % 2 else 0.7
        if self._rng.random() < demand:
            self._dispatch(keeper)
        keeper.slices.close_slices(self._now_s, 5.0)
        if self._rng.random() < 0.3:
            self._report(keeper)

    def _dispatch(self, keeper: Keeper) -> None:
        tokens = self._rng.randint(1, 40)
        reservation = keeper.slices.reserve(tokens, self._now_s)
        if reservation is None:
            self._request_slice(keeper, tokens)
            reservation = keeper.slices.reserve(tokens, self._now_s)
        if reservation is None:
            return
        period = self._budget.record.period
        used = self._rng.randint(0, tokens) if self.faults != "no faults" else tokens
        self.spent[period] = self.spent.get(period, 0) + used
        ends_s = self._now_s + self._rng.uniform(0.0, 20.0)
        keeper.requests.append(RunningRequest(reservation, ends_s, used))

    def _request_slice(self, keeper: Keeper, need_tokens: int) -> None:
        self._last_number += 1
        slice_id = f"{keeper.name}/{self._last_number}"
        requested_at_s = self._now_s - self._rng.uniform(0.0, 0.2)
        left_s = PERIOD_S - self._wall_s() % PERIOD_S
        item = self._budget.grant(
            slice_id,
            need_tokens,
            max(need_tokens, 256),
            self.bound,
            left_s,
            self._now_s,
            self._wall_s(),
        )
        if item is None:
            return
        assert self._budget.committed_tokens <= self.bound
        if self._has_fault("lost answers") and self._rng.random() < 0.2:
            keeper.slices.return_lost(slice_id)
            return
        keeper.slices.add(Slice(slice_id, item.tokens, item.life_s), requested_at_s)

    def _report(self, keeper: Keeper) -> None:
        reports = keeper.slices.pending_reports()
        for report in reports:
            self._budget.apply_report(report)
        if self._has_fault("lost answers") and self._rng.random() < 0.2:
            return
        keeper.slices.mark_reported(reports)
