"""greengagetack.batches.job: batch jobs, their items and results."""

import enum
from dataclasses import dataclass

import msgspec

__all__ = ["Item", "Job", "Result", "ResultState", "Segment"]


class ResultState(enum.StrEnum):
    """How an item ended."""

    COMPLETED = "completed"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Item:
    """One request of a job.

    `output_hint` is the client's estimate of the output tokens, 0 if it gave none;
    `prompt_tokens` counts its prompt.
    """

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    group: str
    prompt_tokens: int = 0
    output_hint: int = 0


@dataclass(frozen=True, slots=True)
class Job:
    """What is fixed about a job when it is accepted.

    Attributes
    ----------
    submitted_ms : int
        Unix time of the first submission, in milliseconds.
    due_after_ms : float
        All results are due this long after the submission, in milliseconds.
    give_up_after_s : float
        An item may be given up this long after the submission, 0 for never.
    wanted_groups : int
        Whole groups that the trainer waits for, 0 for all.
    item_parts : int
        Number of objects that hold the items.
    is_ended : bool
        Whether its sender has ended it.
    """

    job_id: str
    route: str
    host: str
    service: str
    submitted_ms: int
    due_after_ms: float
    give_up_after_s: float
    max_attempts: int
    total: int
    item_parts: int
    step: int = 0
    model: str = ""
    min_version: int = 0
    wanted_groups: int = 0
    single_version: bool = False
    is_ended: bool = False


@dataclass(frozen=True, slots=True)
class Result:
    """A numbered result; `versions` made its output, in order."""

    item_id: str
    state: ResultState
    output: str
    versions: tuple[int, ...]


class Segment(msgspec.Struct, frozen=True):
    """Results that were committed together; `start` is the first one's position."""

    number: int
    start: int
    results: tuple[Result, ...]
