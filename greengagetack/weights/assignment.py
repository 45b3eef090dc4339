"""greengagetack.weights.assignment: assigns replicas to models."""

from collections.abc import Iterable, Mapping

import xxhash

__all__ = ["assign_replicas"]

# With a single replica, its loss would stop the model's jobs.
MIN_REPLICAS_PER_MODEL = 2


def assign_replicas(
    replica_ids: Iterable[str], demands: Mapping[str, float]
) -> dict[str, set[str]]:
    """Return the replicas of each model, in proportion to its share of the demand.

    When several trainers share a fleet, each model is loaded only where it is needed,
    because loading weights delays new runs and is charged. Replicas are assigned in a
    fixed order, so that a change of demand reassigns few of them.

    Parameters
    ----------
    demands : mapping of str to float
        Requested work per model; models get equal shares if all are 0.
    """
    ranked = sorted(replica_ids, key=lambda name: xxhash.xxh64_intdigest(name.encode()))
    models = sorted(demands)
    if len(models) * MIN_REPLICAS_PER_MODEL > len(ranked) or len(models) <= 1:
        return {model: set(ranked) for model in models}
    total = sum(demands.values())
    spare_count = len(ranked) - MIN_REPLICAS_PER_MODEL * len(models)
    assigned: dict[str, set[str]] = {}
    start, exact_end = 0, 0.0
    for model in models:
        share = demands[model] / total if total > 0 else 1 / len(models)
        exact_end += MIN_REPLICAS_PER_MODEL + share * spare_count
        end = len(ranked) if model == models[-1] else round(exact_end)
        assigned[model] = set(ranked[start:end])
        start = end
    return assigned
