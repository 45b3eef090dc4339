"""greengagetack.batches.item_placement: where the dispatcher sends and moves items.

The decisions themselves are in `placement`, `pace` and `silence`; this module collects
what they need from the listed replicas and the running items.
"""

import copy
import dataclasses
import time
from collections.abc import Iterable

from loguru import logger

from greengagetack.batches.engine_properties import DEFAULT_SLOTS, EngineProperties
from greengagetack.batches.job import Job
from greengagetack.batches.loading_pause import LoadingPause
from greengagetack.batches.memory import MemoryNeed, MemoryUsage, memory_need
from greengagetack.batches.pace import (
    Paces,
    PaceTracker,
    RunningItem,
    choose_moves,
    is_worth_moving,
)
from greengagetack.batches.placement import (
    Candidate,
    ItemWork,
    choose_candidate,
)
from greengagetack.batches.progress import ItemProgress
from greengagetack.batches.prompts import PromptTracker
from greengagetack.batches.silence import SilenceWatch
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.paths import ReplicaPaths
from greengagetack.replicas.permits import Permits
from greengagetack.replicas.replica import Replica, ReplicaState
from greengagetack.replicas.zone_cost import ZoneCost

__all__ = ["ItemPlacement", "Move", "PlacementRound", "RunningEntry"]

# Minimum age of a run before it may be moved.
MIN_RUN_BEFORE_MOVE_S = 0.3
# Size of an event that was not received yet, for each of its tokens.
BYTES_PER_TOKEN = 4
MS_PER_S = 1_000

# Job, progress and replica of a run.
RunningEntry = tuple[Job, ItemProgress, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A run that should continue at another replica, as its own is slow or silent."""

    item_id: str
    replica_id: str
    target_id: str
    is_silent: bool


class ItemPlacement:
    """Keeps what was observed of replicas that run items, and places items by it.

    Parameters
    ----------
    zone : str
        Availability zone of this VM, empty if it does not matter.
    """

    def __init__(
        self,
        fleet: Fleet,
        permits: Permits,
        paths: ReplicaPaths,
        engine_properties: EngineProperties,
        zone: str,
        zone_cost: ZoneCost,
    ) -> None:
        self.fleet = fleet
        self.permits = permits
        self.paths = paths
        self.engine_properties = engine_properties
        self.zone = zone
        self.zone_cost = zone_cost
        self.loading_ids: set[str] = set()
        self.prompts = PromptTracker()
        self._paces = PaceTracker()
        self._silences = SilenceWatch()
        self._loading_pause = LoadingPause()

    def paces(self) -> Paces:
        """Return the measured times per event of the replicas."""
        return self._paces.current()

    def is_other_zone(self, replica: Replica) -> bool:
        """Whether a replica is in another availability zone than this VM."""
        return bool(self.zone) and replica.availability_zone != self.zone

    def record_event(self, replica_id: str, gap_s: float) -> None:
        """Record an event of a run, `gap_s` after the previous one, 0 for the first."""
        self._silences.record_event(replica_id)
        if not gap_s:
            return
        self._paces.record(replica_id, gap_s)
        if replica_id in self.loading_ids:
            self._loading_pause.record_gap(gap_s)

    def stall_timeout_s(self, replica_id: str) -> float:
        """Return how long a run on a replica may emit no event, in seconds."""
        return self._loading_pause.stall_timeout_s(replica_id in self.loading_ids)

    def forget(self, replica: Replica) -> None:
        """Remove what is known of a replica that is gone."""
        self.prompts.forget(replica.replica_id)
        self._paces.forget(replica.replica_id)
        self._silences.forget(replica.replica_id)

    def events_left(self, job: Job, progress: ItemProgress) -> int:
        """Return the expected number of remaining events of an item."""
        per_event = self.engine_properties.tokens_per_event_of(job.service)
        return progress.events_left(per_event)

    def start_reading(self, running: Iterable[RunningEntry]) -> "PlacementRound":
        """Return a view that takes no permit and does not check for silent runs."""
        twin = copy.copy(self)
        twin.permits = self.permits.reading_copy()
        return PlacementRound(twin, list(running), self._paces.current(), frozenset())

    def start_round(self, running: Iterable[RunningEntry]) -> "PlacementRound":
        """Return the view of replicas and runs for one pass over the items."""
        entries = list(running)
        paces = self._paces.current()
        silences_s = self._silences.check(
            ((replica_id, run.run_started_s) for _, run, replica_id in entries),
            paces,
            self.loading_ids if self._loading_pause.pauses_runs else (),
        )
        if silences_s:
            reliable_s = {**paces.reliable_s, **silences_s}
            paces = dataclasses.replace(paces, reliable_s=reliable_s)
        return PlacementRound(self, entries, paces, frozenset(silences_s))


class PlacementRound:
    """One pass over waiting and running items, with paces that do not change in it."""

    def __init__(
        self,
        placement: ItemPlacement,
        running: list[RunningEntry],
        paces: Paces,
        silent_ids: frozenset[str],
    ) -> None:
        self._placement = placement
        self._running = running
        self._silent_ids = silent_ids
        self.paces = paces
        self._now_s = time.monotonic()
        self._memory_use = MemoryUsage()
        # Slots that moved runs are going to take.
        self._reserved: dict[str, int] = {}
        self._open: dict[str, list[ReplicaState]] = {}
        for job, progress, replica_id in running:
            self._memory_use.add(replica_id, self._memory_need(job, progress))

    def _memory_need(self, job: Job, progress: ItemProgress) -> MemoryNeed:
        properties = self._placement.engine_properties
        per_event = properties.tokens_per_event_of(job.service)
        return memory_need(progress, per_event, self.paces.usual_s)

    def _free_slots(self, state: ReplicaState) -> int:
        reserved = self._reserved.get(state.replica.replica_id, 0)
        return (state.replica.slots or DEFAULT_SLOTS) - state.in_flight - reserved

    def _open_states(self, service: str) -> list[ReplicaState]:
        """Return the replicas of a service that had a free slot at the start."""
        known = self._open.get(service)
        if known is None:
            known = self._open[service] = [
                state
                for state in self._placement.fleet.serving_replicas(service)
                if state.is_usable(self._now_s)
                and state.replica.replica_id not in self._placement.loading_ids
                and self._free_slots(state) > 0
            ]
        return known

    def choose(
        self, job: Job, progress: ItemProgress, leaving: str = ""
    ) -> ReplicaState | None:
        """Return the replica for an item, not `leaving`, None if there is none."""
        if self._placement.paths.is_lost(job.service):
            return None
        candidates = self.candidates(job, progress, leaving)
        if not candidates:
            return None
        chosen = choose_candidate(candidates, self.work(job, progress))
        return None if chosen is None else self._placement.fleet.get(chosen.replica_id)

    def candidates(
        self, job: Job, progress: ItemProgress, leaving: str = ""
    ) -> list[Candidate]:
        """Return the replicas that an item may go to, full memories included."""
        return [
            self._candidate(job, progress, state)
            for state in self._open_states(job.service)
            if state.replica.replica_id != leaving
            and self._is_allowed(job, progress, state)
        ]

    def _is_allowed(
        self, job: Job, progress: ItemProgress, state: ReplicaState
    ) -> bool:
        """Whether the rules of the job and of the replica let an item go there."""
        version = state.version_of(job.model)
        if self._free_slots(state) <= 0 or version < job.min_version:
            return False
        if not progress.may_continue_at(state.replica.software_version):
            return False
        if not self._placement.permits.has_permit(state):
            return False
        is_avoided = self._now_s < progress.avoided_until_s
        if is_avoided and state.replica.replica_id == progress.avoided_replica:
            return False
        return not job.single_version or progress.versions in ([], [version])

    def _candidate(
        self, job: Job, progress: ItemProgress, state: ReplicaState
    ) -> Candidate:
        replica = state.replica
        replica_id = replica.replica_id
        memory = self._placement.engine_properties.memory_tokens_of(job.service)
        return Candidate(
            replica_id,
            state.in_flight + self._reserved.get(replica_id, 0),
            replica.slots or DEFAULT_SLOTS,
            self.paces.pace_of(replica_id),
            memory - self._memory_use.soon_tokens(replica_id),
            self._memory_use.final_tokens(replica_id) / memory,
            self._placement.prompts.has_prompt(
                replica_id, progress.item.group, state.version_of(job.model)
            ),
            self._placement.is_other_zone(replica),
        )

    def work(self, job: Job, progress: ItemProgress) -> ItemWork:
        """Return what is left to do for an item."""
        per_event = self._placement.engine_properties.tokens_per_event_of(job.service)
        events_left = progress.events_left(per_event)
        made = len(progress.outputs)
        event_bytes = per_event * BYTES_PER_TOKEN
        if made:
            event_bytes = progress.output_chars // made
        size_bytes = len(progress.item.body) + events_left * event_bytes
        return ItemWork(
            events_left,
            self._memory_need(job, progress).soon_tokens,
            progress.item.prompt_tokens,
            self._placement.zone_cost.seconds(size_bytes),
        )

    def add(self, job: Job, progress: ItemProgress, state: ReplicaState) -> None:
        """Count a run that has been started in this round."""
        need = self._memory_need(job, progress)
        self._memory_use.add(state.replica.replica_id, need)

    def moves(self) -> list[Move]:
        """Return the runs that should continue at faster replicas."""
        moves: list[Move] = []
        for service in sorted({job.service for job, _, _ in self._running}):
            moves.extend(self._moves_of(service))
        return moves

    def _moves_of(self, service: str) -> list[Move]:
        entries = {
            progress.item.item_id: (job, progress, replica_id)
            for job, progress, replica_id in self._running
            if job.service == service
            and progress.is_running
            and self._now_s - progress.run_started_s > MIN_RUN_BEFORE_MOVE_S
        }
        paces_s = {
            state.replica.replica_id: self.paces.pace_of(state.replica.replica_id)
            for state in self._placement.fleet.replicas_of_service(service)
        }
        free_slots = {
            state.replica.replica_id: max(0, self._free_slots(state))
            for state in self._open_states(service)
        }
        running = [
            RunningItem(item_id, replica_id, self._placement.events_left(job, progress))
            for item_id, (job, progress, replica_id) in entries.items()
        ]
        moves: list[Move] = []
        for item_id in choose_moves(running, paces_s, free_slots):
            job, progress, replica_id = entries[item_id]
            target_id = self._move_target(job, progress, replica_id)
            if target_id is None:
                continue
            is_silent = replica_id in self._silent_ids
            moves.append(Move(item_id, replica_id, target_id, is_silent))
            self._reserved[target_id] = self._reserved.get(target_id, 0) + 1
            logger.info(
                "dispatch: run moved from a slow replica",
                request_id=item_id,
                job=job.job_id,
                replica=replica_id,
                target=target_id,
                events_left=self._placement.events_left(job, progress),
                pace_ms=int(paces_s[replica_id] * MS_PER_S),
                target_pace_ms=int(self.paces.pace_of(target_id) * MS_PER_S),
            )
        return moves

    def _move_target(
        self, job: Job, progress: ItemProgress, replica_id: str
    ) -> str | None:
        """Return the replica a run would move to, None if there is no faster one.

        Other replicas may be fast but full, or lack the weights that the item needs.
        """
        state = self.choose(job, progress, leaving=replica_id)
        if state is None:
            return None
        target_id = state.replica.replica_id
        left = self._placement.events_left(job, progress)
        pace_s = self.paces.pace_of(replica_id)
        target_pace_s = self.paces.pace_of(target_id)
        return target_id if is_worth_moving(left, pace_s, target_pace_s) else None
