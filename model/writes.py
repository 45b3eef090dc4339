"""model.writes: conditional writes whose answers get lost.

Two writers each bring one change into the same object. A change is a step that
must not be made twice, such as adding an entry to what was read. The object
keeps the change identifier of its last write.
"""

from collections.abc import Iterator
from typing import NamedTuple

from greengagetack.leases.decisions import WriteResult, resolve_lost_write
from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["WritesSpecification"]

ONCE = "a change takes effect at most once"
TRUE_SUCCESS = "a change reported as written took effect"
NOT_LOST = "no accepted change is overwritten unseen"
TRUE_CONFLICT = "a change reported as lost to another never takes effect"
MOST_COPIES = 2


class Writer(NamedTuple):
    """A writer: what it read, its write in flight and what it reported."""

    read: int = -1
    expected: int = -1
    copies: int = 0
    answer: str = ""
    phase: str = "idle"
    result: str = ""


class State(NamedTuple):
    """The object's version, the change in it, and how often each took effect."""

    version: int
    change: int
    up: bool
    overwritten: bool
    effects: tuple[int, int]
    writers: tuple[Writer, Writer]


@specification
class WritesSpecification(Specification):
    """Change identifiers and read-back."""

    name = "writes"
    guards = (
        Guard("read-back after a lost answer", ONCE),
        Guard("change identifier compared", TRUE_SUCCESS),
        Guard("conditional update", NOT_LOST),
        Guard("refusal judged by its change identifier", TRUE_CONFLICT),
        Guard("hidden traces stay undecided", TRUE_CONFLICT),
    )

    def initial(self) -> State:
        """Return an object of version 1 that neither writer has read."""
        return State(1, -1, True, False, (0, 0), (Writer(), Writer()))

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            NOT_LOST: lambda s: not s.overwritten,
            ONCE: lambda s: max(s.effects) <= 1,
            TRUE_SUCCESS: lambda s: all(
                s.effects[i] >= 1
                for i, w in enumerate(s.writers)
                if w.result == "applied"
            ),
            TRUE_CONFLICT: lambda s: all(
                s.effects[i] == 0
                for i, w in enumerate(s.writers)
                if w.result == "conflict"
            ),
        }

    def goal(self, state: State) -> bool:
        """Whether both writers know, as far as it can be known, what happened."""
        return all(writer.result for writer in state.writers)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the steps of the platform and of both writers."""
        yield "the platform changes", state._replace(up=not state.up)
        for i, writer in enumerate(state.writers):
            if state.up and writer.copies:
                yield self._taken(state, i)
            if writer.copies:
                dropped = writer._replace(copies=writer.copies - 1)
                yield f"a copy of w{i} is lost", _replace(state, i, dropped)
            if writer.result:
                continue
            yield from self._writer_steps(state, i)

    def _writer_steps(self, state: State, i: int) -> Iterator[Step]:
        writer = state.writers[i]
        if writer.phase == "idle":
            if state.up:
                read = writer._replace(read=state.version)
                yield f"w{i} reads", _replace(state, i, read)
            if writer.read >= 0 and writer.copies < MOST_COPIES:
                yield f"w{i} sends its change", _replace(state, i, _send(writer))
            return
        if writer.phase == "waiting":
            lost = writer._replace(phase="lost", answer="")
            yield f"w{i} gets no answer", _replace(state, i, lost)
            if writer.answer:
                yield f"w{i} gets its answer", self._answered(state, i)
            return
        yield from self._resolved(state, i)

    def _taken(self, state: State, i: int) -> Step:
        writer = state.writers[i]
        done = writer._replace(copies=writer.copies - 1)
        current = writer.expected == state.version
        if not current and self.has("conditional update"):
            own = state.change == i
            refused = done._replace(answer="own" if own else "refused")
            return f"the platform refuses w{i}", _replace(state, i, refused)
        effects = list(state.effects)
        effects[i] += 1
        taken = _replace(state, i, done._replace(answer="ok"))
        return f"the platform takes w{i}", taken._replace(
            version=state.version + 1,
            change=i,
            overwritten=state.overwritten or not current,
            effects=(effects[0], effects[1]),
        )

    def _answered(self, state: State, i: int) -> State:
        writer = state.writers[i]
        if writer.answer == "ok":
            return _finish(state, i, "applied")
        if not self.has("refusal judged by its change identifier"):
            return _finish(state, i, "conflict")
        return self._judged(state, i)

    def _resolved(self, state: State, i: int) -> Iterator[Step]:
        writer = state.writers[i]
        if not self.has("read-back after a lost answer"):
            fresh = writer._replace(phase="idle", read=-1)
            yield f"w{i} starts over", _replace(state, i, fresh)
            return
        if state.up:
            yield f"w{i} reads back", self._judged(state, i)

    def _judged(self, state: State, i: int) -> State:
        """Return the state after a writer has compared what it found."""
        writer = state.writers[i]
        result = resolve_lost_write(
            state.version, str(state.change), writer.expected, str(i)
        )
        if not self.has("change identifier compared") and state.change >= 0:
            result = WriteResult.APPLIED
        hidden = result is WriteResult.UNDECIDED
        if hidden and not self.has("hidden traces stay undecided"):
            result = WriteResult.CONFLICT
        if result is not WriteResult.NOT_APPLIED:
            return _finish(state, i, result.value)
        return _replace(state, i, _send(writer._replace(read=writer.expected)))


def _send(writer: Writer) -> Writer:
    return writer._replace(
        expected=writer.read,
        copies=min(writer.copies + 1, MOST_COPIES),
        phase="waiting",
        answer="",
    )


def _finish(state: State, i: int, result: str) -> State:
    writer = state.writers[i]
    return _replace(state, i, writer._replace(phase="idle", result=result))


def _replace(state: State, i: int, writer: Writer) -> State:
    first, second = state.writers
    writers = (writer, second) if i == 0 else (first, writer)
    return state._replace(writers=writers)
