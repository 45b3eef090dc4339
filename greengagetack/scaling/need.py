"""greengagetack.scaling.need: how many replicas open and arriving work needs."""

import math
from dataclasses import dataclass

from greengagetack.batches.start_waits import StartDemand

__all__ = [
    "DemandReport",
    "ServiceDemand",
    "StepDemand",
    "load_replicas",
    "needed_replicas",
]

# A replica that would serve for less than this before the work is due gains too little.
MIN_USEFUL_S = 1.0
# Overdue work counts as due this soon, so that it keeps a finite weight.
MIN_HORIZON_S = 1.0
# Share of the measured speed that a step gets: its last items leave slots empty.
STEP_EFFICIENCY = 0.8
# Callers' requests wait noticeably above the first share of busy slots. More replicas
# are ordered then, enough for the second share. A wave of 15 % around the second share
# does not reach the first: 0.7 * 1.15 = 0.805.
MAX_CALLER_SHARE = 0.85
GOAL_CALLER_SHARE = 0.7


# Where items may wait for less than this, a step needs a slot for each of its items.
TIGHT_WAIT_S = 1.0


@dataclass(frozen=True, slots=True)
class StepDemand:
    """What is left of an open step in the groups that its trainer waits for.

    `due_in_s` is relative, as the clocks of VMs differ; it is negative if overdue.
    """

    tokens_left: float
    items_left: int
    due_in_s: float


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Open and arriving work of a service.

    Attributes
    ----------
    tokens_per_s : float
        Measured speed of one full replica, 0 if it is not known.
    items_per_replica : float
        Items that one replica runs at a time, bounded by its slots and its memory.
    arrivals_per_s, busy_slots : float
        Callers' requests at all daemons together, and the slots that they occupy.
    starts : StartDemand
        How long items wait for a slot, and how many are open at a time.
    """

    steps: tuple[StepDemand, ...] = ()
    tokens_per_s: float = 0.0
    items_per_replica: float = 1.0
    arrivals_per_s: float = 0.0
    busy_slots: float = 0.0
    starts: StartDemand = StartDemand()


@dataclass(frozen=True, slots=True)
class DemandReport:
    """The demand of all scaled services as the dispatcher knows it.

    `slow_ids` are replicas whose pace is far above the usual one; `view_age_s` is the
    age of the dispatcher's list of replicas, which other daemons follow.
    `standing_digest` tells which numbers of replicas to keep the dispatcher has, and
    `standing` has these if they were asked for.
    """

    services: dict[str, ServiceDemand]
    slow_ids: tuple[str, ...] = ()
    view_age_s: float = 0.0
    standing_digest: str = ""
    standing: str = ""


def _by_due_time(demand: ServiceDemand) -> list[tuple[float, float, float]]:
    """Return due time, tokens and replicas that can be busy, up to each due time."""
    found: list[tuple[float, float, float]] = []
    tokens, items = 0.0, 0
    for step in sorted(demand.steps, key=lambda step: step.due_in_s):
        tokens += step.tokens_left
        items += step.items_left
        busiest = items / max(1.0, demand.items_per_replica)
        found.append((step.due_in_s, tokens, busiest))
    return found


def _caller_replicas(demand: ServiceDemand, slots: float) -> float:
    """Return how many replicas the callers keep busy with all slots."""
    return demand.busy_slots / max(1.0, slots)


def _peak_replicas(demand: ServiceDemand) -> int:
    """Return how many replicas run all open items at once.

    Each model has replicas of its own, as each replica loads the newest weights of some
    models only.
    """
    per_replica = max(1.0, demand.items_per_replica)
    return sum(math.ceil(peak / per_replica) for peak in demand.starts.peak_items)


def load_replicas(demand: ServiceDemand, slots: float) -> float:
    """Return how many replicas the present work would keep busy until it is due."""
    load = 0.0
    rate = demand.tokens_per_s * STEP_EFFICIENCY
    for due_in_s, tokens, busiest in _by_due_time(demand):
        if rate <= 0:
            # Unknown speed: no replica that has an item to run is dispensable.
            load = max(load, busiest)
            continue
        needed = tokens / (rate * max(MIN_HORIZON_S, due_in_s))
        load = max(load, min(needed, busiest))
    if demand.starts.allowed_wait_s < TIGHT_WAIT_S:
        load = max(load, _peak_replicas(demand))
    return load + _caller_replicas(demand, slots)


def needed_replicas(
    demand: ServiceDemand, usable: int, boot_s: float, slots: float
) -> int:
    """Return how many replicas are needed so that the work is in time.

    This addresses a step that is larger than the replicas can finish by its due time,
    steps whose long items start too late, and a rise of the callers' rate. A replica
    ordered now starts after its boot time and can only run items that still wait for a
    slot.

    Parameters
    ----------
    usable : int
        Replicas that serve or boot already.
    """
    need = 0
    rate = demand.tokens_per_s * STEP_EFFICIENCY
    for due_in_s, tokens, busiest in _by_due_time(demand):
        gained_s = due_in_s - boot_s
        missing = tokens - usable * rate * due_in_s
        if rate <= 0 or gained_s < MIN_USEFUL_S or missing <= 0:
            continue
        wanted = usable + math.ceil(missing / (rate * gained_s))
        need = max(need, min(wanted, math.ceil(busiest)))
    if demand.starts.wait_s > demand.starts.allowed_wait_s:
        need = max(need, _peak_replicas(demand))
    callers = _caller_replicas(demand, slots)
    if callers > MAX_CALLER_SHARE * usable:
        need = max(need, math.ceil(callers / GOAL_CALLER_SHARE))
    return need
