"""greengagetack.engines.sse: server-sent events from the bytes of a stream."""

from collections.abc import Iterator

__all__ = ["EventReader"]

MAX_EVENT_BYTES = 1024 * 1024


class EventReader:
    """Turns bytes, as they arrive, into the data of server-sent events."""

    def __init__(self) -> None:
        self._pending = b""
        self._data: list[bytes] = []

    def feed(self, part: bytes) -> Iterator[bytes]:
        """Take bytes and yield the data of the events that they complete.

        Raises
        ------
        ValueError
            If an event is larger than ``MAX_EVENT_BYTES``.
        """
        self._pending += part
        *lines, self._pending = self._pending.split(b"\n")
        if len(self._pending) > MAX_EVENT_BYTES:
            raise ValueError("a server-sent event is too large")
        for line in lines:
            line = line.rstrip(b"\r")
            if line.startswith(b"data:"):
                self._data.append(line[len(b"data:") :].removeprefix(b" "))
                continue
            if line or not self._data:
                continue
            yield b"\n".join(self._data)
            self._data = []
