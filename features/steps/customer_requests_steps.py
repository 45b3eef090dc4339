"""features.steps.customer_requests_steps: customers' requests at daemons."""

import asyncio
import http.client
import re
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from greengagetack.coordination.client import PeerClient
from greengagetack.gateway.detours import RelayedRequest
from greengagetack.gateway.retry import AttemptResult
from greengagetack.world import Address
from standins.identities import judge_identities, leaked_keys
from standins.platform_cluster import (
    CHAT_PREFIX,
    HOST_NAME,
    LOOKUP_PREFIX,
    PLAIN_SERVICE,
    PlatformCluster,
    wait_for,
)
from standins.replica import MODEL, output_of

SOCKET_LIMIT_S = 5.0
RELAYED_MS = 2_000.0
# All keys of this feature's customers, which must not reach a replica or a log.
KEYS = ("acme-1", "acme-2", "acme-3", "zenith-1", "forged")


def _cluster(context: Context) -> PlatformCluster:
    return context.cluster


def _optional(text: str) -> str:
    return "" if text in ("none", "public") else text


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
    received = _cluster(context).received_identities()
    expected = "" if customer == "nothing" else _optional(customer)
    count, wrong = judge_identities(received, "q1", expected, _optional(urgency))
    assert not wrong, wrong
    assert (count == 0) == (customer == "nothing"), count


@then(
    'at least {least:d} requests "{prefix}" reached replicas as {customer} with '
    "urgency {urgency}"
)
def step_judged(
    context: Context, least: int, prefix: str, customer: str, urgency: str
) -> None:
    received = _cluster(context).received_identities()
    count, wrong = judge_identities(received, prefix, customer, _optional(urgency))
    assert not wrong, wrong
    assert count >= least, count


@then("no key reached a replica")
def step_no_key(context: Context) -> None:
    cluster = _cluster(context)
    assert leaked_keys(cluster.received_identities(), KEYS) == []
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
