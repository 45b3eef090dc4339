"""greengagetack.weights.homes: which replicas keep the newest version of a model."""

from collections.abc import Iterable, Mapping

import xxhash

__all__ = ["assign_homes"]

# With fewer replicas the loss of one would stop a model's jobs.
FEWEST_HOMES = 2


def assign_homes(
    replica_ids: Iterable[str], demands: Mapping[str, float]
) -> dict[str, set[str]]:
    """Return the replicas of each model, as many as its share of the demand.

    Answers several trainers on one fleet: a load of weights holds up new runs and is
    paid for, so each model is loaded only where it is needed. The replicas are taken
    in a fixed order, so that a change of demand moves few of them.

    Parameters
    ----------
    demands : mapping of str to float
        Work that each model has been asked for; equal shares where all are 0.
    """
    ranked = sorted(replica_ids, key=lambda name: xxhash.xxh64_intdigest(name.encode()))
    models = sorted(demands)
    if len(models) * FEWEST_HOMES > len(ranked) or len(models) <= 1:
        return {model: set(ranked) for model in models}
    total = sum(demands.values())
    spare = len(ranked) - FEWEST_HOMES * len(models)
    homes: dict[str, set[str]] = {}
    start, exact = 0, 0.0
    for model in models:
        share = demands[model] / total if total > 0 else 1 / len(models)
        exact += FEWEST_HOMES + share * spare
        end = len(ranked) if model == models[-1] else round(exact)
        homes[model] = set(ranked[start:end])
        start = end
    return homes
