"""greengagetack.replicas.ejections: ejects replicas by what all daemons observe.

A daemon obeys its own evidence at once and reports it to the owner of the facts. The
owner lets all daemons know when a second daemon has reported the same, since one alone
may have lost its path to the replica. Only daemons with evidence of their own probe.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.facts import FactTable, fact_type
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.ejection import (
    Outcomes,
    Probation,
    may_eject,
    should_eject,
)
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import Incarnation, Replica, ReplicaState

__all__ = ["EjectionNotice", "EjectionOwner", "Ejections", "ReplicaEjected"]

# A wrong fact ends by itself; the probes that fail renew a right one.
LIFETIME_S = 10.0
# Daemons that must report a replica before all eject it, and how long a report counts.
MIN_REPORTERS = 2
REPORT_RETENTION_S = 15.0


@fact_type("replica-ejected", is_lasting=False)
@dataclass(frozen=True, slots=True)
class ReplicaEjected:
    """The replica that the fact's key names gets no requests, except for probes.

    `renewal` grows with each report, so that the fact lasts while probes fail.
    """

    failure_rate: float
    renewal: int = 0


@dataclass(frozen=True, slots=True)
class EjectionNotice:
    """Notifies the owner that a daemon has ejected a replica, or readmitted it."""

    node: str
    replica_id: str
    started_ms: int
    failure_rate: float
    is_readmitted: bool = False


class EjectionOwner(Protocol):
    """Calls to the owner of the facts."""

    async def send_ejection(self, notice: EjectionNotice) -> None:
        """Notify the owner of an ejection."""


class Ejections:
    """Records outcomes, ejects replicas here and, as the owner, at all daemons.

    Parameters
    ----------
    daemon_count : callable
        Returns the number of listed daemons.
    """

    def __init__(
        self,
        node: str,
        fleet: Fleet,
        owner: EjectionOwner,
        facts: FactTable,
        metrics: Metrics,
        daemon_count: Callable[[], int],
    ) -> None:
        self._node = node
        self._fleet = fleet
        self._owner = owner
        self._facts = facts
        self._metrics = metrics
        self._daemon_count = daemon_count
        self._outcomes: dict[Incarnation, Outcomes] = {}
        self._probations: dict[Incarnation, Probation] = {}
        # As the owner: when each daemon has last reported a replica.
        self._reports: dict[Incarnation, dict[str, float]] = {}
        self._renewal = 0
        self._notices: set[asyncio.Task[None]] = set()
        facts.subscribe(ReplicaEjected, self._on_fact)
        fleet.subscribe(self._apply_to_listed)
        fleet.subscribe_removals(self._on_removal)

    def _on_removal(self, replica: Replica) -> None:
        incarnation = replica.incarnation
        self._outcomes.pop(incarnation, None)
        self._probations.pop(incarnation, None)
        self._reports.pop(incarnation, None)
        if self._facts.is_owner:
            self._facts.retract(ReplicaEjected, _fact_key(incarnation))

    # -- evidence of this daemon

    def record(self, state: ReplicaState, is_failure: bool) -> None:
        """Record whether a replica failed a request that it had accepted."""
        incarnation = state.replica.incarnation
        probation = self._probations.get(incarnation)
        if probation is not None:
            if state.is_probed:
                self._record_probe(state, probation, is_failure)
            return
        outcomes = self._outcomes.setdefault(incarnation, Outcomes())
        now_s = time.monotonic()
        outcomes.record(now_s, is_failure)
        if not is_failure or state.is_ejected:
            return
        listed = self._fleet.replicas_of_service(state.replica.service)
        rate = outcomes.rate(now_s)
        rates = [self._rate(one, now_s) or 0.0 for one in listed]
        if not rates or not should_eject(rate, rates):
            return
        ejected_count = sum(one.is_ejected for one in listed)
        if not may_eject(ejected_count, len(listed)):
            logger.info(
                "ejections: {} stays, as too many are ejected",
                state.replica.replica_id,
                ejected=ejected_count,
                listed=len(listed),
            )
            return
        assert rate is not None
        self._eject(state, rate, rates)

    def _rate(self, state: ReplicaState, now_s: float) -> float | None:
        outcomes = self._outcomes.get(state.replica.incarnation)
        return None if outcomes is None else outcomes.rate(now_s)

    def _eject(self, state: ReplicaState, rate: float, rates: list[float]) -> None:
        replica = state.replica
        probation = Probation()
        self._probations[replica.incarnation] = probation
        self._outcomes.pop(replica.incarnation, None)
        state.begin_probation(probation.pause_s)
        logger.warning(
            "ejections: {} is ejected",
            replica.replica_id,
            service=replica.service,
            failure_rate=round(rate, 2),
            rates=",".join(f"{one:.2f}" for one in sorted(rates)),
        )
        self._metrics.add("ejections", service=replica.service)
        self._notify(replica, rate, False)

    def _record_probe(
        self, state: ReplicaState, probation: Probation, is_failure: bool
    ) -> None:
        replica = state.replica
        probation = probation.after(is_failure)
        logger.info(
            "ejections: probe of {} {}",
            replica.replica_id,
            "failed" if is_failure else "passed",
            passed=probation.passed,
            pause_s=probation.pause_s,
        )
        if probation.is_over:
            del self._probations[replica.incarnation]
            state.end_ejection()
            self._notify(replica, 0.0, True)
            return
        self._probations[replica.incarnation] = probation
        state.begin_probation(probation.pause_s if is_failure else 0.0)
        if is_failure:
            self._notify(replica, 1.0, False)

    def _notify(self, replica: Replica, rate: float, is_readmitted: bool) -> None:
        notice = EjectionNotice(
            self._node, replica.replica_id, replica.started_ms, rate, is_readmitted
        )
        if self._facts.is_owner:
            self.handle_notice(notice)
            return
        task = asyncio.create_task(self._send_notice(notice))
        self._notices.add(task)
        task.add_done_callback(self._notices.discard)

    async def _send_notice(self, notice: EjectionNotice) -> None:
        try:
            await self._owner.send_ejection(notice)
        except CodedError as error:
            # The ejection holds here; the next failed probe sends another notice.
            logger.info(
                "ejections: {} not reported to the owner",
                notice.replica_id,
                reason=error.reason,
            )

    def fact_age_s(self, state: ReplicaState) -> float | None:
        """Return the age of the fact that ejects a replica, None without a fact."""
        key = _fact_key(state.replica.incarnation)
        remaining_s = self._facts.remaining_s(ReplicaEjected, key)
        return None if remaining_s is None else round(LIFETIME_S - remaining_s, 3)

    # -- decisions of the owner

    def handle_notice(self, notice: EjectionNotice) -> None:
        """Let all daemons know of a replica that enough daemons have ejected."""
        if not self._facts.is_owner:
            return
        incarnation = (notice.replica_id, notice.started_ms)
        key = _fact_key(incarnation)
        state = self._listed_state(incarnation)
        if state is None or notice.is_readmitted:
            self._reports.pop(incarnation, None)
            self._facts.retract(ReplicaEjected, key)
            return
        now_s = time.monotonic()
        reports = self._reports.setdefault(incarnation, {})
        reports[notice.node] = now_s
        recent = [
            at_s for at_s in reports.values() if at_s > now_s - REPORT_RETENTION_S
        ]
        if len(recent) < min(MIN_REPORTERS, self._daemon_count()):
            return
        listed = self._fleet.replicas_of_service(state.replica.service)
        known_count = sum(
            one is not state and self._is_published(one.replica.incarnation)
            for one in listed
        )
        if not may_eject(known_count, len(listed)):
            logger.info(
                "ejections: {} is not ejected everywhere, as too many are",
                notice.replica_id,
                ejected=known_count,
                listed=len(listed),
            )
            return
        self._renewal += 1
        fact = ReplicaEjected(round(notice.failure_rate, 2), self._renewal)
        self._facts.publish(key, fact, LIFETIME_S)

    def _is_published(self, incarnation: Incarnation) -> bool:
        return self._facts.get(ReplicaEjected, _fact_key(incarnation)) is not None

    def _listed_state(self, incarnation: Incarnation) -> ReplicaState | None:
        state = self._fleet.get(incarnation[0])
        is_same = state is not None and state.replica.incarnation == incarnation
        return state if is_same else None

    # -- what others have found

    def _on_fact(self, key: str, ejected: ReplicaEjected | None) -> None:
        replica_id, _, started_ms = key.rpartition("/")
        incarnation = (replica_id, int(started_ms))
        state = self._listed_state(incarnation)
        if state is None or incarnation in self._probations:
            return
        if ejected is None:
            if state.is_ejected:
                logger.info("ejections: {} may get requests again", replica_id)
            state.end_ejection()
            self._outcomes.pop(incarnation, None)
        elif not state.is_ejected:
            logger.info(
                "ejections: {} is ejected by the evidence of other daemons",
                replica_id,
                failure_rate=ejected.failure_rate,
            )
            state.eject()

    def _apply_to_listed(self) -> None:
        """Eject replicas that are listed after their facts arrived, or anew."""
        for state in self._fleet.all_replicas():
            incarnation = state.replica.incarnation
            if state.is_ejected:
                continue
            probation = self._probations.get(incarnation)
            if probation is not None:
                # The replica has another address.
                state.begin_probation(probation.pause_s)
            elif self._is_published(incarnation):
                state.eject()


def _fact_key(incarnation: Incarnation) -> str:
    return f"{incarnation[0]}/{incarnation[1]}"
