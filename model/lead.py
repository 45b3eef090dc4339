"""model.lead: the lead's lease and epoch, stored on the platform.

Two VMs write one lease object by conditional update. Answers may be lost, and
copies of a write may arrive late, even after their sender has restarted. A paused
VM is modelled as time that passes without a step of the VM, and an outage as time
without a step of the platform. Versions are stored as their distance from the
object's present version, so that the state space stays finite.
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
EXPIRED_TICKS = -DRIFT_TICKS - 1
VERSION = 1
MAX_VERSION_GAP = 2

ONE_LEAD = "at most one VM acts as lead"
NAMED_LEAD = "a VM that acts is the one that the lease object names"


class Member(NamedTuple):
    """A VM: its lease, what it last read, and its write in flight."""

    held_ticks: int = EXPIRED_TICKS
    read_current: bool = False
    unchanged_ticks: int = 0
    write: str = ""
    version_gap: int = 0
    write_ticks_left: int = EXPIRED_TICKS
    copy_in_flight: bool = False
    answer: str = ""
    answer_lost: bool = False
    late_copy: str = ""


class State(NamedTuple):
    """The lease object, the VM lost for good (-1 if none) and both VMs."""

    holder: int
    released: bool
    change: int
    dead: int
    members: tuple[Member, Member]


@specification
class LeadSpecification(Specification):
    """A lease by conditional update, with read-back and restarts."""

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
        """Return a free lease object and two VMs that have read nothing."""
        return State(-1, True, -1, -1, (Member(), Member()))

    def acts(self, member: Member) -> bool:
        """Whether a VM acts as lead if its clock is as slow as allowed."""
        margin = MARGIN_TICKS if self.has("margin before expiry") else 0
        return may_act(0, member.held_ticks + DRIFT_TICKS, margin)

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
        """Yield the passing of time and the steps of the platform and of each VM."""
        yield "time passes", _tick(state)
        for vm in range(len(state.members)):
            yield from self._applied_write_steps(state, vm)
            if state.dead != vm:
                yield from self._member_steps(state, vm)

    def _member_steps(self, state: State, vm: int) -> Iterator[Step]:
        member = state.members[vm]
        yield f"vm{vm} restarts", _replace(state, vm, _restarted(member))
        if state.dead < 0:
            dead = _replace(state, vm, _restarted(member))
            yield f"vm{vm} dies", dead._replace(dead=vm)
        if not member.write:
            yield from self._read_steps(state, vm)
            yield from self._new_write_steps(state, vm)
            return
        yield from self._answer_steps(state, vm)

    def _read_steps(self, state: State, vm: int) -> Iterator[Step]:
        member = state.members[vm]
        if not self.has("restart forgets its lease") and state.holder == vm:
            resumed = member._replace(held_ticks=LEASE_TICKS, read_current=True)
            yield f"vm{vm} reads its old lease", _replace(state, vm, resumed)
        if member.read_current:
            return
        seen = member._replace(read_current=True, unchanged_ticks=0)
        yield f"vm{vm} reads the lease", _replace(state, vm, seen)

    def _new_write_steps(self, state: State, vm: int) -> Iterator[Step]:
        member = state.members[vm]
        if self.acts(member):
            yield (
                f"vm{vm} sends a renewal",
                _sent(state, vm, "renew", member.held_ticks),
            )
            kept = (
                EXPIRED_TICKS
                if self.has("stop acting before release")
                else member.held_ticks
            )
            yield f"vm{vm} releases the lease", _sent(state, vm, "release", kept)
            return
        if not member.read_current:
            return
        waited = may_take_lease(member.unchanged_ticks, 0, LEASE_TICKS, state.released)
        if waited or not self.has("wait for the former lease"):
            yield f"vm{vm} sends a takeover", _sent(state, vm, "take", EXPIRED_TICKS)

    def _applied_write_steps(self, state: State, vm: int) -> Iterator[Step]:
        member = state.members[vm]
        if member.late_copy:
            done = _replace(state, vm, member._replace(late_copy=""))
            label = f"the platform applies a late {member.late_copy} of vm{vm}"
            yield label, _written(done, vm, member.late_copy, -1)
        if not member.copy_in_flight:
            return
        current = member.version_gap == 0 or not self.has("conditional update")
        answer = "ok" if current else "refused"
        done = _replace(state, vm, member._replace(copy_in_flight=False, answer=answer))
        if not current:
            yield f"the platform refuses the {member.write} of vm{vm}", done
            return
        label = f"the platform applies the {member.write} of vm{vm}"
        yield label, _written(done, vm, member.write, vm)

    def _answer_steps(self, state: State, vm: int) -> Iterator[Step]:
        member = state.members[vm]
        if not member.answer_lost:
            lost = member._replace(answer_lost=True, answer="")
            yield f"vm{vm} loses the answer", _replace(state, vm, lost)
            if member.answer == "ok":
                yield f"vm{vm} gets the answer", self._resolved(state, vm, True)
            if member.answer == "refused":
                yield f"vm{vm} gets a refusal", self._resolved(state, vm, False)
            return
        if not self.has("read-back after a lost answer"):
            yield (
                f"vm{vm} assumes that the write was applied",
                self._resolved(state, vm, True),
            )
            return
        yield from self._read_back_steps(state, vm)

    def _read_back_steps(self, state: State, vm: int) -> Iterator[Step]:
        member = state.members[vm]
        result = resolve_lost_write(
            VERSION + member.version_gap, str(state.change), VERSION, str(vm)
        )
        if result is WriteResult.NOT_APPLIED:
            again = member._replace(answer_lost=False, copy_in_flight=True)
            yield f"vm{vm} reads back and retries", _replace(state, vm, again)
            return
        held = result is WriteResult.APPLIED
        label = f"vm{vm} reads back: {result.value}"
        yield label, self._resolved(state, vm, held)

    def _resolved(self, state: State, vm: int, applied: bool) -> State:
        """Return the state after a VM gets the result of its write."""
        member = state.members[vm]
        held = member.held_ticks
        if applied and member.write != "release":
            held = member.write_ticks_left
            if not self.has("lease counted from the first sending"):
                held = LEASE_TICKS
        idle = Member(held_ticks=held, read_current=member.version_gap == 1 and applied)
        late = member.write if member.copy_in_flight and member.version_gap == 0 else ""
        return _replace(state, vm, idle._replace(late_copy=late or member.late_copy))


def _replace(state: State, vm: int, member: Member) -> State:
    members = (member, state.members[1]) if vm == 0 else (state.members[0], member)
    return state._replace(members=members)


def _restarted(member: Member) -> Member:
    """Return a new incarnation; a write of the former one may still arrive."""
    late = (
        member.write
        if member.copy_in_flight and member.version_gap == 0
        else member.late_copy
    )
    return Member(late_copy=late)


def _sent(state: State, vm: int, write: str, held: int) -> State:
    member = state.members[vm]
    sent = member._replace(
        held_ticks=held,
        write=write,
        version_gap=0 if member.read_current else MAX_VERSION_GAP,
        write_ticks_left=LEASE_TICKS,
        copy_in_flight=True,
        answer="",
        answer_lost=False,
    )
    change = -1 if state.change == vm else state.change
    return _replace(state, vm, sent)._replace(change=change)


def _written(state: State, vm: int, write: str, change: int) -> State:
    """Return the state after a write, which outdates what all VMs have read."""
    members = tuple(
        member._replace(
            read_current=False,
            unchanged_ticks=0,
            version_gap=min(member.version_gap + 1, MAX_VERSION_GAP)
            if member.write
            else 0,
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
            held_ticks=max(member.held_ticks - 1, EXPIRED_TICKS),
            write_ticks_left=max(member.write_ticks_left - 1, EXPIRED_TICKS),
            unchanged_ticks=min(member.unchanged_ticks + 1, LEASE_TICKS)
            if member.read_current
            else 0,
        )
        for member in state.members
    )
    return state._replace(members=(members[0], members[1]))
