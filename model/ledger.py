"""model.ledger: numbered results of one job, committed by two daemons at once.

Both daemons run the same job's items and commit what they finish as the next
numbered segment. Creations are conditional; their answers get lost, and a copy may be
carried out later. A daemon restarts with nothing and reads the store again. A reader
keeps all that it was shown.
"""

from collections.abc import Iterator
from typing import NamedTuple

from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["LedgerSpecification"]

ITEMS = ("a", "b")
Segment = tuple[str, ...]

ONCE = "no item stands at two positions"
KEPT = "what a reader was shown stays in its place"
FINAL = "a log that lists all items does not grow"


class Daemon(NamedTuple):
    """One daemon: segments that it knows, items it has finished, its creation."""

    known: tuple[Segment, ...] = ()
    finished: tuple[str, ...] = ()
    number: int = -1
    content: Segment = ()
    late: tuple[int, Segment] | None = None


class State(NamedTuple):
    """Segments in the store, both daemons, and the results that a reader has."""

    store: tuple[Segment, ...] = ()
    daemons: tuple[Daemon, Daemon] = (Daemon(), Daemon())
    shown: tuple[str, ...] = ()


def _flat(segments: tuple[Segment, ...]) -> tuple[str, ...]:
    return tuple(item for segment in segments for item in segment)


def _is_final(state: State, daemon: Daemon) -> bool:
    """Whether a daemon that knows all items knows all there ever will be."""
    is_whole = set(_flat(daemon.known)) >= set(ITEMS)
    return not is_whole or daemon.known == state.store


@specification
class LedgerSpecification(Specification):
    """Results committed by conditional creation of numbered segments."""

    name = "ledger"
    guards = (
        Guard("conditional creation", KEPT),
        Guard("winner's segment taken over", ONCE),
        Guard("listed results left out", ONCE),
        Guard("only committed results shown", KEPT),
        Guard("same number repeated after a lost answer", ONCE),
    )

    def initial(self) -> State:
        """Return an empty log and two daemons that know nothing."""
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
        """Yield the steps of the daemons, of late creations and of the reader."""
        for index, daemon in enumerate(state.daemons):
            name = f"d{index}"
            if daemon.late is not None:
                number, content = daemon.late
                later = _replaced(state, index, daemon._replace(late=None))
                applied = self._create(later, number, content)
                yield f"{name}'s late creation arrives", applied
            yield f"{name} restarts", self._restarted(state, index)
            yield f"{name} shows", self._show(state, daemon)
            if daemon.number >= 0:
                yield from self._answers(state, index, name)
                continue
            yield from self._work(state, index, name)

    def _work(self, state: State, index: int, name: str) -> Iterator[Step]:
        daemon = state.daemons[index]
        listed = _flat(daemon.known)
        for item in ITEMS:
            is_listed = self.has("listed results left out") and item in listed
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

    def _answers(self, state: State, index: int, name: str) -> Iterator[Step]:
        daemon = state.daemons[index]
        number, content = daemon.number, daemon.content
        created = self._create(state, number, content)
        is_mine = created.store[number : number + 1] == (content,)
        if created is not state or is_mine:
            yield f"{name} has created it", _accepted(created, index, content)
        else:
            yield f"{name} met a conflict", self._conflict(state, index)
        if daemon.late is None:
            yield f"{name} gets no answer", self._unanswered(state, index)
            applied = self._unanswered(created, index)
            yield f"{name}'s answer is lost", applied

    def _unanswered(self, state: State, index: int) -> State:
        daemon = state.daemons[index]
        left = daemon._replace(late=(daemon.number, daemon.content))
        if not self.has("same number repeated after a lost answer"):
            # The daemon takes the creation for done and goes on.
            return _accepted(_replaced(state, index, left), index, daemon.content)
        return _replaced(state, index, left)

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
        if not self.has("winner's segment taken over"):
            # The daemon only steps over the number.
            known = (*daemon.known, ())
            cleared = daemon._replace(number=-1, content=(), known=known)
            return _replaced(state, index, cleared)
        known = (*daemon.known, *winner)
        left = tuple(item for item in daemon.finished if item not in _flat(known))
        if not self.has("listed results left out"):
            left = daemon.finished
        cleared = daemon._replace(number=-1, content=(), known=known, finished=left)
        return _replaced(state, index, cleared)

    def _restarted(self, state: State, index: int) -> State:
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
