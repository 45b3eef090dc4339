"""model.order_lease: the right to give orders, and how far orders lie apart.

Two VMs share one lease object. Orders are under way for up to a tick, replicas do not
check fencing tokens, answers of the store get lost and writes arrive late. A VM that
takes no step while time passes is a paused one.
"""

from collections.abc import Iterator
from typing import NamedTuple

from greengagetack.weights.order_lease import takeover_wait_s
from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["OrderLeaseSpecification"]

LEASE_TICKS = 3
APART_TICKS = 2
# An order that is sent arrives within this time.
SEND_TICKS = 2
DRIFT_TICKS = 0
LONGEST_WAIT_TICKS = LEASE_TICKS + APART_TICKS + DRIFT_TICKS
NOBODY = -1
HELD = -1

APART = "orders of two VMs lie far enough apart"


class Vm(NamedTuple):
    """One VM: its lease, the record as it saw it, its write and order under way.

    `write` is what the write makes of the record: `held`, or the quiet ticks of a
    release; None without one. `quiet` counts the ticks since its last order.
    """

    lease: int = 0
    is_current: bool = False
    unchanged: int = 0
    write: int | None = None
    write_age: int = 0
    is_applied: bool = False
    has_order: bool = False
    order_age: int = 0
    quiet: int = APART_TICKS + DRIFT_TICKS


class State(NamedTuple):
    """The record (holder, quiet ticks or HELD), the last order, both VMs."""

    holder: int
    quiet: int
    last_vm: int
    last_ago: int
    is_broken: bool
    vms: tuple[Vm, Vm]


@specification
class OrderLeaseSpecification(Specification):
    """Lease with a distance between the orders of two holders."""

    name = "order-lease"
    guards = (
        Guard("no order in the last part of the lease", APART),
        Guard("lease counted from sending", APART),
        Guard("wait for the former lease", APART),
        Guard("distance after a release", APART),
        Guard("release waits for orders under way", APART),
        Guard("quiet time counted from the taking", APART),
        Guard("conditional update", APART),
    )

    def initial(self) -> State:
        """Return a record that nobody has held."""
        most = APART_TICKS + DRIFT_TICKS
        return State(NOBODY, most, NOBODY, most, False, (Vm(), Vm()))

    def properties(self) -> dict[str, Predicate]:
        """Return the safety property."""
        return {APART: lambda s: not s.is_broken}

    def goal(self, state: State) -> bool:
        """Whether a VM may order."""
        return any(self._may_order(vm) for vm in state.vms)

    def _may_order(self, vm: Vm) -> bool:
        has_margin = self.has("no order in the last part of the lease")
        return vm.lease > (SEND_TICKS if has_margin else 0)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield time and the steps of each VM."""
        if not any(vm.order_age >= SEND_TICKS for vm in state.vms):
            yield "time passes", _tick(state)
        for index, vm in enumerate(state.vms):
            name = f"vm{index}"
            if vm.has_order:
                yield f"{name}'s order arrives", _arrived(state, index)
            # An order under way outlives its sender.
            restarted = Vm(has_order=vm.has_order, order_age=vm.order_age)
            yield f"{name} restarts", _replaced(state, index, restarted)
            if vm.write is not None:
                yield from self._write_steps(state, index, name)
                continue
            if not vm.is_current:
                read = vm._replace(is_current=True, unchanged=0)
                yield f"{name} reads the record", _replaced(state, index, read)
            yield from self._holder_steps(state, index, name)

    def _holder_steps(self, state: State, index: int, name: str) -> Iterator[Step]:
        vm = state.vms[index]
        if self._may_order(vm) and not vm.has_order:
            sent = vm._replace(has_order=True, order_age=0, quiet=0)
            yield f"{name} sends an order", _replaced(state, index, sent)
        is_waiting = self.has("release waits for orders under way") and vm.has_order
        if vm.lease > 0 and not is_waiting:
            released = vm._replace(lease=0, write=vm.quiet, write_age=0)
            yield f"{name} releases", _replaced(state, index, released)
        if vm.lease > 0 or self._may_take(state, index):
            writing = vm._replace(write=HELD, write_age=0)
            yield f"{name} takes or renews", _replaced(state, index, writing)

    def _may_take(self, state: State, index: int) -> bool:
        vm = state.vms[index]
        if not vm.is_current:
            return False
        if state.holder in (NOBODY, index):
            return True
        is_released = state.quiet != HELD
        if is_released and not self.has("distance after a release"):
            return True
        lease = LEASE_TICKS if self.has("wait for the former lease") else 0
        wait = takeover_wait_s(
            is_released, max(0, state.quiet), APART_TICKS, lease, DRIFT_TICKS
        )
        return vm.unchanged >= wait

    def _write_steps(self, state: State, index: int, name: str) -> Iterator[Step]:
        vm = state.vms[index]
        assert vm.write is not None
        if not vm.is_applied:
            is_conditional = self.has("conditional update")
            if vm.is_current or not is_conditional:
                yield f"{name}'s write takes effect", _applied(state, index)
            if not vm.is_current:
                met = vm._replace(write=None, lease=0)
                yield f"{name} meets a conflict", _replaced(state, index, met)
        else:
            lease, quiet = vm.lease, vm.quiet
            is_counted = self.has("quiet time counted from the taking")
            if vm.write == HELD and not vm.lease and is_counted:
                # What it sent before, or before a restart, is not remembered.
                quiet = 0
            if vm.write == HELD:
                age = vm.write_age if self.has("lease counted from sending") else 0
                lease = max(0, LEASE_TICKS - age)
            done = vm._replace(write=None, lease=lease, is_applied=False, quiet=quiet)
            yield f"{name} hears of its write", _replaced(state, index, done)
            # A lost answer: the next write meets the changed record.
            lost = vm._replace(write=None, is_applied=False, is_current=False)
            yield f"{name}'s answer is lost", _replaced(state, index, lost)


def _replaced(state: State, index: int, vm: Vm) -> State:
    vms = list(state.vms)
    vms[index] = _reduced(vm)
    return state._replace(vms=(vms[0], vms[1]))


def _reduced(vm: Vm) -> Vm:
    """Return a VM without the counts that nothing depends on any more."""
    most = APART_TICKS + DRIFT_TICKS
    is_quiet_known = vm.lease > 0
    return vm._replace(
        unchanged=vm.unchanged if vm.is_current else 0,
        write_age=vm.write_age if vm.write == HELD else 0,
        quiet=vm.quiet if is_quiet_known else most,
    )


def _applied(state: State, index: int) -> State:
    vm = state.vms[index]
    assert vm.write is not None
    changed = _replaced(state, index, vm._replace(is_applied=True, is_current=True))
    other = changed.vms[1 - index]._replace(is_current=False)
    changed = _replaced(changed, 1 - index, other)
    return changed._replace(holder=index, quiet=vm.write)


def _arrived(state: State, index: int) -> State:
    is_close = state.last_vm == 1 - index and state.last_ago < APART_TICKS
    # The quiet time counts from the answer, which comes after the arrival.
    answered = state.vms[index]._replace(has_order=False, order_age=0, quiet=0)
    arrived = _replaced(state, index, answered)
    return arrived._replace(
        last_vm=index, last_ago=0, is_broken=state.is_broken or is_close
    )


def _tick(state: State) -> State:
    most = APART_TICKS + DRIFT_TICKS
    vms = [
        _reduced(
            vm._replace(
                lease=max(0, vm.lease - 1),
                unchanged=min(LONGEST_WAIT_TICKS, vm.unchanged + 1),
                write_age=min(LEASE_TICKS, vm.write_age + 1),
                order_age=vm.order_age + 1 if vm.has_order else 0,
                quiet=min(most, vm.quiet + 1),
            )
        )
        for vm in state.vms
    ]
    return state._replace(vms=(vms[0], vms[1]), last_ago=min(most, state.last_ago + 1))
