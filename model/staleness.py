"""model.staleness: versions of a sample and the trainer's staleness bound.

A sample of two tokens is made by an engine that swaps weights in mid-stream,
while its trainer moves on. Versions are kept as their age behind the newest.
"""

from collections.abc import Iterator
from typing import NamedTuple

from greengagetack.leases.decisions import is_within_staleness_bound, may_route_to
from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["StalenessSpecification"]

BOUND = 1
OLDEST = 4
TOKENS = 2

FRESH = "no delivered sample is beyond its staleness bound"
NAMED = "a sample names the versions that made it"
ROUTED = "no sample is started that is stale from the start"
KEPT = "no sample counts as finished that was stale at completion"

Versions = tuple[int, ...]


class State(NamedTuple):
    """Ages of versions behind the trainer's: 0 is the trainer's own."""

    engine: int = 0
    stated: int = 0
    phase: str = "waiting"
    made_by: Versions = ()
    named: Versions = ()
    fetch: bool = False
    delivered_stale: bool = False
    delivered_wrong: bool = False
    started_stale: bool = False
    kept_stale: bool = False


@specification
class StalenessSpecification(Specification):
    """Versions from the engine's own answer, checked at three points."""

    name = "staleness"
    guards = (
        Guard("staleness checked at routing", ROUTED),
        Guard("staleness checked at completion", KEPT),
        Guard("staleness checked at delivery", FRESH),
        Guard("the oldest token counts", FRESH),
        Guard("versions named per token", NAMED),
    )

    def initial(self) -> State:
        """Return a sample that has not been started."""
        return State()

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            FRESH: lambda s: not s.delivered_stale,
            NAMED: lambda s: not s.delivered_wrong,
            ROUTED: lambda s: not s.started_stale,
            KEPT: lambda s: not s.kept_stale,
        }

    def goal(self, state: State) -> bool:
        """Whether the sample is delivered."""
        return state.phase == "delivered"

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the steps of trainer, engine and owner."""
        if state.phase == "delivered":
            return
        yield "the trainer moves to a new version", _aged(state)
        if state.engine > 0:
            yield "the engine swaps its weights", state._replace(engine=0)
        if state.stated > 0:
            yield "the trainer states its version", state._replace(stated=0)
        if not state.fetch:
            yield "the trainer fetches", state._replace(fetch=True, stated=0)
        else:
            yield "the fetch is abandoned", state._replace(fetch=False)
        if state.phase == "waiting":
            yield from self._routed(state)
        if state.phase == "running":
            yield from self._running(state)
        if state.phase == "finished" and state.fetch:
            yield self._delivered(state)

    def _routed(self, state: State) -> Iterator[Step]:
        allowed = may_route_to(False, -state.engine, -state.stated - BOUND)
        if not allowed and self.has("staleness checked at routing"):
            return
        yield (
            "the sample is routed",
            state._replace(
                phase="running",
                made_by=(),
                named=(),
                started_stale=state.started_stale or not allowed,
            ),
        )

    def _running(self, state: State) -> Iterator[Step]:
        if len(state.made_by) < TOKENS:
            per_token = self.has("versions named per token")
            named = (*state.named, state.engine)
            if not per_token and state.named:
                named = (state.named[0],) * len(named)
            yield (
                "the engine makes a token",
                state._replace(made_by=(*state.made_by, state.engine), named=named),
            )
            yield (
                "the engine crashes",
                state._replace(phase="waiting", made_by=(), named=()),
            )
            return
        fresh = self._within(state.named, state.stated)
        if not fresh and self.has("staleness checked at completion"):
            yield "the sample is stale and made again", _again(state)
            return
        yield (
            "the sample finishes",
            state._replace(phase="finished", kept_stale=state.kept_stale or not fresh),
        )

    def _delivered(self, state: State) -> Step:
        fresh = self._within(state.named, state.stated)
        if not fresh and self.has("staleness checked at delivery"):
            return "the sample went stale and is made again", _again(state)
        stale = not is_within_staleness_bound(-max(state.made_by), -state.stated, BOUND)
        return "the sample is delivered", state._replace(
            phase="delivered",
            delivered_stale=stale,
            delivered_wrong=state.named != state.made_by,
        )

    def _within(self, versions: Versions, stated: int) -> bool:
        age = max(versions)
        if not self.has("the oldest token counts"):
            age = min(versions)
        return is_within_staleness_bound(-age, -stated, BOUND)


def _again(state: State) -> State:
    return state._replace(phase="waiting", made_by=(), named=())


def _aged(state: State) -> State:
    """Return the state after the trainer's next version: all others age."""
    return state._replace(
        engine=min(state.engine + 1, OLDEST),
        stated=min(state.stated + 1, OLDEST),
        made_by=tuple(min(age + 1, OLDEST) for age in state.made_by),
        named=tuple(min(age + 1, OLDEST) for age in state.named),
    )
