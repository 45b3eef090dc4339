"""greengagetack.weights.load_scheduler: loads requested weight versions on replicas."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from loguru import logger

from greengagetack.coordination.duty_lease import DutyLease
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import Replica, ReplicaState
from greengagetack.weights.assignment import assign_replicas, newest_models
from greengagetack.weights.load_concurrency import LoadConcurrency
from greengagetack.weights.load_selection import (
    LoadCandidate,
    choose_loads,
    max_concurrent_loads_of_model,
)
from greengagetack.weights.load_timing import LoadTiming, ModelWork
from greengagetack.weights.orders import LoadMode, LoadOrder, OrderEnd, OrderSender

__all__ = ["LoadScheduler"]

TICK_INTERVAL_S = 0.1
# A load takes about this long; its state is first polled after this time.
FIRST_POLL_DELAY_S = 0.85
POLL_INTERVAL_S = 0.25
# A load that is not seen to finish within this time is ordered again.
LOAD_TIMEOUT_S = 6.0
# Pause after an order with unknown outcome; the replica's state is read before the next
# order.
UNKNOWN_PAUSE_S = 1.0
CONFLICT_PAUSE_S = 0.4


@dataclass(slots=True)
class _Load:
    """A load in progress."""

    model: str
    version: int
    ordered_s: float
    next_poll_s: float


class LoadScheduler:
    """Orders loads while this daemon holds the order lease.

    Parameters
    ----------
    requested_versions : callable
        Returns the newest requested version of each model.
    services_of : callable
        Returns the services whose replicas may serve a model.
    requires_single_version : callable
        Returns whether each result of a model must come from a single version.
    demand_tokens : callable
        Returns the recently requested tokens of each model.
    work_of : callable
        Returns the work of a model's open jobs.
    loading_ids : set of str
        Replicas that are loading, shared with the dispatcher.
    """

    def __init__(
        self,
        lease: DutyLease,
        fleet: Fleet,
        sender: OrderSender,
        requested_versions: Callable[[], dict[str, int]],
        services_of: Callable[[str], list[str]],
        requires_single_version: Callable[[str], bool],
        demand_tokens: Callable[[], dict[str, float]],
        work_of: Callable[[str], ModelWork],
        loading_ids: set[str],
        on_loaded: Callable[[], None],
        metrics: Metrics,
        node: str,
    ) -> None:
        self._lease = lease
        self._fleet = fleet
        self._sender = sender
        self._requested_versions = requested_versions
        self._services_of = services_of
        self._requires_single_version = requires_single_version
        self._demand_tokens = demand_tokens
        self._work_of = work_of
        self._timing = LoadTiming()
        self._concurrency = LoadConcurrency()
        # The model that each replica was last assigned to.
        self._models: dict[str, str] = {}
        self._loading_ids = loading_ids
        self._on_loaded = on_loaded
        self._metrics = metrics
        self._node = node
        self._loads: dict[str, _Load] = {}
        self._paused_until_s: dict[str, float] = {}
        self._accepted_counts: dict[tuple[str, int], int] = {}
        self._busy_ids: set[str] = set()
        self._exchanges: set[asyncio.Task[None]] = set()
        self.is_active = False
        fleet.subscribe_removals(self._on_removal)

    def _on_removal(self, replica: Replica) -> None:
        self._paused_until_s.pop(replica.replica_id, None)
        self._accepted_counts.pop((replica.replica_id, replica.started_ms), None)

    async def run(self) -> None:
        """Maintain the lease and order loads while active, until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            if not self.is_active:
                self._clear_loads()
                continue
            await self._lease.maintain()
            self._check_loads()
            if self._lease.may_act():
                self._order_loads()

    async def wait_idle(self) -> None:
        """Wait until no exchange with a replica is in progress."""
        while self._exchanges:
            await asyncio.wait(self._exchanges)

    def _clear_loads(self) -> None:
        self._models = {}
        if self._loads:
            self._loads.clear()
            self._loading_ids.clear()

    def _order_loads(self) -> None:
        requested = self._requested_versions()
        states: dict[str, ReplicaState] = {}
        for model in requested:
            for service in self._services_of(model):
                for state in self._fleet.replicas_of_service(service):
                    if state.is_serving:
                        states[state.replica.replica_id] = state
        demand = self._demand_tokens()
        if not self._models:
            # A new dispatcher goes on with the loads of the one before.
            self._models = newest_models(
                {
                    replica_id: {name: state.version_of(name) for name in requested}
                    for replica_id, state in states.items()
                },
                requested,
            )
        assigned = assign_replicas(
            states,
            {name: demand.get(name, 0.0) for name in requested},
            self._models,
        )
        self._models = {
            replica_id: model
            for model, replica_ids in assigned.items()
            for replica_id in replica_ids
        }
        load_budget = self._concurrency.limit(len(states)) - len(self._loads)
        # The model with the largest version lag comes first.
        for model in sorted(
            requested, key=lambda name: -self._version_lag(name, requested, states)
        ):
            members = [
                states[replica_id]
                for replica_id in assigned[model]
                if states[replica_id].replica.version_of(model) is not None
            ]
            model_budget = self._model_budget(model, len(members))
            candidates = self._loadable(model, requested[model], members)
            for replica_id in choose_loads(
                candidates, requested[model], min(load_budget, model_budget)
            ):
                self._start_load(states[replica_id], model, requested[model])
                load_budget -= 1

    def _model_budget(self, model: str, replica_count: int) -> int:
        """Return how many more replicas of a model may start to load."""
        loading = sum(load.model == model for load in self._loads.values())
        return max_concurrent_loads_of_model(replica_count) - loading

    def _loadable(
        self, model: str, version: int, members: list[ReplicaState]
    ) -> list[LoadCandidate]:
        """Return the replicas of a model that need not run items before they load."""
        # A load that waits for its replica's runs would wait for the items as well.
        if self._requires_single_version(model):
            return [self._candidate(model, state) for state in members]
        now_s = time.monotonic()
        work = self._work_of(model)
        self._timing.observe(model, version, work, now_s)
        return [
            self._candidate(model, state)
            for state in members
            if not self._timing.is_postponed(
                model, state.version_of(model), work, now_s
            )
        ]

    def _version_lag(
        self, model: str, requested: dict[str, int], states: dict[str, ReplicaState]
    ) -> int:
        """Return how many versions the most recent replica of a model lags behind."""
        best = max((state.version_of(model) for state in states.values()), default=0)
        return requested[model] - best

    def _candidate(self, model: str, state: ReplicaState) -> LoadCandidate:
        replica_id = state.replica.replica_id
        now_s = time.monotonic()
        is_paused = (
            now_s < self._paused_until_s.get(replica_id, 0.0)
            or now_s < state.suspended_until_s
        )
        return LoadCandidate(
            replica_id,
            state.version_of(model),
            state.in_flight,
            replica_id in self._loads,
            replica_id in self._busy_ids or is_paused,
        )

    def _start_load(self, state: ReplicaState, model: str, version: int) -> None:
        replica_id = state.replica.replica_id
        self._loading_ids.add(replica_id)
        now_s = time.monotonic()
        self._loads[replica_id] = _Load(
            model, version, now_s, now_s + FIRST_POLL_DELAY_S
        )
        self._start_exchange(replica_id, self._send_order(state, model, version))

    async def _send_order(self, state: ReplicaState, model: str, version: int) -> None:
        replica = state.replica
        replica_id = replica.replica_id
        accepted = await self._accepted_orders(state)
        if accepted is None or state.version_of(model) >= version:
            self._paused_until_s[replica_id] = time.monotonic() + CONFLICT_PAUSE_S
            self._clear_load(replica_id)
            return
        mode = (
            LoadMode.WAIT if self._requires_single_version(model) else LoadMode.RETAIN
        )
        order = LoadOrder(model, version, mode, self._node, self._lease.fence, accepted)
        if not self._lease.may_act():
            self._clear_load(replica_id)
            return
        self._lease.record_call()
        end = await self._sender.send(replica, order, self._lease.may_act)
        self._lease.record_call()
        logger.info(
            "weights: order sent",
            replica=replica_id,
            model=model,
            version=version,
            from_version=state.version_of(model),
            fence=order.fence,
            expected_orders=accepted,
            in_flight=state.in_flight,
            end=end.value,
        )
        self._metrics.add("load_orders", end=end.value)
        if end is OrderEnd.ACCEPTED:
            self._accepted_counts[(replica_id, replica.started_ms)] = accepted + 1
            return
        if end is OrderEnd.ALREADY_SO:
            state.record_version(model, version)
        pause_s = UNKNOWN_PAUSE_S if end is OrderEnd.UNKNOWN else CONFLICT_PAUSE_S
        self._paused_until_s[replica_id] = time.monotonic() + pause_s
        self._clear_load(replica_id)
        if end in (OrderEnd.CONFLICT, OrderEnd.UNKNOWN, OrderEnd.REFUSED):
            await self._update_from_report(state)

    async def _accepted_orders(self, state: ReplicaState) -> int | None:
        """Return how many orders a replica has accepted, None if it is unknown."""
        key = (state.replica.replica_id, state.replica.started_ms)
        if key not in self._accepted_counts:
            await self._update_from_report(state)
        return self._accepted_counts.get(key)

    def _check_loads(self) -> None:
        now_s = time.monotonic()
        for replica_id, load in list(self._loads.items()):
            state = self._fleet.get(replica_id)
            if state is None or state.is_gone:
                self._clear_load(replica_id)
                continue
            if replica_id in self._busy_ids:
                continue
            if state.version_of(load.model) >= load.version:
                # Loads that ended sooner are not told apart: polling begins then.
                load_s = max(FIRST_POLL_DELAY_S, now_s - load.ordered_s)
                self._concurrency.record(load_s, len(self._loads))
                logger.info(
                    "weights: loaded",
                    replica=replica_id,
                    version=load.version,
                    ms=int((now_s - load.ordered_s) * 1000),
                )
                self._clear_load(replica_id)
                self._on_loaded()
                continue
            if now_s - load.ordered_s > LOAD_TIMEOUT_S:
                logger.warning(
                    "weights: load not confirmed within the time limit",
                    replica=replica_id,
                )
                self._clear_load(replica_id)
                continue
            if now_s >= load.next_poll_s:
                load.next_poll_s = now_s + POLL_INTERVAL_S
                self._start_exchange(replica_id, self._update_from_report(state))

    def _start_exchange(self, replica_id: str, work: Coroutine[Any, Any, None]) -> None:
        """Start an exchange with a replica, which counts as busy until it ends."""
        self._busy_ids.add(replica_id)
        task = asyncio.create_task(work)
        self._exchanges.add(task)
        task.add_done_callback(lambda done: self._on_exchange_done(replica_id, done))

    def _on_exchange_done(self, replica_id: str, task: asyncio.Task[None]) -> None:
        self._busy_ids.discard(replica_id)
        self._exchanges.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            logger.opt(exception=error).error("weights: exchange with a replica failed")
            self._clear_load(replica_id)

    async def _update_from_report(self, state: ReplicaState) -> None:
        """Update the versions and order count from the replica's report."""
        report = await self._sender.report(state.replica)
        if report is None:
            return
        if report.is_leaving:
            state.record_leaving()
        replica_id = state.replica.replica_id
        key = (replica_id, state.replica.started_ms)
        self._accepted_counts[key] = report.accepted_orders
        for model, version in report.versions.items():
            state.record_version(model, version)
        load = self._loads.get(replica_id)
        if load is None or report.is_busy:
            return
        if report.versions.get(load.model, 0) < load.version:
            # The order ended without effect or has not started yet.
            logger.info("weights: no load in progress", replica=replica_id)
            if time.monotonic() - load.ordered_s > 2 * FIRST_POLL_DELAY_S:
                self._clear_load(replica_id)

    def _clear_load(self, replica_id: str) -> None:
        self._loads.pop(replica_id, None)
        self._loading_ids.discard(replica_id)
