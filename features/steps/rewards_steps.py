"""features.steps.rewards_steps: reward calls, their limits and their load."""

import dataclasses

from behave import given, then, when
from behave.runner import Context

from features.support.reward_load import SimulatedReplica, simulate_rewards
from greengagetack.batches.checkpoint import select_snapshots
from greengagetack.batches.events import Event
from greengagetack.batches.job import Item, Job, RewardRequest
from greengagetack.batches.progress import ItemProgress, ProgressSnapshot
from greengagetack.batches.reward_placement import (
    RewardCandidate,
    RewardLimits,
    choose_reward_replica,
)
from greengagetack.batches.rewards import attempt_timeout_s, retry_pause_s
from greengagetack.gateway.routes import RequestKind, Route
from standins.platform_cluster import (
    PLAIN_SERVICE,
    PlatformCluster,
    Submission,
    reward_id_of,
    wait_for,
)
from standins.replica import seal_of

UNLIMITED_BYTES = 1 << 30
SCORE = "seal"
REWARD = RewardRequest("r", "host", "/score/r", b"")
OTHER_REWARD = RewardRequest("r2", "host", "/score/r2", b"")


def _cluster(context: Context) -> PlatformCluster:
    return context.cluster


@given("{count:d} replicas score outputs")
@when("replicas that score outputs are added: {count:d}")
def step_scorers(context: Context, count: int) -> None:
    for number in range(1, count + 1):
        _cluster(context).add_replica(f"scorer-{number}", PLAIN_SERVICE)


@given("the scorers take {pause:d} ms")
@when("the scorers take {pause:d} ms")
def step_scorer_pace(context: Context, pause: int) -> None:
    for name, replica in _cluster(context).replicas.items():
        if name.startswith("scorer-"):
            replica.event_s = pause / 1000


@given('the reward call of item "{item}" always fails')
def step_reward_fails(context: Context, item: str) -> None:
    for replica in _cluster(context).replicas.values():
        replica.fault.failing_ids.add(reward_id_of(item))


@when(
    'job "{job}" with {groups:d} groups of {size:d} and rewards is submitted at {edge}'
)
def step_submit(context: Context, job: str, groups: int, size: int, edge: str) -> None:
    submission = Submission(job, groups, size, has_rewards=True)
    answer = _cluster(context).submit(edge, submission)
    assert answer.status == 202, answer
    context.submissions[job] = submission


@when('all items of "{job}" have been generated')
def step_generated(context: Context, job: str) -> None:
    expected = set(context.submissions[job].item_ids())
    wait_for("all items are generated", lambda: expected <= set(_ended_s(context)))


@when('the checkpoint has the outputs of all items of "{job}"')
def step_checkpointed(context: Context, job: str) -> None:
    expected = set(context.submissions[job].item_ids())

    def is_written() -> bool:
        store = _cluster(context).store
        if "main" not in store.names("job-progress"):
            return False
        snapshots = store.value("job-progress", "main")
        return {s["item_id"] for s in snapshots if s["is_complete"]} >= expected

    wait_for("the checkpoint is written", is_written)


def _ended_s(context: Context) -> dict[str, float]:
    return {
        request_id: ended_s
        for replica in _cluster(context).replicas.values()
        for request_id, ended_s in replica.ended_s.items()
    }


def _reward_arrivals(context: Context, item: str) -> list[float]:
    return [
        arrived_s
        for replica in _cluster(context).replicas.values()
        for request_id, arrived_s in replica.arrived_s
        if request_id == reward_id_of(item)
    ]


@then('every completed result of "{job}" has the score of its own reward call')
def step_scores(context: Context, job: str) -> None:
    results = _cluster(context).all_results(context.completed_at, job)
    completed = [result for result in results if result["state"] == "completed"]
    assert completed
    for result in completed:
        assert result["score"] == seal_of(reward_id_of(result["id"])), result


@then('no reward call of "{job}" was sent before its item\'s last event')
def step_after_last_event(context: Context, job: str) -> None:
    ended_s = _ended_s(context)
    for item in context.submissions[job].item_ids():
        arrivals = _reward_arrivals(context, item)
        assert arrivals and min(arrivals) > ended_s[item], (item, arrivals)


@then('the reward call of item "{item}" was sent at most {count:d} times')
def step_reward_count(context: Context, item: str, count: int) -> None:
    arrivals = _reward_arrivals(context, item)
    assert 0 < len(arrivals) <= count, arrivals


@given("reward candidates {text}")
def step_candidates(context: Context, text: str) -> None:
    context.candidates = []
    for part in text.split(", "):
        name, _, rest = part.partition(" ")
        in_flight, limit, *service_ms = rest.replace(" ms", "").split("/")
        service_s = int(service_ms[0]) / 1000 if service_ms else None
        context.candidates.append(
            RewardCandidate(name, int(in_flight), int(limit), service_s)
        )


@then("with {avoided} avoided, replica {chosen} is chosen")
def step_chosen(context: Context, avoided: str, chosen: str) -> None:
    avoided_id = "" if avoided == "none" else avoided
    found = choose_reward_replica(context.candidates, avoided_id)
    assert found == (None if chosen == "none" else chosen), found


@when("a replica of {slots:d} slots {history} reward calls")
def step_history(context: Context, slots: int, history: str) -> None:
    context.limits = RewardLimits()
    context.limits.limit_of("a", slots)
    count, word = history.split()[1], history.split()[0]
    for _ in range(int(count)):
        if word == "answers":
            context.limits.record_answer("a", slots)
        else:
            context.limits.record_refusal("a")


@then("at most {limit:d} reward calls are in flight at its {slots:d} slots")
def step_limit(context: Context, limit: int, slots: int) -> None:
    assert context.limits.limit_of("a", slots) == limit


@then("a reward call with objective {objective:d} ms times out in {limits} ms")
def step_timeouts(context: Context, objective: int, limits: str) -> None:
    route = Route(
        "r", "h", "/", RequestKind.IDEMPOTENT, (("s", 1.0),), 2_000, objective, 1, 2
    )
    found = [int(attempt_timeout_s(route, n) * 1000) for n in range(3)]
    assert found == [int(text) for text in limits.split(", ")], found


@then("a failed reward call is repeated after {pauses} ms")
def step_pauses(context: Context, pauses: str) -> None:
    found = [int(retry_pause_s(n) * 1000) for n in range(5)]
    assert found == [int(text) for text in pauses.split(", ")], found


@when("{items:d} items finish at once beside {calls:d} calls a second at {replicas}")
def step_load(context: Context, items: int, calls: int, replicas: str) -> None:
    simulated = []
    for number, state in enumerate(replicas.split(", ")):
        simulated.append(
            SimulatedReplica(
                f"r{number}", 4.0 if state == "slow" else 1.0, state == "gone"
            )
        )
    context.items = items
    context.load = simulate_rewards(simulated, items, calls)


@then("all are scored within {limit:g} s")
def step_scored(context: Context, limit: float) -> None:
    assert context.load.scored == context.items, context.load.scored
    assert context.load.last_score_s < limit, context.load.last_score_s


@then("no caller is refused and each is answered within {limit:d} ms")
def step_callers(context: Context, limit: int) -> None:
    assert context.load.refused_callers == 0
    assert context.load.caller_latencies_s
    worst_s = max(context.load.caller_latencies_s)
    assert worst_s < limit / 1000, worst_s


def _progress(reward: RewardRequest | None, events: int) -> ItemProgress:
    progress = ItemProgress(Item("i", "/", (), b"", 0, "g", reward=reward))
    for number in range(1, events + 1):
        progress.append_event(Event(str(number), f"d{number}", ()), 1)
    return progress


@given("an item with a reward request and {events:d} events, {state}")
def step_item(context: Context, events: int, state: str) -> None:
    context.progress = _progress(REWARD, events)
    context.progress.start_job(context.progress.item, "job-1")
    context.progress.is_complete = state in ("complete", "scored")
    context.progress.score = SCORE if state == "scored" else ""


@when("the item {change}")
def step_change(context: Context, change: str) -> None:
    progress = context.progress
    item = progress.item
    if change == "starts again from its first event":
        progress.restart()
    elif change == "comes again with the same reward request":
        progress.start_job(item, "job-2")
    elif change == "comes again with another reward request":
        other = Item("i", "/", (), b"", 0, "g", reward=OTHER_REWARD)
        progress.start_job(other, "job-2")
    else:
        assert change == "stays as it is", change


@then("the item awaits its score: {awaits}, is finished: {finished}")
def step_item_state(context: Context, awaits: str, finished: str) -> None:
    assert context.progress.awaits_score == (awaits == "yes")
    assert context.progress.is_finished == (finished == "yes")


@when(
    "its checkpoint, written by {release}, is read where it comes again with {request}"
)
def step_read_again(context: Context, release: str, request: str) -> None:
    snapshot = context.progress.snapshot()
    if release == "the previous release":
        snapshot = dataclasses.replace(snapshot, scored_by="")
    reward = {
        "the same reward request": REWARD,
        "another identifier": dataclasses.replace(REWARD, request_id="another"),
        "the same identifier and another body": dataclasses.replace(
            REWARD, body=b"another"
        ),
        "the same identifier at another path": dataclasses.replace(
            REWARD, path="/another"
        ),
        "no reward request": None,
    }[request]
    context.progress = _progress(reward, 0)
    context.progress.start_job(context.progress.item, "job-2")
    context.progress.continue_from(snapshot, _job("job-2"))


@then(
    "the item has {events:d} events, awaits its score: {awaits}, is finished: "
    "{finished}"
)
def step_scored_item(context: Context, events: int, awaits: str, finished: str) -> None:
    assert len(context.progress.outputs) == events
    step_item_state(context, awaits, finished)
    has_score = awaits == "no" and context.progress.item.reward is not None
    expected = SCORE if has_score else ""
    assert context.progress.score == expected, context.progress.score


@given("an item that failed {runs:d} runs and {rewards:d} reward calls in job {job}")
def step_failures(context: Context, runs: int, rewards: int, job: str) -> None:
    context.progress = _progress(REWARD, 0)
    context.progress.start_job(context.progress.item, job)
    context.progress.server_failures = runs
    context.progress.reward_failures = rewards


@when("its checkpoint is read by a daemon that opens job {job}")
def step_take_over(context: Context, job: str) -> None:
    snapshots = select_snapshots([context.progress], UNLIMITED_BYTES)
    assert [snapshot.item_id for snapshot in snapshots] == ["i"], snapshots
    context.progress = _progress(REWARD, 0)
    context.progress.start_job(context.progress.item, job)
    context.progress.continue_from(snapshots[0], _job(job))


def _job(job_id: str) -> Job:
    return Job(job_id, "r", "h", "s", 0, 0.0, 0.0, 3, 1, 1)


@then("the item has {runs:d} failed runs and {rewards:d} failed reward calls")
def step_failure_counts(context: Context, runs: int, rewards: int) -> None:
    assert context.progress.server_failures == runs
    assert context.progress.reward_failures == rewards


@then("its checkpoint holds {events:d} events")
def step_checkpoint(context: Context, events: int) -> None:
    snapshots = select_snapshots([context.progress], UNLIMITED_BYTES)
    held = [len(snapshot.outputs) for snapshot in snapshots]
    assert held == ([events] if events else []), held


@then("progress {first} is further than {second}: {expected}")
def step_further(context: Context, first: str, second: str, expected: str) -> None:
    found = _snapshot(first).is_further_than(_snapshot(second))
    assert found == (expected == "yes")


def _snapshot(text: str) -> ProgressSnapshot:
    events, _, state = text.partition(":")
    return ProgressSnapshot(
        "i",
        ("x",) * int(events),
        (1,),
        events,
        state in ("complete", "scored"),
        SCORE if state == "scored" else "",
    )
