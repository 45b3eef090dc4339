"""greengagetack.rollouts.spec: specification of a step and its finished samples."""

from dataclasses import dataclass

from greengagetack.errors import InvalidRequest
from greengagetack.rollouts.versions import VersionRange

__all__ = [
    "FinishedSample",
    "GroupSpec",
    "SampleId",
    "StepSpec",
    "check_step",
    "step_key",
]

MAX_GROUPS_PER_STEP = 16_384
MAX_SAMPLES_PER_GROUP = 1_024
MAX_SAMPLES_PER_STEP = 65_536
MAX_TOKENS_PER_SAMPLE = 1_000_000
MAX_DEADLINE_S = 86_400.0
MAX_NAME_LENGTH = 128


@dataclass(frozen=True, slots=True)
class GroupSpec:
    """One prompt of a step; `expected_tokens` is the trainer's estimate or 0."""

    group_id: int
    prompt: str
    expected_tokens: int = 0


@dataclass(frozen=True, slots=True)
class StepSpec:
    """All samples of one training step.

    Parameters
    ----------
    team, job : str
        Team that the step belongs to, and name of the job within the team.
    step : int
        Number of the step within the job.
    model : str
        Model that generates the samples.
    trainer_version : int
        Weight version of the trainer when it created the step.
    max_staleness_versions : int
        How many versions a sample may lag behind the trainer at delivery.
    groups : tuple of GroupSpec
        Prompts; each gets `samples_per_group` samples.
    max_tokens : int
        Maximum number of tokens per sample.
    seed : int
        Seed from which the seed of each sample is derived.
    deadline_s : float
        Seconds from creation until the step expires.
    scorer : str
        Name of the service that scores samples, empty for none.
    receipts : bool
        Whether each fetch lists the groups that the trainer holds; otherwise
        the trainer fetches numbered batches.
    """

    team: str
    job: str
    step: int
    model: str
    trainer_version: int
    max_staleness_versions: int
    groups: tuple[GroupSpec, ...]
    samples_per_group: int
    max_tokens: int
    seed: int = 0
    deadline_s: float = 240.0
    scorer: str = ""
    receipts: bool = True


@dataclass(frozen=True, slots=True)
class SampleId:
    """Identity of a sample within its step, fixed when the step is created."""

    group_id: int
    index: int


@dataclass(frozen=True, slots=True)
class FinishedSample:
    """A finished sample with the weight versions that generated it."""

    group_id: int
    index: int
    text: str
    token_count: int
    versions: tuple[VersionRange, ...]
    endpoint_id: str
    attempt: int = 0
    score: float | None = None


def step_key(team: str, job: str, step: int) -> str:
    """Return the key of a step in records and request identifiers."""
    return f"{team}/{job}/{step}"


def _require(condition: bool, reason: str) -> None:
    if not condition:
        raise InvalidRequest(reason)


def check_step(spec: StepSpec) -> None:
    """Check the bounds of a step.

    Raises
    ------
    InvalidRequest
        If a field is out of bounds; the reason names the field.
    """
    _require(0 < len(spec.job) <= MAX_NAME_LENGTH, "job: 1 to 128 characters")
    _require("/" not in spec.job, "job: no slash allowed")
    _require(spec.step >= 0, "step: must not be negative")
    _require(
        0 < len(spec.groups) <= MAX_GROUPS_PER_STEP,
        f"groups: 1 to {MAX_GROUPS_PER_STEP}",
    )
    _require(
        0 < spec.samples_per_group <= MAX_SAMPLES_PER_GROUP,
        f"samples_per_group: 1 to {MAX_SAMPLES_PER_GROUP}",
    )
    _require(
        len(spec.groups) * spec.samples_per_group <= MAX_SAMPLES_PER_STEP,
        f"groups: more than {MAX_SAMPLES_PER_STEP} samples in total",
    )
    _require(
        0 < spec.max_tokens <= MAX_TOKENS_PER_SAMPLE,
        f"max_tokens: 1 to {MAX_TOKENS_PER_SAMPLE}",
    )
    _require(
        0 < spec.deadline_s <= MAX_DEADLINE_S, f"deadline_s: up to {MAX_DEADLINE_S:g}"
    )
    _require(spec.trainer_version >= 0, "trainer_version: must not be negative")
    _require(
        spec.max_staleness_versions >= 0,
        "max_staleness_versions: must not be negative",
    )
    group_ids = {group.group_id for group in spec.groups}
    _require(len(group_ids) == len(spec.groups), "groups: group_id occurs twice")
    _require(min(group_ids) >= 0, "groups: group_id must not be negative")
    _require(max(group_ids) < 2 * MAX_GROUPS_PER_STEP, "groups: group_id is too large")
    _require(all(group.prompt for group in spec.groups), "groups: a prompt is empty")
    _require(
        all(group.expected_tokens >= 0 for group in spec.groups),
        "groups: expected_tokens must not be negative",
    )
