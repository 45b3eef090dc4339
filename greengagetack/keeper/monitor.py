"""greengagetack.keeper.monitor: periodic checks of a keeper's engines."""

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

# Rounds of the monitor from one check whether the engine is leaving or slow to the
# next, and from one read of its versions and cache events to the next.
STATE_INTERVAL_ROUNDS = 2
VERSION_INTERVAL_ROUNDS = 4
PROBE_TOKENS = 8
PROBE_TIMEOUT_S = 10.0
PEER_TIMEOUT_S = 1.0


class EngineMonitor:
    """Monitors one gate's engine: versions, leaving, pace and readmission.

    The pace, in seconds per token, is compared with that of a few random replicas
    only, so that the cost does not grow with the fleet.
    """

    def __init__(self, gate: EngineGate, services: Services, seed: int | None) -> None:
        self._gate = gate
        self._services = services
        self._rng = random.Random(seed)
        self._probes = 0
        self._round = 0

    async def run_once(self) -> None:
        """Run one round; rarely changing state is read only in some rounds."""
        gate = self._gate
        round_number = self._round
        self._round += 1
        gate.refuse_expired()
        await gate.cancel_unread()
        if gate.health.ejected and not gate.leaving:
            await self._probe_if_due()
            return
        if round_number % STATE_INTERVAL_ROUNDS == 0:
            await gate.check_leaving()
            await self._fetch_sibling_paces()
            await self._eject_if_slow()
        if round_number % VERSION_INTERVAL_ROUNDS == 0:
            await self._refresh_versions_and_cache()
        gate.wake_dispatch()

    async def _refresh_versions_and_cache(self) -> None:
        gate = self._gate
        with suppress(CodedError):
            await gate.versions.refresh()
            events = await gate.adapter.cache_events(gate.prefixes.next_event)
            gate.prefixes.apply_events(events)

    async def _fetch_sibling_paces(self) -> None:
        directory = self._services.directory
        others = [
            other.endpoint_id
            for other in directory.endpoints_serving(self._gate.endpoint.name)
            if other.endpoint_id != self._gate.endpoint.endpoint_id
        ]
        count = min(len(others), self._services.settings.fleet().routing.probes)
        chosen = self._rng.sample(others, count)
        paces = await asyncio.gather(*(self._fetch_pace(other) for other in chosen))
        self._gate.sibling_paces = tuple(pace for pace in paces if pace > 0)

    async def _fetch_pace(self, endpoint_id: str) -> float:
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

    async def _eject_if_slow(self) -> None:
        gate = self._gate
        routing = self._services.settings.fleet().routing
        ejected = gate.health.eject_if_slow(
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
        gate.refuse_waiting("is ejected")
        await gate.abort_slow_requests(median(gate.sibling_paces))

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
            gate.health.record_failure(timer.now_s(), routing.ejection_s)
            return
        gate.health.record_probe(
            pace_s,
            gate.sibling_paces,
            routing.slow_factor,
            timer.now_s(),
            routing.ejection_s,
        )
        gate.wake_dispatch()

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
