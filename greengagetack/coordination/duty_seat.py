"""greengagetack.coordination.duty_seat: who holds a duty, and when it is given up."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import Protocol

import xxhash
from loguru import logger

from greengagetack.coordination.duty_api import DutyApi, DutyEnd, DutyTerms
from greengagetack.coordination.duty_board import DutyBoard, DutyHeartbeat
from greengagetack.coordination.duty_contact import (
    HEARTBEAT_INTERVAL_S,
    INFORMED_SUCCESSORS,
    ApiContact,
    DutyHeartbeats,
    DutyPeers,
)
from greengagetack.coordination.duty_lease import DutyLease
from greengagetack.coordination.messages import Member
from greengagetack.observability.metrics import Metrics

__all__ = ["DutyClaim", "DutyMembers", "DutySeat", "duty_rank", "ranked"]

TICK_INTERVAL_S = 0.1
RANK_DELAY_S = 0.7
FIRST_START_DELAY_S = 2.0
# By then, a holder that is alive has informed its successors.
OBSERVATION_S = 1.5
# Longer than two heartbeats.
HEARD_S = 2.5
# VMs with less than this share of the cores of the largest one take a duty last.
SMALL_VM_SHARE = 0.5
# A holder that no dispatcher answers for this long gives the duty up.
UNANSWERED_LIMIT_S = 4.0
# A daemon that cannot reach the store lets another one acquire the lease.
STORE_SILENCE_S = 2.5
FIRST_PAUSE_S = 5.0
MAX_PAUSE_S = 60.0
# A pause doubles if the former one began less than this long ago.
RECURRENCE_S = 120.0
# Longer than the time-out of a call.
IDLE_LIMIT_S = 2.0

SMALL_GROUP = 3
DISPATCHER_GROUP = 2
OTHER_HOLDER_GROUP = 1


class DutyMembers(Protocol):
    """The listed daemons."""

    def members(self) -> dict[str, Member]:
        """Return the listed daemons by VM."""


class DutyClaim(Protocol):
    """The claim of the dispatcher."""

    @property
    def holder(self) -> Member | None:
        """The claim holder, None if the claim is vacant."""

    @property
    def is_acting(self) -> bool:
        """Whether this daemon holds the claim."""


def ranked(
    duty: str, members: Iterable[Member], dispatcher: str, others: Collection[str]
) -> list[Member]:
    """Return the daemons in the order in which they take a duty.

    Parameters
    ----------
    dispatcher : str
        The VM of the dispatcher, which has other work.
    others : collection of str
        The VMs that hold another duty.
    """
    listed = list(members)
    largest = max((member.cores for member in listed), default=0.0)

    def sort_key(member: Member) -> tuple[int, float, int]:
        group = 0
        if member.node in others:
            group = OTHER_HOLDER_GROUP
        if member.node == dispatcher:
            group = DISPATCHER_GROUP
        if member.cores < SMALL_VM_SHARE * largest:
            group = SMALL_GROUP
        tie = xxhash.xxh64_intdigest(f"{duty}/{member.node}".encode())
        return group, -member.cores, tie

    return sorted(listed, key=sort_key)


def duty_rank(node: str, order: list[Member]) -> int | None:
    """Return a daemon's rank in an order, None if it is not listed."""
    return next((n for n, member in enumerate(order) if member.node == node), None)


class DutySeat:
    """Acquires a duty's lease when this daemon is next, and gives it up.

    `DutySeat.call` is the only way to a call under the lease.
    """

    def __init__(
        self,
        duty: str,
        local_member: Member,
        lease: DutyLease,
        board: DutyBoard,
        members: DutyMembers,
        claim: DutyClaim,
        peers: DutyPeers,
        api: DutyApi,
        metrics: Metrics,
    ) -> None:
        self.duty = duty
        self._local_member = local_member
        self._lease = lease
        self._board = board
        self._members = members
        self._claim = claim
        self._heartbeats = DutyHeartbeats(
            duty,
            local_member,
            lease,
            board,
            lambda: claim.is_acting,
            peers,
            self._ranked,
        )
        self._contact = ApiContact(duty, api, peers, self.successors)
        self._metrics = metrics
        self._lock = asyncio.Lock()
        self._started_s = time.monotonic()
        self._vacant_since_s: float | None = None
        self._candidate_since_s: float | None = None
        self._heard_s = float("-inf")
        self._has_observed = False
        self._paused_until_s = float("-inf")
        self._paused_s = float("-inf")
        self._pause_s = 0.0
        self._was_acting = False
        self._is_stopping = False
        self._is_leaving = False
        self._open_calls = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._beat_due = asyncio.Event()
        # Called when this daemon has given the duty up.
        self.on_release: Callable[[], None] = lambda: None
        board.watch(duty)

    @property
    def fence(self) -> int:
        """The fencing token of the held lease."""
        return self._lease.fence

    @property
    def is_holder(self) -> bool:
        """Whether this daemon may make the duty's calls now."""
        is_ending = self._is_stopping or self._is_leaving
        return not is_ending and self._lease.may_act()

    @property
    def is_candidate(self) -> bool:
        """Whether this daemon holds the duty or is about to acquire it."""
        return self._lease.held_version != 0 or self._candidate_since_s is not None

    @property
    def is_confirmed(self) -> bool:
        """Whether the dispatcher has just published this daemon as the holder."""
        return self._heartbeats.is_confirmed

    @property
    def known_s(self) -> float:
        """Seconds since which the others can know this daemon, 0 if they do not."""
        return self._heartbeats.known_s if self.is_candidate else 0.0

    def successors(self) -> list[Member]:
        """Return the other daemons in the order in which they take the duty."""
        return self._heartbeats.successors()

    async def call(self, send: Callable[[DutyTerms], Awaitable[DutyEnd]]) -> DutyEnd:
        """Make one call under the lease; NOT_SENT if it is not held."""
        if not self.is_holder:
            return DutyEnd.NOT_SENT
        fence = self._lease.fence

        def may_send() -> bool:
            if not self.is_holder or self._lease.fence != fence:
                return False
            self._lease.record_call()
            return True

        self._open_calls += 1
        self._idle.clear()
        try:
            end = await send(DutyTerms(self._local_member.node, fence, may_send))
        finally:
            self._open_calls -= 1
            if not self._open_calls:
                self._idle.set()
        if end is not DutyEnd.NOT_SENT:
            self._lease.record_call()
        if end not in (DutyEnd.NOT_SENT, DutyEnd.UNKNOWN):
            self._contact.note_reached()
        self._metrics.add("duty_calls", duty=self.duty, result=end.value)
        return end

    def hear(self, heartbeat: DutyHeartbeat) -> None:
        """Take note of a heartbeat that the holder sent to its next successors."""
        if heartbeat.duty != self.duty or heartbeat.node == self._local_member.node:
            return
        if heartbeat.is_released:
            self._heard_s = float("-inf")
            return
        self._lease.record_version(heartbeat.lease_version)
        if heartbeat.fence:
            self._heard_s = time.monotonic()

    # -- acquiring

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            await self.tick()

    async def tick(self) -> None:
        """Take the next step towards holding the lease, or keep it."""
        if self._is_stopping or self._is_leaving:
            return
        was_held = self._lease.held_version != 0
        if not was_held and not self._may_compete():
            self._candidate_since_s = None
            await self._observe()
            return
        if was_held and self._has_become_dispatcher():
            await self.give_up("this daemon is now the dispatcher")
            return
        if not was_held and self._candidate_since_s is None:
            self._candidate_since_s = time.monotonic()
            self._beat_due.set()
        version = self._lease.held_version
        async with self._lock:
            await self._lease.maintain()
        if self._lease.held_version and not was_held:
            self._on_acquired()
        if self._lease.held_version != version:
            self._beat_due.set()
        self._metrics.set("duty_held", float(self.is_holder), duty=self.duty)

    def _on_acquired(self) -> None:
        self._heartbeats.note_acquired()
        self._contact.note_reached()
        self._candidate_since_s = None
        self._was_acting = self._claim.is_acting
        logger.info("duties: this daemon holds the duty", duty=self.duty)

    async def _observe(self) -> None:
        """Note the lease once if this daemon ranks next and has heard nothing of it."""
        if self._has_observed or time.monotonic() < self._started_s + OBSERVATION_S:
            return
        rank = duty_rank(self._local_member.node, self._ranked())
        if rank is None:
            return
        self._has_observed = True
        if rank <= INFORMED_SUCCESSORS and self._heard_s == float("-inf"):
            await self._lease.observe()

    def _ranked(self) -> list[Member]:
        dispatcher = self._claim.holder
        return ranked(
            self.duty,
            self._members.members().values(),
            "" if dispatcher is None else dispatcher.node,
            self._board.other_holders(self.duty),
        )

    def _may_compete(self) -> bool:
        now_s = time.monotonic()
        holder = self._board.holder(self.duty)
        is_other = holder is not None and holder.node != self._local_member.node
        is_heard = now_s - self._heard_s < HEARD_S
        if is_other or is_heard or now_s < self._paused_until_s:
            self._vacant_since_s = None
            return False
        if self._vacant_since_s is None:
            self._vacant_since_s = now_s
        if self._candidate_since_s is not None:
            return not self._is_cut_off(now_s, self._candidate_since_s)
        earliest_s = max(self._vacant_since_s, self._started_s + FIRST_START_DELAY_S)
        if now_s < earliest_s:
            return False
        rank = duty_rank(self._local_member.node, self._ranked())
        return rank is not None and now_s >= earliest_s + RANK_DELAY_S * rank

    def _is_cut_off(self, now_s: float, since_s: float) -> bool:
        """Let others compete while this daemon does not reach the store."""
        if now_s - since_s < STORE_SILENCE_S:
            return False
        if self._lease.answered_s_ago < STORE_SILENCE_S:
            return False
        self._pause("the store does not answer")
        return True

    # -- keeping and giving up

    def _has_become_dispatcher(self) -> bool:
        was_acting, self._was_acting = self._was_acting, self._claim.is_acting
        if was_acting or not self._was_acting:
            return False
        return duty_rank(self._local_member.node, self._ranked()) != 0

    def _pause(self, reason: str) -> None:
        now_s = time.monotonic()
        is_recurring = now_s - self._paused_s < RECURRENCE_S
        self._pause_s = (
            min(MAX_PAUSE_S, 2 * self._pause_s) if is_recurring else FIRST_PAUSE_S
        )
        self._paused_s = now_s
        self._paused_until_s = now_s + self._pause_s
        self._vacant_since_s = self._candidate_since_s = None
        logger.warning(
            "duties: given up",
            duty=self.duty,
            reason=reason,
            fence=self.fence,
            pause_s=self._pause_s,
        )

    async def give_up(self, reason: str) -> None:
        """Release the lease and do not compete for it for a while."""
        self._pause(reason)
        await self._release()

    async def stop(self) -> None:
        """Release the lease for good."""
        self._is_stopping = True
        await self._release()

    async def _release(self) -> None:
        if not self.is_candidate:
            return
        # Otherwise a call in flight could arrive after the release.
        self._is_leaving = True
        try:
            async with asyncio.timeout(IDLE_LIMIT_S):
                await self._idle.wait()
        except TimeoutError:
            logger.warning("duties: a call is still open", duty=self.duty)
        async with self._lock:
            if self._open_calls:
                self._lease.abandon()
            else:
                await self._lease.release()
        self._is_leaving = False
        self._heartbeats.note_released()
        self.on_release()
        await self._heartbeats.send(is_holder=False, is_released=True)

    # -- heartbeats and contact

    async def run_heartbeats(self) -> None:
        """Send heartbeats while this daemon holds the duty, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self._beat_due.wait()
            except TimeoutError:
                pass
            self._beat_due.clear()
            await self.beat()

    async def beat(self) -> None:
        """Tell the dispatcher and the next successors who the holder is."""
        is_holder = self.is_holder
        if self._is_stopping or not (is_holder or self._candidate_since_s is not None):
            return
        await self._heartbeats.send(is_holder)
        if is_holder and self._heartbeats.unanswered_s > UNANSWERED_LIMIT_S:
            await self.give_up("no dispatcher answers")

    async def run_contact(self) -> None:
        """Give the duty up when only other daemons reach the platform's API."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            await self.check_contact()

    async def check_contact(self) -> None:
        """Check the path to the platform's API, and whether others have one."""
        if self.is_holder and await self._contact.is_lost() and self.is_holder:
            await self.give_up("only other daemons reach the platform's API")
