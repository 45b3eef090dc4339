"""greengagetack.gateway.retry: when a request is sent again, and how it ends."""

import enum

__all__ = ["AttemptResult", "NextStep", "hedge_delay_s", "next_step"]

# Share of the latency objective after which a second replica is asked.
HEDGE_RATIO = 0.4


class AttemptResult(enum.Enum):
    """How one attempt at a replica ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    # Nothing reached the replica.
    NOT_SENT = "not_sent"
    # The request was sent, but no whole answer came.
    UNKNOWN = "unknown"


class NextStep(enum.Enum):
    """What follows an attempt."""

    DELIVER = "deliver"
    RETRY = "retry"
    # Answered with "not run, come back later".
    REFUSE = "refuse"
    # Answered with "unknown whether it ran".
    FAIL = "fail"


def next_step(
    result: AttemptResult,
    may_repeat: bool,
    ran_before: bool,
    runs: int,
    max_attempts: int,
    has_other: bool,
    left_s: float,
) -> NextStep:
    """Decide what follows an attempt.

    A non-idempotent request is sent again only after a result that proves that
    nothing ran. `runs` counts the replicas that may have run it.
    """
    if result is AttemptResult.ANSWERED:
        return NextStep.DELIVER
    may_have_run = ran_before or result is AttemptResult.UNKNOWN
    if may_have_run and not may_repeat:
        return NextStep.FAIL
    can_go_on = has_other and left_s > 0 and runs < max_attempts
    if can_go_on:
        return NextStep.RETRY
    return NextStep.FAIL if may_have_run else NextStep.REFUSE


def hedge_delay_s(objective_ms: float, may_repeat: bool, max_attempts: int) -> float:
    """Return after how long a second replica is asked, infinite for never.

    Answers a replica that is dark or slow: the first answer wins, the other run
    is cancelled by closing its connection.
    """
    if not may_repeat or max_attempts < 2 or objective_ms <= 0:
        return float("inf")
    return HEDGE_RATIO * objective_ms / 1000
