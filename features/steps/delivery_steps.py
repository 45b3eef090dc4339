"""features.steps.delivery_steps: progress of a step and delivery of its groups."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import suppress

from behave import given, then, when
from behave.runner import Context

from features.support.memory_shards import MemoryShards
from greengagetack.errors import CodedError
from greengagetack.keeper.messages import Chunk, Complete, Completed, EndpointLoad
from greengagetack.rollouts.concurrency import step_concurrency
from greengagetack.rollouts.delivery import deliver_groups
from greengagetack.rollouts.groupset import expand_ranges, to_ranges
from greengagetack.rollouts.hedging import HedgeLimits
from greengagetack.rollouts.messages import FetchedGroups, FetchGroups
from greengagetack.rollouts.orders import get_dispatch_order
from greengagetack.rollouts.records import StepRecords
from greengagetack.rollouts.runner import StepRunner
from greengagetack.rollouts.spec import FinishedSample, GroupSpec, SampleId, StepSpec
from greengagetack.rollouts.state import StepState
from greengagetack.rollouts.versions import VersionRange
from greengagetack.rollouts.window import DispatchWindow
from greengagetack.timer import Timer

TOKENS_PER_SAMPLE = 10
FAR_DEADLINE_S = 60.0


class NoCompletions:
    """Fake that never completes a sample."""

    async def complete(
        self, request: Complete, exclude: frozenset[str] = frozenset()
    ) -> AsyncGenerator[Chunk | Completed, None]:
        """Wait forever."""
        await asyncio.Event().wait()
        yield Chunk(0, 0, "", 0)

    def endpoint_of(self, request_id: str) -> str:
        """Return an empty string."""
        return ""

    async def release(self, request_id: str) -> None:
        """Do nothing."""

    async def cancel(self, request_id: str) -> None:
        """Do nothing."""


def _numbers(text: str) -> tuple[int, ...]:
    return tuple(int(part) for part in text.split(",") if part.strip())


def _sample(sample_id: SampleId, versions: tuple[int, ...]) -> FinishedSample:
    ranges = tuple(
        VersionRange(version, number, number + 1)
        for number, version in enumerate(versions)
    )
    return FinishedSample(
        sample_id.group_id, sample_id.index, "text", TOKENS_PER_SAMPLE, ranges, "e1"
    )


def _finish(context: Context, sample_id: SampleId, versions: str) -> None:
    state: StepState = context.runner.state
    state.add_finished(_sample(sample_id, _numbers(versions)))
    group_id = sample_id.group_id
    if state.needs_score(group_id):
        state.set_scores(group_id, {})


async def _no_scores(
    spec: StepSpec, samples: tuple[FinishedSample, ...]
) -> dict[int, float]:
    return {}


def _new_runner(context: Context, state: StepState) -> StepRunner:
    return StepRunner(
        state,
        context.records,
        NoCompletions(),
        _no_scores,
        lambda: 0,
        Timer(1),
        lambda: FAR_DEADLINE_S,
        HedgeLimits(0.02, 3.0),
    )


@given(
    "a step of {groups:d} groups of {samples:d} samples with staleness bound "
    "{bound:d} and trainer version {version:d}"
)
def step_new_step(
    context: Context, groups: int, samples: int, bound: int, version: int
) -> None:
    spec = StepSpec(
        team="kestrel",
        job="notes",
        step=1,
        model="summary",
        trainer_version=version,
        max_staleness_versions=bound,
        groups=tuple(GroupSpec(number, f"prompt {number}") for number in range(groups)),
        samples_per_group=samples,
        max_tokens=100,
    )
    context.shards = MemoryShards()
    context.records = StepRecords(context.shards)
    context.runner = _new_runner(context, StepState(spec))


@given('its groups are expected to have "{tokens}" tokens')
def step_expected(context: Context, tokens: str) -> None:
    spec = context.runner.state.spec
    groups = tuple(
        GroupSpec(group.group_id, group.prompt, expected)
        for group, expected in zip(spec.groups, _numbers(tokens), strict=True)
    )
    context.groups = groups


@when('sample {index:d} of group {group:d} is finished with versions "{versions}"')
def step_finish(context: Context, index: int, group: int, versions: str) -> None:
    _finish(context, SampleId(group, index), versions)


@when('all samples are finished with versions "{versions}"')
def step_finish_all(context: Context, versions: str) -> None:
    spec = context.runner.state.spec
    for group in spec.groups:
        for index in range(spec.samples_per_group):
            _finish(context, SampleId(group.group_id, index), versions)


def _fetch(
    context: Context, version: int, held: tuple[int, ...], batch: int = -1
) -> FetchedGroups:
    request = FetchGroups(
        "kestrel", "notes", 1, version, to_ranges(held), 100, 0.0, batch
    )

    async def fetch() -> FetchedGroups:
        answer = await deliver_groups(
            context.runner, context.records, request, Timer(1), lambda: FAR_DEADLINE_S
        )
        await context.runner.stop(cancel_requests=False)
        return answer

    return asyncio.run(fetch())


@when("the trainer fetches at version {version:d}")
def step_fetch(context: Context, version: int) -> None:
    context.fetched = _fetch(context, version, ())


@when('the trainer fetches at version {version:d} holding "{held}"')
def step_fetch_holding(context: Context, version: int, held: str) -> None:
    context.fetched = _fetch(context, version, _numbers(held))


@when('the trainer fetches at version {version:d} holding ""')
def step_fetch_holding_none(context: Context, version: int) -> None:
    context.fetched = _fetch(context, version, ())


@then('it is "{result}"')
def step_result(context: Context, result: str) -> None:
    state = context.runner.state
    if result == "delivered":
        assert len(context.fetched.groups) == 1
        return
    assert context.fetched.groups == ()
    assert state.pending == 1
    assert state.wasted_tokens == TOKENS_PER_SAMPLE


@then('the groups "{groups}" are delivered')
def step_delivered(context: Context, groups: str) -> None:
    delivered = tuple(group.group_id for group in context.fetched.groups)
    assert delivered == _numbers(groups), delivered


@then('the groups "" are delivered')
def step_none_delivered(context: Context) -> None:
    assert context.fetched.groups == ()


@then("{tokens:d} tokens are wasted")
def step_wasted(context: Context, tokens: int) -> None:
    assert context.runner.state.wasted_tokens == tokens


@when('samples are dispatched in the order "{name}"')
def step_dispatch(context: Context, name: str) -> None:
    spec = context.runner.state.spec
    state = StepState(_with_groups(spec, context.groups), get_dispatch_order(name))
    context.dispatched = []
    while (sample_id := state.next_sample()) is not None:
        state.mark_in_flight(sample_id)
        context.dispatched.append(sample_id.group_id)


def _with_groups(spec: StepSpec, groups: tuple[GroupSpec, ...]) -> StepSpec:
    return StepSpec(
        spec.team,
        spec.job,
        spec.step,
        spec.model,
        spec.trainer_version,
        spec.max_staleness_versions,
        groups,
        spec.samples_per_group,
        spec.max_tokens,
    )


@then('the groups "{groups}" are dispatched')
def step_dispatched(context: Context, groups: str) -> None:
    assert tuple(context.dispatched) == _numbers(groups), context.dispatched


@when('the groups "{groups}" are encoded as ranges')
def step_encode(context: Context, groups: str) -> None:
    context.group_ids = _numbers(groups)


@when('the groups "" are encoded as ranges')
def step_encode_none(context: Context) -> None:
    context.group_ids = ()


@then('the ranges are "{ranges}"')
def step_ranges(context: Context, ranges: str) -> None:
    ranges_of_groups = to_ranges(context.group_ids)
    assert " ".join(f"{part.first}-{part.end}" for part in ranges_of_groups) == ranges
    assert expand_ranges(ranges_of_groups) == frozenset(context.group_ids)


@then('the ranges are ""')
def step_no_ranges(context: Context) -> None:
    assert to_ranges(context.group_ids) == ()


@when('batch 0 is fetched twice with the fault "{fault}"')
def step_batches(context: Context, fault: str) -> None:
    context.shards.acting = fault != "not the owner"
    context.shards.backup_reachable = not fault.startswith("backup unreachable")
    if fault.endswith("asked again"):
        with suppress(CodedError):
            _fetch(context, 5, (), 0)
    try:
        first = _fetch(context, 5, (), 0)
        if fault == "group remade":
            context.runner.state.advance_trainer(9)
            context.runner.state.drop_stale()
        second = _fetch(context, 5, (), 0)
    except CodedError as error:
        context.batches = error.code
        return
    assert first.groups
    context.batches = "the same" if first == second else "different"


@then('the batches are "{result}"')
def step_batches_result(context: Context, result: str) -> None:
    assert context.batches == result, context.batches


@when("{steps:d} such steps run and {finished:d} of them are finished")
def step_run_several(context: Context, steps: int, finished: int) -> None:
    spec = context.runner.state.spec
    context.runners = [_new_runner(context, StepState(spec)) for _ in range(steps)]

    async def run() -> None:
        for runner in context.runners:
            runner.start()
        for runner in context.runners[:finished]:
            for group in spec.groups:
                runner.state.add_finished(_sample(SampleId(group.group_id, 0), (5,)))
                runner.state.set_scores(group.group_id, {})
            runner.notify()
        await asyncio.sleep(0.05)
        context.concurrency = step_concurrency(40, context.runners)
        for runner in context.runners:
            await runner.stop(cancel_requests=False)

    asyncio.run(run())


@then("each may have {concurrency:d} samples in flight at 40 slots")
def step_allowed_in_flight(context: Context, concurrency: int) -> None:
    assert context.concurrency == concurrency, context.concurrency


@given("a dispatch window of at most {largest:d}")
def step_window(context: Context, largest: int) -> None:
    context.window = DispatchWindow()
    context.largest = largest
    context.window.size(largest)


@when("{count:d} samples are reported")
def step_none_reported(context: Context, count: int) -> None:
    assert count == 0


@when("{count:d} samples that leave {waiting:d} of {slots:d} waiting are reported")
def step_reported(context: Context, count: int, waiting: int, slots: int) -> None:
    load = EndpointLoad("e1", slots, waiting, 0, slots, 1.0, 0.0, 1)
    for _ in range(count):
        context.window.record_load(load)
        context.window.size(context.largest)


@then("the window allows {size:d} samples in flight")
def step_window_size(context: Context, size: int) -> None:
    assert context.window.size(context.largest) == size
