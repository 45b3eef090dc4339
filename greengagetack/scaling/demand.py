"""greengagetack.scaling.demand: measures the demand that scaling decisions need.

The dispatcher knows the open steps and the speed of the engines, and the holder of the
scaling duty asks it once a second. Callers' arrivals come from `scaling.arrivals`.
"""

import time
from collections.abc import Callable

from greengagetack.batches.dispatcher import Dispatcher
from greengagetack.batches.engine_properties import EngineProperties
from greengagetack.batches.job_run import JobRun
from greengagetack.batches.memory import memory_need
from greengagetack.batches.pace import SLOW_RATIO, usual_pace_s
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import ReplicaState
from greengagetack.scaling.arrivals import (
    ArrivalCounter,
    ArrivalReports,
    encode_arrivals,
)
from greengagetack.scaling.need import DemandReport, ServiceDemand, StepDemand
from greengagetack.scaling.spec import ScalingSpec
from greengagetack.scaling.standing import digest_of

__all__ = ["DemandSource"]

# Horizon of a job without a due time.
NO_DUE_S = 60.0
MS_PER_S = 1_000.0
DEFAULT_SLOTS = 8


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
        self._standing = ""

    def take_report(self) -> str:
        """Return this daemon's arrivals for a ping, empty for nothing."""
        if not self._specs() or not self._reports.is_reporter(self._node):
            return ""
        return self._encode_arrivals()

    def _encode_arrivals(self) -> str:
        runs, _ = self._dispatcher.workload()
        states = self._states_by_service()
        rates = []
        for spec in self._specs():
            rate = self.arrivals.rate_per_s(spec.service)
            own = [run for run in runs if run.job.service == spec.service]
            busy = _busy_slots(states[spec.service], rate, own)
            if rate or busy:
                rates.append((spec.service, rate, busy))
        return encode_arrivals(rates)

    def _states_by_service(self) -> dict[str, list[ReplicaState]]:
        """Return the listed replicas of the scaled services, in one pass."""
        found: dict[str, list[ReplicaState]] = {s.service: [] for s in self._specs()}
        for state in self._fleet.all_replicas():
            if state.replica.service in found:
                found[state.replica.service].append(state)
        return found

    def record_report(self, node: str, arrivals: str) -> None:
        """Record the arrivals of callers' requests at another daemon."""
        self._reports.record(node, arrivals)

    def keep_standing(self, standing: str) -> None:
        """Keep the holder's numbers of replicas for its successor."""
        if standing:
            self._standing = standing

    def report(self, wants_standing: bool = False) -> DemandReport:
        """Return the demand of all scaled services."""
        if self._reports.is_reporter(self._node):
            self._reports.record(self._node, self._encode_arrivals())
        runs, paces = self._dispatcher.workload()
        slow_ids: list[str] = []
        services: dict[str, ServiceDemand] = {}
        for service, states in self._states_by_service().items():
            own = [run for run in runs if run.job.service == service]
            known_s = {
                state.replica.replica_id: paces.reliable_s[state.replica.replica_id]
                for state in states
                if state.replica.replica_id in paces.reliable_s
            }
            services[service] = self._service_demand(service, own, states, known_s)
            slow_ids += _slow_ids(known_s)
        return DemandReport(
            services,
            tuple(slow_ids),
            self._view_age_s(),
            digest_of(self._standing),
            self._standing if wants_standing else "",
        )

    def _service_demand(
        self,
        service: str,
        runs: list[JobRun],
        states: list[ReplicaState],
        known_s: dict[str, float],
    ) -> ServiceDemand:
        per_event = self._properties.tokens_per_event_of(service)
        paces_s = [pace for pace in known_s.values() if pace]
        if paces_s:
            # Replicas of different speeds: their mean rate counts, not their mean pace.
            self._event_s[service] = len(paces_s) / sum(1 / pace for pace in paces_s)
        event_s = self._event_s.get(service)
        steps = tuple(_step_demand(run, per_event) for run in runs)
        memory = self._properties.memory_tokens.get(service, 0)
        per_replica = _items_per_replica(states, runs, memory, per_event)
        rate, busy_slots = self._reports.totals(service)
        due_after_s = min(
            (run.job.due_after_ms / MS_PER_S or NO_DUE_S for run in runs),
            default=NO_DUE_S,
        )
        return ServiceDemand(
            tuple(step for step in steps if step.items_left),
            per_replica * per_event / event_s if event_s else 0.0,
            per_replica,
            rate,
            busy_slots,
            self._dispatcher.start_waits.demand_of(
                service, due_after_s, _longest_run_s(runs, per_event, event_s or 0.0)
            ),
        )


def _busy_slots(states: list[ReplicaState], rate: float, runs: list[JobRun]) -> float:
    """Return how many slots this daemon's callers occupy on average.

    The time of a stream is not measured, so that streams are counted as they run.
    """
    known_s = [s.service_time_s for s in states if s.service_time_s is not None]
    if known_s:
        return rate * sum(known_s) / len(known_s)
    items = sum(
        progress.is_running for run in runs for progress in run.unfinished.values()
    )
    return float(max(0, sum(state.in_flight for state in states) - items))


def _slow_ids(known_s: dict[str, float]) -> list[str]:
    usual_s = usual_pace_s(known_s.values())
    return [name for name, pace in known_s.items() if pace > SLOW_RATIO * usual_s]


def _step_demand(run: JobRun, per_event: int) -> StepDemand:
    """Return what is left of a step in the groups that its trainer waits for."""
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


def _longest_run_s(runs: list[JobRun], per_event: int, event_s: float) -> float:
    """Return how long an open item runs that makes all tokens that it may make."""
    most_events = max(
        (
            (progress.item.tokens - progress.item.prompt_tokens) // per_event
            for run in runs
            for progress in run.unfinished.values()
        ),
        default=0,
    )
    return most_events * event_s


def _items_per_replica(
    states: list[ReplicaState], runs: list[JobRun], memory: int, per_event: int
) -> float:
    """Return how many items a replica runs at a time, by slots and by memory."""
    slots = [state.replica.slots or DEFAULT_SLOTS for state in states]
    mean_slots = sum(slots) / len(slots) if slots else float(DEFAULT_SLOTS)
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
