"""features.steps.usage_steps: counts of requests and their reports."""

from behave import given, then, when
from behave.runner import Context

from features.support.cut_network import CutNetwork
from features.support.duty_fleet import DutyFleet, SimulatedDaemon
from features.support.loops import run_on_loop, start_loop
from greengagetack.accounting.collection import collector_of
from greengagetack.accounting.report import (
    ReportTimings,
    StoredReports,
    StoredWindow,
    add_windows,
    plan_reports,
)
from greengagetack.accounting.windows import RequestUsage, UsageCounter
from greengagetack.gateway.routes import RequestKind
from greengagetack.observability.metrics import Metrics

CUSTOMER = "acme"
SETTLED_S = 11.0
AFTER_S = 31.0
# Reports come up to 10 s after the window's end.
QUIET_S = 11.0


# -- one request


@given("windows of {window:g} s")
def step_windows(context: Context, window: float) -> None:
    context.now_s = 0.0
    counter = UsageCounter("vm-1", "i", lambda: context.now_s, window, Metrics())
    context.counter = counter


@when("a request's attempts are {attempts}")
def step_attempts(context: Context, attempts: str) -> None:
    usage = RequestUsage(context.counter, CUSTOMER)
    for attempt in attempts.split(", "):
        kind, _, at_text = attempt.partition(" ")
        if kind == "refused":
            usage.record_refused(float(at_text))
            continue
        context.now_s = max(context.now_s, float(at_text or 0.0))
        step = {"sent": usage.record_sent, "began": usage.record_began}
        step.get(kind, usage.settle)()


@then("{counted} is counted and {noted} is open")
def step_counted(context: Context, counted: str, noted: str) -> None:
    totals = context.counter.totals()
    for text, name in ((counted, "counts"), (noted, "open_counts")):
        found = {
            f"window {total.window}": getattr(total, name)
            for total in totals
            if getattr(total, name)
        }
        expected = {} if text == "nothing" else {text: {CUSTOMER: 1}}
        assert found == expected, (name, found)


# -- the gateway


@given("{count:d} daemons whose customer sends {kind} requests")
def step_gateways(context: Context, count: int, kind: str) -> None:
    start_loop(context)
    request_kind = RequestKind.STREAM if kind == "stream" else RequestKind.IDEMPOTENT
    network = context.network = CutNetwork(count, 12, request_kind)
    network.customer = "" if kind == "public" else CUSTOMER
    context.counters = [
        UsageCounter(f"vm-{n}", "i", lambda: 1.0, 5.0, Metrics()) for n in range(count)
    ]
    for forwarder, counter in zip(network.forwarders, context.counters, strict=True):
        forwarder.usage = counter


@when("{requests:d} requests are sent to daemon 0 while {state}")
def step_requests(context: Context, requests: int, state: str) -> None:
    cuts = {"all is well": 0, "all daemons are cut from the replicas": 3}
    context.network.cut(cuts.get(state, 1), "refused")
    for number in range(requests):
        run_on_loop(context, context.network.request(0, f"r{number}"))


@then("daemon 0 has counted {counted:d} and the others none")
def step_gateway_counts(context: Context, counted: int) -> None:
    found = [counter.totals()[0] for counter in context.counters]
    sums = [sum(total.counts.values()) for total in found]
    assert sums == [counted, *(0 for _ in sums[1:])], sums
    assert not any(total.open_counts for total in found), found


# -- the fleet


@given("{count:d} daemons that count requests, with {clocks}")
def step_fleet(context: Context, count: int, clocks: str) -> None:
    start_loop(context)
    skews_s = {
        "clocks that differ by up to 400 ms": {
            number: 0.1 * (number % 9 - 4) for number in range(1, count + 1)
        },
        "one clock that is ahead by 30 s": {3: 30.0},
        "a dispatcher that is behind by 2 s": {count: -2.0},
    }
    fleet = DutyFleet(count, skews_s=skews_s.get(clocks))
    context.fleet = fleet
    fleet.is_idle = True
    run_on_loop(context, fleet.run(SETTLED_S))
    fleet.is_idle = False
    run_on_loop(context, fleet.run(SETTLED_S))
    holders = fleet.holders()
    assert len(holders) == 1, holders
    context.holder = holders[0]


def _another(context: Context) -> SimulatedDaemon:
    """Return a daemon that is neither the holder nor the dispatcher."""
    fleet: DutyFleet = context.fleet
    return next(
        daemon
        for daemon in fleet.daemons.values()
        if daemon not in (context.holder, fleet.dispatcher)
    )


def _collector(context: Context) -> SimulatedDaemon:
    nodes = list(context.fleet.daemons)
    names = {collector_of(node, nodes) for node in nodes} - {""}
    roles = {context.holder.node, context.fleet.dispatcher.node}
    chosen: SimulatedDaemon = context.fleet.daemons[sorted(names - roles)[0]]
    return chosen


async def _freeze(fleet: DutyFleet, daemon: SimulatedDaemon, duration_s: float) -> None:
    daemon.is_frozen = True
    await fleet.run(duration_s)
    daemon.is_frozen = False


async def _stop(fleet: DutyFleet, daemon: SimulatedDaemon) -> None:
    with fleet.simulated_time():
        daemon.sender.leave()
        await daemon.seat.stop()
        await daemon.sender.flush()
    daemon.is_running = False


@when("{event} while requests arrive")
def step_event(context: Context, event: str) -> None:
    run_on_loop(context, _run_event(context, event))


async def _run_event(context: Context, event: str) -> None:
    fleet: DutyFleet = context.fleet
    targets = {
        "a daemon is killed": _another,
        "the holder is killed": lambda _: context.holder,
        "the dispatcher is killed": lambda _: fleet.dispatcher,
        "a daemon that collects is killed": _collector,
    }
    if event == "a daemon that collects is killed":
        # Just when the others have sent it their totals of a window.
        while not 0.4 < fleet.now_s % fleet.window_s < 0.55:
            await fleet.run(0.1)
    if event in targets:
        targets[event](context).is_running = False
    elif event == "the holder takes the place of the killed dispatcher":
        # Late in a window, which only the holder has the failed daemon's totals of.
        while not 4.5 < fleet.now_s % fleet.window_s < 4.7:
            await fleet.run(0.1)
        fleet.dispatcher.is_running = False
        await fleet.run(1.0)
        fleet.dispatcher = context.holder
    elif event == "the holder is stopped":
        await _stop(fleet, context.holder)
    elif event == "the holder is frozen for 8 s":
        await _freeze(fleet, context.holder, 8.0)
    elif event == "a daemon is frozen for 8 s":
        await _freeze(fleet, _another(context), 8.0)
    elif event == "a daemon is cut from the holder":
        pair = frozenset((_another(context).node, context.holder.node))
        fleet.pair_cuts.add(pair)
    elif event == "the API is down for 4 s":
        fleet.is_api_down = True
        await fleet.run(4.0)
        fleet.is_api_down = False
    elif event == "the store is down for 6 s":
        fleet.store.is_away = True
        await fleet.run(6.0)
        fleet.store.is_away = False
    elif event == "3 answers of the API are lost":
        fleet.lost_answers = 3
    elif event == "3 answers of the store are lost":
        fleet.lost_writes = 3
    else:
        assert event == "nothing happens", event
    await fleet.run(AFTER_S)


@then("the reports of all windows are right to within {percent:g} %")
def step_right(context: Context, percent: float) -> None:
    fleet: DutyFleet = context.fleet
    errors = fleet.errors()
    last = int((fleet.now_s - QUIET_S) // fleet.window_s) - 1
    windows = range(min(window for window, _ in fleet.truth), last + 1)
    missing = set(windows) - set(errors)
    assert not missing, missing
    wrong = {w: errors[w] for w in windows if errors[w] > percent / 100}
    details = {w: (fleet.judge.reports[w], fleet.true_counts(w)) for w in wrong}
    assert not wrong, (wrong, details)


@then("no report differs from another of its window, and at most {late:d} are late")
def step_consistent(context: Context, late: int) -> None:
    judge = context.fleet.judge
    assert not judge.violations, judge.violations
    assert len(judge.late_windows()) <= late, judge.late_windows()


# -- the holder's decision


def _numbers(text: str) -> list[int]:
    return [] if text == "none" else [int(part) for part in text.split(", ")]


@given("windows of 5 s, of which {stored} are stored and {answered} are answered")
def step_stored(context: Context, stored: str, answered: str) -> None:
    context.stored = {one: StoredWindow(one, {}) for one in _numbers(stored)}
    context.answered = _numbers(answered)


@when("the holder plans its reports {now:g} s after the end of window 9, {complete}")
def step_plan(context: Context, now: float, complete: str) -> None:
    context.plan = plan_reports(
        50.0 + now,
        ReportTimings.for_due(5.0, 10.0),
        context.stored,
        context.answered,
        7,
        lambda window: complete != "nobody knows anything",
        lambda window: complete == "all have closed it",
        complete != "this holder is new",
    )


@then("it stores {store}, sends {send} and drops {drop}")
def step_planned(context: Context, store: str, send: str, drop: str) -> None:
    plan = context.plan
    found = (list(plan.store), list(plan.send), list(plan.drop))
    assert found == (_numbers(store), _numbers(send), _numbers(drop)), plan


@then("a stored window is not stored again with other counts")
def step_unchanged(context: Context) -> None:
    reports = StoredReports((StoredWindow(4, {CUSTOMER: 3}),))
    try:
        add_windows(reports, {4: {CUSTOMER: 4}}, ())
    except ValueError:
        return
    raise AssertionError("window 4 has other counts now")
