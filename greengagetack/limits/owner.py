"""greengagetack.limits.owner: the role that owns teams' budgets."""

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
from greengagetack.limits.budget import BudgetRecord, TeamBudget, period_of
from greengagetack.limits.ceiling import CeilingStore, block_tokens
from greengagetack.limits.forecast import SpendForecast
from greengagetack.limits.messages import (
    GetUsage,
    HeldPermits,
    PermitShare,
    SharePermits,
    Slice,
    SliceReports,
    TakeSlice,
    TeamUsage,
    TellPermits,
)
from greengagetack.limits.permits import PermitBook
from greengagetack.peers.messages import Done
from greengagetack.settings.schema import TeamSettings

__all__ = ["BudgetRole"]

KIND = "budget"
NOT_OWNER_RETRY_S = 0.5
RETURNS_RETRY_S = 2.0
ASK_TIMEOUT_S = 1.0
CONFIRM_PAUSE_S = 0.3
WATCH_INTERVAL_S = 2.0


class _Account:
    """A team's budget while this VM owns it, in one epoch of its shard."""

    def __init__(self, epoch: int, budget: TeamBudget, period_s: float) -> None:
        self.epoch = epoch
        self.budget = budget
        self.forecast = SpendForecast(period_s)
        self.lock = asyncio.Lock()
        self.warned_period = -1
        self.raising: asyncio.Task[None] | None = None


@role
class BudgetRole(Role):
    """Hands slices and permits of the budgets whose shards this VM owns.

    It grants only while it surely is the only owner, and a slice is recorded
    at the backup before it is told.
    """

    name = "budgets"
    started_by = "owner"

    def __init__(self, services: Services) -> None:
        super().__init__(services)
        self._accounts: dict[str, _Account] = {}
        self._permits: dict[str, tuple[int, PermitBook]] = {}
        self._loading = asyncio.Lock()
        self._confirming: set[asyncio.Task[None]] = set()
        self._ceilings = CeilingStore(services.platform)

    async def start(self) -> None:
        """Serve keepers and watch the budgets."""
        peers = self.services.peers
        peers.handle(TakeSlice, self._take_slice)
        peers.handle(SliceReports, self._take_reports)
        peers.handle(SharePermits, self._share_permits)
        peers.handle(GetUsage, self._usage)
        self.services.timer.subscribe(WATCH_INTERVAL_S, self._watch, "budgets")

    def _team(self, team: str) -> TeamSettings:
        settings = self.services.settings.team(team)
        if settings is None:
            raise NotFound(f"there is no team {team!r}")
        return settings

    def _require_owner(self, team: str) -> int:
        shards = self.services.shards
        shard = shards.shard_of(team)
        if not shards.may_act(shard):
            raise OwnerUnavailable(
                f"the budget of {team} is not owned here", NOT_OWNER_RETRY_S
            )
        return shard

    def _period_left_s(self, period_s: float) -> float:
        return period_s - self.services.timer.wall_s() % period_s

    async def _account(self, settings: TeamSettings) -> _Account:
        team = settings.team
        shard = self._require_owner(team)
        epoch = self.services.shards.epoch(shard)
        async with self._loading:
            account = self._accounts.get(team)
            if account is None or account.epoch != epoch:
                record = await self._load(shard, settings)
                timer = self.services.timer
                budget = TeamBudget(record, timer.now_s(), timer.wall_s())
                account = _Account(epoch, budget, settings.budget.period_s)
                self._accounts[team] = account
        period = period_of(self.services.timer.wall_s(), settings.budget.period_s)
        account.budget.enter_period(period, self.services.timer.now_s())
        return account

    async def _load(self, shard: int, settings: TeamSettings) -> BudgetRecord:
        team = settings.team
        data = self.services.shards.get(shard, KIND, team)
        if data:
            return BudgetRecord.from_bytes(data)
        period = period_of(self.services.timer.wall_s(), settings.budget.period_s)
        if not self.services.shards.epoch_started_fresh(shard):
            return BudgetRecord(team, period)
        ceiling = await self._ceilings.read(team)
        if ceiling is None or ceiling.period < period:
            return BudgetRecord(team, period)
        logger.warning("limits: records of {} lost, counting the ceiling", team)
        return BudgetRecord(
            team, ceiling.period, ceiling.ceiling_tokens, ceiling.ceiling_tokens
        )

    async def _store(self, account: _Account) -> None:
        record = account.budget.record
        shard = self._require_owner(record.team)
        await self.services.shards.put(
            shard, KIND, record.team, record.to_bytes(), need_backup=True
        )

    async def _take_slice(self, sender_vm_id: str, request: TakeSlice) -> Slice:
        if request.need_tokens < 1 or request.want_tokens < request.need_tokens:
            raise InvalidRequest("need_tokens must be from 1 to want_tokens")
        settings = self._team(request.team)
        account = await self._account(settings)
        async with account.lock:
            return await self._grant(account, settings, request)

    async def _grant(
        self, account: _Account, settings: TeamSettings, request: TakeSlice
    ) -> Slice:
        budget = account.budget
        now_s = self.services.timer.now_s()
        known = budget.find(request.slice_id)
        if known is not None:
            life_s = budget.remaining_life_s(known, now_s)
            return Slice(known.slice_id, known.tokens, life_s)
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
            raise self._exhausted(account, settings, request.need_tokens)
        self._raise_ceiling_ahead(account, bound)
        try:
            await self._store(account)
        except CodedError:
            budget.withdraw(item.slice_id)
            raise
        self.services.metrics.add(
            "budget_granted_tokens_total", item.tokens, team=request.team
        )
        return Slice(item.slice_id, item.tokens, item.life_s)

    def _raise_ceiling_ahead(self, account: _Account, bound: int) -> None:
        """Tell the platform in the background; grants never wait for it."""
        budget = account.budget
        half_block = block_tokens(bound) // 2
        if budget.committed_tokens + half_block <= budget.record.ceiling_tokens:
            return
        if account.raising is None or account.raising.done():
            account.raising = asyncio.create_task(self._raise_ceiling(account, bound))

    async def _raise_ceiling(self, account: _Account, bound: int) -> None:
        budget = account.budget
        record = budget.record
        ceiling = await self._ceilings.raise_to(
            record.team, record.period, budget.committed_tokens, bound
        )
        if ceiling is not None:
            budget.ceiling_raised(record.period, ceiling)

    def _exhausted(
        self, account: _Account, settings: TeamSettings, need_tokens: int
    ) -> BudgetExhausted:
        budget = settings.budget
        spent = account.budget.spent_tokens
        left_s = self._period_left_s(budget.period_s)
        if spent + need_tokens <= budget.tokens_per_period:
            # Keepers hold the rest and give back what they do not use.
            left_s = min(left_s, RETURNS_RETRY_S)
        return BudgetExhausted(
            f"{settings.team} has spent {spent} of {budget.tokens_per_period} tokens "
            f"of this period and {account.budget.open_tokens} are set aside",
            left_s,
        )

    async def _take_reports(self, sender_vm_id: str, request: SliceReports) -> Done:
        settings = self._team(request.team)
        account = await self._account(settings)
        async with account.lock:
            before = account.budget.record
            changed = False
            for report in request.reports:
                changed = account.budget.report(report) or changed
            if changed:
                try:
                    await self._store(account)
                except CodedError:
                    account.budget.record = before
                    raise
        return Done()

    async def _share_permits(
        self, sender_vm_id: str, request: SharePermits
    ) -> PermitShare:
        settings = self._team(request.team)
        shard = self._require_owner(request.team)
        epoch = self.services.shards.epoch(shard)
        now_s = self.services.timer.now_s
        known = self._permits.get(request.team)
        if known is None or known[0] != epoch:
            known = (epoch, PermitBook(now_s()))
            self._permits[request.team] = known
            await self._confirm_permits(request.team, known[1])
        bound = settings.budget.concurrent_requests
        return known[1].share(request, bound, now_s())

    async def _confirm_permits(self, team: str, book: PermitBook) -> None:
        """Ask all members what they hold from a former owner."""
        members = [vm.vm_id for vm in self.services.directory.table().members]
        silent = await self._confirm_round(team, book, members)
        if not silent:
            book.all_told()
        else:
            task = asyncio.create_task(self._confirm_later(team, book, silent))
            self._confirming.add(task)
            task.add_done_callback(self._confirming.discard)

    async def _confirm_round(
        self, team: str, book: PermitBook, vm_ids: list[str]
    ) -> list[str]:
        """Ask some members once, and return those that have not told.

        A lost member never tells; its shares end by their life.
        """
        answers = await asyncio.gather(
            *(self._ask_permits(vm_id, team) for vm_id in vm_ids)
        )
        silent = []
        for vm_id, answer in zip(vm_ids, answers, strict=True):
            if answer is None:
                silent.append(vm_id)
                continue
            book.confirm(answer, self.services.timer.now_s())
        return silent

    async def _confirm_later(
        self, team: str, book: PermitBook, silent: list[str]
    ) -> None:
        """Ask again until all have told or the former shares have ended."""
        while silent and book.confirming(self.services.timer.now_s()):
            await self.services.timer.sleep(CONFIRM_PAUSE_S)
            silent = await self._confirm_round(team, book, silent)
        if not silent:
            book.all_told()

    async def _ask_permits(self, vm_id: str, team: str) -> HeldPermits | None:
        try:
            answer = await self.services.peers.request(
                vm_id, TellPermits(team), ASK_TIMEOUT_S
            )
        except InvalidRequest:
            # A VM without the keeper role holds none.
            return HeldPermits(vm_id, 0, 0)
        except CodedError:
            return None
        return answer if isinstance(answer, HeldPermits) else None

    async def _usage(self, sender_vm_id: str, request: GetUsage) -> TeamUsage:
        settings = self._team(request.team)
        account = await self._account(settings)
        return self._describe(account, settings)

    def _describe(self, account: _Account, settings: TeamSettings) -> TeamUsage:
        bounds = settings.budget
        budget = account.budget
        left_s = self._period_left_s(bounds.period_s)
        spent = budget.spent_tokens
        expected = account.forecast.at_end(spent, left_s)
        permits = self._permits.get(settings.team)
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
        """Stop what runs in the background."""
        for task in list(self._confirming):
            task.cancel()
        for account in self._accounts.values():
            if account.raising is not None:
                account.raising.cancel()

    async def _watch(self) -> None:
        """Publish the state of all owned budgets, and warn once a period."""
        for settings in self.services.settings.teams():
            shards = self.services.shards
            if not shards.may_act(shards.shard_of(settings.team)):
                self._accounts.pop(settings.team, None)
                self._permits.pop(settings.team, None)
                continue
            try:
                account = await self._account(settings)
            except CodedError as error:
                logger.debug("limits: {} not loaded: {}", settings.team, error.reason)
                continue
            now_s = self.services.timer.now_s()
            account.forecast.observe(now_s, account.budget.spent_tokens)
            self._publish(account, self._describe(account, settings))

    def _publish(self, account: _Account, usage: TeamUsage) -> None:
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
            "limits: {} has spent {} of {} tokens",
            team,
            usage.spent_tokens,
            usage.bound_tokens,
        )
