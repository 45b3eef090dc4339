"""greengagetack.limits.budget: the account of one team's tokens in a period."""

from dataclasses import dataclass, replace

import msgpack
import msgspec

from greengagetack.limits.messages import SliceReport

__all__ = ["BudgetRecord", "OpenSlice", "TeamBudget", "period_of"]

SLICE_LIFE_S = 60.0
END_MARGIN_S = 1.0
CLOCK_MARGIN_S = 10.0
SHARE_OF_REST = 8


@dataclass(frozen=True, slots=True)
class OpenSlice:
    """A slice that was handed out and not reported as done.

    `spent_tokens` is the last report; until the final one, all its tokens
    count as spent. `earlier_tokens` were reported as spent in earlier periods.
    `granted_wall_s` is the owner's time of day at the grant.
    """

    slice_id: str
    tokens: int
    life_s: float
    granted_wall_s: float
    spent_tokens: int = 0
    earlier_tokens: int = 0


@dataclass(frozen=True, slots=True)
class BudgetRecord:
    """A team's account, as kept by the owner and its backup.

    `settled_tokens` were reported as spent in `period`; `ceiling_tokens` is
    what the platform knows as the most that may have been granted in it.
    """

    team: str
    period: int
    settled_tokens: int = 0
    ceiling_tokens: int = 0
    slices: tuple[OpenSlice, ...] = ()

    def to_bytes(self) -> bytes:
        """Return the msgpack of the record."""
        data: bytes = msgpack.packb(msgspec.to_builtins(self))
        return data

    @staticmethod
    def from_bytes(data: bytes) -> "BudgetRecord":
        """Return the record of its msgpack."""
        return msgspec.convert(msgpack.unpackb(data), BudgetRecord)


def period_of(wall_s: float, period_s: float) -> int:
    """Return the number of the budget period at a time of day."""
    return int(wall_s // period_s)


class TeamBudget:
    """Hands slices out so that their sum never exceeds the bound.

    A slice counts in full until its final report; one that never comes, from a
    lost keeper, leaves it counted to the end of the period.

    Parameters
    ----------
    record : BudgetRecord
        The account so far.
    now_s, wall_s : float
        Monotonic time and time of day. What is left of the life of slices that
        a former owner handed out is judged by the time of day, with a margin
        for the difference of clocks.
    """

    def __init__(self, record: BudgetRecord, now_s: float, wall_s: float) -> None:
        self.record = record
        self._ends_s: dict[str, float] = {}
        for item in record.slices:
            age_s = wall_s - item.granted_wall_s - CLOCK_MARGIN_S
            left_s = item.life_s - min(item.life_s, max(0.0, age_s))
            self._ends_s[item.slice_id] = now_s + left_s + END_MARGIN_S

    @property
    def open_tokens(self) -> int:
        """Tokens of all open slices that may be spent in this period."""
        return sum(item.tokens - item.earlier_tokens for item in self.record.slices)

    @property
    def committed_tokens(self) -> int:
        """Tokens that are spent or may be spent."""
        return self.record.settled_tokens + self.open_tokens

    @property
    def spent_tokens(self) -> int:
        """Tokens that were reported as spent."""
        reported = sum(
            item.spent_tokens - item.earlier_tokens for item in self.record.slices
        )
        return self.record.settled_tokens + reported

    def enter_period(self, period: int, now_s: float) -> None:
        """Start a new period if the time for it has come; never go back.

        Slices that have not surely ended are carried over: what they spend from
        now on counts in the new period.
        """
        if period <= self.record.period:
            return
        carried = tuple(
            replace(item, earlier_tokens=item.spent_tokens)
            for item in self.record.slices
            if now_s < self._ends_s.get(item.slice_id, 0.0)
        )
        self.record = BudgetRecord(self.record.team, period, slices=carried)

    def find(self, slice_id: str) -> OpenSlice | None:
        """Return an open slice."""
        for item in self.record.slices:
            if item.slice_id == slice_id:
                return item
        return None

    def remaining_life_s(self, item: OpenSlice, now_s: float) -> float:
        """Return how long the holder of a slice may still spend it."""
        return self._ends_s.get(item.slice_id, 0.0) - END_MARGIN_S - now_s

    def grant(
        self,
        slice_id: str,
        need_tokens: int,
        want_tokens: int,
        bound_tokens: int,
        period_left_s: float,
        now_s: float,
        wall_s: float,
    ) -> OpenSlice | None:
        """Hand out a slice, None if the bound leaves too few tokens.

        Slices get smaller towards the bound, so that little is held unspent.
        """
        rest = bound_tokens - self.committed_tokens
        if rest < need_tokens:
            return None
        tokens = max(need_tokens, min(want_tokens, rest // SHARE_OF_REST))
        life_s = max(0.0, min(SLICE_LIFE_S, period_left_s))
        item = OpenSlice(slice_id, tokens, life_s, wall_s)
        self._ends_s[slice_id] = now_s + life_s + END_MARGIN_S
        self.record = replace(self.record, slices=(*self.record.slices, item))
        return item

    def withdraw(self, slice_id: str) -> None:
        """Take back a slice whose grant could not be recorded or told."""
        kept = tuple(item for item in self.record.slices if item.slice_id != slice_id)
        self.record = replace(self.record, slices=kept)

    def ceiling_raised(self, period: int, tokens: int) -> None:
        """Note the ceiling that the platform has for a period."""
        if period == self.record.period:
            self.record = replace(self.record, ceiling_tokens=tokens)

    def report(self, report: SliceReport) -> bool:
        """Take a report and return whether it changed the account."""
        item = self.find(report.slice_id)
        if item is None:
            return False
        spent = min(item.tokens, max(item.spent_tokens, report.spent_tokens))
        others = tuple(
            other for other in self.record.slices if other.slice_id != report.slice_id
        )
        if not report.final:
            if spent == item.spent_tokens:
                return False
            changed = replace(item, spent_tokens=spent)
            self.record = replace(self.record, slices=(*others, changed))
            return True
        settled = self.record.settled_tokens + spent - item.earlier_tokens
        self.record = replace(self.record, slices=others, settled_tokens=settled)
        return True
