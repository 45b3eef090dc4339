"""model.pair: owner and backup of a shard, with platform outages at any time.

Three VMs share one shard. The owner acts while its backup's promise is valid. To
change the pair, one of the two seals the epoch, waits until no promise is
outstanding and writes the next pair. Epochs are stored as ranks (0 is the
platform's present one), so that their number is not bounded. A pair names the
incarnation of each VM: a VM that restarts is in no pair until another pair names
it. A paused VM is modelled as time that passes without a step of the VM, and an
outage as time without a step of the platform. Delayed answers need no steps of
their own: the holder counts a promise from sending the request, so they allow no
more than immediate ones.
"""

import itertools
from collections.abc import Iterator
from functools import cache
from typing import ClassVar, NamedTuple

from greengagetack.leases.decisions import (
    accept_version,
    may_act,
    may_write_next_pair,
    next_pair,
)
from greengagetack.membership.table import ShardPair
from model.specification import (
    PROGRESS,
    Guard,
    Predicate,
    Specification,
    Step,
    specification,
)

__all__ = ["PairLossSpecification", "PairSpecification"]

VMS = range(3)
LEASE_TICKS = 2
DRIFT_TICKS = 1
MARGIN_TICKS = 1
EXPIRED_TICKS = -DRIFT_TICKS
UNKNOWN_RANK = 9

ONE_OWNER = "at most one VM acts for a shard"


class Pair(NamedTuple):
    """Owner and backup, and whether the named incarnation of each still runs."""

    owner: int
    backup: int
    owner_runs: bool = True
    backup_runs: bool = True

    def names(self, vm: int) -> bool:
        """Whether the present incarnation of a VM is in the pair."""
        return self.is_owner(vm) or (self.backup == vm and self.backup_runs)

    def is_owner(self, vm: int) -> bool:
        """Whether the present incarnation of a VM is the owner."""
        return self.owner == vm and self.owner_runs

    def without(self, vm: int) -> "Pair":
        """Return the pair after the named incarnation of a VM has ended."""
        return self._replace(
            owner_runs=self.owner_runs and self.owner != vm,
            backup_runs=self.backup_runs and self.backup != vm,
        )


NO_PAIR = Pair(-1, -1)


class Member(NamedTuple):
    """A VM: the pair it knows, the promise it holds and those it has given."""

    epoch_rank: int = UNKNOWN_RANK
    pair: Pair = NO_PAIR
    sealed: bool = False
    held_ticks: int = EXPIRED_TICKS
    given_ticks: int = 0
    answer_due: bool = False
    write: Pair = NO_PAIR


class State(NamedTuple):
    """The pair (numbered 0/1), the VM lost for good (-1 if none) and all VMs."""

    pair: Pair
    dead: int
    vms: tuple[Member, Member, Member]


@specification
class PairSpecification(Specification):
    """Promises between owner and backup, and pair changes by seal, wait, write."""

    name = "pair"
    may_die: ClassVar[tuple[int, ...]] = ()
    may_restart: ClassVar[bool] = True
    guards: ClassVar[tuple[Guard, ...]] = (
        Guard("margin before expiry", ONE_OWNER),
        Guard("seal before waiting", ONE_OWNER),
        Guard("wait for outstanding promises", ONE_OWNER),
        Guard("wait before the write, not after it", ONE_OWNER),
        Guard("takeover through the platform", ONE_OWNER),
        Guard("promise counted from sending", ONE_OWNER),
        Guard("promises only in the backup's own epoch", ONE_OWNER),
        Guard("pair names the incarnation", ONE_OWNER),
        Guard("only a lost pair is moved by others", ONE_OWNER),
        Guard("older pair refused", ONE_OWNER),
    )

    def initial(self) -> State:
        """Return the pair 0/1, known to all VMs."""
        member = Member(epoch_rank=0, pair=Pair(0, 1))
        return State(Pair(0, 1), -1, (member, member, member))

    def acts(self, state: State, vm: int) -> bool:
        """Whether a VM acts as the owner if its clock is as slow as allowed."""
        member = state.vms[vm]
        if not self._is_owner(member.pair, vm) or member.sealed:
            return False
        if not self.has("wait before the write, not after it") and member.given_ticks:
            return False
        margin = MARGIN_TICKS if self.has("margin before expiry") else 0
        return may_act(0, member.held_ticks + DRIFT_TICKS, margin)

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {ONE_OWNER: lambda s: sum(self.acts(s, vm) for vm in VMS) <= 1}

    def goal(self, state: State) -> bool:
        """Whether a live VM acts for the shard."""
        return any(self.acts(state, vm) for vm in VMS if vm != state.dead)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the passing of time and the steps of the platform and of each VM."""
        yield "time passes", _tick(state)
        for vm in VMS:
            member = state.vms[vm]
            if member.write != NO_PAIR:
                label = f"the platform applies vm{vm}'s pair; VMs are renumbered"
                yield label, _written(state, vm)
            if vm == state.dead:
                continue
            if self.may_restart:
                yield f"vm{vm} restarts", self._stopped(state, vm)
            if state.dead < 0 and vm in self.may_die:
                yield f"vm{vm} dies", self._stopped(state, vm)._replace(dead=vm)
            yield from self._learning_steps(state, vm)
            yield from self._promise_steps(state, vm)
            yield from self._change_steps(state, vm)

    def _learning_steps(self, state: State, vm: int) -> Iterator[Step]:
        """Yield the steps by which a VM reads a pair or receives it from another VM."""
        rank = state.vms[vm].epoch_rank
        if accept_version(-rank, 0):
            yield f"vm{vm} reads the pair", _adopted(state, vm, 0, state.pair)
        for peer in VMS:
            other = state.vms[peer]
            if peer in (vm, state.dead) or other.epoch_rank in (rank, UNKNOWN_RANK):
                continue
            if rank == UNKNOWN_RANK and other.epoch_rank > 0:
                continue
            if accept_version(-rank, -other.epoch_rank) or not self.has(
                "older pair refused"
            ):
                known = _adopted(state, vm, other.epoch_rank, other.pair)
                yield f"vm{vm} receives the pair of vm{peer}", known

    def _promise_steps(self, state: State, vm: int) -> Iterator[Step]:
        """Yield the steps by which an owner gets a promise from its backup."""
        member = state.vms[vm]
        if not self._is_owner(member.pair, vm) or member.sealed:
            return
        if member.answer_due:
            late = member._replace(held_ticks=LEASE_TICKS, answer_due=False)
            yield f"vm{vm} receives the promise late", _replace(state, vm, late)
        backup = member.pair.backup
        giver = state.vms[backup]
        if backup == state.dead or giver.sealed or giver.epoch_rank == UNKNOWN_RANK:
            return
        if not self._is_named(giver.pair, backup):
            return
        own_epoch = giver.epoch_rank == member.epoch_rank
        if not own_epoch and self.has("promises only in the backup's own epoch"):
            return
        given = _replace(state, backup, giver._replace(given_ticks=LEASE_TICKS))
        holder = member._replace(held_ticks=LEASE_TICKS)
        yield (
            f"vm{backup} gives a promise, vm{vm} receives it",
            _replace(given, vm, holder),
        )
        if not self.has("promise counted from sending"):
            waiting = member._replace(answer_due=True)
            yield f"vm{backup} gives vm{vm} a promise", _replace(given, vm, waiting)

    def _change_steps(self, state: State, vm: int) -> Iterator[Step]:
        """Yield the steps that seal the epoch and write the next pair."""
        member = state.vms[vm]
        if member.pair.backup == vm and not self.has("backup may change the pair"):
            return
        inside = self._is_named(member.pair, vm)
        if inside and not member.sealed and self.has("seal before waiting"):
            sealed = member._replace(
                sealed=True, held_ticks=EXPIRED_TICKS, answer_due=False
            )
            yield f"vm{vm} seals its epoch", _replace(state, vm, sealed)
        if not self._may_write(vm, member):
            return
        if inside and not self.has("takeover through the platform"):
            alone = member._replace(
                pair=Pair(vm, vm), sealed=False, held_ticks=LEASE_TICKS
            )
            yield f"vm{vm} takes over alone", _replace(state, vm, alone)
        if member.epoch_rank != 0 or member.write != NO_PAIR:
            return
        old = member.pair
        for owner, backup in _successor_numbers(old.owner, old.backup, vm):
            pair = Pair(owner, backup)
            sent = _replace(state, vm, member._replace(write=pair))
            yield f"vm{vm} sends the pair {owner}/{backup}", sent

    def _stopped(self, state: State, vm: int) -> State:
        """Return the state after a process has ended; its write may still arrive."""
        ended = _replace(state, vm, Member(write=state.vms[vm].write))
        members = [
            member._replace(
                pair=member.pair.without(vm), write=member.write.without(vm)
            )
            for member in ended.vms
        ]
        return ended._replace(
            pair=state.pair.without(vm), vms=(members[0], members[1], members[2])
        )

    def _is_named(self, pair: Pair, vm: int) -> bool:
        if not self.has("pair names the incarnation"):
            return vm in (pair.owner, pair.backup)
        return pair.names(vm)

    def _is_owner(self, pair: Pair, vm: int) -> bool:
        if not self.has("pair names the incarnation"):
            return pair.owner == vm
        return pair.is_owner(vm)

    def _may_write(self, vm: int, member: Member) -> bool:
        pair = member.pair
        if not self._is_named(pair, vm):
            lost = not (pair.owner_runs or pair.backup_runs)
            return lost or not self.has("only a lost pair is moved by others")
        until = max(member.given_ticks, member.held_ticks, 0)
        waits = self.has("wait for outstanding promises")
        if not waits or not self.has("wait before the write, not after it"):
            until = 0
        sealed = member.sealed or not self.has("seal before waiting")
        numbers = _as_shard_pair(pair.owner, pair.backup)
        sealed_epoch = numbers.epoch if sealed else 0
        return may_write_next_pair(numbers, str(vm), sealed_epoch, 0, until)


@specification
class PairLossSpecification(PairSpecification):
    """The same protocol with one VM lost for good instead of restarts.

    A lost VM takes no step, so that it cannot break safety; the property to check
    is that the others can still make progress.
    """

    name = "pair-loss"
    may_die = tuple(VMS)
    may_restart = False
    guards = (Guard("backup may change the pair", PROGRESS),)


@cache
def _as_shard_pair(owner: int, backup: int) -> ShardPair:
    return ShardPair(0, 1, str(owner), str(backup))


@cache
def _successor_numbers(owner: int, backup: int, vm: int) -> tuple[tuple[int, int], ...]:
    """Return each owner and backup that may follow, for any set of usable VMs.

    A VM outside the pair, which replaces a lost pair, names itself as the owner.
    """
    if vm not in (owner, backup):
        return tuple((vm, other) for other in VMS if other != vm)
    found: set[tuple[int, int]] = set()
    for usable in itertools.permutations([str(number) for number in VMS], 2):
        successor = next_pair(_as_shard_pair(owner, backup), usable)
        if successor is not None:
            found.add((int(successor.owner_vm_id), int(successor.backup_vm_id)))
    return tuple(sorted(found))


def _adopted(state: State, vm: int, rank: int, pair: Pair) -> State:
    """Return the state after a VM has read or received a pair."""
    known = state.vms[vm]._replace(
        epoch_rank=rank,
        pair=pair,
        sealed=False,
        held_ticks=EXPIRED_TICKS,
        answer_due=False,
    )
    return _compact_ranks(_replace(state, vm, known))


def _replace(state: State, vm: int, member: Member) -> State:
    vms = list(state.vms)
    vms[vm] = member
    return state._replace(vms=(vms[0], vms[1], vms[2]))


def _written(state: State, vm: int) -> State:
    """Return the state after a write: other writes in flight now fail.

    The VMs are renumbered so that the new pair is 0/1: states that differ only by
    the numbers of the VMs are then counted once.
    """
    written = state.vms[vm].write
    order = (written.owner, written.backup, 3 - written.owner - written.backup)
    numbers = {-1: -1} | {old: new for new, old in enumerate(order)}
    members = [
        member._replace(
            epoch_rank=member.epoch_rank
            if member.epoch_rank == UNKNOWN_RANK
            else member.epoch_rank + 1,
            pair=member.pair._replace(
                owner=numbers[member.pair.owner], backup=numbers[member.pair.backup]
            ),
            write=NO_PAIR,
        )
        for member in (state.vms[old] for old in order)
    ]
    pair = written._replace(owner=0, backup=1)
    vms = (members[0], members[1], members[2])
    return _compact_ranks(State(pair, numbers[state.dead], vms))


def _compact_ranks(state: State) -> State:
    """Renumber the epochs known to any VM without gaps.

    A VM that can do nothing in the old epoch that it knows forgets it. Afterwards it
    can only learn of the present epoch, so that it cannot return to an old one.
    """
    members = [
        member._replace(
            epoch_rank=UNKNOWN_RANK,
            pair=NO_PAIR,
            sealed=False,
            held_ticks=EXPIRED_TICKS,
        )
        if member.epoch_rank > 0 and (member.sealed or not member.pair.names(vm))
        else member
        for vm, member in enumerate(state.vms)
    ]
    ranks = sorted(
        {m.epoch_rank for m in members if m.epoch_rank not in (0, UNKNOWN_RANK)}
    )
    numbers = {rank: number for number, rank in enumerate(ranks, start=1)}
    numbers[0] = 0
    numbers[UNKNOWN_RANK] = UNKNOWN_RANK
    members = [
        member._replace(epoch_rank=numbers[member.epoch_rank]) for member in members
    ]
    return state._replace(vms=(members[0], members[1], members[2]))


def _tick(state: State) -> State:
    members = [
        member._replace(
            held_ticks=max(member.held_ticks - 1, EXPIRED_TICKS),
            given_ticks=max(member.given_ticks - 1, 0),
        )
        for member in state.vms
    ]
    return state._replace(vms=(members[0], members[1], members[2]))
