"""model.writes: conditional writes with lost answers.

Two writers each make one change to the same object. A change is not idempotent, such
as adding an entry to the value that was read. The object stores the change identifier
of its last write.
"""

from collections.abc import Iterator
from typing import NamedTuple

from greengagetack.leases.decisions import WriteResult, resolve_lost_write
from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["WritesSpecification"]

AT_MOST_ONCE = "a change takes effect at most once"
TRUE_SUCCESS = "a change reported as written took effect"
NOT_LOST = "no accepted change is overwritten unseen"
TRUE_CONFLICT = "a change reported as lost to another never takes effect"
MAX_COPIES = 2


class Writer(NamedTuple):
    """A writer: the version it read, its write in flight and its reported result."""

    read: int = -1
    expected: int = -1
    copies: int = 0
    answer: str = ""
    phase: str = "idle"
    result: str = ""


class State(NamedTuple):
    """The object's version, its last change, and how often each change took effect."""

    version: int
    change: int
    up: bool
    overwritten: bool
    effects: tuple[int, int]
    writers: tuple[Writer, Writer]


@specification
class WritesSpecification(Specification):
    """Change identifiers, and reading the object back after a lost answer."""

    name = "writes"
    guards = (
        Guard("read-back after a lost answer", AT_MOST_ONCE),
        Guard("change identifier compared", TRUE_SUCCESS),
        Guard("conditional update", NOT_LOST),
        Guard("refusal judged by its change identifier", TRUE_CONFLICT),
        Guard("hidden traces stay undecided", TRUE_CONFLICT),
    )

    def initial(self) -> State:
        """Return an object of version 1 that no writer has read yet."""
        return State(1, -1, True, False, (0, 0), (Writer(), Writer()))

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            NOT_LOST: lambda s: not s.overwritten,
            AT_MOST_ONCE: lambda s: max(s.effects) <= 1,
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
        """Return whether both writers have a result, which may be undecided."""
        return all(writer.result for writer in state.writers)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the steps of the platform and of both writers."""
        yield "the platform goes up or down", state._replace(up=not state.up)
        for i, writer in enumerate(state.writers):
            if state.up and writer.copies:
                yield self._platform_step(state, i)
            if writer.copies:
                dropped = writer._replace(copies=writer.copies - 1)
                yield (
                    f"a copy of the write of w{i} is lost",
                    _replace(state, i, dropped),
                )
            if writer.result:
                continue
            yield from self._writer_steps(state, i)

    def _writer_steps(self, state: State, i: int) -> Iterator[Step]:
        writer = state.writers[i]
        if writer.phase == "idle":
            if state.up:
                read = writer._replace(read=state.version)
                yield f"w{i} reads", _replace(state, i, read)
            if writer.read >= 0 and writer.copies < MAX_COPIES:
                yield f"w{i} sends its change", _replace(state, i, _send(writer))
            return
        if writer.phase == "waiting":
            lost = writer._replace(phase="lost", answer="")
            yield f"w{i} gets no answer", _replace(state, i, lost)
            if writer.answer:
                yield f"w{i} gets its answer", self._handle_answer(state, i)
            return
        yield from self._resolve_steps(state, i)

    def _platform_step(self, state: State, i: int) -> Step:
        writer = state.writers[i]
        done = writer._replace(copies=writer.copies - 1)
        current = writer.expected == state.version
        if not current and self.has("conditional update"):
            own = state.change == i
            refused = done._replace(answer="own" if own else "refused")
            return f"the platform rejects the write of w{i}", _replace(
                state, i, refused
            )
        effects = list(state.effects)
        effects[i] += 1
        applied = _replace(state, i, done._replace(answer="ok"))
        return f"the platform applies the write of w{i}", applied._replace(
            version=state.version + 1,
            change=i,
            overwritten=state.overwritten or not current,
            effects=(effects[0], effects[1]),
        )

    def _handle_answer(self, state: State, i: int) -> State:
        writer = state.writers[i]
        if writer.answer == "ok":
            return _finish(state, i, "applied")
        if not self.has("refusal judged by its change identifier"):
            return _finish(state, i, "conflict")
        return self._resolve_write(state, i)

    def _resolve_steps(self, state: State, i: int) -> Iterator[Step]:
        writer = state.writers[i]
        if not self.has("read-back after a lost answer"):
            fresh = writer._replace(phase="idle", read=-1)
            yield f"w{i} starts over", _replace(state, i, fresh)
            return
        if state.up:
            yield f"w{i} reads back", self._resolve_write(state, i)

    def _resolve_write(self, state: State, i: int) -> State:
        """Return the state after a writer compared change identifiers."""
        writer = state.writers[i]
        result = resolve_lost_write(
            state.version, str(state.change), writer.expected, str(i)
        )
        if not self.has("change identifier compared") and state.change >= 0:
            result = WriteResult.APPLIED
        is_undecided = result is WriteResult.UNDECIDED
        if is_undecided and not self.has("hidden traces stay undecided"):
            result = WriteResult.CONFLICT
        if result is not WriteResult.NOT_APPLIED:
            return _finish(state, i, result.value)
        return _replace(state, i, _send(writer._replace(read=writer.expected)))


def _send(writer: Writer) -> Writer:
    return writer._replace(
        expected=writer.read,
        copies=min(writer.copies + 1, MAX_COPIES),
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
