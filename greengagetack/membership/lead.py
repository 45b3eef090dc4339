"""greengagetack.membership.lead: the duties of a cell's lead."""

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
from greengagetack.membership.news import HeardMember, NewsSender
from greengagetack.membership.plan import TablePlan, plan_pairs, plan_table
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

__all__ = ["LeadDuty"]

# Writers tell the lead of new pairs; reading them only repairs a lost notice.
PAIRS_POLLS = 5.0
FORMER_LEAD_HEARTBEATS = 1.5


class LeadDuty:
    """Hears heartbeats, writes the table and tells the members.

    It answers heartbeats as long as its lease is not taken by another, trusted
    or not; it writes and extends keepers' leases only while it trusts it.
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
        self._members: dict[str, HeardMember] = {}
        self._retired: set[tuple[str, str]] = set()
        self._vacated_s: dict[str, float] = {}
        self._listed: dict[str, ListedVm] = {}
        self._listed_leaving: set[str] = set()
        self._has_table = False
        self._lost = LostPairs(timings.observer_s)
        self._polled_s = 0.0
        self._pairs_polled_s = 0.0
        self._settled_s = 0.0
        self._stepped_s = timer.now_s()
        self._sender = NewsSender(lease, view, peers, timings)
        self._stepping = asyncio.Lock()

    async def take_over(self) -> None:
        """Read the cell's objects and bump the table, so that older leads fail.

        Raises
        ------
        CodedError
            If the platform does not answer; it is tried again at the next step.
        """
        self._has_table = False
        now_s = self._timer.now_s()
        self._stepped_s = now_s
        await self._read_table()
        former = self._view.table.lead_vm_id
        for vm in self._view.table.members:
            heard_s = self._former_heard_s(now_s) if vm.vm_id == former else now_s
            self._members.setdefault(vm.vm_id, HeardMember(vm, heard_s))
        # The former lead may have extended leases until its own one ended.
        self._vacated_s = {
            endpoint.endpoint_id: now_s for endpoint in self._settings.fleet().endpoints
        }
        await self._read_pairs()
        self._has_table = True
        if not self._view.table.revision:
            # The first table of a cell is written once its members are there.
            self._settled_s = now_s + self._timings.settle_s

    def _former_heard_s(self, now_s: float) -> float:
        """Return when the former lead was last heard of, by its renewals.

        It keeps the time for one heartbeat, as it may only have lost the platform.
        """
        times = self._timings
        grace_s = FORMER_LEAD_HEARTBEATS * times.heartbeat_s
        return max(
            self._lease.former_renewal_seen_s, now_s - times.observer_s + grace_s
        )

    async def _read_table(self) -> None:
        stored = await self._platform.read(table_path(self._cell))
        if stored is None:
            return
        table = from_value(CellTable, stored.value)
        if self._view.adopt_table(replace(table, revision=stored.version)):
            self._view.changed()

    async def _read_pairs(self) -> None:
        stored = await self._platform.read(pairs_path(self._cell))
        if stored is None:
            return
        pairs = from_value(PairsObject, stored.value).pairs
        if self._view.adopt_pairs(NewPairs(stored.version, pairs)):
            self._view.changed()

    def hear(self, beat: Heartbeat) -> HeartbeatAck:
        """Take a heartbeat and answer with what the member lacks."""
        if not self._lease.held:
            return HeartbeatAck(trusted=False)
        identity = (beat.vm.vm_id, beat.vm.incarnation)
        if identity in self._retired:
            return HeartbeatAck(trusted=False)
        # Taken before hearing: the answer extends the member's lease only if
        # this VM was the lead when the heartbeat had already been sent.
        trusted = self._lease.is_valid()
        known = self._members.get(beat.vm.vm_id)
        if known and known.vm.incarnation != beat.vm.incarnation:
            logger.info("lead: {} has restarted", beat.vm.vm_id)
            self._retired.add((known.vm.vm_id, known.vm.incarnation))
        if beat.vm.vm_id != self._view.vm.vm_id:
            self._peers.set_address(beat.vm.vm_id, beat.vm.peer)
        self._members[beat.vm.vm_id] = HeardMember(
            beat.vm, self._timer.now_s(), beat.table_revision, beat.pairs_version
        )
        if self._view.signs.merge(beat.signs):
            self._view.changed()
            self.push()
        news = self._sender.news_for(
            beat.table_revision, beat.pairs_version, self._suspected()
        )
        return HeartbeatAck(trusted, news)

    def hear_pulse(self, vm_id: str, pulse: Pulse) -> PulseAck:
        """Take a short heartbeat if all that it stands for is known and equal."""
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
        member.heard_s = self._timer.now_s()
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
            if now_s - member.heard_s >= limit_s
        ]
        return tuple(sorted(silent))

    async def step(self) -> None:
        """Do one round of the lead's work.

        Raises
        ------
        CodedError
            If the platform does not answer; the next round tries again.
        """
        try:
            async with self._stepping:
                if self._lease.is_valid():
                    await self._step_trusted()
        finally:
            if self._lease.held:
                self._tell_changes()

    async def _step_trusted(self) -> None:
        if not self._has_table:
            await self.take_over()
        now_s = self._timer.now_s()
        self._allow_for_own_pause(now_s)
        if now_s - self._polled_s >= self._timings.poll_s:
            self._polled_s = now_s
            await self._poll()
        if now_s - self._pairs_polled_s >= PAIRS_POLLS * self._timings.poll_s:
            self._pairs_polled_s = now_s
            await self._read_pairs()
        if now_s < self._settled_s:
            return
        await self._write_table()
        await self._write_pairs()

    def _allow_for_own_pause(self, now_s: float) -> None:
        """Give members time to be heard after this process itself stood still.

        A paused lead has heard nobody; that says nothing about the others.
        """
        paused_s = now_s - self._stepped_s
        self._stepped_s = now_s
        times = self._timings
        if paused_s < times.suspect_s:
            return
        earliest_s = now_s - times.observer_s + times.suspect_s
        for member in self._members.values():
            member.heard_s = max(member.heard_s, earliest_s)

    async def _poll(self) -> None:
        listed = await self._platform.vms()
        self._listed = {vm.vm_id: vm for vm in listed}
        leaving = {vm.vm_id for vm in listed if vm.state is VmState.LEAVING}
        for endpoint in self._settings.fleet().endpoints:
            if not endpoint.vm_id:
                continue
            if endpoint.vm_id in leaving:
                self._view.signs.set(endpoint.endpoint_id, True)
                continue
            if endpoint.vm_id in self._listed_leaving:
                self._view.signs.set(endpoint.endpoint_id, False)
        self._listed_leaving = leaving

    async def _write_table(self) -> None:
        self._drop_silent_members()
        before = self._view.table
        revision = before.revision + 1
        plan = plan_table(
            before,
            self._plan_input(revision),
        )
        if plan.table == before or not self._lease.is_valid():
            return
        try:
            version = await self._platform.write(
                table_path(self._cell), to_value(plan.table), before.revision
            )
        except CodedError:
            # The write may be in force: go on only from what the platform has.
            self._has_table = False
            raise
        now_s = self._timer.now_s()
        for endpoint_id in plan.vacated_endpoint_ids:
            self._vacated_s[endpoint_id] = now_s
        table = replace(plan.table, revision=version)
        self._sender.note_table(before, table)
        self._view.adopt_table(table)
        self._view.changed()

    def _plan_input(self, revision: int) -> TablePlan:
        now_s = self._timer.now_s()
        waiting = frozenset(
            endpoint_id
            for endpoint_id, since_s in self._vacated_s.items()
            if now_s - since_s < self._timings.observer_s
        )
        return TablePlan(
            cell=self._cell,
            revision=revision,
            lead_vm_id=self._view.vm.vm_id,
            lead_epoch=self._lease.epoch,
            members=tuple(
                self._as_listed(self._members[vm_id].vm)
                for vm_id in sorted(self._members)
            ),
            endpoints=self._settings.fleet().endpoints
            if self._settings.ready
            else None,
            leaving_endpoint_ids=self._view.signs.leaving_ids(),
            waiting_endpoint_ids=waiting,
        )

    def _as_listed(self, vm: Vm) -> Vm:
        """Return the member, as leaving if the VM list says so."""
        listed = self._listed.get(vm.vm_id)
        if listed is None or listed.state is VmState.LIVE:
            return vm
        return replace(vm, state=listed.state)

    def _drop_silent_members(self) -> None:
        for vm_id in self._silent_for(self._timings.observer_s):
            del self._members[vm_id]
            logger.warning("lead: {} is silent and leaves the table", vm_id)

    async def _write_pairs(self) -> None:
        if not self._settings.ready:
            return
        known = self._view.pairs
        new = plan_pairs(
            known, self._view.table.members, self._settings.fleet().shard_count
        )
        lost: tuple[ShardPair, ...] = ()
        if self._view.vm.vm_id in self._listed:
            # A list without this VM says nothing about the others either.
            lost = self._lost.replacements(
                known, self._view.table, frozenset(self._listed), self._timer.now_s()
            )
        if not (new or lost) or not self._lease.is_valid():
            return
        stored = {**known, **{pair.shard: pair for pair in (*new, *lost)}}
        for pair in lost:
            logger.warning("lead: both of shard {} are gone, it moves", pair.shard)
        pairs = tuple(stored.values())
        version = await self._platform.write(
            pairs_path(self._cell),
            to_value(PairsObject(pairs)),
            self._view.pairs_version,
        )
        self._view.adopt_pairs(NewPairs(version, pairs))
        self._view.changed()

    def _tell_changes(self) -> None:
        suspected = self._suspected()
        if not self._sender.changed(suspected):
            return
        own = self._sender.news_for(
            self._view.table.revision, self._view.pairs_version, suspected
        )
        if self._view.adopt_news(own):
            self._view.changed()
        self.push()

    def push(self) -> None:
        """Send the newest news to all members at once."""
        self._sender.push(self._members.values(), self._suspected())

    def forget(self) -> None:
        """Drop all that only a lead knows, once another VM leads."""
        self._members.clear()
        self._listed = {}
        self._polled_s = 0.0
        self._pairs_polled_s = 0.0
        self._lost.clear()
        self._has_table = False
        self._sender.forget()

    def close(self) -> None:
        """Stop telling members."""
        self._sender.close()
