"""features.steps.platform_steps: the platform's daemons, run as processes."""

import http.client
import json
import socket
import threading
import time
from collections import Counter
from typing import Any

from behave import given, then, when
from behave.runner import Context

from standins.platform_cluster import (
    BOOKING_PREFIX,
    CHAT_PREFIX,
    ENGINE_SERVICE,
    HOST_NAME,
    JOBS_PREFIX,
    LOOKUP_PREFIX,
    PLAIN_SERVICE,
    STREAM_PREFIX,
    PlatformCluster,
    Submission,
    wait_for,
)
from standins.replica import MODEL, output_of, seal_of

SENDER_TIMEOUT_S = 2.0
MANY_EVENTS = 1_000


def _cluster(context: Context) -> PlatformCluster:
    return context.cluster


def _start(context: Context) -> PlatformCluster:
    cluster = PlatformCluster()
    context.cluster = cluster
    context.submissions = {}
    context.longest_submission_s = 0.0
    context.read_results = {}
    context.answers = {}
    context.add_cleanup(cluster.close)
    return cluster


@given("a platform with {engines:d} engines and {daemons:d} daemons")
def step_engines(context: Context, engines: int, daemons: int) -> None:
    cluster = _start(context)
    for number in range(1, engines + 1):
        cluster.add_replica(f"engine-{number}", events=8)
    cluster.start_edges(daemons)
    wait_for("a daemon runs the jobs", lambda: cluster.dispatcher() != "")


@given(
    "a platform with {engines:d} engines of {tokens:d} tokens and {daemons:d} daemons"
)
def step_small_engines(
    context: Context, engines: int, tokens: int, daemons: int
) -> None:
    cluster = _start(context)
    cluster.memory_tokens = tokens
    cluster.configure(2)
    for number in range(1, engines + 1):
        cluster.add_replica(f"engine-{number}", events=30)
    cluster.start_edges(daemons)


@then("the log of {edge} has at most {limit:d} lines about moved runs")
def step_moves(context: Context, edge: str, limit: int) -> None:
    lines = [line["message"] for line in _cluster(context).logs(edge)]
    moved = [line for line in lines if "moved from a slow" in line]
    assert 0 < len(moved) <= limit, len(moved)


@given("a platform with {replicas:d} plain replicas and {daemons:d} daemons")
def step_plain(context: Context, replicas: int, daemons: int) -> None:
    cluster = _start(context)
    for number in range(1, replicas + 1):
        cluster.add_replica(f"plain-{number}", PLAIN_SERVICE)
    cluster.start_edges(daemons)
    wait_for("a daemon runs the jobs", lambda: cluster.dispatcher() != "")


@given("a platform without a configuration and 1 daemons")
def step_no_configuration(context: Context) -> None:
    cluster = _start(context)
    cluster.run_on_loop(lambda: cluster.store.remove("config", "main"))
    cluster.start_edge("edge-1")
    wait_for("edge-1 registers", lambda: bool(cluster.store.names("members")))


@given("the engines send an event every {pause:d} ms")
@given("the plain replicas take {pause:d} ms")
def step_event_interval(context: Context, pause: int) -> None:
    for replica in _cluster(context).replicas.values():
        replica.event_s = pause / 1000


@given("replica {older} lists version 2 and {newer} serves it, but {same} does not")
def step_listed_newer(context: Context, older: str, newer: str, same: str) -> None:
    cluster = _cluster(context)
    for name in (older, newer):
        cluster.replicas[name].version = 2
        cluster.list_replica(name)
    cluster.replicas[older].version = 1


@given("replicas {names} serve version 2 and are {factor:d} times slower")
def step_newer_and_slow(context: Context, names: str, factor: int) -> None:
    cluster = _cluster(context)
    for name in names.split(" and "):
        cluster.replicas[name].version = 2
        cluster.replicas[name].fault.slowdown_factor = float(factor)
        cluster.list_replica(name)


@then('no run of "{job}" was moved more than once')
def step_not_moved(context: Context, job: str) -> None:
    lines = [
        line
        for edge in _cluster(context).edges
        for line in _cluster(context).logs(edge)
        if line["message"] == "dispatch: run moved from a slow replica"
    ]
    # One move is allowed, to a replica whose speed has not been measured yet.
    moved = Counter(
        line["request_id"] for line in lines if line["request_id"].startswith(f"{job}-")
    )
    assert max(moved.values(), default=0) <= 1, moved


@then("no item ran to its end at replica {name}")
def step_none_ended(context: Context, name: str) -> None:
    replica = _cluster(context).replicas[name]
    begun = {request_id for request_id, _, _ in replica.arrivals}
    assert begun, "no item was sent to the replica, so nothing was tested"
    assert begun <= set(replica.interrupted_ids), begun - set(replica.interrupted_ids)


# -- jobs


def _submit(context: Context, submission: Submission, edge: str) -> None:
    context.submissions[submission.job_id] = submission
    started_s = time.monotonic()
    answer = _cluster(context).submit(edge, submission)
    took_s = time.monotonic() - started_s
    context.longest_submission_s = max(context.longest_submission_s, took_s)
    assert answer.status == 202, (answer.status, answer.body)


@when('job "{job}" with {groups:d} groups of {size:d} is submitted at {edge}')
def step_submit(context: Context, job: str, groups: int, size: int, edge: str) -> None:
    _submit(context, Submission(job, groups, size), edge)


@when(
    '{count:d} jobs "{job}" with {groups:d} groups of {size:d} are submitted at {edge}'
)
def step_submit_many(
    context: Context, count: int, job: str, groups: int, size: int, edge: str
) -> None:
    for number in range(1, count + 1):
        _submit(context, Submission(f"{job}{number}", groups, size), edge)


@when(
    'job "{job}" with {groups:d} groups of {size:d} and oldest version {version:d} '
    "is submitted at {edge}"
)
def step_submit_version(
    context: Context, job: str, groups: int, size: int, version: int, edge: str
) -> None:
    _submit(context, Submission(job, groups, size, version), edge)


@when('the items of "{job}" are submitted again as job "{later}"')
def step_submit_again(context: Context, job: str, later: str) -> None:
    cluster = _cluster(context)
    original: Submission = context.submissions[job]
    body = json.loads(original.body())
    headers = {"X-Request-Id": later}
    path = f"{JOBS_PREFIX}{later}"
    answer = cluster.call("edge-1", "POST", path, json.dumps(body).encode(), headers)
    assert answer.status == 202, answer
    context.submissions[later] = original


@then("no submission took longer than {limit:d} ms")
def step_submission_time(context: Context, limit: int) -> None:
    assert context.longest_submission_s < limit / 1000, context.longest_submission_s


def _is_complete(context: Context, job: str, edge: str) -> bool:
    submission: Submission = context.submissions[job]
    results = _cluster(context).all_results(edge, job)
    return len(results) == len(submission.item_ids())


@then('job "{job}" completes at {edge}')
def step_complete(context: Context, job: str, edge: str) -> None:
    if edge == "a running daemon":
        edge = _running_daemons(_cluster(context))[0]
    wait_for(f"{job} is complete", lambda: _is_complete(context, job, edge))
    context.completed_at = edge
    listed = [r["id"] for r in _cluster(context).all_results(edge, job)]
    expected = context.submissions[job].item_ids()
    assert sorted(listed) == sorted(expected), listed


def _running_daemons(cluster: PlatformCluster) -> list[str]:
    return [name for name, process in cluster.edges.items() if process.running]


@then('job "{job}" has the same results at every daemon')
def step_same(context: Context, job: str) -> None:
    cluster = _cluster(context)
    copies = [cluster.all_results(edge, job) for edge in _running_daemons(cluster)]
    assert all(copy == copies[0] for copy in copies), copies


@then('every result of "{job}" is its item\'s complete output')
def step_outputs(context: Context, job: str) -> None:
    cluster = _cluster(context)
    events = next(iter(cluster.replicas.values())).events
    for result in cluster.all_results(context.completed_at, job):
        assert result["state"] == "completed", result
        assert result["output"] == output_of(result["id"], events), result


@when('{count:d} results of "{job}" have been read at {edge}')
def step_read(context: Context, count: int, job: str, edge: str) -> None:
    cluster = _cluster(context)

    def has_enough() -> bool:
        context.read_results[job] = cluster.all_results(edge, job)
        return len(context.read_results[job]) >= count

    wait_for(f"{count} results", has_enough)


@then('the results of "{job}" that were read have kept their positions')
def step_positions(context: Context, job: str) -> None:
    read = context.read_results[job]
    now = _cluster(context).all_results(context.completed_at, job)
    assert now[: len(read)] == read, (read, now)


@when("all daemons are killed and started again")
def step_kill_all(context: Context) -> None:
    cluster = _cluster(context)
    for process in cluster.edges.values():
        process.kill()
    cluster.start_edges(len(cluster.edges))


@when("the daemon that runs the jobs is killed")
def step_kill_dispatcher(context: Context) -> None:
    cluster = _cluster(context)
    context.former_dispatcher = cluster.dispatcher()
    cluster.edges[context.former_dispatcher].kill()


@when("the daemon that runs the jobs is asked to stop")
def step_stop_dispatcher(context: Context) -> None:
    cluster = _cluster(context)
    context.former_dispatcher = cluster.dispatcher()
    code = cluster.edges[context.former_dispatcher].terminate()
    assert code == 0, code


@then("another daemon runs the jobs")
def step_other_dispatcher(context: Context) -> None:
    cluster = _cluster(context)
    wait_for(
        "another daemon runs the jobs",
        lambda: cluster.dispatcher() not in ("", context.former_dispatcher),
    )


@when('an item of "{job}" has sent {count:d} events')
def step_sent(context: Context, job: str, count: int) -> None:
    cluster = _cluster(context)

    def has_sent() -> bool:
        return any(
            request_id.startswith(f"{job}-") and number >= count
            for replica in cluster.replicas.values()
            for request_id, number in replica.sent_events.copy().items()
        )

    wait_for(f"an item has sent {count} events", has_sent)
    pace_s = next(iter(cluster.replicas.values())).event_s
    time.sleep(pace_s / 2)


def _arrivals(cluster: PlatformCluster, job: str) -> list[tuple[str, str, int]]:
    prefix = f"{job}-"
    return [
        arrival
        for replica in cluster.replicas.values()
        for arrival in replica.arrivals
        if arrival[0].startswith(prefix)
    ]


@then('at least {count:d} items of "{job}" were resumed from a later event')
def step_resumed(context: Context, count: int, job: str) -> None:
    resumed = {item for item, after, _ in _arrivals(_cluster(context), job) if after}
    assert len(resumed) >= count, resumed


@then('no item of "{job}" ran from its start more than once')
def step_once(context: Context, job: str) -> None:
    started = [
        item for item, after, _ in _arrivals(_cluster(context), job) if not after
    ]
    assert len(started) == len(set(started)), started


@then('item "{item}" of "{job}" is lost')
def step_lost(context: Context, item: str, job: str) -> None:
    results = _cluster(context).all_results("edge-1", job)
    states = {result["id"]: result["state"] for result in results}
    assert states[item] == "lost", states


@then('item "{item}" reached the engines {count:d} times')
@then('"{item}" reached the replicas {count:d} times')
def step_reached(context: Context, item: str, count: int) -> None:
    arrivals = [
        arrival
        for replica in _cluster(context).replicas.values()
        for arrival in replica.arrivals
        if arrival[0] == item
    ]
    assert len(arrivals) == count, arrivals


@when('job "{job}" is ended at {edge}')
@then('ending "{job}" at {edge} is confirmed again')
def step_end(context: Context, job: str, edge: str) -> None:
    answer = _cluster(context).call(edge, "DELETE", f"/lots/{job}")
    assert answer.status == 200, answer


@then('no item of "{job}" reaches an engine any more')
def step_no_more_items(context: Context, job: str) -> None:
    cluster = _cluster(context)
    time.sleep(0.5)
    before = len(_arrivals(cluster, job))
    time.sleep(1.0)
    assert len(_arrivals(cluster, job)) == before


@then('the body of item "{item}" of "{job}" is read at {edge}')
def step_body(context: Context, item: str, job: str, edge: str) -> None:
    answer = _cluster(context).call(edge, "GET", f"/items/{job}?id={item}")
    assert answer.status == 200, answer
    assert answer.body == b"body of " + item.encode(), answer


@then('no result of "{job}" names a version below {version:d}')
def step_versions(context: Context, job: str, version: int) -> None:
    for result in _cluster(context).all_results(context.completed_at, job):
        assert result["versions"] and min(result["versions"]) >= version, result


def _submission_with(fault: str) -> tuple[bytes, str]:
    submission = json.loads(Submission("bad", 1, 2, has_rewards=True).body())
    items = submission["items"]
    scorer = items[0]["scorer"]
    if fault == "no JSON":
        return b'{"items": [', "bad"
    if fault == "no items":
        submission["items"] = []
    if fault == "an item twice":
        items[1] = items[0]
    if fault == "a body without base64":
        items[0]["body"] = "%%%"
    if fault == "a path with a space":
        items[0]["path"] = "/jobs/a b"
    if fault == "a header with a break":
        items[0]["headers"]["X-Model"] = "m0\r\nX-Other: 1"
    if fault == "a scorer without id":
        del scorer["id"]
    if fault == "a scorer without host":
        scorer["host"] = ""
    if fault == "a scorer without path":
        scorer["path"] = ""
    if fault == "a scorer body without base64":
        scorer["body"] = "%%%"
    if fault == "a scorer path with a space":
        scorer["path"] = "/reward/a b"
    if fault == "a scorer identifier twice":
        scorer["id"] = items[1]["scorer"]["id"]
    if fault == "a scorer that is text":
        items[0]["scorer"] = "r1"
    job_id = "" if fault == "no identifier" else "bad"
    return json.dumps(submission).encode(), job_id


@when("a submission with {fault} arrives at {edge}")
def step_bad_submission(context: Context, fault: str, edge: str) -> None:
    body, job_id = _submission_with(fault)
    headers = {"X-Request-Id": job_id} if job_id else {}
    context.answer = _cluster(context).call(
        edge, "POST", f"{JOBS_PREFIX}bad", body, headers
    )


@then("it is answered with {status:d} and code {code}")
def step_coded(context: Context, status: int, code: str) -> None:
    assert context.answer.status == status, context.answer
    assert context.answer.json["error"]["code"] == code, context.answer


@then("the reason names {word}")
def step_reason(context: Context, word: str) -> None:
    assert word in context.answer.body.decode(), context.answer


@then("it is answered with {status:d}")
def step_status(context: Context, status: int) -> None:
    assert context.answer.status == status, context.answer


@then("the store has no object of kind {kind}")
def step_no_objects(context: Context, kind: str) -> None:
    assert _cluster(context).store.names(kind) == []


@then('reading job "{job}" at {edge} is answered with {status:d}')
def step_read_status(context: Context, job: str, edge: str, status: int) -> None:
    answer = _cluster(context).read_results(edge, job)
    assert answer.status == status, answer


@then('submitting job "{job}" at {edge} is not answered with a success')
def step_not_accepted(context: Context, job: str, edge: str) -> None:
    answer = _cluster(context).submit(edge, Submission(job, 1, 1))
    assert answer.status >= 500, answer


# -- faults of the store


@when("the platform's store {fault}")
def step_store_fault(context: Context, fault: str) -> None:
    cluster = _cluster(context)
    store_fault = cluster.store.fault
    if fault == "works":
        return
    if fault == "goes silent":
        store_fault.mode = "silent"
        return
    if fault == "tells watches nothing":
        store_fault.suppress_events = True
        return
    if fault == "forgets its history":
        cluster.run_on_loop(cluster.store.forget_history)
        return
    if fault == "refuses the daemon that runs the jobs":
        store_fault.refused_ips.add(cluster.ip_of(cluster.dispatcher()))
        return
    words = fault.split()
    if words[:4] == ["refuses", "all", "daemons", "but"]:
        refused = [name for name in cluster.edges if name != words[4]]
        store_fault.refused_ips.update(cluster.ip_of(name) for name in refused)
        time.sleep(0.5)
        return
    if words[0] == "loses":
        store_fault.lose_answers = int(words[4])
        return
    if words[0] == "carries":
        store_fault.late_writes = int(words[1])
        return
    assert words[0] == "is", fault
    store_fault.mode = words[1]
    time.sleep(float(words[3]))
    store_fault.mode = "up"


# -- faults of replicas


@when("replica {name} {fault}")
def step_replica_fault(context: Context, name: str, fault: str) -> None:
    cluster = _cluster(context)
    replica = cluster.replicas[name]
    words = fault.split()
    if words[0] == "breaks":
        replica.fault.break_after = int(words[5])
    elif fault == "goes silent":
        replica.fault.silent = True
    elif fault == "announces that it leaves":
        replica.fault.leaving = True
    elif words[:2] == ["names", "limit"]:
        replica.fault.rate_limit = words[2]
    elif fault == "names no limit":
        replica.fault.rate_limit = ""
    elif fault == "refuses everything":
        replica.slots = 0
    elif fault == "refuses everything but one run":
        replica.slots = 1
    elif fault == "has another identifier now":
        replica.replica_id = "i-other"
    elif words[0] == "answers" and "failure" in words:
        replica.fault.failures = int(words[1])
    elif words[0] == "answers":
        replica.fault.foreign_answers = int(words[1])
    elif words[0] == "rejects":
        replica.fault.unprocessable_items.add(words[2].strip('"'))
    elif words[0] == "is" and words[2:] == ["times", "slower"]:
        replica.fault.slowdown_factor = float(words[1])
    elif words[0] == "leaves":
        replica.fault.late_orders = int(words[1])
    else:
        assert fault == "is listed as draining", fault
        cluster.list_replica(name, "draining")


# -- callers' requests


def _send(context: Context, prefix: str, request_id: str, edge: str) -> Any:
    headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "1000"}
    path = f"{prefix}{request_id}"
    answer = _cluster(context).call(edge, "POST", path, b"question", headers)
    context.answers[request_id] = answer
    return answer


@when('lookup "{request_id}" is sent to {edge}')
def step_lookup(context: Context, request_id: str, edge: str) -> None:
    started_s = time.monotonic()
    _send(context, LOOKUP_PREFIX, request_id, edge)
    context.took_s = time.monotonic() - started_s


@when('booking "{request_id}" is sent to {edge}')
def step_booking(context: Context, request_id: str, edge: str) -> None:
    _send(context, BOOKING_PREFIX, request_id, edge)


@then('"{request_id}" is answered with 200 and its replica\'s body')
def step_bytes(context: Context, request_id: str) -> None:
    answer = context.answers[request_id]
    assert answer.status == 200, answer
    assert answer.body == b"answer to " + request_id.encode(), answer
    assert answer.headers["x-response-seal"] == seal_of(request_id), answer
    assert answer.headers["x-request-id"] == request_id, answer


@then(
    '"{request_id}" is answered with {status:d} within {limit:d} ms and a Retry-After'
)
def step_refused(context: Context, request_id: str, status: int, limit: int) -> None:
    answer = context.answers[request_id]
    assert answer.status == status, answer
    assert 0 < float(answer.headers["retry-after"]) < 5, answer
    assert context.took_s < limit / 1000, context.took_s


@then('"{request_id}" is answered with {status:d}')
def step_answered(context: Context, request_id: str, status: int) -> None:
    assert context.answers[request_id].status == status, context.answers


@then("{count:d} lookups at {edge} are all answered with {status:d}")
def step_lookups(context: Context, count: int, edge: str, status: int) -> None:
    _all_answered(context, LOOKUP_PREFIX, count, edge, status)


@then("{count:d} bookings at {edge} are all answered with {status:d}")
def step_bookings(context: Context, count: int, edge: str, status: int) -> None:
    _all_answered(context, BOOKING_PREFIX, count, edge, status)


def _all_answered(
    context: Context, prefix: str, count: int, edge: str, status: int
) -> None:
    for number in range(count):
        request_id = f"n{number}"
        answer = _send(context, prefix, request_id, edge)
        assert answer.status == status, (request_id, answer)
        assert answer.body == b"answer to " + request_id.encode(), answer


@then('the log of {edge} shows "{request_id}" with code "{code}"')
def step_log(context: Context, edge: str, request_id: str, code: str) -> None:
    cluster = _cluster(context)

    def is_explained() -> bool:
        return any(
            line.get("request_id") == request_id and line.get("code") == code
            for line in cluster.logs(edge)
        )

    wait_for(f"a log line about {request_id}", is_explained, limit_s=3.0)


@when("a request for {path} of host {host} is sent to {edge}")
def step_path(context: Context, path: str, host: str, edge: str) -> None:
    headers = {"X-Request-Id": "p1", "Host": host}
    context.answer = _cluster(context).call(edge, "GET", path, headers=headers)


@then("{edge} is not ready")
def step_not_ready(context: Context, edge: str) -> None:
    assert not _cluster(context).is_ready(edge)


@when("a configuration with route {prefix} is written")
def step_configuration(context: Context, prefix: str) -> None:
    cluster = _cluster(context)
    cluster.configure(2, (prefix,))
    context.written_s = time.monotonic()
    # A store that suppresses watch events drops its history some time later.
    if cluster.store.fault.suppress_events:
        time.sleep(1.0)
        cluster.store.fault.suppress_events = False
        cluster.run_on_loop(cluster.store.forget_history)


@then("{prefix} is served at every daemon within {limit:d} ms")
def step_in_force(context: Context, prefix: str, limit: int) -> None:
    cluster = _cluster(context)

    def is_served() -> bool:
        return all(
            cluster.call(edge, "GET", prefix, headers={"X-Request-Id": "c1"}).status
            == 200
            for edge in cluster.edges
        )

    left_s = context.written_s + limit / 1000 - time.monotonic()
    wait_for(f"{prefix} is served", is_served, left_s)


@then("after {pause:d} ms no lookup reaches {name}")
def step_no_lookup(context: Context, pause: int, name: str) -> None:
    cluster = _cluster(context)
    time.sleep(pause / 1000)
    before = len(cluster.replicas[name].arrivals)
    for edge in cluster.edges:
        _all_answered(context, LOOKUP_PREFIX, 5, edge, 200)
    assert len(cluster.replicas[name].arrivals) == before


@when("invalid entries of replicas are written")
def step_unreadable(context: Context) -> None:
    cluster = _cluster(context)
    entries: list[Any] = [
        None,
        "bytes",
        {"service": PLAIN_SERVICE},
        {"service": PLAIN_SERVICE, "address": "nowhere", "zone": "z", "state": "ready"},
        {"service": ENGINE_SERVICE, "address": 7, "zone": "z", "state": "ready"},
        {
            "service": PLAIN_SERVICE,
            "address": "127.0.0.1:1",
            "zone": "z",
            "state": "odd",
        },
        {
            "service": PLAIN_SERVICE,
            "address": "127.0.0.1:1",
            "zone": "z",
            "state": "ready",
            "version": 7,
        },
    ]
    for number, entry in enumerate(entries):
        cluster.run_on_loop(
            lambda n=number, e=entry: cluster.store.put("servers", f"bad-{n}", e)
        )


@when(
    'a client sends lookup "{request_id}" to {edge} and disconnects after {pause:d} ms'
)
def step_disconnect(context: Context, request_id: str, edge: str, pause: int) -> None:
    address = _cluster(context)._addresses[edge]["front"]
    host, _, port = address.rpartition(":")
    head = (
        f"POST {LOOKUP_PREFIX}x HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"X-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n"
    )
    with socket.create_connection((host, int(port))) as client:
        client.sendall(head.encode())
        time.sleep(pause / 1000)


@then('the run of "{request_id}" is cancelled within {limit:d} ms')
def step_cancelled(context: Context, request_id: str, limit: int) -> None:
    replica = next(iter(_cluster(context).replicas.values()))
    wait_for(
        f"{request_id} is cancelled",
        lambda: request_id in replica.interrupted_ids,
        limit / 1000,
    )


@when('lookup "{request_id}" is in progress at {edge} and the daemon is asked to stop')
def step_in_progress(context: Context, request_id: str, edge: str) -> None:
    cluster = _cluster(context)
    sender = threading.Thread(
        target=_send, args=(context, LOOKUP_PREFIX, request_id, edge)
    )
    sender.start()
    wait_for(
        "the lookup runs",
        lambda: any(replica.arrivals for replica in cluster.replicas.values()),
    )
    context.exit_code = cluster.edges[edge].terminate()
    sender.join(SENDER_TIMEOUT_S)


@then("{edge} exits with code {code:d}")
def step_ends(context: Context, edge: str, code: int) -> None:
    assert _cluster(context).edges[edge].wait() == code


# -- streams


def _read_stream(
    context: Context, prefix: str, request_id: str, edge: str, max_events: int
) -> None:
    cluster = _cluster(context)
    connection = cluster.connect(edge)
    headers = {"Host": HOST_NAME, "X-Request-Id": request_id, "X-Model": MODEL}
    connection.request("POST", f"{prefix}{request_id}", b"prompt", headers)
    response = connection.getresponse()
    assert response.status == 200, response.status
    context.stream, context.is_broken = b"", False
    try:
        while context.stream.count(b"\n\n") < max_events:
            part = response.read1(1_024)
            if not part:
                break
            context.stream += part
    except (http.client.IncompleteRead, OSError):
        context.is_broken = True
    response.close()
    connection.close()


@when('a chat stream "{request_id}" is read at {edge}')
def step_chat(context: Context, request_id: str, edge: str) -> None:
    _read_stream(context, CHAT_PREFIX, request_id, edge, MANY_EVENTS)


@when('a plain stream "{request_id}" is read at {edge}')
def step_stream(context: Context, request_id: str, edge: str) -> None:
    _read_stream(context, STREAM_PREFIX, request_id, edge, MANY_EVENTS)


@when(
    'a client reads {max_events:d} events of chat stream "{request_id}" at {edge} '
    "and disconnects"
)
def step_disconnect_stream(
    context: Context, max_events: int, request_id: str, edge: str
) -> None:
    _read_stream(context, CHAT_PREFIX, request_id, edge, max_events)


def _events(context: Context, request_id: str) -> list[str]:
    blocks = context.stream.decode().split("\n\n")[:-1]
    data = [line for block in blocks for line in block.split("\n") if "data:" in line]
    return [line.removeprefix("data: ") for line in data]


@then('stream "{request_id}" is complete, each event once')
def step_stream_complete(context: Context, request_id: str) -> None:
    events = next(iter(_cluster(context).replicas.values())).events
    expected = output_of(request_id, events).split("\n")
    assert _events(context, request_id) == expected, context.stream
    assert not context.is_broken


@then('"{request_id}" was resumed from a later event')
def step_stream_resumed(context: Context, request_id: str) -> None:
    arrivals = [
        arrival
        for replica in _cluster(context).replicas.values()
        for arrival in replica.arrivals
        if arrival[0] == request_id
    ]
    assert any(after for _, after, _ in arrivals), arrivals


@then('stream "{request_id}" breaks after {count:d} complete events')
def step_stream_broken(context: Context, request_id: str, count: int) -> None:
    assert context.is_broken, context.stream
    assert len(_events(context, request_id)) == count, context.stream
    assert context.stream.endswith(b"\n\n"), context.stream


# -- weights


@when("version {version:d} is named")
def step_named(context: Context, version: int) -> None:
    _cluster(context).name_version(version)


@when("every engine serves version {version:d}")
@then("every engine serves version {version:d}")
def step_serves(context: Context, version: int) -> None:
    replicas = _cluster(context).replicas.values()
    wait_for(
        f"version {version} everywhere",
        lambda: all(replica.version == version for replica in replicas),
    )


def _orders(context: Context) -> list[list[tuple[str, int, int]]]:
    return [replica.orders for replica in _cluster(context).replicas.values()]


@then("all orders came from one holder")
def step_one_holder(context: Context) -> None:
    holders = {
        (holder, fence) for orders in _orders(context) for holder, fence, _ in orders
    }
    assert len(holders) == 1, holders


@then("no engine got the same version twice")
def step_no_double(context: Context) -> None:
    for orders in _orders(context):
        versions = [version for _, _, version in orders]
        assert len(versions) == len(set(versions)), orders


@then("fencing tokens never decreased")
def step_fencing(context: Context) -> None:
    for orders in _orders(context):
        fences = [fence for _, fence, _ in orders]
        assert fences == sorted(fences), orders
        holders_of = {}
        for holder, fence, _ in orders:
            assert holders_of.setdefault(fence, holder) == holder, orders
