"""features.steps.audit_steps: planted breaches in the log of a soak."""

from behave import given, then, when
from behave.runner import Context

from bench.audit import CHECKS, audit
from features.support.audit import PLANTS, clean_log


@given("the log of a soak without a breach")
def step_log(context: Context) -> None:
    context.soak_log = clean_log()


@when("the log is changed by: {name}")
def step_change(context: Context, name: str) -> None:
    PLANTS[name](context.soak_log)


@then("the audit finds nothing")
def step_nothing(context: Context) -> None:
    assert audit(context.soak_log).breaches == ()


@then("the audit finds only: {kind}")
def step_finds(context: Context, kind: str) -> None:
    breaches = audit(context.soak_log).breaches
    assert {breach.kind for breach in breaches} == {kind}, breaches


@then("each kind of breach is found in at least one log with a planted breach")
def step_all_planted(context: Context) -> None:
    found: set[str] = set()
    for change in PLANTS.values():
        log = clean_log()
        change(log)
        found.update(breach.kind for breach in audit(log).breaches)
    assert found == set(CHECKS), set(CHECKS) - found
