"""bench.workload: seeded training steps and their ideal time."""

import random
from dataclasses import dataclass
from typing import Any

from bench.deployment import MODEL, SCORER
from bench.shapes import ENGINE
from standins.tokens import count_prompt_tokens

__all__ = ["CALLER_TEAM", "TRAINER_TEAMS", "StepWork", "WorkSize", "make_step"]

TRAINER_TEAMS = ("alpha", "beta")
CALLER_TEAM = "vans"
PROMPT_WORDS = 48


@dataclass(frozen=True, slots=True)
class WorkSize:
    """Size of the training steps; sample lengths are log-normal with stragglers."""

    steps: int = 2
    groups: int = 20
    samples_per_group: int = 4
    median_tokens: int = 110
    spread: float = 0.5
    stragglers: int = 0
    straggler_tokens: int = 1_100
    train_s: float = 0.5
    max_staleness_versions: int = 1


@dataclass(frozen=True, slots=True)
class StepWork:
    """The prompts of one step and the token counts of its samples by group."""

    team: str
    step: int
    seed: int
    prompts: tuple[str, ...]
    lengths: tuple[tuple[int, ...], ...]

    @property
    def tokens(self) -> int:
        """Number of tokens of all samples."""
        return sum(sum(group) for group in self.lengths)

    def ideal_s(self, tokens_per_s: float) -> float:
        """Return a lower bound of the step's duration for any scheduler.

        It is the maximum of the total work divided by the capacity and the time of
        the longest sample alone on an idle engine.
        """
        longest = max(max(group) for group in self.lengths)
        prefill_s = count_prompt_tokens(self.prompts[0]) / (
            ENGINE.prefill_tokens_per_s * ENGINE.time_scale
        )
        alone_s = prefill_s + longest / ENGINE.sequence_tokens_per_s
        return max(self.tokens / tokens_per_s, alone_s)

    def body(self, size: WorkSize, trainer_version: int) -> dict[str, Any]:
        """Return the JSON body that creates the step."""
        groups = [
            {"group_id": group_id, "prompt": prompt}
            for group_id, prompt in enumerate(self.prompts)
        ]
        return {
            "model": MODEL,
            "trainer_version": trainer_version,
            "groups": groups,
            "samples_per_group": size.samples_per_group,
            "max_tokens": 4 * size.straggler_tokens,
            "max_staleness_versions": size.max_staleness_versions,
            "seed": self.seed,
            "scorer": SCORER,
        }


def make_step(team: str, step: int, size: WorkSize, seed: int) -> StepWork:
    """Return the work of a step; equal arguments give equal work.

    The prompt lists the lengths for the engine stand-in, which selects the length of
    a sample by its seed.
    """
    rng = random.Random(f"{team}/{step}/{seed}")
    lengths = []
    for _ in range(size.groups):
        group = []
        for _ in range(size.samples_per_group):
            length = size.median_tokens * rng.lognormvariate(0.0, size.spread)
            group.append(max(8, int(length)))
        lengths.append(group)
    for group in rng.sample(lengths, size.stragglers):
        group[rng.randrange(size.samples_per_group)] = size.straggler_tokens
    prompts = []
    for group_id, group in enumerate(lengths):
        length_list = ",".join(str(length) for length in group)
        words = [team, f"step{step}", f"group{group_id}", f"[len={length_list}]"]
        words += [f"note{rng.randrange(1000)}" for _ in range(PROMPT_WORDS)]
        prompts.append(" ".join(words))
    return StepWork(
        team,
        step,
        # A multiple of the group size, so that each sample gets its own length.
        size.samples_per_group * (seed * 1_000 + step + 1),
        tuple(prompts),
        tuple(tuple(group) for group in lengths),
    )
