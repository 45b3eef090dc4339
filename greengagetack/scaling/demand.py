"""greengagetack.scaling.demand: measures the demand that scaling decisions need.

The dispatcher knows the open steps and the speed of the engines, and the holder of the
scaling duty asks it once a second. Callers' arrivals come from `scaling.arrivals`.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote

from greengagetack.batches.dispatcher import Dispatcher, EngineProperties
from greengagetack.batches.job_run import JobRun
from greengagetack.batches.memory import memory_need
from greengagetack.batches.pace import SLOW_RATIO, Paces, usual_pace_s
from greengagetack.replicas.fleet import Fleet
from greengagetack.scaling.arrivals import (
    ArrivalCounter,
    ArrivalReports,
    encode_arrivals,
)
from greengagetack.scaling.need import ServiceDemand, StepDemand
from greengagetack.scaling.spec import ScalingSpec

__all__ = ["DemandReport", "DemandSource"]

# Horizon of a job without a due time.
NO_DUE_S = 60.0
MS_PER_S = 1_000.0
DEFAULT_SLOTS = 8


@dataclass(frozen=True, slots=True)
class DemandReport:
    """The demand of all scaled services as the dispatcher knows it.

    `slow_ids` are replicas whose pace is far above the usual one; `view_age_s` is the
    age of the dispatcher's list of replicas, which other daemons follow.
    """

    services: dict[str, ServiceDemand]
    slow_ids: tuple[str, ...] = ()
    view_age_s: float = 0.0


class DemandSource:
    """Measures the demand on this daemon; complete while this is the dispatcher.

    Parameters
    ----------
    specs : callable
        Returns the services that are scaled.
    view_age_s : callable
        Returns the age of the list of replicas, in seconds.
    """

    def __init__(
        self,
        node: str,
        dispatcher: Dispatcher,
        fleet: Fleet,
        properties: EngineProperties,
        specs: Callable[[], tuple[ScalingSpec, ...]],
        member_count: Callable[[], int],
        view_age_s: Callable[[], float],
    ) -> None:
        self._node = node
        self._dispatcher = dispatcher
        self._fleet = fleet
        self._properties = properties
        self._specs = specs
        self._view_age_s = view_age_s
        self.arrivals = ArrivalCounter()
        self._reports = ArrivalReports(member_count)
        # The last measured time per event, for the start of the next step.
        self._event_s: dict[str, float] = {}

    def ping_fields(self) -> str:
        """Return what the pings to the dispatcher carry, empty for nothing."""
        if not self._specs() or not self._reports.is_reporter(self._node):
            return ""
        return f"&node={quote(self._node)}&arrivals={self._encode_arrivals()}"

    def _encode_arrivals(self) -> str:
        runs, _ = self._dispatcher.workload()
        rates = []
        for spec in self._specs():
            rate = self.arrivals.rate_per_s(spec.service)
            busy = self._busy_slots(spec.service, rate, runs)
            if rate or busy:
                rates.append((spec.service, rate, busy))
        return encode_arrivals(rates)

    def _busy_slots(self, service: str, rate: float, runs: list[JobRun]) -> float:
        """Return how many slots this daemon's callers occupy on average.

        The time of a stream is not measured, so that streams are counted as they run.
        """
        states = self._fleet.replicas_of_service(service)
        known_s = [s.service_time_s for s in states if s.service_time_s is not None]
        if known_s:
            return rate * sum(known_s) / len(known_s)
        items = sum(
            progress.is_running
            for run in runs
            if run.job.service == service
            for progress in run.unfinished.values()
        )
        return float(max(0, sum(state.in_flight for state in states) - items))

    def record_ping(self, node: str, arrivals: str) -> None:
        """Record what a ping of another daemon carries."""
        if node and arrivals:
            self._reports.record(node, arrivals)

    def report(self) -> DemandReport:
        """Return the demand of all scaled services."""
        self._reports.record(self._node, self._encode_arrivals())
        runs, paces = self._dispatcher.workload()
        slow_ids: list[str] = []
        services: dict[str, ServiceDemand] = {}
        for spec in self._specs():
            service = spec.service
            own = [run for run in runs if run.job.service == service]
            services[service] = self._service_demand(service, own, paces)
            slow_ids += self._slow_ids(service, paces)
        return DemandReport(services, tuple(slow_ids), self._view_age_s())

    def _event_times_s(self, service: str, paces: Paces) -> dict[str, float]:
        return {
            state.replica.replica_id: paces.reliable_s[state.replica.replica_id]
            for state in self._fleet.replicas_of_service(service)
            if state.replica.replica_id in paces.reliable_s
        }

    def _slow_ids(self, service: str, paces: Paces) -> list[str]:
        known_s = self._event_times_s(service, paces)
        usual_s = usual_pace_s(known_s.values())
        return [name for name, pace in known_s.items() if pace > SLOW_RATIO * usual_s]

    def _service_demand(
        self, service: str, runs: list[JobRun], paces: Paces
    ) -> ServiceDemand:
        per_event = self._properties.tokens_per_event_of(service)
        known_s = [
            pace for pace in self._event_times_s(service, paces).values() if pace
        ]
        if known_s:
            # Replicas of different speeds: their mean rate counts, not their mean pace.
            self._event_s[service] = len(known_s) / sum(1 / pace for pace in known_s)
        event_s = self._event_s.get(service)
        steps = tuple(self._step_demand(run, per_event) for run in runs)
        per_replica = self._items_per_replica(service, runs, per_event)
        rate, busy_slots = self._reports.totals(service)
        return ServiceDemand(
            tuple(step for step in steps if step.items_left),
            per_replica * per_event / event_s if event_s else 0.0,
            per_replica,
            rate,
            busy_slots,
        )

    @staticmethod
    def _step_demand(run: JobRun, per_event: int) -> StepDemand:
        needed = run.needed_groups()
        events = [
            progress.events_left(per_event)
            for progress in run.unfinished.values()
            if progress.item.group in needed and not progress.is_complete
        ]
        due_in_s = run.due_ms / MS_PER_S - time.time()
        if not run.job.due_after_ms:
            due_in_s = NO_DUE_S
        return StepDemand(float(sum(events) * per_event), len(events), due_in_s)

    def _items_per_replica(
        self, service: str, runs: list[JobRun], per_event: int
    ) -> float:
        """Return how many items a replica runs at a time, by slots and by memory."""
        states = self._fleet.replicas_of_service(service)
        slots = [state.replica.slots or DEFAULT_SLOTS for state in states]
        mean_slots = sum(slots) / len(slots) if slots else float(DEFAULT_SLOTS)
        memory = self._properties.memory_tokens.get(service, 0)
        tokens = [
            memory_need(progress, per_event, 1.0).final_tokens
            for run in runs
            for progress in run.unfinished.values()
        ]
        if not memory or not sum(tokens):
            return mean_slots
        # Runs are at different points: on average they hold half of their tokens.
        mean_tokens = sum(tokens) / len(tokens) / 2
        return max(1.0, min(mean_slots, memory / mean_tokens))
