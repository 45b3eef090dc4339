"""greengagetack.batches.job: data types for batch jobs, items and results."""

import enum
from dataclasses import dataclass

import msgspec
import xxhash

__all__ = ["Item", "Job", "Result", "ResultState", "RewardRequest", "Segment"]


class ResultState(enum.StrEnum):
    """How an item ended."""

    COMPLETED = "completed"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class RewardRequest:
    """The request that scores the complete output of an item."""

    request_id: str
    host: str
    path: str
    body: bytes

    @property
    def identity(self) -> str:
        """A text that differs between any two requests."""
        fields = (self.host.encode(), self.path.encode(), self.body)
        digest = xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(fields))
        return f"{self.request_id}/{digest}"


@dataclass(frozen=True, slots=True)
class Item:
    """One request of a job.

    `output_hint` is the client's estimate of the output tokens, 0 if it gave none;
    `prompt_tokens` is the length of the prompt. An item with a `reward` is finished
    once its output has been scored.
    """

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    group: str
    prompt_tokens: int = 0
    output_hint: int = 0
    reward: RewardRequest | None = None


@dataclass(frozen=True, slots=True)
class Job:
    """Parameters of a job, fixed when it is accepted except for `is_ended`.

    Attributes
    ----------
    submitted_ms : int
        Unix time of the first submission, in milliseconds.
    due_after_ms : float
        Time from the submission until all results are due, in milliseconds.
    give_up_after_s : float
        Time after the submission at which unfinished items are reported as lost, 0 for
        never.
    wanted_groups : int
        Number of complete groups that the trainer waits for, 0 for all.
    item_parts : int
        Number of stored objects that hold the items.
    is_ended : bool
        Whether the client has ended the job.
    customer : str
        The customer that submitted the job, empty if there is none. Jobs that the
        previous release stored have none.
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
    customer: str = ""


@dataclass(frozen=True, slots=True)
class Result:
    """The result of an item; `versions` lists the weight versions used, in order.

    `score` is empty for an item without a reward request.
    """

    item_id: str
    state: ResultState
    output: str
    versions: tuple[int, ...]
    score: str = ""


class Segment(msgspec.Struct, frozen=True):
    """Results committed together; `start` is the position of the first in the log."""

    number: int
    start: int
    results: tuple[Result, ...]
