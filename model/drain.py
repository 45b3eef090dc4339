"""model.drain: planned stops of a daemon and endpoints that leave.

A daemon that stops takes no new requests, finishes those in flight and exits.
An endpoint that leaves is known to one of two keepers first; neither may send it
new work once the sign has had time to spread.
"""

from collections.abc import Iterator
from typing import NamedTuple

from greengagetack.leases.decisions import may_route_to, may_stop
from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["LeavingSpecification", "ShutdownSpecification"]

NOT_CUT = "a planned stop cuts off no request"
TRUE_REFUSAL = "a request refused by a stopping daemon has not run"
NO_NEW_WORK = "a leaving endpoint gets no new work after the bound"
MOST_REQUESTS = 2
SPREAD_TICKS = 2


class ShutdownState(NamedTuple):
    """A daemon, its requests, and those on their way to it."""

    arriving: int = 0
    in_flight: int = 0
    accepts: bool = True
    stopping: bool = False
    exited: bool = False
    cut: bool = False
    refused_run: bool = False
    served: int = 0


@specification
class ShutdownSpecification(Specification):
    """Graceful shutdown of a daemon."""

    name = "shutdown"
    guards = (
        Guard("drain before exit", NOT_CUT),
        Guard("no new requests while stopping", NOT_CUT),
        Guard("refuse before running", TRUE_REFUSAL),
    )

    def initial(self) -> ShutdownState:
        """Return a serving daemon."""
        return ShutdownState()

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            NOT_CUT: lambda s: not s.cut,
            TRUE_REFUSAL: lambda s: not s.refused_run,
        }

    def goal(self, state: ShutdownState) -> bool:
        """Whether the daemon has exited."""
        return state.exited

    def steps(self, state: ShutdownState) -> Iterator[Step]:
        """Yield the steps of callers and daemon."""
        if state.exited:
            return
        if state.arriving < MOST_REQUESTS:
            arriving = state._replace(arriving=state.arriving + 1)
            yield "a request is sent", arriving
        if state.arriving:
            yield from self._arrival(state._replace(arriving=state.arriving - 1))
        if state.in_flight:
            done = state._replace(in_flight=state.in_flight - 1)
            yield "a request is answered", done._replace(served=1)
        if not state.stopping:
            yield "the daemon is told to stop", state._replace(stopping=True)
            return
        if state.accepts:
            yield "it takes no new requests", state._replace(accepts=False)
        accepts = state.accepts and self.has("no new requests while stopping")
        drained = may_stop(state.in_flight, accepts)
        if drained or not self.has("drain before exit"):
            waiting = state.arriving if state.accepts else 0
            cut = state.in_flight + waiting > 0
            yield "it exits", state._replace(exited=True, cut=cut, arriving=0)

    def _arrival(self, state: ShutdownState) -> Iterator[Step]:
        if state.accepts:
            if state.in_flight < MOST_REQUESTS:
                started = state._replace(in_flight=state.in_flight + 1)
                yield "a request starts", started
            return
        if self.has("refuse before running"):
            yield "a request is refused, not run", state
            return
        ran = state._replace(refused_run=True)
        yield "a request is run, then refused", ran


class LeavingState(NamedTuple):
    """Ticks since the first sign, and who knows of it."""

    ticks: int = -1
    knows: tuple[bool, bool] = (False, False)
    decided: tuple[bool, bool] = (False, False)
    due: bool = False
    late_work: bool = False


@specification
class LeavingSpecification(Specification):
    """An endpoint that leaves, its keeper and a substitute keeper.

    The links between keepers are taken to deliver a sign, or to be known as
    broken, within the bound; a keeper that cannot tell stops sending.
    """

    name = "leaving"
    guards = (
        Guard("keeper refuses once it knows", NO_NEW_WORK),
        Guard("sign spread to the substitute", NO_NEW_WORK),
        Guard("checked right before sending", NO_NEW_WORK),
    )

    def initial(self) -> LeavingState:
        """Return an endpoint that stays."""
        return LeavingState()

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {NO_NEW_WORK: lambda s: not s.late_work}

    def goal(self, state: LeavingState) -> bool:
        """Whether both keepers know of the sign."""
        return all(state.knows)

    def steps(self, state: LeavingState) -> Iterator[Step]:
        """Yield time, the sign and the keepers' work."""
        for index in range(2):
            yield from self._work(state, index)
        if state.ticks < 0:
            for index in range(2):
                knows = _set((False, False), index)
                yield (
                    f"keeper {index} gets the sign",
                    state._replace(ticks=0, knows=knows),
                )
            return
        if not all(state.knows) and self.has("sign spread to the substitute"):
            yield "the sign spreads", state._replace(knows=(True, True))
            if state.ticks < SPREAD_TICKS:
                yield "time passes", state._replace(ticks=state.ticks + 1)
            return
        if not all(state.knows):
            yield "the sign spreads at last", state._replace(knows=(True, True))
        ticks = min(state.ticks + 1, SPREAD_TICKS + 1)
        yield "time passes", state._replace(ticks=ticks)

    def _work(self, state: LeavingState, index: int) -> Iterator[Step]:
        """Yield a keeper's decision to send work, and the sending."""
        leaving = state.knows[index] and self.has("keeper refuses once it knows")
        allowed = may_route_to(leaving, 0, 0)
        if allowed and not state.decided[index]:
            decided = _set(state.decided, index)
            yield (
                f"keeper {index} chooses the endpoint",
                state._replace(decided=decided),
            )
        if not state.decided[index]:
            return
        left = list(state.decided)
        left[index] = False
        done = state._replace(decided=(left[0], left[1]))
        if not allowed and self.has("checked right before sending"):
            yield f"keeper {index} chooses another", done
            return
        late = state.late_work or state.ticks > SPREAD_TICKS
        yield f"keeper {index} sends new work", done._replace(late_work=late)


def _set(values: tuple[bool, bool], index: int) -> tuple[bool, bool]:
    changed = list(values)
    changed[index] = True
    return (changed[0], changed[1])
