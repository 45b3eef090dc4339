"""greengagetack.gateway.retry: decides on retries and hedges of a request."""

import enum

__all__ = ["AttemptResult", "NextStep", "hedge_delay_s", "next_step"]

# Share of the latency objective after which a hedge is sent to a second replica.
HEDGE_RATIO = 0.4


class AttemptResult(enum.Enum):
    """How one attempt at a replica ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    # No byte of the request reached the replica.
    NOT_SENT = "not_sent"
    # The request was sent, but no complete response arrived.
    UNKNOWN = "unknown"


class NextStep(enum.Enum):
    """What to do after an attempt."""

    DELIVER = "deliver"
    RETRY = "retry"
    # Tell the caller that the request did not run and may be retried later.
    REFUSE = "refuse"
    # Tell the caller that it is unknown whether the request ran.
    FAIL = "fail"


def next_step(
    result: AttemptResult,
    may_repeat: bool,
    ran_before: bool,
    run_count: int,
    max_attempts: int,
    has_other_replica: bool,
    remaining_s: float,
) -> NextStep:
    """Decide what to do after an attempt.

    A non-idempotent request is retried only after a result that proves that no
    replica ran it. `run_count` counts the replicas that may have run the request.
    """
    if result is AttemptResult.ANSWERED:
        return NextStep.DELIVER
    may_have_run = ran_before or result is AttemptResult.UNKNOWN
    if may_have_run and not may_repeat:
        return NextStep.FAIL
    can_retry = has_other_replica and remaining_s > 0 and run_count < max_attempts
    if can_retry:
        return NextStep.RETRY
    return NextStep.FAIL if may_have_run else NextStep.REFUSE


def hedge_delay_s(
    latency_objective_ms: float, may_repeat: bool, max_attempts: int
) -> float:
    """Return the delay before a hedge, infinite if the request may not be hedged.

    The hedge covers a replica that is unreachable or slow: the first response wins,
    and the other attempt is cancelled by closing its connection.
    """
    if not may_repeat or max_attempts < 2 or latency_objective_ms <= 0:
        return float("inf")
    return HEDGE_RATIO * latency_objective_ms / 1000
