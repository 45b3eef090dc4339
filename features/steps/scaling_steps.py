"""features.steps.scaling_steps: scaling decisions, without a network."""

import time

from behave import given, then, when
from behave.runner import Context

from features.support.scaling_world import BOOT_S, SERVICE, ScalingWorld, parse_pools
from greengagetack.scaling.spec import ScalingSpec
from greengagetack.scaling.view import Pool
from standins.grants import ReplicaGrants
from standins.platform_cluster import PlatformCluster, wait_for

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
