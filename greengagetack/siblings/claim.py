"""greengagetack.siblings.claim: which daemon runs the jobs.

Two daemons may run the jobs at once for a while: the ledger keeps results right,
only work is wasted. So a claim needs no lease and is taken over early.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable

import msgspec
from loguru import logger

from greengagetack.errors import CodedError, PeerUnreachable
from greengagetack.objects.base import ObjectConflict, PlatformObject, WatchedStore
from greengagetack.objects.feed import Feed
from greengagetack.siblings.client import PeerClient
from greengagetack.siblings.messages import Member, Pong
from greengagetack.siblings.roster import Roster
from greengagetack.world import Address

__all__ = ["CLAIM_PATH", "ClaimDuty", "takeover_delay_s"]

CLAIM_PATH = "dispatch/main"
PING_INTERVAL_S = 0.25
# Daemons further down in the ranking look less often.
FAR_RANK = 2
FAR_PING_INTERVAL_S = 1.0
# Pings that are lost in a short stall are no reason to take over.
SILENCE_S = 0.75
# The next daemon in the ranking waits this much longer.
RANK_STEP_S = 0.4
VACANT_STEP_S = 0.15
# When all start for the first time, the list of daemons is whole only after a while.
FIRST_CLAIM_S = 0.6
VACANT = ""


def takeover_delay_s(rank: int, is_vacant: bool, is_first: bool = False) -> float:
    """Return how long a claimer must have been silent before it is replaced.

    Answers the failure of the daemon that runs the jobs, also together with the
    daemons that would be next: each waits longer than the one before it.
    """
    if is_vacant:
        return FIRST_CLAIM_S * is_first + VACANT_STEP_S * rank
    return SILENCE_S + RANK_STEP_S * rank


class ClaimDuty:
    """Watches the claimer and replaces it when it is gone."""

    def __init__(
        self,
        me: Member,
        store: WatchedStore,
        feed: Feed,
        roster: Roster,
        on_change: Callable[[], None],
        on_pong: Callable[[Pong], None],
    ) -> None:
        self._me = me
        self._store = store
        self._feed = feed
        self._roster = roster
        self._on_change = on_change
        self._on_pong = on_pong
        self._heard_s = time.monotonic()
        self.is_leaving = False
        feed.subscribe(self._on_claim)

    @property
    def claimer(self) -> Member | None:
        """The daemon that runs the jobs, None if nobody does."""
        member = self._stored()
        return None if member is None or member.node == VACANT else member

    def _stored(self) -> Member | None:
        stored = self._feed.objects.get(CLAIM_PATH)
        if stored is None:
            return None
        try:
            return msgspec.convert(stored.value, Member)
        except msgspec.ValidationError as error:
            logger.warning("claim: the claim cannot be read: {}", error)
            return None

    def claimer_address(self) -> Address | None:
        """Return the claimer's control address."""
        claimer = self.claimer
        return None if claimer is None else Address.parse(claimer.control)

    @property
    def is_mine(self) -> bool:
        """Whether this incarnation holds the claim."""
        claimer = self.claimer
        return claimer is not None and claimer.incarnation == self._me.incarnation

    def _on_claim(
        self, changed: tuple[PlatformObject, ...], gone: tuple[str, ...]
    ) -> None:
        self._heard_s = time.monotonic()
        self._on_change()

    async def run(self, peers: PeerClient) -> None:
        """Watch the claimer until cancelled."""
        while True:
            await asyncio.sleep(self._ping_interval_s())
            if not self._feed.is_synced or self.is_mine or self.is_leaving:
                continue
            await self._look(peers)

    def _ping_interval_s(self) -> float:
        claimer = self.claimer
        rank = self._rank(claimer)
        is_silent = self.silent_s > FAR_PING_INTERVAL_S
        is_far = rank >= FAR_RANK and claimer is not None and not is_silent
        return FAR_PING_INTERVAL_S if is_far else PING_INTERVAL_S

    def _rank(self, claimer: Member | None) -> int:
        if claimer is None:
            return self._roster.rank("", "")
        return self._roster.rank(claimer.incarnation, claimer.node)

    @property
    def silent_s(self) -> float:
        """Seconds since the claimer was last heard of."""
        return time.monotonic() - self._heard_s

    def note_heard(self) -> None:
        """Take an answer that shows that the claimer lives."""
        self._heard_s = time.monotonic()

    async def _look(self, peers: PeerClient) -> None:
        claimer = self.claimer
        rank = self._rank(claimer)
        is_own_past = claimer is not None and claimer.node == self._me.node
        if claimer is not None and not is_own_past:
            address = self.claimer_address()
            assert address is not None
            try:
                pong = await peers.ping(address)
                if pong.is_dispatcher and pong.node == claimer.node:
                    self._heard_s = time.monotonic()
                    self._on_pong(pong)
                    return
            except PeerUnreachable as error:
                logger.debug("claim: no answer from {}: {}", claimer.node, error)
        silent_s = self.silent_s
        is_first = not self._feed.objects
        delay_s = takeover_delay_s(rank, claimer is None, is_first)
        if not is_own_past and silent_s < delay_s:
            return
        await self._take(claimer, silent_s)

    async def _take(self, former: Member | None, silent_s: float) -> None:
        stored = self._feed.objects.get(CLAIM_PATH)
        version = 0 if stored is None else stored.version
        logger.info(
            "claim: taking over",
            former=former.node if former else VACANT,
            silent_ms=int(silent_s * 1000),
            version=version,
        )
        vacated = self._stored()
        former_control = vacated.former if vacated and former is None else ""
        claim = dataclasses.replace(self._me, former=former_control)
        try:
            await self._store.write(CLAIM_PATH, msgspec.to_builtins(claim), version)
        except ObjectConflict:
            logger.info("claim: another daemon was first")
            # The watch may have gone silent; it would tell only when its wait ends.
            self._feed.refresh()
        except CodedError as error:
            logger.warning("claim: not taken: {}", error.reason)
        self._heard_s = time.monotonic()

    async def give_up(self, successor: Member | None) -> None:
        """Leave the claim to a successor, or to whoever takes it first."""
        self.is_leaving = True
        stored = self._feed.objects.get(CLAIM_PATH)
        if not self.is_mine or stored is None:
            return
        heir = successor or Member(VACANT, "", "", "")
        claim = dataclasses.replace(heir, former=self._me.control)
        try:
            await self._store.write(
                CLAIM_PATH, msgspec.to_builtins(claim), stored.version
            )
            logger.info("claim: given up", successor=heir.node)
        except CodedError as error:
            logger.warning("claim: not given up: {}", error.reason)
