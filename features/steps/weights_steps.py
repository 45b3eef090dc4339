"""features.steps.weights_steps: rollouts of weight versions."""

import asyncio
from typing import Any

from behave import given, then, when
from behave.runner import Context
from starlette.applications import Starlette

from features.support.http_calls import call_application
from features.support.loops import run_on_loop
from features.support.weights_world import (
    announce,
    rollout_status,
    start_lead,
    start_weights_world,
)
from greengagetack.daemons.responses import EXCEPTION_HANDLERS
from greengagetack.engines.state import OrderKind
from greengagetack.errors import CodedError
from greengagetack.weights.messages import OrderEndpoint
from greengagetack.weights.plan import Replica, next_orders
from greengagetack.weights.routes import weights_routes
from greengagetack.world import Endpoint, Fencing


@given("a lead, 2 keepers and {count:d} engines with version 1")
def step_weights_world(context: Context, count: int) -> None:
    start_weights_world(context, count)


@given("engine e1 fails its next {count:d} orders")
def step_failing(context: Context, count: int) -> None:
    context.engine.failing_orders = count


@given("engine e1 carries orders out but answers late")
def step_lost_answers(context: Context) -> None:
    context.engine.lose_order_answers = 2


@given("each order takes {duration_ms:d} ms")
def step_slow_orders(context: Context, duration_ms: int) -> None:
    for engine in context.world.engines.values():
        engine.order_s = duration_ms / 1000


@given("the platform goes down")
def step_down(context: Context) -> None:
    # The lead must have read the records before; it needs them to act as the lead.
    run_on_loop(context, context.leads[0]._require_lead())
    context.world.platform.down = True


@given("version {version:d} has been announced")
@when("version {version:d} is announced")
def step_announce(context: Context, version: int) -> None:
    context.max_count = {"activate": 0, "prefetch": 0}
    context.order_watch = context.loop.create_task(watch_orders(context))
    announce(context, version)


async def watch_orders(context: Context) -> None:
    """Track the maximum number of engines that execute orders of a kind at once."""
    while True:
        doing = [kind for e in context.world.engines.values() for kind in e.doing]
        for kind, max_count in context.max_count.items():
            context.max_count[kind] = max(max_count, doing.count(kind))
        await asyncio.sleep(0.002)


@when("version {version:d} is announced and the lead is lost during the rollout")
def step_lead_lost(context: Context, version: int) -> None:
    announce(context, version)
    engines = context.world.engines.values()
    started = lambda: any(engine.prefetched for engine in engines)  # noqa: E731
    run_on_loop(context, context.world.until(started))
    context.world.cell.lead_vm_id = ""
    run_on_loop(context, context.leads[0].close())
    start_lead(context, "a")


@then("all engines reach version {version:d}")
def step_all_reach(context: Context, version: int) -> None:
    engines = context.world.engines.values()

    def everywhere() -> bool:
        return all(engine.version == version for engine in engines)

    run_on_loop(context, context.world.until(everywhere))

    known = lambda: rollout_complete(context)  # noqa: E731
    run_on_loop(context, context.world.until(known))
    status = rollout_status(context)
    assert status.complete
    assert {replica.active for replica in status.replicas} == {version}


def rollout_complete(context: Context) -> bool:
    """Return whether the lead's rollout is complete."""
    lead = context.leads[-1]
    return all(rollout.is_complete for rollout in lead._rollouts.values())


@then("at most {count:d} engines were switching at once")
def step_switching(context: Context, count: int) -> None:
    assert 0 < context.max_count["activate"] <= count, context.max_count


@then("at most {count:d} engines were prefetching at once")
def step_prefetching(context: Context, count: int) -> None:
    assert 0 < context.max_count["prefetch"] <= count, context.max_count


@then("each engine had prefetched before it switched")
def step_order(context: Context) -> None:
    for engine in context.world.engines.values():
        kinds = [order["kind"] for order in engine.orders]
        assert kinds == ["prefetch", "activate"], kinds


@given("the engines {what} fencing numbers")
def step_fencing(context: Context, what: str) -> None:
    world = context.world
    known = world.cell.endpoints["e1"]
    fencing = Fencing.CHECKED if what == "check" else Fencing.IGNORED
    context.engine.checks_fencing = fencing is Fencing.CHECKED
    fields = {name: getattr(known, name) for name in known.__dataclass_fields__}
    world.cell.endpoints["e1"] = Endpoint(**(fields | {"fencing": fencing}))
    world.cell.fencing["e1"] = 3


@given("the keeper has the newest number")
def step_newest(context: Context) -> None:
    context.asked = "a"


@given("the engine has seen a newer number")
def step_newer(context: Context) -> None:
    context.asked = "a"
    context.engine.fencing_number = 4


@given("the VM is not the engine's keeper")
def step_not_keeper(context: Context) -> None:
    context.asked = "b"


@given("the keeper holds its lease")
def step_lease(context: Context) -> None:
    context.asked = "a"
    context.world.cell.leases.add("e1")


@given("the keeper is not sure of its lease")
def step_unsure_lease(context: Context) -> None:
    context.asked = "a"


@when("the keeper is asked to order version {version:d}")
def step_order_version(context: Context, version: int) -> None:
    node = context.world.nodes["door"]
    body = OrderEndpoint("e1", "activate", "m", version)
    try:
        run_on_loop(context, node.request(context.asked, body))
        context.result = "done"
    except CodedError as error:
        context.result = error.code


@then("the order returns {result} and the engine has version {version:d}")
def step_order_result(context: Context, result: str, version: int) -> None:
    assert context.result == result, context.result
    assert context.engine.version == version


@when("{sender} announces version {version:d} over HTTP")
def step_http(context: Context, sender: str, version: int) -> None:
    tokens = {
        "the model's team": "team-token",
        "a team without the model": "other-token",
    }
    app = Starlette(
        routes=weights_routes(context.world.services["a"]),
        exception_handlers=EXCEPTION_HANDLERS,
    )
    body = f'{{"version": {version}}}'.encode()
    token = tokens.get(sender, "wrong")
    context.response = run_on_loop(
        context, call_application(app, "POST", "/v1/models/m/versions", token, body)
    )


@then("the announcement is answered with {status:d}")
def step_http_status(context: Context, status: int) -> None:
    assert context.response.status == status, context.response


@then("the rollout is recorded only once the platform is back")
def step_recorded(context: Context) -> None:
    assert not rollout_status(context).recorded
    context.world.platform.down = False
    lead = context.leads[0]
    stored = lambda: lead._records.is_stored("m")  # noqa: E731
    run_on_loop(context, context.world.until(stored))
    assert rollout_status(context).recorded


@then("a new lead resumes from the record")
def step_new_lead(context: Context) -> None:
    start_lead(context, "a")
    assert rollout_status(context).version == 2


@then("engine e1, reset to version 1, reaches version {version:d} again")
def step_reset(context: Context, version: int) -> None:
    context.engine.version = 1
    context.engine.prefetched.clear()
    is_updated = lambda: context.engine.version == version  # noqa: E731
    run_on_loop(context, context.world.until(is_updated))


def replica_of(word: str, number: int) -> Replica:
    """Return a replica in the state named in the table, with target version 2."""
    replica = Replica(f"e{number}", active_version=1)
    if "ready" in word or word in ("switching", "failed"):
        replica.prefetched = (2,)
    if word.startswith("new"):
        replica.active_version = 2
    if word == "switching":
        replica.current_order = OrderKind.ACTIVATE
    if word == "fetching":
        replica.current_order = OrderKind.PREFETCH
    if word == "failed":
        replica.record_failure("swap failed", 100.0)
    replica.is_serving = "ejected" not in word
    return replica


@when(
    "the replicas are {replicas}, at most {wave:d} may switch and {rate:d} may prefetch"
)
def step_plan(context: Context, replicas: str, wave: int, rate: int) -> None:
    known = [replica_of(word, n) for n, word in enumerate(replicas.split())]
    ratio = (wave + 0.01) / len(known)
    context.orders = next_orders(2, known, ratio, rate, 100.0)


@then("the next orders are {orders}")
def step_next_orders(context: Context, orders: str) -> None:
    kinds = [order.kind.value for order in context.orders]
    expected: Any = [] if orders == "nothing" else orders.split()
    assert sorted(kinds) == sorted(expected), kinds
