"""features.steps.duties_steps: who holds a duty, and the platform's API."""

import tempfile
from collections.abc import Callable
from pathlib import Path

import msgspec
import uvicorn
from behave import given, then, when
from behave.runner import Context
from starlette.applications import Starlette

from features.support.duty_fleet import DutyFleet, SimulatedDaemon
from features.support.loops import run_on_loop, start_loop
from greengagetack.accounting.windows import UsageBundle, WindowCounts
from greengagetack.coordination.client import PeerClient
from greengagetack.coordination.duty_api import DutyEnd, DutyTerms
from greengagetack.coordination.duty_endpoints import DutyEndpoints
from greengagetack.coordination.duty_seat import duty_rank, ranked
from greengagetack.coordination.messages import Member, Pong, decode, encode
from greengagetack.peers.node import listening_socket
from greengagetack.platform.duties import PlatformDutyApi
from greengagetack.platform.settings import load_vm_facts
from greengagetack.world import Address
from standins.duty_api import DutyApi, DutyApiFault, DutyJudge
from standins.platform_cluster import PLAIN_SERVICE, PlatformCluster, wait_for
from standins.server import StandInServer

SETTLED_S = 21.0
AFTER_S = 25.0
# Longer than the time-out of a call.
SLOW_S = 3.0
SETTINGS = """
node = "vm-1"
role = "edge"
machine_class = "edge"
zone = "zone-a"
ip = "10.0.0.1"
[provider]
address = "10.0.0.2:1"
"""


# -- ranks


@given("daemons that rank for a duty: {daemons}")
def step_daemons(context: Context, daemons: str) -> None:
    context.members = []
    for part in daemons.split(", "):
        node, cores = part.split(" ")
        member = Member(node, "i", "10.0.0.1:1", "zone-a", cores=float(cores))
        context.members.append(member)


@when("{dispatcher} is the dispatcher and {other} holds the other duty")
def step_roles(context: Context, dispatcher: str, other: str) -> None:
    context.order = ranked("usage", context.members, dispatcher, {other})


@then("the order of ranks begins with {order}")
def step_order(context: Context, order: str) -> None:
    nodes = [member.node for member in context.order]
    assert nodes == order.split(", "), nodes
    assert duty_rank(nodes[1], context.order) == 1
    assert duty_rank("vm-0", context.order) is None


# -- failures


@given("{count:d} daemons with the duty of usage reports")
def step_fleet(context: Context, count: int) -> None:
    start_loop(context)
    # The first VM is the largest, so that it takes the duty.
    cores = (2.0, 3.0, *(2.0 for _ in range(max(0, count - 1))))
    context.fleet = DutyFleet(count, cores)
    run_on_loop(context, context.fleet.run(SETTLED_S))
    holders = [daemon.node for daemon in context.fleet.holders()]
    assert holders == ["vm-1"], holders


def _holder(fleet: DutyFleet) -> SimulatedDaemon:
    return fleet.daemons["vm-1"]


async def _kill(fleet: DutyFleet) -> None:
    _holder(fleet).is_running = False


async def _kill_before_report(fleet: DutyFleet) -> None:
    while fleet.now_s % fleet.window_s < 2.85 or fleet.now_s % fleet.window_s > 2.95:
        await fleet.run(0.1)
    fleet.failed_s = fleet.now_s
    await _kill(fleet)


async def _freeze(fleet: DutyFleet, duration_s: float) -> None:
    holder = _holder(fleet)
    holder.is_frozen = True
    await fleet.run(duration_s)
    holder.is_frozen = False


async def _freeze_before_write(fleet: DutyFleet) -> None:
    holder = _holder(fleet)
    holder.may_write.clear()
    while fleet.now_s % fleet.window_s < 3.2 or fleet.now_s % fleet.window_s > 3.4:
        await fleet.run(0.1)
    fleet.failed_s = fleet.now_s
    holder.is_frozen = True
    await fleet.run(8.0)
    holder.is_frozen = False
    holder.may_write.set()
    await fleet.run(0.1)


async def _cut_store(fleet: DutyFleet) -> None:
    _holder(fleet).cut_from.add("store")


async def _cut_dispatcher(fleet: DutyFleet) -> None:
    assert fleet.dispatcher is not None
    fleet.pair_cuts.add(frozenset(("vm-1", fleet.dispatcher.node)))


async def _kill_both(fleet: DutyFleet) -> None:
    await _kill(fleet)
    await _kill_dispatcher(fleet)


async def _kill_dispatcher(fleet: DutyFleet) -> None:
    assert fleet.dispatcher is not None
    fleet.dispatcher.is_running = False


async def _kill_successor(fleet: DutyFleet) -> None:
    successor = _holder(fleet).seat.successors()[0]
    fleet.daemons[successor.node].is_running = False
    await _kill(fleet)


async def _stop(fleet: DutyFleet) -> None:
    holder = _holder(fleet)
    with fleet.simulated_time():
        holder.sender.leave()
        await holder.seat.stop()
        await holder.sender.flush()
    holder.is_running = False


async def _cut_api(fleet: DutyFleet) -> None:
    _holder(fleet).cut_from.add("api")


async def _become_dispatcher(fleet: DutyFleet) -> None:
    fleet.dispatcher = _holder(fleet)


async def _api_down(fleet: DutyFleet) -> None:
    fleet.is_api_down = True
    await fleet.run(6.0)
    fleet.is_api_down = False


async def _store_down(fleet: DutyFleet) -> None:
    fleet.store.is_away = True
    await fleet.run(6.0)
    fleet.store.is_away = False


async def _join(fleet: DutyFleet) -> None:
    fleet.cores = (64.0,)
    newcomer = SimulatedDaemon(fleet, 99)
    fleet.daemons[newcomer.node] = newcomer


async def _restart_all(fleet: DutyFleet) -> None:
    for daemon in fleet.daemons.values():
        daemon.is_running = False
    await fleet.run(1.0)
    for node in list(fleet.daemons):
        fleet.restart(node)
    fleet.dispatcher = fleet.daemons["vm-9"]


FAILURES: dict[str, Callable[[DutyFleet], object]] = {
    "the holder is killed": _kill,
    "the holder is killed just before its report": _kill_before_report,
    "the holder is frozen for 8 s": lambda fleet: _freeze(fleet, 8.0),
    "the holder is frozen for 1 s": lambda fleet: _freeze(fleet, 1.0),
    "the holder is frozen for 8 s before its write": _freeze_before_write,
    "the holder is cut from the store": _cut_store,
    "the holder is cut from the dispatcher": _cut_dispatcher,
    "the holder and the dispatcher are killed": _kill_both,
    "the holder and its first successor are killed": _kill_successor,
    "the holder is stopped": _stop,
    "the holder is cut from the platform API": _cut_api,
    "the holder becomes the dispatcher": _become_dispatcher,
    "the platform API is down for all": _api_down,
    "the dispatcher is killed": _kill_dispatcher,
    "a larger VM joins": _join,
    "the store is down for 6 s": _store_down,
    "all daemons are killed and start again": _restart_all,
}


@when("{failure} while vm-1 holds the duty")
def step_failure(context: Context, failure: str) -> None:
    context.fleet.failed_s = context.fleet.now_s
    run_on_loop(context, FAILURES[failure](context.fleet))


@then("{holder} holds the duty within {limit:g} s")
def step_holder(context: Context, holder: str, limit: float) -> None:
    fleet = context.fleet
    limit_s = max(fleet.failed_s + limit, fleet.now_s)

    def is_right() -> bool:
        nodes = [daemon.node for daemon in fleet.holders()]
        if len(nodes) != 1:
            return False
        expected = {"another": nodes[0] != "vm-1", "someone": True}
        return expected.get(holder, nodes[0] == holder)

    while not is_right():
        assert fleet.now_s < limit_s + 0.2, [d.node for d in fleet.holders()]
        run_on_loop(context, fleet.run(0.1))
    run_on_loop(context, fleet.run(AFTER_S))
    assert len(fleet.holders()) == 1, [daemon.node for daemon in fleet.holders()]


@then("no rule of the platform's API is broken")
def step_rules(context: Context) -> None:
    judge = context.fleet.judge if "fleet" in context else context.api.judge
    assert judge.calls, "no call was made, so nothing was tested"
    assert not judge.violations, judge.violations


@then("all windows are reported, at most {late:d} late")
def step_reported(context: Context, late: int) -> None:
    judge = context.fleet.judge
    windows = sorted(judge.reports)
    gaps = set(range(windows[0], windows[-1] + 1)) - set(windows)
    # Nobody can know the counts of a window in which all daemons were lost.
    allowed = 1 if "start again" in str(context.active_outline) else 0
    assert len(gaps) <= allowed, gaps
    assert windows[-1] >= int(context.fleet.now_s // 5) - 3, windows
    assert len(judge.late_windows()) <= late, judge.late_windows()


# -- the platform's API


@given("a stand-in of the platform's API that is {state}")
def step_api(context: Context, state: str) -> None:
    start_loop(context)
    context.api = DutyApi(DutyJudge())
    fault = context.api.fault = DutyApiFault()
    if state in ("full", "limited", "down", "silent"):
        fault.mode = state
    fault.delay_s = SLOW_S if state == "slow" else 0.0
    fault.lose_answers = int(state == "losing its answers")
    listener = listening_socket(Address("127.0.0.1", 0))
    host, port = listener.getsockname()
    context.address = Address(host, port)
    if state == "gone":
        listener.close()
        return
    config = uvicorn.Config(context.api.app, log_level="critical", lifespan="off")
    server = StandInServer(config)
    context.serving = context.loop.create_task(server.serve(sockets=[listener]))


@when("a report is sent under a lease that is {lease}")
def step_report(context: Context, lease: str) -> None:
    api = PlatformDutyApi(context.address)
    terms = DutyTerms("vm-1", 3, lambda: lease == "held")
    counts = {"acme": 4}
    context.end = run_on_loop(context, api.report_usage(12, counts, terms))


@then("the report ends as {end}")
def step_end(context: Context, end: str) -> None:
    assert context.end is DutyEnd(end), context.end


@then("the API has recorded {count:d} calls")
def step_calls(context: Context, count: int) -> None:
    calls = context.api.judge.calls
    assert len(calls) == count, calls
    for call in calls:
        assert (call.holder, call.fence) == ("vm-1", 3), call
        assert call.body == {"window": 12, "counts": {"acme": 4}}, call


# -- settings and messages


@given("a settings file with the section {section}")
def step_settings(context: Context, section: str) -> None:
    text = SETTINGS
    if section != "none":
        text += section.replace("[cloud] ", "[cloud]\n").replace('", d', '"\nd')
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "vm.toml"
        path.write_text(text)
        context.facts = load_vm_facts(str(path))


@then("the duties of the deployment are {duties}")
def step_duties(context: Context, duties: str) -> None:
    cloud = context.facts.cloud
    if duties == "none":
        assert cloud is None, cloud
        return
    expected = (duties == "usage reports", duties == "scaling")
    assert (cloud.reports_usage, cloud.orders_replicas) == expected, cloud


@then("a pong without times, and a pong with unknown fields, decode")
def step_pongs(context: Context) -> None:
    former = {"node": "a", "incarnation": "i", "is_dispatcher": True}
    assert decode(encode(former), type=Pong).fleet_time_s == 0.0
    newer = msgspec.to_builtins(Pong("a", "i", True)) | {"later": 1}
    assert decode(encode(newer), type=Pong) == Pong("a", "i", True)


class _Receiver:
    """Takes the totals that arrive."""

    def __init__(self) -> None:
        self.received: list[UsageBundle] = []

    def receive(self, bundle: UsageBundle) -> None:
        self.received.append(bundle)


@when("totals of {count:d} daemons are sent over HTTP")
def step_send_totals(context: Context, count: int) -> None:
    start_loop(context)
    counts = {f"customer-{number}": number for number in range(85)}
    context.bundle = UsageBundle(
        tuple(
            WindowCounts(f"vm-{number}", "i", 7, counts, {}, number)
            for number in range(count)
        )
    )
    context.receiver = _Receiver()
    endpoints = DutyEndpoints(None, None, None, context.receiver)  # type: ignore[arg-type]
    listener = listening_socket(Address("127.0.0.1", 0))
    address = Address(*listener.getsockname())
    app = Starlette(routes=list(endpoints.routes()))
    config = uvicorn.Config(app, log_level="critical", lifespan="off")
    context.loop.create_task(StandInServer(config).serve(sockets=[listener]))
    peers = PeerClient("vm-1", lambda: None, lambda: [], lambda: ())
    run_on_loop(context, peers.send_usage(address, context.bundle))


@then("the same totals arrive")
def step_totals(context: Context) -> None:
    assert context.receiver.received == [context.bundle]


# -- processes


@given("a platform whose daemons report usage in windows of {window:g} s")
def step_processes(context: Context, window: float) -> None:
    cluster = context.cluster = PlatformCluster()
    context.add_cleanup(cluster.close)
    context.api = cluster.add_duty_api(window)
    cluster.add_replica("plain-1", PLAIN_SERVICE)
    cluster.start_edges(3)


@when("the holder's process is killed after {count:d} reports")
def step_kill_process(context: Context, count: int) -> None:
    judge = context.api.judge
    wait_for("reports arrive", lambda: len(judge.reports) >= count)
    context.killed = judge.calls[-1]
    context.cluster.edges[context.killed.holder].kill()


@then("another process reports the next windows with a higher token")
def step_next_process(context: Context) -> None:
    judge, killed = context.api.judge, context.killed
    first = killed.body["window"]

    def has_gone_on() -> bool:
        later = [call for call in judge.calls if call.fence > killed.fence]
        windows = {call.body["window"] for call in later}
        return {first + 1, first + 2, first + 3} <= windows

    wait_for("the next windows are reported", has_gone_on)
    assert judge.calls[-1].holder != killed.holder
    assert not judge.late_windows(), judge.late_windows()
