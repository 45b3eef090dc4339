"""greengagetack.keeper.role: the daemon role that serves endpoints to other daemons."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing

from loguru import logger

from greengagetack.daemons.role import Role, Services, role
from greengagetack.engines import make_adapter
from greengagetack.engines.state import Finish
from greengagetack.errors import InvalidRequest, NotFound
from greengagetack.http1.limits import ResponseLimits
from greengagetack.keeper.gate import EngineGate
from greengagetack.keeper.held import HeldAnswers
from greengagetack.keeper.messages import (
    CallService,
    CancelRequest,
    Chunk,
    Complete,
    Completed,
    HeldRequests,
    ListHeldRequests,
    ProbeEndpoints,
    ProbeReply,
    ReleaseHeld,
    ServiceAnswer,
    Work,
)
from greengagetack.keeper.monitor import EngineMonitor
from greengagetack.keeper.orders import send_order
from greengagetack.keeper.service_gate import ServiceGate
from greengagetack.limits.spending import SliceSpending
from greengagetack.observability.traces import detached_span, span, use_span
from greengagetack.peers.messages import Done
from greengagetack.weights.messages import OrderEndpoint, ReplicaState
from greengagetack.world import Endpoint, EndpointKind

__all__ = ["KeeperRole"]

WATCH_INTERVAL_S = 0.5
DRAIN_POLL_S = 0.05
DRAIN_COLLECT_TIMEOUT_S = 5.0
SUBSTITUTE_GATE_IDLE_S = 60.0


@role
class KeeperRole(Role):
    """Runs a gate for each endpoint that this VM keeps or serves as a substitute."""

    name = "keeper"

    def __init__(self, services: Services) -> None:
        super().__init__(services)
        self.held = HeldAnswers()
        self.spending = SliceSpending(services)
        self.gates: dict[str, EngineGate] = {}
        self.service_gates: dict[str, ServiceGate] = {}
        self.draining = False
        self._monitors: dict[str, EngineMonitor] = {}
        self._running_monitors: set[str] = set()
        # What the answers of all endpoints may use together.
        self._limits = ResponseLimits()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Register message handlers and monitor the assigned endpoints."""
        peers = self.services.peers
        peers.handle(Complete, self._complete)
        peers.handle(ProbeEndpoints, self._probe)
        peers.handle(CancelRequest, self._cancel)
        peers.handle(ListHeldRequests, self._list_held)
        peers.handle(ReleaseHeld, self._release)
        peers.handle(CallService, self._call)
        peers.handle(OrderEndpoint, self._order)
        self.spending.start()
        self.services.timer.subscribe(WATCH_INTERVAL_S, self._watch, "keeper watch")
        self.services.directory.subscribe(self._open_assigned_gates)
        self.services.settings.subscribe(self._open_assigned_gates)
        self._open_assigned_gates()

    def _open_assigned_gates(self) -> None:
        directory = self.services.directory
        if not directory.ready or not self.services.settings.ready:
            return
        for endpoint in self.services.settings.fleet().endpoints:
            if directory.fencing_number(endpoint.endpoint_id) is None:
                continue
            self._gate_of(endpoint)

    def _endpoint(self, endpoint_id: str) -> Endpoint:
        endpoint = self.services.directory.endpoint(endpoint_id)
        if endpoint is None:
            raise NotFound(f"unknown endpoint {endpoint_id!r}")
        return endpoint

    def _gate_of(self, endpoint: Endpoint) -> EngineGate | ServiceGate:
        if endpoint.kind is EndpointKind.SERVICE:
            return self._service_gate(endpoint)
        return self._engine_gate(endpoint)

    def _engine_gate(self, endpoint: Endpoint) -> EngineGate:
        gate = self.gates.get(endpoint.endpoint_id)
        if gate is not None and gate.endpoint == endpoint:
            return gate
        if gate is not None:
            self._retire(gate)
        if endpoint.kind is not EndpointKind.ENGINE:
            raise InvalidRequest(f"{endpoint.endpoint_id} is not a model engine")
        gate = EngineGate(
            endpoint,
            make_adapter(endpoint, self._limits),
            self.services,
            self.held,
            self.spending,
        )
        gate.draining = self.draining
        self.gates[endpoint.endpoint_id] = gate
        self._monitors[endpoint.endpoint_id] = EngineMonitor(gate, self.services, None)
        logger.info("keeper: gate for {} opened", endpoint.endpoint_id)
        return gate

    def _service_gate(self, endpoint: Endpoint) -> ServiceGate:
        gate = self.service_gates.get(endpoint.endpoint_id)
        if gate is not None and gate.endpoint == endpoint:
            return gate
        if gate is not None:
            self._spawn(gate.close())
        if endpoint.kind is not EndpointKind.SERVICE:
            raise InvalidRequest(f"{endpoint.endpoint_id} is not a plain service")
        adapter = make_adapter(endpoint, self._limits)
        gate = ServiceGate(endpoint, adapter, self.services)
        gate.draining = self.draining
        self.service_gates[endpoint.endpoint_id] = gate
        return gate

    def _retire(self, gate: EngineGate) -> None:
        gate.refuse_waiting("has changed settings")
        self._spawn(self._close_when_idle(gate))

    async def _close_when_idle(self, gate: EngineGate) -> None:
        while gate.busy:
            await self.services.timer.sleep(DRAIN_POLL_S)
        await gate.close()

    def _spawn(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _complete(
        self, sender_vm_id: str, request: Complete
    ) -> AsyncGenerator[Chunk | Completed, None]:
        _check_complete(request)
        gate = self._engine_gate(self._endpoint(request.endpoint_id))
        with detached_span(
            "keeper.complete", endpoint=request.endpoint_id, team=request.team
        ) as current:
            with use_span(current):
                generation = await gate.join_or_admit(request)
            reader = generation.read(request.offset_tokens)
            async with aclosing(reader) as items:
                async for item in items:
                    if isinstance(item, Finish):
                        yield Completed(item.reason, generation.end_tokens, gate.load())
                        return
                    yield item

    async def _probe(self, sender_vm_id: str, request: ProbeEndpoints) -> ProbeReply:
        loads = []
        ratios = []
        for endpoint_id in request.endpoint_ids:
            endpoint = self.services.directory.endpoint(endpoint_id)
            if endpoint is None or endpoint.kind is not EndpointKind.ENGINE:
                continue
            gate = self._engine_gate(endpoint)
            await gate.versions.ensure_known()
            loads.append(gate.load())
            ratios.append(gate.prefixes.cached_ratio(request.prefix_hash))
        return ProbeReply(tuple(loads), tuple(ratios))

    async def _cancel(self, sender_vm_id: str, request: CancelRequest) -> Done:
        found = self.held.locate(request.request_id)
        if found is not None:
            generation, gate = found
            await gate.cancel(generation, "the request was cancelled")
        return Done()

    async def _list_held(
        self, sender_vm_id: str, request: ListHeldRequests
    ) -> HeldRequests:
        return HeldRequests(self.held.requests_of_job(request.job_id))

    async def _release(self, sender_vm_id: str, request: ReleaseHeld) -> Done:
        self.held.release(request.request_ids)
        return Done()

    async def _call(self, sender_vm_id: str, request: CallService) -> ServiceAnswer:
        gate = self._service_gate(self._endpoint(request.endpoint_id))
        with span("keeper.call", endpoint=request.endpoint_id, team=request.team):
            return await gate.call(request)

    async def _order(self, sender_vm_id: str, request: OrderEndpoint) -> ReplicaState:
        gate = self._engine_gate(self._endpoint(request.endpoint_id))
        with span("keeper.order", endpoint=request.endpoint_id, kind=request.kind):
            return await send_order(self.services, gate, request)

    async def _watch(self) -> None:
        self._close_unused()
        dropped = self.held.drop_oldest_above_bound()
        if dropped:
            logger.warning(
                "keeper: dropped {} finished answers over the memory bound", dropped
            )
        for endpoint_id, monitor in list(self._monitors.items()):
            if endpoint_id not in self._running_monitors:
                self._spawn(self._run_monitor(endpoint_id, monitor))
        for gate in list(self.service_gates.values()):
            self._spawn(gate.check_leaving())

    async def _run_monitor(self, endpoint_id: str, monitor: EngineMonitor) -> None:
        self._running_monitors.add(endpoint_id)
        try:
            await monitor.run_once()
        except Exception as error:
            logger.opt(exception=error).error(
                "keeper: monitoring of {} failed", endpoint_id
            )
        finally:
            self._running_monitors.discard(endpoint_id)

    def _close_unused(self) -> None:
        """Close long unused gates of endpoints that other VMs keep."""
        now_s = self.services.timer.now_s()
        for endpoint_id, gate in list(self.gates.items()):
            if self.services.directory.fencing_number(endpoint_id) is not None:
                continue
            if gate.busy or self.held.requests_of_gate(gate):
                continue
            if now_s - gate.used_at_s < SUBSTITUTE_GATE_IDLE_S:
                continue
            del self.gates[endpoint_id]
            del self._monitors[endpoint_id]
            self._spawn(gate.close())

    async def drain(self) -> None:
        """Refuse new requests and finish those waiting and running.

        Finished answers are held for a while, for their owner to collect them.
        """
        self.draining = True
        for gate in self._all_gates():
            gate.draining = True
        timer = self.services.timer
        while any(gate.busy for gate in self.gates.values()):
            await timer.sleep(DRAIN_POLL_S)
        while any(gate.running for gate in self.service_gates.values()):
            await timer.sleep(DRAIN_POLL_S)
        end_s = timer.now_s() + DRAIN_COLLECT_TIMEOUT_S
        while self._has_uncollected_answers() and timer.now_s() < end_s:
            await timer.sleep(DRAIN_POLL_S)
        await self.spending.return_all()

    def _all_gates(self) -> list[EngineGate | ServiceGate]:
        return [*self.gates.values(), *self.service_gates.values()]

    def _has_uncollected_answers(self) -> bool:
        return any(
            generation.is_rollout
            for gate in self.gates.values()
            for generation in self.held.requests_of_gate(gate)
        )

    async def close(self) -> None:
        """Stop all gates."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for gate in self._all_gates():
            await gate.close()
        self.gates.clear()
        self.service_gates.clear()


def _check_complete(request: Complete) -> None:
    if request.work not in (Work.CALLER, Work.ROLLOUT):
        raise InvalidRequest(f"unknown class of work {request.work!r}")
    if request.max_tokens < 1 or request.offset_tokens < 0:
        raise InvalidRequest(
            "max_tokens must be positive and offset_tokens not negative"
        )
    if request.time_left_s <= 0:
        raise InvalidRequest("time_left_s must be positive")
