"""greengagetack.gateway.suspects: keeps requests that crash replicas from others.

Each daemon reports the requests that broke off at a replica that seems to have ended.
The owner of the facts decides which of them crash replicas and lets all daemons know,
so that a daemon refuses such a request also if it has never seen it. Others cost a look
into an empty table.
"""

import asyncio
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

from loguru import logger

from greengagetack.errors import CodedError, EndpointRefused, RequestCrashesReplicas
from greengagetack.facts import FactTable
from greengagetack.gateway.call import Call
from greengagetack.gateway.crash_evidence import (
    BLOCK_S,
    CRASH_RETENTION_S,
    PROBE_THRESHOLD,
    CrashEvidence,
    Standing,
)
from greengagetack.gateway.crash_reports import (
    CrashReport,
    CrashReporter,
    ReportReceiver,
)
from greengagetack.gateway.request_key import request_key, target_digest, target_of
from greengagetack.grants import OWNER_UNREACHABLE_PAUSE_S, Grant
from greengagetack.http1.message import ExchangeError
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.paths import ConnectionOpener, ReplicaPaths
from greengagetack.replicas.replica import Incarnation, Replica, ReplicaState

__all__ = [
    "ProbeRequest",
    "Suspects",
    "SuspectsOwner",
]

# Pauses before the checks whether a replica at which requests broke off has ended.
CHECK_PAUSES_S = (0.1, 0.4, 1.0, 2.0, 2.0)
MAX_SUSPECTS_PER_REPLICA = 64
# One suspect of a service runs at a time; the next one waits for its answer or for this
# long, in which an end of its replica is noticed.
PROBE_S = 2.0
# When a suspect may be tried again whose replicas' ends are not confirmed yet.
SETTLE_PAUSE_S = 0.5


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks whether a suspect may run now."""

    request_key: str
    service: str


class SuspectsOwner(ReportReceiver, Protocol):
    """Calls to the owner of the facts."""

    async def request_probe(self, request: ProbeRequest) -> Grant:
        """Ask whether a suspect may run now."""


class Suspects:
    """Observes crashes, evaluates them while the owner, and holds requests back."""

    def __init__(
        self,
        fleet: Fleet,
        pool: ConnectionOpener,
        paths: ReplicaPaths,
        owner: SuspectsOwner,
        facts: FactTable,
        metrics: Metrics,
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._paths = paths
        self._owner = owner
        self._facts = facts
        self._reporter = CrashReporter(owner, facts)
        self._metrics = metrics
        # What this daemon has observed, and as the owner what all have.
        self._evidence = CrashEvidence()
        # Requests whose standings this process has published as the owner.
        self._evaluated: set[str] = set()
        # Requests that broke off at replicas that may have ended.
        self._broken: dict[Incarnation, set[str]] = {}
        # The keys of requests under suspicion, by the digests of their targets.
        self._keys: dict[str, set[str]] = {}
        # Probes that were refused here, with the time of the next one.
        self._refused_until_s: dict[str, float] = {}
        # The running probe of each service, as granted by this daemon, with its end.
        self._probes: dict[str, tuple[str, float]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        facts.subscribe(Standing, self._on_fact)
        fleet.subscribe_removals(self._on_removal)

    # -- what is known

    def _on_fact(self, key: str, standing: Standing | None) -> None:
        if standing is None:
            self._evaluated.discard(key)
        else:
            logger.warning(
                "suspects: replicas ended under request {}",
                key,
                crashes=standing.crashes,
                is_blocked=standing.is_blocked,
            )
        self._refused_until_s.pop(key, None)
        self._update_key(key)

    def _update_key(self, key: str) -> None:
        """Keep the index of keys in step with what is known of a request."""
        is_known = (
            self._facts.get(Standing, key) is not None
            or self._evidence.standing(key).crashes > 0
            or any(key in keys for keys in self._broken.values())
        )
        target = target_of(key)
        if is_known:
            self._keys.setdefault(target, set()).add(key)
            return
        self._refused_until_s.pop(key, None)
        keys = self._keys.get(target, set())
        keys.discard(key)
        if not keys:
            self._keys.pop(target, None)

    def _known_key(self, call: Call, service: str) -> str | None:
        """Return the key of a request under suspicion, None for any other."""
        if not self._keys or call.is_deferred:
            return None
        keys = self._keys.get(target_digest(call, service))
        if keys is None:
            return None
        key = request_key(call, service)
        return key if key in keys else None

    def _standing(self, key: str) -> Standing:
        known = self._facts.get(Standing, key)
        own = self._evidence.standing(key)
        if known is None:
            # Others may have seen another request at the same crashes.
            return Standing(own.crashes, own.is_settled)
        return Standing(
            max(known.crashes, own.crashes),
            known.is_settled and own.is_settled,
            known.is_blocked,
        )

    # -- requests of this daemon

    async def admit(self, call: Call, service: str) -> None:
        """Return if a request may be sent to a replica.

        Raises
        ------
        RequestCrashesReplicas
            If it has crashed replicas and would crash others.
        EndpointRefused
            If it is under suspicion and may not run now.
        """
        key = self._known_key(call, service)
        if key is None:
            return
        standing = self._standing(key)
        if standing.is_blocked:
            self._metrics.add("suspect_requests", outcome="refused")
            raise RequestCrashesReplicas(
                f"{standing.crashes} replicas of {service} crashed while they ran this "
                "request; it is not sent to any other"
            )
        if standing.crashes < PROBE_THRESHOLD:
            return
        probe = await self._request_probe(key, service, standing)
        outcome = "probed" if probe.is_granted else "delayed"
        self._metrics.add("suspect_requests", outcome=outcome)
        if not probe.is_granted:
            raise EndpointRefused(
                f"{standing.crashes} replicas of {service} seem to have crashed while "
                "they ran this request; it may run again once that is settled",
                probe.wait_s,
            )

    def may_send_again(self, call: Call, service: str) -> bool:
        """Whether a request that has broken off may be sent to a second replica."""
        key = self._known_key(call, service)
        return key is None or self._standing(key).crashes < PROBE_THRESHOLD

    def may_hedge(self, call: Call, service: str) -> bool:
        """Whether a request may be sent to a second replica while the first runs it."""
        return self._known_key(call, service) is None

    async def _request_probe(self, key: str, service: str, standing: Standing) -> Grant:
        now_s = time.monotonic()
        refused_s = self._refused_until_s.get(key, 0.0) - now_s
        if refused_s > 0:
            return Grant(False, refused_s)
        request = ProbeRequest(key, service)
        if self._facts.is_owner:
            return self.handle_probe_request(request)
        if not standing.is_settled:
            return Grant(False, SETTLE_PAUSE_S)
        # Repeats that arrive meanwhile are refused without a call of their own.
        self._refused_until_s[key] = now_s + OWNER_UNREACHABLE_PAUSE_S
        try:
            probe = await self._owner.request_probe(request)
        except CodedError as error:
            logger.info(
                "suspects: no answer whether request {} may run",
                key,
                reason=error.reason,
            )
            probe = Grant(False, OWNER_UNREACHABLE_PAUSE_S)
        if probe.is_granted:
            self._refused_until_s.pop(key, None)
        else:
            self._refused_until_s[key] = now_s + probe.wait_s
        return probe

    # -- observations

    def record_break(self, call: Call, state: ReplicaState) -> None:
        """Record that a request broke off at a replica, which may have ended."""
        if call.is_deferred:
            return
        key = request_key(call, state.replica.service)
        if self._evidence.is_cleared(key, time.monotonic()):
            return
        incarnation = state.replica.incarnation
        broken = self._broken.get(incarnation)
        if broken is None:
            broken = self._broken[incarnation] = set()
            self._start(self._check_end(state))
        if len(broken) < MAX_SUSPECTS_PER_REPLICA:
            broken.add(key)
            self._update_key(key)

    def record_answer(self, call: Call, service: str) -> None:
        """Record that a replica has answered a request, which clears it."""
        key = self._known_key(call, service)
        if key is None:
            return
        for broken in self._broken.values():
            broken.discard(key)
        self._report(CrashReport(key))

    async def _check_end(self, state: ReplicaState) -> None:
        """Report what broke off at a replica if that seems to have ended."""
        incarnation = state.replica.incarnation
        has_ended = await self._has_ended(state)
        for key in sorted(self._broken.pop(incarnation)):
            if has_ended:
                self._report(CrashReport(key, *incarnation))
            self._update_key(key)

    async def _has_ended(self, state: ReplicaState) -> bool:
        for pause_s in CHECK_PAUSES_S:
            await asyncio.sleep(pause_s)
            if not self._broken[state.replica.incarnation]:
                return False
            if state.is_gone:
                return True
            is_listening = await self._is_listening(state)
            if is_listening:
                return False
            # While this VM reaches no replica, only the entry of this one tells.
            is_refused = is_listening is False
            if is_refused and await self._paths.check(state.replica.service):
                return True
        return state.is_gone

    async def _is_listening(self, state: ReplicaState) -> bool | None:
        """Return whether a replica accepts connections, None if it is silent.

        A process that has ended refuses connections. The connection is kept for the
        next request.
        """
        try:
            await self._pool.open_idle(state.replica.address)
            return True
        except ExchangeError as error:
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            return False if is_refused else None

    def _on_removal(self, replica: Replica) -> None:
        if self._fleet.has_announced_leave(replica):
            affected = self._evidence.record_leave(replica.incarnation)
        else:
            now_s = time.monotonic()
            affected = self._evidence.record_end(replica.incarnation, now_s)
        self._publish(affected)

    def _report(self, report: CrashReport) -> None:
        self._apply(report)
        self._reporter.add(report)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- decisions of the owner

    def handle_reports(self, reports: tuple[CrashReport, ...]) -> None:
        """Evaluate what another daemon has observed."""
        for report in reports:
            self._apply(report)

    def _apply(self, report: CrashReport) -> None:
        now_s = time.monotonic()
        key = report.request_key
        if not report.replica_id:
            self._end_probe(key)
            self._publish(self._evidence.record_answer(key, now_s))
            if self._facts.is_owner:
                self._facts.retract(Standing, key)
            return
        incarnation = (report.replica_id, report.started_ms)
        logger.info(
            "suspects: request broke off at a replica that ended",
            request_key=key,
            replica=report.replica_id,
        )
        self._publish(self._evidence.record_break(key, incarnation, now_s))

    def _publish(self, affected: set[str]) -> None:
        """Let all daemons know of changed standings, while this daemon is the owner."""
        for key in sorted(affected):
            self._update_key(key)
            if not self._facts.is_owner:
                continue
            standing = self._evidence.standing(key)
            if standing.crashes < PROBE_THRESHOLD:
                # What an earlier owner has published stays until it expires.
                if key in self._evaluated:
                    self._facts.retract(Standing, key)
                continue
            self._evaluated.add(key)
            lifetime_s = BLOCK_S if standing.is_blocked else CRASH_RETENTION_S
            self._facts.publish(key, standing, lifetime_s)

    def handle_probe_request(self, request: ProbeRequest) -> Grant:
        """Decide whether a suspect may run: one of a service at a time."""
        key, now_s = request.request_key, time.monotonic()
        if not self._facts.is_owner:
            return Grant(False, OWNER_UNREACHABLE_PAUSE_S)
        standing = self._standing(key)
        if standing.is_blocked or not standing.is_settled:
            return Grant(False, SETTLE_PAUSE_S)
        _, until_s = self._probes.get(request.service, ("", now_s))
        if now_s < until_s:
            return Grant(False, until_s - now_s)
        self._probes[request.service] = (key, now_s + PROBE_S)
        logger.info(
            "suspects: request may run alone",
            request_key=key,
            service=request.service,
            crashes=standing.crashes,
        )
        return Grant(True)

    def _end_probe(self, key: str) -> None:
        for service, (tried, _) in list(self._probes.items()):
            if tried == key:
                del self._probes[service]

    async def tick(self) -> None:
        """Forget what is old; report again to an owner that has changed."""
        self._publish(self._evidence.expire(time.monotonic()))
        self._reporter.repeat_after_change()
