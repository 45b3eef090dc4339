"""greengagetack.batches.dispatcher: dispatches the items of open jobs to replicas."""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable

from loguru import logger

from greengagetack.batches.checkpoint import Checkpoints
from greengagetack.batches.ending import departing_runs, ending_replicas
from greengagetack.batches.engine_properties import EngineProperties
from greengagetack.batches.item_placement import ItemPlacement, PlacementRound
from greengagetack.batches.item_run import RunEnd, run_item
from greengagetack.batches.job import Item, Job
from greengagetack.batches.job_run import JobRun, work_of
from greengagetack.batches.ledger import JOBS_PREFIX, Ledger, decode_job, is_expired
from greengagetack.batches.log import JobLog, LogCache
from greengagetack.batches.pace import Paces, RunningItem
from greengagetack.batches.priority import ItemSortKey, item_sort_key
from greengagetack.batches.progress import ItemProgress, ProgressSnapshot
from greengagetack.batches.resubmitted import ResubmittedGroups
from greengagetack.batches.rewards import RewardCalls
from greengagetack.batches.start_waits import StartWaits
from greengagetack.errors import CodedError
from greengagetack.gateway.call import Call, ReplicaDialect
from greengagetack.gateway.customers import CustomerDirectory
from greengagetack.gateway.forward import Forwarder
from greengagetack.gateway.routes import Route
from greengagetack.http1.pool import Pool
from greengagetack.objects.base import PlatformObject
from greengagetack.objects.feed import Feed
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.paths import ReplicaPaths
from greengagetack.replicas.permits import Permits
from greengagetack.replicas.replica import ReplicaState
from greengagetack.replicas.zone_cost import ZoneCost
from greengagetack.weights.load_timing import ModelWork

__all__ = ["Dispatcher"]

REFUSAL_PAUSE_S = 0.1
RETRY_PAUSE_S = 0.1
OPEN_RETRY_PAUSE_S = 0.2
# The store's watch usually delivers a new job within this time.
HINT_DELAY_S = 0.1
MAX_CACHED_PROGRESSES = 2_000
# Other daemons still read jobs that ended some time ago.
MAX_CLOSED_LOG_BYTES = 16 * 1024 * 1024
MS_PER_S = 1_000
BYTES_PER_KB = 1_000
# Clocks of VMs differ; items are reported as lost only once the deadline has passed on
# every clock.
TTL_MARGIN_S = 6.0
MAX_DISPATCH_INTERVAL_S = 0.25
# Weight of the newest step in a model's demand: each change of the shares costs loads.
DEMAND_SMOOTHING = 0.2
# Silence of all running items of a service that puts the path to it in doubt.
PATH_SILENCE_S = 0.5
# A run that was moved does not return to the same replica for this long.
AVOID_REPLICA_S = 1.0


class Dispatcher:
    """Runs items while this daemon holds the claim; results go to the ledger."""

    def __init__(
        self,
        ledger: Ledger,
        checkpoints: Checkpoints,
        jobs: Feed,
        fleet: Fleet,
        pool: Pool,
        dialect: ReplicaDialect,
        forwarder: Forwarder,
        permits: Permits,
        paths: ReplicaPaths,
        find_route: Callable[[str, str], Route | None],
        customers: Callable[[], CustomerDirectory],
        engine_properties: EngineProperties,
        metrics: Metrics,
        result_retention_s: float,
        zone: str = "",
        zone_cost: ZoneCost = ZoneCost(),  # noqa: B008
        record_outcome: Callable[[ReplicaState, bool], None] = lambda state, failed: (
            None
        ),
    ) -> None:
        self._record_outcome = record_outcome
        self._result_retention_s = result_retention_s
        self._ledger = ledger
        self._checkpoints = checkpoints
        self._resubmitted = ResubmittedGroups(ledger)
        self._customers = customers
        self._jobs = jobs
        self._fleet = fleet
        self._pool = pool
        self._dialect = dialect
        self._permits = permits
        self._paths = paths
        self._engine_properties = engine_properties
        self._metrics = metrics
        self._runs: dict[str, JobRun] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._item_tasks: dict[str, asyncio.Task[None]] = {}
        self._progresses: OrderedDict[str, ItemProgress] = OrderedDict()
        self._placement = ItemPlacement(
            fleet, permits, paths, engine_properties, zone, zone_cost
        )
        self._closed_logs = LogCache(MAX_CLOSED_LOG_BYTES)
        self._sealing: dict[str, JobRun] = {}
        self._seal_tasks: set[asyncio.Task[None]] = set()
        self._received_progress: dict[str, ProgressSnapshot] = {}
        self._hint_tasks: set[asyncio.Task[None]] = set()
        self._running: dict[str, tuple[JobRun, ItemProgress, str]] = {}
        self.loading_ids = self._placement.loading_ids
        self.start_waits = StartWaits()
        self.demand_tokens: dict[str, float] = {}
        self._wake_event = asyncio.Event()
        self._rewards = RewardCalls(
            fleet,
            forwarder,
            dialect,
            permits,
            find_route,
            customers,
            metrics,
            self.wake,
        )
        self._rival_until_s = float("-inf")
        self.is_active = False
        jobs.subscribe(self._on_jobs)
        fleet.subscribe(self._wake_event.set)
        fleet.subscribe_removals(self._placement.forget)

    # -- activation

    def activate(self, rival_s: float = 0.0) -> None:
        """Start running all open jobs.

        Parameters
        ----------
        rival_s : float
            For how long a former dispatcher may still commit results, in seconds.
        """
        if self.is_active:
            return
        self.is_active = True
        self._rival_until_s = time.monotonic() + rival_s
        logger.info(
            "dispatch: this daemon runs the jobs", open_jobs=len(self.open_jobs())
        )
        for job in self.open_jobs():
            self._open_job(job)

    def deactivate(self) -> list[ProgressSnapshot]:
        """Stop all runs; return the progress of the unfinished items."""
        if not self.is_active:
            return []
        self.is_active = False
        logger.info("dispatch: this daemon no longer runs the jobs")
        self._closed_logs.clear()
        self._received_progress.clear()
        running = list(self._runs.values())
        for job_id in list(self._tasks):
            self._close_job(job_id)
        return [
            progress.snapshot()
            for run in running
            for progress in run.uncommitted()
            if progress.outputs or progress.server_failures
        ]

    def add_received_progress(self, snapshots: list[ProgressSnapshot]) -> None:
        """Keep progress received from another daemon for jobs that are opened later."""
        for snapshot in snapshots:
            known = self._received_progress.get(snapshot.item_id)
            if known is None or snapshot.is_further_than(known):
                self._received_progress[snapshot.item_id] = snapshot
        if snapshots:
            logger.info(
                "dispatch: progress received from another daemon", items=len(snapshots)
            )

    def open_jobs(self) -> list[Job]:
        """Return all known jobs that have not ended."""
        return [job for job in self._known_jobs() if not job.is_ended]

    def work_of_model(self, model: str) -> ModelWork:
        """Return the work of a model's open jobs, for the timing of its loads."""
        return work_of(run for run in self._runs.values() if run.job.model == model)

    def _known_jobs(self) -> list[Job]:
        jobs = [decode_job(stored) for stored in self._jobs.objects.values()]
        return [job for job in jobs if job is not None]

    def job_of(self, job_id: str) -> Job | None:
        """Return a job that this daemon runs or that is in its copy of the store."""
        run = self._runs.get(job_id)
        if run is not None:
            return run.job
        stored = (
            self._jobs.objects.get(f"{JOBS_PREFIX}{job_id}") if self.is_active else None
        )
        return None if stored is None else decode_job(stored)

    def log_of(self, job_id: str) -> JobLog | None:
        """Return the committed results of a job that this daemon runs or ran."""
        if not self.is_active:
            return None
        run = self._runs.get(job_id) or self._sealing.get(job_id)
        return self._closed_logs.get(job_id) if run is None else run.log

    async def refresh_log(self, job_id: str) -> None:
        """Update the log of a job that this daemon runs if the store may be ahead.

        Raises
        ------
        PlatformUnavailable
            If the store does not answer.
        """
        run = self._runs.get(job_id) or self._sealing.get(job_id)
        if run is not None and run.may_be_behind():
            await run.refresh()

    def item_of(self, job_id: str, item_id: str) -> Item | None:
        """Return an item of a job that this daemon runs."""
        run = self._runs.get(job_id)
        return None if run is None else run.items.get(item_id)

    def _on_jobs(
        self, changed: tuple[PlatformObject, ...], gone: tuple[str, ...]
    ) -> None:
        for path in gone:
            self._close_job(path.removeprefix(JOBS_PREFIX))
        for stored in changed:
            job = decode_job(stored)
            if job is None:
                continue
            if job.is_ended:
                self._close_job(job.job_id)
            elif self.is_active:
                self._open_job(job)

    def handle_hint(self, job_id: str, is_ended: bool) -> None:
        """Handle a notice of a new or ended job, which precedes the store's watch."""
        if not self.is_active:
            return
        if is_ended:
            self._close_job(job_id)
        elif job_id not in self._tasks:
            task = asyncio.create_task(
                self._open_from_hint(job_id), name=f"hint {job_id}"
            )
            self._hint_tasks.add(task)
            task.add_done_callback(self._hint_tasks.discard)

    async def _open_from_hint(self, job_id: str) -> None:
        await asyncio.sleep(HINT_DELAY_S)
        if job_id in self._tasks or not self.is_active:
            return
        try:
            job = await self._ledger.find(job_id)
        except CodedError as error:
            logger.info(
                "dispatch: job from a hint not read",
                request_id=job_id,
                reason=error.reason,
            )
            return
        if job is not None and not job.is_ended and self.is_active:
            self._open_job(job)

    def _open_job(self, job: Job) -> None:
        if job.job_id in self._tasks:
            return
        task = asyncio.create_task(self._run_job(job), name=f"job {job.job_id}")
        self._tasks[job.job_id] = task

    def _close_job(self, job_id: str) -> None:
        task = self._tasks.pop(job_id, None)
        if task is not None:
            task.cancel()
        self._rewards.cancel_job(job_id)
        run = self._runs.pop(job_id, None)
        if run is None:
            return
        for item_id in run.unfinished:
            item_task = self._item_tasks.get(item_id)
            if item_task is not None:
                item_task.cancel()
        logger.info(
            "dispatch: job closed", request_id=job_id, unfinished=len(run.unfinished)
        )
        if self.is_active:
            self._sealing[job_id] = run
            seal = asyncio.create_task(self._seal_job(run), name=f"seal {job_id}")
            self._seal_tasks.add(seal)
            seal.add_done_callback(self._seal_tasks.discard)

    async def _seal_job(self, run: JobRun) -> None:
        job_id = run.job.job_id
        try:
            await run.seal()
        finally:
            del self._sealing[job_id]
        if len(run.log.results) == run.job.total:
            self._closed_logs.put(job_id, run.log)
        else:
            logger.warning(
                "dispatch: ended job not sealed; its log is read from the store",
                request_id=job_id,
                listed=len(run.log.results),
            )

    async def _run_job(self, job: Job) -> None:
        log = JobLog()
        while True:
            try:
                for segment in await self._ledger.segments(job.job_id, 0, job.total):
                    log.append_segment(segment)
                items = await self._ledger.items(job)
                break
            except CodedError as error:
                logger.warning(
                    "dispatch: job not read", request_id=job.job_id, reason=error.reason
                )
                await asyncio.sleep(OPEN_RETRY_PAUSE_S)
        run = JobRun(
            job,
            items,
            log,
            self._ledger,
            self._metrics,
            self._progress_of,
            lambda: self._engine_properties.tokens_per_event_of(job.service),
        )
        run.rival_until_s = self._rival_until_s
        self._runs[job.job_id] = run
        tokens = float(sum(item.tokens for item in items))
        former = self.demand_tokens.get(job.model, tokens)
        self.demand_tokens[job.model] = former + DEMAND_SMOOTHING * (tokens - former)
        logger.info(
            "dispatch: job opened",
            request_id=job.job_id,
            step=job.step,
            min_version=job.min_version,
            total=job.total,
            listed=len(log.committed_ids),
            age_ms=int(time.time() * MS_PER_S - job.submitted_ms),
        )
        self._wake_event.set()
        async with asyncio.TaskGroup() as group:
            group.create_task(run.run())
            # The run does not wait for this, because after a takeover this also reads
            # earlier jobs.
            run.required_groups = await self._resubmitted.find(
                job, items, self._known_jobs()
            )
            logger.info(
                "dispatch: resubmitted groups",
                request_id=job.job_id,
                groups=",".join(sorted(run.required_groups)),
            )

    def _progress_of(self, item: Item, job: Job) -> ItemProgress:
        known = self._progresses.get(item.item_id)
        if known is None:
            known = ItemProgress(item)
            self._progresses[item.item_id] = known
            while len(self._progresses) > MAX_CACHED_PROGRESSES:
                self._progresses.popitem(last=False)
        elif not known.has_allowed_versions(job.min_version, job.single_version):
            known.restart()
        known.start_job(item, job.job_id)
        snapshot = self._received_progress.pop(item.item_id, None)
        if snapshot is not None:
            known.continue_from(snapshot, job)
        return known

    async def save_checkpoint(self) -> None:
        """Write the progress of long items for the next dispatcher."""
        if not self.is_active:
            return
        await self._checkpoints.save(
            [progress for run in self._runs.values() for progress in run.uncommitted()]
        )

    async def load_checkpoint(self) -> None:
        """Load the progress that was last written, for jobs that are opened later."""
        self.add_received_progress(await self._checkpoints.load())

    async def delete_expired_jobs(self) -> None:
        """Delete ended jobs whose retention time has passed."""
        if not self.is_active:
            return
        now_ms = time.time() * MS_PER_S
        for job in self._known_jobs():
            if not is_expired(job, now_ms, self._result_retention_s):
                continue
            try:
                await self._ledger.delete_job(job)
            except CodedError as error:
                logger.warning(
                    "dispatch: job not removed",
                    request_id=job.job_id,
                    reason=error.reason,
                )
                return
            logger.info("dispatch: job removed", request_id=job.job_id)

    def workload(self) -> tuple[list[JobRun], Paces]:
        """Return the open jobs and the measured paces of replicas."""
        return list(self._runs.values()), self._placement.paces()

    def start_reading(self, service: str) -> PlacementRound:
        """Return a view of a service's replicas and runs that changes nothing."""
        entries = ((run.job, item, name) for run, item, name in self._running.values())
        return self._placement.start_reading(
            entry for entry in entries if entry[0].service == service
        )

    def tokens_per_event_of(self, service: str) -> int:
        """Return the number of tokens per event in a service's streams."""
        return self._engine_properties.tokens_per_event_of(service)

    # -- sending items

    def wake(self) -> None:
        """Trigger a check for items to send."""
        self._wake_event.set()

    async def run(self) -> None:
        """Send waiting items after each change, and at a fixed interval."""
        while True:
            self._wake_event.clear()
            if self.is_active:
                self._expire_items()
                for run in self._runs.values():
                    run.collect_finished()
                placement_round = self._placement.start_round(
                    (run.job, progress, replica_id)
                    for run, progress, replica_id in self._running.values()
                )
                self._send_waiting(placement_round)
                self._rewards.dispatch(self._runs.values())
                self._move_runs(placement_round)
                self._move_from_ending_replicas(placement_round)
                self._check_paths()
            try:
                async with asyncio.timeout(MAX_DISPATCH_INTERVAL_S):
                    await self._wake_event.wait()
            except TimeoutError:
                continue

    def _check_paths(self) -> None:
        """Put the path to a service in doubt whose running items are all silent."""
        now_s = time.monotonic()
        began_s: dict[str, float] = {}
        for run, progress, _ in self._running.values():
            service = run.job.service
            earliest_s = began_s.get(service, now_s)
            began_s[service] = min(earliest_s, progress.run_started_s)
        for service, since_s in began_s.items():
            self._paths.suspect_if_silent(service, since_s, PATH_SILENCE_S)

    def _expire_items(self) -> None:
        now_ms = time.time() * MS_PER_S
        for run in self._runs.values():
            age_s = (now_ms - run.job.submitted_ms) / MS_PER_S
            if (
                age_s < run.job.give_up_after_s + TTL_MARGIN_S
                or not run.job.give_up_after_s
            ):
                continue
            for progress in list(run.unfinished.values()):
                logger.warning(
                    "dispatch: item timed out and reported as lost",
                    request_id=progress.item.item_id,
                    job=run.job.job_id,
                    age_s=round(age_s, 1),
                )
                run.add_result(progress.lost_result())

    def _send_waiting(self, placement_round: PlacementRound) -> None:
        now_s = time.monotonic()
        waiting: list[tuple[ItemSortKey, JobRun, ItemProgress]] = []
        for run in self._runs.values():
            needed = run.needed_groups()
            rank = self._customers().rank_of(run.job.customer)
            for progress in run.unfinished.values():
                if progress.is_running or progress.is_complete:
                    continue
                if now_s < progress.retry_at_s:
                    continue
                group = progress.item.group
                key = item_sort_key(
                    run.due_ms,
                    group in needed,
                    group in run.required_groups,
                    self._placement.events_left(run.job, progress),
                    rank,
                )
                waiting.append((key, run, progress))
        if not waiting:
            return
        self.start_waits.record_open_items(self._runs.values())
        waiting.sort(key=lambda entry: entry[0])
        for (is_unneeded, *_), run, progress in waiting:
            if not self._can_continue(run.job, progress):
                progress.restart()
            state = placement_round.choose(run.job, progress)
            if state is None:
                continue
            placement_round.add(run.job, progress, state)
            if not is_unneeded:
                self.start_waits.record_start(run, progress)
            self._start_run(run, progress, state)

    def _move_runs(self, placement_round: PlacementRound) -> None:
        """Cancel runs on slow replicas; the next dispatch sends their items again."""
        for move in placement_round.moves():
            _, progress, _ = self._running[move.item_id]
            self._avoid_replica(progress, move.replica_id)
            state = self._fleet.get(move.replica_id)
            if move.is_silent and state is not None:
                self._record_outcome(state, True)
            self._metrics.add("moved_runs")
            task = self._item_tasks.get(move.item_id)
            if task is not None:
                task.cancel()

    def _move_from_ending_replicas(self, placement_round: PlacementRound) -> None:
        """Cancel runs on replicas that end soon, so that they resume elsewhere."""
        left_s = ending_replicas(self._fleet.all_replicas())
        if not left_s:
            return

        def find_target(item_id: str) -> str:
            run, progress, _ = self._running[item_id]
            state = placement_round.choose(run.job, progress)
            return "" if state is None else state.replica.replica_id

        running = [
            RunningItem(
                item_id, replica_id, self._placement.events_left(run.job, progress)
            )
            for item_id, (run, progress, replica_id) in self._running.items()
            if replica_id in left_s
        ]
        for item_id in departing_runs(
            running, left_s, placement_round.paces, find_target
        ):
            self._metrics.add("runs_off_ending_replicas")
            self._item_tasks[item_id].cancel()

    def _avoid_replica(self, progress: ItemProgress, replica_id: str) -> None:
        progress.avoided_replica = replica_id
        progress.avoided_until_s = time.monotonic() + AVOID_REPLICA_S

    def _can_continue(self, job: Job, progress: ItemProgress) -> bool:
        """Whether a replica that still serves may continue an item's output.

        With a single version per result, that needs the weights that generated the
        output so far.
        """
        serving = self._fleet.serving_replicas(job.service)
        if not progress.outputs or not serving:
            return True
        for state in serving:
            if not progress.may_continue_at(state.replica.software_version):
                continue
            if not job.single_version:
                return True
            if state.version_of(job.model) == progress.versions[0]:
                return True
        return False

    def _start_run(
        self, run: JobRun, progress: ItemProgress, state: ReplicaState
    ) -> None:
        progress.is_running = True
        progress.run_started_s = time.monotonic()
        self._permits.take(state)
        state.record_send()
        replica_id = state.replica.replica_id
        version = state.version_of(run.job.model)
        self._placement.prompts.record(replica_id, progress.item.group, version)
        item_id = progress.item.item_id
        if not progress.has_allowed_versions(
            run.job.min_version, run.job.single_version
        ):
            progress.restart()
        if not progress.outputs:
            progress.software = state.replica.software_version
        task = asyncio.create_task(
            self._run_item(run, progress, state), name=f"item {item_id}"
        )
        # A task that is cancelled before it first runs never executes its own cleanup.
        task.add_done_callback(lambda done: self._on_run_done(progress, state, done))
        self._item_tasks[item_id] = task
        self._running[item_id] = (run, progress, replica_id)

    def _on_run_done(
        self,
        progress: ItemProgress,
        state: ReplicaState,
        task: asyncio.Task[None],
    ) -> None:
        item_id = progress.item.item_id
        progress.is_running = False
        state.in_flight -= 1
        if self._item_tasks.get(item_id) is task:
            self._item_tasks.pop(item_id)
            self._running.pop(item_id, None)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            logger.opt(exception=error).error(
                "dispatch: run failed", request_id=item_id
            )
        self._wake_event.set()

    async def _run_item(
        self, run: JobRun, progress: ItemProgress, state: ReplicaState
    ) -> None:
        item, job = progress.item, run.job
        replica_id = state.replica.replica_id
        customers = self._customers()
        call = Call(
            item.item_id,
            b"POST",
            item.path.encode(),
            (
                (b"host", job.host.encode()),
                *((k.lower().encode(), v.encode()) for k, v in item.headers),
            ),
            item.body,
            customer=customers.sender_of_job(job.customer),
            urgency=customers.priority_of(job.customer),
        )
        started_s = time.monotonic()
        from_event = progress.last_event_id
        former_chars = progress.output_chars
        end, reason = RunEnd.BROKEN, "cancelled"
        try:
            end, reason = await run_item(
                progress,
                call,
                state,
                self._pool,
                self._dialect,
                lambda: self._placement.stall_timeout_s(replica_id),
                lambda gap_s: self._record_event(state, gap_s),
                lambda version: self._accept_version(job, progress, state, version),
            )
        finally:
            logger.info(
                "dispatch: run ended",
                request_id=item.item_id,
                job=job.job_id,
                replica=replica_id,
                end=end.value,
                reason=reason,
                events=len(progress.outputs),
                from_event=from_event,
                versions=",".join(map(str, progress.versions)),
                software=state.replica.software_version,
                ms=int((time.monotonic() - started_s) * MS_PER_S),
                in_flight=state.in_flight,
            )
            self._metrics.add("item_runs", end=end.value)
        if end is RunEnd.COMPLETED and not from_event:
            duration_s = time.monotonic() - started_s
            self.start_waits.record_duration(job.service, duration_s)
            size_bytes = len(item.body) + progress.output_chars - former_chars
            if self._placement.is_other_zone(state.replica):
                zone = state.replica.availability_zone
                kb = max(0, size_bytes) / BYTES_PER_KB
                self._metrics.add("zone_kb", kb, service=job.service, zone=zone)
        self._handle_run_end(run, progress, state, end)

    def _record_event(self, state: ReplicaState, gap_s: float) -> None:
        self._paths.record_contact(state.replica.service)
        self._placement.record_event(state.replica.replica_id, gap_s)

    def _accept_version(
        self, job: Job, progress: ItemProgress, state: ReplicaState, version: int
    ) -> bool:
        state.override_version(job.model, version)
        return progress.allows_version(version, job.min_version, job.single_version)

    def _handle_run_end(
        self, run: JobRun, progress: ItemProgress, state: ReplicaState, end: RunEnd
    ) -> None:
        """Update the item, its job and the replica after a run has ended."""
        job = run.job
        if end in (RunEnd.COMPLETED, RunEnd.FAILED, RunEnd.BROKEN):
            self._record_outcome(state, end is not RunEnd.COMPLETED)
        if end is RunEnd.COMPLETED:
            state.record_success()
            if not progress.has_allowed_versions(job.min_version, job.single_version):
                progress.restart()
            elif progress.is_finished:
                run.add_result(progress.result())
            return
        if end is RunEnd.HOPELESS:
            run.add_result(progress.lost_result())
            return
        if end is RunEnd.FAILED:
            progress.server_failures += 1
            progress.retry_at_s = time.monotonic() + RETRY_PAUSE_S
            if progress.server_failures >= job.max_attempts:
                run.add_result(progress.lost_result())
            return
        if end is RunEnd.REFUSED:
            state.record_refusal(REFUSAL_PAUSE_S)
            return
        if end is RunEnd.OTHER_VERSION:
            self._avoid_replica(progress, state.replica.replica_id)
            return
        if end is RunEnd.OTHER_REPLICA:
            state.is_gone = True
            return
        if end is RunEnd.NOT_SENT:
            self._paths.suspect(job.service)
        state.record_failure()
