"""greengagetack.rollouts.hedging: when a slow sample is tried elsewhere as well."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["HedgeLimits", "Pace", "PaceBook", "may_hedge"]

MIN_TOKENS = 8
MIN_AGE_S = 0.5
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


@dataclass(frozen=True, slots=True)
class Pace:
    """How a usual sample goes: seconds to its first token, then per token."""

    first_token_s: float
    per_token_s: float


class PaceBook:
    """Remembers the pace of lately finished samples."""

    def __init__(self) -> None:
        self._first_s: deque[float] = deque(maxlen=REMEMBERED_SAMPLES)
        self._per_token_s: deque[float] = deque(maxlen=REMEMBERED_SAMPLES)

    def note(self, tokens: int, first_token_s: float, duration_s: float) -> None:
        """Take a finished sample, with its times since dispatching."""
        if tokens == 0:
            return
        self._first_s.append(first_token_s)
        self._per_token_s.append((duration_s - first_token_s) / tokens)

    def usual(self) -> Pace | None:
        """Return the upper quartile of both, None while too little is known."""
        if len(self._first_s) < MIN_SAMPLES:
            return None
        return Pace(_upper_quartile(self._first_s), _upper_quartile(self._per_token_s))


def _upper_quartile(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) * 3 // 4]


def may_hedge(
    tokens: int,
    age_s: float,
    usual: Pace | None,
    wasted_tokens: int,
    made_tokens: int,
    limits: HedgeLimits,
) -> bool:
    """Whether a sample in flight is so slow that another endpoint may help.

    Neither a long sample at the usual pace nor one that waits in a usual queue
    is slow. What the slow attempt has made so far would be wasted if the other
    one wins, and must fit the bound.

    Parameters
    ----------
    tokens : int
        Tokens that the attempt has made.
    age_s : float
        Seconds since it was dispatched.
    usual : Pace or None
        Pace of finished samples.
    wasted_tokens, made_tokens : int
        What the step has wasted and made so far.
    limits : HedgeLimits
        Bounds.
    """
    if usual is None:
        return False
    expected_s = usual.first_token_s + max(tokens, MIN_TOKENS) * usual.per_token_s
    if age_s < max(MIN_AGE_S, limits.straggler_factor * expected_s):
        return False
    return wasted_tokens + tokens <= limits.waste_ratio * made_tokens
