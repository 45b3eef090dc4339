"""greengagetack.accounting.sender: sends this daemon's totals to the duty's holder."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from greengagetack.accounting.collection import (
    MAX_DIRECT_DAEMONS,
    EntryKey,
    UsageTable,
    collector_of,
    next_send_s,
    send_interval_s,
)
from greengagetack.accounting.windows import (
    KEPT_WINDOWS,
    UsageBundle,
    UsageCounter,
    WindowCounts,
)
from greengagetack.coordination.duty_board import DutyHolder
from greengagetack.coordination.messages import Member
from greengagetack.errors import CodedError
from greengagetack.observability.metrics import Metrics
from greengagetack.world import Address

__all__ = ["UsagePeers", "UsageSender"]

# Spreads the messages of daemons that would be sent at the same time.
MAX_SPREAD_S = 0.15
RETRY_PAUSE_S = 0.5
# Totals of other daemons are sent on together after this time.
RELAY_DELAY_S = 0.2
# Daemons that are tried when the holder cannot be reached directly, and that get the
# totals of a holder that stops.
MAX_RELAYS = 2


class UsagePeers(Protocol):
    """Calls to other daemons."""

    async def send_usage(self, address: Address, bundle: UsageBundle) -> None:
        """Send totals to a daemon."""


def _key_of(entry: WindowCounts) -> EntryKey:
    return entry.node, entry.incarnation, entry.window


class UsageSender:
    """Sends changed totals to the holder, also those received from other daemons.

    Parameters
    ----------
    holder : callable
        Returns the known holder of the duty, or the daemon about to acquire it.
    members : callable
        Returns the listed daemons by VM.
    successors : callable
        Returns the daemons that rank next for the duty.
    """

    def __init__(
        self,
        node: str,
        counter: UsageCounter,
        table: UsageTable,
        holder: Callable[[], DutyHolder | None],
        members: Callable[[], dict[str, Member]],
        successors: Callable[[], list[Member]],
        peers: UsagePeers,
        metrics: Metrics,
    ) -> None:
        self._node = node
        self._counter = counter
        self._table = table
        self._holder = holder
        self._members = members
        self._successors = successors
        self._peers = peers
        self._metrics = metrics
        self._rng = random.Random()
        self._due = asyncio.Event()
        self._known_holder: DutyHolder | None = None
        self._sent_revisions: dict[EntryKey, int] = {}
        # Entries of other daemons that this one is to send on.
        self._relayed: set[EntryKey] = set()
        self._is_relay_due = False
        self._is_leaving = False
        # VM and incarnation of daemons that have sent their last totals.
        self._left: set[tuple[str, str]] = set()

    def receive(self, bundle: UsageBundle) -> None:
        """Merge totals of other daemons; send them on unless this is the holder."""
        first = self._counter.current_window() - KEPT_WINDOWS
        is_new = False
        for entry in bundle.entries:
            if entry.window <= first or not self._table.merge(entry):
                continue
            is_new = True
            if entry.is_closed and entry.window >= first + KEPT_WINDOWS:
                self._left.add((entry.node, entry.incarnation))
            if self._is_leaving or not self._is_holder():
                self._relayed.add(_key_of(entry))
        if is_new and self._relayed and not self._is_relay_due:
            self._is_relay_due = True
            asyncio.get_running_loop().call_later(RELAY_DELAY_S, self._due.set)

    def _is_holder(self) -> bool:
        holder = self._holder()
        return holder is not None and holder.node == self._node

    def on_holder_change(self) -> None:
        """Send everything to a holder that is new."""
        self._due.set()

    def next_send_s(self) -> float:
        """Return when totals are to be sent next, in true time."""
        interval_s = send_interval_s(len(self._members()))
        now_s = self._counter.now_s()
        return next_send_s(now_s, self._counter.window_s, interval_s)

    async def run(self) -> None:
        """Send totals until cancelled."""
        pause_s = 0.0
        while True:
            now_s = self._counter.now_s()
            due_s = self.next_send_s() + MAX_SPREAD_S * self._rng.random()
            try:
                async with asyncio.timeout(pause_s or due_s - now_s):
                    await self._due.wait()
            except TimeoutError:
                pass
            self._due.clear()
            self._is_relay_due = False
            pause_s = 0.0 if await self.send() else RETRY_PAUSE_S

    def update(self, is_final: bool = False) -> None:
        """Merge this daemon's own totals, and forget what is no longer needed."""
        for entry in self._counter.totals(is_final):
            self._table.merge(entry)
        self._table.prune(self._counter.current_window() - KEPT_WINDOWS)

    async def send(self, is_final: bool = False) -> bool:
        """Send what has changed; return whether that succeeded.

        The holder sends its own totals to its next successor, which otherwise would not
        know them if the holder fails.
        """
        self.update(is_final)
        holder = self._holder()
        self._note_holder(holder)
        if holder is None and not self._is_leaving:
            return True
        entries = self._changed_entries(holder)
        # Without anything new, an empty message still shows a collector's failure.
        if not entries and self._collector(holder) is None:
            return True
        for address in self._targets(holder):
            if await self._send_to(address, entries):
                return True
            # A daemon that collects may have failed with what it has not sent on.
            self._sent_revisions.clear()
            entries = self._changed_entries(holder)
        return False

    def _note_holder(self, holder: DutyHolder | None) -> None:
        """Forget what was sent to a holder that is no longer the same process."""
        known, self._known_holder = self._known_holder, holder
        if known is not None and holder is not None and known.node == holder.node:
            is_acquired = known.fence == 0
            if is_acquired or known.fence == holder.fence:
                return
        self._sent_revisions.clear()

    def _changed_entries(self, holder: DutyHolder | None) -> tuple[WindowCounts, ...]:
        self._relayed = {key for key in self._relayed if self._table.get(key)}
        # What a holder has sent to its successor is not for the holder itself.
        skipped = "" if holder is None or holder.node == self._node else holder.node
        is_large = len(self._members()) > MAX_DIRECT_DAEMONS
        changed = []
        for window in self._table.windows():
            for entry in self._table.entries(window):
                key = _key_of(entry)
                if entry.node != self._node and key not in self._relayed:
                    continue
                # Of many daemons, one that fails takes little with it.
                is_early = is_large and not entry.is_closed
                if entry.node == skipped or is_early:
                    continue
                if entry.revision > self._sent_revisions.get(key, 0):
                    changed.append(entry)
        return tuple(changed)

    def _targets(self, holder: DutyHolder | None) -> list[Address]:
        """Return where to send totals, in the order in which it is tried."""
        if holder is None or holder.node == self._node:
            controls = [member.control for member in self._successors()[:MAX_RELAYS]]
            return [Address.parse(control) for control in controls]
        members = self._members()
        relays = [
            member.control
            for member in members.values()
            if member.node not in (self._node, holder.node)
        ]
        sampled = self._rng.sample(relays, min(MAX_RELAYS, len(relays)))
        controls = [holder.control, *sampled]
        collector = self._collector(holder)
        if collector is not None:
            controls.insert(0, collector.control)
        return [Address.parse(control) for control in controls]

    def _collector(self, holder: DutyHolder | None) -> Member | None:
        """Return the daemon that collects for this one, None without one."""
        members = self._members()
        collector = members.get(collector_of(self._node, members))
        if holder is None or collector is None:
            return None
        return None if holder.node in (self._node, collector.node) else collector

    async def _send_to(
        self, address: Address, entries: tuple[WindowCounts, ...]
    ) -> bool:
        try:
            await self._peers.send_usage(address, UsageBundle(entries))
        except CodedError as error:
            logger.info(
                "usage: totals not sent to {}", address, reason=error.reason[:200]
            )
            self._metrics.add("usage_messages", result="failed")
            return False
        self._metrics.add("usage_messages", result="sent")
        kept = {
            key: revision
            for key, revision in self._sent_revisions.items()
            if self._table.get(key)
        }
        kept.update((_key_of(entry), entry.revision) for entry in entries)
        self._sent_revisions = kept
        return True

    def hand_over(self) -> None:
        """Send what was collected to the next daemons, as the duty is given up.

        The others send their totals again, but those that have failed or stopped
        cannot, and one that has failed just now is not yet known to have.
        """
        is_small = len(self._members()) <= MAX_DIRECT_DAEMONS
        for window in self._table.windows():
            self._relayed.update(
                _key_of(entry)
                for entry in self._table.entries(window)
                if is_small or self._is_gone(entry)
            )
        self._due.set()

    def leave(self) -> None:
        """Go on sending totals to the next daemons, as this one is about to stop."""
        self._is_leaving = True
        self.hand_over()

    def _is_gone(self, entry: WindowCounts) -> bool:
        member = self._members().get(entry.node)
        is_listed = member is not None and member.incarnation == entry.incarnation
        has_left = (entry.node, entry.incarnation) in self._left
        return not is_listed or has_left or self._table.is_silent(entry.node)

    async def flush(self) -> None:
        """Send the last totals of a daemon that stops."""
        await self.send(is_final=True)
