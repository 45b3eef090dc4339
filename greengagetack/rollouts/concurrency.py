"""greengagetack.rollouts.concurrency: how many samples a step keeps in flight."""

from collections.abc import Iterable

from greengagetack.rollouts.runner import StepRunner

__all__ = ["step_concurrency"]

CONCURRENCY_RATIO = 1.5
MIN_CONCURRENCY = 4


def step_concurrency(slots: int, runners: Iterable[StepRunner]) -> int:
    """Return how many samples each of an owner's steps may have in flight.

    Parameters
    ----------
    slots : int
        Slots of all endpoints that serve the model.
    runners : iterable of StepRunner
        The owner's steps; those that have ended take no share.
    """
    sharing = sum(runner.running for runner in runners)
    return max(MIN_CONCURRENCY, int(slots * CONCURRENCY_RATIO / max(1, sharing)))
