"""greengagetack.leases.lease: an exclusive lease on one platform object."""

from dataclasses import dataclass

from loguru import logger
from transitions import Machine

from greengagetack.errors import PlatformUnavailable
from greengagetack.leases.decisions import (
    lease_expires_s,
    may_act,
    may_take_lease,
)
from greengagetack.membership.stored import LeadObject, from_value, to_value
from greengagetack.membership.timings import CellTimings
from greengagetack.objects.base import (
    ObjectConflict,
    ObjectStore,
    PlatformObject,
    WriteUnknown,
)
from greengagetack.timer import Timer
from greengagetack.world import Vm

__all__ = ["PlatformLease"]

_MACHINE = Machine(
    model=None,
    states=["observing", "claiming", "held"],
    initial="observing",
    transitions=[
        {"trigger": "try_claim", "source": "observing", "dest": "claiming"},
        {"trigger": "be_granted", "source": "claiming", "dest": "held"},
        {"trigger": "lose", "source": "*", "dest": "observing"},
    ],
    auto_transitions=False,
)


@dataclass(frozen=True, slots=True)
class _Observation:
    """The newest known version of the object and when it was first seen."""

    version: int
    since_s: float


class PlatformLease:
    """Takes, renews and releases the lease that a lead object represents.

    The holder may act for `CellTimings.holder_s` after *sending* a renewal that
    was confirmed. Other VMs may claim the lease once they have seen the same
    version for `CellTimings.observer_s` on their own clock.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    path : str
        Path of the object.
    vm : Vm
        The VM that may hold the lease.
    timings : CellTimings
        Durations of the lease and its margins.
    timer : Timer
        Clock.

    Attributes
    ----------
    epoch : int
        The newest known epoch; while the lease is held, the epoch of this holder.
    former_renewal_seen_s : float
        When the former holder's last renewal was first seen; set by a claim.
    """

    state: str

    def __init__(
        self,
        store: ObjectStore,
        path: str,
        vm: Vm,
        timings: CellTimings,
        timer: Timer,
    ) -> None:
        self._store = store
        self._path = path
        self._vm = vm
        self._timings = timings
        self._timer = timer
        self._observed = _Observation(-1, timer.now_s())
        self._renewal_sent_s = 0.0
        self.epoch = 0
        self.former_renewal_seen_s = timer.now_s()
        _MACHINE.add_model(self)

    @property
    def version(self) -> int:
        """The newest known version of the object, -1 if none is known."""
        return self._observed.version

    @property
    def held(self) -> bool:
        """Whether the lease was granted and no later holder is known."""
        return self.state == "held"

    def is_valid(self) -> bool:
        """Whether this VM certainly holds the lease now."""
        times = self._timings
        until_s = lease_expires_s(self._renewal_sent_s, times.lease_s, times.margin_s)
        return self.held and may_act(self._timer.now_s(), until_s)

    def observe_version(self, version: int) -> None:
        """Record a version that this VM or another member has seen."""
        if version > self._observed.version:
            self._observed = _Observation(version, self._timer.now_s())

    def observe_epoch(self, epoch: int) -> None:
        """Record that a lead with this epoch exists."""
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        if self.held:
            logger.warning(
                "lead: lost the lease to a lead with the newer epoch {}", epoch
            )
            self.trigger("lose")  # type: ignore[attr-defined]

    def may_claim_in_s(self) -> float:
        """Return the time until the lease may be claimed if it is not renewed."""
        due_s = self._observed.since_s + self._timings.observer_s
        return max(0.0, due_s - self._timer.now_s())

    async def read(self) -> LeadObject | None:
        """Read the lead object, None if it does not exist.

        Raises
        ------
        PlatformUnavailable
            If the platform does not answer.
        """
        stored = await self._store.read(self._path)
        return self._observe(stored)

    def _observe(self, stored: PlatformObject | None) -> LeadObject | None:
        self.observe_version(stored.version if stored else 0)
        if stored is None:
            return None
        lead = from_value(LeadObject, stored.value)
        self.epoch = max(self.epoch, lead.epoch)
        if self.held and not self._is_own_lease(lead):
            logger.warning("lead: lost the lease to {}", lead.holder_vm_id)
            self.trigger("lose")  # type: ignore[attr-defined]
        return lead

    def _names_this_holder(self, lead: LeadObject) -> bool:
        return (lead.holder_vm_id, lead.incarnation) == (
            self._vm.vm_id,
            self._vm.incarnation,
        )

    def _is_own_lease(self, lead: LeadObject) -> bool:
        return self._names_this_holder(lead) and lead.epoch == self.epoch

    async def claim(self, lead: LeadObject | None) -> bool:
        """Try to become the holder after `lead`, and return whether it succeeded.

        Raises
        ------
        PlatformUnavailable
            If the platform does not answer.
        """
        is_free = lead is None or not lead.holder_vm_id or self._names_this_holder(lead)
        if not may_take_lease(
            self._timer.now_s(),
            self._observed.since_s,
            self._timings.observer_s,
            is_free,
        ):
            return False
        self.former_renewal_seen_s = (
            self._timer.now_s() if is_free else self._observed.since_s
        )
        self.trigger("try_claim")  # type: ignore[attr-defined]
        epoch = self.epoch + 1
        wanted = LeadObject(self._vm.vm_id, self._vm.incarnation, self._vm.peer, epoch)
        granted = False
        try:
            granted = await self._write(wanted)
        finally:
            if granted:
                self.epoch = epoch
                self.trigger("be_granted")  # type: ignore[attr-defined]
                logger.info("lead: took the lease, epoch {}", epoch)
            else:
                self.trigger("lose")  # type: ignore[attr-defined]
        return granted

    async def renew(self) -> None:
        """Renew the lease; if another VM has claimed it, it is no longer held.

        Raises
        ------
        PlatformUnavailable
            If the platform does not answer; the lease then expires.
        """
        lead = LeadObject(
            self._vm.vm_id, self._vm.incarnation, self._vm.peer, self.epoch
        )
        if not await self._write(lead):
            await self.read()

    async def release(self) -> None:
        """Release the lease, so that others need not wait until it expires."""
        if not self.held:
            return
        expected = self._observed.version
        self.trigger("lose")  # type: ignore[attr-defined]
        lead = LeadObject("", "", self._vm.peer, self.epoch)
        try:
            version = await self._store.write(self._path, to_value(lead), expected)
            self.observe_version(version)
            logger.info("lead: released the lease")
        except (ObjectConflict, WriteUnknown, PlatformUnavailable) as error:
            logger.warning("lead: could not release the lease: {}", error.reason)

    async def _write(self, lead: LeadObject) -> bool:
        """Write the object and return whether the write certainly took effect."""
        sent_s = self._timer.now_s()
        expected = max(self._observed.version, 0)
        try:
            version = await self._store.write(self._path, to_value(lead), expected)
        except ObjectConflict:
            return False
        except WriteUnknown:
            return await self._resolve_lost_write(lead, expected, sent_s)
        self.observe_version(version)
        self._renewal_sent_s = sent_s
        return True

    async def _resolve_lost_write(
        self, wanted: LeadObject, expected_version: int, sent_s: float
    ) -> bool:
        """Read back whether a write without an answer took effect."""
        stored = await self._store.read(self._path)
        if stored is None or stored.version <= expected_version:
            # A renewal writes the same value again, so only the version differs.
            return False
        if from_value(LeadObject, stored.value) != wanted:
            self._observe(stored)
            return False
        self.observe_version(stored.version)
        self._renewal_sent_s = sent_s
        return True
