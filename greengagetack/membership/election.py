"""greengagetack.membership.election: elects the lead of a cell."""

from collections.abc import Awaitable, Callable
from contextlib import suppress

from loguru import logger

from greengagetack.errors import CodedError, PlatformUnavailable
from greengagetack.leases.lease import PlatformLease
from greengagetack.membership.lead import LeadController
from greengagetack.membership.stored import LeadObject
from greengagetack.membership.table import rendezvous_order
from greengagetack.membership.timings import CellTimings
from greengagetack.membership.view import CellView
from greengagetack.objects.base import WriteUnknown
from greengagetack.timer import Timer

__all__ = ["LeadElection"]

RANK_DELAY_RENEWALS = 0.3
MAX_RANK_DELAY_RENEWALS = 3.0
BACKOFF_PER_RANK_RENEWALS = 0.25
MISSED_HEARTBEATS = 1.5
MAX_OBSERVERS = 4
POLL_RENEWALS = 2.0


class LeadElection:
    """Finds the cell's lead, or claims the lease when there is none.

    Each member waits in proportion to its rank in rendezvous order, so that one
    member claims the lease and the others then find it.

    Parameters
    ----------
    cell : str
        Name of the cell.
    lease : PlatformLease
        The lead's lease.
    view : CellView
        This VM's view of the cell.
    lead_controller : LeadController
        Does the lead's work once the lease is claimed.
    timings : CellTimings
        Durations.
    timer : Timer
        Clock.
    beat : callable
        Sends a heartbeat to the lead named in the view.
    """

    def __init__(
        self,
        cell: str,
        lease: PlatformLease,
        view: CellView,
        lead_controller: LeadController,
        timings: CellTimings,
        timer: Timer,
        beat: Callable[[], Awaitable[None]],
    ) -> None:
        self.is_candidate = False
        self._cell = cell
        self._lease = lease
        self._view = view
        self._lead_controller = lead_controller
        self._timings = timings
        self._timer = timer
        self._beat = beat
        self._trusted_answer_s = -timings.observer_s
        self._next_step_s = 0.0
        self._lead_gone = False
        self._observed = False

    def record_trusted_answer(self, lease_version: int) -> None:
        """Record an answer from a lead that trusts its lease."""
        self._trusted_answer_s = self._timer.now_s()
        self._lease.observe_version(lease_version)

    def record_lead_gone(self) -> None:
        """Start looking for a lead soon, as the former one answered that it isn't."""
        if not self._lead_gone:
            self._lead_gone = True
            self._next_step_s = self._timer.now_s() + self._rank_delay_s()

    async def step(self) -> None:
        """Run one step of finding a lead or claiming the lease."""
        now_s = self._timer.now_s()
        if self._lease.held or now_s < self._next_step_s:
            return
        missed_s = MISSED_HEARTBEATS * self._timings.heartbeat_s
        if now_s - self._trusted_answer_s < missed_s:
            self._observed = False
            return
        if self._lease.version >= 0 and not self._lead_gone:
            await self._observe()
            wait_s = self._lease.may_claim_in_s()
            if wait_s > 0:
                self._next_step_s = now_s + wait_s + self._rank_delay_s()
                return
        self._lead_gone = False
        try:
            await self._try_claim()
        except (PlatformUnavailable, WriteUnknown) as error:
            logger.debug("lead: could not read or claim the lease: {}", error.reason)
            backoff = 1.0 + self._rank() * BACKOFF_PER_RANK_RENEWALS
            backoff_s = self._timer.jittered_s(backoff * self._timings.renew_s)
            self._next_step_s = now_s + backoff_s

    async def _observe(self) -> None:
        """Read the silent lead's last version of the lease, once per silence.

        The lead may have renewed the lease after its last answer, and the wait
        before a claim counts from when this VM first saw the newest version. Only
        the candidates with the lowest ranks read it.
        """
        if self._observed or not self.is_candidate or self._rank() >= MAX_OBSERVERS:
            return
        self._observed = True
        with suppress(PlatformUnavailable):
            lead = await self._lease.read()
            if lead is not None:
                self._view.adopt_lead(lead)

    def _rank_delay_s(self) -> float:
        """Return how long this VM lets members ranked before it claim first."""
        delay = min(self._rank() * RANK_DELAY_RENEWALS, MAX_RANK_DELAY_RENEWALS)
        return self._timer.jittered_s(delay * self._timings.renew_s)

    def _rank(self) -> int:
        members = tuple(vm.vm_id for vm in self._view.live_members())
        order = rendezvous_order(f"lead-{self._cell}", members)
        return order.index(self._view.vm.vm_id) if self._view.vm.vm_id in order else 0

    async def _try_claim(self) -> None:
        lead = await self._lease.read()
        if lead is not None:
            self._view.adopt_lead(lead)
            if lead.holder_vm_id and lead.holder_vm_id != self._view.vm.vm_id:
                await self._beat()
                if self._timer.now_s() - self._trusted_answer_s < self._timings.renew_s:
                    return
        if not self.is_candidate:
            # A VM that may not lead only polls for the next lead, at a low rate.
            wait_s = self._timer.jittered_s(POLL_RENEWALS * self._timings.renew_s)
            self._next_step_s = self._timer.now_s() + wait_s
            return
        if not await self._lease.claim(lead):
            return
        self._view.adopt_lead(self._own_lead())
        await self._beat()
        self._lead_controller.push_news()
        with suppress(CodedError):
            # The lead's next periodic step retries.
            await self._lead_controller.step()

    def _own_lead(self) -> LeadObject:
        return LeadObject(
            self._view.vm.vm_id,
            self._view.vm.incarnation,
            self._view.vm.peer,
            self._lease.epoch,
        )
