"""greengagetack.membership.lead: the work of a cell's lead."""

import asyncio
from dataclasses import replace

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.leases.lease import PlatformLease
from greengagetack.membership.lost_pairs import LostPairs
from greengagetack.membership.messages import (
    Heartbeat,
    HeartbeatAck,
    NewPairs,
    Pulse,
    PulseAck,
    vm_digest,
)
from greengagetack.membership.news import MemberStatus, NewsSender
from greengagetack.membership.plan import TableInputs, plan_pairs, plan_table
from greengagetack.membership.stored import (
    PairsObject,
    from_value,
    pairs_path,
    table_path,
    to_value,
)
from greengagetack.membership.table import CellTable, ShardPair
from greengagetack.membership.timings import CellTimings
from greengagetack.membership.view import CellView
from greengagetack.objects.base import ListedVm, ObjectStore
from greengagetack.peers.node import PeerNode
from greengagetack.settings.view import SettingsView
from greengagetack.timer import Timer
from greengagetack.world import Vm, VmState

__all__ = ["LeadController"]

# Writers send new pairs to the lead; reading them only repairs a lost message.
POLLS_PER_PAIRS_READ = 5.0
FORMER_LEAD_GRACE_HEARTBEATS = 1.5


class LeadController:
    """Answers heartbeats, writes the table and sends news to the members.

    The lead answers heartbeats until another VM has claimed its lease, even if
    it no longer trusts the lease. It writes objects and extends the keepers'
    leases only while it trusts its own.
    """

    def __init__(
        self,
        cell: str,
        lease: PlatformLease,
        view: CellView,
        peers: PeerNode,
        platform: ObjectStore,
        settings: SettingsView,
        timings: CellTimings,
        timer: Timer,
    ) -> None:
        self._cell = cell
        self._lease = lease
        self._view = view
        self._peers = peers
        self._platform = platform
        self._settings = settings
        self._timings = timings
        self._timer = timer
        self._members: dict[str, MemberStatus] = {}
        self._former_incarnations: set[tuple[str, str]] = set()
        self._vacated_s: dict[str, float] = {}
        self._listed_vms: dict[str, ListedVm] = {}
        self._leaving_vm_ids: set[str] = set()
        self._has_table = False
        self._lost_pairs = LostPairs(timings.observer_s)
        self._last_poll_s = 0.0
        self._last_pairs_read_s = 0.0
        self._settled_at_s = 0.0
        self._last_step_s = timer.now_s()
        self._sender = NewsSender(lease, view, peers, timings)
        self._step_lock = asyncio.Lock()

    async def take_over(self) -> None:
        """Read the cell's table and pairs before the first write as lead.

        The next write gives the table a new revision and this lead's epoch, so that
        the conditional writes of older leads fail.

        Raises
        ------
        CodedError
            If the platform does not answer; the next step retries.
        """
        self._has_table = False
        now_s = self._timer.now_s()
        self._last_step_s = now_s
        await self._read_table()
        former = self._view.table.lead_vm_id
        for vm in self._view.table.members:
            last_seen_s = (
                self._former_lead_seen_s(now_s) if vm.vm_id == former else now_s
            )
            self._members.setdefault(vm.vm_id, MemberStatus(vm, last_seen_s))
        # The former lead may have extended keepers' leases until its own ended.
        self._vacated_s = {
            endpoint.endpoint_id: now_s for endpoint in self._settings.fleet().endpoints
        }
        await self._read_pairs()
        self._has_table = True
        if not self._view.table.revision:
            # The first table waits until the cell's members have joined.
            self._settled_at_s = now_s + self._timings.settle_s

    def _former_lead_seen_s(self, now_s: float) -> float:
        """Return when the former lead last renewed its lease.

        The result leaves the former lead time for a heartbeat before it is dropped
        from the table, as it may only have lost its connection to the platform.
        """
        times = self._timings
        grace_s = FORMER_LEAD_GRACE_HEARTBEATS * times.heartbeat_s
        return max(
            self._lease.former_renewal_seen_s, now_s - times.observer_s + grace_s
        )

    async def _read_table(self) -> None:
        stored = await self._platform.read(table_path(self._cell))
        if stored is None:
            return
        table = from_value(CellTable, stored.value)
        if self._view.adopt_table(replace(table, revision=stored.version)):
            self._view.notify_subscribers()

    async def _read_pairs(self) -> None:
        stored = await self._platform.read(pairs_path(self._cell))
        if stored is None:
            return
        pairs = from_value(PairsObject, stored.value).pairs
        if self._view.adopt_pairs(NewPairs(stored.version, pairs)):
            self._view.notify_subscribers()

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatAck:
        """Record a heartbeat and return the news that the member lacks."""
        if not self._lease.held:
            return HeartbeatAck(trusted=False)
        identity = (heartbeat.vm.vm_id, heartbeat.vm.incarnation)
        if identity in self._former_incarnations:
            return HeartbeatAck(trusted=False)
        # Read before the heartbeat is recorded: the answer may extend the member's
        # lease only if this VM was the lead after the heartbeat had been sent.
        trusted = self._lease.is_valid()
        known = self._members.get(heartbeat.vm.vm_id)
        if known and known.vm.incarnation != heartbeat.vm.incarnation:
            logger.info("lead: {} has restarted", heartbeat.vm.vm_id)
            self._former_incarnations.add((known.vm.vm_id, known.vm.incarnation))
        if heartbeat.vm.vm_id != self._view.vm.vm_id:
            self._peers.set_address(heartbeat.vm.vm_id, heartbeat.vm.peer)
        self._members[heartbeat.vm.vm_id] = MemberStatus(
            heartbeat.vm,
            self._timer.now_s(),
            heartbeat.table_revision,
            heartbeat.pairs_version,
        )
        if self._view.signs.merge(heartbeat.signs):
            self._view.notify_subscribers()
            self.push_news()
        news = self._sender.news_for(
            heartbeat.table_revision, heartbeat.pairs_version, self._suspected()
        )
        return HeartbeatAck(trusted, news)

    def handle_pulse(self, vm_id: str, pulse: Pulse) -> PulseAck:
        """Record a short heartbeat if its digests match what the lead has."""
        member = self._members.get(vm_id)
        if member is None or not self._lease.held:
            return PulseAck(known=False)
        trusted = self._lease.is_valid()
        if (vm_digest(member.vm), *self._digests()) != (
            pulse.vm_digest,
            pulse.table_revision,
            pulse.pairs_version,
            pulse.news_digest,
        ):
            return PulseAck(known=False)
        member.last_seen_s = self._timer.now_s()
        return PulseAck(True, trusted, self._lease.version)

    def _digests(self) -> tuple[int, int, int]:
        view = self._view
        return (view.table.revision, view.pairs_version, view.news_digest())

    def _suspected(self) -> tuple[str, ...]:
        return self._silent_for(self._timings.suspect_s)

    def _silent_for(self, limit_s: float) -> tuple[str, ...]:
        now_s = self._timer.now_s()
        silent = [
            vm_id
            for vm_id, member in self._members.items()
            if now_s - member.last_seen_s >= limit_s
        ]
        return tuple(sorted(silent))

    async def step(self) -> None:
        """Run one step of the lead's work.

        Raises
        ------
        CodedError
            If the platform does not answer; the next step retries.
        """
        try:
            async with self._step_lock:
                if self._lease.is_valid():
                    await self._step_trusted()
        finally:
            if self._lease.held:
                self._push_changes()

    async def _step_trusted(self) -> None:
        if not self._has_table:
            await self.take_over()
        now_s = self._timer.now_s()
        self._allow_for_own_pause(now_s)
        if now_s - self._last_poll_s >= self._timings.poll_s:
            self._last_poll_s = now_s
            await self._poll()
        if (
            now_s - self._last_pairs_read_s
            >= POLLS_PER_PAIRS_READ * self._timings.poll_s
        ):
            self._last_pairs_read_s = now_s
            await self._read_pairs()
        if now_s < self._settled_at_s:
            return
        await self._write_table()
        await self._write_pairs()

    def _allow_for_own_pause(self, now_s: float) -> None:
        """Give members time for a heartbeat after this process was paused.

        A paused lead receives no heartbeats, so their absence doesn't show that
        a member has failed.
        """
        paused_s = now_s - self._last_step_s
        self._last_step_s = now_s
        times = self._timings
        if paused_s < times.suspect_s:
            return
        earliest_s = now_s - times.observer_s + times.suspect_s
        for member in self._members.values():
            member.last_seen_s = max(member.last_seen_s, earliest_s)

    async def _poll(self) -> None:
        listed = await self._platform.vms()
        self._listed_vms = {vm.vm_id: vm for vm in listed}
        leaving = {vm.vm_id for vm in listed if vm.state is VmState.LEAVING}
        for endpoint in self._settings.fleet().endpoints:
            if not endpoint.vm_id:
                continue
            if endpoint.vm_id in leaving:
                self._view.signs.set_leaving(endpoint.endpoint_id, True)
                continue
            if endpoint.vm_id in self._leaving_vm_ids:
                self._view.signs.set_leaving(endpoint.endpoint_id, False)
        self._leaving_vm_ids = leaving

    async def _write_table(self) -> None:
        self._drop_silent_members()
        before = self._view.table
        revision = before.revision + 1
        plan = plan_table(
            before,
            self._table_inputs(revision),
        )
        if plan.table == before or not self._lease.is_valid():
            return
        try:
            version = await self._platform.write(
                table_path(self._cell), to_value(plan.table), before.revision
            )
        except CodedError:
            # The write may have been applied: read the stored table before the next.
            self._has_table = False
            raise
        now_s = self._timer.now_s()
        for endpoint_id in plan.vacated_endpoint_ids:
            self._vacated_s[endpoint_id] = now_s
        table = replace(plan.table, revision=version)
        self._sender.record_table_change(before, table)
        self._view.adopt_table(table)
        self._view.notify_subscribers()

    def _table_inputs(self, revision: int) -> TableInputs:
        now_s = self._timer.now_s()
        waiting = frozenset(
            endpoint_id
            for endpoint_id, since_s in self._vacated_s.items()
            if now_s - since_s < self._timings.observer_s
        )
        return TableInputs(
            cell=self._cell,
            revision=revision,
            lead_vm_id=self._view.vm.vm_id,
            lead_epoch=self._lease.epoch,
            members=tuple(
                self._with_listed_state(self._members[vm_id].vm)
                for vm_id in sorted(self._members)
            ),
            endpoints=self._settings.fleet().endpoints
            if self._settings.ready
            else None,
            leaving_endpoint_ids=self._view.signs.leaving_ids(),
            waiting_endpoint_ids=waiting,
        )

    def _with_listed_state(self, vm: Vm) -> Vm:
        """Return the member with the state that the VM list shows, if it isn't live."""
        listed = self._listed_vms.get(vm.vm_id)
        if listed is None or listed.state is VmState.LIVE:
            return vm
        return replace(vm, state=listed.state)

    def _drop_silent_members(self) -> None:
        for vm_id in self._silent_for(self._timings.observer_s):
            del self._members[vm_id]
            logger.warning(
                "lead: no heartbeat from {}, it is removed from the table", vm_id
            )

    async def _write_pairs(self) -> None:
        if not self._settings.ready:
            return
        known = self._view.pairs
        new = plan_pairs(
            known, self._view.table.members, self._settings.fleet().shard_count
        )
        lost: tuple[ShardPair, ...] = ()
        if self._view.vm.vm_id in self._listed_vms:
            # A list without this VM is incomplete and proves nothing about others.
            lost = self._lost_pairs.replacements(
                known,
                self._view.table,
                frozenset(self._listed_vms),
                self._timer.now_s(),
            )
        if not (new or lost) or not self._lease.is_valid():
            return
        stored = {**known, **{pair.shard: pair for pair in (*new, *lost)}}
        for pair in lost:
            logger.warning(
                "lead: owner and backup of shard {} are both gone, reassigning it",
                pair.shard,
            )
        pairs = tuple(stored.values())
        version = await self._platform.write(
            pairs_path(self._cell),
            to_value(PairsObject(pairs)),
            self._view.pairs_version,
        )
        self._view.adopt_pairs(NewPairs(version, pairs))
        self._view.notify_subscribers()

    def _push_changes(self) -> None:
        suspected = self._suspected()
        if not self._sender.detect_changes(suspected):
            return
        own = self._sender.news_for(
            self._view.table.revision, self._view.pairs_version, suspected
        )
        if self._view.adopt_news(own):
            self._view.notify_subscribers()
        self.push_news()

    def push_news(self) -> None:
        """Send each member the news that it lacks, without waiting for answers."""
        self._sender.push(self._members.values(), self._suspected())

    def reset(self) -> None:
        """Drop the lead's state once another VM leads."""
        self._members.clear()
        self._listed_vms = {}
        self._last_poll_s = 0.0
        self._last_pairs_read_s = 0.0
        self._lost_pairs.reset()
        self._has_table = False
        self._sender.reset()

    def close(self) -> None:
        """Stop sending news to members."""
        self._sender.close()
