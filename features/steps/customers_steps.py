"""features.steps.customers_steps: customers, their keys and the jobs they own."""

import asyncio
import http.client
import json
import re
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import Any

import msgspec
from behave import given, then, when
from behave.runner import Context
from loguru import logger

from greengagetack.batches.job import Job
from greengagetack.batches.ledger import decode_job
from greengagetack.batches.priority import ItemSortKey, item_sort_key
from greengagetack.coordination.client import PeerClient
from greengagetack.coordination.messages import decode, encode
from greengagetack.errors import UnknownKey
from greengagetack.gateway.call import Call
from greengagetack.gateway.customer_metrics import CustomerMetrics
from greengagetack.gateway.customers import Customer, may_access
from greengagetack.gateway.detours import RelayedRequest
from greengagetack.gateway.retry import AttemptResult
from greengagetack.gateway.routes import Configuration, RouteTable
from greengagetack.objects.base import PlatformObject
from greengagetack.observability.metrics import Metrics
from greengagetack.platform.documents import decode_configuration
from greengagetack.platform.identity import identify, with_identity
from greengagetack.platform.replica import PlatformDialect
from greengagetack.replicas.replica import Replica
from greengagetack.world import Address
from standins.platform_cluster import (
    CHAT_PREFIX,
    HOST_NAME,
    JOBS_PREFIX,
    LOOKUP_PREFIX,
    PLAIN_SERVICE,
    PlatformCluster,
    Submission,
    wait_for,
)
from standins.replica import MODEL, output_of

EFFECT_LIMIT_S = 3.0
SOCKET_LIMIT_S = 5.0
RELAYED_MS = 2_000.0
# All keys of this feature's customers, which must not reach a replica or a log.
KEYS = ("acme-1", "acme-2", "acme-3", "zenith-1", "forged")
REPLICA = Replica("r1", "s", Address("10.0.0.1", 1), "zone-a", 8, False)


def _cluster(context: Context) -> PlatformCluster:
    return context.cluster


def _optional(text: str) -> str:
    return "" if text in ("none", "public") else text


# -- the decision alone


@given("a configuration with these customers")
def step_customers(context: Context) -> None:
    customers = tuple(
        Customer(
            row["name"],
            tuple(key.strip() for key in row["keys"].split(",") if key.strip()),
            int(row["priority"]) if row["priority"] else None,
        )
        for row in context.table
    )
    context.configuration = Configuration(1, (), customers=customers)
    context.route_table = RouteTable(context.configuration)


@when("a caller with keys {keys} calls a {kind} route")
def step_identify(context: Context, keys: str, kind: str) -> None:
    values = {"none": [], "an empty one": [b""], "bytes": [b"\xff\xfe"]}.get(
        keys, [key.strip().encode() for key in keys.split(",")]
    )
    headers = ((b"x-tenant", b"zenith"), *((b"x-api-key", v) for v in values))
    try:
        caller = identify(context.route_table.customers, headers, kind == "public")
        context.caller, context.urgency = caller.customer, caller.urgency
    except UnknownKey as error:
        context.caller, context.urgency = f"refused: {error.reason}", None
        assert not any(v and v.decode("latin-1") in error.reason for v in values)


@then("the caller is {caller} with urgency {urgency}")
def step_caller(context: Context, caller: str, urgency: str) -> None:
    expected_urgency = None if urgency == "none" else int(urgency)
    assert context.urgency == expected_urgency, context.urgency
    if caller.startswith("refused: "):
        assert context.caller.startswith("refused: "), context.caller
        assert caller.removeprefix("refused: ") in context.caller, context.caller
        return
    assert context.caller == _optional(caller), context.caller


@then("the caller is not identified")
def step_no_caller(context: Context) -> None:
    assert context.caller is None, context.caller


@when(
    "a replica request is built for customer {customer} with urgency {urgency} from "
    "{headers}"
)
def step_build(context: Context, customer: str, urgency: str, headers: str) -> None:
    pairs = [pair.partition(":") for pair in headers.split()]
    call = Call(
        "i",
        b"POST",
        b"/",
        tuple((name.encode(), value.encode()) for name, _, value in pairs),
        b"",
        customer=None if customer == "none" else _optional(customer),
        urgency=None if urgency == "none" else int(urgency),
    )
    context.built = _built_headers(call)


def _built_headers(call: Call) -> list[str]:
    """Return the headers of a replica request that come from the call."""
    request = PlatformDialect().build_request(call, REPLICA, None)
    return sorted(
        f"{name.decode()}:{value.decode()}"
        for name, value in request.headers
        if name not in (b"x-request-id", b"x-expect-instance")
    )


@then("it has the headers {headers}")
def step_built(context: Context, headers: str) -> None:
    assert context.built == sorted(headers.split()), context.built


@then("a caller {caller} {may} a job of {owner}")
def step_may(context: Context, caller: str, may: str, owner: str) -> None:
    customer = None if caller == "none" else _optional(caller)
    is_allowed = may_access("" if owner == "nobody" else owner, customer)
    assert is_allowed == (may == "may read")


@when("items {items} wait")
def step_wait(context: Context, items: str) -> None:
    customers = context.route_table.customers

    def sort_key(item: str) -> ItemSortKey:
        customer, _, due = item.rstrip("!").partition("/")
        name = "" if customer == "nobody" else customer
        rank = customers.rank_of(name)
        return item_sort_key(float(due), not item.endswith("!"), False, 1, rank)

    context.order = sorted(items.split(), key=sort_key)


@then("they are sent in the order {order}")
def step_order(context: Context, order: str) -> None:
    assert context.order == order.split(), context.order


@then("a stored job without a customer can be read by every known key")
def step_old_job(context: Context) -> None:
    job = Job("j1", "r", HOST_NAME, "s", 0, 0.0, 0.0, 1, 1, 1, customer="acme")
    value = msgspec.to_builtins(job)
    del value["customer"]
    older = decode_job(PlatformObject("jobs/j1", 1, "", value))
    assert older is not None and may_access(older.customer, "zenith"), older


@when("customers {tenants} are decoded")
def step_decode(context: Context, tenants: str) -> None:
    context.logged = []
    sink = logger.add(context.logged.append, level="DEBUG")
    context.add_cleanup(logger.remove, sink)
    value: dict[str, Any] = {"version": 1, "routes": []}
    if tenants != "absent":
        value["tenants"] = json.loads(tenants)
    context.decoded = decode_configuration(PlatformObject("config/main", 1, "", value))


@then("the decoded customers are {customers}")
def step_decoded(context: Context, customers: str) -> None:
    if customers == "not accepted":
        assert context.decoded is None, context.decoded
        return
    found = [
        f"{one.name}:{','.join(one.keys)}:{one.priority}"
        for one in context.decoded.customers
    ]
    assert found == ([] if customers == "none" else [customers]), found


@when("a directory of them is built")
def step_directory(context: Context) -> None:
    if context.decoded is not None:
        RouteTable(context.decoded)
        assert "secret" not in repr(context.decoded), context.decoded


@then("the log has {text} and no key")
def step_log(context: Context, text: str) -> None:
    lines = [str(message) + str(message.record["extra"]) for message in context.logged]
    assert any(text in line for line in lines), lines
    assert not any("secret" in line for line in lines), lines


def _send_counted(
    context: Context, counts: list[dict[str, int]], pause_s: float = 60.0
) -> None:
    """Count the requests of each round; rounds are `pause_s` apart."""
    now_s = 0.0
    context.metrics = Metrics()
    customer_metrics = CustomerMetrics(context.metrics, lambda: now_s)
    context.total = 0
    for round_counts in counts:
        for customer, count in round_counts.items():
            for _ in range(count):
                customer_metrics.add_request(customer)
                context.total += 1
        now_s += pause_s
    context.series = {
        name: float(value)
        for name, value in re.findall(
            r'customer_requests\{customer="([^"]+)"\} (\S+)',
            context.metrics.render().decode(),
        )
    }


@when(
    '{count:d} customers send 1 request each, "busy" sends 30 and {later:d} others '
    "send 9 a minute later"
)
def step_count(context: Context, count: int, later: int) -> None:
    first = {f"c{number}": 1 for number in range(count)} | {"busy": 30}
    second = {f"d{number}": 9 for number in range(later)} | {"busy": 1}
    _send_counted(context, [first, second, {"busy": 1}])


@when(
    "{count:d} customers send 9 requests each and {later:d} others send 9 a minute "
    "later"
)
def step_replace(context: Context, count: int, later: int) -> None:
    first = {f"c{number}": 9 for number in range(count)}
    second = {f"d{number}": 9 for number in range(later)}
    rounds = [first, *[second] * 20]
    _send_counted(context, rounds)


@then("the metrics have at most {limit:d} series of customer requests")
def step_bounded(context: Context, limit: int) -> None:
    assert len(context.series) <= limit, context.series


@then('"{name}" has a series of its own')
def step_own_series(context: Context, name: str) -> None:
    assert name in context.series, context.series


@then("no request is counted twice")
def step_sum(context: Context) -> None:
    assert sum(context.series.values()) <= context.total, context.series


@then("only the later ones have a series of their own")
def step_later(context: Context) -> None:
    own = [name for name in context.series if not name.startswith("(")]
    assert len(own) == 20, context.series
    assert all(name.startswith("d") for name in own), context.series


@then("a new version with the same customers keeps the directory")
def step_kept(context: Context) -> None:
    # A new version is decoded anew, so its customers are equal but not identical.
    copies = tuple(replace(one) for one in context.configuration.customers)
    newer = Configuration(2, (), customers=copies)
    table = RouteTable(newer, context.route_table)
    assert table.customers is context.route_table.customers


@then("a new version with a key added builds another one")
def step_rebuilt(context: Context) -> None:
    customers = tuple(
        replace(one, keys=(*one.keys, "added"))
        for one in context.configuration.customers
    )
    newer = Configuration(2, (), customers=customers)
    table = RouteTable(newer, context.route_table)
    assert table.customers.find("added") == customers[0]
    assert context.route_table.customers.find("added") is None


@then("a relayed request without a customer decodes to one that passes its headers")
def step_old_message(context: Context) -> None:
    request = RelayedRequest(
        "s", "r1", b"POST", b"/", (), b"", 1.0, False, None, (), None, "acme", 3
    )
    fields = decode(encode(request))
    del fields["customer"], fields["urgency"]
    older = decode(encode(fields), type=RelayedRequest)
    assert (older.customer, older.urgency) == (None, None), older
    newer = decode(encode(request), type=RelayedRequest)
    assert (newer.customer, newer.urgency) == ("acme", 3), newer


# -- detours


@given(
    "headers {headers} that a daemon received for customer {customer} with urgency "
    "{urgency:d}"
)
def step_received(context: Context, headers: str, customer: str, urgency: int) -> None:
    pairs = [pair.partition(":") for pair in headers.split()]
    received = tuple((name.encode(), value.encode()) for name, _, value in pairs)
    context.headers = with_identity(received, customer, urgency)


@when("a daemon that knows no customers builds the replica request")
def step_build_old(context: Context) -> None:
    call = Call("i", b"POST", b"/", context.headers, b"")
    context.built = _built_headers(call)


@given("their requests carry a key, are forged and belong to {customer} with urgency 2")
def step_forged(context: Context, customer: str) -> None:
    context.network.headers = (
        (b"x-api-key", b"acme-1"),
        (b"x-tenant", b"zenith"),
        (b"x-urgency-class", b"0"),
    )
    context.network.customer = customer
    context.network.urgency = 2


@then("requests were sent by way of another daemon")
def step_detoured(context: Context) -> None:
    assert context.network.detours_since(context.began_s) > 0


@then("every run had customer {customer}, urgency {urgency:d} and no key")
def step_run_headers(context: Context, customer: str, urgency: int) -> None:
    names = (b"x-api-key", b"x-tenant", b"x-urgency-class")
    expected = [(b"x-tenant", customer.encode()), (b"x-urgency-class", b"%d" % urgency)]
    for headers in context.network.run_headers:
        found = sorted(pair for pair in headers if pair[0] in names)
        assert found == expected, headers


@when('another daemon lets {edge} send request "{request_id}" of customer {customer}')
def step_relay(context: Context, edge: str, request_id: str, customer: str) -> None:
    name, _, urgency = customer.partition("/")
    headers = (
        (b"host", HOST_NAME.encode()),
        (b"x-api-key", b"acme-1"),
        (b"x-tenant", b"zenith"),
    )
    request = RelayedRequest(
        PLAIN_SERVICE,
        request_id,
        b"POST",
        f"{LOOKUP_PREFIX}{request_id}".encode(),
        headers,
        b"body",
        RELAYED_MS,
        False,
        None,
        (),
        None,
        _optional(name),
        int(urgency) if urgency else None,
    )
    address = Address.parse(_cluster(context).address_of(edge, "control"))

    async def relay() -> None:
        peer = PeerClient("test", lambda: None, list, tuple)
        answer, parts = await peer.send_relayed(address, request)
        assert answer.result is AttemptResult.ANSWERED, answer
        assert b"".join([part async for part in parts])

    asyncio.run(relay())


# -- over a daemon


def _configure(context: Context) -> None:
    """Write the next version and wait until every daemon has it."""
    cluster = _cluster(context)
    version = cluster.config_version + 1
    cluster.configure(version)
    context.written_s = time.monotonic()
    for edge in cluster.edges:
        wait_for(
            f"version {version} is in effect at {edge}",
            lambda edge=edge: any(
                line["message"] == "config: new version in force"
                and line["version"] == version
                for line in cluster.logs(edge)
            ),
        )


@given(
    'customers acme with keys "{keys}" and zenith with key "{key}" and priority '
    "{priority:d}"
)
def step_two_customers(context: Context, keys: str, key: str, priority: int) -> None:
    _cluster(context).customers = [
        {"name": "acme", "api_keys": keys.split()},
        {"name": "zenith", "api_keys": [key], "priority": priority},
    ]
    _configure(context)


@given("route {name} is public")
def step_public(context: Context, name: str) -> None:
    _cluster(context).public_routes.add(name)
    _configure(context)


@when('a new version gives acme the keys "{keys}"')
def step_rotate(context: Context, keys: str) -> None:
    cluster = _cluster(context)
    acme = {"name": "acme", "api_keys": keys.split()}
    cluster.customers = [acme, *cluster.customers[1:]]
    cluster.configure(cluster.config_version + 1)
    context.written_s = time.monotonic()


@when('clients send the key "{key}"')
def step_key(context: Context, key: str) -> None:
    _cluster(context).key = key


@when("{method} {path} is sent to {edge} with headers {headers}")
def step_send(
    context: Context, method: str, path: str, edge: str, headers: str
) -> None:
    pairs = dict(pair.split("=") for pair in headers.split(","))
    body = b"question" if method == "POST" else None
    context.answer = _cluster(context).call(
        edge, method, path, body, {"X-Request-Id": "q1", **pairs}
    )


@then("replicas saw {customer} with urgency {urgency}")
def step_saw(context: Context, customer: str, urgency: str) -> None:
    count, wrong = _cluster(context).judge_identities(
        "q1", _optional(customer), _optional(urgency)
    )
    assert not wrong, wrong
    assert (count == 0) == (customer == "nothing"), count


@then(
    'at least {least:d} requests "{prefix}" reached replicas as {customer} with '
    "urgency {urgency}"
)
def step_judged(
    context: Context, least: int, prefix: str, customer: str, urgency: str
) -> None:
    count, wrong = _cluster(context).judge_identities(
        prefix, customer, _optional(urgency)
    )
    assert not wrong, wrong
    assert count >= least, count


@then("no key reached a replica")
def step_no_key(context: Context) -> None:
    cluster = _cluster(context)
    assert cluster.leaked_keys(KEYS) == []
    for edge in cluster.edges:
        logged = [
            line
            for line in cluster.edges[edge].printed_lines()
            if any(f"{key}" in line for key in KEYS)
        ]
        assert not logged, logged
        if cluster.edges[edge].running:
            metrics = cluster.call(edge, "GET", "/metrics", listener="ready")
            assert metrics.status == 200, metrics
            assert not any(key.encode() in metrics.body for key in KEYS), metrics.body


@when('{count:d} lookups with key "{key}" are sent to {edge} at once')
def step_at_once(context: Context, count: int, key: str, edge: str) -> None:
    cluster = _cluster(context)

    def send(number: int) -> int:
        headers = {"X-Request-Id": f"n{number}", "X-Api-Key": key}
        path = f"{LOOKUP_PREFIX}n{number}"
        return cluster.call(edge, "POST", path, b"question", headers).status

    with ThreadPoolExecutor(count) as pool:
        context.statuses = list(pool.map(send, range(count)))


@then("all are answered with {status:d}")
def step_all(context: Context, status: int) -> None:
    assert set(context.statuses) == {status}, context.statuses


def _raw(context: Context, edge: str) -> socket.socket:
    host, _, port = _cluster(context).address_of(edge, "front").rpartition(":")
    return socket.create_connection((host, int(port)), timeout=SOCKET_LIMIT_S)


@when(
    "a request for {path} with an unknown key and an unfinished body arrives at {edge}"
)
def step_unfinished(context: Context, path: str, edge: str) -> None:
    _send_unfinished(context, edge, path, "X-Api-Key: forged\r\n", "begin")


@when("a request with an unknown key and the header Expect arrives at {edge}")
def step_expect(context: Context, edge: str) -> None:
    headers = "X-Api-Key: forged\r\nExpect: 100-continue\r\n"
    _send_unfinished(context, edge, f"{LOOKUP_PREFIX}u1", headers, "")


@then("it is not asked for its body")
def step_not_asked(context: Context) -> None:
    assert b"100 Continue" not in context.received, context.received
    assert b"connection: close" in context.received, context.received


def _send_unfinished(
    context: Context, edge: str, path: str, headers: str, body: str
) -> None:
    """Send a request without its whole body and read until the connection ends."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: u1\r\n"
        f"{headers}Content-Length: 1000000\r\n\r\n{body}"
    )
    with _raw(context, edge) as client:
        client.sendall(head.encode())
        started_s = time.monotonic()
        context.received = client.recv(65_536)
        context.took_s = time.monotonic() - started_s
        while part := client.recv(65_536):
            context.received += part


@then("it is refused with {status:d} within {limit:d} ms and its connection ends")
def step_refused_early(context: Context, status: int, limit: int) -> None:
    assert context.received.startswith(f"HTTP/1.1 {status} ".encode()), context.received
    assert context.took_s < limit / 1000, context.took_s
    assert b'"code":"unknown_key"' in context.received, context.received


@when('requests with keys "{keys}" are pipelined to {edge}')
def step_pipeline(context: Context, keys: str, edge: str) -> None:
    requests = b""
    names = keys.split()
    for number, key in enumerate(names):
        header = "" if key == "none" else f"X-Api-Key: {key}\r\n"
        requests += (
            f"POST {LOOKUP_PREFIX}{number} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"X-Request-Id: q{number}\r\n{header}Content-Length: 4\r\n\r\nbody"
        ).encode()
    with _raw(context, edge) as client:
        client.sendall(requests)
        received = b""
        while received.count(b"HTTP/1.1 ") < len(names):
            part = client.recv(65_536)
            assert part, received
            received += part
    found = re.findall(rb"HTTP/1\.1 (\d+) ", received)
    context.statuses = [int(status) for status in found]


@then('they are answered with "{statuses}" in this order')
def step_statuses(context: Context, statuses: str) -> None:
    assert context.statuses == [int(s) for s in statuses.split()], context.statuses


@when('a chat stream "{request_id}" is read with the key at {edge}')
def step_stream(context: Context, request_id: str, edge: str) -> None:
    headers = {"X-Request-Id": request_id, "X-Model": MODEL}
    path = f"{CHAT_PREFIX}{request_id}"
    answer = _cluster(context).call(edge, "POST", path, b"prompt", headers)
    assert answer.status == 200, answer


def _lookup(connection: http.client.HTTPConnection, key: str) -> int:
    headers = {"Host": HOST_NAME, "X-Request-Id": "k1", "X-Api-Key": key}
    connection.request("POST", f"{LOOKUP_PREFIX}k1", b"question", headers)
    response = connection.getresponse()
    response.read()
    assert not response.will_close
    return response.status


@when('a connection to each daemon sends lookups with key "{key}"')
def step_connections(context: Context, key: str) -> None:
    cluster = _cluster(context)
    context.connections = [cluster.connect(edge) for edge in cluster.edges]
    for connection in context.connections:
        context.add_cleanup(connection.close)
        assert _lookup(connection, key) == 200


@then('within {limit:d} ms key "{key}" is refused on these connections')
def step_refused_soon(context: Context, limit: int, key: str) -> None:
    left_s = context.written_s + limit / 1000 - time.monotonic()
    wait_for(
        f"{key} is refused",
        lambda: all(_lookup(one, key) == 401 for one in context.connections),
        left_s,
    )


@then('lookups with key "{key}" are served on them')
def step_served(context: Context, key: str) -> None:
    for connection in context.connections:
        assert _lookup(connection, key) == 200


@when('a chat stream "{request_id}" is read at {edge} while key "{key}" is removed')
def step_stream_removed(context: Context, request_id: str, edge: str, key: str) -> None:
    cluster = _cluster(context)
    connection = cluster.connect(edge)
    context.add_cleanup(connection.close)
    headers = {
        "Host": HOST_NAME,
        "X-Request-Id": request_id,
        "X-Model": MODEL,
        "X-Api-Key": key,
    }
    connection.request("POST", f"{CHAT_PREFIX}{request_id}", b"prompt", headers)
    response = connection.getresponse()
    assert response.status == 200, response.status
    first = response.read1(1_024)
    cluster.customers = [{"name": "acme", "api_keys": ["acme-3"]}]
    _configure(context)
    context.stream = first + response.read()
    context.connections = [connection]


@then("the stream has all its events")
def step_all_events(context: Context) -> None:
    events = context.stream.decode().split("\n\n")[:-1]
    replica = _cluster(context).replicas["engine-1"]
    data = "\n".join(event.partition("data: ")[2] for event in events)
    assert data == output_of("s1", replica.events), data


@then('the next request with key "{key}" on its connection is refused')
def step_next_refused(context: Context, key: str) -> None:
    assert _lookup(context.connections[0], key) == 401


# -- batch jobs


@when('job "{job}" whose items name customer acme and hold keys is submitted at {edge}')
def step_submit_forged(context: Context, job: str, edge: str) -> None:
    submission = Submission(job, 2, 2, has_rewards=True)
    context.submissions[job] = submission
    body = json.loads(submission.body())
    for item in body["items"]:
        item["headers"] |= {"X-Tenant": "acme", "X-API-Key": "acme-1"}
    headers = {"X-Request-Id": job}
    path = f"{JOBS_PREFIX}{job}"
    answer = _cluster(context).call(
        edge, "POST", path, json.dumps(body).encode(), headers
    )
    assert answer.status == 202, answer


@then("no stored item holds a key")
def step_stored(context: Context) -> None:
    store = _cluster(context).store
    names = store.names("job-items")
    assert names
    stored = json.dumps([store.value("job-items", name) for name in names])
    assert not any(f'"{key}"' in stored for key in KEYS), stored


def _outcomes(cluster: PlatformCluster, edge: str, job: str) -> list[Any]:
    """Return status and body of each kind of read, with the job's name replaced."""
    answers = [
        cluster.call(edge, "GET", f"/lots/{job}?after=0"),
        cluster.call(edge, "GET", f"/items/{job}?id={job}-0-0"),
    ]
    return [(a.status, a.body.decode().replace(job, "JOB")) for a in answers]


@then('the answers at {edge} for job "{job}" {comparison} those for a missing job')
def step_same_answers(context: Context, edge: str, job: str, comparison: str) -> None:
    cluster = _cluster(context)
    found = _outcomes(cluster, edge, job)
    missing = _outcomes(cluster, edge, "j9")
    assert (found == missing) == (comparison == "equal"), (found, missing)


@then('submitting job "{job}" again at {edge} is answered with {status:d}')
def step_submit_again(context: Context, job: str, edge: str, status: int) -> None:
    cluster = _cluster(context)
    body = json.loads(Submission(job, 1, 2).body())
    # Another customer's items must not replace those that were accepted.
    if cluster.key == "zenith-1":
        body["items"][0]["body"] = "AAAA"
    answer = cluster.call(
        edge,
        "POST",
        f"{JOBS_PREFIX}{job}",
        json.dumps(body).encode(),
        {"X-Request-Id": job},
    )
    assert answer.status == status, answer


@then('every item of "{job}" was sent before the last {count:d} items of "{other}"')
def step_sent_before(context: Context, job: str, count: int, other: str) -> None:
    arrived_s = dict(_cluster(context).replicas["engine-1"].arrived_s)
    ours = sorted(s for name, s in arrived_s.items() if name.startswith(f"{job}-"))
    others = sorted(s for name, s in arrived_s.items() if name.startswith(f"{other}-"))
    assert ours[-1] < others[-count], (ours, others)


@then('the body of item "{item}" is unchanged for key "{key}" at {edge}')
def step_unchanged(context: Context, item: str, key: str, edge: str) -> None:
    job = item.partition("-")[0]
    path = f"/items/{job}?id={item}"
    headers = {"X-Api-Key": key}
    answer = _cluster(context).call(edge, "GET", path, headers=headers)
    assert answer.status == 200, answer
    assert answer.body == b"body of " + item.encode(), answer


@then('ending job "{job}" at {edge} is answered with {status:d}')
def step_end(context: Context, job: str, edge: str, status: int) -> None:
    answer = _cluster(context).call(edge, "DELETE", f"/lots/{job}")
    assert answer.status == status, answer
