"""greengagetack.membership.directory: this VM's membership in its cell."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.leases.decisions import lease_expires_s
from greengagetack.leases.lease import PlatformLease
from greengagetack.membership.election import LeadElection
from greengagetack.membership.lead import LeadController
from greengagetack.membership.messages import (
    CellNews,
    Heartbeat,
    HeartbeatAck,
    LeavingSign,
    NewPairs,
    Pulse,
    PulseAck,
    vm_digest,
)
from greengagetack.membership.stored import lead_path
from greengagetack.membership.table import CellTable, ShardPair, rendezvous_order
from greengagetack.membership.timings import CellTimings
from greengagetack.membership.view import CellView, KnownLead
from greengagetack.objects.base import ObjectStore
from greengagetack.peers.messages import Done
from greengagetack.peers.node import PeerNode
from greengagetack.settings.schema import VmSettings
from greengagetack.settings.view import SettingsView
from greengagetack.timer import Subscription, Timer
from greengagetack.world import Endpoint, Vm, VmState

__all__ = ["CellDirectory"]

ELECTION_STEPS_PER_RENEWAL = 4
DRAIN_LIMIT_LEASES = 3.0


class CellDirectory:
    """Implements `Directory` with heartbeats, the newest table and the lead's lease.

    Parameters
    ----------
    settings : VmSettings
        This VM; `peer` and `http` are the addresses that others connect to,
        with the ports in use.
    incarnation : str
        Identifies this process; differs after each start.
    peers : PeerNode
        Connections to the other members.
    platform : ObjectStore
        The platform's object store.
    fleet : SettingsView
        The fleet settings in effect.
    timer : Timer
        Clock and wake-ups.
    timings : CellTimings
        Durations of leases and heartbeats.
    """

    def __init__(
        self,
        settings: VmSettings,
        incarnation: str,
        peers: PeerNode,
        platform: ObjectStore,
        fleet: SettingsView,
        timer: Timer,
        timings: CellTimings | None = None,
    ) -> None:
        self.timings = timings or CellTimings()
        self.vm = Vm(
            settings.vm_id,
            settings.availability_zone,
            incarnation,
            settings.peer,
            settings.http,
        )
        self.cell = settings.cell
        self._peers = peers
        self._fleet = fleet
        self._timer = timer
        self.view = CellView(settings.cell, self.vm, peers)
        self._lease = PlatformLease(
            platform, lead_path(settings.cell), self.vm, self.timings, timer
        )
        self._lead_controller = LeadController(
            settings.cell,
            self._lease,
            self.view,
            peers,
            platform,
            fleet,
            self.timings,
            timer,
        )
        self._election = LeadElection(
            settings.cell,
            self._lease,
            self.view,
            self._lead_controller,
            self.timings,
            timer,
            self.send_heartbeat,
        )
        self._last_lead_message_s = timer.now_s()
        self._trusted_heartbeat_sent_s = -self.timings.lease_s
        self._last_step_failed = False
        self._acknowledged_heartbeat: tuple[KnownLead, Vm] | None = None
        self._subscriptions: list[Subscription] = []
        self._sign_tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Register the cell's message handlers and start the heartbeats."""
        self._peers.handle(Heartbeat, self._serve_heartbeat)
        self._peers.handle(Pulse, self._serve_pulse)
        self._peers.handle(CellNews, self._serve_news)
        self._peers.handle(LeavingSign, self._serve_sign)
        self._peers.handle(NewPairs, self._serve_pairs)
        self._fleet.subscribe(self._apply_settings)
        times = self.timings
        election_step_s = times.renew_s / ELECTION_STEPS_PER_RENEWAL
        self._subscriptions = [
            self._timer.subscribe(times.heartbeat_s, self.send_heartbeat, "heartbeat"),
            self._timer.subscribe(times.renew_s, self._lead_step, "lead"),
            self._timer.subscribe(election_step_s, self._election.step, "contest"),
        ]

    def become_candidate(self) -> None:
        """Make this VM a candidate for lead."""
        self._election.is_candidate = True

    async def stop_leading(self) -> None:
        """Stop being a candidate for lead, and release the lease if it is held."""
        self._election.is_candidate = False
        await self._lease.release()
        self._lead_controller.reset()

    async def drain(self) -> None:
        """Announce that this VM leaves and wait until it keeps no endpoint."""
        self.vm = replace(self.vm, state=VmState.LEAVING)
        limit_s = self._timer.now_s() + DRAIN_LIMIT_LEASES * self.timings.lease_s
        while self._timer.now_s() < limit_s:
            await self.send_heartbeat()
            if not self._keeps_endpoints():
                break
            await self._timer.sleep(self.timings.renew_s / ELECTION_STEPS_PER_RENEWAL)
        await self.stop_leading()

    def _keeps_endpoints(self) -> bool:
        others = [vm for vm in self.live_members() if vm.vm_id != self.vm.vm_id]
        keepers = {keeper.keeper_vm_id for keeper in self.view.table.keepers}
        return bool(others) and self.vm.vm_id in keepers

    async def close(self) -> None:
        """Stop all tasks of the directory."""
        for subscription in self._subscriptions:
            subscription.cancel()
        for task in list(self._sign_tasks):
            task.cancel()
        self._lead_controller.close()

    async def send_heartbeat(self) -> None:
        """Send one heartbeat to the lead and apply the news in its answer."""
        lead = self.view.lead
        if not lead.vm_id:
            return
        if self._acknowledged_heartbeat == (lead, self.vm) and await self._send_pulse(
            lead.vm_id
        ):
            return
        sent_s = self._timer.now_s()
        heartbeat = Heartbeat(
            self.vm,
            self.view.table.revision,
            self.view.pairs_version,
            self.view.signs.all(),
        )
        try:
            ack = await self._peers.request(
                lead.vm_id, heartbeat, self.timings.request_timeout_s
            )
        except CodedError as error:
            logger.debug("member: no answer from the lead: {}", error.reason)
            self._check_lead_silence()
            return
        if ack.news is None:
            self._record_lead_gone()
            return
        self._acknowledged_heartbeat = (lead, self.vm)
        self._process_ack(ack, sent_s)

    async def _send_pulse(self, lead_vm_id: str) -> bool:
        """Send a short heartbeat; return False if the lead needs a full one."""
        view = self.view
        pulse = Pulse(
            vm_digest(self.vm),
            view.table.revision,
            view.pairs_version,
            view.news_digest(),
        )
        sent_s = self._timer.now_s()
        try:
            ack = await self._peers.request(
                lead_vm_id, pulse, self.timings.request_timeout_s
            )
        except CodedError as error:
            logger.debug("member: no answer from the lead: {}", error.reason)
            self._check_lead_silence()
            return True
        if not ack.known or view.lead.vm_id != lead_vm_id:
            return False
        self._last_lead_message_s = self._timer.now_s()
        if ack.trusted:
            self._record_trusted_answer(ack.lease_version, sent_s)
        return True

    def _record_trusted_answer(self, lease_version: int, sent_s: float) -> None:
        self._election.record_trusted_answer(lease_version)
        self._trusted_heartbeat_sent_s = max(self._trusted_heartbeat_sent_s, sent_s)

    def _record_lead_gone(self) -> None:
        """Start an election soon, as the lead answered that it isn't."""
        self._last_lead_message_s = self._timer.now_s()
        self._election.record_lead_gone()

    def _process_ack(self, ack: HeartbeatAck, sent_s: float) -> None:
        news = ack.news
        if news is None or news.lead_epoch < self.view.lead.epoch:
            return
        self._last_lead_message_s = self._timer.now_s()
        self._adopt_news(news)
        if ack.trusted:
            self._record_trusted_answer(news.lease_version, sent_s)

    def _adopt_news(self, news: CellNews) -> None:
        self._lease.observe_epoch(news.lead_epoch)
        if self.view.adopt_news(news):
            self.view.notify_subscribers()

    def _check_lead_silence(self) -> None:
        silent_s = self._timer.now_s() - self._last_lead_message_s
        lead = self.view.lead.vm_id
        if silent_s < self.timings.suspect_s or lead in self.view.suspected:
            return
        logger.warning(
            "member: no answer from the lead {} for {:.1f} s", lead, silent_s
        )
        self.view.suspected |= {lead}
        self.view.notify_subscribers()

    async def _serve_heartbeat(self, _: str, heartbeat: Heartbeat) -> HeartbeatAck:
        return self._lead_controller.handle_heartbeat(heartbeat)

    async def _serve_pulse(self, vm_id: str, pulse: Pulse) -> PulseAck:
        return self._lead_controller.handle_pulse(vm_id, pulse)

    async def _serve_news(self, _: str, news: CellNews) -> Done:
        if news.lead_epoch >= self.view.lead.epoch:
            self._last_lead_message_s = self._timer.now_s()
        self._adopt_news(news)
        return Done()

    async def _serve_sign(self, _: str, sign: LeavingSign) -> Done:
        if self.view.signs.merge((sign,)):
            self.view.notify_subscribers()
        return Done()

    async def _serve_pairs(self, _: str, news: NewPairs) -> Done:
        if self.view.adopt_pairs(news):
            self.view.notify_subscribers()
        return Done()

    def _apply_settings(self) -> None:
        names = frozenset(e.endpoint_id for e in self._fleet.fleet().endpoints)
        self.view.signs.retain(names)
        self.view.notify_subscribers()

    async def _lead_step(self) -> None:
        if not self._lease.held:
            return
        try:
            await self._lease.renew()
            if self._lease.held:
                await self._lead_controller.step()
            else:
                self._lead_controller.reset()
            self._last_step_failed = False
        except CodedError as error:
            if not self._last_step_failed:
                logger.warning("lead: {}", error.reason)
            self._last_step_failed = True

    @property
    def ready(self) -> bool:
        """Whether the newest table lists this process."""
        return self.view.is_current(self.vm.vm_id, self.vm.incarnation)

    def table(self) -> CellTable:
        """Return the newest table."""
        return self.view.table

    def live_members(self) -> tuple[Vm, ...]:
        """Return members that are neither leaving nor suspected."""
        return self.view.live_members()

    def endpoint(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint of the settings."""
        for endpoint in self._fleet.fleet().endpoints:
            if endpoint.endpoint_id == endpoint_id:
                return endpoint
        return None

    def endpoints_serving(self, name: str) -> tuple[Endpoint, ...]:
        """Return endpoints of a model or service that are not leaving."""
        return tuple(
            endpoint
            for endpoint in self._fleet.fleet().endpoints
            if endpoint.name == name and not self.is_leaving(endpoint.endpoint_id)
        )

    def is_leaving(self, endpoint_id: str) -> bool:
        """Whether any source has reported that the endpoint is leaving."""
        return self.view.signs.is_leaving(endpoint_id)

    def report_leaving(self, endpoint_id: str) -> None:
        """Record that an endpoint is leaving and notify all members at once."""
        self._report(endpoint_id, leaving=True)

    def report_returned(self, endpoint_id: str) -> None:
        """Record that an endpoint which was leaving accepts work again."""
        self._report(endpoint_id, leaving=False)

    def _report(self, endpoint_id: str, leaving: bool) -> None:
        sign = self.view.signs.set_leaving(endpoint_id, leaving)
        if sign is None:
            return
        logger.info("member: endpoint {} leaving: {}", endpoint_id, leaving)
        self.view.notify_subscribers()
        for vm in self.view.table.members:
            if vm.vm_id == self.vm.vm_id:
                continue
            task = asyncio.create_task(self._send_sign(vm.vm_id, sign))
            self._sign_tasks.add(task)
            task.add_done_callback(self._sign_tasks.discard)

    async def _send_sign(self, vm_id: str, sign: LeavingSign) -> None:
        # The next heartbeats carry the signs again if this message is lost.
        with suppress(CodedError):
            await self._peers.request(vm_id, sign, self.timings.request_timeout_s)

    def keepers_for(self, endpoint_id: str) -> tuple[str, ...]:
        """Return the assigned keeper, then substitutes for completions.

        An assigned keeper that is suspected or leaving comes last.
        """
        live = tuple(vm.vm_id for vm in self.live_members())
        order = list(rendezvous_order(endpoint_id, live))
        assigned, _ = self.view.keeper(endpoint_id)
        if not assigned:
            return tuple(order)
        if assigned not in order:
            return (*order, assigned)
        order.remove(assigned)
        return (assigned, *order)

    def fencing_number(self, endpoint_id: str) -> int | None:
        """Return this VM's fencing number, None if it is not the keeper."""
        keeper, number = self.view.keeper(endpoint_id)
        return number if self.ready and keeper == self.vm.vm_id else None

    def holds_keeper_lease(self, endpoint_id: str) -> bool:
        """Whether this VM may safely send unfenced orders now."""
        return self.fencing_number(endpoint_id) is not None and self.holds_lease()

    def holds_lease(self) -> bool:
        """Whether a trusted lead answered a heartbeat sent recently enough."""
        return self.keeper_lease_left_s() > 0

    def keeper_lease_left_s(self) -> float:
        """Return for how long this VM may still send unfenced orders."""
        until_s = lease_expires_s(
            self._trusted_heartbeat_sent_s, self.timings.lease_s, self.timings.margin_s
        )
        return max(0.0, until_s - self._timer.now_s())

    def pair(self, shard: int) -> ShardPair | None:
        """Return the newest known pair of a shard."""
        return self.view.pairs.get(shard)

    def is_lead(self) -> bool:
        """Whether this VM holds the lead's lease and still trusts it."""
        return self._lease.is_valid()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the table or pairs."""
        self.view.subscribe(callback)
