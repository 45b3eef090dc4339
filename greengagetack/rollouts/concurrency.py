"""greengagetack.rollouts.concurrency: divides endpoint slots among an owner's steps."""

from collections.abc import Iterable

from greengagetack.rollouts.runner import StepRunner

__all__ = ["step_concurrency"]

CONCURRENCY_RATIO = 1.5
MIN_CONCURRENCY = 4


def step_concurrency(slots: int, runners: Iterable[StepRunner]) -> int:
    """Return the maximum number of samples in flight for each running step.

    Parameters
    ----------
    slots : int
        Total slots of the endpoints that serve the model.
    runners : iterable of StepRunner
        The owner's steps; steps that have ended don't count.
    """
    running_steps = sum(runner.running for runner in runners)
    return max(MIN_CONCURRENCY, int(slots * CONCURRENCY_RATIO / max(1, running_steps)))
