"""greengagetack.batches.where: explains where the dispatcher would place an item."""

import heapq
from collections.abc import Collection

from greengagetack.batches.engine_properties import DEFAULT_SLOTS
from greengagetack.batches.item_placement import PlacementRound
from greengagetack.batches.job import Item, Job
from greengagetack.batches.placement import (
    Candidate,
    ItemWork,
    choose_candidate,
    expected_end_s,
)
from greengagetack.batches.progress import ItemProgress
from greengagetack.gateway.where import (
    MAX_LISTED,
    CandidateRow,
    Exclusions,
    Placement,
    Reason,
    ServiceView,
    find_reason,
    last_resort_ids,
)
from greengagetack.replicas.replica import ReplicaState

__all__ = ["ASSUMED_EVENTS", "explain_item", "make_item", "view_items"]

# Events of the item that is assumed. The bodies of items are not known to the asker.
ASSUMED_EVENTS = 100
MS_PER_S = 1_000


def make_item(tokens_per_event: int) -> ItemProgress:
    """Return an item that has not begun, of the assumed length and without a prompt."""
    tokens = ASSUMED_EVENTS * tokens_per_event
    return ItemProgress(Item("", "", (), b"", tokens, "", output_hint=tokens))


def _exclude(
    exclusions: Exclusions,
    view: ServiceView,
    state: ReplicaState,
    job: Job,
    last_resorts: Collection[str],
    loading_ids: Collection[str] = (),
) -> bool:
    """Count a replica that gets no item by a rule; return whether there is one."""
    version = state.version_of(job.model)
    reason = find_reason(view, state, last_resorts)
    if reason is not None:
        exclusions.add(state, reason)
    elif version < job.min_version:
        detail = f"version {version}, the job needs {job.min_version}"
        exclusions.add(state, Reason.OLD_WEIGHTS, detail)
    elif state.replica.replica_id in loading_ids:
        exclusions.add(state, Reason.LOADING, "it loads weights")
    else:
        return False
    return True


def _slots(state: ReplicaState) -> int:
    return state.replica.slots or DEFAULT_SLOTS


def view_items(view: ServiceView, job: Job, zone: str) -> Placement:
    """Return what a daemon that does not run the jobs knows of an item's candidates.

    Replicas may be full of the dispatcher's runs, and only the dispatcher knows their
    times per event, so none is chosen.
    """
    exclusions = Exclusions(view)
    last_resorts = last_resort_ids(view)
    allowed = [
        state
        for state in view.listed
        if not _exclude(exclusions, view, state, job, last_resorts)
    ]
    nearest = heapq.nsmallest(
        MAX_LISTED, allowed, key=lambda state: state.replica.availability_zone != zone
    )
    rows = tuple(
        CandidateRow(
            state.replica.replica_id,
            state.replica.availability_zone,
            None,
            None,
            None,
            state.in_flight,
            _slots(state),
            0.0,
            version=state.version_of(job.model),
            needs_permit=state.rate_limit_per_s is not None,
        )
        for state in nearest
    )
    return Placement(
        None,
        False,
        rows,
        len(allowed),
        tuple(exclusions.listed),
        exclusions.counts(),
    )


def explain_item(
    view: ServiceView,
    job: Job,
    progress: ItemProgress,
    reading: PlacementRound,
    loading_ids: Collection[str],
) -> Placement:
    """Return where the dispatcher would place an item now."""
    work = reading.work(job, progress)
    candidates = [] if view.is_path_lost else reading.candidates(job, progress)
    usable: list[tuple[float, int, Candidate]] = []
    short_of_memory: dict[str, Candidate] = {}
    for number, candidate in enumerate(candidates):
        if candidate.free_tokens < work.soon_tokens and candidate.in_flight:
            short_of_memory[candidate.replica_id] = candidate
            continue
        usable.append((expected_end_s(candidate, work), number, candidate))
    usable_ids = {candidate.replica_id for _, _, candidate in usable}
    exclusions = Exclusions(view)
    states: dict[str, ReplicaState] = {}
    last_resorts = last_resort_ids(view)
    for state in view.listed:
        name = state.replica.replica_id
        if name in usable_ids:
            states[name] = state
        elif name in short_of_memory:
            free_tokens = short_of_memory[name].free_tokens
            detail = f"{free_tokens} tokens free, the item needs {work.soon_tokens}"
            exclusions.add(state, Reason.NO_MEMORY, detail)
        elif not _exclude(exclusions, view, state, job, last_resorts, loading_ids):
            detail = f"{state.in_flight} of {_slots(state)} places"
            exclusions.add(state, Reason.FULL, detail)
    nearest = heapq.nsmallest(MAX_LISTED, usable)
    # The first ends are among the nearest, so that the choice is that of all.
    chosen = choose_candidate((entry[2] for entry in nearest), work)
    return Placement(
        None if chosen is None else chosen.replica_id,
        False,
        tuple(
            _row(states[candidate.replica_id], candidate, end_s, work, job)
            for end_s, _, candidate in nearest
        ),
        len(usable),
        tuple(exclusions.listed),
        exclusions.counts(),
    )


def _row(
    state: ReplicaState, candidate: Candidate, end_s: float, work: ItemWork, job: Job
) -> CandidateRow:
    way_s = work.other_zone_s if candidate.is_other_zone else 0.0
    return CandidateRow(
        candidate.replica_id,
        state.replica.availability_zone,
        round(end_s * MS_PER_S, 2),
        round(candidate.pace_s * MS_PER_S, 2),
        None,
        candidate.in_flight,
        candidate.slots,
        round(way_s * MS_PER_S, 2),
        version=state.version_of(job.model),
        needs_permit=state.rate_limit_per_s is not None,
    )
