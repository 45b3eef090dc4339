"""features.steps.ejection_steps: replicas that fail part of their requests."""

from concurrent.futures import ThreadPoolExecutor
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from features.support.ejection_fleet import EjectionFleet
from greengagetack.replicas.ejection import Outcomes, may_eject, should_eject
from greengagetack.replicas.ejections import LIFETIME_S, ReplicaEjected
from standins.platform_cluster import LOOKUP_PREFIX, wait_for


@when(
    "{failures:d} of the last {requests:d} requests to a replica failed, at rates "
    "{others} of the others"
)
def step_failed(context: Context, failures: int, requests: int, others: str) -> None:
    outcomes = Outcomes()
    for number in range(requests):
        outcomes.record(100.0, number < failures)
    rate = outcomes.rate(100.0)
    rates = [rate or 0.0, *(float(other) for other in others.split())]
    context.is_ejected = should_eject(rate, rates)


@then("the replica is ejected: {ejected}")
def step_is_ejected(context: Context, ejected: str) -> None:
    assert context.is_ejected == (ejected == "yes")


@when("{ejected:d} of {listed:d} replicas are ejected")
def step_count(context: Context, ejected: int, listed: int) -> None:
    context.may_eject = may_eject(ejected, listed)


@then("another one may be ejected: {may}")
def step_may(context: Context, may: str) -> None:
    assert context.may_eject == (may == "yes")


@given(
    "{daemons:d} daemons that send {rate:d} requests a second each to {replicas:d} "
    "replicas"
)
def step_fleet(context: Context, daemons: int, rate: int, replicas: int) -> None:
    context.ejection_fleet = EjectionFleet(daemons, replicas, rate)


@when("replica r1 {fault} from {first:d} to {last:d} s of {end:d} s")
def step_fault(context: Context, fault: str, first: int, last: int, end: int) -> None:
    context.ejection_fleet.run(fault, first, last, end)


@then("all daemons send it no requests but probes from {first:d} to {last:d} s")
def step_all_ejected(context: Context, first: int, last: int) -> None:
    fleet: EjectionFleet = context.ejection_fleet
    missing = [
        (second, daemon.number)
        for second in range(first, last)
        for daemon in fleet.daemons
        if (second, daemon.number, "r1") not in fleet.ejected
    ]
    # A daemon whose probes pass by chance ends its own ejection for a short time.
    assert len(missing) <= 0.1 * (last - first) * len(fleet.daemons), missing


@then("it gets at most {most:d} requests a second from {first:d} to {last:d} s")
def step_probes(context: Context, most: int, first: int, last: int) -> None:
    count = context.ejection_fleet.sent_to("r1", first, last)
    assert count <= most * (last - first), count


@then("it gets its share of the requests from {first:d} to {last:d} s")
def step_share(context: Context, first: int, last: int) -> None:
    fleet: EjectionFleet = context.ejection_fleet
    counts = [fleet.sent_to(f"r{n}", first, last) for n in range(1, fleet.replicas + 1)]
    assert counts[0] > 0.75 * sum(counts) / len(counts), counts


@then("no other replica is ejected")
def step_no_other(context: Context) -> None:
    names = {name for _, _, name in context.ejection_fleet.ejected}
    assert names == {"r1"}, names


@then("only daemon {number:d} has ejected it from {first:d} to {last:d} s")
def step_only(context: Context, number: int, first: int, last: int) -> None:
    fleet: EjectionFleet = context.ejection_fleet
    found = {n for second, n, _ in fleet.ejected if first <= second < last}
    assert found == {number}, found


@when("all daemons know that r1 is ejected, but none has seen it fail")
def step_known(context: Context) -> None:
    fleet: EjectionFleet = context.ejection_fleet
    with patch("time.monotonic", lambda: fleet.now_s):
        owner = fleet.daemons[0].facts
        owner.publish("r1/0", ReplicaEjected(0.5), LIFETIME_S)
    fleet.run("hangs", 0.0, 0.0, 15.0)


@then("they send it requests again after {limit:d} s")
def step_again(context: Context, limit: int) -> None:
    fleet: EjectionFleet = context.ejection_fleet
    assert fleet.sent_to("r1", 2, limit - 1) == 0
    assert fleet.sent_to("r1", limit + 2, limit + 5) > 0


@when("{count:d} lookups are sent to {first} and {second}, {parallel:d} at a time")
def step_lookups(
    context: Context, count: int, first: str, second: str, parallel: int
) -> None:
    with ThreadPoolExecutor(parallel) as pool:
        for number in range(count):
            edge = (first, second)[number % 2]
            pool.submit(_look_up, context, f"e{count}-{number}", edge)


def _look_up(context: Context, name: str, edge: str) -> int:
    headers = {"X-Request-Id": name, "X-Deadline-Ms": "1000"}
    path = f"{LOOKUP_PREFIX}{name}"
    return int(context.cluster.call(edge, "GET", path, None, headers).status)


@then("{first} and {second} have ejected {replica}")
def step_have_ejected(context: Context, first: str, second: str, replica: str) -> None:
    for edge in (first, second):

        def has_ejected(edge: str = edge) -> bool:
            lines = context.cluster.logs(edge)
            start = f"ejections: {replica} is ejected"
            return any(line["message"].startswith(start) for line in lines)

        wait_for(f"{edge} has ejected {replica}", has_ejected)


@then("at most {most:d} of the next {count:d} lookups at {edge} fail")
def step_fail_at_most(context: Context, most: int, count: int, edge: str) -> None:
    statuses = [_look_up(context, f"n{number}", edge) for number in range(count)]
    assert sum(status != 200 for status in statuses) <= most, statuses
