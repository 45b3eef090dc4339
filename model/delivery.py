"""model.delivery: finished groups reach a trainer exactly once.

Two owners may work at the same time (a former one and its backup), so that
running a job needs no lease. A fetch carries what the trainer holds; answers
arrive late, twice or never. A trainer without receipts gets numbered batches.
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
    """Groups on their way to the trainer, for one of its fetches."""

    current: bool
    groups: Groups


class ReceiptState(NamedTuple):
    """What owners and the keeper hold, and what the trainer has got."""

    running: Groups = ()
    runs: tuple[int, int] = (0, 0)
    held: Groups = ()
    finished: tuple[Groups, Groups] = ((), ())
    fetches: tuple[Groups | None, Groups | None] = (None, None)
    fetching: bool = False
    answers: tuple[Answer, ...] = ()
    counts: tuple[int, int] = (0, 0)


@specification
class DeliveryByReceipts(Specification):
    """A trainer that says in each fetch which groups it holds."""

    name = "delivery-receipts"
    guards = (
        Guard("receipts in the fetch", ONCE),
        Guard("late answers dropped", ONCE),
        Guard("one identity, one run", ONE_RUN),
    )

    def initial(self) -> ReceiptState:
        """Return a step of which nothing has run."""
        return ReceiptState()

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            ONCE: lambda s: max(s.counts) <= 1,
            ONE_RUN: lambda s: max(s.runs) <= 1,
        }

    def goal(self, state: ReceiptState) -> bool:
        """Whether the trainer has every group."""
        return min(state.counts) >= 1

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
            known = group in state.running or group in state.held
            if group in finished or (known and self.has("one identity, one run")):
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
                f"owner {owner} collects what is held",
                state._replace(finished=_set(state.finished, owner, collected)),
            )
        if finished:
            yield (
                f"owner {owner} dies",
                state._replace(finished=_set(state.finished, owner, ())),
            )
        receipts = state.fetches[owner]
        if receipts is None:
            return
        ready = groups_to_deliver(finished, receipts)
        if not self.has("receipts in the fetch"):
            ready = groups_to_deliver(finished, ())
        answered = state._replace(fetches=_set(state.fetches, owner, None))
        answers = tuple(sorted({*state.answers, Answer(state.fetching, ready)}))
        if ready:
            label = f"owner {owner} answers with {list(ready)}"
            yield label, answered._replace(answers=answers)
        yield f"the fetch at owner {owner} is lost", answered

    def _trainer_steps(self, state: ReceiptState) -> Iterator[Step]:
        receipts = tuple(group for group in GROUPS if state.counts[group])
        if not state.fetching:
            for owner in OWNERS:
                if state.fetches[owner] is None:
                    yield (
                        f"the trainer fetches at owner {owner}",
                        state._replace(
                            fetching=True, fetches=_set(state.fetches, owner, receipts)
                        ),
                    )
        else:
            late = tuple(sorted({a._replace(current=False) for a in state.answers}))
            fetches: tuple[None, None] = (None, None)
            yield (
                "the trainer abandons its fetch",
                state._replace(fetching=False, answers=late, fetches=fetches),
            )
        for answer in state.answers:
            others = tuple(a for a in state.answers if a != answer)
            yield "an answer is lost", state._replace(answers=others)
            if not answer.current and self.has("late answers dropped"):
                continue
            yield (
                f"the trainer takes {list(answer.groups)}",
                state._replace(
                    fetching=False if answer.current else state.fetching,
                    answers=tuple(
                        sorted({a._replace(current=False) for a in others})
                        if answer.current
                        else others
                    ),
                    counts=_counted(state.counts, answer.groups),
                    fetches=(None, None) if answer.current else state.fetches,
                ),
            )


class BatchState(NamedTuple):
    """Two owners' view of the numbered batches, and the trainer's."""

    finished: Groups = ()
    owner: int = 0
    committed: tuple[Groups, Groups] = ((), ())
    backup_committed: tuple[Groups, Groups] = ((), ())
    asked: int = 0
    answers: tuple[tuple[int, Groups], ...] = ()
    counts: tuple[int, int] = (0, 0)


@specification
class DeliveryByBatches(Specification):
    """A trainer without receipts: it asks for batch 0 until it has it, then 1.

    That at most one owner acts is shown by `model.pair`.
    """

    name = "delivery-batches"
    guards = (
        Guard("batch committed before it is shown", PROGRESS),
        Guard("batch committed at the backup", ONCE),
        Guard("batch matched by its number", ONCE),
    )

    def initial(self) -> BatchState:
        """Return a step of which nothing has finished."""
        return BatchState()

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {ONCE: lambda s: max(s.counts) <= 1}

    def goal(self, state: BatchState) -> bool:
        """Whether the trainer has every group."""
        return min(state.counts) >= 1

    def steps(self, state: BatchState) -> Iterator[Step]:
        """Yield the steps of owners, trainer and network."""
        for group in GROUPS:
            if group not in state.finished:
                finished = tuple(sorted({*state.finished, group}))
                yield f"group {group} finishes", state._replace(finished=finished)
        yield (
            "the owner dies, its backup takes over",
            state._replace(owner=1 - state.owner, committed=state.backup_committed),
        )
        if state.asked < len(GROUPS):
            yield from self._owner_answers(state, state.asked)
        for answer in state.answers:
            yield from self._arrival(state, answer)

    def _owner_answers(self, state: BatchState, number: int) -> Iterator[Step]:
        batch = state.committed[number]
        if not batch or not self.has("batch committed before it is shown"):
            used = {group for batch in state.committed[:number] for group in batch}
            batch = tuple(g for g in state.finished if g not in used)
        if not batch:
            return
        shown = state._replace(committed=_set(state.committed, number, batch))
        if self.has("batch committed at the backup"):
            backup = _set(state.backup_committed, number, batch)
            shown = shown._replace(backup_committed=backup)
        answers = tuple(sorted({*state.answers, (number, batch)}))
        label = f"the owner shows batch {number} {list(batch)}"
        yield label, shown._replace(answers=answers)

    def _arrival(self, state: BatchState, answer: tuple[int, Groups]) -> Iterator[Step]:
        number, groups = answer
        others = tuple(a for a in state.answers if a != answer)
        yield f"an answer with batch {number} is lost", state._replace(answers=others)
        if number != state.asked and self.has("batch matched by its number"):
            return
        taken = state._replace(
            asked=min(state.asked + 1, len(GROUPS)),
            counts=_counted(state.counts, groups),
        )
        yield f"the trainer takes batch {number}", taken._replace(answers=others)
        yield f"the trainer takes batch {number}, a copy is still on its way", taken


def _counted(counts: tuple[int, int], groups: Groups) -> tuple[int, int]:
    added = [
        min(count + (group in groups), 2)
        for group, count in zip(GROUPS, counts, strict=True)
    ]
    return (added[0], added[1])


def _set(values: tuple, index: int, value: object) -> tuple:
    changed = list(values)
    changed[index] = value
    return tuple(changed)
