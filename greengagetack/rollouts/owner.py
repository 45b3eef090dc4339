"""greengagetack.rollouts.owner: the role that runs the steps of owned shards."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from loguru import logger

from greengagetack.daemons.role import Role, Services, role
from greengagetack.errors import (
    CodedError,
    Conflict,
    DeadlineExceeded,
    NotFound,
    NotReady,
)
from greengagetack.observability.traces import span
from greengagetack.peers.messages import Done
from greengagetack.rollouts.completions import RoutedCompletions
from greengagetack.rollouts.concurrency import step_concurrency
from greengagetack.rollouts.delivery import deliver_groups
from greengagetack.rollouts.hedging import HedgeLimits
from greengagetack.rollouts.messages import (
    CancelStep,
    CreateStep,
    FetchedGroups,
    FetchGroups,
    JobList,
    ListJobs,
    StepProgress,
)
from greengagetack.rollouts.orders import get_dispatch_order
from greengagetack.rollouts.records import StepRecord, StepRecords
from greengagetack.rollouts.runner import StepRunner
from greengagetack.rollouts.scoring import ScorerClient
from greengagetack.rollouts.spec import StepSpec, check_step, step_key
from greengagetack.rollouts.state import StepState

__all__ = ["OwnerRole"]

SWEEP_INTERVAL_S = 0.5
NOT_OWNER_RETRY_S = 0.5


@dataclass
class _RunningStep:
    record: StepRecord
    runner: StepRunner
    deadline_s: float


@role
class OwnerRole(Role):
    """Runs the steps of shards that this VM owns, or takes over as backup."""

    name = "owner"

    def __init__(self, services: Services) -> None:
        super().__init__(services)
        self._records = StepRecords(services.shards)
        self._completions = RoutedCompletions(services)
        self._scorer = ScorerClient(services)
        self._steps: dict[str, _RunningStep] = {}
        self._start_lock = asyncio.Lock()
        self._is_drained = False

    async def start(self) -> None:
        """Register the message handlers and the periodic sweep over shards."""
        peers = self.services.peers
        peers.handle(CreateStep, self._create)
        peers.handle(FetchGroups, self._fetch)
        peers.handle(CancelStep, self._cancel)
        peers.handle(ListJobs, self._list)
        self.services.timer.subscribe(SWEEP_INTERVAL_S, self._sweep, "owner sweep")

    async def drain(self) -> None:
        """Stop dispatching; requests at keepers go on for the next owner."""
        self._is_drained = True
        for step in self._steps.values():
            await step.runner.stop(cancel_requests=False)
            step.runner.notify()
        self._steps.clear()

    async def close(self) -> None:
        """Stop all runners."""
        await self.drain()

    def _acts_for_job(self, team: str, job: str) -> bool:
        shard = self._records.shard_of(team, job)
        return not self._is_drained and self.services.shards.runs_jobs(shard)

    def _require_ownership(self, team: str, job: str) -> None:
        if not self._acts_for_job(team, job):
            raise NotReady(f"this VM does not own job {job}", NOT_OWNER_RETRY_S)

    async def _create(self, sender_vm_id: str, request: CreateStep) -> Done:
        spec = request.spec
        check_step(spec)
        self._require_ownership(spec.team, spec.job)
        key = step_key(spec.team, spec.job, spec.step)
        existing = self._find_record(key, spec)
        if existing is not None:
            if existing.spec != spec:
                raise Conflict(f"step {key} already exists with different content")
            return Done()
        record = StepRecord(spec, self.services.timer.wall_s())
        await self._records.put_step(record)
        logger.info("owner: step {} created with {} groups", key, len(spec.groups))
        await self._start_step(record)
        return Done()

    def _find_record(self, key: str, spec: StepSpec) -> StepRecord | None:
        shard = self._records.shard_of(spec.team, spec.job)
        for record in self._records.steps(shard):
            if step_key(record.spec.team, record.spec.job, record.spec.step) == key:
                return record
        return None

    async def _start_step(self, record: StepRecord) -> None:
        spec = record.spec
        key = step_key(spec.team, spec.job, spec.step)
        async with self._start_lock:
            if key in self._steps or record.cancelled:
                return
            step = self._new_step(record)
            self._steps[key] = step
        await self._completions.load_held_requests(key)
        step.runner.start()

    def _new_step(self, record: StepRecord) -> _RunningStep:
        spec = record.spec
        timer = self.services.timer
        age_s = max(0.0, timer.wall_s() - record.created_wall_s)
        deadline_s = timer.now_s() + spec.deadline_s - age_s
        rollouts = self.services.settings.fleet().rollouts
        state = StepState(spec, get_dispatch_order(rollouts.order))
        for sample in self._records.samples(spec):
            state.add_finished(sample)
        runner = StepRunner(
            state,
            self._records,
            self._completions,
            self._scorer.score,
            self._concurrency_limit(spec.model),
            timer,
            lambda: deadline_s - timer.now_s(),
            HedgeLimits(rollouts.hedge_waste_ratio, rollouts.straggler_factor),
        )
        return _RunningStep(record, runner, deadline_s)

    def _concurrency_limit(self, model: str) -> Callable[[], int]:
        def concurrency() -> int:
            endpoints = self.services.directory.endpoints_serving(model)
            slots = sum(endpoint.slots for endpoint in endpoints)
            runners = (step.runner for step in self._steps.values())
            return step_concurrency(slots, runners)

        return concurrency

    async def _sweep(self) -> None:
        """Take over steps of gained shards and drop steps of lost shards."""
        await self._drop_lost_steps()
        if self._is_drained:
            return
        shards = self.services.shards
        for shard in range(self.services.settings.fleet().shard_count):
            if not shards.runs_jobs(shard):
                continue
            for record in self._records.steps(shard):
                await self._expire_or_take_over(record)

    async def _expire_or_take_over(self, record: StepRecord) -> None:
        spec = record.spec
        key = step_key(spec.team, spec.job, spec.step)
        retention_s = self.services.settings.fleet().rollouts.retention_s
        age_s = self.services.timer.wall_s() - record.created_wall_s
        if age_s > spec.deadline_s + retention_s:
            await self._delete_step(key, spec)
            return
        if key in self._steps or record.cancelled:
            return
        logger.info("owner: step {} taken over", key)
        await self._start_step(record)

    async def _delete_step(self, key: str, spec: StepSpec) -> None:
        step = self._steps.pop(key, None)
        if step is not None:
            await step.runner.stop(cancel_requests=True)
        await self._records.delete_step(spec)

    async def _drop_lost_steps(self) -> None:
        for key, step in list(self._steps.items()):
            spec = step.record.spec
            if self._acts_for_job(spec.team, spec.job):
                continue
            logger.info("owner: step {} handed over", key)
            del self._steps[key]
            await step.runner.stop(cancel_requests=False)

    async def _fetch(self, sender_vm_id: str, request: FetchGroups) -> FetchedGroups:
        self._require_ownership(request.team, request.job)
        key = step_key(request.team, request.job, request.step)
        step = self._steps.get(key)
        if step is None:
            raise self._missing_step_error(request.team, request.job, key)
        with span("owner.fetch", team=request.team):
            answer = await deliver_groups(
                step.runner,
                self._records,
                request,
                self.services.timer,
                lambda: step.deadline_s - self.services.timer.now_s(),
            )
        self._require_ownership(request.team, request.job)
        return answer

    def _missing_step_error(self, team: str, job: str, key: str) -> CodedError:
        shard = self._records.shard_of(team, job)
        for record in self._records.steps(shard):
            spec = record.spec
            if step_key(spec.team, spec.job, spec.step) != key:
                continue
            if record.cancelled:
                return DeadlineExceeded(f"step {key} was cancelled")
            return NotReady(f"takeover of step {key} in progress", NOT_OWNER_RETRY_S)
        return NotFound(f"step {key} does not exist")

    async def _cancel(self, sender_vm_id: str, request: CancelStep) -> Done:
        self._require_ownership(request.team, request.job)
        key = step_key(request.team, request.job, request.step)
        step = self._steps.pop(key, None)
        if step is None:
            raise self._missing_step_error(request.team, request.job, key)
        await step.runner.stop(cancel_requests=True)
        spec = step.record.spec
        await self._records.delete_step(spec)
        tombstone = replace(
            step.record, spec=replace(spec, groups=spec.groups[:1]), cancelled=True
        )
        await self._records.put_step(tombstone)
        logger.info("owner: step {} cancelled by its trainer", key)
        return Done()

    async def _list(self, sender_vm_id: str, request: ListJobs) -> JobList:
        progress = [
            self._progress(step)
            for step in self._steps.values()
            if request.team in ("", step.record.spec.team)
        ]
        return JobList(tuple(progress))

    def _progress(self, step: _RunningStep) -> StepProgress:
        state = step.runner.state
        spec = state.spec
        expired = step.deadline_s < self.services.timer.now_s()
        unfinished_state = "expired" if expired else "running"
        return StepProgress(
            team=spec.team,
            job=spec.job,
            step=spec.step,
            state="complete" if state.complete else unfinished_state,
            owner_vm_id=self.services.vm.vm_id,
            samples=len(spec.groups) * spec.samples_per_group,
            finished_samples=state.finished_samples,
            groups=len(spec.groups),
            finished_groups=state.finished_groups,
            in_flight=state.in_flight,
            tokens=state.tokens,
            wasted_tokens=state.wasted_tokens,
            remade_samples=state.remade_samples,
            age_s=self.services.timer.wall_s() - step.record.created_wall_s,
        )
