"""greengagetack.coordination.copies: copies of the store's objects for other daemons.

An answer's headers give the age of the copy and the role of its daemon, so that equal
answers to many followers are encoded and compressed once.
"""

import dataclasses
import math
import zlib
from collections.abc import Callable

from starlette.requests import Request
from starlette.responses import Response

from greengagetack.coordination.messages import decode, encode
from greengagetack.freezes import boottime_s
from greengagetack.http1.message import Headers, header
from greengagetack.objects.base import WatchAnswer
from greengagetack.objects.feed import Feed

__all__ = ["CopyServer", "decode_copy", "is_from_dispatcher"]

MAX_READ_WAIT_S = 30.0
NOT_FOUND = 404
MS_PER_S = 1_000
# Smaller answers are not compressed: they fit into a few packets.
MIN_PACKED_BYTES = 4_096
PACKING_LEVEL = 1
MAX_UNPACKED_BYTES = 64 * 1024 * 1024
# Followers of one copy are at few different revisions at a time, so a few answers of
# the largest prefix are enough.
MAX_CACHED_BYTES = 4 * 1024 * 1024
AGE_HEADER = "x-copy-age-ms"
STORE_RETURN_HEADER = "x-copy-store-return-age-ms"
WAITED_HEADER = "x-copy-waited-ms"
DISPATCHER_HEADER = "x-copy-dispatcher"
PACKED_HEADER = "x-copy-packed"
YES = "1"
NO = "0"


@dataclasses.dataclass(frozen=True, slots=True)
class _Encoded:
    body: bytes
    is_packed: bool


class CopyServer:
    """Answers ``GET /peer/objects/PREFIX`` from this daemon's copies.

    Parameters
    ----------
    feeds : dict of str to Feed
        The copies by prefix.
    is_dispatcher : callable
        Whether this daemon runs the jobs.
    on_follower : callable
        Called with the name of a daemon that waits for changes.
    """

    def __init__(
        self,
        feeds: dict[str, Feed],
        is_dispatcher: Callable[[], bool],
        on_follower: Callable[[str], None],
    ) -> None:
        self._feeds = feeds
        self._is_dispatcher = is_dispatcher
        self._on_follower = on_follower
        self._encoded: dict[tuple[object, ...], _Encoded] = {}
        self._encoded_bytes = 0

    async def handle(self, request: Request) -> Response:
        """Return the copy of a prefix, or wait for changes of it.

        Raises
        ------
        HistoryGone
            If the copy no longer has all changes after the given revision.
        PlatformUnavailable
            If the copy is not known to be up to date.
        """
        began_s = boottime_s()
        prefix = request.path_params["prefix"]
        feed = self._feeds.get(prefix)
        if feed is None:
            return Response(status_code=NOT_FOUND)
        query = request.query_params
        after = query.get("after")
        accepts_packed = query.get("packed") == YES
        if after is not None and not accepts_packed and not self._is_dispatcher():
            # The previous release takes an answer as a sign of an acting dispatcher.
            return Response(status_code=NOT_FOUND)
        if after is None:
            answer = feed.snapshot()
        else:
            self._on_follower(query.get("node", ""))
            wait_s = min(MAX_READ_WAIT_S, float(query["wait_s"]))
            age_ms = query.get("age_ms")
            known_age_s = None if age_ms is None else int(age_ms) / MS_PER_S
            answer = await feed.wait_for_changes(int(after), wait_s, known_age_s)
        key = (prefix, after, feed.revision, feed.change_count, accepts_packed)
        encoded = self._encode(key, answer, accepts_packed)
        headers = {
            AGE_HEADER: str(int(answer.age_s * MS_PER_S)),
            WAITED_HEADER: str(int((boottime_s() - began_s) * MS_PER_S)),
            DISPATCHER_HEADER: YES if self._is_dispatcher() else NO,
        }
        if math.isfinite(answer.since_return_s):
            headers[STORE_RETURN_HEADER] = str(int(answer.since_return_s * MS_PER_S))
        if encoded.is_packed:
            headers[PACKED_HEADER] = YES
        return Response(encoded.body, headers=headers)

    def _encode(
        self, key: tuple[object, ...], answer: WatchAnswer, accepts_packed: bool
    ) -> _Encoded:
        known = self._encoded.get(key)
        if known is not None:
            return known
        # The headers have the times.
        fixed = WatchAnswer(answer.revision, answer.objects, answer.deleted)
        body = encode(fixed)
        is_packed = accepts_packed and len(body) > MIN_PACKED_BYTES
        if is_packed:
            body = zlib.compress(body, PACKING_LEVEL)
        encoded = _Encoded(body, is_packed)
        if len(body) > MAX_CACHED_BYTES:
            return encoded
        self._encoded[key] = encoded
        self._encoded_bytes += len(body)
        while self._encoded_bytes > MAX_CACHED_BYTES:
            oldest = self._encoded.pop(next(iter(self._encoded)))
            self._encoded_bytes -= len(oldest.body)
        return encoded


def decode_copy(headers: Headers, body: bytes) -> WatchAnswer:
    """Return the answer of a daemon with the age of its copy.

    The previous release sends no headers; it answers only as the dispatcher.

    Raises
    ------
    ValueError
        If the answer cannot be decoded.
    """
    if header(headers, PACKED_HEADER.encode()) == YES.encode():
        body = _unpack(body)
    answer = decode(body, type=WatchAnswer)
    age_ms = float(header(headers, AGE_HEADER.encode()) or b"0")
    waited_ms = float(header(headers, WAITED_HEADER.encode()) or b"inf")
    return_age_ms = float(header(headers, STORE_RETURN_HEADER.encode()) or b"inf")
    return dataclasses.replace(
        answer,
        age_s=age_ms / MS_PER_S,
        since_return_s=return_age_ms / MS_PER_S,
        waited_s=waited_ms / MS_PER_S,
    )


def is_from_dispatcher(headers: Headers) -> bool:
    """Whether an answer shows that its daemon runs the jobs."""
    return header(headers, DISPATCHER_HEADER.encode()) != NO.encode()


def _unpack(body: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(body, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f"invalid compression: {error}") from error
    if not unpacker.eof:
        raise ValueError("the compressed answer is incomplete or too large")
    return unpacked
