"""features.steps.model_steps: the model checker applied to a counter."""

from collections.abc import Iterator
from typing import NamedTuple
from unittest import mock

from behave import then, when
from behave.runner import Context

from model import checker
from model.specification import Guard, Predicate, Specification, Step

WITHIN_BOUND = "the counter stays within its bound"


class Count(NamedTuple):
    """A counter."""

    value: int = 0


class Counter(Specification):
    """A counter that stops at its top."""

    name = "counter"
    top = 5
    bound = 5

    def initial(self) -> Count:
        """Return zero."""
        return Count()

    def properties(self) -> dict[str, Predicate]:
        """Return the only property: the counter stays within its bound."""
        return {WITHIN_BOUND: lambda s: s.value <= self.bound}

    def goal(self, state: Count) -> bool:
        """Whether the counter has reached its top."""
        return state.value >= self.top

    def steps(self, state: Count) -> Iterator[Step]:
        """Yield the next count, up to the top."""
        top = self.top if self.has("stop at top") else self.top + 1
        if state.value < top:
            yield "count", Count(state.value + 1)


@when(
    "a counter up to {top:d} with bound {bound:d} is checked within {states:d} states"
)
def step_check(context: Context, top: int, bound: int, states: int) -> None:
    spec = Counter()
    spec.top = top
    spec.bound = bound
    with mock.patch.object(checker, "MAX_STATES", states):
        context.verdicts = checker.check_specification(spec)


@then("its property {verdict} and progress {progress}")
def step_verdict(context: Context, verdict: str, progress: str) -> None:
    safety, liveness = context.verdicts
    assert safety.holds == (verdict == "holds"), safety
    assert liveness.holds == (progress == "holds"), liveness


@when("the counter lacks its guard {guard}")
def step_mutant(context: Context, guard: str) -> None:
    context.mutant = checker.check_mutant(Counter, Guard(guard, WITHIN_BOUND))


@then("the mutant is {verdict} after {steps:d} steps")
def step_refuted(context: Context, verdict: str, steps: int) -> None:
    assert context.mutant.refuted == (verdict == "refuted")
    assert max(len(context.mutant.trace) - 1, 0) == steps, context.mutant
