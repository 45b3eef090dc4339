"""features.steps.scaling_steps: scaling decisions, without a network."""

import dataclasses
import time
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from behave.runner import Context

from features.support.scaling_world import BOOT_S, SERVICE, ScalingWorld, parse_pools
from greengagetack.batches.dispatcher import EngineProperties
from greengagetack.batches.job import Item, Job
from greengagetack.batches.job_run import JobRun
from greengagetack.batches.log import JobLog
from greengagetack.batches.pace import Paces
from greengagetack.batches.progress import ItemProgress
from greengagetack.batches.start_waits import StartWaits
from greengagetack.objects.base import PlatformObject
from greengagetack.observability.metrics import Metrics
from greengagetack.platform.documents import decode_configuration, decode_replica
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import Replica
from greengagetack.scaling.arrivals import ArrivalReports, encode_arrivals
from greengagetack.scaling.demand import DemandSource
from greengagetack.scaling.need import DemandReport
from greengagetack.scaling.spec import ScalingSpec
from greengagetack.scaling.view import Pool
from greengagetack.world import Address
from standins.grants import ReplicaGrants
from standins.platform_cluster import ENGINE_SERVICE, PlatformCluster, wait_for

SPOT_PRICE_RATIO = 0.18
# Long enough for the first view and the first report of demand.
SETTLE_S = 6.0


def _pool(name: str) -> Pool:
    return next(iter(parse_pools(f"{name}:0")))


@given("replicas {pools}, limits {least:d} to {most:d} and prices {prices}")
def step_world(
    context: Context, pools: str, least: int, most: int, prices: str
) -> None:
    zone_prices = tuple(
        (zone, float(price))
        for zone, _, price in (part.partition(":") for part in prices.split())
    )
    spec = ScalingSpec(SERVICE, least, most, BOOT_S, SPOT_PRICE_RATIO, zone_prices)
    context.world = ScalingWorld(parse_pools(pools), spec)


@given("spot replicas cost {percent:d} % of the price")
def step_spot_price(context: Context, percent: int) -> None:
    world = context.world
    world.spec = dataclasses.replace(world.spec, spot_price_ratio=percent / 100)


@given("callers keep {load:g} replicas busy")
@when("callers keep {load:g} replicas busy")
def step_callers(context: Context, load: float) -> None:
    context.world.caller_load = load


@given("their load swings by {percent:d} %")
def step_wave(context: Context, percent: int) -> None:
    context.world.wave = percent / 100


@given("the daemons have seen the start")
def step_settle(context: Context) -> None:
    context.world.advance(SETTLE_S)
    assert context.world.take_orders() == []


@when("a step of {tokens:d} tokens in {items:d} items is due in {due:g} s")
def step_step(context: Context, tokens: int, items: int, due: float) -> None:
    world = context.world
    world.steps.append((float(tokens), items, world.now_s + due))


@when("the step ends")
def step_step_ends(context: Context) -> None:
    context.world.steps.clear()


@when("the scalers run for {seconds:g} s")
def step_pass(context: Context, seconds: float) -> None:
    context.world.advance(seconds)


@when("these events happen: {events}")
def step_events(context: Context, events: str) -> None:
    for event in events.split(", "):
        _apply(context.world, event)


def _apply(world: ScalingWorld, event: str) -> None:
    subject, _, change = event.partition(" ")
    if change == "is reclaimed":
        for name in world.members(_pool(subject)):
            world.drain(name, 3_000.0)
    elif change == "loses one":
        del world.states[world.members(_pool(subject))[0]]
    elif change == "has a slow one":
        world.slow_ids.append(world.members(_pool(subject))[0])
    elif change == "is dry":
        world.dry.add(_pool(subject))
    elif change == "has stock again":
        world.dry.discard(_pool(subject))
    else:
        assert event == "nothing", event


@when("the slow replicas recover")
def step_recover(context: Context) -> None:
    context.world.slow_ids.clear()


@when("the list of replicas is {age:g} s old")
def step_age(context: Context, age: float) -> None:
    context.world.view_age_s = age


@when("the holder's VM is suspended for {duration:g} s")
def step_suspend(context: Context, duration: float) -> None:
    context.world.suspended_s += duration


@when("the dispatcher does not answer")
def step_no_demand(context: Context) -> None:
    context.world.is_demand_known = False


@when("the answers to {count:d} orders are lost")
def step_lost_answers(context: Context, count: int) -> None:
    context.world.lost_answers = count


@when("the other daemon takes the duty over after {pause:g} s")
def step_takeover(context: Context, pause: float) -> None:
    first, second = context.world.tenures
    first.is_holder = False
    context.world.advance(pause)
    second.is_holder, second.fence = True, 2


@then("the orders are {expected}")
def step_orders(context: Context, expected: str) -> None:
    found = " ".join(context.world.take_orders()) or "none"
    assert found == expected, found


@then("there are at most {count:d} orders")
def step_order_count(context: Context, count: int) -> None:
    found = context.world.take_orders()
    assert len(found) <= count, found


@then("{count:d} replicas serve")
def step_count(context: Context, count: int) -> None:
    states = context.world.states.values()
    found = sum(not state.replica.is_draining for state in states)
    assert found == count, found


@then("no order for a pool follows another within 1 s")
def step_spacing(context: Context) -> None:
    last_s: dict[str, float] = {}
    for ordered_s, text in context.world.orders:
        pool = text.partition(":")[0]
        assert ordered_s - last_s.get(pool, 0.0) >= 1.0, context.world.orders
        last_s[pool] = ordered_s


@given("a platform that grants engines, 1 regular and 1 spot, and {daemons:d} daemons")
def step_grants(context: Context, daemons: int) -> None:
    cluster = context.cluster = PlatformCluster()
    context.add_cleanup(cluster.close)
    context.submissions, context.answers, context.read_results = {}, {}, {}
    context.longest_submission_s = 0.0
    context.grants = ReplicaGrants(cluster, {"zone-a": 1.0, "zone-b": 1.2})
    context.grants.add_engine("engine-1", "zone-a", False, events=30)
    context.grants.add_engine("engine-2", "zone-a", True, events=30)
    cluster.start_edges(daemons)


@given("one of the daemons orders replicas")
def step_holder(context: Context) -> None:
    cluster = context.cluster
    message = "scaling: this daemon orders replicas"
    wait_for(
        "a daemon holds the scaling duty",
        lambda: any(cluster.has_logged(name, message) for name in cluster.edges),
    )


@when("the platform has no spot engines in zone-b and reclaims {name} in {left:d} ms")
def step_reclaims(context: Context, name: str, left: int) -> None:
    context.grants.refused.add(("zone-b", True))
    context.reclaimed_s = time.monotonic()
    context.grants.reclaim(name, left)
    context.ends_s = context.reclaimed_s + left / 1_000


@then(
    "a replacement is ordered within {limit:d} ms, after a refusal as the regular kind"
)
def step_replaced(context: Context, limit: int) -> None:
    grants, cluster = context.grants, context.cluster
    wait_for("two orders", lambda: len(grants.orders) >= 2, limit / 1_000)
    first, second = grants.orders[:2]
    assert (first["zone"], first.get("spot"), first["target_groups"]) == (
        "zone-b",
        True,
        1,
    ), first
    assert not second.get("spot"), second
    time.sleep(max(0.0, context.ends_s - time.monotonic()))
    cluster.replicas["engine-2"].fault.silent = True
    cluster.run_on_loop(lambda: cluster.store.remove("servers", "engine-2"))


@then("a granted engine has run items")
def step_granted_ran(context: Context) -> None:
    granted = [
        replica
        for name, replica in context.cluster.replicas.items()
        if name.startswith("granted")
    ]
    assert any(replica.arrivals for replica in granted), granted


@then("no rule of the duties is broken")
def step_no_violation(context: Context) -> None:
    violations = context.cluster.duty_api.judge.violations
    assert not violations, violations


@given("{count:d} daemons, each with 2 requests a second that keep 0.5 slots busy")
def step_daemons(context: Context, count: int) -> None:
    context.nodes = [f"edge-{number}" for number in range(count)]
    context.now_s = 100.0
    context.reports = ArrivalReports(lambda: count, lambda: context.now_s)


@when("each reports its arrivals in its pings, {silent:d} of them too long ago")
def step_report(context: Context, silent: int) -> None:
    text = encode_arrivals([("a, b:c", 2.0, 0.5)])
    reporters = [node for node in context.nodes if context.reports.is_reporter(node)]
    for node in reporters[:silent]:
        context.reports.record(node, text)
    context.now_s += 4.0
    for node in reporters[silent:]:
        context.reports.record(node, text)
    context.reports.record("broken", "x")
    context.reporter_count = len(reporters)


@then(
    "{reports:d} reports have arrived, and the arrivals are within {percent:g} % of "
    "{rate:g} a second"
)
def step_totals(context: Context, reports: int, percent: float, rate: float) -> None:
    assert context.reporter_count == reports, context.reporter_count
    found, busy = context.reports.totals("a, b:c")
    assert abs(found - rate) <= rate * percent / 100 + 1e-6, found
    assert abs(busy - found / 4) < 1e-6, busy


@given(
    "a step with groups {groups} of which the trainer waits for {target:d}, due in "
    "{due:d} s"
)
def step_open_step(context: Context, groups: str, target: int, due: int) -> None:
    items = []
    for text in groups.split():
        group, _, tokens = text.partition(":")
        items += [
            Item(f"{group}{n}", "/", (), b"", 1_000, group, output_hint=int(count))
            for n, count in enumerate(tokens.split(","))
        ]
    submitted_ms = int(time.time() * 1_000)
    job = Job(
        "j",
        "r",
        "h",
        SERVICE,
        submitted_ms,
        due * 1_000.0,
        0.0,
        1,
        len(items),
        1,
        wanted_groups=target,
    )
    context.run = JobRun(
        job,
        tuple(items),
        JobLog(),
        None,  # type: ignore[arg-type]
        Metrics(),
        lambda item, job: ItemProgress(item),
        lambda: 10,
    )


@given(
    "engines with {slots:d} slots and memory for {memory:d} tokens, one event of 10 "
    "tokens every 50 ms"
)
def step_engines(context: Context, slots: int, memory: int) -> None:
    context.properties = EngineProperties()
    context.properties.tokens_per_event[SERVICE] = 10
    context.properties.memory_tokens[SERVICE] = memory
    context.fleet = Fleet(lambda: float("-inf"))
    address = Address("127.0.0.1", 1)
    names = ("e1", "e2", "e3")
    context.fleet.update(
        [Replica(name, SERVICE, address, "a", slots, False) for name in names], []
    )
    context.paces = Paces({"e1": 0.05, "e2": 0.05}, 0.05)


@when("the demand is measured")
def step_measure(context: Context) -> None:
    dispatcher = SimpleNamespace(
        workload=lambda: ([context.run], context.paces), start_waits=StartWaits()
    )
    spec = ScalingSpec(SERVICE, 0, 4, 4.0, 0.18, (("a", 1.0),))
    source = DemandSource(
        "edge-1",
        dispatcher,  # type: ignore[arg-type]
        context.fleet,
        context.properties,
        lambda: (spec,),
        lambda: 1,
        lambda: 0.0,
    )
    context.report = source.report()


@then(
    "{tokens:d} tokens in {items:d} items are left, and one engine does {rate:g} "
    "tokens a second"
)
def step_demand(context: Context, tokens: int, items: int, rate: float) -> None:
    demand = context.report.services[SERVICE]
    (step,) = demand.steps
    assert (step.tokens_left, step.items_left) == (tokens, items), step
    assert 5.0 < step.due_in_s <= 6.0, step
    assert abs(demand.tokens_per_s - rate) < 1e-6, demand


@when("a configuration and entries with and without the fields of scaling are decoded")
def step_decode(context: Context) -> None:
    scaling = {"min": 1, "max": 3, "boot_s": 4.0, "spot_price": 0.18}
    scaling["zone_prices"] = {"b": 1.2, "a": 1.0}
    services = [{"name": "x", "scaling": scaling}, {"name": "y"}]
    value = {"version": 1, "routes": [], "services": services}
    context.configuration = decode_configuration(
        PlatformObject("config/main", 1, "", value)
    )
    entry = {"service": "x", "address": "10.0.0.1:80", "zone": "a", "state": "draining"}
    context.entries = [
        decode_replica(PlatformObject("servers/r", 1, "", {**entry, **fields}))
        for fields in ({}, {"spot": True}, {"spot": True, "leaves_ms": 900})
    ]


@then("only the service with limits is scaled")
def step_decoded(context: Context) -> None:
    prices = (("a", 1.0), ("b", 1.2))
    expected = (ScalingSpec("x", 1, 3, 4.0, 0.18, prices),)
    assert context.configuration.scaling == expected, context.configuration


@then("the entries have their kinds and the time that they have left")
def step_entries(context: Context) -> None:
    found = [(entry.is_spot, entry.leaves_in_ms) for entry in context.entries]
    assert found == [(False, None), (True, None), (True, 900.0)], found


@then("the dispatcher answers with the demand of the engines")
def step_peer_demand(context: Context) -> None:
    cluster = context.cluster
    answer = cluster.call(
        cluster.dispatcher(), "GET", "/peer/demand", listener="control"
    )
    report = msgspec.msgpack.decode(answer.body, type=DemandReport)
    assert report.services[ENGINE_SERVICE].tokens_per_s > 0, report
    assert report.standing_digest, report
