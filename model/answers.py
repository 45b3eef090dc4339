"""model.answers: a caller receives the complete answer to its own request.

Two requests of one entry share a connection to a keeper. A connection that
stops delivering is replaced. The streams are then resumed by offset, while
pieces of the old connection may still arrive late and out of order.
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
MAX_PIECES = 3

OWN_PIECES_ONLY = "a caller gets only pieces of its own request"
PIECES_IN_ORDER = "a caller's pieces are in order, none missing or doubled"


class Piece(NamedTuple):
    """One token of an answer in flight; `old` if its connection was replaced."""

    request: int
    offset: int
    old: bool = False


class Caller(NamedTuple):
    """Tokens that a caller has received and the keeper has sent, and its errors."""

    received: int = 0
    sent: int = 0
    ended: bool = False
    received_foreign: bool = False
    out_of_order: bool = False


class State(NamedTuple):
    """Pieces in flight and both callers."""

    pieces: tuple[Piece, ...] = ()
    silent: bool = False
    callers: tuple[Caller, Caller] = (Caller(), Caller())


@specification
class AnswersSpecification(Specification):
    """Delivery of answers by request identifier, offset and progress timeout."""

    name = "answers"
    guards = (
        Guard("answers matched by request identifier", OWN_PIECES_ONLY),
        Guard("resume by offset", PIECES_IN_ORDER),
        Guard("pieces taken at the expected offset only", PIECES_IN_ORDER),
        Guard("end only after the last token", PIECES_IN_ORDER),
        Guard("silent connection replaced", PROGRESS),
    )

    def initial(self) -> State:
        """Return two requests without any received token."""
        return State()

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            OWN_PIECES_ONLY: lambda s: not any(c.received_foreign for c in s.callers),
            PIECES_IN_ORDER: lambda s: (
                not any(
                    c.out_of_order or (c.ended and c.received != TOKENS)
                    for c in s.callers
                )
            ),
        }

    def goal(self, state: State) -> bool:
        """Whether both callers have received their complete answer."""
        return all(caller.ended for caller in state.callers)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the steps of the keeper, the connection and the callers."""
        for index in REQUESTS:
            yield from self._caller_steps(state, index)
        for piece in state.pieces:
            yield from self._arrival_steps(state, piece)
        if not state.silent:
            yield "the connection goes silent", state._replace(silent=True)
        elif self.has("silent connection replaced"):
            yield "the connection is replaced", self._after_reconnect(state)

    def _caller_steps(self, state: State, index: int) -> Iterator[Step]:
        caller = state.callers[index]
        if caller.sent < TOKENS and len(state.pieces) < MAX_PIECES:
            piece = Piece(index, caller.sent)
            sent = _replace(state, index, caller._replace(sent=caller.sent + 1))
            yield (
                f"the keeper sends token {piece.offset} of r{index}",
                _with_piece(sent, piece),
            )
        whole = caller.received >= TOKENS or not self.has(
            "end only after the last token"
        )
        if caller.sent == TOKENS and whole and not caller.ended:
            ended = caller._replace(ended=True)
            yield f"r{index} ends", _replace(state, index, ended)

    def _arrival_steps(self, state: State, piece: Piece) -> Iterator[Step]:
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
            label = f"r{index} receives token {piece.offset} of r{piece.request}"
            yield label, self._after_piece(rest, index, piece)

    def _after_piece(self, state: State, index: int, piece: Piece) -> State:
        caller = state.callers[index]
        received_foreign = piece.request != index
        expected = piece.offset == caller.received
        if not expected and self.has("pieces taken at the expected offset only"):
            rewound = caller._replace(sent=min(caller.sent, caller.received))
            return _replace(state, index, rewound)
        taken = caller._replace(
            received=min(caller.received + 1, TOKENS),
            received_foreign=caller.received_foreign or received_foreign,
            out_of_order=caller.out_of_order or not expected,
        )
        taken = taken._replace(sent=max(taken.sent, taken.received))
        return _replace(state, index, taken)

    def _after_reconnect(self, state: State) -> State:
        """Return the state after a reconnect: streams resume by offset."""
        pieces = {piece._replace(old=True) for piece in state.pieces}
        callers = []
        for caller in state.callers:
            offset = caller.received
            if not self.has("resume by offset"):
                offset = 0
                caller = caller._replace(
                    out_of_order=caller.out_of_order or caller.received > 0
                )
            callers.append(caller._replace(sent=offset))
        return State(tuple(sorted(pieces)), False, (callers[0], callers[1]))


def _with_piece(state: State, piece: Piece) -> State:
    return state._replace(pieces=tuple(sorted({*state.pieces, piece})))


def _replace(state: State, index: int, caller: Caller) -> State:
    first, second = state.callers
    callers = (caller, second) if index == 0 else (first, caller)
    return state._replace(callers=callers)
