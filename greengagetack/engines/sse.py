"""greengagetack.engines.sse: incremental parser of server-sent events."""

import sys
from collections.abc import Iterator

__all__ = ["EventReader"]

MAX_EVENT_BYTES = 1024 * 1024
# A line is held as an object of its own, many times the size of a short one.
LINE_OVERHEAD_BYTES = 48


class EventReader:
    """Parses a byte stream into the data of server-sent events."""

    def __init__(self) -> None:
        self._pending = bytearray()
        self._data: list[bytes] = []
        self._data_bytes = 0

    @property
    def held_bytes(self) -> int:
        """What the event that is not complete yet holds."""
        return sys.getsizeof(self._pending) + self._data_bytes

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Parse more bytes and yield the data of each event that is complete.

        Raises
        ------
        ValueError
            If an event holds more than ``MAX_EVENT_BYTES``.
        """
        self._pending += data
        if b"\n" not in data:
            self._check_size()
            return
        *lines, rest = bytes(self._pending).split(b"\n")
        self._pending = bytearray(rest)
        for line in lines:
            line = line.rstrip(b"\r")
            if line.startswith(b"data:"):
                self._data.append(line[len(b"data:") :].removeprefix(b" "))
                self._data_bytes += len(line) + LINE_OVERHEAD_BYTES
                self._check_size()
                continue
            if line or not self._data:
                continue
            yield b"\n".join(self._data)
            self._data = []
            self._data_bytes = 0
        self._check_size()

    def _check_size(self) -> None:
        if self.held_bytes > MAX_EVENT_BYTES:
            raise ValueError("a server-sent event is larger than 1 MiB")
