"""greengagetack.rollouts.hedging: when a slow sample is tried elsewhere as well."""

from collections import deque
from dataclasses import dataclass

__all__ = ["HedgeLimits", "PaceBook", "may_hedge"]

MIN_TOKENS = 8
REMEMBERED_SAMPLES = 64
MIN_SAMPLES = 4


@dataclass(frozen=True, slots=True)
class HedgeLimits:
    """Bounds of hedging.

    `waste_ratio` is the share of a step's tokens that hedges may waste,
    `straggler_factor` how many times slower than usual a sample must be.
    """

    waste_ratio: float
    straggler_factor: float


class PaceBook:
    """Remembers how many seconds a token has lately taken, from dispatching on."""

    def __init__(self) -> None:
        self._paces_s: deque[float] = deque(maxlen=REMEMBERED_SAMPLES)

    def note(self, tokens: int, duration_s: float) -> None:
        """Take a finished sample."""
        if tokens > 0:
            self._paces_s.append(duration_s / tokens)

    def median_s(self) -> float | None:
        """Return the median seconds per token, None while too little is known."""
        if len(self._paces_s) < MIN_SAMPLES:
            return None
        ordered = sorted(self._paces_s)
        return ordered[len(ordered) // 2]


def may_hedge(
    tokens: int,
    age_s: float,
    usual_pace_s: float | None,
    wasted_tokens: int,
    made_tokens: int,
    limits: HedgeLimits,
) -> bool:
    """Whether a sample in flight is so slow that another endpoint may help.

    A long sample at the usual pace is not slow. What the slow attempt has made
    so far would be wasted if the other one wins, and must fit the bound.

    Parameters
    ----------
    tokens : int
        Tokens that the attempt has made.
    age_s : float
        Seconds since it was dispatched.
    usual_pace_s : float or None
        Median seconds per token of finished samples.
    wasted_tokens, made_tokens : int
        What the step has wasted and made so far.
    limits : HedgeLimits
        Bounds.
    """
    if usual_pace_s is None:
        return False
    expected_s = max(tokens, MIN_TOKENS) * usual_pace_s
    if age_s < limits.straggler_factor * expected_s:
        return False
    return wasted_tokens + tokens <= limits.waste_ratio * made_tokens
