"""model.order_lease: a duty's lease and the time between calls of two holders.

The calls are weight load orders, usage reports or scaling orders; one class holds the
leases of all of them, and an order below stands for any call.
Two VMs share one lease object. Orders are in transit for up to a tick, replicas do not
check fencing tokens, responses of the store may be lost and writes may arrive late. A
VM that takes no step while time passes represents a paused VM.
"""

from collections.abc import Iterator
from typing import NamedTuple

from greengagetack.coordination.duty_lease import takeover_wait_s
from model.specification import Guard, Predicate, Specification, Step, specification

__all__ = ["OrderLeaseSpecification"]

LEASE_TICKS = 3
APART_TICKS = 2
# An order arrives within this time after it is sent.
SEND_TICKS = 2
DRIFT_TICKS = 0
MAX_WAIT_TICKS = LEASE_TICKS + APART_TICKS + DRIFT_TICKS
NO_VM = -1
HELD = -1

APART = "orders of two VMs are at least the minimum time apart"


class Vm(NamedTuple):
    """A VM: its lease, its view of the record, its pending write and its order.

    `write` is the value that the pending write stores: `HELD`, or the quiet ticks of a
    release; it is None if no write is pending. `quiet` counts the ticks since the last
    order.
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
    """The record (holder, and quiet ticks or HELD), the last order and both VMs."""

    holder: int
    quiet: int
    last_order_vm: int
    last_order_age: int
    is_broken: bool
    vms: tuple[Vm, Vm]


@specification
class OrderLeaseSpecification(Specification):
    """Lease with a minimum time between the orders of two holders."""

    name = "order-lease"
    guards = (
        Guard("no order in the last part of the lease", APART),
        Guard("lease counted from sending", APART),
        Guard("wait for the former lease to expire", APART),
        Guard("minimum time after a release", APART),
        Guard("release waits for orders in transit", APART),
        Guard("quiet time counted from the acquisition", APART),
        Guard("conditional update", APART),
    )

    def initial(self) -> State:
        """Return a record that no VM has held."""
        max_quiet = APART_TICKS + DRIFT_TICKS
        return State(NO_VM, max_quiet, NO_VM, max_quiet, False, (Vm(), Vm()))

    def properties(self) -> dict[str, Predicate]:
        """Return the safety property."""
        return {APART: lambda s: not s.is_broken}

    def goal(self, state: State) -> bool:
        """Whether a VM may send an order."""
        return any(self._may_order(vm) for vm in state.vms)

    def _may_order(self, vm: Vm) -> bool:
        has_margin = self.has("no order in the last part of the lease")
        return vm.lease > (SEND_TICKS if has_margin else 0)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the passing of time and the steps of each VM."""
        if not any(vm.order_age >= SEND_TICKS for vm in state.vms):
            yield "time passes", _tick(state)
        for index, vm in enumerate(state.vms):
            name = f"vm{index}"
            if vm.has_order:
                yield f"{name}'s order arrives", _arrived(state, index)
            # An order in transit survives a restart of its sender.
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
        is_waiting = self.has("release waits for orders in transit") and vm.has_order
        if vm.lease > 0 and not is_waiting:
            released = vm._replace(lease=0, write=vm.quiet, write_age=0)
            yield f"{name} releases", _replaced(state, index, released)
        if vm.lease > 0 or self._may_acquire(state, index):
            writing = vm._replace(write=HELD, write_age=0)
            yield f"{name} acquires or renews", _replaced(state, index, writing)

    def _may_acquire(self, state: State, index: int) -> bool:
        vm = state.vms[index]
        if not vm.is_current:
            return False
        if state.holder in (NO_VM, index):
            return True
        is_released = state.quiet != HELD
        if is_released and not self.has("minimum time after a release"):
            return True
        lease = LEASE_TICKS if self.has("wait for the former lease to expire") else 0
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
                yield f"{name}'s write is applied", _applied(state, index)
            if not vm.is_current:
                conflicting = vm._replace(write=None, lease=0)
                yield (
                    f"{name} receives a conflict",
                    _replaced(state, index, conflicting),
                )
        else:
            lease, quiet = vm.lease, vm.quiet
            is_counted = self.has("quiet time counted from the acquisition")
            if vm.write == HELD and not vm.lease and is_counted:
                # The time of orders before the acquisition or a restart is unknown.
                quiet = 0
            if vm.write == HELD:
                age = vm.write_age if self.has("lease counted from sending") else 0
                lease = max(0, LEASE_TICKS - age)
            done = vm._replace(write=None, lease=lease, is_applied=False, quiet=quiet)
            yield f"{name} receives a success", _replaced(state, index, done)
            # The response is lost: the next write conflicts with the changed record.
            lost = vm._replace(write=None, is_applied=False, is_current=False)
            yield f"{name}'s response is lost", _replaced(state, index, lost)


def _replaced(state: State, index: int, vm: Vm) -> State:
    vms = list(state.vms)
    vms[index] = _normalized(vm)
    return state._replace(vms=(vms[0], vms[1]))


def _normalized(vm: Vm) -> Vm:
    """Return a VM with the counters reset that no longer affect its behaviour."""
    max_quiet = APART_TICKS + DRIFT_TICKS
    is_quiet_known = vm.lease > 0
    return vm._replace(
        unchanged=vm.unchanged if vm.is_current else 0,
        write_age=vm.write_age if vm.write == HELD else 0,
        quiet=vm.quiet if is_quiet_known else max_quiet,
    )


def _applied(state: State, index: int) -> State:
    vm = state.vms[index]
    assert vm.write is not None
    changed = _replaced(state, index, vm._replace(is_applied=True, is_current=True))
    other = changed.vms[1 - index]._replace(is_current=False)
    changed = _replaced(changed, 1 - index, other)
    return changed._replace(holder=index, quiet=vm.write)


def _arrived(state: State, index: int) -> State:
    is_close = state.last_order_vm == 1 - index and state.last_order_age < APART_TICKS
    # The quiet time counts from the response, which follows the arrival.
    answered = state.vms[index]._replace(has_order=False, order_age=0, quiet=0)
    arrived = _replaced(state, index, answered)
    return arrived._replace(
        last_order_vm=index, last_order_age=0, is_broken=state.is_broken or is_close
    )


def _tick(state: State) -> State:
    max_quiet = APART_TICKS + DRIFT_TICKS
    vms = [
        _normalized(
            vm._replace(
                lease=max(0, vm.lease - 1),
                unchanged=min(MAX_WAIT_TICKS, vm.unchanged + 1),
                write_age=min(LEASE_TICKS, vm.write_age + 1),
                order_age=vm.order_age + 1 if vm.has_order else 0,
                quiet=min(max_quiet, vm.quiet + 1),
            )
        )
        for vm in state.vms
    ]
    return state._replace(
        vms=(vms[0], vms[1]), last_order_age=min(max_quiet, state.last_order_age + 1)
    )
