"""greengagetack.rollouts.hedging: decides when a slow sample is hedged."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["HedgeLimits", "SampleLatencies", "TypicalLatency", "may_hedge"]

MIN_EXPECTED_TOKENS = 8
MIN_HEDGE_AGE_S = 0.5
LATENCY_WINDOW_SAMPLES = 64
MIN_LATENCY_SAMPLES = 4


@dataclass(frozen=True, slots=True)
class HedgeLimits:
    """Bounds of hedging.

    `waste_ratio` is the share of a step's tokens that hedges may waste;
    `straggler_factor` is how many times slower than typical a sample must be to
    be hedged.
    """

    waste_ratio: float
    straggler_factor: float


@dataclass(frozen=True, slots=True)
class TypicalLatency:
    """Typical latency: seconds to the first token, then seconds per token."""

    first_token_s: float
    per_token_s: float


class SampleLatencies:
    """Latencies of the most recently finished samples."""

    def __init__(self) -> None:
        self._first_s: deque[float] = deque(maxlen=LATENCY_WINDOW_SAMPLES)
        self._per_token_s: deque[float] = deque(maxlen=LATENCY_WINDOW_SAMPLES)

    def record(self, tokens: int, first_token_s: float, duration_s: float) -> None:
        """Add a finished sample; its times count from its dispatch."""
        if tokens == 0:
            return
        self._first_s.append(first_token_s)
        self._per_token_s.append((duration_s - first_token_s) / tokens)

    def typical(self) -> TypicalLatency | None:
        """Return the upper quartiles, None below `MIN_LATENCY_SAMPLES` samples."""
        if len(self._first_s) < MIN_LATENCY_SAMPLES:
            return None
        return TypicalLatency(
            _upper_quartile(self._first_s), _upper_quartile(self._per_token_s)
        )


def _upper_quartile(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) * 3 // 4]


def may_hedge(
    tokens: int,
    age_s: float,
    typical: TypicalLatency | None,
    wasted_tokens: int,
    generated_tokens: int,
    limits: HedgeLimits,
) -> bool:
    """Whether a sample in flight is slow enough to start a hedge for it.

    A long sample at the usual token rate is not slow, nor is one with the usual
    queueing delay. If the hedge wins, the tokens of the slow attempt are wasted,
    so they have to fit into the waste bound.

    Parameters
    ----------
    tokens : int
        Tokens that the attempt has generated.
    age_s : float
        Seconds since it was dispatched.
    typical : TypicalLatency or None
        Typical latency of finished samples.
    wasted_tokens, generated_tokens : int
        Tokens that the step has wasted and generated so far.
    limits : HedgeLimits
        Bounds of hedging.
    """
    if typical is None:
        return False
    expected_s = (
        typical.first_token_s + max(tokens, MIN_EXPECTED_TOKENS) * typical.per_token_s
    )
    if age_s < max(MIN_HEDGE_AGE_S, limits.straggler_factor * expected_s):
        return False
    return wasted_tokens + tokens <= limits.waste_ratio * generated_tokens
