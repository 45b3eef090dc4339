"""model.delivery: finished groups are delivered to a trainer exactly once.

Two owners may be active at the same time, a former owner and its backup, so
that running a job needs no lease. A fetch lists the groups that the trainer
holds. Answers may be delayed, duplicated or lost. A trainer without receipts
fetches numbered batches.
"""

from collections.abc import Iterator
from typing import NamedTuple

from greengagetack.leases.decisions import groups_to_deliver
from model.specification import (
    PROGRESS,
    Guard,
    Predicate,
    Specification,
    Step,
    specification,
)

__all__ = ["DeliveryByBatches", "DeliveryByReceipts"]

OWNERS = range(2)
GROUPS = range(2)
ONCE = "no group reaches its trainer twice"
ONE_RUN = "two owners never run the same group twice at a keeper"

Groups = tuple[int, ...]


class Answer(NamedTuple):
    """An answer in transit to the trainer; `current` if its fetch is still open."""

    current: bool
    groups: Groups


class ReceiptState(NamedTuple):
    """State of the keeper, both owners, the network and the trainer."""

    running: Groups = ()
    runs: tuple[int, int] = (0, 0)
    held: Groups = ()
    finished: tuple[Groups, Groups] = ((), ())
    fetches: tuple[Groups | None, Groups | None] = (None, None)
    fetching: bool = False
    answers: tuple[Answer, ...] = ()
    delivery_counts: tuple[int, int] = (0, 0)


@specification
class DeliveryByReceipts(Specification):
    """A trainer whose fetches list the groups that it holds."""

    name = "delivery-receipts"
    guards = (
        Guard("receipts in the fetch", ONCE),
        Guard("late answers dropped", ONCE),
        Guard("one identity, one run", ONE_RUN),
    )

    def initial(self) -> ReceiptState:
        """Return the state before any group has run."""
        return ReceiptState()

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            ONCE: lambda s: max(s.delivery_counts) <= 1,
            ONE_RUN: lambda s: max(s.runs) <= 1,
        }

    def goal(self, state: ReceiptState) -> bool:
        """Whether the trainer has received every group."""
        return min(state.delivery_counts) >= 1

    def steps(self, state: ReceiptState) -> Iterator[Step]:
        """Yield the steps of keeper, owners, trainer and network."""
        for owner in OWNERS:
            yield from self._owner_steps(state, owner)
        yield from self._keeper_steps(state)
        yield from self._trainer_steps(state)

    def _keeper_steps(self, state: ReceiptState) -> Iterator[Step]:
        for group in state.running:
            running = tuple(g for g in state.running if g != group)
            held = tuple(sorted({*state.held, group}))
            yield f"group {group} finishes", state._replace(running=running, held=held)

    def _owner_steps(self, state: ReceiptState, owner: int) -> Iterator[Step]:
        finished = state.finished[owner]
        for group in GROUPS:
            is_at_keeper = group in state.running or group in state.held
            if group in finished or (
                is_at_keeper and self.has("one identity, one run")
            ):
                continue
            runs = list(state.runs)
            runs[group] = min(runs[group] + 1, 2)
            yield (
                f"owner {owner} starts group {group}",
                state._replace(
                    running=tuple(sorted({*state.running, group})),
                    runs=(runs[0], runs[1]),
                ),
            )
        if not set(state.held) <= set(finished):
            collected = tuple(sorted({*finished, *state.held}))
            yield (
                f"owner {owner} collects held groups",
                state._replace(
                    finished=_replace_item(state.finished, owner, collected)
                ),
            )
        if finished:
            yield (
                f"owner {owner} crashes",
                state._replace(finished=_replace_item(state.finished, owner, ())),
            )
        receipts = state.fetches[owner]
        if receipts is None:
            return
        ready = groups_to_deliver(finished, receipts)
        if not self.has("receipts in the fetch"):
            ready = groups_to_deliver(finished, ())
        answered = state._replace(fetches=_replace_item(state.fetches, owner, None))
        answers = tuple(sorted({*state.answers, Answer(state.fetching, ready)}))
        if ready:
            label = f"owner {owner} answers with {list(ready)}"
            yield label, answered._replace(answers=answers)
        yield f"the fetch at owner {owner} is lost", answered

    def _trainer_steps(self, state: ReceiptState) -> Iterator[Step]:
        receipts = tuple(group for group in GROUPS if state.delivery_counts[group])
        if not state.fetching:
            for owner in OWNERS:
                if state.fetches[owner] is None:
                    yield (
                        f"the trainer fetches at owner {owner}",
                        state._replace(
                            fetching=True,
                            fetches=_replace_item(state.fetches, owner, receipts),
                        ),
                    )
        else:
            outdated = tuple(sorted({a._replace(current=False) for a in state.answers}))
            fetches: tuple[None, None] = (None, None)
            yield (
                "the trainer abandons its fetch",
                state._replace(fetching=False, answers=outdated, fetches=fetches),
            )
        for answer in state.answers:
            others = tuple(a for a in state.answers if a != answer)
            yield "an answer is lost", state._replace(answers=others)
            if not answer.current and self.has("late answers dropped"):
                continue
            yield (
                f"the trainer receives {list(answer.groups)}",
                state._replace(
                    fetching=False if answer.current else state.fetching,
                    answers=tuple(
                        sorted({a._replace(current=False) for a in others})
                        if answer.current
                        else others
                    ),
                    delivery_counts=_add_deliveries(
                        state.delivery_counts, answer.groups
                    ),
                    fetches=(None, None) if answer.current else state.fetches,
                ),
            )


class BatchState(NamedTuple):
    """State of the numbered batches at the owners, the network and the trainer."""

    finished: Groups = ()
    owner: int = 0
    committed: tuple[Groups, Groups] = ((), ())
    backup_committed: tuple[Groups, Groups] = ((), ())
    next_batch: int = 0
    answers: tuple[tuple[int, Groups], ...] = ()
    delivery_counts: tuple[int, int] = (0, 0)


@specification
class DeliveryByBatches(Specification):
    """A trainer without receipts, which fetches one numbered batch after another.

    It requests a batch until it has received it. `model.pair` shows that at most
    one owner acts.
    """

    name = "delivery-batches"
    guards = (
        Guard("batch committed before it is shown", PROGRESS),
        Guard("batch committed at the backup", ONCE),
        Guard("batch matched by its number", ONCE),
    )

    def initial(self) -> BatchState:
        """Return the state before any group has finished."""
        return BatchState()

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {ONCE: lambda s: max(s.delivery_counts) <= 1}

    def goal(self, state: BatchState) -> bool:
        """Whether the trainer has received every group."""
        return min(state.delivery_counts) >= 1

    def steps(self, state: BatchState) -> Iterator[Step]:
        """Yield the steps of owners, trainer and network."""
        for group in GROUPS:
            if group not in state.finished:
                finished = tuple(sorted({*state.finished, group}))
                yield f"group {group} finishes", state._replace(finished=finished)
        yield (
            "the owner crashes and its backup takes over",
            state._replace(owner=1 - state.owner, committed=state.backup_committed),
        )
        if state.next_batch < len(GROUPS):
            yield from self._owner_answers(state, state.next_batch)
        for answer in state.answers:
            yield from self._trainer_receives(state, answer)

    def _owner_answers(self, state: BatchState, number: int) -> Iterator[Step]:
        batch = state.committed[number]
        if not batch or not self.has("batch committed before it is shown"):
            used = {group for batch in state.committed[:number] for group in batch}
            batch = tuple(g for g in state.finished if g not in used)
        if not batch:
            return
        answered_state = state._replace(
            committed=_replace_item(state.committed, number, batch)
        )
        if self.has("batch committed at the backup"):
            backup = _replace_item(state.backup_committed, number, batch)
            answered_state = answered_state._replace(backup_committed=backup)
        answers = tuple(sorted({*state.answers, (number, batch)}))
        label = f"the owner answers with batch {number} {list(batch)}"
        yield label, answered_state._replace(answers=answers)

    def _trainer_receives(
        self, state: BatchState, answer: tuple[int, Groups]
    ) -> Iterator[Step]:
        number, groups = answer
        others = tuple(a for a in state.answers if a != answer)
        yield f"an answer with batch {number} is lost", state._replace(answers=others)
        if number != state.next_batch and self.has("batch matched by its number"):
            return
        received = state._replace(
            next_batch=min(state.next_batch + 1, len(GROUPS)),
            delivery_counts=_add_deliveries(state.delivery_counts, groups),
        )
        yield f"the trainer receives batch {number}", received._replace(answers=others)
        yield (
            f"the trainer receives batch {number}, a duplicate is in transit",
            received,
        )


def _add_deliveries(
    delivery_counts: tuple[int, int], groups: Groups
) -> tuple[int, int]:
    added = [
        min(count + (group in groups), 2)
        for group, count in zip(GROUPS, delivery_counts, strict=True)
    ]
    return (added[0], added[1])


def _replace_item(values: tuple, index: int, value: object) -> tuple:
    changed = list(values)
    changed[index] = value
    return tuple(changed)
