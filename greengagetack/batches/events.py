"""greengagetack.batches.events: parses numbered server-sent events."""

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["Event", "EventParser"]

MAX_EVENT_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Event:
    """One complete event; `fields` holds the lines other than id and data."""

    event_id: str
    data: str
    fields: tuple[tuple[str, str], ...]


class EventParser:
    """Incremental parser that yields an event at its terminating blank line."""

    def __init__(self) -> None:
        self._pending = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes so far end in the middle of an event."""
        return bool(self._pending.strip())

    def feed(self, part: bytes) -> Iterator[Event]:
        """Parse more bytes and yield the events that they complete.

        Raises
        ------
        ValueError
            If an event is larger than ``MAX_EVENT_BYTES`` or is not UTF-8.
        """
        self._pending += part.replace(b"\r\n", b"\n")
        *blocks, self._pending = self._pending.split(b"\n\n")
        if len(self._pending) > MAX_EVENT_BYTES:
            raise ValueError("an event is larger than the size limit")
        for block in blocks:
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
