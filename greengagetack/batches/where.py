"""greengagetack.batches.where: explains where the dispatcher would place an item."""

import heapq
from collections.abc import Callable, Collection

from greengagetack.batches.engine_properties import DEFAULT_SLOTS
from greengagetack.batches.item_placement import PlacementRound
from greengagetack.batches.job import Item, Job
from greengagetack.batches.placement import Candidate, ItemWork, expected_end_s
from greengagetack.batches.progress import ItemProgress
from greengagetack.gateway.where import (
    MAX_LISTED,
    CandidateRow,
    Excluded,
    Placement,
    Reason,
    ServiceView,
    find_exclusion,
    listed_exclusions,
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


def _exclusions(
    view: ServiceView,
    job: Job,
    loading_ids: Collection[str],
    is_full: Callable[[ReplicaState], bool],
) -> tuple[list[ReplicaState], list[Excluded]]:
    """Return the replicas that the rules let an item go to, and the others."""
    serving_ids = {state.replica.replica_id for state in view.serving}
    allowed: list[ReplicaState] = []
    excluded: list[Excluded] = []
    for state in view.listed:
        found = find_exclusion(view, state, serving_ids)
        replica = state.replica
        name, zone = replica.replica_id, replica.availability_zone
        version = state.version_of(job.model)
        if found is not None:
            excluded.append(found)
        elif version < job.min_version:
            detail = f"version {version}, the job needs {job.min_version}"
            excluded.append(Excluded(name, zone, Reason.OLD_WEIGHTS, detail))
        elif name in loading_ids:
            excluded.append(Excluded(name, zone, Reason.LOADING, "it loads weights"))
        elif is_full(state):
            detail = f"{state.in_flight} of {replica.slots or DEFAULT_SLOTS} places"
            excluded.append(Excluded(name, zone, Reason.FULL, detail))
        else:
            allowed.append(state)
    return allowed, excluded


def _is_full(state: ReplicaState) -> bool:
    return state.in_flight >= (state.replica.slots or DEFAULT_SLOTS)


def view_items(view: ServiceView, job: Job, zone: str) -> Placement:
    """Return what a daemon that does not run the jobs knows of an item's candidates.

    Replicas may be full of the dispatcher's runs, and only the dispatcher knows their
    times per event, so none is chosen.
    """
    allowed, excluded = _exclusions(view, job, (), lambda state: False)
    # Sorted to list the nearest ones first.
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
            state.replica.slots or DEFAULT_SLOTS,
            0.0,
            version=state.version_of(job.model),
            needs_permit=state.rate_limit_per_s is not None,
        )
        for state in nearest
    )
    listed, counts = listed_exclusions(excluded)
    return Placement(None, False, rows, len(allowed), listed, counts)


def explain_item(
    view: ServiceView,
    job: Job,
    progress: ItemProgress,
    reading: PlacementRound,
    loading_ids: Collection[str],
) -> Placement:
    """Return where the dispatcher would place an item now."""
    allowed, excluded = _exclusions(view, job, loading_ids, _is_full)
    states = {state.replica.replica_id: state for state in allowed}
    work = reading.work(job, progress)
    usable: list[Candidate] = []
    for candidate in reading.candidates(job, progress):
        state = states.get(candidate.replica_id)
        if state is None:
            continue
        if candidate.free_tokens < work.soon_tokens and candidate.in_flight:
            replica = state.replica
            detail = f"{candidate.free_tokens} tokens free of {work.soon_tokens}"
            excluded.append(
                Excluded(
                    replica.replica_id,
                    replica.availability_zone,
                    Reason.NO_MEMORY,
                    detail,
                )
            )
            continue
        usable.append(candidate)
    nearest = heapq.nsmallest(
        MAX_LISTED, usable, key=lambda one: expected_end_s(one, work)
    )
    rows = tuple(_row(states[one.replica_id], one, work, job) for one in nearest)
    chosen = reading.choose(job, progress) if usable else None
    listed, counts = listed_exclusions(excluded)
    return Placement(
        None if chosen is None else chosen.replica.replica_id,
        False,
        rows,
        len(usable),
        listed,
        counts,
    )


def _row(
    state: ReplicaState, candidate: Candidate, work: ItemWork, job: Job
) -> CandidateRow:
    way_s = work.other_zone_s if candidate.is_other_zone else 0.0
    return CandidateRow(
        candidate.replica_id,
        state.replica.availability_zone,
        round(expected_end_s(candidate, work) * MS_PER_S, 2),
        round(candidate.pace_s * MS_PER_S, 2),
        None,
        candidate.in_flight,
        candidate.slots,
        round(way_s * MS_PER_S, 2),
        version=state.version_of(job.model),
        needs_permit=state.rate_limit_per_s is not None,
    )
