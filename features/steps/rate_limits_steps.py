"""features.steps.rate_limits_steps: limits that replicas name, over all daemons."""

import random
import threading
import time

from behave import given, then, when
from behave.runner import Context

from features.support.limited_fleet import LimitedFleet, most_in_window
from greengagetack.coordination.client import PeerClient
from greengagetack.facts import FactTable
from greengagetack.gateway.backlog import suggested_retry_s
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.permits import Permits, RateLimit
from greengagetack.replicas.replica import Replica, ReplicaState
from greengagetack.world import Address
from standins.platform_cluster import LOOKUP_PREFIX

WINDOW_S = 4.0


@when("{rate:d} lookups a second are sent to all daemons for {duration:d} s")
def step_lookups(context: Context, rate: int, duration: int) -> None:
    cluster = context.cluster
    context.lookups = []
    threads = []

    def look_up(edge: str, request_id: str) -> None:
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "1500"}
        started_s = time.monotonic()
        answer = cluster.call(
            edge, "GET", f"{LOOKUP_PREFIX}{request_id}", headers=headers
        )
        context.lookups.append((answer, time.monotonic() - started_s))

    edges = sorted(cluster.edges)
    first = sum(len(replica.arrivals) for replica in cluster.replicas.values())
    for number in range(rate * duration):
        edge = edges[number % len(edges)]
        request_id = f"l{first}-{number}"
        thread = threading.Thread(target=look_up, args=(edge, request_id))
        thread.start()
        threads.append(thread)
        time.sleep(1 / rate)
    for thread in threads:
        thread.join()


@then("at most {count:d} requests reached {name} within any 4 s")
def step_in_window(context: Context, count: int, name: str) -> None:
    arrived_s = [at_s for _, at_s in context.cluster.replicas[name].arrived_s]
    most = most_in_window(arrived_s, WINDOW_S)
    assert most <= count, f"{most} of {len(arrived_s)} requests within 4 s"


@then("at least {count:d} lookups were answered with 200")
def step_served(context: Context, count: int) -> None:
    served = [answer for answer, _ in context.lookups if answer.status == 200]
    assert len(served) >= count, f"{len(served)} of {len(context.lookups)}"


@then("every other lookup was answered with 503 within {limit:d} ms and a Retry-After")
def step_refused(context: Context, limit: int) -> None:
    for answer, elapsed_s in context.lookups:
        if answer.status == 200:
            continue
        assert answer.status == 503, answer
        assert elapsed_s <= limit / 1000, elapsed_s
        assert float(answer.headers["retry-after"]) > 0, answer


@then("the log of {edge} names the rate limit as a reason")
def step_log(context: Context, edge: str) -> None:
    reasons = [str(line.get("reason")) for line in context.cluster.logs(edge)]
    assert any("rate limit" in reason for reason in reasons), reasons


@given("{daemons:d} daemons that know of a limit of {limit:g} requests a second")
def step_limited_fleet(context: Context, daemons: int, limit: float) -> None:
    context.limit_per_s = limit
    context.limited = LimitedFleet(daemons, limit)


@when("{rate:d} requests a second arrive at them for {duration:d} s, with {events}")
def step_arrivals(context: Context, rate: int, duration: int, events: str) -> None:
    context.duration_s = duration
    context.limited.run(rate, duration, events)


@then("at most 1.5 times the limit and 5 requests are sent within any 4 s")
def step_sum_within_limit(context: Context) -> None:
    most = most_in_window(context.limited.sent_s, WINDOW_S)
    assert most <= 1.5 * context.limit_per_s * WINDOW_S + 5, most


@then("at least {share:g} of what the limit allows is sent")
def step_used_share(context: Context, share: float) -> None:
    sent = len(context.limited.sent_s)
    allowed = context.limit_per_s * context.duration_s
    assert sent >= share * allowed, f"{sent} of {allowed}"


@when("all replicas have no permit for {waits} ms")
def step_permit_waits(context: Context, waits: str) -> None:
    context.states = []
    for wait in [] if waits == "none" else waits.split(","):
        address = Address("10.0.0.1", 80)
        state = ReplicaState(Replica("r", "service", address, "zone", 4, False))
        state.rate_limited_until_s = 100.0 + int(wait) / 1000
        context.states.append(state)


@then("a refused caller is told to come back after {least:d} to {most:d} ms")
def step_come_back(context: Context, least: int, most: int) -> None:
    rng = random.Random(1)
    for _ in range(100):
        retry_s = suggested_retry_s(context.states, 100.0, rng)
        assert least <= retry_s * 1000 + 1e-6, retry_s
        assert retry_s * 1000 <= most + 1e-6, retry_s


def _list_start(context: Context, listed: str) -> None:
    if listed == "nothing":
        return
    started_ms = int(listed.removeprefix("start "))
    address = Address("10.0.0.1", 80)
    replica = Replica("r", "service", address, "zone", 4, False, (), started_ms)
    context.fleet.update([replica], [])


@given("a daemon that lists {listed}")
def step_listing(context: Context, listed: str) -> None:
    context.fleet = Fleet(lambda: float("-inf"))
    context.facts = FactTable("daemon", lambda: False)
    context.permits = Permits(
        context.fleet,
        PeerClient("daemon", lambda: None, list, tuple),
        context.facts,
        Metrics(),
    )
    context.owner_facts = FactTable("owner", lambda: True)
    _list_start(context, listed)


def _ping(context: Context) -> None:
    context.facts.apply(context.owner_facts.update_after(context.facts.cursor))


@when('the owner publishes a limit of {limit:d} for the start {start:d} of replica "r"')
def step_publish_limit(context: Context, limit: int, start: int) -> None:
    context.owner_facts.publish(f"r/{start}", RateLimit(float(limit)), 600.0)
    _ping(context)


@when("the daemon then lists {listed}")
def step_list_later(context: Context, listed: str) -> None:
    _list_start(context, listed)


@when("the published limit {end}")
def step_limit_end(context: Context, end: str) -> None:
    if end == "ends":
        context.owner_facts.retract(RateLimit, "r/1")
        _ping(context)


@then('the daemon knows {limit} for replica "r"')
def step_known_limit(context: Context, limit: str) -> None:
    expected = None if limit == "no limit" else float(limit)
    assert context.fleet.get("r").rate_limit_per_s == expected
