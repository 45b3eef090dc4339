"""greengagetack.limits.slice_pool: the slices of one team that a keeper holds."""

from dataclasses import dataclass

from greengagetack.limits.messages import Slice, SliceReport

__all__ = ["Reservation", "SlicePool"]

END_MARGIN_S = 0.5
RATE_SMOOTHING_FACTOR = 0.3


@dataclass(slots=True)
class HeldSlice:
    """A slice that this keeper may spend from."""

    slice_id: str
    tokens: int
    ends_s: float
    reserved_tokens: int = 0
    spent_tokens: int = 0
    reported_tokens: int = 0
    used_at_s: float = 0.0

    @property
    def free_tokens(self) -> int:
        """Tokens that are neither spent nor reserved."""
        return self.tokens - self.reserved_tokens - self.spent_tokens


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens of slices that are reserved for one request."""

    parts: tuple[tuple[str, int], ...]

    @property
    def tokens(self) -> int:
        """Total number of reserved tokens."""
        return sum(tokens for _, tokens in self.parts)


class SlicePool:
    """Reserves tokens from slices, and reports what was spent of each slice.

    A slice accepts no new reservation after its end, which counts from when it
    was requested. Its final report follows once all reservations are settled.
    """

    def __init__(self) -> None:
        self._slices: dict[str, HeldSlice] = {}
        self._final_reports: dict[str, SliceReport] = {}
        self._spent_since_update = 0
        self._rate_updated_s = 0.0
        self.tokens_per_s = 0.0

    def add(self, item: Slice, requested_at_s: float) -> None:
        """Add a slice that was requested at `requested_at_s`."""
        ends_s = requested_at_s + item.life_s - END_MARGIN_S
        self._slices[item.slice_id] = HeldSlice(
            item.slice_id, item.tokens, ends_s, used_at_s=requested_at_s
        )

    def return_lost(self, slice_id: str) -> None:
        """Return a slice whose grant may have been lost, by a final report of 0."""
        if slice_id not in self._slices:
            self._final_reports[slice_id] = SliceReport(slice_id, 0, True)

    def free_tokens(self, now_s: float) -> int:
        """Return the number of tokens that can still be reserved."""
        return sum(
            item.free_tokens for item in self._slices.values() if item.ends_s > now_s
        )

    def reserve(self, tokens: int, now_s: float) -> Reservation | None:
        """Reserve tokens, or return None if there are too few."""
        if self.free_tokens(now_s) < tokens:
            return None
        parts: list[tuple[str, int]] = []
        left = tokens
        for item in self._slices.values():
            if item.ends_s <= now_s or not item.free_tokens:
                continue
            taken = min(left, item.free_tokens)
            item.reserved_tokens += taken
            item.used_at_s = now_s
            parts.append((item.slice_id, taken))
            left -= taken
            if not left:
                break
        return Reservation(tuple(parts))

    def settle(self, reservation: Reservation, spent_tokens: int) -> None:
        """Count the tokens that a request spent and free the rest."""
        left = min(spent_tokens, reservation.tokens)
        for slice_id, tokens in reservation.parts:
            item = self._slices[slice_id]
            item.reserved_tokens -= tokens
            spent = min(left, tokens)
            item.spent_tokens += spent
            left -= spent
        self._spent_since_update += spent_tokens

    def observe_rate(self, now_s: float) -> None:
        """Update the rate of spend; called at intervals."""
        if self._rate_updated_s and now_s > self._rate_updated_s:
            rate = self._spent_since_update / (now_s - self._rate_updated_s)
            self.tokens_per_s += (rate - self.tokens_per_s) * RATE_SMOOTHING_FACTOR
        self._rate_updated_s = now_s
        self._spent_since_update = 0

    def close_slices(self, now_s: float, idle_s: float) -> None:
        """Return unreserved slices that have ended, are spent or are idle."""
        for item in list(self._slices.values()):
            if item.reserved_tokens:
                continue
            is_idle = now_s - item.used_at_s >= idle_s
            if item.free_tokens and item.ends_s > now_s and not is_idle:
                continue
            del self._slices[item.slice_id]
            report = SliceReport(item.slice_id, item.spent_tokens, True)
            self._final_reports[item.slice_id] = report

    def pending_reports(self) -> tuple[SliceReport, ...]:
        """Return the reports that the owner has not confirmed yet."""
        reports = list(self._final_reports.values())
        for item in self._slices.values():
            if item.spent_tokens != item.reported_tokens:
                reports.append(SliceReport(item.slice_id, item.spent_tokens, False))
        return tuple(reports)

    def mark_reported(self, reports: tuple[SliceReport, ...]) -> None:
        """Mark reports as received by the owner."""
        for report in reports:
            if report.final:
                self._final_reports.pop(report.slice_id, None)
                continue
            item = self._slices.get(report.slice_id)
            if item is not None:
                item.reported_tokens = report.spent_tokens
