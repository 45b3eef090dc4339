"""greengagetack.weights.assignment: assigns replicas to models."""

from collections.abc import Iterable, Mapping

import xxhash

__all__ = ["assign_replicas", "newest_models"]

# With a single replica, its loss would stop the model's jobs.
MIN_REPLICAS_PER_MODEL = 2


def assign_replicas(
    replica_ids: Iterable[str],
    demands: Mapping[str, float],
    former: Mapping[str, str] | None = None,
) -> dict[str, set[str]]:
    """Return the replicas of each model, in proportion to its share of the demand.

    When several trainers share a fleet, each model is loaded only where it is needed,
    because loading weights delays new runs and is charged. Replicas keep their models
    where the shares allow it, so that new replicas and a change of demand cause few
    loads.

    Parameters
    ----------
    demands : mapping of str to float
        Requested work per model; models get equal shares if all are 0.
    former : mapping of str to str, optional
        The model that each replica was assigned to.
    """
    ranked = sorted(replica_ids, key=lambda name: xxhash.xxh64_intdigest(name.encode()))
    models = sorted(demands)
    if len(models) * MIN_REPLICAS_PER_MODEL > len(ranked) or len(models) <= 1:
        return {model: set(ranked) for model in models}
    counts = _counts(len(ranked), models, demands)
    assigned: dict[str, set[str]] = {model: set() for model in models}
    unassigned: list[str] = []
    for name in ranked:
        model = (former or {}).get(name)
        if model in assigned and len(assigned[model]) < counts[model]:
            assigned[model].add(name)
            continue
        unassigned.append(name)
    for model in models:
        missing = counts[model] - len(assigned[model])
        assigned[model].update(unassigned[:missing])
        del unassigned[:missing]
    return assigned


def _counts(
    replica_count: int, models: list[str], demands: Mapping[str, float]
) -> dict[str, int]:
    """Return the number of replicas of each model."""
    total = sum(demands.values())
    spare_count = replica_count - MIN_REPLICAS_PER_MODEL * len(models)
    counts: dict[str, int] = {}
    start, exact_end = 0, 0.0
    for model in models:
        share = demands[model] / total if total > 0 else 1 / len(models)
        exact_end += MIN_REPLICAS_PER_MODEL + share * spare_count
        end = replica_count if model == models[-1] else round(exact_end)
        counts[model] = end - start
        start = end
    return counts


def newest_models(
    versions: Mapping[str, Mapping[str, int]], requested: Mapping[str, int]
) -> dict[str, str]:
    """Return the model whose newest version each replica serves, if it is just one.

    Parameters
    ----------
    versions : mapping of str to mapping
        Version of each model on each replica.
    """
    found: dict[str, str] = {}
    for replica_id, loaded in versions.items():
        lags = {
            model: version - loaded.get(model, 0)
            for model, version in requested.items()
        }
        lowest = min(lags.values(), default=0)
        newest = [model for model, lag in lags.items() if lag == lowest]
        if len(newest) == 1:
            found[replica_id] = newest[0]
    return found
