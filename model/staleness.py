"""model.staleness: versions of a sample and the trainer's staleness bound.

An engine that swaps weights in mid-stream generates a sample of two tokens,
while the trainer moves to new versions. A version is modelled by its age, the
number of versions that it is behind the newest.
"""

from collections.abc import Iterator
from typing import NamedTuple

from greengagetack.leases.decisions import is_within_staleness_bound, may_route_to
from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["StalenessSpecification"]

BOUND = 1
MAX_AGE = 4
TOKENS = 2

FRESH = "no delivered sample is beyond its staleness bound"
NAMED = "a sample names the versions that made it"
ROUTED = "no sample is started that is stale from the start"
KEPT = "no sample counts as finished that was stale at completion"

Versions = tuple[int, ...]


class State(NamedTuple):
    """Versions as ages: 0 is the trainer's current version.

    `engine_age` belongs to the engine's weights, `reported_age` to the version
    that the trainer last reported. `token_ages` are the versions that generated
    the tokens, `recorded_ages` those that the sample records.
    """

    engine_age: int = 0
    reported_age: int = 0
    phase: str = "waiting"
    token_ages: Versions = ()
    recorded_ages: Versions = ()
    is_fetching: bool = False
    delivered_stale: bool = False
    delivered_wrong_versions: bool = False
    started_stale: bool = False
    kept_stale: bool = False


@specification
class StalenessSpecification(Specification):
    """Versions as the engine reports them, checked at three points."""

    name = "staleness"
    guards = (
        Guard("staleness checked at routing", ROUTED),
        Guard("staleness checked at completion", KEPT),
        Guard("staleness checked at delivery", FRESH),
        Guard("the oldest token counts", FRESH),
        Guard("versions named per token", NAMED),
    )

    def initial(self) -> State:
        """Return the state before the sample is routed."""
        return State()

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            FRESH: lambda s: not s.delivered_stale,
            NAMED: lambda s: not s.delivered_wrong_versions,
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
        yield "the trainer moves to a new version", _with_next_version(state)
        if state.engine_age > 0:
            yield "the engine swaps its weights", state._replace(engine_age=0)
        if state.reported_age > 0:
            yield "the trainer reports its version", state._replace(reported_age=0)
        if not state.is_fetching:
            yield (
                "the trainer fetches",
                state._replace(is_fetching=True, reported_age=0),
            )
        else:
            yield "the fetch is abandoned", state._replace(is_fetching=False)
        if state.phase == "waiting":
            yield from self._routing_steps(state)
        if state.phase == "running":
            yield from self._running_steps(state)
        if state.phase == "finished" and state.is_fetching:
            yield self._delivery_step(state)

    def _routing_steps(self, state: State) -> Iterator[Step]:
        allowed = may_route_to(False, -state.engine_age, -state.reported_age - BOUND)
        if not allowed and self.has("staleness checked at routing"):
            return
        yield (
            "the sample is routed",
            state._replace(
                phase="running",
                token_ages=(),
                recorded_ages=(),
                started_stale=state.started_stale or not allowed,
            ),
        )

    def _running_steps(self, state: State) -> Iterator[Step]:
        if len(state.token_ages) < TOKENS:
            per_token = self.has("versions named per token")
            named = (*state.recorded_ages, state.engine_age)
            if not per_token and state.recorded_ages:
                named = (state.recorded_ages[0],) * len(named)
            yield (
                "the engine generates a token",
                state._replace(
                    token_ages=(*state.token_ages, state.engine_age),
                    recorded_ages=named,
                ),
            )
            yield (
                "the engine crashes",
                state._replace(phase="waiting", token_ages=(), recorded_ages=()),
            )
            return
        fresh = self._is_fresh(state.recorded_ages, state.reported_age)
        if not fresh and self.has("staleness checked at completion"):
            yield "the sample is stale and generated again", _restart_sample(state)
            return
        yield (
            "the sample finishes",
            state._replace(phase="finished", kept_stale=state.kept_stale or not fresh),
        )

    def _delivery_step(self, state: State) -> Step:
        fresh = self._is_fresh(state.recorded_ages, state.reported_age)
        if not fresh and self.has("staleness checked at delivery"):
            return "the sample became stale and is generated again", _restart_sample(
                state
            )
        stale = not is_within_staleness_bound(
            -max(state.token_ages), -state.reported_age, BOUND
        )
        return "the sample is delivered", state._replace(
            phase="delivered",
            delivered_stale=stale,
            delivered_wrong_versions=state.recorded_ages != state.token_ages,
        )

    def _is_fresh(self, versions: Versions, reported_age: int) -> bool:
        age = max(versions)
        if not self.has("the oldest token counts"):
            age = min(versions)
        return is_within_staleness_bound(-age, -reported_age, BOUND)


def _restart_sample(state: State) -> State:
    return state._replace(phase="waiting", token_ages=(), recorded_ages=())


def _with_next_version(state: State) -> State:
    """Return the state after the trainer's next version; all ages grow by one."""
    return state._replace(
        engine_age=min(state.engine_age + 1, MAX_AGE),
        reported_age=min(state.reported_age + 1, MAX_AGE),
        token_ages=tuple(min(age + 1, MAX_AGE) for age in state.token_ages),
        recorded_ages=tuple(min(age + 1, MAX_AGE) for age in state.recorded_ages),
    )
