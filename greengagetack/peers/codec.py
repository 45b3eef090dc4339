"""greengagetack.peers.codec: typed messages as msgpack frames."""

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

import msgpack
import msgspec

__all__ = [
    "MESSAGE_TYPES",
    "Frame",
    "FrameError",
    "FrameKind",
    "FrameReader",
    "UnknownMessage",
    "encode_frame",
    "message",
    "message_name",
]

MAX_FRAME_BYTES = 8 * 1024 * 1024

MESSAGE_TYPES: dict[str, type] = {}
_NAMES: dict[type, str] = {}

MessageT = TypeVar("MessageT", bound=type)


class FrameError(Exception):
    """A peer sent bytes that are not a valid frame; its link is closed."""


class FrameKind(enum.IntEnum):
    """The kind of a frame."""

    HELLO = 0
    REQUEST = 1
    ITEM = 2
    END = 3
    FAILURE = 4
    CANCEL = 5
    PING = 6
    PONG = 7


@dataclass(frozen=True, slots=True)
class Frame:
    """The unit of transfer on a link.

    `exchange_id` matches answers to their request, `body` is a registered
    message or None, and `traceparent` and `request_id` are the trace context.
    """

    kind: FrameKind
    exchange_id: int = 0
    body: Any = None
    traceparent: str = ""
    request_id: str = ""


@dataclass(frozen=True, slots=True)
class UnknownMessage:
    """Placeholder for a message type of a newer release.

    The request is refused, but the link stays open.
    """

    name: str


def message(name: str) -> Any:
    """Register a frozen data class as the message type `name`."""

    def register(message_type: MessageT) -> MessageT:
        if name in MESSAGE_TYPES:
            raise ValueError(f"duplicate message name {name!r}")
        MESSAGE_TYPES[name] = message_type
        _NAMES[message_type] = name
        return message_type

    return register


def message_name(message_type: type) -> str:
    """Return the registered name of a message type."""
    return _NAMES[message_type]


def encode_frame(frame: Frame) -> bytes:
    """Return the msgpack bytes of a frame.

    Raises
    ------
    FrameError
        If the frame is larger than a peer would accept.
    """
    name = ""
    fields = None
    if frame.body is not None:
        name = _NAMES[type(frame.body)]
        fields = msgspec.to_builtins(frame.body, builtin_types=(bytes,))
    data: bytes = msgpack.packb(
        (
            int(frame.kind),
            frame.exchange_id,
            name,
            fields,
            frame.traceparent,
            frame.request_id,
        )
    )
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(f"frame {name!r} is too large: {len(data)} bytes")
    return data


class FrameReader:
    """Decodes a byte stream into frames of at most ``MAX_FRAME_BYTES``."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Decode more bytes and yield each frame that is complete.

        Raises
        ------
        FrameError
            If the bytes are not frames or a message has invalid fields.
        """
        try:
            self._unpacker.feed(data)
            for parts in self._unpacker:
                yield _frame_from_parts(parts)
        except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
            raise FrameError(str(error)) from error


def _frame_from_parts(parts: Any) -> Frame:
    if not isinstance(parts, list) or len(parts) != 6:
        raise FrameError("a frame must be a list of six parts")
    kind, exchange_id, name, fields, traceparent, request_id = parts
    body: Any = None
    if name:
        body = _body_from_fields(name, fields)
    return Frame(FrameKind(kind), exchange_id, body, traceparent, request_id)


def _body_from_fields(name: str, fields: Any) -> Any:
    message_type = MESSAGE_TYPES.get(name)
    if message_type is None:
        return UnknownMessage(str(name))
    return msgspec.convert(fields, message_type, builtin_types=(bytes,))
