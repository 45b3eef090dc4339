"""model.lead: the lead's lease and epoch, held through the platform.

Two VMs write one lease object by conditional update. Answers get lost, copies
of a write arrive late, even after their sender has restarted, and time passes
while a VM takes no step, which is how a paused VM is described; an outage is time
without a step of the platform. Versions are kept as their distance to the
object's present one, so nothing grows.
"""

from collections.abc import Iterator
from typing import NamedTuple

from greengagetack.leases.decisions import (
    WriteResult,
    may_act,
    may_take_lease,
    resolve_lost_write,
)
from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["LeadSpecification"]

LEASE_TICKS = 2
DRIFT_TICKS = 1
MARGIN_TICKS = 1
NEVER = -DRIFT_TICKS - 1
VERSION = 1
FAR = 2

ONE_LEAD = "at most one VM acts as lead"
NAMED_LEAD = "a VM that acts is the one that the lease object names"


class Member(NamedTuple):
    """One VM: its lease, what it last read, and its write in flight."""

    held: int = NEVER
    current: bool = False
    unchanged: int = 0
    write: str = ""
    gap: int = 0
    ticks_left: int = NEVER
    copy: bool = False
    answer: str = ""
    lost: bool = False
    late_copy: str = ""


class State(NamedTuple):
    """The lease object, a VM lost for good (-1 without one), and both VMs."""

    holder: int
    released: bool
    change: int
    dead: int
    members: tuple[Member, Member]


@specification
class LeadSpecification(Specification):
    """Lease by conditional update, with read-back and restarts."""

    name = "lead"
    guards = (
        Guard("margin before expiry", ONE_LEAD),
        Guard("wait for the former lease", ONE_LEAD),
        Guard("read-back after a lost answer", NAMED_LEAD),
        Guard("lease counted from the first sending", ONE_LEAD),
        Guard("conditional update", ONE_LEAD),
        Guard("restart forgets its lease", ONE_LEAD),
        Guard("stop acting before release", ONE_LEAD),
    )

    def initial(self) -> State:
        """Return a free lease object and two VMs that know nothing."""
        return State(-1, True, -1, -1, (Member(), Member()))

    def acts(self, member: Member) -> bool:
        """Whether a VM believes that it is lead, at its clock's slowest."""
        margin = MARGIN_TICKS if self.has("margin before expiry") else 0
        return may_act(0, member.held + DRIFT_TICKS, margin)

    def properties(self) -> dict[str, Predicate]:
        """Return the safety properties."""
        return {
            ONE_LEAD: lambda s: not all(self.acts(m) for m in s.members),
            NAMED_LEAD: lambda s: all(
                s.holder == vm for vm, m in enumerate(s.members) if self.acts(m)
            ),
        }

    def goal(self, state: State) -> bool:
        """Whether a live VM acts as lead."""
        return any(
            self.acts(m) for vm, m in enumerate(state.members) if vm != state.dead
        )

    def steps(self, state: State) -> Iterator[Step]:
        """Yield time, the platform's steps and those of each VM."""
        yield "time passes", _tick(state)
        for vm in range(len(state.members)):
            yield from self._applied_writes(state, vm)
            if state.dead != vm:
                yield from self._member_steps(state, vm)

    def _member_steps(self, state: State, vm: int) -> Iterator[Step]:
        member = state.members[vm]
        yield f"vm{vm} restarts", _replace(state, vm, _restarted(member))
        if state.dead < 0:
            dead = _replace(state, vm, _restarted(member))
            yield f"vm{vm} dies", dead._replace(dead=vm)
        if not member.write:
            yield from self._read(state, vm)
            yield from self._new_writes(state, vm)
            return
        yield from self._answers(state, vm)

    def _read(self, state: State, vm: int) -> Iterator[Step]:
        member = state.members[vm]
        if not self.has("restart forgets its lease") and state.holder == vm:
            resumed = member._replace(held=LEASE_TICKS, current=True)
            yield f"vm{vm} reads its old lease", _replace(state, vm, resumed)
        if member.current:
            return
        seen = member._replace(current=True, unchanged=0)
        yield f"vm{vm} reads the lease", _replace(state, vm, seen)

    def _new_writes(self, state: State, vm: int) -> Iterator[Step]:
        member = state.members[vm]
        if self.acts(member):
            yield f"vm{vm} sends a renewal", _sent(state, vm, "renew", member.held)
            kept = NEVER if self.has("stop acting before release") else member.held
            yield f"vm{vm} releases the lease", _sent(state, vm, "release", kept)
            return
        if not member.current:
            return
        waited = may_take_lease(member.unchanged, 0, LEASE_TICKS, state.released)
        if waited or not self.has("wait for the former lease"):
            yield f"vm{vm} sends a takeover", _sent(state, vm, "take", NEVER)

    def _applied_writes(self, state: State, vm: int) -> Iterator[Step]:
        member = state.members[vm]
        if member.late_copy:
            done = _replace(state, vm, member._replace(late_copy=""))
            label = f"the platform takes a late {member.late_copy} of vm{vm}"
            yield label, _written(done, vm, member.late_copy, -1)
        if not member.copy:
            return
        current = member.gap == 0 or not self.has("conditional update")
        answer = "ok" if current else "refused"
        done = _replace(state, vm, member._replace(copy=False, answer=answer))
        if not current:
            yield f"the platform refuses the {member.write} of vm{vm}", done
            return
        label = f"the platform takes the {member.write} of vm{vm}"
        yield label, _written(done, vm, member.write, vm)

    def _answers(self, state: State, vm: int) -> Iterator[Step]:
        member = state.members[vm]
        if not member.lost:
            lost = member._replace(lost=True, answer="")
            yield f"vm{vm} gets no answer", _replace(state, vm, lost)
            if member.answer == "ok":
                yield f"vm{vm} gets the answer", self._settled(state, vm, True)
            if member.answer == "refused":
                yield f"vm{vm} gets a refusal", self._settled(state, vm, False)
            return
        if not self.has("read-back after a lost answer"):
            yield f"vm{vm} takes it as written", self._settled(state, vm, True)
            return
        yield from self._read_back(state, vm)

    def _read_back(self, state: State, vm: int) -> Iterator[Step]:
        member = state.members[vm]
        result = resolve_lost_write(
            VERSION + member.gap, str(state.change), VERSION, str(vm)
        )
        if result is WriteResult.NOT_APPLIED:
            again = member._replace(lost=False, copy=True)
            yield f"vm{vm} reads back and repeats", _replace(state, vm, again)
            return
        held = result is WriteResult.APPLIED
        label = f"vm{vm} reads back: {result.value}"
        yield label, self._settled(state, vm, held)

    def _settled(self, state: State, vm: int, applied: bool) -> State:
        """Return the state after a VM has learnt what became of its write."""
        member = state.members[vm]
        held = member.held
        if applied and member.write != "release":
            held = member.ticks_left
            if not self.has("lease counted from the first sending"):
                held = LEASE_TICKS
        idle = Member(held=held, current=member.gap == 1 and applied)
        late = member.write if member.copy and member.gap == 0 else ""
        return _replace(state, vm, idle._replace(late_copy=late or member.late_copy))


def _replace(state: State, vm: int, member: Member) -> State:
    members = (member, state.members[1]) if vm == 0 else (state.members[0], member)
    return state._replace(members=members)


def _restarted(member: Member) -> Member:
    """Return a new incarnation; what its former self sent may still arrive."""
    late = member.write if member.copy and member.gap == 0 else member.late_copy
    return Member(late_copy=late)


def _sent(state: State, vm: int, write: str, held: int) -> State:
    member = state.members[vm]
    sent = member._replace(
        held=held,
        write=write,
        gap=0 if member.current else FAR,
        ticks_left=LEASE_TICKS,
        copy=True,
        answer="",
        lost=False,
    )
    change = -1 if state.change == vm else state.change
    return _replace(state, vm, sent)._replace(change=change)


def _written(state: State, vm: int, write: str, change: int) -> State:
    """Return the state after a write; everyone's knowledge falls behind it."""
    members = tuple(
        member._replace(
            current=False,
            unchanged=0,
            gap=min(member.gap + 1, FAR) if member.write else 0,
            late_copy="",
        )
        for member in state.members
    )
    return state._replace(
        holder=vm,
        released=write == "release",
        change=change,
        members=(members[0], members[1]),
    )


def _tick(state: State) -> State:
    members = tuple(
        member._replace(
            held=max(member.held - 1, NEVER),
            ticks_left=max(member.ticks_left - 1, NEVER),
            unchanged=min(member.unchanged + 1, LEASE_TICKS) if member.current else 0,
        )
        for member in state.members
    )
    return state._replace(members=(members[0], members[1]))
