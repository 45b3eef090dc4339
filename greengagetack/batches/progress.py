"""greengagetack.batches.progress: progress of an item across its runs."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from greengagetack.batches.events import Event
from greengagetack.batches.job import Item, Job, Result, ResultState

__all__ = ["ItemProgress", "OutputTooLong", "ProgressSnapshot"]

# A result must fit into one object of the store.
MAX_OUTPUT_CHARS = 700_000
# An event is held as an object of its own, even one without any text.
MAX_OUTPUT_EVENTS = 65_536


class OutputTooLong(ValueError):
    """The events of an item are more than a result can hold."""


@dataclass(frozen=True, slots=True)
class ProgressSnapshot:
    """Progress of an item as transferred to another daemon or stored.

    The failure counts belong to the job `job_id`; `software` is the version of the
    software that wrote the outputs. `score` belongs to the reward request that
    `scored_by` identifies; snapshots of the previous release do not name it.
    """

    item_id: str
    outputs: tuple[str, ...]
    versions: tuple[int, ...]
    last_event_id: str
    is_complete: bool
    score: str = ""
    job_id: str = ""
    server_failures: int = 0
    reward_failures: int = 0
    software: str = ""
    scored_by: str = ""

    def is_further_than(self, other: "ProgressSnapshot") -> bool:
        """Whether less work is left than with another snapshot of the same item."""
        return (bool(self.score), self.is_complete, len(self.outputs)) > (
            bool(other.score),
            other.is_complete,
            len(other.outputs),
        )


@dataclass(slots=True, eq=False)
class ItemProgress:
    """The events received for an item so far, across replicas and jobs.

    Attributes
    ----------
    software : str
        Version of the software that wrote the events. What two versions write does not
        fit together.
    generation : int
        Number of times that the events were discarded; a score belongs to the output
        of one generation only.
    """

    item: Item
    outputs: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    last_event_id: str = ""
    is_complete: bool = False
    score: str = ""
    software: str = ""
    output_chars: int = 0
    generation: int = 0
    job_id: str = ""
    server_failures: int = 0
    reward_failures: int = 0
    reward_timeouts: int = 0
    is_running: bool = False
    is_scoring: bool = False
    retry_at_s: float = 0.0
    run_started_s: float = 0.0
    # The replica to which the item is not sent again before this time.
    avoided_replica: str = ""
    avoided_until_s: float = 0.0

    def restart(self) -> None:
        """Discard the events; the next run starts from the beginning."""
        self.outputs.clear()
        self.versions.clear()
        self.last_event_id = ""
        self.is_complete = False
        self.score = ""
        self.software = ""
        self.output_chars = 0
        self.generation += 1

    def may_continue_at(self, software: str) -> bool:
        """Whether replicas of a software version may write the next events."""
        return not self.outputs or software == self.software

    @property
    def is_finished(self) -> bool:
        """Whether the output is complete and, if the item asks for it, scored."""
        return self.is_complete and (self.item.reward is None or bool(self.score))

    @property
    def awaits_score(self) -> bool:
        """Whether the output is complete but not scored yet."""
        return self.is_complete and not self.is_finished

    def start_job(self, item: Item, job_id: str) -> None:
        """Continue the item as part of a job.

        Failures count per job. A score is kept only for the same reward request.
        """
        if item.reward != self.item.reward:
            self.score = ""
        if job_id != self.job_id:
            self.server_failures = 0
            self.reward_failures = 0
            self.reward_timeouts = 0
        self.item = item
        self.job_id = job_id

    def append_event(self, event: Event, version: int) -> None:
        """Append one event.

        Raises
        ------
        ValueError
            If the event does not follow the last one.
        OutputTooLong
            If the output would exceed ``MAX_OUTPUT_CHARS`` or ``MAX_OUTPUT_EVENTS``.
        """
        expected = int(self.last_event_id) + 1 if self.last_event_id else None
        number = int(event.event_id)
        if expected is not None and number != expected:
            raise ValueError(f"received event {number}, expected event {expected}")
        if self.output_chars + len(event.data) > MAX_OUTPUT_CHARS:
            raise OutputTooLong(f"the output exceeds {MAX_OUTPUT_CHARS} characters")
        if len(self.outputs) >= MAX_OUTPUT_EVENTS:
            raise OutputTooLong(f"the output has over {MAX_OUTPUT_EVENTS} events")
        self.output_chars += len(event.data)
        self.outputs.append(event.data)
        self.last_event_id = event.event_id
        if version not in self.versions:
            self.versions.append(version)

    def events_left(self, tokens_per_event: int) -> int:
        """Return the expected number of remaining events, at least one if any is left.

        The hint is correct at the median but often far too low. The median item that
        exceeds its hint produces about half as many events again.
        """
        if self.is_complete:
            return 0
        max_events = (
            max(0, self.item.tokens - self.item.prompt_tokens) // tokens_per_event
        )
        hint = -(-self.item.output_hint // tokens_per_event) or max_events
        event_count = len(self.outputs)
        expected = max(1, hint - event_count, event_count // 2)
        return (
            min(expected, max_events - event_count)
            if max_events > event_count
            else expected
        )

    def has_allowed_versions(self, min_version: int, single_version: bool) -> bool:
        """Whether the events so far may be used in a result."""
        return _can_combine(self.versions, min_version, single_version)

    def allows_version(
        self, version: int, min_version: int, single_version: bool
    ) -> bool:
        """Whether the item may continue with events from a weight version."""
        if version < min_version:
            return False
        return not single_version or self.versions in ([], [version])

    def result(self) -> Result:
        """Return the result of the finished item."""
        return Result(
            self.item.item_id,
            ResultState.COMPLETED,
            "\n".join(self.outputs),
            tuple(self.versions),
            self.score,
        )

    def lost_result(self) -> Result:
        """Return the result of an item that is reported as lost."""
        return Result(self.item.item_id, ResultState.LOST, "", ())

    def snapshot(self) -> ProgressSnapshot:
        """Return the progress in a form that can be transferred or stored."""
        return ProgressSnapshot(
            self.item.item_id,
            tuple(self.outputs),
            tuple(self.versions),
            self.last_event_id,
            self.is_complete,
            self.score,
            self.job_id,
            self.server_failures,
            self.reward_failures,
            self.software,
            self._reward_identity if self.score else "",
        )

    @property
    def _reward_identity(self) -> str:
        return "" if self.item.reward is None else self.item.reward.identity

    def continue_from(self, snapshot: ProgressSnapshot, job: Job) -> None:
        """Continue from another daemon's progress if it is further ahead."""
        if snapshot.job_id == job.job_id:
            self.server_failures = max(self.server_failures, snapshot.server_failures)
            self.reward_failures = max(self.reward_failures, snapshot.reward_failures)
        if self.is_complete or not snapshot.outputs:
            return
        is_ahead = len(snapshot.outputs) > len(self.outputs)
        if not is_ahead and not snapshot.is_complete:
            return
        if not _can_combine(snapshot.versions, job.min_version, job.single_version):
            return
        self.outputs = list(snapshot.outputs)
        self.versions = list(snapshot.versions)
        self.last_event_id = snapshot.last_event_id
        self.is_complete = snapshot.is_complete
        is_own_score = snapshot.scored_by == self._reward_identity != ""
        self.score = snapshot.score if is_own_score else ""
        self.software = snapshot.software
        self.output_chars = sum(len(output) for output in self.outputs)


def _can_combine(
    versions: Sequence[int], min_version: int, single_version: bool
) -> bool:
    """Whether events from these weight versions may be combined in one result."""
    if any(version < min_version for version in versions):
        return False
    return not (single_version and len(set(versions)) > 1)
