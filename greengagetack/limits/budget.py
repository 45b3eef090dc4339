"""greengagetack.limits.budget: the token budget of one team in a period."""

from dataclasses import dataclass, replace

import msgpack
import msgspec

from greengagetack.limits.messages import SliceReport

__all__ = ["BudgetRecord", "OpenSlice", "TeamBudget", "period_number"]

MAX_SLICE_LIFE_S = 60.0
END_MARGIN_S = 1.0
CLOCK_SKEW_MARGIN_S = 10.0
# A slice gets at most 1/8 of the remaining tokens, unless a request needs more.
REST_DIVISOR = 8


@dataclass(frozen=True, slots=True)
class OpenSlice:
    """A granted slice without a final report.

    `spent_tokens` is the value of the last report; until the final report, all
    tokens of the slice count as spent. `earlier_tokens` were reported as spent
    in earlier periods. `granted_wall_s` is the owner's wall clock at the grant.
    """

    slice_id: str
    tokens: int
    life_s: float
    granted_wall_s: float
    spent_tokens: int = 0
    earlier_tokens: int = 0


@dataclass(frozen=True, slots=True)
class BudgetRecord:
    """A team's budget as stored by the owner and its backup.

    `settled_tokens` were reported as spent in `period`. `ceiling_tokens` is
    the upper limit of the grants in this period that the platform stores.
    """

    team: str
    period: int
    settled_tokens: int = 0
    ceiling_tokens: int = 0
    slices: tuple[OpenSlice, ...] = ()

    def to_bytes(self) -> bytes:
        """Return the record encoded as msgpack."""
        data: bytes = msgpack.packb(msgspec.to_builtins(self))
        return data

    @staticmethod
    def from_bytes(data: bytes) -> "BudgetRecord":
        """Return the record that `data` encodes as msgpack."""
        return msgspec.convert(msgpack.unpackb(data), BudgetRecord)


def period_number(wall_s: float, period_s: float) -> int:
    """Return the number of the budget period at a wall clock time."""
    return int(wall_s // period_s)


class TeamBudget:
    """Grants slices whose sum never exceeds the bound.

    A slice counts in full until its final report. If the report never arrives,
    as from a lost keeper, the slice counts in full to the end of the period.

    Parameters
    ----------
    record : BudgetRecord
        The budget so far.
    now_s, wall_s : float
        Monotonic time and wall clock time. The remaining life of slices that a
        former owner granted is computed from the wall clock, with a margin for
        clock skew.
    """

    def __init__(self, record: BudgetRecord, now_s: float, wall_s: float) -> None:
        self.record = record
        self._ends_s: dict[str, float] = {}
        for item in record.slices:
            age_s = wall_s - item.granted_wall_s - CLOCK_SKEW_MARGIN_S
            left_s = item.life_s - min(item.life_s, max(0.0, age_s))
            self._ends_s[item.slice_id] = now_s + left_s + END_MARGIN_S

    @property
    def open_tokens(self) -> int:
        """Tokens of all open slices that can be spent in this period."""
        return sum(item.tokens - item.earlier_tokens for item in self.record.slices)

    @property
    def committed_tokens(self) -> int:
        """Tokens that are spent or can still be spent from open slices."""
        return self.record.settled_tokens + self.open_tokens

    @property
    def spent_tokens(self) -> int:
        """Tokens that were reported as spent."""
        reported = sum(
            item.spent_tokens - item.earlier_tokens for item in self.record.slices
        )
        return self.record.settled_tokens + reported

    def enter_period(self, period: int, now_s: float) -> None:
        """Start period `period` if it is later than the current one; never go back.

        Slices that may not have ended are carried over: tokens spent from them
        from now on count in the new period.
        """
        if period <= self.record.period:
            return
        carried = tuple(
            replace(item, earlier_tokens=item.spent_tokens)
            for item in self.record.slices
            if now_s < self._ends_s.get(item.slice_id, 0.0)
        )
        self.record = BudgetRecord(self.record.team, period, slices=carried)

    def find_slice(self, slice_id: str) -> OpenSlice | None:
        """Return an open slice, None if there is no such slice."""
        for item in self.record.slices:
            if item.slice_id == slice_id:
                return item
        return None

    def remaining_life_s(self, item: OpenSlice, now_s: float) -> float:
        """Return for how long the holder may still spend from a slice."""
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
        """Grant a slice, or return None if the bound leaves too few tokens.

        Slices get smaller towards the bound, so that few tokens are held
        without being spent.
        """
        rest = bound_tokens - self.committed_tokens
        if rest < need_tokens:
            return None
        tokens = max(need_tokens, min(want_tokens, rest // REST_DIVISOR))
        life_s = max(0.0, min(MAX_SLICE_LIFE_S, period_left_s))
        item = OpenSlice(slice_id, tokens, life_s, wall_s)
        self._ends_s[slice_id] = now_s + life_s + END_MARGIN_S
        self.record = replace(self.record, slices=(*self.record.slices, item))
        return item

    def withdraw_slice(self, slice_id: str) -> None:
        """Remove a slice whose grant could not be recorded."""
        kept = tuple(item for item in self.record.slices if item.slice_id != slice_id)
        self.record = replace(self.record, slices=kept)

    def set_ceiling(self, period: int, tokens: int) -> None:
        """Set the ceiling that the platform stores for a period."""
        if period == self.record.period:
            self.record = replace(self.record, ceiling_tokens=tokens)

    def apply_report(self, report: SliceReport) -> bool:
        """Apply a slice report and return whether it changed the budget."""
        item = self.find_slice(report.slice_id)
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
