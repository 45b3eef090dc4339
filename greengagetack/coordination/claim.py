"""greengagetack.coordination.claim: the claim that makes a daemon the dispatcher.

Two daemons may run the jobs at the same time for a while: the ledger keeps the results
correct, and only work is wasted. So the claim needs no lease and is taken over early.
"""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable

import msgspec
from loguru import logger

from greengagetack.accounting.clock import FleetClock
from greengagetack.coordination.client import PeerClient
from greengagetack.coordination.messages import Member, Pong
from greengagetack.coordination.roster import Roster
from greengagetack.errors import CodedError, PeerUnreachable
from greengagetack.facts import FactCursor
from greengagetack.freezes import boottime_s
from greengagetack.objects.base import ObjectConflict, PlatformObject, WatchedStore
from greengagetack.objects.feed import Feed
from greengagetack.world import Address

__all__ = ["CLAIM_PATH", "DispatcherClaim", "takeover_delay_s"]

CLAIM_PATH = "dispatch/main"
PING_INTERVAL_S = 0.25
# Daemons from this rank on ping the claim holder less often.
FIRST_LOW_RANK = 2
LOW_RANK_PING_INTERVAL_S = 1.0
# Long enough that pings lost in a short stall do not cause a takeover.
TAKEOVER_SILENCE_S = 0.75
# Additional takeover delay per rank, while the claim is held and while it is vacant.
RANK_DELAY_S = 0.4
# Additional delay of a daemon that does not reach the replicas of the jobs.
PATHLESS_DELAY_S = 4.0
VACANT_RANK_DELAY_S = 0.15
# Delay of the first claim: when all daemons start at once, the member list is complete
# only after a while.
FIRST_CLAIM_DELAY_S = 0.6
VACANT_NODE = ""


def takeover_delay_s(rank: int, is_vacant: bool, is_first: bool = False) -> float:
    """Return how long the claim holder must be silent before a takeover.

    Each rank waits longer than the one before it, so that the claim is also taken over
    if the dispatcher fails together with the daemons that rank next.
    """
    if is_vacant:
        return FIRST_CLAIM_DELAY_S * is_first + VACANT_RANK_DELAY_S * rank
    return TAKEOVER_SILENCE_S + RANK_DELAY_S * rank


class DispatcherClaim:
    """Monitors the claim holder and takes the claim over when it has failed."""

    def __init__(
        self,
        local_member: Member,
        store: WatchedStore,
        feed: Feed,
        roster: Roster,
        on_change: Callable[[], None],
        on_pong: Callable[[Pong], None],
        known_facts: Callable[[], FactCursor],
        reaches_work: Callable[[], Awaitable[bool]],
    ) -> None:
        self._local_member = local_member
        self._store = store
        self._feed = feed
        self._roster = roster
        self._on_change = on_change
        self._on_pong = on_pong
        self._known_facts = known_facts
        self._reaches_work = reaches_work
        self._last_contact_s = time.monotonic()
        self.is_leaving = False
        # Estimates true time from the pings, if this deployment needs it.
        self.clock: FleetClock | None = None
        feed.subscribe(self._on_claim_change)

    @property
    def holder(self) -> Member | None:
        """The claim holder, None if the claim is vacant."""
        member = self._stored_claim()
        return None if member is None or member.node == VACANT_NODE else member

    def _stored_claim(self) -> Member | None:
        stored = self._feed.objects.get(CLAIM_PATH)
        if stored is None:
            return None
        try:
            return msgspec.convert(stored.value, Member)
        except msgspec.ValidationError as error:
            logger.warning("claim: the stored claim cannot be decoded: {}", error)
            return None

    def holder_address(self) -> Address | None:
        """Return the control address of the claim holder, None if there is none."""
        holder = self.holder
        return None if holder is None else Address.parse(holder.control)

    @property
    def is_held_locally(self) -> bool:
        """Whether this incarnation holds the claim."""
        holder = self.holder
        return (
            holder is not None and holder.incarnation == self._local_member.incarnation
        )

    @property
    def is_acting(self) -> bool:
        """Whether this daemon holds the claim and is not about to release it."""
        return self.is_held_locally and not self.is_leaving

    @property
    def names_local_as_former(self) -> bool:
        """Whether the claim holder fetches progress from this daemon."""
        holder = self.holder
        return holder is not None and holder.former == self._local_member.control

    def _on_claim_change(
        self, changed: tuple[PlatformObject, ...], gone: tuple[str, ...]
    ) -> None:
        self._last_contact_s = time.monotonic()
        self._on_change()

    async def run(self, peers: PeerClient) -> None:
        """Ping the claim holder until cancelled."""
        while True:
            await asyncio.sleep(self._ping_interval_s())
            if not self._feed.is_synced or self.is_held_locally or self.is_leaving:
                continue
            await self._check_holder(peers)

    def _ping_interval_s(self) -> float:
        holder = self.holder
        rank = self._rank(holder)
        is_silent = self.silent_s > LOW_RANK_PING_INTERVAL_S
        is_low_rank = rank >= FIRST_LOW_RANK and holder is not None and not is_silent
        return LOW_RANK_PING_INTERVAL_S if is_low_rank else PING_INTERVAL_S

    def _rank(self, holder: Member | None) -> int:
        if holder is None:
            return self._roster.rank("", "")
        return self._roster.rank(holder.incarnation, holder.node)

    @property
    def silent_s(self) -> float:
        """Seconds since the last contact with the claim holder."""
        return time.monotonic() - self._last_contact_s

    def record_contact(self) -> None:
        """Record a response that shows that the claim holder is alive and acting."""
        self._last_contact_s = time.monotonic()

    async def _check_holder(self, peers: PeerClient) -> None:
        holder = self.holder
        rank = self._rank(holder)
        is_former_incarnation = (
            holder is not None and holder.node == self._local_member.node
        )
        if holder is not None and not is_former_incarnation:
            address = self.holder_address()
            assert address is not None
            sent_s = boottime_s()
            try:
                pong = await self._ping(peers, address, holder)
                if pong.is_dispatcher and pong.node == holder.node:
                    self._last_contact_s = time.monotonic()
                    # A holder that acts has not been replaced.
                    self._feed.confirm(sent_s)
                    self._on_pong(pong)
                    return
            except (PeerUnreachable, msgspec.DecodeError) as error:
                logger.debug("claim: no ping response from {}: {}", holder.node, error)
        silent_s = self.silent_s
        is_first = not self._feed.objects
        delay_s = takeover_delay_s(rank, holder is None, is_first)
        if not is_former_incarnation and silent_s < delay_s:
            return
        if not await self._reaches_work() and silent_s < delay_s + PATHLESS_DELAY_S:
            logger.info("claim: not taken over, as some replicas are not reached")
            return
        await self._take_over(holder, silent_s)

    async def _ping(self, peers: PeerClient, address: Address, holder: Member) -> Pong:
        if self.clock is None:
            return await peers.ping(address, self._known_facts())
        offset_ms = self.clock.offset_ms(holder.incarnation)
        sent_s = self.clock.steady_s()
        pong = await peers.ping(address, self._known_facts(), offset_ms)
        if pong.is_dispatcher and pong.fleet_time_s:
            self.clock.learn(pong.incarnation, pong.clock_s, pong.fleet_time_s, sent_s)
        return pong

    async def _take_over(self, former: Member | None, silent_s: float) -> None:
        stored = self._feed.objects.get(CLAIM_PATH)
        version = 0 if stored is None else stored.version
        logger.info(
            "claim: taking over",
            former=former.node if former else VACANT_NODE,
            silent_ms=int(silent_s * 1000),
            version=version,
        )
        claim = dataclasses.replace(self._local_member, former=self._former_control())
        try:
            await self._store.write(CLAIM_PATH, msgspec.to_builtins(claim), version)
            # The copy may come from a daemon that does not see the new claim soon.
            self._feed.refresh()
        except ObjectConflict:
            logger.info("claim: another daemon took the claim first")
            # The watch may have stalled and would report the new claim only when its
            # wait ends.
            self._feed.refresh()
        except CodedError as error:
            logger.warning("claim: takeover failed: {}", error.reason)
        self._last_contact_s = time.monotonic()

    def _former_control(self) -> str:
        """Return the address of a daemon that may still have running items.

        A holder that was only silent is asked to hand over, like one that has released
        the claim.
        """
        stored = self._stored_claim()
        if stored is None:
            return ""
        if stored.node == VACANT_NODE:
            return stored.former
        return "" if stored.node == self._local_member.node else stored.control

    async def hand_over(self, successor: Member) -> bool:
        """Pass the claim to another daemon, as this one cannot use it."""
        return await self._pass_to(successor)

    async def release(self, successor: Member | None) -> None:
        """Pass the claim to a successor, or vacate it without one."""
        self.is_leaving = True
        await self._pass_to(successor or Member(VACANT_NODE, "", "", ""))

    async def _pass_to(self, new_holder: Member) -> bool:
        stored = self._feed.objects.get(CLAIM_PATH)
        if not self.is_held_locally or stored is None:
            return False
        claim = dataclasses.replace(new_holder, former=self._local_member.control)
        try:
            await self._store.write(
                CLAIM_PATH, msgspec.to_builtins(claim), stored.version
            )
        except CodedError as error:
            logger.warning("claim: release failed: {}", error.reason)
            return False
        logger.info("claim: released", successor=new_holder.node)
        return True
