"""greengagetack.batches.progress: progress of an item across its runs."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from greengagetack.batches.events import Event
from greengagetack.batches.job import Item, Job, Result, ResultState

__all__ = ["ItemProgress", "ProgressSnapshot"]


@dataclass(frozen=True, slots=True)
class ProgressSnapshot:
    """Progress of an item as transferred to another daemon or stored."""

    item_id: str
    outputs: tuple[str, ...]
    versions: tuple[int, ...]
    last_event_id: str
    is_complete: bool


@dataclass(slots=True, eq=False)
class ItemProgress:
    """The events received for an item so far, across replicas and jobs."""

    item: Item
    outputs: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    last_event_id: str = ""
    is_complete: bool = False
    server_failures: int = 0
    is_running: bool = False
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

    def append_event(self, event: Event, version: int) -> None:
        """Append one event.

        Raises
        ------
        ValueError
            If the event does not follow the last one.
        """
        expected = int(self.last_event_id) + 1 if self.last_event_id else None
        number = int(event.event_id)
        if expected is not None and number != expected:
            raise ValueError(f"received event {number}, expected event {expected}")
        self.outputs.append(event.data)
        self.last_event_id = event.event_id
        if version not in self.versions:
            self.versions.append(version)

    def events_left(self, tokens_per_event: int) -> int:
        """Return the expected number of remaining events, at least one.

        The hint is correct at the median but often far too low. The median item that
        exceeds its hint produces about half as many events again.
        """
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
        """Return the result of the complete item."""
        return Result(
            self.item.item_id,
            ResultState.COMPLETED,
            "\n".join(self.outputs),
            tuple(self.versions),
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
        )

    def continue_from(self, snapshot: ProgressSnapshot, job: Job) -> None:
        """Continue from another daemon's progress if it has more events."""
        if self.is_complete or len(snapshot.outputs) <= len(self.outputs):
            return
        if not _can_combine(snapshot.versions, job.min_version, job.single_version):
            return
        self.outputs = list(snapshot.outputs)
        self.versions = list(snapshot.versions)
        self.last_event_id = snapshot.last_event_id
        self.is_complete = snapshot.is_complete


def _can_combine(
    versions: Sequence[int], min_version: int, single_version: bool
) -> bool:
    """Whether events from these weight versions may be combined in one result."""
    if any(version < min_version for version in versions):
        return False
    return not (single_version and len(set(versions)) > 1)
