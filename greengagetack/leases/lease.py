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
class _Seen:
    """A version of the object and since when it has not changed."""

    version: int
    since_s: float


class PlatformLease:
    """Takes, renews and gives back the lease that a lead object stands for.

    The holder trusts the lease for `CellTimings.holder_s` after *sending* a
    renewal that was confirmed. Others may claim it once they have seen the same
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
        Durations.
    timer : Timer
        Clock.

    Attributes
    ----------
    epoch : int
        The newest known epoch, the own one while the lease is held.
    former_seen_s : float
        When the former holder's last renewal was seen, set by a claim.
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
        self._seen = _Seen(-1, timer.now_s())
        self._sent_s = 0.0
        self.epoch = 0
        self.former_seen_s = timer.now_s()
        _MACHINE.add_model(self)

    @property
    def version(self) -> int:
        """The newest known version of the object, -1 if none was seen yet."""
        return self._seen.version

    @property
    def held(self) -> bool:
        """Whether nobody else is known to have the lease since it was granted."""
        return self.state == "held"

    def trusted(self) -> bool:
        """Whether this VM surely holds the lease now."""
        times = self._timings
        until_s = lease_expires_s(self._sent_s, times.lease_s, times.margin_s)
        return self.held and may_act(self._timer.now_s(), until_s)

    def note_version(self, version: int) -> None:
        """Take note of a version that another member has seen."""
        if version > self._seen.version:
            self._seen = _Seen(version, self._timer.now_s())

    def note_epoch(self, epoch: int) -> None:
        """Take note that a lead with this epoch exists."""
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        if self.held:
            logger.warning("lead: a lead with the newer epoch {} is known", epoch)
            self.trigger("lose")  # type: ignore[attr-defined]

    def may_claim_in_s(self) -> float:
        """Return the time until the lease may be claimed, from what was seen."""
        due_s = self._seen.since_s + self._timings.observer_s
        return max(0.0, due_s - self._timer.now_s())

    async def read(self) -> LeadObject | None:
        """Read the lead object, None if there is none.

        Raises
        ------
        PlatformUnavailable
            If the platform does not answer.
        """
        stored = await self._store.read(self._path)
        return self._take(stored)

    def _take(self, stored: PlatformObject | None) -> LeadObject | None:
        self.note_version(stored.version if stored else 0)
        if stored is None:
            return None
        lead = from_value(LeadObject, stored.value)
        self.epoch = max(self.epoch, lead.epoch)
        if self.held and not self._is_mine(lead):
            logger.warning("lead: {} has taken the lease", lead.holder_vm_id)
            self.trigger("lose")  # type: ignore[attr-defined]
        return lead

    def _names_me(self, lead: LeadObject) -> bool:
        return (lead.holder_vm_id, lead.incarnation) == (
            self._vm.vm_id,
            self._vm.incarnation,
        )

    def _is_mine(self, lead: LeadObject) -> bool:
        return self._names_me(lead) and lead.epoch == self.epoch

    async def claim(self, lead: LeadObject | None) -> bool:
        """Try to become the holder after `lead`, and return whether it worked.

        Raises
        ------
        PlatformUnavailable
            If the platform does not answer.
        """
        free = lead is None or not lead.holder_vm_id or self._names_me(lead)
        if not may_take_lease(
            self._timer.now_s(), self._seen.since_s, self._timings.observer_s, free
        ):
            return False
        self.former_seen_s = self._timer.now_s() if free else self._seen.since_s
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
        """Renew the lease while it is held; another holder's claim ends it.

        Raises
        ------
        PlatformUnavailable
            If the platform does not answer; the lease then runs out.
        """
        lead = LeadObject(
            self._vm.vm_id, self._vm.incarnation, self._vm.peer, self.epoch
        )
        if not await self._write(lead):
            await self.read()

    async def release(self) -> None:
        """Give the lease back, so that others need not wait for its end."""
        if not self.held:
            return
        expected = self._seen.version
        self.trigger("lose")  # type: ignore[attr-defined]
        lead = LeadObject("", "", self._vm.peer, self.epoch)
        try:
            version = await self._store.write(self._path, to_value(lead), expected)
            self.note_version(version)
            logger.info("lead: gave the lease back")
        except (ObjectConflict, WriteUnknown, PlatformUnavailable) as error:
            logger.warning("lead: could not give the lease back: {}", error.reason)

    async def _write(self, lead: LeadObject) -> bool:
        """Write the object and return whether it surely is in force."""
        sent_s = self._timer.now_s()
        expected = max(self._seen.version, 0)
        try:
            version = await self._store.write(self._path, to_value(lead), expected)
        except ObjectConflict:
            return False
        except WriteUnknown:
            return await self._find_out(lead, expected, sent_s)
        self.note_version(version)
        self._sent_s = sent_s
        return True

    async def _find_out(
        self, wanted: LeadObject, expected_version: int, sent_s: float
    ) -> bool:
        """Read whether a write without an answer has taken effect."""
        stored = await self._store.read(self._path)
        if stored is None or stored.version <= expected_version:
            # A renewal writes the same value again: only the version tells.
            return False
        if from_value(LeadObject, stored.value) != wanted:
            self._take(stored)
            return False
        self.note_version(stored.version)
        self._sent_s = sent_s
        return True
