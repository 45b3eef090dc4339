"""greengagetack.limits.spending: a keeper's share of the teams' bounds."""

import asyncio
import itertools
import random
from typing import Any

from loguru import logger

from greengagetack.daemons.role import Services
from greengagetack.errors import (
    BudgetExhausted,
    CodedError,
    NotReady,
    Overloaded,
    OwnerUnavailable,
    PeerLost,
    PeerUnreachable,
)
from greengagetack.keeper.generation import Generation
from greengagetack.keeper.messages import Complete
from greengagetack.limits.messages import (
    HeldPermits,
    PermitShare,
    SharePermits,
    Slice,
    SliceReports,
    TakeSlice,
    TellPermits,
)
from greengagetack.limits.purse import Purse, Reservation

__all__ = ["SliceSpending"]

WATCH_INTERVAL_S = 1.0
ASK_TIMEOUT_S = 2.0
AHEAD_S = 10.0
IDLE_S = 5.0
MIN_SLICE_TOKENS = 1_024
UNKNOWN_TEAM_RETRY_S = 1.0
PERMIT_RETRY_S = 0.5
PERMIT_MARGIN_S = 0.5
HEADROOM_RATIO = 4
MIN_HEADROOM = 8
MAX_ASKS = 3
OWNER_WAIT_S = 3.0
OWNER_PAUSE_S = 0.1
RETRY_SPREAD = 0.2


# Answers that a change of the budget's owner can explain.
OWNER_CHANGES = (NotReady, OwnerUnavailable, PeerLost, PeerUnreachable)


class _TeamShare:
    """What this keeper may do for one team."""

    def __init__(self) -> None:
        self.purse = Purse()
        self.asking = asyncio.Lock()
        self.closed_until_s = 0.0
        self.closed_from_tokens = 0
        self.refusal: CodedError | None = None
        self.permits = 0
        self.permits_end_s = 0.0
        self.in_use = 0
        self.asking_for = 0
        self.asking_permits = asyncio.Lock()


class SliceSpending:
    """Sets tokens of slices aside and holds permits, asked for ahead of need.

    Parameters
    ----------
    services : Services
        What the daemon offers.
    """

    def __init__(self, services: Services) -> None:
        self._services = services
        self._teams: dict[str, _TeamShare] = {}
        self._reserved: dict[Generation, Reservation] = {}
        self._admitted: set[Generation] = set()
        self._chance = random.Random()
        self._numbers = itertools.count(1)
        node = services.peers
        self._holder = f"{node.vm_id}/{node.incarnation}"
        self._refills: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Serve questions about permits, and report and renew at intervals."""
        self._services.peers.handle(TellPermits, self._tell_permits)
        self._services.timer.subscribe(WATCH_INTERVAL_S, self._watch, "spending")

    def _share(self, team: str) -> _TeamShare:
        return self._teams.setdefault(team, _TeamShare())

    async def _ask_owner(self, team: str, body: Any) -> Any:
        """Ask the owner of a team's bounds, over a change of owner.

        Raises
        ------
        OwnerUnavailable
            If none has answered within ``OWNER_WAIT_S``.
        BudgetExhausted
            If the owner says so.
        """
        timer = self._services.timer
        end_s = timer.now_s() + OWNER_WAIT_S
        while True:
            try:
                return await self._services.peers.request(
                    self._owner_of(team), body, ASK_TIMEOUT_S
                )
            except OWNER_CHANGES as error:
                if timer.now_s() >= end_s:
                    raise OwnerUnavailable(
                        f"the bounds of {team} are not known: {error.reason}", 1.0
                    ) from error
            await timer.sleep(OWNER_PAUSE_S)

    def _owner_of(self, team: str) -> str:
        shards = self._services.shards
        pair = self._services.directory.pair(shards.shard_of(team))
        if pair is None:
            raise OwnerUnavailable(f"the budget of {team} has no owner", 1.0)
        return pair.owner_vm_id

    async def admit(self, request: Complete) -> None:
        """Check the team's bounds and take a permit before a request is queued.

        Raises
        ------
        BudgetExhausted
            If the team's tokens of the period are used up.
        Overloaded
            If the team has as many concurrent requests as it may.
        OwnerUnavailable
            If neither is known, and the budget's owner does not answer.
        """
        team = request.team
        if self._services.settings.team(team) is None:
            raise NotReady(f"no settings of team {team!r} yet", UNKNOWN_TEAM_RETRY_S)
        share = self._share(team)
        self._check_closed(share, request.max_tokens - request.offset_tokens)
        share.asking_for += 1
        try:
            if self._free_permits(share) <= 0:
                await self._ask_permits(team, share)
            if self._free_permits(share) <= 0:
                raise self._no_permit(team)
            share.in_use += 1
        finally:
            share.asking_for -= 1

    def _check_closed(self, share: _TeamShare, tokens: int) -> None:
        left_s = share.closed_until_s - self._services.timer.now_s()
        if left_s <= 0 or tokens < share.closed_from_tokens:
            return
        reason = share.refusal.reason if share.refusal is not None else ""
        spread = self._chance.uniform(1.0, 1.0 + RETRY_SPREAD)
        raise BudgetExhausted(reason, left_s * spread)

    def _free_permits(self, share: _TeamShare) -> int:
        if share.permits_end_s <= self._services.timer.now_s():
            return 0
        return share.permits - share.in_use

    def hold_permit(self, generation: Generation) -> None:
        """Keep the permit of an admitted request until it is settled."""
        self._admitted.add(generation)

    def release_permit(self, request: Complete) -> None:
        """Give the permit of a request back that was not queued after all."""
        self._share(request.team).in_use -= 1

    def _no_permit(self, team: str) -> Overloaded:
        spread = self._chance.uniform(1.0, 1.0 + RETRY_SPREAD)
        return Overloaded(
            f"{team} has as many concurrent requests as it may",
            PERMIT_RETRY_S * spread,
        )

    async def reserve(self, generation: Generation) -> None:
        """Set the tokens of a request aside before it is sent.

        Raises
        ------
        BudgetExhausted
            If the team's bound leaves too few.
        OwnerUnavailable
            If the budget's owner does not answer.
        """
        request = generation.request
        share = self._share(request.team)
        tokens = request.max_tokens - generation.first_offset
        now_s = self._services.timer.now_s
        reservation = share.purse.reserve(tokens, now_s())
        if reservation is None:
            reservation = await self._reserve_anew(request.team, share, tokens)
        self._reserved[generation] = reservation
        if share.purse.free_tokens(now_s()) < share.purse.tokens_per_s * AHEAD_S / 2:
            self._refill_ahead(request.team, share)

    async def _reserve_anew(
        self, team: str, share: _TeamShare, tokens: int
    ) -> Reservation:
        async with share.asking:
            for _ in range(MAX_ASKS):
                now_s = self._services.timer.now_s()
                reservation = share.purse.reserve(tokens, now_s)
                if reservation is not None:
                    return reservation
                missing = tokens - share.purse.free_tokens(now_s)
                self._check_closed(share, missing)
                await self._ask_slice(team, share, missing)
        raise OwnerUnavailable(f"the budget period of {team} is ending", 1.0)

    def settle(self, generation: Generation) -> None:
        """Count the tokens used, and free the rest and the permit."""
        share = self._share(generation.request.team)
        if generation in self._admitted:
            self._admitted.discard(generation)
            share.in_use -= 1
        reservation = self._reserved.pop(generation, None)
        if reservation is not None:
            share.purse.settle(reservation, generation.token_count)

    def _refill_ahead(self, team: str, share: _TeamShare) -> None:
        if share.asking.locked():
            return
        task = asyncio.create_task(self._refill(team, share))
        self._refills.add(task)
        task.add_done_callback(self._refills.discard)

    async def _refill(self, team: str, share: _TeamShare) -> None:
        async with share.asking:
            try:
                await self._ask_slice(team, share, 1)
            except CodedError as error:
                logger.debug("limits: no slice ahead for {}: {}", team, error.reason)

    async def _ask_slice(self, team: str, share: _TeamShare, need: int) -> None:
        """Ask for a slice; an unanswered one is given back by its identifier."""
        ahead = int(share.purse.tokens_per_s * AHEAD_S)
        want = max(need, ahead, MIN_SLICE_TOKENS)
        slice_id = f"{self._holder}/{next(self._numbers)}"
        asked_at_s = self._services.timer.now_s()
        body = TakeSlice(team, slice_id, need, want)
        try:
            answer = await self._ask_owner(team, body)
        except BudgetExhausted as error:
            share.closed_until_s = asked_at_s + (error.retry_after_s or 1.0)
            share.closed_from_tokens = need
            share.refusal = error
            raise
        except CodedError:
            share.purse.give_up(slice_id)
            raise
        if isinstance(answer, Slice):
            share.purse.add(answer, asked_at_s)

    async def _ask_permits(self, team: str, share: _TeamShare) -> None:
        async with share.asking_permits:
            if self._free_permits(share) > 0:
                return
            await self._renew_permits(team, share)

    async def _renew_permits(self, team: str, share: _TeamShare) -> None:
        headroom = max(MIN_HEADROOM, share.in_use // HEADROOM_RATIO)
        headroom += share.asking_for
        held = share.permits if self._permits_live(share) else 0
        asked_at_s = self._services.timer.now_s()
        body = SharePermits(
            team, self._holder, held, share.in_use, share.in_use + headroom
        )
        answer = await self._ask_owner(team, body)
        if isinstance(answer, PermitShare):
            share.permits = answer.permits
            share.permits_end_s = asked_at_s + answer.life_s - PERMIT_MARGIN_S

    def _permits_live(self, share: _TeamShare) -> bool:
        return share.permits_end_s > self._services.timer.now_s()

    async def _tell_permits(
        self, sender_vm_id: str, request: TellPermits
    ) -> HeldPermits:
        share = self._share(request.team)
        held = share.permits if self._permits_live(share) else 0
        return HeldPermits(self._holder, held, share.in_use)

    async def _watch(self) -> None:
        now_s = self._services.timer.now_s()
        for team, share in list(self._teams.items()):
            share.purse.observe_rate(now_s)
            share.purse.close_slices(now_s, IDLE_S)
            try:
                await self._report(team, share)
                if share.in_use or self._permits_live(share):
                    await self._renew_permits_if_due(team, share)
            except CodedError as error:
                logger.debug("limits: {} not reported: {}", team, error.reason)

    async def _renew_permits_if_due(self, team: str, share: _TeamShare) -> None:
        if not share.in_use:
            # Left to run out; the next request asks anew.
            return
        async with share.asking_permits:
            await self._renew_permits(team, share)

    async def _report(self, team: str, share: _TeamShare) -> None:
        reports = share.purse.due_reports()
        if not reports:
            return
        await self._services.peers.request(
            self._owner_of(team), SliceReports(team, reports), ASK_TIMEOUT_S
        )
        share.purse.reported(reports)

    async def return_all(self) -> None:
        """Give back all slices, before the daemon stops."""
        now_s = self._services.timer.now_s()
        for team, share in list(self._teams.items()):
            share.purse.close_slices(now_s, 0.0)
            try:
                await self._report(team, share)
            except CodedError as error:
                logger.warning("limits: {} not reported: {}", team, error.reason)
