"""features.support.budget_run: keepers that spend a bound under faults, in steps."""

import random
from dataclasses import dataclass, field

from greengagetack.limits.budget import BudgetRecord, TeamBudget, period_of
from greengagetack.limits.messages import Slice
from greengagetack.limits.purse import Purse, Reservation

PERIOD_S = 200.0
STEP_S = 0.25
STEPS = 3_200
SKEW_S = 3.0


@dataclass
class RunningRequest:
    """A request in flight at a keeper."""

    reservation: Reservation
    ends_s: float
    tokens: int


@dataclass
class Keeper:
    """A keeper with its purse and requests."""

    name: str
    purse: Purse = field(default_factory=Purse)
    requests: list[RunningRequest] = field(default_factory=list)


class BudgetRun:
    """Steps keepers and the owner through time and counts what is dispatched.

    `spent` counts tokens in the period that the owner is in when they are
    dispatched, `settled` in the one when their request ends. Owners' clocks
    differ, but the period never goes back.
    """

    def __init__(self, bound: int, faults: str, seed: int) -> None:
        self.bound = bound
        self.faults = faults
        self.spent: dict[int, int] = {}
        self.settled: dict[int, int] = {}
        self._chance = random.Random(seed)
        self._now_s = PERIOD_S
        self._skew_s = 0.0
        record = BudgetRecord("t", 1)
        self._budget = TeamBudget(record, self._now_s, self._wall_s())
        self._numbers = 0
        self._keepers = [Keeper(f"k{number}") for number in range(4)]

    def run(self) -> None:
        """Take all steps."""
        for _ in range(STEPS):
            self._now_s += STEP_S
            self._budget.enter_period(self._period(), self._now_s)
            for keeper in self._keepers:
                self._step(keeper)
            self._meet_faults()

    def _wall_s(self) -> float:
        return self._now_s + self._skew_s

    def _period(self) -> int:
        return period_of(self._wall_s(), PERIOD_S)

    def _has(self, fault: str) -> bool:
        return self.faults in (fault, "everything")

    def _meet_faults(self) -> None:
        if self._has("keepers dying") and self._chance.random() < 0.01:
            index = self._chance.randrange(len(self._keepers))
            self._numbers += 1
            self._keepers[index] = Keeper(f"k{self._numbers}")
        if self._has("owners failing over") and self._chance.random() < 0.05:
            data = self._budget.record.to_bytes()
            self._skew_s = self._chance.uniform(-SKEW_S, SKEW_S)
            record = BudgetRecord.from_bytes(data)
            self._budget = TeamBudget(record, self._now_s, self._wall_s())

    def _step(self, keeper: Keeper) -> None:
        for request in list(keeper.requests):
            if request.ends_s <= self._now_s:
                keeper.requests.remove(request)
                keeper.purse.settle(request.reservation, request.tokens)
                period = self._budget.record.period
                settled = self.settled.get(period, 0) + request.tokens
                self.settled[period] = settled
        # Every other period uses its bound up, so that slices of the one before
        # would be spent besides if they were forgotten.
        demand = 0.3 if self._budget.record.period % 2 else 0.7
        if self._chance.random() < demand:
            self._dispatch(keeper)
        keeper.purse.close_slices(self._now_s, 5.0)
        if self._chance.random() < 0.3:
            self._report(keeper)

    def _dispatch(self, keeper: Keeper) -> None:
        tokens = self._chance.randint(1, 40)
        reservation = keeper.purse.reserve(tokens, self._now_s)
        if reservation is None:
            self._ask(keeper, tokens)
            reservation = keeper.purse.reserve(tokens, self._now_s)
        if reservation is None:
            return
        period = self._budget.record.period
        used = self._chance.randint(0, tokens) if self.faults != "no faults" else tokens
        self.spent[period] = self.spent.get(period, 0) + used
        ends_s = self._now_s + self._chance.uniform(0.0, 20.0)
        keeper.requests.append(RunningRequest(reservation, ends_s, used))

    def _ask(self, keeper: Keeper, need: int) -> None:
        self._numbers += 1
        slice_id = f"{keeper.name}/{self._numbers}"
        asked_at_s = self._now_s - self._chance.uniform(0.0, 0.2)
        left_s = PERIOD_S - self._wall_s() % PERIOD_S
        item = self._budget.grant(
            slice_id,
            need,
            max(need, 256),
            self.bound,
            left_s,
            self._now_s,
            self._wall_s(),
        )
        if item is None:
            return
        assert self._budget.committed_tokens <= self.bound
        if self._has("lost answers") and self._chance.random() < 0.2:
            keeper.purse.give_up(slice_id)
            return
        keeper.purse.add(Slice(slice_id, item.tokens, item.life_s), asked_at_s)

    def _report(self, keeper: Keeper) -> None:
        reports = keeper.purse.due_reports()
        for report in reports:
            self._budget.report(report)
        if self._has("lost answers") and self._chance.random() < 0.2:
            return
        keeper.purse.reported(reports)
