"""features.steps.customers_steps: decisions on customers and their keys."""

import json
import re
from dataclasses import replace
from typing import Any

import msgspec
from behave import given, then, when
from behave.runner import Context
from loguru import logger

from greengagetack.batches.job import Job
from greengagetack.batches.ledger import decode_job
from greengagetack.batches.priority import ItemSortKey, item_sort_key
from greengagetack.coordination.messages import decode, encode
from greengagetack.errors import UnknownKey
from greengagetack.gateway.call import Call
from greengagetack.gateway.customer_metrics import CustomerMetrics
from greengagetack.gateway.customers import Customer, may_access
from greengagetack.gateway.detours import RelayedRequest
from greengagetack.gateway.routes import Configuration, RouteTable
from greengagetack.objects.base import PlatformObject
from greengagetack.observability.metrics import Metrics
from greengagetack.platform.documents import decode_configuration
from greengagetack.platform.identity import identify, with_identity
from greengagetack.platform.replica import PlatformDialect
from greengagetack.replicas.replica import Replica
from greengagetack.world import Address
from standins.platform_cluster import HOST_NAME

REPLICA = Replica("r1", "s", Address("10.0.0.1", 1), "zone-a", 8, False)


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
