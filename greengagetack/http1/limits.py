"""greengagetack.http1.limits: what the connections of a process share."""

from dataclasses import dataclass, field

from greengagetack.http1.memory import ResponseMemory
from greengagetack.http1.pacing import ParserPacing

__all__ = ["ResponseLimits"]

RECEIVE_BUFFER_BYTES = 65_536


def _new_receive_buffer() -> memoryview:
    return memoryview(bytearray(RECEIVE_BUFFER_BYTES))


@dataclass(frozen=True, slots=True, eq=False)
class ResponseLimits:
    """Bounds on memory and work for the responses of several connections.

    The connections of one event loop read into the same buffer.
    """

    memory: ResponseMemory = field(default_factory=ResponseMemory)
    pacing: ParserPacing = field(default_factory=ParserPacing)
    receive_buffer: memoryview = field(default_factory=_new_receive_buffer)
