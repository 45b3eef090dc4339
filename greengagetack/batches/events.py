"""greengagetack.batches.events: parses numbered server-sent events."""

from collections.abc import Iterator
from dataclasses import dataclass

from greengagetack.http1.blocks import BlockSplitter

__all__ = ["Event", "EventParser"]


@dataclass(frozen=True, slots=True)
class Event:
    """One complete event; `fields` holds the lines other than id and data."""

    event_id: str
    data: str
    fields: tuple[tuple[str, str], ...]


class EventParser:
    """Incremental parser that yields an event at its terminating blank line."""

    def __init__(self) -> None:
        self._splitter = BlockSplitter()

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes so far end in the middle of an event."""
        return not self._splitter.is_pending_blank

    @property
    def held_bytes(self) -> int:
        """What the event that is not complete yet occupies."""
        return self._splitter.held_bytes

    def feed(self, part: bytes) -> Iterator[Event]:
        """Parse more bytes and yield the events that they complete.

        Raises
        ------
        ValueError
            If an event exceeds the bounds of `BlockSplitter` or is not UTF-8.
        """
        for block in self._splitter.feed(part.replace(b"\r\n", b"\n")):
            if block.strip():
                yield self._parse(block)

    def _parse(self, block: bytes) -> Event:
        event_id = ""
        data: list[str] = []
        fields: list[tuple[str, str]] = []
        for line in block.decode().split("\n"):
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "id":
                event_id = value
            elif name == "data":
                data.append(value)
            elif name:
                fields.append((name, value))
        return Event(event_id, "\n".join(data), tuple(fields))
