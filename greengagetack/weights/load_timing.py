"""greengagetack.weights.load_timing: when the loads of a newly named version may start.

A trainer submits its next step right after it has named a version, and that step
usually allows the version before. A replica that loads refuses new items, so loads that
start at once delay the first items of the step by the time of a load. Items that run go
on while their replica loads.
"""

from dataclasses import dataclass

__all__ = ["LoadTiming", "ModelWork"]

# Time from the naming of a version until the items of the next step are known.
NEXT_STEP_S = 0.5
# A step that finds no place for all of its items does not hold the loads back longer.
MAX_POSTPONEMENT_S = 1.5
# Versions by which a step's oldest version usually lies behind the newest one.
USUAL_LAG = 1


@dataclass(frozen=True, slots=True)
class ModelWork:
    """Work of a model's open jobs.

    Attributes
    ----------
    waiting_items : int
        Items that are not running and not complete.
    waiting_min_version : int
        Oldest version that may run all of the waiting items, 0 without any.
    newest_min_version : int
        Oldest version that the newest job allows, 0 without a job.
    """

    waiting_items: int = 0
    waiting_min_version: int = 0
    newest_min_version: int = 0


@dataclass(frozen=True, slots=True)
class _Naming:
    version: int
    first_seen_s: float


class LoadTiming:
    """Postpones loads on replicas that can run the items of the next step."""

    def __init__(self) -> None:
        self._namings: dict[str, _Naming] = {}
        # How many versions the newest job's oldest version lay behind the named one.
        self._allowed_lags: dict[str, int] = {}

    def observe(
        self, model: str, named_version: int, work: ModelWork, now_s: float
    ) -> None:
        """Record the newest named version of a model and the work of its jobs."""
        naming = self._namings.get(model)
        if naming is None or naming.version != named_version:
            self._namings[model] = _Naming(named_version, now_s)
        if work.newest_min_version:
            lag = max(0, named_version - work.newest_min_version)
            self._allowed_lags[model] = min(USUAL_LAG, lag)

    def is_postponed(
        self, model: str, replica_version: int, work: ModelWork, now_s: float
    ) -> bool:
        """Whether a replica should run items of the model before it loads.

        A replica whose weights are too old for these items is never held back.
        """
        naming = self._namings[model]
        age_s = now_s - naming.first_seen_s
        if age_s >= MAX_POSTPONEMENT_S:
            return False
        if work.waiting_items:
            return replica_version >= work.waiting_min_version
        allowed = naming.version - self._allowed_lags.get(model, USUAL_LAG)
        return age_s < NEXT_STEP_S and allowed <= replica_version < naming.version
