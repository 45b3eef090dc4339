"""greengagetack.weights.rollout: rolls out a version to the engines of one model."""

import asyncio

from loguru import logger

from greengagetack.daemons.role import Services
from greengagetack.engines.state import OrderKind
from greengagetack.errors import CodedError
from greengagetack.keeper.messages import EndpointLoad, ProbeEndpoints, ProbeReply
from greengagetack.settings.schema import ModelSettings
from greengagetack.weights.messages import (
    OrderEndpoint,
    ReplicaState,
    ReplicaStatus,
    RolloutStatus,
)
from greengagetack.weights.plan import NextOrder, Replica, next_orders
from greengagetack.weights.record import RolloutRecord

__all__ = ["ModelRollout"]

ORDER_TIMEOUT_S = 70.0
PROBE_TIMEOUT_S = 1.0
VERSION_CHECK_INTERVAL_S = 2.0


class ModelRollout:
    """Orders prefetches and activations of one model through the keepers.

    Parameters
    ----------
    record : RolloutRecord
        The version to roll out.
    services : Services
        Services of the daemon.
    """

    def __init__(self, record: RolloutRecord, services: Services) -> None:
        self.record = record
        self._services = services
        self._replicas: dict[str, Replica] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_check_s = -VERSION_CHECK_INTERVAL_S
        self._is_checking = False
        self._started_s = services.timer.now_s()
        self._ended_s = 0.0
        self._switching_s = 0.0

    def retarget(self, record: RolloutRecord) -> None:
        """Switch the rollout to a newer version."""
        self.record = record
        self._started_s = self._services.timer.now_s()
        self._ended_s = 0.0
        self._switching_s = 0.0
        for replica in self._replicas.values():
            replica.retry_at_s = 0.0

    def _settings(self) -> ModelSettings:
        for model in self._services.settings.fleet().models:
            if model.name == self.record.model:
                return model
        return ModelSettings(self.record.model)

    @property
    def is_complete(self) -> bool:
        """Whether every replica has the version, as read back from it."""
        replicas = self._replicas.values()
        return bool(replicas) and all(
            replica.active_version >= self.record.version for replica in replicas
        )

    def advance(self) -> None:
        """Send the orders that are due; called frequently, does not block."""
        self._update_replicas()
        self._check_in_background()
        now_s = self._services.timer.now_s()
        if self.is_complete:
            self._record_completion(now_s)
            return
        settings = self._settings()
        known = [item for item in self._replicas.values() if item.active_version]
        for order in next_orders(
            self.record.version,
            known,
            settings.switch_wave_ratio,
            settings.prefetch_concurrency,
            now_s,
        ):
            self._start_order(order, now_s)

    def _update_replicas(self) -> None:
        directory = self._services.directory
        endpoints = directory.endpoints_serving(self.record.model)
        wanted = {endpoint.endpoint_id for endpoint in endpoints}
        for endpoint_id in wanted - set(self._replicas):
            self._replicas[endpoint_id] = Replica(endpoint_id)
        for endpoint_id in set(self._replicas) - wanted:
            if self._replicas[endpoint_id].current_order is None:
                del self._replicas[endpoint_id]

    def _record_completion(self, now_s: float) -> None:
        if self._ended_s:
            return
        self._ended_s = now_s
        duration_s = now_s - self._started_s
        metrics = self._services.metrics
        metrics.observe_s("weights_rollout_seconds", duration_s)
        logger.info(
            "weights: all replicas of {} have version {} after {:.2f} s",
            self.record.model,
            self.record.version,
            duration_s,
        )

    def _start_order(self, order: NextOrder, now_s: float) -> None:
        replica = self._replicas[order.endpoint_id]
        replica.current_order = order.kind
        replica.started_s = now_s
        task = asyncio.create_task(self._send_order(replica, order.kind))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_order(self, replica: Replica, kind: OrderKind) -> None:
        record = self.record
        body = OrderEndpoint(
            replica.endpoint_id, kind.value, record.model, record.version
        )
        timer = self._services.timer
        started_s = timer.now_s()
        try:
            state = await self._request_keeper(replica.endpoint_id, body)
        except CodedError as error:
            logger.warning(
                "weights: {} of {} failed: {}",
                kind.value,
                replica.endpoint_id,
                error.reason,
            )
            self._services.metrics.add("weights_failed_orders_total", kind=kind.value)
            replica.record_failure(error.reason, timer.now_s())
            return
        finally:
            if kind is OrderKind.ACTIVATE:
                self._switching_s += timer.now_s() - started_s
        replica.record_success(state.active, state.prefetched)
        self.advance()

    async def _request_keeper(
        self, endpoint_id: str, body: OrderEndpoint
    ) -> ReplicaState:
        keepers = self._services.directory.keepers_for(endpoint_id)
        keeper = keepers[0] if keepers else self._services.vm.vm_id
        state = await self._services.peers.request(keeper, body, ORDER_TIMEOUT_S)
        assert isinstance(state, ReplicaState)
        return state

    def _check_in_background(self) -> None:
        """Read the versions of all replicas at intervals, one task at a time."""
        now_s = self._services.timer.now_s()
        if self._is_checking or now_s - self._last_check_s < VERSION_CHECK_INTERVAL_S:
            return
        self._is_checking = True
        self._last_check_s = now_s
        task = asyncio.create_task(self._check_versions())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_versions(self) -> None:
        endpoint_ids_by_keeper: dict[str, list[str]] = {}
        for endpoint_id in self._replicas:
            keepers = self._services.directory.keepers_for(endpoint_id)
            if keepers:
                endpoint_ids_by_keeper.setdefault(keepers[0], []).append(endpoint_id)
        try:
            await asyncio.gather(
                *(
                    self._probe_keeper(vm_id, tuple(endpoint_ids))
                    for vm_id, endpoint_ids in endpoint_ids_by_keeper.items()
                )
            )
        finally:
            self._is_checking = False

    async def _probe_keeper(self, vm_id: str, endpoint_ids: tuple[str, ...]) -> None:
        try:
            reply = await self._services.peers.request(
                vm_id, ProbeEndpoints(endpoint_ids), PROBE_TIMEOUT_S
            )
        except CodedError:
            return
        if isinstance(reply, ProbeReply):
            for load in reply.loads:
                self._apply_load(load)

    def _apply_load(self, load: EndpointLoad) -> None:
        replica = self._replicas.get(load.endpoint_id)
        if replica is None or replica.current_order is not None:
            return
        replica.is_serving = not load.ejected and not load.leaving
        if not load.weight_version:
            return
        if load.weight_version < replica.active_version:
            # The replica restarted with older weights and lost its prefetched versions.
            replica.prefetched = ()
            self._ended_s = 0.0
        replica.active_version = load.weight_version

    def status(self, recorded: bool) -> RolloutStatus:
        """Return the status of the rollout."""
        now_s = self._services.timer.now_s()
        duration_s = (self._ended_s or now_s) - self._started_s
        total_s = duration_s * max(1, len(self._replicas))
        return RolloutStatus(
            model=self.record.model,
            version=self.record.version,
            announced_by=self.record.announced_by,
            announced_at_s=self.record.announced_at_s,
            recorded=recorded,
            complete=self.is_complete,
            duration_s=duration_s,
            lost_share=self._switching_s / total_s if total_s else 0.0,
            replicas=tuple(
                ReplicaStatus(
                    replica.endpoint_id,
                    replica.active_version,
                    self.record.version in replica.prefetched,
                    replica.current_order.value
                    if replica.current_order is not None
                    else "",
                    replica.failures,
                    replica.last_error,
                )
                for replica in self._replicas.values()
            ),
        )

    def close(self) -> None:
        """Stop the rollout; the keepers complete orders already sent."""
        for task in list(self._tasks):
            task.cancel()
