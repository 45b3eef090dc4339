"""features.steps.crashing_requests_steps: requests under which replicas end."""

import itertools
import threading
import time
from contextlib import suppress
from dataclasses import dataclass

from behave import given, then, when
from behave.runner import Context

from features.support.fact_fleet import FactFleet
from greengagetack.facts import FactTable
from greengagetack.gateway.crash_evidence import (
    PROBE_THRESHOLD,
    CrashEvidence,
    Standing,
)
from standins.platform_cluster import (
    BOOKING_PREFIX,
    CHAT_PREFIX,
    LOOKUP_PREFIX,
    Answer,
)
from standins.replica import MODEL

PREFIXES = {"lookup": LOOKUP_PREFIX, "booking": BOOKING_PREFIX, "chat": CHAT_PREFIX}
# Time for the daemons to learn of the third crash.
SPREAD_S = 3.0
SEND_INTERVAL_S = 0.3
OTHERS_INTERVAL_S = 0.05
# A client tries again this often, and within this time, after a refusal.
CLIENT_TRIES = 6
CLIENT_DEADLINE_S = 2.0
FINAL_STATUSES = range(400, 429)
LIFETIME_S = 600.0
_numbers = itertools.count()


@dataclass(frozen=True)
class Sent:
    """An answer to a request that was sent at a monotonic time."""

    sent_s: float
    elapsed_s: float
    answer: Answer


def _send(context: Context, edge: str, kind: str, name: str) -> Sent:
    headers = {"X-Request-Id": f"c{next(_numbers)}", "X-Deadline-Ms": "2000"}
    body = None
    if kind == "chat":
        headers["X-Model"] = MODEL
    if kind != "lookup":
        body = b"body of " + name.encode()
    method = "GET" if kind == "lookup" else "POST"
    path = f"{PREFIXES[kind]}{name}"
    started_s = time.monotonic()
    answer = context.cluster.call(edge, method, path, body, headers)
    return Sent(started_s, time.monotonic() - started_s, answer)


@when('{kind} "{name}" crashes each replica that runs it')
def step_crashes(context: Context, kind: str, name: str) -> None:
    for replica in context.cluster.replicas.values():
        replica.fault.crashing_paths.add(f"{PREFIXES[kind]}{name}")


@when('lookup "{name}" has its connections reset by each replica')
def step_resets(context: Context, name: str) -> None:
    for replica in context.cluster.replicas.values():
        replica.fault.reset_paths.add(f"{LOOKUP_PREFIX}{name}")


def _send_repeatedly(context: Context, kind: str, name: str, duration_s: float) -> None:
    until_s = time.monotonic() + duration_s
    context.sent = []
    for edge in itertools.cycle(sorted(context.cluster.edges)):
        if time.monotonic() > until_s:
            return
        # A daemon that was killed takes no requests.
        with suppress(ConnectionRefusedError):
            context.sent.append(_send(context, edge, kind, name))
        time.sleep(SEND_INTERVAL_S)


@when('{kind} "{name}" is sent again and again to all daemons for {duration:d} s')
def step_repeat(context: Context, kind: str, name: str, duration: int) -> None:
    _send_repeatedly(context, kind, name, duration)


@when(
    'lookup "{name}" is sent again and again to all daemons for {duration:d} s, '
    "beside others"
)
def step_repeat_beside(context: Context, name: str, duration: int) -> None:
    edges = sorted(context.cluster.edges)
    context.others = []
    threads = []
    until_s = time.monotonic() + duration

    def look_up(number: int) -> None:
        context.others.append(_try_as_client(context, edges, number))

    def send_others() -> None:
        for number in itertools.count():
            if time.monotonic() > until_s:
                return
            thread = threading.Thread(target=look_up, args=(number,))
            thread.start()
            threads.append(thread)
            time.sleep(OTHERS_INTERVAL_S)

    sender = threading.Thread(target=send_others)
    sender.start()
    _send_repeatedly(context, "lookup", name, duration)
    sender.join()
    for thread in threads:
        thread.join()


def _try_as_client(context: Context, edges: list[str], number: int) -> Sent:
    """Send a lookup at one daemon after the other until it is served or time is up."""
    started_s = time.monotonic()
    for attempt in range(CLIENT_TRIES):
        edge = edges[(number + attempt) % len(edges)]
        sent = _send(context, edge, "lookup", f"other-{number}")
        pause_s = float(sent.answer.headers.get("retry-after", "0"))
        is_late = time.monotonic() + pause_s > started_s + CLIENT_DEADLINE_S
        if sent.answer.status == 200 or sent.answer.status in FINAL_STATUSES or is_late:
            break
        time.sleep(pause_s)
    return Sent(started_s, time.monotonic() - started_s, sent.answer)


def _third_crash_s(context: Context) -> float:
    crashed_s = sorted(context.cluster.crashed_s)
    assert len(crashed_s) >= 3, f"only {len(crashed_s)} replicas crashed"
    return float(crashed_s[2])


def _arrived_s(context: Context, name: str) -> list[float]:
    return [
        at_s
        for replica in context.cluster.replicas.values()
        for path, at_s in replica.arrived_paths
        if path.endswith(f"/{name}")
    ]


@then(
    '"{name}" reached replicas at most {most:d} times later than {spread:d} s after '
    "the third crash"
)
def step_at_most(context: Context, name: str, most: int, spread: int) -> None:
    from_s = _third_crash_s(context) + spread
    late = [at_s for at_s in _arrived_s(context, name) if at_s > from_s]
    assert len(late) <= most, f"{len(late)} of {len(_arrived_s(context, name))}"


@then(
    "the last {count:d} of them were answered with {status:d} and code {code} within "
    "{limit:d} ms"
)
def step_last_answers(
    context: Context, count: int, status: int, code: str, limit: int
) -> None:
    for sent in context.sent[-count:]:
        assert sent.answer.status == status, sent
        assert sent.answer.json["error"]["code"] == code, sent
        assert sent.elapsed_s <= limit / 1000, sent


@then("the reason names the crashes, and no Retry-After is sent")
def step_reason(context: Context) -> None:
    answer = context.sent[-1].answer
    assert "3 replicas" in answer.json["error"]["reason"], answer
    assert "retry-after" not in answer.headers, answer


@then("no other lookup was answered with a final error")
def step_no_final(context: Context) -> None:
    final = [sent for sent in context.others if sent.answer.status in FINAL_STATUSES]
    assert not final, f"{len(final)}, first {final[0]}"


@then(
    "every other lookup was served that was sent later than {pause:d} s after the "
    "third crash"
)
def step_others_served(context: Context, pause: int) -> None:
    from_s = _third_crash_s(context) + pause
    later = [sent for sent in context.others if sent.sent_s > from_s]
    assert later, "no lookup was sent that late"
    failed = [sent for sent in later if sent.answer.status != 200]
    assert not failed, f"{len(failed)} of {len(later)}, first {failed[0]}"


@when('lookup "{name}" is sent {count:d} times, {pause:d} ms apart, to all daemons')
def step_send_times(context: Context, name: str, count: int, pause: int) -> None:
    edges = itertools.cycle(sorted(context.cluster.edges))
    context.sent = []
    for edge in itertools.islice(edges, count):
        context.sent.append(_send(context, edge, "lookup", name))
        time.sleep(pause / 1000)


@then("all {count:d} of them reached a replica")
def step_all_reached(context: Context, count: int) -> None:
    assert len(context.sent) == count
    reached = len(_arrived_s(context, "broken"))
    assert reached >= count, reached


@then("none of them was answered with {status:d}")
def step_none_answered(context: Context, status: int) -> None:
    answered = [sent for sent in context.sent if sent.answer.status == status]
    assert not answered, answered


# -- decisions


@given("no crash has been seen yet")
def step_no_crash(context: Context) -> None:
    context.evidence = CrashEvidence()
    context.now_s = 1_000.0


@when("these are seen: {events}")
def step_seen(context: Context, events: str) -> None:
    for event in events.split("; "):
        _see(context, event)


def _see(context: Context, event: str) -> None:
    evidence: CrashEvidence = context.evidence
    subject, _, what = event.partition(" ")
    context.now_s += 0.1
    if what.startswith("at "):
        for request in subject.split(","):
            replica = (what.removeprefix("at "), 1)
            evidence.record_break(request, replica, context.now_s)
    elif what == "ends":
        evidence.record_end((subject, 1), context.now_s)
    elif what == "leaves":
        evidence.record_leave((subject, 1))
    elif what == "is answered":
        evidence.record_answer(subject, context.now_s)
    else:
        assert what == "s pass", what
        context.now_s += float(subject)
        evidence.expire(context.now_s)


@then("{blocked} are blocked, and {suspects} may run alone only")
def step_found(context: Context, blocked: str, suspects: str) -> None:
    standings = {name: context.evidence.standing(name) for name in "abc"}
    found = [name for name, standing in standings.items() if standing.is_blocked]
    limited = [
        name
        for name, standing in standings.items()
        if standing.crashes >= PROBE_THRESHOLD and not standing.is_blocked
    ]
    assert ",".join(found) == blocked.replace("none", ""), standings
    assert ",".join(limited) == suspects.replace("none", ""), standings


@when(
    "{count:d} other requests each break off at {crashes:d} replicas that end, "
    "{size:d} at a replica"
)
def step_flood(context: Context, count: int, crashes: int, size: int) -> None:
    for first in range(0, count, size):
        for crash in range(crashes):
            replica = (f"flooded-{first}-{crash}", 1)
            for number in range(first, first + size):
                context.evidence.record_break(f"f{number}", replica, context.now_s)
            context.evidence.record_end(replica, context.now_s)


@then("a is blocked, and at most {most:d} requests are remembered")
def step_remembered(context: Context, most: int) -> None:
    evidence: CrashEvidence = context.evidence
    assert evidence.standing("a").is_blocked
    assert evidence.size() <= most, evidence.size()


# -- spread


@given("{count:d} daemons that ping the owner of the facts each second")
def step_fact_fleet(context: Context, count: int) -> None:
    context.fact_fleet = FactFleet(count)


@when("the owner publishes {count:d} facts within 1 s, and {event}")
def step_publish(context: Context, count: int, event: str) -> None:
    context.fact_fleet.run(count, event)


@then("every daemon knows all of them within {limit:d} s")
def step_all_know(context: Context, limit: int) -> None:
    late_s = context.fact_fleet.known_after_s()
    assert late_s <= limit, late_s


@then("no daemon gets more than 10 KB in a second")
def step_bytes(context: Context) -> None:
    most = context.fact_fleet.most_bytes
    assert most <= 10_000, most


@when("{period:d} s pass without a ping")
def step_pass(context: Context, period: int) -> None:
    context.fact_fleet.wait(period)


@then("no daemon knows any of them")
def step_none_known(context: Context) -> None:
    assert not any(context.fact_fleet.known_counts())


STANDINGS = {
    "blocked": Standing(3, True, True),
    "suspected": Standing(2, True, False),
}


@given("a saved fact that a request is {saved}")
def step_saved(context: Context, saved: str) -> None:
    former = FactTable("former", lambda: True)
    former.publish("key", STANDINGS[saved], LIFETIME_S)
    context.saved = former.current()


@when("a new owner publishes that the request is {seen}, and loads what was saved")
def step_load(context: Context, seen: str) -> None:
    context.owner = FactTable("owner", lambda: True)
    if seen in STANDINGS:
        context.owner.publish("key", STANDINGS[seen], LIFETIME_S)
    elif seen == "answered":
        context.owner.publish("key", STANDINGS["suspected"], LIFETIME_S)
        context.owner.retract(Standing, "key")
    context.owner.restore(context.saved)


@then("all daemons know that the request is {known}")
def step_all_known(context: Context, known: str) -> None:
    follower = FactTable("follower", lambda: False)
    learnt: dict[str, Standing | None] = {}
    follower.subscribe(Standing, learnt.__setitem__)
    follower.apply(context.owner.update_after(follower.cursor))
    assert learnt.get("key") == STANDINGS.get(known), learnt
