"""features.steps.zone_shares_steps: shares of requests that leave their zone."""

import asyncio
import itertools

from behave import given, then, when
from behave.runner import Context

from features.support.zone_load import SimulatedZone, ZoneLoad
from greengagetack.facts import FactTable
from greengagetack.gateway.zone_load import TICK_S, ZoneLoads
from greengagetack.gateway.zone_shares import ZoneView, next_shares
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import Replica
from greengagetack.world import Address

COST_S = 0.004
SEED = 1


def _wait_s(text: str) -> float | None:
    return None if text == "none" else int(text) / 1000


@when(
    "the share is {share:g}, waits are {own} and {other} ms, the way costs 4 ms, "
    "{used:d} % of the other zone's places are used"
)
def step_share(context: Context, share: float, own: str, other: str, used: int) -> None:
    view = ZoneView(_wait_s(other), used / 100)
    own_view = ZoneView(_wait_s(own))
    context.next = next_shares({"b": share}, own_view, {"b": view}, COST_S)


@when(
    "the share is 0.3 and the own zone's wait goes from {former:d} to {own:d} ms at "
    "{busy:d} % of its places"
)
def step_wait_changes(context: Context, former: int, own: int, busy: int) -> None:
    own_view = ZoneView(own / 1000, busy / 100)
    others = {"b": ZoneView(0.04)}
    context.next = next_shares({"b": 0.3}, own_view, others, COST_S, former / 1000)


@then("the next share is {share:g}")
def step_next(context: Context, share: float) -> None:
    assert abs(context.next.get("b", 0.0) - share) < 0.006, context.next


@given(
    "{daemons:d} daemons in {zones:d} zones with 12 places each, {rate:d} requests a "
    "second per zone"
)
def step_zones(context: Context, daemons: int, zones: int, rate: int) -> None:
    def build(has_shares: bool) -> ZoneLoad:
        built = [SimulatedZone(name, 12, rate) for name in "abc"[:zones]]
        return ZoneLoad(built, daemons, SEED, has_shares)

    context.load, context.former = build(True), build(False)


@when("requests are sent for {seconds:d} s")
def step_pass(context: Context, seconds: int) -> None:
    context.seconds = seconds
    context.load.run(seconds, {})
    context.former.run(seconds, {})


@when("zone a is slower by a factor of 4 from {first:d} to {last:d} s of {end:d} s")
def step_slow(context: Context, first: int, last: int, end: int) -> None:
    changes = {float(first): ("a", "speed", 0.25), float(last): ("a", "speed", 1.0)}
    context.load.run(end, changes)


@when("zone a has no place from {first:d} to {last:d} s of {end:d} s")
def step_empty(context: Context, first: int, last: int, end: int) -> None:
    changes = {float(first): ("a", "slots", 0), float(last): ("a", "slots", 12)}
    context.load.run(end, changes)


@then("at most {most:d} % of the requests left their zone")
def step_left_at_most(context: Context, most: int) -> None:
    shares = [context.load.share(name, 0, context.seconds) for name in "abc"]
    assert max(shares) <= most / 100, shares


@then("their mean time is at most that of the earlier choice and {more:d} ms")
def step_mean(context: Context, more: int) -> None:
    mean_ms = context.load.mean_ms(0, context.seconds)
    former_ms = context.former.mean_ms(0, context.seconds)
    assert mean_ms <= former_ms + more, (mean_ms, former_ms)


@then(
    "between {least:d} and {most:d} % of its requests left the zone from {first:d} to "
    "{last:d} s"
)
def step_left(context: Context, least: int, most: int, first: int, last: int) -> None:
    share = context.load.share("a", first, last)
    assert least / 100 <= share <= most / 100, share


@then("less than {most:d} % of its requests left the zone from {first:d} to {last:d} s")
def step_left_less(context: Context, most: int, first: int, last: int) -> None:
    step_left(context, 0, most, first, last)


@then("the mean time of all requests from {first:d} to {last:d} s is below {most:d} ms")
def step_mean_below(context: Context, first: int, last: int, most: int) -> None:
    mean_ms = context.load.mean_ms(first, last)
    assert mean_ms < most, mean_ms


@then(
    "the other zones' places were used to at most {most:d} % on average from "
    "{first:d} to {last:d} s"
)
def step_used(context: Context, most: int, first: int, last: int) -> None:
    for name in "bc":
        used = context.load.used[name][first:last]
        assert sum(used) / len(used) <= most / 100, (name, used)


# -- use of places


@given(
    "{daemons:d} daemons with replicas of {services:d} services in {zones:d} zones, "
    "{slots:d} places each"
)
def step_loads(
    context: Context, daemons: int, services: int, zones: int, slots: int
) -> None:
    context.now_s = 0.0
    context.tables, context.fleets, context.loads = [], [], []
    replicas = [
        Replica(f"r{s}-{z}", f"s{s}", Address("10.0.0.1", 1), f"z{z}", slots, False)
        for s, z in itertools.product(range(1, services + 1), range(1, zones + 1))
    ]
    for number in range(daemons):
        table = FactTable(f"daemon-{number}", lambda number=number: number == 0)
        fleet = Fleet(lambda: float("-inf"))
        fleet.update(replicas, [])
        clock = lambda: context.now_s  # noqa: E731
        context.tables.append(table)
        context.fleets.append(fleet)
        context.loads.append(
            ZoneLoads(f"n{number}", fleet, table, lambda: daemons, clock)
        )


def _run_loads(context: Context, seconds: float) -> None:
    owner = context.loads[0]
    first_revision = context.tables[0].cursor.revision
    for _ in range(int(seconds / TICK_S)):
        context.now_s += TICK_S
        for number, loads in enumerate(context.loads):
            asyncio.run(loads.tick())
            if number and (report := loads.take_report()):
                owner.handle_report(f"n{number}", report)
        for table in context.tables[1:]:
            table.apply(context.tables[0].update_after(table.cursor))
    published = context.tables[0].cursor.revision - first_revision
    context.published_per_s = published / seconds


@when("each daemon has {count:d} requests in flight at service 1 in zone 1 for 5 s")
def step_use_one(context: Context, count: int) -> None:
    for fleet in context.fleets:
        fleet.get("r1-1").in_flight = count
    _run_loads(context, 5.0)


@when("each daemon has no request in flight for 3 s")
def step_use_none(context: Context) -> None:
    for fleet in context.fleets:
        for state in fleet.all_replicas():
            state.in_flight = 0
    _run_loads(context, 3.0)


@when("each daemon has {count:d} requests in flight at every service and zone for 5 s")
def step_use_all(context: Context, count: int) -> None:
    for fleet in context.fleets:
        for state in fleet.all_replicas():
            state.in_flight = count
    _run_loads(context, 5.0)


def _known_uses(loads: ZoneLoads) -> dict[tuple[str, str], float]:
    keys = itertools.product(range(1, 11), range(1, 4))
    uses = {(f"s{s}", f"z{z}"): loads.used_share(f"s{s}", f"z{z}") for s, z in keys}
    return {key: share for key, share in uses.items() if share}


@then("all daemons know that service 1 uses {share:d} % of zone 1, and of nothing else")
def step_know(context: Context, share: int) -> None:
    for loads in context.loads:
        uses = _known_uses(loads)
        assert list(uses) == [("s1", "z1")], uses
        assert abs(uses["s1", "z1"] - share / 100) < 0.06, uses


@then("no more than {most:d} facts a second were published")
def step_published(context: Context, most: int) -> None:
    assert 0 < context.published_per_s <= most, context.published_per_s


@then("no daemon knows of a use")
def step_know_none(context: Context) -> None:
    assert not any(_known_uses(loads) for loads in context.loads)


@then("none of the facts is saved in the store")
def step_not_saved(context: Context) -> None:
    assert context.tables[0].cursor.revision > 0
    assert not context.tables[0].lasting()
