"""model.pair: owner and backup of a shard, with the platform down at any time.

Three VMs share one shard. The owner acts while its backup's promise holds; one
of the two seals the epoch, waits until no promise is outstanding and writes the
next pair. Epochs are kept as ranks (0 is the platform's present one), so their
number has no bound. A pair names the incarnation of each VM: one that restarts is
in no pair until another names it. A paused VM is one that takes no step while time
passes, and an outage is time without a step of the platform. An answer that takes
time is covered by one heard at once, as the holder counts from sending.
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
NEVER = -DRIFT_TICKS
UNKNOWN = 9

ONE_OWNER = "at most one VM acts for a shard"


class Pair(NamedTuple):
    """Owner and backup, and whether each still is the incarnation named."""

    owner: int
    backup: int
    owner_lives: bool = True
    backup_lives: bool = True

    def names(self, vm: int) -> bool:
        """Whether the present incarnation of a VM is in the pair."""
        return self.is_owner(vm) or (self.backup == vm and self.backup_lives)

    def is_owner(self, vm: int) -> bool:
        """Whether the present incarnation of a VM is the owner."""
        return self.owner == vm and self.owner_lives

    def without(self, vm: int) -> "Pair":
        """Return the pair after the named incarnation of a VM has ended."""
        return self._replace(
            owner_lives=self.owner_lives and self.owner != vm,
            backup_lives=self.backup_lives and self.backup != vm,
        )


NOBODY = Pair(-1, -1)


class Member(NamedTuple):
    """One VM: the pair it knows, the promise it holds and those it gave."""

    rank: int = UNKNOWN
    pair: Pair = NOBODY
    sealed: bool = False
    held: int = NEVER
    given: int = 0
    answer_due: bool = False
    write: Pair = NOBODY


class State(NamedTuple):
    """The pair (0/1 by number), a VM lost for good (-1 without one), all VMs."""

    pair: Pair
    dead: int
    vms: tuple[Member, Member, Member]


@specification
class PairSpecification(Specification):
    """Seal, wait, write; promises between owner and backup."""

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
        """Return pair 0/1, known to all."""
        member = Member(rank=0, pair=Pair(0, 1))
        return State(Pair(0, 1), -1, (member, member, member))

    def acts(self, state: State, vm: int) -> bool:
        """Whether a VM believes that it is the owner, at its clock's slowest."""
        member = state.vms[vm]
        if not self._owns(member.pair, vm) or member.sealed:
            return False
        if not self.has("wait before the write, not after it") and member.given:
            return False
        margin = MARGIN_TICKS if self.has("margin before expiry") else 0
        return may_act(0, member.held + DRIFT_TICKS, margin)

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {ONE_OWNER: lambda s: sum(self.acts(s, vm) for vm in VMS) <= 1}

    def goal(self, state: State) -> bool:
        """Whether a live VM acts for the shard."""
        return any(self.acts(state, vm) for vm in VMS if vm != state.dead)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield time, the platform's steps and those of each VM."""
        yield "time passes", _tick(state)
        for vm in VMS:
            member = state.vms[vm]
            if member.write != NOBODY:
                label = f"the platform takes vm{vm}'s pair; numbers change"
                yield label, _written(state, vm)
            if vm == state.dead:
                continue
            if self.may_restart:
                yield f"vm{vm} restarts", self._ended(state, vm)
            if state.dead < 0 and vm in self.may_die:
                yield f"vm{vm} dies", self._ended(state, vm)._replace(dead=vm)
            yield from self._learn(state, vm)
            yield from self._promises(state, vm)
            yield from self._change(state, vm)

    def _learn(self, state: State, vm: int) -> Iterator[Step]:
        """Yield what a VM may read at the platform or hear from another VM."""
        rank = state.vms[vm].rank
        if accept_version(-rank, 0):
            yield f"vm{vm} reads the pair", _known(state, vm, 0, state.pair)
        for peer in VMS:
            other = state.vms[peer]
            if peer in (vm, state.dead) or other.rank in (rank, UNKNOWN):
                continue
            if rank == UNKNOWN and other.rank > 0:
                continue
            if accept_version(-rank, -other.rank) or not self.has("older pair refused"):
                known = _known(state, vm, other.rank, other.pair)
                yield f"vm{vm} hears the pair of vm{peer}", known

    def _promises(self, state: State, vm: int) -> Iterator[Step]:
        """Yield the asking, giving and receiving of an owner's promise."""
        member = state.vms[vm]
        if not self._owns(member.pair, vm) or member.sealed:
            return
        if member.answer_due:
            late = member._replace(held=LEASE_TICKS, answer_due=False)
            yield f"vm{vm} hears the promise late", _replace(state, vm, late)
        backup = member.pair.backup
        giver = state.vms[backup]
        if backup == state.dead or giver.sealed or giver.rank == UNKNOWN:
            return
        if not self._inside(giver.pair, backup):
            return
        own_epoch = giver.rank == member.rank
        if not own_epoch and self.has("promises only in the backup's own epoch"):
            return
        given = _replace(state, backup, giver._replace(given=LEASE_TICKS))
        holder = member._replace(held=LEASE_TICKS)
        yield f"vm{backup} promises, vm{vm} hears it", _replace(given, vm, holder)
        if not self.has("promise counted from sending"):
            waiting = member._replace(answer_due=True)
            yield f"vm{backup} promises vm{vm}", _replace(given, vm, waiting)

    def _change(self, state: State, vm: int) -> Iterator[Step]:
        """Yield sealing and writing the next pair."""
        member = state.vms[vm]
        if member.pair.backup == vm and not self.has("backup may change the pair"):
            return
        inside = self._inside(member.pair, vm)
        if inside and not member.sealed and self.has("seal before waiting"):
            sealed = member._replace(sealed=True, held=NEVER, answer_due=False)
            yield f"vm{vm} seals", _replace(state, vm, sealed)
        if not self._may_write(vm, member):
            return
        if inside and not self.has("takeover through the platform"):
            alone = member._replace(pair=Pair(vm, vm), sealed=False, held=LEASE_TICKS)
            yield f"vm{vm} takes over alone", _replace(state, vm, alone)
        if member.rank != 0 or member.write != NOBODY:
            return
        old = member.pair
        for owner, backup in _successor_numbers(old.owner, old.backup, vm):
            pair = Pair(owner, backup)
            sent = _replace(state, vm, member._replace(write=pair))
            yield f"vm{vm} sends the pair {owner}/{backup}", sent

    def _ended(self, state: State, vm: int) -> State:
        """Return the state after a process ended; its write may still arrive."""
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

    def _inside(self, pair: Pair, vm: int) -> bool:
        if not self.has("pair names the incarnation"):
            return vm in (pair.owner, pair.backup)
        return pair.names(vm)

    def _owns(self, pair: Pair, vm: int) -> bool:
        if not self.has("pair names the incarnation"):
            return pair.owner == vm
        return pair.is_owner(vm)

    def _may_write(self, vm: int, member: Member) -> bool:
        pair = member.pair
        if not self._inside(pair, vm):
            lost = not (pair.owner_lives or pair.backup_lives)
            return lost or not self.has("only a lost pair is moved by others")
        until = max(member.given, member.held, 0)
        waits = self.has("wait for outstanding promises")
        if not waits or not self.has("wait before the write, not after it"):
            until = 0
        sealed = member.sealed or not self.has("seal before waiting")
        numbers = _as_shard_pair(pair.owner, pair.backup)
        sealed_epoch = numbers.epoch if sealed else 0
        return may_write_next_pair(numbers, str(vm), sealed_epoch, 0, until)


@specification
class PairLossSpecification(PairSpecification):
    """The same with one VM lost for good instead of restarts.

    A lost VM takes no step, so that it adds nothing to safety; but the others
    must still be able to go on.
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
    """Return every owner and backup that may follow, by who is thought usable.

    An outsider, which moves a lost pair, names itself as the owner.
    """
    if vm not in (owner, backup):
        return tuple((vm, other) for other in VMS if other != vm)
    found: set[tuple[int, int]] = set()
    for usable in itertools.permutations([str(number) for number in VMS], 2):
        successor = next_pair(_as_shard_pair(owner, backup), usable)
        if successor is not None:
            found.add((int(successor.owner_vm_id), int(successor.backup_vm_id)))
    return tuple(sorted(found))


def _known(state: State, vm: int, rank: int, pair: Pair) -> State:
    """Return the state after a VM has learnt of a pair."""
    known = state.vms[vm]._replace(
        rank=rank, pair=pair, sealed=False, held=NEVER, answer_due=False
    )
    return _dense(_replace(state, vm, known))


def _replace(state: State, vm: int, member: Member) -> State:
    vms = list(state.vms)
    vms[vm] = member
    return state._replace(vms=(vms[0], vms[1], vms[2]))


def _written(state: State, vm: int) -> State:
    """Return the state after a write: other writes in flight now fail.

    The VMs are renumbered, so that the new pair is 0/1; states that differ only
    by the numbers of the VMs count once.
    """
    written = state.vms[vm].write
    order = (written.owner, written.backup, 3 - written.owner - written.backup)
    numbers = {-1: -1} | {old: new for new, old in enumerate(order)}
    members = [
        member._replace(
            rank=member.rank if member.rank == UNKNOWN else member.rank + 1,
            pair=member.pair._replace(
                owner=numbers[member.pair.owner], backup=numbers[member.pair.backup]
            ),
            write=NOBODY,
        )
        for member in (state.vms[old] for old in order)
    ]
    pair = written._replace(owner=0, backup=1)
    vms = (members[0], members[1], members[2])
    return _dense(State(pair, numbers[state.dead], vms))


def _dense(state: State) -> State:
    """Renumber the epochs that anyone still knows without gaps.

    A VM that can do nothing in the old epoch that it knows forgets it, and learns
    of the present one only, so that it cannot go back.
    """
    members = [
        member._replace(rank=UNKNOWN, pair=NOBODY, sealed=False, held=NEVER)
        if member.rank > 0 and (member.sealed or not member.pair.names(vm))
        else member
        for vm, member in enumerate(state.vms)
    ]
    ranks = sorted({m.rank for m in members if m.rank not in (0, UNKNOWN)})
    numbers = {rank: number for number, rank in enumerate(ranks, start=1)}
    numbers[0] = 0
    numbers[UNKNOWN] = UNKNOWN
    members = [member._replace(rank=numbers[member.rank]) for member in members]
    return state._replace(vms=(members[0], members[1], members[2]))


def _tick(state: State) -> State:
    members = [
        member._replace(
            held=max(member.held - 1, NEVER),
            given=max(member.given - 1, 0),
        )
        for member in state.vms
    ]
    return state._replace(vms=(members[0], members[1], members[2]))
