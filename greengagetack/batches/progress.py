"""greengagetack.batches.progress: what is known of an item that is being made."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from greengagetack.batches.events import Event
from greengagetack.batches.job import Item, Job, Result, ResultState

__all__ = ["ItemProgress", "ProgressSnapshot"]


@dataclass(frozen=True, slots=True)
class ProgressSnapshot:
    """Progress as it is handed to another daemon."""

    item_id: str
    outputs: tuple[str, ...]
    versions: tuple[int, ...]
    last_event_id: str
    is_complete: bool


@dataclass(slots=True, eq=False)
class ItemProgress:
    """The events of an item so far, across replicas and jobs."""

    item: Item
    outputs: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    last_event_id: str = ""
    is_complete: bool = False
    server_failures: int = 0
    is_running: bool = False
    retry_at_s: float = 0.0
    run_started_s: float = 0.0
    # A replica that it was taken from, and until when it does not go back there.
    avoided_replica: str = ""
    avoided_until_s: float = 0.0

    def restart(self) -> None:
        """Forget the events; the next run starts from the beginning."""
        self.outputs.clear()
        self.versions.clear()
        self.last_event_id = ""
        self.is_complete = False

    def take(self, event: Event, version: int) -> None:
        """Append one event.

        Raises
        ------
        ValueError
            If the event does not follow the last one.
        """
        expected = int(self.last_event_id) + 1 if self.last_event_id else None
        number = int(event.event_id)
        if expected is not None and number != expected:
            raise ValueError(f"event {number} came where {expected} was due")
        self.outputs.append(event.data)
        self.last_event_id = event.event_id
        if version not in self.versions:
            self.versions.append(version)

    def events_left(self, tokens_per_event: int) -> int:
        """Return the events that the item is still expected to make, at least one.

        The hint is right at the median but often far too low; of the items that are
        past it, the median makes about half as many events again.
        """
        most = max(0, self.item.tokens - self.item.prompt_tokens) // tokens_per_event
        hint = -(-self.item.output_hint // tokens_per_event) or most
        made = len(self.outputs)
        expected = max(1, hint - made, made // 2)
        return min(expected, most - made) if most > made else expected

    def fits(self, min_version: int, single_version: bool) -> bool:
        """Whether the events so far may be part of a result."""
        return _may_be_joined(self.versions, min_version, single_version)

    def admits(self, version: int, min_version: int, single_version: bool) -> bool:
        """Whether the item may go on with events that a version makes."""
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

    def lost(self) -> Result:
        """Return the result of an item that is given up."""
        return Result(self.item.item_id, ResultState.LOST, "", ())

    def snapshot(self) -> ProgressSnapshot:
        """Return the progress for another daemon."""
        return ProgressSnapshot(
            self.item.item_id,
            tuple(self.outputs),
            tuple(self.versions),
            self.last_event_id,
            self.is_complete,
        )

    def adopt(self, snapshot: ProgressSnapshot, job: Job) -> None:
        """Go on from another daemon's progress if it is further."""
        if self.is_complete or len(snapshot.outputs) <= len(self.outputs):
            return
        if not _may_be_joined(snapshot.versions, job.min_version, job.single_version):
            return
        self.outputs = list(snapshot.outputs)
        self.versions = list(snapshot.versions)
        self.last_event_id = snapshot.last_event_id
        self.is_complete = snapshot.is_complete


def _may_be_joined(
    versions: Sequence[int], min_version: int, single_version: bool
) -> bool:
    """Whether events that these versions made may stand in one result."""
    if any(version < min_version for version in versions):
        return False
    return not (single_version and len(set(versions)) > 1)
