"""model.answers: a caller gets the complete answer to its own request.

Two requests of one entry share connections to a keeper. A connection may go
silent and is replaced; the stream is resumed by offset, and pieces of the old
connection may still arrive, late and out of order.
"""

from collections.abc import Iterator
from typing import NamedTuple

from model.specification import (
    PROGRESS,
    Guard,
    Predicate,
    Specification,
    Step,
    specification,
)

__all__ = ["AnswersSpecification"]

REQUESTS = range(2)
TOKENS = 2
MOST_PIECES = 3

OWN = "a caller gets only pieces of its own request"
WHOLE = "a caller's pieces are in order, none missing or doubled"


class Piece(NamedTuple):
    """One token of an answer on its way, on a connection that may be old."""

    request: int
    offset: int
    old: bool = False


class Caller(NamedTuple):
    """What a caller has got, and how far the keeper has sent to it."""

    got: int = 0
    sent: int = 0
    ended: bool = False
    foreign: bool = False
    torn: bool = False


class State(NamedTuple):
    """Pieces in flight and both callers."""

    pieces: tuple[Piece, ...] = ()
    silent: bool = False
    callers: tuple[Caller, Caller] = (Caller(), Caller())


@specification
class AnswersSpecification(Specification):
    """Request identifiers, offsets and progress deadlines."""

    name = "answers"
    guards = (
        Guard("answers matched by request identifier", OWN),
        Guard("resume by offset", WHOLE),
        Guard("pieces taken at the expected offset only", WHOLE),
        Guard("end only after the last token", WHOLE),
        Guard("silent connection replaced", PROGRESS),
    )

    def initial(self) -> State:
        """Return two requests of which nothing has arrived."""
        return State()

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            OWN: lambda s: not any(c.foreign for c in s.callers),
            WHOLE: lambda s: (
                not any(c.torn or (c.ended and c.got != TOKENS) for c in s.callers)
            ),
        }

    def goal(self, state: State) -> bool:
        """Whether both callers have their whole answer."""
        return all(caller.ended for caller in state.callers)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the steps of keeper, connection and callers."""
        for index in REQUESTS:
            yield from self._caller_steps(state, index)
        for piece in state.pieces:
            yield from self._arrival(state, piece)
        if not state.silent:
            yield "the connection goes silent", state._replace(silent=True)
        elif self.has("silent connection replaced"):
            yield "the connection is replaced", self._replaced(state)

    def _caller_steps(self, state: State, index: int) -> Iterator[Step]:
        caller = state.callers[index]
        if caller.sent < TOKENS and len(state.pieces) < MOST_PIECES:
            piece = Piece(index, caller.sent)
            sent = _replace(state, index, caller._replace(sent=caller.sent + 1))
            yield (
                f"the keeper sends token {piece.offset} of r{index}",
                _with(sent, piece),
            )
        whole = caller.got >= TOKENS or not self.has("end only after the last token")
        if caller.sent == TOKENS and whole and not caller.ended:
            ended = caller._replace(ended=True)
            yield f"r{index} ends", _replace(state, index, ended)

    def _arrival(self, state: State, piece: Piece) -> Iterator[Step]:
        if state.silent and not piece.old:
            return
        rest = state._replace(pieces=tuple(p for p in state.pieces if p != piece))
        yield "a late piece is lost", rest if piece.old else state
        by_identifier = self.has("answers matched by request identifier")
        targets = (piece.request,) if by_identifier else tuple(REQUESTS)
        for index in targets:
            caller = state.callers[index]
            if caller.ended:
                yield f"r{index} has ended and drops a piece", rest
                continue
            label = f"r{index} gets token {piece.offset} of r{piece.request}"
            yield label, self._taken(rest, index, piece)

    def _taken(self, state: State, index: int, piece: Piece) -> State:
        caller = state.callers[index]
        foreign = piece.request != index
        expected = piece.offset == caller.got
        if not expected and self.has("pieces taken at the expected offset only"):
            back = caller._replace(sent=min(caller.sent, caller.got))
            return _replace(state, index, back)
        taken = caller._replace(
            got=min(caller.got + 1, TOKENS),
            foreign=caller.foreign or foreign,
            torn=caller.torn or not expected,
        )
        taken = taken._replace(sent=max(taken.sent, taken.got))
        return _replace(state, index, taken)

    def _replaced(self, state: State) -> State:
        """Return the state after a new connection: streams resume by offset."""
        pieces = {piece._replace(old=True) for piece in state.pieces}
        callers = []
        for caller in state.callers:
            offset = caller.got
            if not self.has("resume by offset"):
                offset = 0
                caller = caller._replace(torn=caller.torn or caller.got > 0)
            callers.append(caller._replace(sent=offset))
        return State(tuple(sorted(pieces)), False, (callers[0], callers[1]))


def _with(state: State, piece: Piece) -> State:
    return state._replace(pieces=tuple(sorted({*state.pieces, piece})))


def _replace(state: State, index: int, caller: Caller) -> State:
    first, second = state.callers
    callers = (caller, second) if index == 0 else (first, caller)
    return state._replace(callers=callers)
