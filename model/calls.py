"""model.calls: a non-idempotent keyed call to a plain service.

A caller sends the call through two entries, each of which may repeat it. The
key's owner records the intent at its backup before it sends the call to the
service. Owners crash and restart; a new owner takes over with the backup's
records or, if both are lost, in a fresh epoch. `model.pair` shows that at most
one VM acts as owner. A request that a former owner has sent may still arrive.
"""

from collections.abc import Iterator
from typing import NamedTuple

from greengagetack.errors import Outcome
from greengagetack.leases.decisions import (
    CallState,
    KeyedAnswer,
    answer_to_keyed_call,
    may_repeat,
)
from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["CallsSpecification"]

ENTRIES = range(2)

ONCE = "a call that is not idempotent runs at most once"
TRUE_NOT_RUN = "a call answered with not run has not run"
TRUE_DONE = "a call answered with its result has run"
NO_LATE_RUN = "a call answered with not run does not run later by itself"


class State(NamedTuple):
    """The records of owner and backup, the requests in flight and the answers.

    `first` means that no attempt has been sent yet. `sending` is the current
    owner's request in flight, `abandoned` a request in flight whose owner has
    crashed or no longer waits. `reply` is the service's answer to the owner.
    """

    record: str = ""
    backup_record: str = ""
    backup_lost: bool = False
    fresh: bool = False
    first: bool = True
    running: bool = False
    sending: bool = False
    abandoned: bool = False
    reply: str = ""
    runs: int = 0
    requested: tuple[bool, bool] = (False, False)
    answers: tuple[str, str] = ("", "")
    ran_when_refused: bool = False
    refused_with_sending: bool = False


@specification
class CallsSpecification(Specification):
    """Intent recorded before sending, answers replayed, lost outcomes unknown."""

    name = "calls"
    guards = (
        Guard("intent recorded before sending", ONCE),
        Guard("intent recorded at the backup", ONCE),
        Guard("no repeat after unknown", ONCE),
        Guard("fresh epoch answers unknown", ONCE),
        Guard("only the first sending is a first attempt", ONCE),
        Guard("recorded answer is replayed", ONCE),
        Guard("one run at a time", ONCE),
        Guard("a lost answer is unknown, not refused", TRUE_NOT_RUN),
        Guard("not run only after a refusal", NO_LATE_RUN),
    )

    def initial(self) -> State:
        """Return the state in which the key was never used."""
        return State()

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            ONCE: lambda s: s.runs <= 1,
            TRUE_NOT_RUN: lambda s: not s.ran_when_refused,
            NO_LATE_RUN: lambda s: not s.refused_with_sending,
            TRUE_DONE: lambda s: "done" not in s.answers or s.runs >= 1,
        }

    def goal(self, state: State) -> bool:
        """Whether an entry has sent the call and each that did has an answer."""
        answered = all(
            answer or not requested
            for requested, answer in zip(state.requested, state.answers, strict=True)
        )
        return any(state.requested) and answered

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the steps of entries, owner and service, and the failures."""
        for entry in ENTRIES:
            yield from self._entry_steps(state, entry)
        yield from self._owner_steps(state)
        yield from _service_steps(state)
        yield from self._failures(state)

    def _entry_steps(self, state: State, entry: int) -> Iterator[Step]:
        if not state.requested[entry]:
            requested = _set(state.requested, entry, True)
            yield f"entry {entry} sends the call", state._replace(requested=requested)
            return
        answer = state.answers[entry]
        if not answer:
            for label, after in self._owner_answers(state, entry):
                yield label, after._replace(first=False)
            lost = self._answered(state, entry, "unknown")
            yield f"entry {entry} gets no answer", lost._replace(first=False)
            return
        repeats = answer == "not_run" and may_repeat(Outcome.NOT_RUN, False)
        if answer == "unknown":
            repeats = True
        if repeats:
            cleared = state._replace(answers=_set(state.answers, entry, ""))
            yield f"entry {entry} repeats the call with the key", cleared

    def _owner_answers(self, state: State, entry: int) -> Iterator[Step]:
        """Yield the owner's possible reactions to an entry's request."""
        record = CallState(state.record) if state.record else None
        fresh = state.fresh and self.has("fresh epoch answers unknown")
        first = state.first
        if not self.has("only the first sending is a first attempt"):
            first = True
        decision = answer_to_keyed_call(record, state.running, fresh, first)
        lost = record is CallState.UNKNOWN or (
            record is CallState.INTENT and not state.running
        )
        if lost and not self.has("no repeat after unknown"):
            decision = KeyedAnswer.RUN
        if record is CallState.DONE and not self.has("recorded answer is replayed"):
            decision = KeyedAnswer.RUN
        busy = state.running or state.reply
        if busy and not self.has("one run at a time"):
            decision = KeyedAnswer.RUN
        if decision is KeyedAnswer.REPLAY:
            yield "the owner replays the answer", self._answered(state, entry, "done")
            return
        if decision is KeyedAnswer.UNKNOWN:
            yield "the owner answers unknown", self._answered(state, entry, "unknown")
            return
        if decision is KeyedAnswer.IN_PROGRESS:
            return
        yield from self._start(state, entry)

    def _start(self, state: State, entry: int) -> Iterator[Step]:
        if state.backup_lost and self.has("intent recorded at the backup"):
            answered_state = self._answered(state, entry, "not_run")
            yield "the owner refuses without its backup", answered_state
            return
        sends = state._replace(running=True, sending=True, reply="")
        if not self.has("intent recorded before sending"):
            yield "the owner sends, then records", sends
            return
        sends = sends._replace(record=CallState.INTENT.value)
        if self.has("intent recorded at the backup"):
            sends = sends._replace(backup_record=CallState.INTENT.value)
            recorded = sends._replace(running=False, sending=False)
            yield "the owner records the intent and does not send", recorded
        yield "the owner records the intent and sends", sends

    def _owner_steps(self, state: State) -> Iterator[Step]:
        if not state.running:
            return
        if state.reply == "ok":
            done = _recorded(state, CallState.DONE)
            done = done._replace(running=False)
            yield "the owner records the answer", done
            if not state.backup_lost:
                here = done._replace(backup_record=state.backup_record)
                yield "the owner records the answer, its backup not yet", here
        if state.reply == "refused":
            refused = _recorded(state, CallState.NOT_RUN)
            yield "the owner records the refusal", refused._replace(running=False)
        if state.sending or state.reply:
            unknown = _recorded(state, CallState.UNKNOWN)
            if not self.has("a lost answer is unknown, not refused"):
                unknown = _recorded(state, CallState.NOT_RUN)
            abandoned = state.sending or state.abandoned
            gone = unknown._replace(running=False, sending=False, abandoned=abandoned)
            yield "the owner gets no answer from the service", gone
        if state.sending and not self.has("not run only after a refusal"):
            early = _recorded(state, CallState.NOT_RUN)
            gone = early._replace(running=False, sending=False, abandoned=True)
            for entry in ENTRIES:
                if state.requested[entry] and not state.answers[entry]:
                    answered_state = self._answered(gone, entry, "not_run")
                    yield "the owner stops waiting and answers not run", answered_state
        for entry in ENTRIES:
            waits = state.requested[entry] and not state.answers[entry]
            if waits and state.reply == "refused":
                refused = _recorded(state, CallState.NOT_RUN)
                ended = refused._replace(running=False)
                answered_state = self._answered(ended, entry, "not_run")
                yield "the owner forwards the refusal", answered_state

    def _answered(self, state: State, entry: int, answer: str) -> State:
        """Return the state after an entry has received an answer."""
        answered_state = state._replace(answers=_set(state.answers, entry, answer))
        if answer != "not_run":
            return answered_state
        return answered_state._replace(
            ran_when_refused=state.ran_when_refused or state.runs > 0,
            refused_with_sending=state.refused_with_sending
            or state.abandoned
            or (state.sending and not state.running),
        )

    def _failures(self, state: State) -> Iterator[Step]:
        """Yield the crashes of owner and backup; the platform names the next pair."""
        ended = state._replace(
            running=False,
            sending=False,
            abandoned=state.abandoned or state.sending,
            reply="",
        )
        if not state.backup_lost:
            yield (
                "the backup crashes",
                state._replace(backup_record="", backup_lost=True),
            )
            taken_over = ended._replace(record=state.backup_record, backup_record="")
            yield (
                "the owner crashes, its backup takes over",
                taken_over._replace(backup_record=state.backup_record),
            )
        else:
            repaired = state._replace(backup_record=state.record, backup_lost=False)
            yield "a new backup is brought up to date", repaired
        lost = ended._replace(record="", backup_record="", backup_lost=False)
        yield "owner and backup crash", lost._replace(fresh=True)


def _set(values: tuple, index: int, value: object) -> tuple:
    changed = list(values)
    changed[index] = value
    return tuple(changed)


def _recorded(state: State, record: CallState) -> State:
    backup = "" if state.backup_lost else record.value
    return state._replace(record=record.value, backup_record=backup, reply="")


def _service_steps(state: State) -> Iterator[Step]:
    """Yield the service's possible reactions to requests that reach it."""
    if state.sending:
        ran = state._replace(sending=False, reply="ok", runs=min(state.runs + 1, 2))
        yield "the service runs the call", ran
        refused = state._replace(sending=False, reply="refused")
        yield "the service refuses the call", refused
    if state.abandoned:
        runs = min(state.runs + 1, 2)
        yield "the service runs a late call", state._replace(abandoned=False, runs=runs)
        yield "the service refuses a late call", state._replace(abandoned=False)
