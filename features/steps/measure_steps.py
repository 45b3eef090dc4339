"""features.steps.measure_steps: the figures computed by the measurements."""

import json

from behave import given, then, when
from behave.runner import Context

from bench.callers import parse_events
from bench.figures import percentile
from bench.trainers import AnnouncedVersions, StepRecord, Trainer
from bench.workload import StepWork, WorkSize, make_step
from greengagetack.rollouts.client import RolloutClient
from greengagetack.rollouts.messages import FinishedGroup
from greengagetack.rollouts.runner import SEED_FACTOR, SEED_PER_GROUP
from greengagetack.rollouts.spec import FinishedSample
from greengagetack.rollouts.versions import VersionRange
from standins.tokens import answer_length

SIZE = WorkSize()
IDEAL_TOLERANCE_S = 0.01


@given('a measured step of "{lengths}" tokens')
def step_work(context: Context, lengths: str) -> None:
    group = tuple(int(length) for length in lengths.split(","))
    context.work = StepWork("alpha", 0, 4, ("prompt",), (group,))


@then("its ideal time at {capacity:g} tokens per second is {ideal:g} s")
def step_ideal(context: Context, capacity: float, ideal: float) -> None:
    assert abs(context.work.ideal_s(capacity) - ideal) < IDEAL_TOLERANCE_S


@then("equal seeds give equal measured steps and different seeds do not")
def step_seeds(context: Context) -> None:
    context.work = make_step("alpha", 0, SIZE, 7)
    assert context.work == make_step("alpha", 0, SIZE, 7)
    assert context.work != make_step("alpha", 0, SIZE, 8)
    assert context.work != make_step("alpha", 1, SIZE, 7)


@then("the engine stand-in gives each measured sample its planned length")
def step_lengths(context: Context) -> None:
    work = context.work
    for group_id, group in enumerate(work.lengths):
        for index, length in enumerate(group):
            seed = work.seed * SEED_FACTOR + group_id * SEED_PER_GROUP + index
            assert answer_length(work.prompts[group_id], seed, 10_000) == length


@when('its samples are delivered {times:d} times with the text "{text}" for the first')
def step_deliver(context: Context, times: int, text: str) -> None:
    samples = []
    for index, length in enumerate(context.work.lengths[0]):
        words = [f"tok{number}-x" for number in range(length)]
        body = text if index == 0 else " ".join(words)
        versions = (VersionRange(1, 0, length),)
        samples.append(FinishedSample(0, index, body, length, versions, "e1"))
    client = RolloutClient(("http://127.0.0.1:9",), "token")
    trainer = Trainer("alpha", client, None, AnnouncedVersions(), 0.0)
    context.record = StepRecord(context.work)
    for _ in range(times):
        group = FinishedGroup(0, tuple(samples))
        trainer.record_group(context.record, group, 1, SIZE)


@then("{doubled:d} are doubled, {missing:d} missing and {wrong:d} wrong")
def step_counts(context: Context, doubled: int, missing: int, wrong: int) -> None:
    record = context.record
    counts = (record.doubled, record.missing, record.wrong)
    assert counts == (doubled, missing, wrong), counts


@when('the measured caller reads the stream "{events}"')
def step_stream(context: Context, events: str) -> None:
    data = ""
    for event in events.split(","):
        kind, _, text = event.partition(" ")
        value = json.dumps({"choices": [{"text": text}], "token_count": 1})
        if kind == "error":
            value = json.dumps({"error": {"code": "peer_lost"}})
        data += f"data: {'[DONE]' if kind == 'done' else value}\n\n"
    try:
        context.received = parse_events(data.encode())[0]
    except ValueError:
        context.received = "error"


@then('it gets "{result}"')
def step_received(context: Context, result: str) -> None:
    assert context.received == result, context.received


@then("the {share:g} percentile of 1 to {count:d} is {value:d}")
def step_percentile(context: Context, share: float, count: int, value: int) -> None:
    values = [float(number) for number in range(count, 0, -1)]
    assert percentile(values, share) == value, percentile(values, share)
