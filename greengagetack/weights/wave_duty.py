"""greengagetack.weights.wave_duty: brings replicas to the versions that are named."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from loguru import logger

from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import Replica, ReplicaState
from greengagetack.weights.homes import assign_homes
from greengagetack.weights.order_lease import OrderLease
from greengagetack.weights.orders import LoadMode, LoadOrder, OrderEnd, OrderSender
from greengagetack.weights.waves import LoadCandidate, choose_loads, most_loads

__all__ = ["WaveDuty"]

TICK_S = 0.1
# A load takes about this long before the first look at its state.
FIRST_LOOK_S = 0.85
LOOK_INTERVAL_S = 0.25
# A load that is not seen to end within this time is ordered again.
LOAD_LIMIT_S = 6.0
# After an order without a known outcome the replica is asked before the next one.
UNKNOWN_PAUSE_S = 1.0
CONFLICT_PAUSE_S = 0.4


@dataclass(slots=True)
class _Load:
    """A load in progress."""

    model: str
    version: int
    ordered_s: float
    next_look_s: float


class WaveDuty:
    """Orders loads while this daemon may give orders.

    Parameters
    ----------
    named : callable
        Returns the newest named version of each model.
    services_of : callable
        Returns the services whose replicas may serve a model.
    is_single : callable
        Whether results of a model must come from one version only.
    demand : callable
        Returns the tokens that each model was asked for of late.
    loading : set of str
        Replicas that are loading, shared with the part that sends items.
    """

    def __init__(
        self,
        lease: OrderLease,
        fleet: Fleet,
        sender: OrderSender,
        named: Callable[[], dict[str, int]],
        services_of: Callable[[str], list[str]],
        is_single: Callable[[str], bool],
        demand: Callable[[], dict[str, float]],
        loading: set[str],
        on_loaded: Callable[[], None],
        metrics: Metrics,
        node: str,
    ) -> None:
        self._lease = lease
        self._fleet = fleet
        self._sender = sender
        self._named = named
        self._services_of = services_of
        self._is_single = is_single
        self._demand = demand
        self._loading = loading
        self._on_loaded = on_loaded
        self._metrics = metrics
        self._node = node
        self._loads: dict[str, _Load] = {}
        self._pauses: dict[str, float] = {}
        self._orders: dict[tuple[str, int], int] = {}
        self._busy: set[str] = set()
        self._exchanges: set[asyncio.Task[None]] = set()
        self.is_active = False
        fleet.subscribe_removals(self._on_removal)

    def _on_removal(self, replica: Replica) -> None:
        self._pauses.pop(replica.replica_id, None)
        self._orders.pop((replica.replica_id, replica.started_ms), None)

    async def run(self) -> None:
        """Keep the lease and order loads while active, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if not self.is_active:
                self._forget()
                continue
            await self._lease.keep()
            self._look_at_loads()
            if self._lease.may_order():
                self._order_loads()

    async def settled(self) -> None:
        """Wait until no order is under way any more."""
        while self._exchanges:
            await asyncio.wait(self._exchanges)

    def _forget(self) -> None:
        if self._loads:
            self._loads.clear()
            self._loading.clear()

    def _order_loads(self) -> None:
        named = self._named()
        states: dict[str, ReplicaState] = {}
        for model in named:
            for service in self._services_of(model):
                for state in self._fleet.of_service(service):
                    if not state.replica.is_draining:
                        states[state.replica.replica_id] = state
        demand = self._demand()
        homes = assign_homes(states, {name: demand.get(name, 0.0) for name in named})
        room = most_loads(len(states)) - len(self._loads)
        # The model that is furthest behind comes first.
        for model in sorted(named, key=lambda name: -self._behind(name, named, states)):
            candidates = [
                self._candidate(model, states[replica_id])
                for replica_id in homes[model]
                if states[replica_id].replica.version_of(model) is not None
            ]
            for replica_id in choose_loads(candidates, named[model], room):
                self._begin(states[replica_id], model, named[model])
                room -= 1

    def _behind(
        self, model: str, named: dict[str, int], states: dict[str, ReplicaState]
    ) -> int:
        """Return by how many versions the best replica is behind."""
        best = max((state.version_of(model) for state in states.values()), default=0)
        return named[model] - best

    def _candidate(self, model: str, state: ReplicaState) -> LoadCandidate:
        replica_id = state.replica.replica_id
        now_s = time.monotonic()
        is_paused = (
            now_s < self._pauses.get(replica_id, 0.0) or now_s < state.suspended_until_s
        )
        return LoadCandidate(
            replica_id,
            state.version_of(model),
            state.in_flight,
            replica_id in self._loads,
            replica_id in self._busy or is_paused,
        )

    def _begin(self, state: ReplicaState, model: str, version: int) -> None:
        replica_id = state.replica.replica_id
        self._loading.add(replica_id)
        now_s = time.monotonic()
        self._loads[replica_id] = _Load(model, version, now_s, now_s + FIRST_LOOK_S)
        self._spawn(replica_id, self._order(state, model, version))

    async def _order(self, state: ReplicaState, model: str, version: int) -> None:
        replica = state.replica
        replica_id = replica.replica_id
        accepted = await self._accepted_orders(state)
        if accepted is None or state.version_of(model) >= version:
            self._pauses[replica_id] = time.monotonic() + CONFLICT_PAUSE_S
            self._end(replica_id)
            return
        mode = LoadMode.WAIT if self._is_single(model) else LoadMode.RETAIN
        order = LoadOrder(model, version, mode, self._node, self._lease.fence, accepted)
        if not self._lease.may_order():
            self._end(replica_id)
            return
        self._lease.note_order()
        end = await self._sender.send(replica, order)
        self._lease.note_order()
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
            self._orders[(replica_id, replica.started_ms)] = accepted + 1
            return
        if end is OrderEnd.ALREADY_SO:
            state.record_version(model, version)
        pause_s = UNKNOWN_PAUSE_S if end is OrderEnd.UNKNOWN else CONFLICT_PAUSE_S
        self._pauses[replica_id] = time.monotonic() + pause_s
        self._end(replica_id)
        if end in (OrderEnd.CONFLICT, OrderEnd.UNKNOWN, OrderEnd.REFUSED):
            await self._read_back(state)

    async def _accepted_orders(self, state: ReplicaState) -> int | None:
        """Return how many orders a replica has accepted, None if it does not say."""
        key = (state.replica.replica_id, state.replica.started_ms)
        if key not in self._orders:
            await self._read_back(state)
        return self._orders.get(key)

    def _look_at_loads(self) -> None:
        now_s = time.monotonic()
        for replica_id, load in list(self._loads.items()):
            state = self._fleet.get(replica_id)
            if state is None or state.is_gone:
                self._end(replica_id)
                continue
            if replica_id in self._busy:
                continue
            if state.version_of(load.model) >= load.version:
                logger.info(
                    "weights: loaded",
                    replica=replica_id,
                    version=load.version,
                    ms=int((now_s - load.ordered_s) * 1000),
                )
                self._end(replica_id)
                self._on_loaded()
                continue
            if now_s - load.ordered_s > LOAD_LIMIT_S:
                logger.warning("weights: load not seen to end", replica=replica_id)
                self._end(replica_id)
                continue
            if now_s >= load.next_look_s:
                load.next_look_s = now_s + LOOK_INTERVAL_S
                self._spawn(replica_id, self._read_back(state))

    def _spawn(self, replica_id: str, work: Coroutine[Any, Any, None]) -> None:
        """Run an exchange with a replica; it counts as busy meanwhile."""
        self._busy.add(replica_id)
        task = asyncio.create_task(work)
        self._exchanges.add(task)
        task.add_done_callback(lambda done: self._exchange_ended(replica_id, done))

    def _exchange_ended(self, replica_id: str, task: asyncio.Task[None]) -> None:
        self._busy.discard(replica_id)
        self._exchanges.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            logger.opt(exception=error).error("weights: exchange failed")
            self._end(replica_id)

    async def _read_back(self, state: ReplicaState) -> None:
        """Take the versions and the number of orders that the replica reports."""
        report = await self._sender.report(state.replica)
        if report is None:
            return
        replica_id = state.replica.replica_id
        key = (replica_id, state.replica.started_ms)
        self._orders[key] = report.accepted_orders
        for model, version in report.versions.items():
            state.record_version(model, version)
        load = self._loads.get(replica_id)
        if load is None or report.is_busy:
            return
        if report.versions.get(load.model, 0) < load.version:
            # The order ended without effect, or has not begun.
            logger.info("weights: no load in progress", replica=replica_id)
            if time.monotonic() - load.ordered_s > 2 * FIRST_LOOK_S:
                self._end(replica_id)

    def _end(self, replica_id: str) -> None:
        self._loads.pop(replica_id, None)
        self._loading.discard(replica_id)
