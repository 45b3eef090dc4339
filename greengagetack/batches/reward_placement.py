"""greengagetack.batches.reward_placement: chooses the replica for a reward call.

A group of items often finishes at once, and its reward calls go to replicas that also
serve callers, who come first. The calls in flight per replica are therefore limited to
a part of its slots: fewer after a refusal, more while the replica accepts all calls.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["RewardCandidate", "RewardLimits", "choose_reward_replica"]

# Initial share of a replica's slots for reward calls.
INITIAL_SLOT_SHARE = 0.67
# Slots of each replica that reward calls leave free for callers.
RESERVED_SLOTS = 1
DEFAULT_SLOTS = 4
# Share of the limit that is left after a refusal.
REFUSAL_FACTOR = 0.5
DEFAULT_SERVICE_TIME_S = 0.1


@dataclass(frozen=True, slots=True)
class RewardCandidate:
    """A replica that may score an output.

    `limit` is the number of calls that may be in flight there; `service_time_s` is
    None before the first answer.
    """

    replica_id: str
    in_flight: int
    limit: int
    service_time_s: float | None = None


def choose_reward_replica(
    candidates: Iterable[RewardCandidate], avoided_id: str = ""
) -> str | None:
    """Return the replica that should answer soonest, None if all are at their limit.

    Parameters
    ----------
    avoided_id : str
        A replica that just failed the same call; it is chosen only if it is the only
        one below its limit.
    """
    best: str | None = None
    best_cost = float("inf")
    fallback: str | None = None
    for candidate in candidates:
        if candidate.in_flight >= candidate.limit:
            continue
        if candidate.replica_id == avoided_id:
            fallback = avoided_id
            continue
        service_time_s = candidate.service_time_s or DEFAULT_SERVICE_TIME_S
        cost = service_time_s * (1 + candidate.in_flight / candidate.limit)
        if cost < best_cost:
            best, best_cost = candidate.replica_id, cost
    return best or fallback


class RewardLimits:
    """Adapts the number of reward calls in flight per replica to what it accepts."""

    def __init__(self) -> None:
        self._limits: dict[str, float] = {}

    def limit_of(self, replica_id: str, slots: int) -> int:
        """Return how many calls may be in flight at a replica, at least one."""
        slots = slots or DEFAULT_SLOTS
        limit = self._limits.setdefault(replica_id, slots * INITIAL_SLOT_SHARE)
        return max(1, min(slots - RESERVED_SLOTS, int(limit)))

    def record_answer(self, replica_id: str, slots: int) -> None:
        """Raise the limit by one per round of answered calls."""
        limit = self._limits.get(replica_id, 1.0)
        most = float((slots or DEFAULT_SLOTS) - RESERVED_SLOTS)
        self._limits[replica_id] = max(1.0, min(most, limit + 1.0 / max(1.0, limit)))

    def record_refusal(self, replica_id: str) -> None:
        """Lower the limit after the replica refused a call because it is full."""
        limit = self._limits.get(replica_id, 1.0)
        self._limits[replica_id] = max(1.0, limit * REFUSAL_FACTOR)

    def forget(self, replica_id: str) -> None:
        """Drop the limit of a replica that is gone."""
        self._limits.pop(replica_id, None)
