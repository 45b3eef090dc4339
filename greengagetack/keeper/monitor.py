"""greengagetack.keeper.monitor: what a keeper learns about its engines by asking."""

import asyncio
import random
from contextlib import suppress
from statistics import median

from loguru import logger

from greengagetack.daemons.role import Services
from greengagetack.engines.resume import stream_resumed
from greengagetack.engines.state import Finish, Generate
from greengagetack.errors import CodedError
from greengagetack.keeper.gate import EngineGate
from greengagetack.keeper.messages import ProbeEndpoints, ProbeReply

__all__ = ["EngineMonitor"]

# Turns of the watch between two looks at an engine's state and at its versions.
STATE_TURNS = 2
VERSION_TURNS = 4
PROBE_TOKENS = 8
PROBE_TIMEOUT_S = 10.0
PEER_TIMEOUT_S = 1.0


class EngineMonitor:
    """Watches one gate's engine: versions, leaving, pace and readmission.

    The pace of a few replicas at other keepers is asked for each time, so the
    cost does not grow with the fleet.
    """

    def __init__(self, gate: EngineGate, services: Services, seed: int | None) -> None:
        self._gate = gate
        self._services = services
        self._chance = random.Random(seed)
        self._probes = 0
        self._turn = 0

    async def watch_once(self) -> None:
        """Ask and act once; what changes seldom is asked for in some turns only."""
        gate = self._gate
        turn = self._turn
        self._turn += 1
        gate.refuse_expired()
        await gate.drop_abandoned()
        if gate.health.ejected and not gate.leaving:
            await self._probe_if_due()
            return
        if turn % STATE_TURNS == 0:
            await gate.check_leaving()
            await self._learn_paces()
            await self._judge_pace()
        if turn % VERSION_TURNS == 0:
            await self._refresh()
        gate.wake()

    async def _refresh(self) -> None:
        gate = self._gate
        with suppress(CodedError):
            await gate.versions.refresh()
            events = await gate.adapter.cache_events(gate.prefixes.next_event)
            gate.prefixes.correct(events)

    async def _learn_paces(self) -> None:
        directory = self._services.directory
        others = [
            other.endpoint_id
            for other in directory.endpoints_serving(self._gate.endpoint.name)
            if other.endpoint_id != self._gate.endpoint.endpoint_id
        ]
        count = min(len(others), self._services.settings.fleet().routing.probes)
        chosen = self._chance.sample(others, count)
        paces = await asyncio.gather(*(self._pace_of(other) for other in chosen))
        self._gate.sibling_paces = tuple(pace for pace in paces if pace > 0)

    async def _pace_of(self, endpoint_id: str) -> float:
        keepers = self._services.directory.keepers_for(endpoint_id)
        if not keepers:
            return 0.0
        try:
            reply = await self._services.peers.request(
                keepers[0], ProbeEndpoints((endpoint_id,)), PEER_TIMEOUT_S
            )
        except CodedError:
            return 0.0
        if not isinstance(reply, ProbeReply):
            return 0.0
        for load in reply.loads:
            return 0.0 if load.ejected else load.seconds_per_token
        return 0.0

    async def _judge_pace(self) -> None:
        gate = self._gate
        routing = self._services.settings.fleet().routing
        ejected = gate.health.judge_pace(
            gate.sibling_paces,
            routing.slow_factor,
            self._services.timer.now_s(),
            routing.ejection_s,
        )
        if not ejected:
            return
        self._services.metrics.add(
            "keeper_ejections_total", endpoint=gate.endpoint.endpoint_id
        )
        gate.hand_back("is ejected")
        await gate.move_slow(median(gate.sibling_paces))

    async def _probe_if_due(self) -> None:
        gate = self._gate
        timer = self._services.timer
        if timer.now_s() < gate.health.probe_at_s:
            return
        routing = self._services.settings.fleet().routing
        try:
            pace_s = await self._probe()
            await gate.versions.refresh()
        except (CodedError, TimeoutError) as error:
            logger.info(
                "keeper: probe of {} failed: {}", gate.endpoint.endpoint_id, error
            )
            gate.health.failed(timer.now_s(), routing.ejection_s)
            return
        gate.health.probed(
            pace_s,
            gate.sibling_paces,
            routing.slow_factor,
            timer.now_s(),
            routing.ejection_s,
        )
        gate.wake()

    async def _probe(self) -> float:
        """Generate a few tokens and return the seconds per token."""
        gate = self._gate
        timer = self._services.timer
        self._probes += 1
        node = self._services.peers
        request = Generate(
            request_id=f"probe-{node.vm_id}-{node.incarnation}-{self._probes}",
            model=gate.endpoint.name,
            prompt="probe",
            max_tokens=PROBE_TOKENS,
            seed=0,
        )
        first_s = last_s = 0.0
        tokens = 0
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            async for item in stream_resumed(gate.adapter, request):
                if isinstance(item, Finish):
                    break
                last_s = timer.now_s()
                if not first_s:
                    first_s = last_s
                    continue
                tokens += item.token_count
        return (last_s - first_s) / tokens if tokens else 0.0
