"""model.drain: graceful shutdown of a daemon and of an endpoint.

A daemon that is stopping accepts no new requests, finishes those in flight and
exits. One of two keepers learns first that an endpoint is leaving; neither may
send new work to it once the leaving sign has had time to spread.
"""

from collections.abc import Iterator
from typing import NamedTuple

from greengagetack.leases.decisions import may_route_to, may_stop
from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["LeavingSpecification", "ShutdownSpecification"]

REQUESTS_FINISH = "a planned stop cuts off no request"
REFUSED_NOT_RUN = "a request refused by a stopping daemon has not run"
NO_NEW_WORK = "a leaving endpoint gets no new work after the bound"
MAX_REQUESTS = 2
SPREAD_TICKS = 2


class ShutdownState(NamedTuple):
    """A daemon, its requests in flight, and requests that have not arrived yet."""

    arriving: int = 0
    in_flight: int = 0
    accepts: bool = True
    stopping: bool = False
    exited: bool = False
    interrupted: bool = False
    ran_refused: bool = False
    served: int = 0


@specification
class ShutdownSpecification(Specification):
    """Graceful shutdown of a daemon."""

    name = "shutdown"
    guards = (
        Guard("drain before exit", REQUESTS_FINISH),
        Guard("no new requests while stopping", REQUESTS_FINISH),
        Guard("refuse before running", REFUSED_NOT_RUN),
    )

    def initial(self) -> ShutdownState:
        """Return a serving daemon."""
        return ShutdownState()

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            REQUESTS_FINISH: lambda s: not s.interrupted,
            REFUSED_NOT_RUN: lambda s: not s.ran_refused,
        }

    def goal(self, state: ShutdownState) -> bool:
        """Whether the daemon has exited."""
        return state.exited

    def steps(self, state: ShutdownState) -> Iterator[Step]:
        """Yield the steps of the callers and the daemon."""
        if state.exited:
            return
        if state.arriving < MAX_REQUESTS:
            arriving = state._replace(arriving=state.arriving + 1)
            yield "a request is sent", arriving
        if state.arriving:
            yield from self._arrival_steps(state._replace(arriving=state.arriving - 1))
        if state.in_flight:
            done = state._replace(in_flight=state.in_flight - 1)
            yield "a request is answered", done._replace(served=1)
        if not state.stopping:
            yield "the daemon receives a stop signal", state._replace(stopping=True)
            return
        if state.accepts:
            yield "the daemon stops accepting requests", state._replace(accepts=False)
        accepts = state.accepts and self.has("no new requests while stopping")
        drained = may_stop(state.in_flight, accepts)
        if drained or not self.has("drain before exit"):
            waiting = state.arriving if state.accepts else 0
            interrupted = state.in_flight + waiting > 0
            yield (
                "the daemon exits",
                state._replace(exited=True, interrupted=interrupted, arriving=0),
            )

    def _arrival_steps(self, state: ShutdownState) -> Iterator[Step]:
        if state.accepts:
            if state.in_flight < MAX_REQUESTS:
                started = state._replace(in_flight=state.in_flight + 1)
                yield "a request starts", started
            return
        if self.has("refuse before running"):
            yield "a request is refused, not run", state
            return
        ran = state._replace(ran_refused=True)
        yield "a request is run, then refused", ran


class LeavingState(NamedTuple):
    """Ticks since the first leaving sign, and which keepers have received it."""

    ticks: int = -1
    informed: tuple[bool, bool] = (False, False)
    chosen: tuple[bool, bool] = (False, False)
    due: bool = False
    late_work: bool = False


@specification
class LeavingSpecification(Specification):
    """A leaving endpoint, its keeper and a substitute keeper.

    The model assumes that a link between keepers delivers the leaving sign
    within the bound or is detected as broken; a keeper without a working link
    stops sending.
    """

    name = "leaving"
    guards = (
        Guard("keeper refuses once it knows", NO_NEW_WORK),
        Guard("sign spread to the substitute", NO_NEW_WORK),
        Guard("checked right before sending", NO_NEW_WORK),
    )

    def initial(self) -> LeavingState:
        """Return an endpoint that is not leaving."""
        return LeavingState()

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {NO_NEW_WORK: lambda s: not s.late_work}

    def goal(self, state: LeavingState) -> bool:
        """Whether both keepers have received the leaving sign."""
        return all(state.informed)

    def steps(self, state: LeavingState) -> Iterator[Step]:
        """Yield the steps of time, the leaving sign and the keepers."""
        for index in range(2):
            yield from self._keeper_steps(state, index)
        if state.ticks < 0:
            for index in range(2):
                informed = _with_true((False, False), index)
                yield (
                    f"keeper {index} receives the leaving sign",
                    state._replace(ticks=0, informed=informed),
                )
            return
        if not all(state.informed) and self.has("sign spread to the substitute"):
            yield "the sign spreads", state._replace(informed=(True, True))
            if state.ticks < SPREAD_TICKS:
                yield "time passes", state._replace(ticks=state.ticks + 1)
            return
        if not all(state.informed):
            yield "the sign spreads late", state._replace(informed=(True, True))
        ticks = min(state.ticks + 1, SPREAD_TICKS + 1)
        yield "time passes", state._replace(ticks=ticks)

    def _keeper_steps(self, state: LeavingState, index: int) -> Iterator[Step]:
        """Yield a keeper's choice of the endpoint and the sending of work."""
        leaving = state.informed[index] and self.has("keeper refuses once it knows")
        allowed = may_route_to(leaving, 0, 0)
        if allowed and not state.chosen[index]:
            chosen = _with_true(state.chosen, index)
            yield (
                f"keeper {index} chooses the endpoint",
                state._replace(chosen=chosen),
            )
        if not state.chosen[index]:
            return
        pending = list(state.chosen)
        pending[index] = False
        done = state._replace(chosen=(pending[0], pending[1]))
        if not allowed and self.has("checked right before sending"):
            yield f"keeper {index} chooses another endpoint", done
            return
        late = state.late_work or state.ticks > SPREAD_TICKS
        yield f"keeper {index} sends new work", done._replace(late_work=late)


def _with_true(values: tuple[bool, bool], index: int) -> tuple[bool, bool]:
    changed = list(values)
    changed[index] = True
    return (changed[0], changed[1])
