"""greengagetack.rollouts.delivery: returns finished groups to trainers."""

from collections.abc import Callable

from greengagetack.errors import DeadlineExceeded, OwnerUnavailable
from greengagetack.rollouts.groupset import expand_ranges
from greengagetack.rollouts.messages import (
    FetchedGroups,
    FetchGroups,
    FinishedGroup,
)
from greengagetack.rollouts.records import BatchRecord, StepRecords
from greengagetack.rollouts.runner import StepRunner
from greengagetack.timer import Timer

__all__ = ["deliver_groups"]

MAX_WAIT_S = 30.0
MAX_ANSWER_BYTES = 4_000_000
NOT_EXCLUSIVE_RETRY_S = 1.0


async def deliver_groups(
    runner: StepRunner,
    records: StepRecords,
    request: FetchGroups,
    timer: Timer,
    time_left_s: Callable[[], float],
) -> FetchedGroups:
    """Return finished groups that the trainer does not hold, waiting for one.

    Raises
    ------
    DeadlineExceeded
        If the step's deadline has passed and not all groups are finished.
    OwnerUnavailable
        If a numbered batch cannot be committed at present.
    """
    if request.batch >= 0:
        return await _deliver_batch(runner, records, request, timer, time_left_s)
    held = expand_ranges(request.held)
    runner.state.advance_trainer(request.trainer_version)
    await runner.set_held(held)
    groups = await _wait_for_groups(runner, request, held, timer, time_left_s)
    return FetchedGroups(groups, runner.state.missing_group_count(held) - len(groups))


async def _wait_for_groups(
    runner: StepRunner,
    request: FetchGroups,
    held: frozenset[int],
    timer: Timer,
    time_left_s: Callable[[], float],
) -> tuple[FinishedGroup, ...]:
    wait_end_s = timer.now_s() + min(request.wait_s, MAX_WAIT_S)
    while True:
        await runner.drop_stale()
        groups = runner.state.deliverable_groups(held, request.max_groups)
        if groups or runner.state.missing_group_count(held) == 0:
            return _truncate_to_answer_size(groups)
        if time_left_s() <= 0:
            raise DeadlineExceeded("the step's deadline has passed")
        wait_s = min(wait_end_s - timer.now_s(), time_left_s())
        if wait_end_s <= timer.now_s():
            return ()
        await runner.wait_for_change(wait_s)


def _truncate_to_answer_size(
    groups: tuple[FinishedGroup, ...],
) -> tuple[FinishedGroup, ...]:
    """Return the leading groups that fit into one answer, at least one."""
    size_bytes = 0
    for count, group in enumerate(groups):
        size_bytes += sum(len(sample.text.encode()) for sample in group.samples)
        if size_bytes > MAX_ANSWER_BYTES and count > 0:
            return groups[:count]
    return groups


async def _deliver_batch(
    runner: StepRunner,
    records: StepRecords,
    request: FetchGroups,
    timer: Timer,
    time_left_s: Callable[[], float],
) -> FetchedGroups:
    """Return a numbered batch; its composition is committed before delivery."""
    spec = runner.state.spec
    if not records.may_act(spec):
        raise OwnerUnavailable(
            "batches need an owner that holds the shard alone", NOT_EXCLUSIVE_RETRY_S
        )
    delivered: set[int] = set()
    for number in range(request.batch):
        earlier = records.batch(spec, number)
        if earlier is not None:
            delivered.update(earlier.group_ids)
    committed = records.batch(spec, request.batch)
    if committed is None:
        runner.state.advance_trainer(request.trainer_version)
        held = frozenset(delivered)
        await runner.set_held(held)
        groups = await _wait_for_groups(runner, request, held, timer, time_left_s)
        if not groups:
            return FetchedGroups((), runner.state.missing_group_count(held))
        committed = _make_batch_record(groups)
    # An earlier commit may have failed after its local write, so it is repeated.
    await records.put_batch(spec, request.batch, committed)
    delivered.update(committed.group_ids)
    missing = runner.state.missing_group_count(frozenset(delivered))
    return FetchedGroups(_groups_from_record(committed), missing)


def _make_batch_record(groups: tuple[FinishedGroup, ...]) -> BatchRecord:
    samples = tuple(sample for group in groups for sample in group.samples)
    return BatchRecord(samples, tuple(group.group_id for group in groups))


def _groups_from_record(record: BatchRecord) -> tuple[FinishedGroup, ...]:
    return tuple(
        FinishedGroup(
            group_id,
            tuple(sample for sample in record.samples if sample.group_id == group_id),
        )
        for group_id in record.group_ids
    )
