"""greengagetack.membership.contest: how a member becomes its cell's lead."""

from collections.abc import Awaitable, Callable
from contextlib import suppress

from loguru import logger

from greengagetack.errors import CodedError, PlatformUnavailable
from greengagetack.leases.lease import PlatformLease
from greengagetack.membership.lead import LeadDuty
from greengagetack.membership.stored import LeadObject
from greengagetack.membership.table import rendezvous_order
from greengagetack.membership.timings import CellTimings
from greengagetack.membership.view import CellView
from greengagetack.objects.base import WriteUnknown
from greengagetack.timer import Timer

__all__ = ["LeadContest"]

RANK_DELAY_RATIO = 0.3
MAX_RANK_DELAY_RENEWALS = 3.0
BACKOFF_PER_RANK_RATIO = 0.25
MISSED_HEARTBEATS = 1.5
OBSERVERS = 4
FOLLOW_RENEWALS = 2.0


class LeadContest:
    """Looks for a lead when there is none, and claims the lease in turn.

    Members wait by their rank in rendezvous order, so that one of them claims
    and the others find it.

    Parameters
    ----------
    cell : str
        Name of the cell.
    lease : PlatformLease
        The lead's lease.
    view : CellView
        What this VM knows about the cell.
    duty : LeadDuty
        Begins once the lease is taken.
    timings : CellTimings
        Durations.
    timer : Timer
        Clock.
    beat : callable
        Sends a heartbeat to the lead that the view names.
    """

    def __init__(
        self,
        cell: str,
        lease: PlatformLease,
        view: CellView,
        duty: LeadDuty,
        timings: CellTimings,
        timer: Timer,
        beat: Callable[[], Awaitable[None]],
    ) -> None:
        self.candidate = False
        self._cell = cell
        self._lease = lease
        self._view = view
        self._duty = duty
        self._timings = timings
        self._timer = timer
        self._beat = beat
        self._trusted_heard_s = -timings.observer_s
        self._after_s = 0.0
        self._lead_gone = False
        self._observed = False

    def note_trusted(self, lease_version: int) -> None:
        """Take note that a lead which trusts its lease has answered."""
        self._trusted_heard_s = self._timer.now_s()
        self._lease.observe_version(lease_version)

    def note_lead_gone(self) -> None:
        """Look for a lead soon: the former one says that it does not lead."""
        if not self._lead_gone:
            self._lead_gone = True
            self._after_s = self._timer.now_s() + self._rank_delay_s()

    async def round(self) -> None:
        """Do one step of looking for a lead or claiming the lease."""
        now_s = self._timer.now_s()
        if self._lease.held or now_s < self._after_s:
            return
        missed_s = MISSED_HEARTBEATS * self._timings.heartbeat_s
        if now_s - self._trusted_heard_s < missed_s:
            self._observed = False
            return
        if self._lease.version >= 0 and not self._lead_gone:
            await self._observe()
            wait_s = self._lease.may_claim_in_s()
            if wait_s > 0:
                self._after_s = now_s + wait_s + self._rank_delay_s()
                return
        self._lead_gone = False
        try:
            await self._contest()
        except (PlatformUnavailable, WriteUnknown) as error:
            logger.debug("lead: cannot contest the lease: {}", error.reason)
            backoff = 1.0 + self._rank() * BACKOFF_PER_RANK_RATIO
            backoff_s = self._timer.jittered_s(backoff * self._timings.renew_s)
            self._after_s = now_s + backoff_s

    async def _observe(self) -> None:
        """Read once which version of the lease the silent lead has left.

        The lead may have renewed it after its last answer; the time that others
        have to wait counts from when they saw that version. Only the members
        that would claim it first read.
        """
        if self._observed or not self.candidate or self._rank() >= OBSERVERS:
            return
        self._observed = True
        with suppress(PlatformUnavailable):
            lead = await self._lease.read()
            if lead is not None:
                self._view.adopt_lead(lead)

    def _rank_delay_s(self) -> float:
        """Return how long this VM lets others go first."""
        delay = min(self._rank() * RANK_DELAY_RATIO, MAX_RANK_DELAY_RENEWALS)
        return self._timer.jittered_s(delay * self._timings.renew_s)

    def _rank(self) -> int:
        members = tuple(vm.vm_id for vm in self._view.live_members())
        order = rendezvous_order(f"lead-{self._cell}", members)
        return order.index(self._view.vm.vm_id) if self._view.vm.vm_id in order else 0

    async def _contest(self) -> None:
        lead = await self._lease.read()
        if lead is not None:
            self._view.adopt_lead(lead)
            if lead.holder_vm_id and lead.holder_vm_id != self._view.vm.vm_id:
                await self._beat()
                if self._timer.now_s() - self._trusted_heard_s < self._timings.renew_s:
                    return
        if not self.candidate:
            # It only looks for the next lead, at a leisurely rate.
            wait_s = self._timer.jittered_s(FOLLOW_RENEWALS * self._timings.renew_s)
            self._after_s = self._timer.now_s() + wait_s
            return
        if not await self._lease.claim(lead):
            return
        self._view.adopt_lead(self._own_lead())
        await self._beat()
        self._duty.push()
        with suppress(CodedError):
            # The next round of the lead tries again.
            await self._duty.step()

    def _own_lead(self) -> LeadObject:
        return LeadObject(
            self._view.vm.vm_id,
            self._view.vm.incarnation,
            self._view.vm.peer,
            self._lease.epoch,
        )
