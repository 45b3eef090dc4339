"""features.steps.platform_soak_steps: a short soak, and planted breaches."""

from collections.abc import Callable
from typing import Any

from behave import then, when
from behave.runner import Context

from bench.platform_audit import PlatformAudit
from bench.platform_soak import run_soak
from standins.platform_cluster import ORDER_SPACING_S, Submission
from standins.replica import Replica, output_of

EVENTS = 3
JOB = Submission("j", 1, 2, min_version=2)


@when("the platform is soaked for {seconds:d} s with seed {seed:d}")
def step_soak(context: Context, seconds: int, seed: int) -> None:
    context.audit, cluster = run_soak(seed, seconds)
    cluster.close()


@then("no guarantee is violated and every part of the load ran")
def step_no_violation(context: Context) -> None:
    assert not context.audit.breaches, context.audit.breaches
    counts = context.audit.counts
    for part in ("steps", "faults", "lookups 200", "bookings 200", "orders"):
        assert counts[part] > 0, (part, counts)


def _result(number: int, **changes: Any) -> dict[str, Any]:
    item_id = JOB.item_ids()[number]
    result = {
        "id": item_id,
        "state": "completed",
        "output": output_of(item_id, EVENTS),
        "versions": [2],
    }
    return {**result, **changes}


def _page(*results: dict[str, Any], total: int = 2) -> dict[str, Any]:
    return {"total": total, "next": len(results), "results": list(results)}


def _pages(*pages: dict[str, Any]) -> Callable[[PlatformAudit, Replica], None]:
    def observe(audit: PlatformAudit, replica: Replica) -> None:
        audit.record_submission(JOB, 202)
        for page in pages:
            audit.check_page("j", 0, page)

    return observe


def _booking(
    status: int, runs: int, body: bytes = b"answer to b"
) -> Callable[[PlatformAudit, Replica], None]:
    def observe(audit: PlatformAudit, replica: Replica) -> None:
        audit.record_booking("b", status, body)
        replica.arrivals += [("b", "", 1)] * runs

    return observe


def _orders(
    *orders: tuple[float, str, int],
) -> Callable[[PlatformAudit, Replica], None]:
    def observe(audit: PlatformAudit, replica: Replica) -> None:
        replica.order_arrivals += orders

    return observe


CUT_SHORT = output_of(JOB.item_ids()[0], EVENTS - 1)
DISTANT_S = 10 * ORDER_SPACING_S
PLANTED_BREACHES: dict[str, Callable[[PlatformAudit, Replica], None]] = {
    "a result that changes": _pages(
        _page(_result(0)), _page(_result(0, versions=[2, 3]))
    ),
    "an item listed twice": _pages(_page(_result(0), _result(0))),
    "an item of another job": _pages(_page(_result(0, id="other"))),
    "an output that is cut short": _pages(_page(_result(0, output=CUT_SHORT))),
    "an older version than allowed": _pages(_page(_result(0, versions=[1, 2]))),
    "an item lost before the end": _pages(_page(_result(0, state="lost"))),
    "a wrong total": _pages(_page(_result(0), total=3)),
    "a booking that ran twice": _booking(200, 2),
    "a refused booking that ran": _booking(503, 1),
    "an answered booking that did not run": _booking(200, 0),
    "another's answer to a booking": _booking(200, 1, b"answer to c"),
    "orders of two holders too close": _orders((1.0, "a", 1), (1.1, "b", 2)),
    "orders of two holders with one fence": _orders((1.0, "a", 1), (DISTANT_S, "b", 1)),
}


def _run_audit(
    context: Context, *observations: Callable[[PlatformAudit, Replica], None]
) -> None:
    context.audit = PlatformAudit(EVENTS)
    replica = Replica("r")
    for observe in observations:
        observe(context.audit, replica)
    context.audit.check_runs_and_orders([replica], ORDER_SPACING_S)


@when("the audit sees correct results, bookings and orders")
def step_correct(context: Context) -> None:
    _run_audit(
        context,
        _pages(_page(_result(0)), _page(_result(0), _result(1))),
        _booking(200, 1),
        _orders((1.0, "a", 1), (1.1, "a", 1), (DISTANT_S, "b", 2)),
    )


@then("it reports no breach")
def step_no_breach(context: Context) -> None:
    assert not context.audit.breaches, context.audit.breaches


@when("the audit sees {breach}")
def step_planted(context: Context, breach: str) -> None:
    _run_audit(context, PLANTED_BREACHES[breach])


@then('it reports a breach with "{words}"')
def step_reported(context: Context, words: str) -> None:
    breaches = context.audit.breaches
    assert any(words in breach for breach in breaches), breaches
