"""greengagetack.rollouts.messages: messages from entries to the owner of a step."""

from dataclasses import dataclass

from greengagetack.peers.codec import message
from greengagetack.rollouts.groupset import GroupRange
from greengagetack.rollouts.spec import FinishedSample, StepSpec

__all__ = [
    "CancelStep",
    "CreateStep",
    "FetchGroups",
    "FetchedGroups",
    "FinishedGroup",
    "JobList",
    "ListJobs",
    "StepProgress",
]


@message("create-step")
@dataclass(frozen=True, slots=True)
class CreateStep:
    """Create a step; repeating it is idempotent, other content is a conflict."""

    spec: StepSpec


@message("fetch-groups")
@dataclass(frozen=True, slots=True)
class FetchGroups:
    """Fetch finished groups that the trainer does not hold.

    `trainer_version` is the trainer's current weight version; samples beyond
    the staleness bound are generated again instead of delivered. `batch` is
    the batch number for trainers without receipts, -1 otherwise.
    """

    team: str
    job: str
    step: int
    trainer_version: int
    held: tuple[GroupRange, ...]
    max_groups: int
    wait_s: float
    batch: int = -1


@message("finished-group")
@dataclass(frozen=True, slots=True)
class FinishedGroup:
    """All samples of a group."""

    group_id: int
    samples: tuple[FinishedSample, ...]


@message("fetched-groups")
@dataclass(frozen=True, slots=True)
class FetchedGroups:
    """Answer to a fetch: groups, and how many more the trainer is missing."""

    groups: tuple[FinishedGroup, ...]
    missing_groups: int


@message("cancel-step")
@dataclass(frozen=True, slots=True)
class CancelStep:
    """Cancel a step at the trainer's request."""

    team: str
    job: str
    step: int


@message("list-jobs")
@dataclass(frozen=True, slots=True)
class ListJobs:
    """Request the progress of a team's steps; an empty team selects all."""

    team: str


@message("step-progress")
@dataclass(frozen=True, slots=True)
class StepProgress:
    """Progress of a step and the tokens it has used."""

    team: str
    job: str
    step: int
    state: str
    owner_vm_id: str
    samples: int
    finished_samples: int
    groups: int
    finished_groups: int
    in_flight: int
    tokens: int
    wasted_tokens: int
    remade_samples: int
    age_s: float


@message("job-list")
@dataclass(frozen=True, slots=True)
class JobList:
    """Progress of the steps that one owner runs."""

    steps: tuple[StepProgress, ...]
