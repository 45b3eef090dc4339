"""features.steps.decisions_steps: decisions on leases, calls and versions."""

from behave import then, when
from behave.runner import Context

from greengagetack.leases.decisions import (
    CallState,
    answer_to_keyed_call,
    lease_expires_s,
    may_act,
    may_take_lease,
    may_write_next_pair,
    next_pair,
    resolve_lost_write,
)
from greengagetack.membership.table import ShardPair

PAIR = ShardPair(shard=0, epoch=4, owner_vm_id="a", backup_vm_id="b")


@when("a read-back finds version {found:d} by {by} after a write against {expected:d}")
def step_read_back(context: Context, found: int, by: str, expected: int) -> None:
    context.write_result = resolve_lost_write(found, by, expected, "own")


@then("the lost write counts as {result}")
def step_lost_write(context: Context, result: str) -> None:
    assert context.write_result.value == result, context.write_result


@when(
    "a keyed call meets a record {record}, running {running}, "
    "fresh epoch {fresh}, first {first}"
)
def step_keyed(
    context: Context, record: str, running: str, fresh: str, first: str
) -> None:
    state = None if record == "none" else CallState(record)
    context.keyed_answer = answer_to_keyed_call(
        state, running == "yes", fresh == "yes", first == "yes"
    )


@then("the keyed call is answered with {answer}")
def step_keyed_answer(context: Context, answer: str) -> None:
    assert context.keyed_answer.value == answer, context.keyed_answer


@when(
    "{writer} has sealed epoch {sealed:d} and would replace pair a/b of epoch 4 "
    "at {now:d} with promises until {until:d}"
)
def step_would_replace(
    context: Context, writer: str, sealed: int, now: int, until: int
) -> None:
    context.may_write = may_write_next_pair(PAIR, writer, sealed, now, until)


@then("writing the next pair is {verdict}")
def step_writing(context: Context, verdict: str) -> None:
    assert context.may_write == (verdict == "allowed")


@when("the pair a/b of epoch 4 is replaced with {usable} usable")
def step_replaced(context: Context, usable: str) -> None:
    context.next_pair = next_pair(PAIR, tuple(usable.split(",")))


@then("the next pair is {owner}/{backup}")
def step_next_pair(context: Context, owner: str, backup: str) -> None:
    if owner == "none":
        assert context.next_pair is None
        return
    expected_backup = "" if backup == "none" else backup
    assert context.next_pair == ShardPair(0, 5, owner, expected_backup)


@when("a lease of 5 s with a margin of 1 s, granted at 10, is checked at {now:g}")
def step_lease(context: Context, now: float) -> None:
    context.lease_acts = may_act(now, lease_expires_s(10.0, 5.0), 1.0)
    context.lease_taken = may_take_lease(now, 10.0, 5.0)


@then("the holder {acts} and another may take it: {taken}")
def step_holder(context: Context, acts: str, taken: str) -> None:
    assert context.lease_acts == (acts == "acts")
    assert context.lease_taken == (taken == "yes")
