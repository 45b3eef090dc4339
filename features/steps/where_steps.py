"""features.steps.where_steps: explanations of where a request would go."""

import json
import random
import shlex
import time
from collections import Counter
from collections.abc import Collection, Iterable

from behave import given, then, when
from behave.runner import Context
from click.testing import CliRunner
from loguru import logger

from features.support.raw_http import ServedApp
from features.support.where_world import (
    DISPATCHER_HOST,
    KEY,
    MODEL,
    SERVICE,
    WhereWorld,
)
from greengagetack.batches.where import make_item
from greengagetack.cli.main import main
from greengagetack.daemons.status import build_status_application
from greengagetack.daemons.where import Question, make_job
from greengagetack.gateway.choice import choose_replica
from greengagetack.gateway.where import MAX_LISTED, MAX_PER_S, Rate
from greengagetack.gateway.zone_routing import ZoneReading
from greengagetack.replicas.replica import ReplicaState
from greengagetack.world import Address
from standins.platform_cluster import HOST_NAME, PlatformCluster, wait_for

PLAIN = {"host": "h", "path": "/plain/x"}
JOB = {"host": "h", "path": "/jobs/x", "method": "POST", "model": MODEL}
UNUSED_ADDRESS = "127.0.0.1:1"
DRAWS = [(number + 0.5) / 100 for number in range(100)]
# The fastest of some runs, so that other work on the machine does not count.


@given("a daemon that explains requests")
@given("a daemon that runs the jobs and explains requests")
def step_world(context: Context) -> None:
    context.world = WhereWorld()


@given("a daemon that explains requests while another one runs the jobs")
def step_other_world(context: Context) -> None:
    context.world = WhereWorld(is_dispatcher=False)


@given("listed {names} in zone {zone:w}")
def step_replicas(context: Context, names: str, zone: str) -> None:
    for name in names.split(","):
        context.world.add(name, zone, 1 if name == "r1" else 2)


@when("a listed {name:w} {fault}")
def step_fault(context: Context, name: str, fault: str) -> None:
    context.world.apply_fault(fault, context.world.fleet.get(name))


@when("it is asked where a {kind} goes")
def step_ask(context: Context, kind: str) -> None:
    asked = PLAIN if kind == "request" else {**JOB, "min_version": "2"}
    context.answer = context.world.ask(**asked)


@then("r1 is excluded as {reason:w} with {detail}, ending in {ends} s, of age {age} s")
def step_excluded(
    context: Context, reason: str, detail: str, ends: str, age: str
) -> None:
    found = {one.replica: one for one in context.answer.placement.excluded}["r1"]
    assert found.reason == reason, found
    assert detail in ("none", found.detail), found
    for text, value in ((ends, found.ends_in_s), (age, found.age_s)):
        if text == "none":
            assert value is None, found
        else:
            assert value is not None, found
            assert abs(value - float(text)) < 0.3, found
    assert context.answer.placement.excluded_counts == {reason: 1}


@then("{name:w} is chosen of {count:d} candidates")
def step_chosen(context: Context, name: str, count: int) -> None:
    placement = context.answer.placement
    assert placement.chosen == (None if name == "nothing" else name), placement
    assert placement.candidate_count == count, placement


@then("it names {node:w} as the dispatcher")
def step_dispatcher(context: Context, node: str) -> None:
    assert context.answer.dispatcher.node == node, context.answer


class _Draws(ZoneReading):
    """Chooses the zone by a given draw, as a daemon does by a random one."""

    draw = 0.0

    def pick(
        self,
        service: str,
        states: Iterable[ReplicaState],
        zones: Collection[str],
        now_s: float,
        draw: float,
    ) -> str:
        shares = self._routing._service(service).shares
        others = [zone for zone in zones if zone != self.zone]
        return shares.pick(self.draw, others) or self.zone


class _NoJitter(random.Random):
    def random(self) -> float:
        return 0.0


def _usual_choice(world: WhereWorld) -> str | None:
    """Return what `choose_replica` chooses most often, without jitter."""
    zones = _Draws(world.zones)
    counts: Counter[str | None] = Counter()
    for draw in DRAWS:
        zones.draw = draw
        states = world.fleet.serving_replicas(SERVICE)
        now_s = time.monotonic()
        chosen = choose_replica(SERVICE, states, (), zones, now_s, _NoJitter())
        counts[None if chosen is None else chosen.replica.replica_id] += 1
    return counts.most_common(1)[0][0]


@then("it names the choice of choose_replica for {seeds:d} services of {count:d}")
def step_same_choice(context: Context, seeds: int, count: int) -> None:
    chosen = set()
    for seed in range(seeds):
        world = WhereWorld()
        world.add_random(count, seed)
        placement = world.ask(**PLAIN).placement
        assert placement.chosen == _usual_choice(world), (seed, placement)
        listed = {row.replica for row in placement.candidates}
        assert placement.is_last_resort or placement.chosen in listed | {None}
        chosen.add(placement.is_last_resort)
    assert count > 3 or chosen == {True, False}, chosen


@then("it names the choice of the dispatcher for {seeds:d} services of {count:d}")
def step_same_item_choice(context: Context, seeds: int, count: int) -> None:
    chosen = set()
    for seed in range(seeds):
        world = WhereWorld()
        world.add_random(count, seed)
        for state in world.fleet.all_replicas():
            world.placement.record_event(state.replica.replica_id, 0.0)
            for _ in range(25 if state.in_flight % 2 else 0):
                gap_s = state.service_time_s or 0.05
                world.placement.record_event(state.replica.replica_id, gap_s)
        placement = world.ask(**JOB).placement
        job = make_job(world.table.find("h", "/jobs/x"), SERVICE, Question("h", "/"))
        state = world.placement.start_round([]).choose(job, make_item(1))
        name = None if state is None else state.replica.replica_id
        assert placement.chosen == name, (seed, name, placement)
        counted = placement.candidate_count + sum(placement.excluded_counts.values())
        assert counted == count, placement
        chosen.add(name)
    assert len(chosen) > 1, chosen


@then("no state has changed after {count:d} questions about requests and items")
def step_unchanged(context: Context, count: int) -> None:
    world = WhereWorld()
    world.add_random(40, 1)
    world.add("limited").record_rate_limit(5.0)
    before = world.state()
    lines: list[str] = []
    sink = logger.add(lines.append, level="DEBUG")
    context.add_cleanup(logger.remove, sink)
    for number in range(count):
        world.answers._rate = Rate()
        asked = (PLAIN, JOB, {**JOB, "min_version": "9"})[number % 3]
        assert not isinstance(world.ask(**asked), str)
        assert world.state() == before, "changed"
    assert not lines, lines


@when("it is asked with {query}")
def step_ask_with(context: Context, query: str) -> None:
    pairs = [part.partition("=")[::2] for part in query.split("&")]
    values = [(name, value.replace("LONG", "x" * 2000)) for name, value in pairs]
    context.world.answers._rate = Rate()
    try:
        context.answer = context.world.answers.answer(values)
        context.outcome = "ok"
    except Exception as error:
        context.outcome = f"{error.code}: {error.reason}"


@then("the outcome begins with {code:w} and contains {text}")
def step_outcome(context: Context, code: str, text: str) -> None:
    assert context.outcome.startswith(code), context.outcome
    assert text == "nothing" or text in context.outcome, context.outcome
    assert KEY not in context.outcome


@when("questions arrive every {pause:d} ms for 3 s")
def step_rate(context: Context, pause: int) -> None:
    rate, context.admitted_s = Rate(), []
    for number in range(3000 // pause):
        at_s = number * pause / 1000
        try:
            rate.admit(at_s)
        except Exception as error:
            assert error.code == "overloaded"
            assert 0 < error.retry_after_s <= 1.0
            continue
        context.admitted_s.append(at_s)


@then("{count:d} are answered, at most 5 within any second")
def step_answered(context: Context, count: int) -> None:
    times_s = context.admitted_s
    assert len(times_s) == count, len(times_s)
    windows = zip(times_s, times_s[MAX_PER_S:], strict=False)
    assert all(last - first > 0.999 for first, last in windows)


@then("a question about {count:d} replicas lists the best and counts the rest")
def step_bounded(context: Context, count: int) -> None:
    world = WhereWorld()
    world.add_random(count, 3)
    placement = world.ask(**PLAIN).placement
    assert len(placement.candidates) == MAX_LISTED
    assert len(placement.excluded) == MAX_LISTED
    excluded = sum(placement.excluded_counts.values())
    assert placement.candidate_count + excluded == count


def _serve(context: Context) -> str:
    world: WhereWorld = context.world
    app = build_status_application(lambda: True, world.metrics, world.answers.answer)
    served = ServedApp(app)
    context.add_cleanup(served.close)
    return str(served.address)


def _run(context: Context, daemon: str, arguments: str) -> None:
    command = ["where", "--daemon", daemon, *shlex.split(arguments)]
    context.result = CliRunner().invoke(main, command)


@when("the where command runs with {arguments} while {case}")
def step_command(context: Context, arguments: str, case: str) -> None:
    world: WhereWorld = context.world
    daemon = UNUSED_ADDRESS
    match case:
        case "all is well" | "it is asked too often":
            daemon = _serve(context)
        case "all replicas failed":
            daemon = _serve(context)
            for state in world.fleet.all_replicas():
                world.apply_fault("has no permit for 2 s", state)
        case "it has no configuration":
            world.table = None
            daemon = _serve(context)
        case "it has no such path":
            served = ServedApp(build_status_application(lambda: True, world.metrics))
            context.add_cleanup(served.close)
            daemon = str(served.address)
        case "its address is wrong":
            daemon = "nowhere"
    if case == "it is asked too often":
        for _ in range(MAX_PER_S):
            world.answers._rate.admit(time.monotonic())
    _run(context, daemon, arguments)


@when("the where command asks for an item while {case}")
def step_command_item(context: Context, case: str) -> None:
    daemon = _serve(context)
    if case != "the dispatcher does not answer":
        is_dispatcher = case == "the dispatcher answers"
        other = WhereWorld(is_dispatcher, "v2" if is_dispatcher else "v3")
        other.add("r9", version=2)
        address = Address(DISPATCHER_HOST, Address.parse(daemon).port)
        app = build_status_application(
            lambda: True, other.metrics, other.answers.answer
        )
        served = ServedApp(app, address=address)
        context.add_cleanup(served.close)
    _run(context, daemon, "--host h --path /jobs/x --method POST")


@then("where exits with {code:d} and prints {text}")
def step_exit(context: Context, code: int, text: str) -> None:
    result = context.result
    assert result.exit_code == code, (result.exit_code, result.output)
    assert text in result.output, result.output
    assert KEY not in result.output


@then("its JSON names {chosen:w} as chosen")
def step_json(context: Context, chosen: str) -> None:
    answer = json.loads(context.result.output)
    assert answer["placement"]["chosen"] == chosen, answer
    assert KEY not in context.result.output


@when("{edge} is asked on the stand-ins where {path} goes")
def step_ask_cluster(context: Context, edge: str, path: str) -> None:
    cluster: PlatformCluster = context.cluster
    wait_for(f"{edge} is ready", lambda: cluster.is_ready(edge))
    arguments = f"--host {HOST_NAME} --path {path} --json"
    _run(context, cluster.address_of(edge, "ready"), arguments)


@then("the answer names one of {count:d} candidates, and no replica got a request")
def step_cluster_answer(context: Context, count: int) -> None:
    assert context.result.exit_code == 0, context.result.output
    answer = json.loads(context.result.output)
    placement = answer["placement"]
    assert placement["candidate_count"] == count, answer
    assert placement["chosen"] in {row["replica"] for row in placement["candidates"]}
    assert answer["config_version"] >= 1
    assert answer["dispatcher"]["is_this"], answer
    assert all(copy["age_s"] < 30.0 for copy in answer["copies"]), answer
    arrivals = [one.arrivals for one in context.cluster.replicas.values()]
    assert not any(arrivals), arrivals
