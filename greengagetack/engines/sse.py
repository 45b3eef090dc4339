"""greengagetack.engines.sse: incremental parser of server-sent events."""

from collections.abc import Iterator

__all__ = ["EventReader"]

MAX_EVENT_BYTES = 1024 * 1024


class EventReader:
    """Parses a byte stream into the data of server-sent events."""

    def __init__(self) -> None:
        self._pending = b""
        self._data: list[bytes] = []

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Parse more bytes and yield the data of each event that is complete.

        Raises
        ------
        ValueError
            If an event is larger than ``MAX_EVENT_BYTES``.
        """
        self._pending += data
        *lines, self._pending = self._pending.split(b"\n")
        if len(self._pending) > MAX_EVENT_BYTES:
            raise ValueError("a server-sent event is larger than 1 MiB")
        for line in lines:
            line = line.rstrip(b"\r")
            if line.startswith(b"data:"):
                self._data.append(line[len(b"data:") :].removeprefix(b" "))
                continue
            if line or not self._data:
                continue
            yield b"\n".join(self._data)
            self._data = []
