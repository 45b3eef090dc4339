"""greengagetack.limits.spending: a keeper's use of the teams' slices and permits."""

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
    GetHeldPermits,
    HeldPermits,
    PermitShare,
    RequestPermits,
    RequestSlice,
    Slice,
    SliceReports,
)
from greengagetack.limits.slice_pool import Reservation, SlicePool

__all__ = ["SliceSpending"]

REPORT_INTERVAL_S = 1.0
OWNER_TIMEOUT_S = 2.0
PREFETCH_HORIZON_S = 10.0
MAX_SLICE_IDLE_S = 5.0
MIN_SLICE_TOKENS = 1_024
UNKNOWN_TEAM_RETRY_S = 1.0
PERMIT_RETRY_S = 0.5
PERMIT_MARGIN_S = 0.5
HEADROOM_DIVISOR = 4
MIN_HEADROOM_PERMITS = 8
MAX_SLICE_REQUESTS = 3
OWNER_CHANGE_TIMEOUT_S = 3.0
OWNER_RETRY_INTERVAL_S = 0.1
RETRY_JITTER_RATIO = 0.2


# Errors that a change of the budget's owner can cause.
OWNER_CHANGE_ERRORS = (NotReady, OwnerUnavailable, PeerLost, PeerUnreachable)


class _TeamShare:
    """The slices and permits that this keeper holds for one team."""

    def __init__(self) -> None:
        self.slices = SlicePool()
        self.slice_lock = asyncio.Lock()
        self.refused_until_s = 0.0
        self.refused_from_tokens = 0
        self.refusal: CodedError | None = None
        self.permits = 0
        self.permits_end_s = 0.0
        self.in_use = 0
        self.waiting_requests = 0
        self.permit_lock = asyncio.Lock()


class SliceSpending:
    """Reserves tokens and permits, and requests more of them ahead of need.

    Parameters
    ----------
    services : Services
        Shared services of the daemon.
    """

    def __init__(self, services: Services) -> None:
        self._services = services
        self._teams: dict[str, _TeamShare] = {}
        self._reserved: dict[Generation, Reservation] = {}
        self._admitted: set[Generation] = set()
        self._rng = random.Random()
        self._slice_numbers = itertools.count(1)
        peers = services.peers
        self._holder = f"{peers.vm_id}/{peers.incarnation}"
        self._refill_tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Register the permit handler and the periodic reports and renewals."""
        self._services.peers.handle(GetHeldPermits, self._handle_held_permits)
        self._services.timer.subscribe(
            REPORT_INTERVAL_S, self._report_and_renew, "spending"
        )

    def _team_share(self, team: str) -> _TeamShare:
        return self._teams.setdefault(team, _TeamShare())

    async def _request_from_owner(self, team: str, body: Any) -> Any:
        """Send a request to the owner of a team's budget.

        The request is repeated while the budget's owner changes.

        Raises
        ------
        OwnerUnavailable
            If no owner has answered within ``OWNER_CHANGE_TIMEOUT_S``.
        BudgetExhausted
            If the owner refuses because the budget is exhausted.
        """
        timer = self._services.timer
        deadline_s = timer.now_s() + OWNER_CHANGE_TIMEOUT_S
        while True:
            try:
                return await self._services.peers.request(
                    self._owner_of(team), body, OWNER_TIMEOUT_S
                )
            except OWNER_CHANGE_ERRORS as error:
                if timer.now_s() >= deadline_s:
                    raise OwnerUnavailable(
                        f"the budget owner of {team} does not answer: {error.reason}",
                        1.0,
                    ) from error
            await timer.sleep(OWNER_RETRY_INTERVAL_S)

    def _owner_of(self, team: str) -> str:
        shards = self._services.shards
        pair = self._services.directory.pair(shards.shard_of(team))
        if pair is None:
            raise OwnerUnavailable(f"the budget of team {team} has no owner", 1.0)
        return pair.owner_vm_id

    async def admit(self, request: Complete) -> None:
        """Check the team's bounds and acquire a permit before a request is queued.

        Raises
        ------
        BudgetExhausted
            If the team has spent its tokens of the period.
        Overloaded
            If the team has reached its limit of concurrent requests.
        OwnerUnavailable
            If there is no free permit and the budget's owner does not answer.
        """
        team = request.team
        if self._services.settings.team(team) is None:
            raise NotReady(
                f"the settings of team {team!r} are not known yet", UNKNOWN_TEAM_RETRY_S
            )
        share = self._team_share(team)
        self._check_refusal(share, request.max_tokens - request.offset_tokens)
        share.waiting_requests += 1
        try:
            if self._free_permits(share) <= 0:
                await self._acquire_permits(team, share)
            if self._free_permits(share) <= 0:
                raise self._permits_exhausted(team)
            share.in_use += 1
        finally:
            share.waiting_requests -= 1

    def _check_refusal(self, share: _TeamShare, tokens: int) -> None:
        left_s = share.refused_until_s - self._services.timer.now_s()
        if left_s <= 0 or tokens < share.refused_from_tokens:
            return
        reason = share.refusal.reason if share.refusal is not None else ""
        jitter = self._rng.uniform(1.0, 1.0 + RETRY_JITTER_RATIO)
        raise BudgetExhausted(reason, left_s * jitter)

    def _free_permits(self, share: _TeamShare) -> int:
        if share.permits_end_s <= self._services.timer.now_s():
            return 0
        return share.permits - share.in_use

    def hold_permit(self, generation: Generation) -> None:
        """Keep the permit of an admitted request until it is settled."""
        self._admitted.add(generation)

    def release_permit(self, request: Complete) -> None:
        """Release the permit of an admitted request that was not queued."""
        self._team_share(request.team).in_use -= 1

    def _permits_exhausted(self, team: str) -> Overloaded:
        jitter = self._rng.uniform(1.0, 1.0 + RETRY_JITTER_RATIO)
        return Overloaded(
            f"team {team} has reached its limit of concurrent requests",
            PERMIT_RETRY_S * jitter,
        )

    async def reserve(self, generation: Generation) -> None:
        """Reserve the tokens of a request before it is sent.

        Raises
        ------
        BudgetExhausted
            If the team's bound leaves too few tokens.
        OwnerUnavailable
            If the budget's owner does not answer.
        """
        request = generation.request
        share = self._team_share(request.team)
        tokens = request.max_tokens - generation.first_offset
        now_s = self._services.timer.now_s
        reservation = share.slices.reserve(tokens, now_s())
        if reservation is None:
            reservation = await self._reserve_from_owner(request.team, share, tokens)
        self._reserved[generation] = reservation
        if (
            share.slices.free_tokens(now_s())
            < share.slices.tokens_per_s * PREFETCH_HORIZON_S / 2
        ):
            self._start_refill(request.team, share)

    async def _reserve_from_owner(
        self, team: str, share: _TeamShare, tokens: int
    ) -> Reservation:
        async with share.slice_lock:
            for _ in range(MAX_SLICE_REQUESTS):
                now_s = self._services.timer.now_s()
                reservation = share.slices.reserve(tokens, now_s)
                if reservation is not None:
                    return reservation
                missing = tokens - share.slices.free_tokens(now_s)
                self._check_refusal(share, missing)
                await self._request_slice(team, share, missing)
        raise OwnerUnavailable(f"the budget period of team {team} is ending", 1.0)

    def settle(self, generation: Generation) -> None:
        """Count the tokens used, and release the rest and the permit."""
        share = self._team_share(generation.request.team)
        if generation in self._admitted:
            self._admitted.discard(generation)
            share.in_use -= 1
        reservation = self._reserved.pop(generation, None)
        if reservation is not None:
            share.slices.settle(reservation, generation.token_count)

    def _start_refill(self, team: str, share: _TeamShare) -> None:
        if share.slice_lock.locked():
            return
        task = asyncio.create_task(self._refill(team, share))
        self._refill_tasks.add(task)
        task.add_done_callback(self._refill_tasks.discard)

    async def _refill(self, team: str, share: _TeamShare) -> None:
        async with share.slice_lock:
            try:
                await self._request_slice(team, share, 1)
            except CodedError as error:
                logger.debug(
                    "limits: no slice prefetched for {}: {}", team, error.reason
                )

    async def _request_slice(
        self, team: str, share: _TeamShare, need_tokens: int
    ) -> None:
        """Request a slice; after an error it is returned by its identifier."""
        prefetch_tokens = int(share.slices.tokens_per_s * PREFETCH_HORIZON_S)
        want_tokens = max(need_tokens, prefetch_tokens, MIN_SLICE_TOKENS)
        slice_id = f"{self._holder}/{next(self._slice_numbers)}"
        requested_at_s = self._services.timer.now_s()
        body = RequestSlice(team, slice_id, need_tokens, want_tokens)
        try:
            answer = await self._request_from_owner(team, body)
        except BudgetExhausted as error:
            share.refused_until_s = requested_at_s + (error.retry_after_s or 1.0)
            share.refused_from_tokens = need_tokens
            share.refusal = error
            raise
        except CodedError:
            share.slices.return_lost(slice_id)
            raise
        if isinstance(answer, Slice):
            share.slices.add(answer, requested_at_s)

    async def _acquire_permits(self, team: str, share: _TeamShare) -> None:
        async with share.permit_lock:
            if self._free_permits(share) > 0:
                return
            await self._renew_permits(team, share)

    async def _renew_permits(self, team: str, share: _TeamShare) -> None:
        headroom = max(MIN_HEADROOM_PERMITS, share.in_use // HEADROOM_DIVISOR)
        headroom += share.waiting_requests
        held = share.permits if self._has_live_permits(share) else 0
        requested_at_s = self._services.timer.now_s()
        body = RequestPermits(
            team, self._holder, held, share.in_use, share.in_use + headroom
        )
        answer = await self._request_from_owner(team, body)
        if isinstance(answer, PermitShare):
            share.permits = answer.permits
            share.permits_end_s = requested_at_s + answer.life_s - PERMIT_MARGIN_S

    def _has_live_permits(self, share: _TeamShare) -> bool:
        return share.permits_end_s > self._services.timer.now_s()

    async def _handle_held_permits(
        self, sender_vm_id: str, request: GetHeldPermits
    ) -> HeldPermits:
        share = self._team_share(request.team)
        held = share.permits if self._has_live_permits(share) else 0
        return HeldPermits(self._holder, held, share.in_use)

    async def _report_and_renew(self) -> None:
        now_s = self._services.timer.now_s()
        for team, share in list(self._teams.items()):
            share.slices.observe_rate(now_s)
            share.slices.close_slices(now_s, MAX_SLICE_IDLE_S)
            try:
                await self._report_spend(team, share)
                if share.in_use or self._has_live_permits(share):
                    await self._renew_permits_if_due(team, share)
            except CodedError as error:
                logger.debug("limits: spend of {} not reported: {}", team, error.reason)

    async def _renew_permits_if_due(self, team: str, share: _TeamShare) -> None:
        if not share.in_use:
            # Unused permits expire; the next request acquires new ones.
            return
        async with share.permit_lock:
            await self._renew_permits(team, share)

    async def _report_spend(self, team: str, share: _TeamShare) -> None:
        reports = share.slices.pending_reports()
        if not reports:
            return
        await self._services.peers.request(
            self._owner_of(team), SliceReports(team, reports), OWNER_TIMEOUT_S
        )
        share.slices.mark_reported(reports)

    async def return_all(self) -> None:
        """Return all unreserved slices before the daemon stops."""
        now_s = self._services.timer.now_s()
        for team, share in list(self._teams.items()):
            share.slices.close_slices(now_s, 0.0)
            try:
                await self._report_spend(team, share)
            except CodedError as error:
                logger.warning(
                    "limits: spend of {} not reported: {}", team, error.reason
                )
