"""greengagetack.limits.owner: the role that owns the teams' budgets."""

import asyncio

from loguru import logger

from greengagetack.daemons.role import Role, Services, role
from greengagetack.errors import (
    BudgetExhausted,
    CodedError,
    InvalidRequest,
    NotFound,
    OwnerUnavailable,
)
from greengagetack.limits.budget import BudgetRecord, TeamBudget, period_number
from greengagetack.limits.ceiling import CeilingStore, block_tokens
from greengagetack.limits.forecast import SpendForecast
from greengagetack.limits.messages import (
    GetHeldPermits,
    GetUsage,
    HeldPermits,
    PermitShare,
    RequestPermits,
    RequestSlice,
    Slice,
    SliceReports,
    TeamUsage,
)
from greengagetack.limits.permits import PermitAllocator
from greengagetack.peers.messages import Done
from greengagetack.settings.schema import TeamSettings

__all__ = ["BudgetRole"]

RECORD_KIND = "budget"
NOT_OWNER_RETRY_S = 0.5
RETURNED_TOKENS_RETRY_S = 2.0
HELD_PERMITS_TIMEOUT_S = 1.0
CONFIRM_INTERVAL_S = 0.3
BUDGET_CHECK_INTERVAL_S = 2.0


class _Account:
    """A team's budget while this VM owns it in one epoch of its shard."""

    def __init__(self, epoch: int, budget: TeamBudget, period_s: float) -> None:
        self.epoch = epoch
        self.budget = budget
        self.forecast = SpendForecast(period_s)
        self.lock = asyncio.Lock()
        self.warned_period = -1
        self.ceiling_task: asyncio.Task[None] | None = None


@role
class BudgetRole(Role):
    """Grants slices and permits of the budgets whose shards this VM owns.

    It grants only while this VM is surely the only owner. A slice is recorded
    at the backup before the response is sent.
    """

    name = "budgets"
    started_by = "owner"

    def __init__(self, services: Services) -> None:
        super().__init__(services)
        self._accounts: dict[str, _Account] = {}
        self._allocators: dict[str, tuple[int, PermitAllocator]] = {}
        self._load_lock = asyncio.Lock()
        self._permit_locks: dict[str, asyncio.Lock] = {}
        self._confirm_tasks: set[asyncio.Task[None]] = set()
        self._ceilings = CeilingStore(services.platform)

    async def start(self) -> None:
        """Register the message handlers and the periodic check of budgets."""
        peers = self.services.peers
        peers.handle(RequestSlice, self._handle_slice_request)
        peers.handle(SliceReports, self._handle_reports)
        peers.handle(RequestPermits, self._handle_permit_request)
        peers.handle(GetUsage, self._handle_usage)
        self.services.timer.subscribe(
            BUDGET_CHECK_INTERVAL_S, self._check_budgets, "budgets"
        )

    def _team_settings(self, team: str) -> TeamSettings:
        settings = self.services.settings.team(team)
        if settings is None:
            raise NotFound(f"team {team!r} does not exist")
        return settings

    def _require_owner(self, team: str) -> int:
        shards = self.services.shards
        shard = shards.shard_of(team)
        if not shards.may_act(shard):
            raise OwnerUnavailable(
                f"this VM does not own the budget of team {team}", NOT_OWNER_RETRY_S
            )
        return shard

    def _period_left_s(self, period_s: float) -> float:
        return period_s - self.services.timer.wall_s() % period_s

    async def _get_account(self, settings: TeamSettings) -> _Account:
        team = settings.team
        shard = self._require_owner(team)
        epoch = self.services.shards.epoch(shard)
        async with self._load_lock:
            account = self._accounts.get(team)
            if account is None or account.epoch != epoch:
                record = await self._load_record(shard, settings)
                timer = self.services.timer
                budget = TeamBudget(record, timer.now_s(), timer.wall_s())
                account = _Account(epoch, budget, settings.budget.period_s)
                self._accounts[team] = account
        period = period_number(self.services.timer.wall_s(), settings.budget.period_s)
        account.budget.enter_period(period, self.services.timer.now_s())
        return account

    async def _load_record(self, shard: int, settings: TeamSettings) -> BudgetRecord:
        team = settings.team
        data = self.services.shards.get(shard, RECORD_KIND, team)
        if data:
            return BudgetRecord.from_bytes(data)
        period = period_number(self.services.timer.wall_s(), settings.budget.period_s)
        if not self.services.shards.may_lack_records(shard):
            return BudgetRecord(team, period)
        ceiling = await self._ceilings.read(team)
        if ceiling is None or ceiling.period < period:
            return BudgetRecord(team, period)
        logger.warning(
            "limits: budget record of {} lost; its ceiling counts as spent", team
        )
        return BudgetRecord(
            team, ceiling.period, ceiling.ceiling_tokens, ceiling.ceiling_tokens
        )

    async def _store_record(self, account: _Account) -> None:
        record = account.budget.record
        shard = self._require_owner(record.team)
        await self.services.shards.put(
            shard, RECORD_KIND, record.team, record.to_bytes(), need_backup=True
        )

    async def _handle_slice_request(
        self, sender_vm_id: str, request: RequestSlice
    ) -> Slice:
        if request.need_tokens < 1 or request.want_tokens < request.need_tokens:
            raise InvalidRequest("need_tokens must be from 1 to want_tokens")
        settings = self._team_settings(request.team)
        account = await self._get_account(settings)
        async with account.lock:
            return await self._grant_slice(account, settings, request)

    async def _grant_slice(
        self, account: _Account, settings: TeamSettings, request: RequestSlice
    ) -> Slice:
        budget = account.budget
        now_s = self.services.timer.now_s()
        granted = budget.find_slice(request.slice_id)
        if granted is not None:
            life_s = budget.remaining_life_s(granted, now_s)
            return Slice(granted.slice_id, granted.tokens, life_s)
        bound = settings.budget.tokens_per_period
        left_s = self._period_left_s(settings.budget.period_s)
        item = budget.grant(
            request.slice_id,
            request.need_tokens,
            request.want_tokens,
            bound,
            left_s,
            now_s,
            self.services.timer.wall_s(),
        )
        if item is None:
            raise self._budget_exhausted(account, settings, request.need_tokens)
        self._raise_ceiling_ahead(account, bound)
        try:
            await self._store_record(account)
        except CodedError:
            budget.withdraw_slice(item.slice_id)
            raise
        self.services.metrics.add(
            "budget_granted_tokens_total", item.tokens, team=request.team
        )
        return Slice(item.slice_id, item.tokens, item.life_s)

    def _raise_ceiling_ahead(self, account: _Account, bound: int) -> None:
        """Raise the platform's ceiling in the background, so grants never wait."""
        budget = account.budget
        half_block = block_tokens(bound) // 2
        if budget.committed_tokens + half_block <= budget.record.ceiling_tokens:
            return
        if account.ceiling_task is None or account.ceiling_task.done():
            account.ceiling_task = asyncio.create_task(
                self._raise_ceiling(account, bound)
            )

    async def _raise_ceiling(self, account: _Account, bound: int) -> None:
        budget = account.budget
        record = budget.record
        ceiling = await self._ceilings.raise_to(
            record.team, record.period, budget.committed_tokens, bound
        )
        if ceiling is not None:
            budget.set_ceiling(record.period, ceiling)

    def _budget_exhausted(
        self, account: _Account, settings: TeamSettings, need_tokens: int
    ) -> BudgetExhausted:
        budget = settings.budget
        spent = account.budget.spent_tokens
        left_s = self._period_left_s(budget.period_s)
        if spent + need_tokens <= budget.tokens_per_period:
            # Keepers hold the rest and return the tokens that they do not use.
            left_s = min(left_s, RETURNED_TOKENS_RETRY_S)
        return BudgetExhausted(
            f"team {settings.team} has spent {spent} of {budget.tokens_per_period} "
            f"tokens of this period, and {account.budget.open_tokens} are reserved",
            left_s,
        )

    async def _handle_reports(self, sender_vm_id: str, request: SliceReports) -> Done:
        settings = self._team_settings(request.team)
        account = await self._get_account(settings)
        async with account.lock:
            before = account.budget.record
            changed = False
            for report in request.reports:
                changed = account.budget.apply_report(report) or changed
            if changed:
                try:
                    await self._store_record(account)
                except CodedError:
                    account.budget.record = before
                    raise
        return Done()

    async def _handle_permit_request(
        self, sender_vm_id: str, request: RequestPermits
    ) -> PermitShare:
        settings = self._team_settings(request.team)
        shard = self._require_owner(request.team)
        epoch = self.services.shards.epoch(shard)
        now_s = self.services.timer.now_s
        async with self._permit_locks.setdefault(request.team, asyncio.Lock()):
            # Later requests wait as well, as they need the confirmed permits.
            entry = self._allocators.get(request.team)
            if entry is None or entry[0] != epoch:
                allocator = PermitAllocator(now_s())
                await self._confirm_permits(request.team, allocator)
                entry = (epoch, allocator)
                self._allocators[request.team] = entry
        bound = settings.budget.concurrent_requests
        return entry[1].allocate(request, bound, now_s())

    async def _confirm_permits(self, team: str, allocator: PermitAllocator) -> None:
        """Query all members for the permits that a former owner granted them."""
        members = [vm.vm_id for vm in self.services.directory.table().members]
        unanswered = await self._confirm_round(team, allocator, members)
        if not unanswered:
            allocator.finish_confirmation()
        else:
            task = asyncio.create_task(self._confirm_later(team, allocator, unanswered))
            self._confirm_tasks.add(task)
            task.add_done_callback(self._confirm_tasks.discard)

    async def _confirm_round(
        self, team: str, allocator: PermitAllocator, vm_ids: list[str]
    ) -> list[str]:
        """Query some members once, and return those that have not responded.

        A lost member never responds; its permits expire.
        """
        answers = await asyncio.gather(
            *(self._fetch_held_permits(vm_id, team) for vm_id in vm_ids)
        )
        unanswered = []
        for vm_id, answer in zip(vm_ids, answers, strict=True):
            if answer is None:
                unanswered.append(vm_id)
                continue
            allocator.add_held(answer, self.services.timer.now_s())
        return unanswered

    async def _confirm_later(
        self, team: str, allocator: PermitAllocator, unanswered: list[str]
    ) -> None:
        """Query again until all have responded or the former permits have expired."""
        while unanswered and allocator.is_confirming(self.services.timer.now_s()):
            await self.services.timer.sleep(CONFIRM_INTERVAL_S)
            unanswered = await self._confirm_round(team, allocator, unanswered)
        if not unanswered:
            allocator.finish_confirmation()

    async def _fetch_held_permits(self, vm_id: str, team: str) -> HeldPermits | None:
        try:
            answer = await self.services.peers.request(
                vm_id, GetHeldPermits(team), HELD_PERMITS_TIMEOUT_S
            )
        except InvalidRequest:
            # A VM without the keeper role holds no permits.
            return HeldPermits(vm_id, 0, 0)
        except CodedError:
            return None
        return answer if isinstance(answer, HeldPermits) else None

    async def _handle_usage(self, sender_vm_id: str, request: GetUsage) -> TeamUsage:
        settings = self._team_settings(request.team)
        account = await self._get_account(settings)
        return self._make_usage(account, settings)

    def _make_usage(self, account: _Account, settings: TeamSettings) -> TeamUsage:
        bounds = settings.budget
        budget = account.budget
        left_s = self._period_left_s(bounds.period_s)
        spent = budget.spent_tokens
        expected = account.forecast.tokens_at_end(spent, left_s)
        permits = self._allocators.get(settings.team)
        return TeamUsage(
            team=settings.team,
            bound_tokens=bounds.tokens_per_period,
            spent_tokens=spent,
            granted_tokens=budget.committed_tokens - spent,
            forecast_tokens=expected,
            period_s=bounds.period_s,
            period_left_s=left_s,
            tokens_per_s=account.forecast.tokens_per_s(),
            concurrent_requests=permits[1].in_use if permits is not None else 0,
            concurrent_bound=bounds.concurrent_requests,
            warning=spent >= bounds.warn_ratio * bounds.tokens_per_period,
            exhausted=spent >= bounds.tokens_per_period,
        )

    async def close(self) -> None:
        """Cancel the background tasks."""
        for task in list(self._confirm_tasks):
            task.cancel()
        for account in self._accounts.values():
            if account.ceiling_task is not None:
                account.ceiling_task.cancel()

    async def _check_budgets(self) -> None:
        """Publish the metrics of all owned budgets, and warn once per period."""
        for settings in self.services.settings.teams():
            shards = self.services.shards
            if not shards.may_act(shards.shard_of(settings.team)):
                self._accounts.pop(settings.team, None)
                self._allocators.pop(settings.team, None)
                continue
            try:
                account = await self._get_account(settings)
            except CodedError as error:
                logger.debug(
                    "limits: budget of {} not loaded: {}", settings.team, error.reason
                )
                continue
            now_s = self.services.timer.now_s()
            account.forecast.observe(now_s, account.budget.spent_tokens)
            self._publish_metrics(account, self._make_usage(account, settings))

    def _publish_metrics(self, account: _Account, usage: TeamUsage) -> None:
        metrics = self.services.metrics
        team = usage.team
        metrics.set("team_spent_tokens", usage.spent_tokens, team=team)
        metrics.set("team_bound_tokens", usage.bound_tokens, team=team)
        metrics.set("team_forecast_tokens", usage.forecast_tokens, team=team)
        metrics.set("team_budget_warning", int(usage.warning), team=team)
        period = account.budget.record.period
        if not usage.warning or account.warned_period == period:
            return
        account.warned_period = period
        logger.warning(
            "limits: team {} has spent {} of {} tokens",
            team,
            usage.spent_tokens,
            usage.bound_tokens,
        )
