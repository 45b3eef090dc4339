"""features.steps.admission_steps: refusals, returns and customers' shares."""

from behave import given, then, when
from behave.runner import Context

from features.support.admission_load import (
    HEAVY,
    START_S,
    AdmissionLoad,
    Daemon,
)
from greengagetack.gateway.backlog import (
    Backlog,
    Outcomes,
    estimate_backlog,
    may_be_in_time,
    pass_share,
    retry_after_s,
)
from greengagetack.gateway.customer_shares import RequestOutcome, ServiceShares
from greengagetack.gateway.shares import (
    ServiceDemand,
    fair_level,
    fair_shares,
    newcomer_share,
)

RANK = 5


def _number(text: str) -> float | None:
    return None if text == "none" else float(text)


@when(
    "{used:d} requests of {slots:d} places take {taken} ms, {refused:g} are refused "
    "for each served one"
)
def step_backlog(
    context: Context, used: int, slots: int, taken: str, refused: float
) -> None:
    taken_ms = _number(taken)
    response_s = None if taken_ms is None else taken_ms / 1000
    context.backlog = estimate_backlog(slots, used, response_s, refused)


@then("the expected wait is {wait} ms and the backlog clears in {clear} ms")
def step_expected(context: Context, wait: str, clear: str) -> None:
    backlog = context.backlog
    if wait == "none":
        assert backlog is None, backlog
        return
    assert abs(backlog.wait_s * 1000 - float(wait)) < 0.1, backlog
    assert abs(backlog.clear_s * 1000 - float(clear)) < 0.1, backlog


@then("a request with {left:d} ms left may be in time: {answer}")
def step_in_time(context: Context, left: int, answer: str) -> None:
    assert may_be_in_time(left / 1000, context.backlog) == (answer == "yes")


@when("a daemon has served {served:d} and refused {refused:d} requests, {age:d} ms ago")
def step_outcomes(context: Context, served: int, refused: int, age: int) -> None:
    context.outcomes = Outcomes()
    for number in range(served + refused):
        context.outcomes.record(number < served, START_S)
    context.outcomes.fade(START_S + age / 1000)


@then("{share:d} % of the requests that seem too late are sent")
def step_pass_share(context: Context, share: int) -> None:
    assert abs(pass_share(context.outcomes) * 100 - share) < 0.6


@when(
    "a caller with {left:d} ms left is refused, the backlog clears in {clear} ms, "
    "the draw is {draw:g}"
)
def step_refused(context: Context, left: int, clear: str, draw: float) -> None:
    clear_ms = _number(clear)
    backlog = None if clear_ms is None else Backlog(0.0, 0.0, 1.0, clear_ms / 1000)
    context.retries_s = [
        retry_after_s(backlog, left / 1000, draw, has_returned)
        for has_returned in (False, True)
    ]


@then("it comes back after {first:d} ms, or {again:d} ms if it had come back before")
def step_returns(context: Context, first: int, again: int) -> None:
    retries_ms = [round(retry_s * 1000) for retry_s in context.retries_s]
    assert retries_ms == [first, again], retries_ms


# -- simulated load


@given(
    "{daemons:d} daemons that come and go, {customers:d} customers and {replicas:d} "
    "replicas of 6 places"
)
def step_changing(
    context: Context, daemons: int, customers: int, replicas: int
) -> None:
    context.daemons = daemons
    context.load = AdmissionLoad(daemons, customers, replicas, is_changing=True)


@given(
    "{daemons:d} daemons, {customers} customers and {replicas:d} replicas of 6 places"
)
def step_steady(context: Context, daemons: int, customers: str, replicas: int) -> None:
    context.daemons = daemons
    has_customers = customers != "no"
    count = int(customers) if has_customers else 85
    context.load = AdmissionLoad(
        daemons, count, replicas, time_s=3.0, has_shares=has_customers
    )


@given("one customer sends 20 times as much as any other")
def step_heavy(context: Context) -> None:
    context.load.weights[HEAVY] = 20.0


@when("{factor:g} times the capacity is asked for during {seconds:d} s")
def step_load(context: Context, factor: float, seconds: int) -> None:
    context.seconds = seconds
    context.load.factor = lambda at_s: factor
    context.load.run(seconds, context.daemons)


@when("{factor:g} times the capacity is asked for during 10 s and half of it for 10 s")
def step_load_ends(context: Context, factor: float) -> None:
    context.load.factor = lambda at_s: factor if at_s < 10 else 0.5
    context.load.run(20, context.daemons)


@when("{count:d} requests arrive at once at half of the load")
def step_burst(context: Context, count: int) -> None:
    context.load.factor = lambda at_s: 0.5
    context.load.burst(count, 10.0)
    context.load.run(15, context.daemons)


@then("nobody is refused")
def step_none_refused(context: Context) -> None:
    assert context.load.asked
    assert not context.load.refusals, len(context.load.refusals)


@then("at least {count:d} callers are refused")
def step_refused_count(context: Context, count: int) -> None:
    first = [at_s for at_s, _, _ in context.load.refusals if at_s < 10.01]
    assert len(first) >= count, len(first)
    context.refused = len(first)


@then("at most {most:d} % of them come back within the same 50 ms")
def step_spread(context: Context, most: int) -> None:
    times_s = sorted(context.load.returns_s[: context.refused])
    fullest = max(
        sum(start_s <= at_s < start_s + 0.05 for at_s in times_s) for start_s in times_s
    )
    assert fullest <= most / 100 * len(times_s), (fullest, len(times_s))


@then(
    "those that came back are admitted at least {ratio:g} times as often as newcomers"
)
def step_precedence(context: Context, ratio: float) -> None:
    load = context.load
    first = sum(load.first) / len(load.first)
    again = sum(load.again) / len(load.again)
    assert again >= ratio * first, (first, again)


@then("at least {least:d} % of the capacity is used")
def step_used(context: Context, least: int) -> None:
    load = context.load
    share = sum(load.served.values()) / load.capacity_per_s / context.seconds
    assert share >= least / 100, share


@then("nobody is refused by a daemon while a place is free")
def step_no_idle(context: Context) -> None:
    assert context.load.refusals
    assert not context.load.idle_refusals, context.load.idle_refusals


@then(
    "the worst tenth of the others is served at least {least:g} times as often as all "
    "of them"
)
def step_worst(context: Context, least: float) -> None:
    ratio = context.load.worst_tenth_ratio()
    assert ratio >= least, ratio


@then("the one is served at most {most:g} times as many requests as each of the others")
def step_heavy_served(context: Context, most: float) -> None:
    load = context.load
    others = [load.served[name] for name in load.names if name != HEAVY]
    ratio = load.served[HEAVY] / (sum(others) / len(others))
    assert ratio <= most, ratio


@then("some are refused by share")
def step_some_by_share(context: Context) -> None:
    assert any(is_by_share for _, _, is_by_share in context.load.refusals)


@then("nobody is refused by share later than {limit_s:d} s after that")
def step_none_later(context: Context, limit_s: int) -> None:
    end_s = 10 + limit_s
    late_s = [at_s for at_s, _, _ in context.load.refusals if at_s > end_s]
    assert not late_s, (len(late_s), late_s[-1])


@then("nobody is refused by share and no daemon knows of shares")
def step_no_shares(context: Context) -> None:
    load = context.load
    assert load.refusals
    assert not any(is_by_share for _, _, is_by_share in load.refusals)
    for daemon in load.daemons:
        assert daemon.table.get(ServiceShares, "plain") is None


# -- decisions on shares


@when("customers ask for {demands} with weights {weights} and there is {capacity:g}")
def step_demands(context: Context, demands: str, weights: str, capacity: float) -> None:
    pairs = zip(demands.split(","), weights.split(","), strict=True)
    context.level = fair_level(
        [(float(demand), float(weight)) for demand, weight in pairs], capacity
    )


@then("the fair level is {level}")
def step_level(context: Context, level: str) -> None:
    expected = float("inf") if level == "none" else float(level)
    assert context.level == expected, context.level


@when("10 s bring {asked} requests of ranks {ranks}, of which {served:d} were served")
def step_asked(context: Context, asked: str, ranks: str, served: int) -> None:
    counts: list[float] = []
    for text in asked.split(","):
        count, _, times = text.partition("*")
        counts += [float(count)] * int(times or 1)
    rank_of = [int(rank) for rank in ranks.split(",")]
    rank_of += rank_of[:1] * (len(counts) - len(rank_of))
    demand = ServiceDemand(
        {f"c{number}": count for number, count in enumerate(counts)}, served=served
    )
    context.shares = fair_shares(demand, lambda name: rank_of[int(name[1:])], RANK)


@then("the shares to admit are {admitted}")
def step_admitted(context: Context, admitted: str) -> None:
    shares = context.shares.admitted
    if admitted.endswith(" listed"):
        assert len(shares) == int(admitted.split()[0]), shares
        return
    found = [f"{name} {share:.2f}" for name, share in sorted(shares.items())]
    assert found == ([] if admitted == "none" else [admitted]), found


@when(
    "100 requests are served of {newcomers:d} newcomers and {returned:d} that came back"
)
def step_newcomers(context: Context, newcomers: int, returned: int) -> None:
    demand = ServiceDemand(served=100, newcomers=newcomers, returned=returned)
    context.share = newcomer_share(demand)


@then("{share:d} % of the newcomers are admitted")
def step_newcomer_share(context: Context, share: int) -> None:
    assert abs(context.share * 100 - share) < 0.1, context.share


@given("a daemon with requests of {count:d} customers named in 40 characters")
def step_many_customers(context: Context, count: int) -> None:
    load = AdmissionLoad(1, 1)
    daemon = Daemon(load, 0)
    daemon.congestion.is_congested = lambda service: True
    for number in range(count):
        outcome = RequestOutcome(f"{number:040}", True, False)
        daemon.shares.record("plain", outcome)
    context.shares = daemon.shares


@then("its report has at most {most:d} bytes")
def step_report(context: Context, most: int) -> None:
    text = context.shares.take_report()
    assert 0 < len(text) <= most, len(text)


@then('reports "{texts}" count for nothing')
def step_wrong_reports(context: Context, texts: str) -> None:
    for text in texts.split('", "'):
        context.shares.handle_report("n1", text)
    assert not context.shares._memory, context.shares._memory
