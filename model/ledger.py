"""model.ledger: numbered results of one job, committed by two concurrent daemons.

Both daemons run the items of the same job and commit finished results as the next
numbered segment. Creations are conditional. Their responses may be lost, and a copy of
a creation may be applied later. A daemon restarts without state and reads the store
again. A reader keeps all results that it was shown.
"""

from collections.abc import Iterator
from typing import NamedTuple

from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["LedgerSpecification"]

ITEMS = ("a", "b")
Segment = tuple[str, ...]

ONCE = "no item is listed at two positions"
KEPT = "results that a reader was shown keep their positions"
FINAL = "a log that lists all items does not grow"


class Daemon(NamedTuple):
    """A daemon: its known segments, finished items and pending creation.

    `late` is a creation whose response was lost and that may still be applied.
    """

    known: tuple[Segment, ...] = ()
    finished: tuple[str, ...] = ()
    number: int = -1
    content: Segment = ()
    late: tuple[int, Segment] | None = None


class State(NamedTuple):
    """Segments in the store, both daemons, and the results that a reader was shown."""

    store: tuple[Segment, ...] = ()
    daemons: tuple[Daemon, Daemon] = (Daemon(), Daemon())
    shown: tuple[str, ...] = ()


def _flat(segments: tuple[Segment, ...]) -> tuple[str, ...]:
    return tuple(item for segment in segments for item in segment)


def _is_final(state: State, daemon: Daemon) -> bool:
    """Whether a daemon's log, if it lists all items, equals the stored log."""
    lists_all = set(_flat(daemon.known)) >= set(ITEMS)
    return not lists_all or daemon.known == state.store


@specification
class LedgerSpecification(Specification):
    """Results committed by conditional creation of numbered segments."""

    name = "ledger"
    guards = (
        Guard("conditional creation", KEPT),
        Guard("winner's segment adopted", ONCE),
        Guard("listed results omitted", ONCE),
        Guard("only committed results shown", KEPT),
        Guard("same number retried after a lost response", ONCE),
    )

    def initial(self) -> State:
        """Return an empty log and two daemons without state."""
        return State()

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            ONCE: lambda s: len(set(_flat(s.store))) == len(_flat(s.store)),
            KEPT: lambda s: _flat(s.store)[: len(s.shown)] == s.shown,
            FINAL: lambda s: all(_is_final(s, daemon) for daemon in s.daemons),
        }

    def goal(self, state: State) -> bool:
        """Whether all items are listed."""
        return set(_flat(state.store)) >= set(ITEMS)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the steps of the daemons, late creations and the reader."""
        for index, daemon in enumerate(state.daemons):
            name = f"d{index}"
            if daemon.late is not None:
                number, content = daemon.late
                later = _replaced(state, index, daemon._replace(late=None))
                applied = self._create(later, number, content)
                yield f"{name}'s late creation is applied", applied
            yield f"{name} restarts", self._restart(state, index)
            yield f"{name} shows its results to the reader", self._show(state, daemon)
            if daemon.number >= 0:
                yield from self._response_steps(state, index, name)
                continue
            yield from self._work_steps(state, index, name)

    def _work_steps(self, state: State, index: int, name: str) -> Iterator[Step]:
        daemon = state.daemons[index]
        listed = _flat(daemon.known)
        for item in ITEMS:
            is_listed = self.has("listed results omitted") and item in listed
            if item in daemon.finished or is_listed:
                continue
            finished = tuple(sorted({*daemon.finished, item}))
            yield (
                f"{name} finishes {item}",
                _replaced(state, index, daemon._replace(finished=finished)),
            )
        can_commit = len(daemon.known) <= len(ITEMS)
        if daemon.finished and can_commit:
            writing = daemon._replace(number=len(daemon.known), content=daemon.finished)
            yield f"{name} creates a segment", _replaced(state, index, writing)

    def _response_steps(self, state: State, index: int, name: str) -> Iterator[Step]:
        daemon = state.daemons[index]
        number, content = daemon.number, daemon.content
        created = self._create(state, number, content)
        is_own = created.store[number : number + 1] == (content,)
        if created is not state or is_own:
            yield f"{name} receives a success", _accepted(created, index, content)
        else:
            yield f"{name} receives a conflict", self._conflict(state, index)
        if daemon.late is None:
            yield f"{name}'s request is delayed", self._unanswered(state, index)
            applied = self._unanswered(created, index)
            yield f"{name}'s response is lost", applied

    def _unanswered(self, state: State, index: int) -> State:
        daemon = state.daemons[index]
        remaining = daemon._replace(late=(daemon.number, daemon.content))
        if not self.has("same number retried after a lost response"):
            # The daemon assumes that the creation succeeded and continues.
            return _accepted(_replaced(state, index, remaining), index, daemon.content)
        return _replaced(state, index, remaining)

    def _create(self, state: State, number: int, content: Segment) -> State:
        if number == len(state.store):
            return state._replace(store=(*state.store, content))
        if self.has("conditional creation") or number > len(state.store):
            return state
        store = list(state.store)
        store[number] = content
        return state._replace(store=tuple(store))

    def _conflict(self, state: State, index: int) -> State:
        daemon = state.daemons[index]
        number = daemon.number
        winner = state.store[number : number + 1]
        if not self.has("winner's segment adopted"):
            # The daemon only skips the number.
            known = (*daemon.known, ())
            idle = daemon._replace(number=-1, content=(), known=known)
            return _replaced(state, index, idle)
        known = (*daemon.known, *winner)
        remaining = tuple(item for item in daemon.finished if item not in _flat(known))
        if not self.has("listed results omitted"):
            remaining = daemon.finished
        idle = daemon._replace(number=-1, content=(), known=known, finished=remaining)
        return _replaced(state, index, idle)

    def _restart(self, state: State, index: int) -> State:
        late = state.daemons[index].late
        return _replaced(state, index, Daemon(known=state.store, late=late))

    def _show(self, state: State, daemon: Daemon) -> State:
        results = _flat(daemon.known)
        if not self.has("only committed results shown"):
            results = (*results, *daemon.finished)
        if len(results) <= len(state.shown):
            return state
        return state._replace(shown=results)


def _replaced(state: State, index: int, daemon: Daemon) -> State:
    daemons = list(state.daemons)
    daemons[index] = daemon
    return state._replace(daemons=(daemons[0], daemons[1]))


def _accepted(state: State, index: int, content: Segment) -> State:
    daemon = state.daemons[index]
    return _replaced(
        state,
        index,
        daemon._replace(
            known=(*daemon.known, content),
            finished=tuple(i for i in daemon.finished if i not in content),
            number=-1,
            content=(),
        ),
    )
