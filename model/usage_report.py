"""model.usage_report: the report of one window by two daemons.

Both daemons may believe at the same time that they hold the duty, so agreement does not
rest on the lease. Each has its own totals, which may change late. Writes may be applied
late, answers may be lost, and processes may restart. A daemon that takes no step while
the other does represents a frozen one.
"""

from collections.abc import Iterator
from typing import NamedTuple

from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["UsageReportSpecification"]

NOTHING = 0
# Different totals of the window.
FIRST_TOTALS = 1
LATE_TOTALS = 2
UNKNOWN = -1

SAME = "all reports of a window have the same counts"
STORED = "what is reported is stored"


class Daemon(NamedTuple):
    """A daemon.

    `known` is the window in the store as the daemon knows it, `is_current` whether the
    store has not changed since. `write` holds the counts of a pending write, `report`
    those of a call under way.
    """

    totals: int
    known: int = UNKNOWN
    is_current: bool = False
    write: int = NOTHING
    is_write_current: bool = False
    is_applied: bool = False
    report: int = NOTHING


class State(NamedTuple):
    """The stored window, the counts that the platform has, and both daemons.

    `late_write` holds the counts of a write whose sender no longer waits for it, and
    `is_late_current` whether its condition would still hold.
    """

    stored: int
    reported: int
    is_different: bool
    late_write: int
    is_late_current: bool
    daemons: tuple[Daemon, Daemon]


@specification
class UsageReportSpecification(Specification):
    """A window is stored with a conditional write and only then reported."""

    name = "usage-report"
    guards = (
        Guard("conditional write", SAME),
        Guard("store before the report", SAME),
        Guard("report what is stored", SAME),
        Guard("read after an unknown write", SAME),
        Guard("never store a window again", SAME),
        Guard("read after a restart", SAME),
    )

    def initial(self) -> State:
        """Return two daemons with different totals and an empty store."""
        daemons = (Daemon(FIRST_TOTALS), Daemon(LATE_TOTALS))
        return State(NOTHING, NOTHING, False, NOTHING, False, daemons)

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            SAME: lambda s: not s.is_different,
            STORED: lambda s: s.reported in (NOTHING, s.stored),
        }

    def goal(self, state: State) -> bool:
        """Whether the window is reported."""
        return state.reported != NOTHING

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the steps of the store and of both daemons."""
        if state.late_write:
            settled = state._replace(late_write=NOTHING, is_late_current=False)
            if state.is_late_current or not self.has("conditional write"):
                yield "a late write is applied", _applied(settled, state.late_write)
            yield "a late write is refused", settled
        for index, daemon in enumerate(state.daemons):
            name = f"daemon{index}"
            if daemon.totals == FIRST_TOTALS:
                late = daemon._replace(totals=LATE_TOTALS)
                yield f"{name} receives late totals", _replaced(state, index, late)
            yield f"{name} restarts", self._restarted(state, index)
            if daemon.write:
                yield from self._write_steps(state, index, name)
            else:
                yield from self._duty_steps(state, index, name)
            if daemon.report:
                yield f"{name}'s report arrives", _reported(state, index)

    def _restarted(self, state: State, index: int) -> State:
        daemon = state.daemons[index]
        # The mutant takes it that its former process has stored its totals.
        known = UNKNOWN if self.has("read after a restart") else daemon.totals
        # A call under way may still arrive.
        restarted = Daemon(FIRST_TOTALS, known=known, report=daemon.report)
        changed = _replaced(state, index, restarted)
        if daemon.write and not daemon.is_applied:
            return changed._replace(
                late_write=daemon.write, is_late_current=daemon.is_write_current
            )
        return changed

    def _duty_steps(self, state: State, index: int, name: str) -> Iterator[Step]:
        daemon = state.daemons[index]
        if daemon.known == UNKNOWN or not daemon.is_current:
            read = daemon._replace(known=state.stored, is_current=True)
            yield f"{name} reads the store", _replaced(state, index, read)
        may_store = daemon.known == NOTHING or (
            daemon.known != UNKNOWN and not self.has("never store a window again")
        )
        if may_store:
            writing = daemon._replace(
                write=daemon.totals, is_write_current=daemon.is_current
            )
            yield f"{name} writes the window", _replaced(state, index, writing)
        if daemon.report:
            return
        counts = daemon.known if daemon.known != UNKNOWN else NOTHING
        if counts and not self.has("report what is stored"):
            counts = daemon.totals
        if not counts and not self.has("store before the report"):
            counts = daemon.totals
        if counts:
            sent = daemon._replace(report=counts)
            yield f"{name} reports the window", _replaced(state, index, sent)

    def _write_steps(self, state: State, index: int, name: str) -> Iterator[Step]:
        daemon = state.daemons[index]
        if daemon.is_applied:
            done = _without_write(daemon)._replace(
                known=daemon.write, is_current=daemon.is_write_current
            )
            yield f"{name} receives a success", _replaced(state, index, done)
        elif daemon.is_write_current or not self.has("conditional write"):
            yield f"{name}'s write is applied", _applied_by(state, index)
        else:
            refused = _without_write(daemon)._replace(known=UNKNOWN, is_current=False)
            yield f"{name} receives a conflict", _replaced(state, index, refused)
        lost = _without_write(daemon)._replace(known=UNKNOWN, is_current=False)
        if not self.has("read after an unknown write"):
            lost = lost._replace(known=daemon.write)
        unanswered = _replaced(state, index, lost)
        if not daemon.is_applied:
            unanswered = unanswered._replace(
                late_write=daemon.write, is_late_current=daemon.is_write_current
            )
        yield f"{name} gets no answer", unanswered


def _without_write(daemon: Daemon) -> Daemon:
    return daemon._replace(write=NOTHING, is_write_current=False, is_applied=False)


def _replaced(state: State, index: int, daemon: Daemon) -> State:
    daemons = list(state.daemons)
    daemons[index] = daemon
    return state._replace(daemons=(daemons[0], daemons[1]))


def _applied(state: State, counts: int) -> State:
    """Return the state after a write, which makes all earlier reads out of date."""
    outdated = [
        daemon._replace(is_current=False, is_write_current=False)
        for daemon in state.daemons
    ]
    return state._replace(
        stored=counts, is_late_current=False, daemons=(outdated[0], outdated[1])
    )


def _applied_by(state: State, index: int) -> State:
    counts = state.daemons[index].write
    changed = _applied(state, counts)
    writer = changed.daemons[index]._replace(is_applied=True, is_write_current=True)
    return _replaced(changed, index, writer)


def _reported(state: State, index: int) -> State:
    counts = state.daemons[index].report
    # The answer may be lost, so a daemon may always report again.
    answered = _replaced(state, index, state.daemons[index]._replace(report=NOTHING))
    differs = state.reported not in (NOTHING, counts)
    return answered._replace(
        reported=state.reported or counts, is_different=state.is_different or differs
    )
