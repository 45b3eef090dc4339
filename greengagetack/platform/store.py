"""greengagetack.platform.store: the object store as the platform spells it."""

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import quote

import msgspec
from loguru import logger

from greengagetack.errors import InvalidRequest, PlatformUnavailable
from greengagetack.http1.message import AnswerHead, ExchangeError, Request
from greengagetack.http1.pool import Pool
from greengagetack.objects.base import (
    HistoryGone,
    ObjectConflict,
    PlatformObject,
    WatchAnswer,
    WriteUnknown,
)
from greengagetack.observability.metrics import Metrics
from greengagetack.platform.wire import (
    CONFIG_KIND,
    RETIREMENTS_KIND,
    SERVERS_KIND,
    VERSIONS_KIND,
)
from greengagetack.world import Address

__all__ = ["DirectTransport", "PlatformStore", "RelayedTransport", "StoreAnswer"]

# A slow store answers within some hundred ms; longer than this it counts as silent.
CALL_TIMEOUT_S = 1.0
RETRY_AFTER_S = 0.5
WRITE_PAUSE_S = 0.1
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# After a failure the direct way is tried again after this time.
DIRECT_PAUSE_S = 1.0
# Kinds whose contents others write; they have no change identifier of ours.
FOREIGN_KINDS = frozenset({CONFIG_KIND, RETIREMENTS_KIND, SERVERS_KIND, VERSIONS_KIND})

OK = 200
CREATED = 201
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
REFUSED = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Status and body of one call to the store."""

    status: int
    body: bytes


class Transport(Protocol):
    """One way to the store."""

    async def call(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreAnswer:
        """Send one call.

        Raises
        ------
        PlatformUnavailable
            If no answer came; the call may have been carried out.
        """


class _Metadata(msgspec.Struct, frozen=True):
    name: str
    # The revision of the object's last change.
    revision: int = 0
    deleting: bool = False


class _Object(msgspec.Struct, frozen=True):
    metadata: _Metadata
    # Kept undecoded: another writer's bytes must not spoil the whole answer.
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Event(msgspec.Struct, frozen=True):
    object: _Object
    deleted: bool = False


class _Listing(msgspec.Struct, frozen=True):
    items: tuple[_Object, ...]
    store_revision: int
    more: bool = False


class _Changes(msgspec.Struct, frozen=True):
    events: tuple[_Event, ...]
    store_revision: int


class _Stored(msgspec.Struct, frozen=True):
    change_id: str
    value: Any


class DirectTransport:
    """Calls the store itself."""

    def __init__(self, address: Address, metrics: Metrics) -> None:
        self._address = address
        self._pool = Pool(CALL_TIMEOUT_S)
        self._host = str(address).encode()
        self._metrics = metrics

    async def call(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreAnswer:
        """Send one call on a connection of its own.

        Raises
        ------
        PlatformUnavailable
            If no answer came.
        """
        headers = ((b"host", self._host), (b"content-type", b"application/json"))
        request = Request(method.encode(), target.encode(), headers, body)
        self._metrics.add("store_calls", method=method)
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S + wait_s):
                async with self._pool.connection(self._address) as connection:
                    head = await connection.send(request)
                    content = await connection.read_all(MAX_ANSWER_BYTES)
        except (ExchangeError, TimeoutError) as error:
            self._metrics.add("store_failures", method=method)
            raise PlatformUnavailable(
                f"{method} {target[:80]} got no answer: {error!r}", RETRY_AFTER_S
            ) from error
        if not wait_s:
            self._metrics.observe_s("store_call_s", time.monotonic() - started_s)
        return StoreAnswer(_status(head), content)


def _status(head: AnswerHead) -> int:
    return OK if head.status == CREATED else head.status


class RelayedTransport:
    """Calls the store itself, or through a peer while the store refuses this VM.

    Parameters
    ----------
    direct : Transport
        The store itself.
    relay : callable
        Sends a call through some peer that the store serves; raises
        `PlatformUnavailable` if there is none.
    """

    def __init__(
        self,
        direct: Transport,
        relay: Callable[[str, str, bytes, float], Awaitable[StoreAnswer]],
    ) -> None:
        self._direct = direct
        self._relay = relay
        self._direct_failed_s = float("-inf")

    @property
    def is_direct_failing(self) -> bool:
        """Whether the store refused this VM or did not answer it just now."""
        return time.monotonic() - self._direct_failed_s < DIRECT_PAUSE_S

    async def call(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreAnswer:
        """Send one call by the way that worked last.

        Raises
        ------
        PlatformUnavailable
            If no way gave an answer.
        """
        if self.is_direct_failing:
            relayed = await self._relayed(method, target, body, wait_s)
            return relayed or await self._direct.call(method, target, body, wait_s)
        failure: PlatformUnavailable | None = None
        try:
            answer = await self._direct.call(method, target, body, wait_s)
            if answer.status not in REFUSED:
                if self._direct_failed_s > 0:
                    logger.info("store: reached directly again")
                    self._direct_failed_s = float("-inf")
                return answer
        except PlatformUnavailable as error:
            failure = error
        if self._direct_failed_s < 0:
            reason = failure.reason if failure else f"status {answer.status}"
            logger.warning("store: not reached directly: {}", reason)
        self._direct_failed_s = time.monotonic()
        relayed = await self._relayed(method, target, body, wait_s)
        if relayed is not None:
            return relayed
        if failure is not None:
            raise failure
        return answer

    async def _relayed(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreAnswer | None:
        """Return the answer that a peer got, None if no peer reaches the store."""
        try:
            return await self._relay(method, target, body, wait_s)
        except PlatformUnavailable as error:
            logger.debug("store: no relay: {}", error.reason)
            return None


class PlatformStore:
    """Implements `ObjectStore`: a path is a kind and a name, versions are revisions."""

    def __init__(self, transport: Transport, value_limit_bytes: int) -> None:
        self._transport = transport
        self.value_limit_bytes = value_limit_bytes

    async def read(self, path: str) -> PlatformObject | None:
        """Return an object as it is now, None if it does not exist.

        Raises
        ------
        PlatformUnavailable
            If the store does not answer or refuses for now.
        """
        answer = await self._transport.call("GET", f"/objects/{quote(path)}", b"", 0.0)
        if answer.status == NOT_FOUND:
            return None
        kind = path.partition("/")[0]
        return _to_object(kind, _decode(answer, path, _Object))

    async def write(
        self, path: str, value: Any, expected_version: int, limit_s: float = 2.0
    ) -> int:
        """Write if the version is `expected_version` (0 = must not exist).

        The same conditional call is repeated until `limit_s` is over; a conflict
        with the object that this very write left counts as success.

        Raises
        ------
        ObjectConflict
            If another writer was first.
        WriteUnknown
            If it cannot be told whether the write took or will take effect.
        PlatformUnavailable
            If the store refused every attempt; the write did not take effect.
        InvalidRequest
            If the store does not take the value.
        """
        kind, _, name = path.partition("/")
        change_id = uuid.uuid4().hex[:12]
        spec = {"change_id": change_id, "value": value}
        if expected_version:
            method, target = "PUT", f"/objects/{quote(path)}"
            metadata: dict[str, Any] = {"name": name, "revision": expected_version}
        else:
            method, target = "POST", f"/objects/{quote(kind)}"
            metadata = {"name": name}
        body = msgspec.json.encode({"metadata": metadata, "spec": spec})
        if len(body) > self.value_limit_bytes:
            raise InvalidRequest(f"{path} has {len(body)} bytes, over the limit")
        answer = await self._write_until(method, target, body, limit_s)
        if answer.status == CONFLICT:
            current = _to_object(kind, _decode(answer, path, _Object, CONFLICT))
            if current.change_id == change_id:
                return current.version
            raise ObjectConflict(f"{path} is at version {current.version}")
        if answer.status == NOT_FOUND:
            raise ObjectConflict(f"{path} does not exist any more")
        if answer.status != OK:
            raise InvalidRequest(f"the store answered {answer.status} to {path}")
        return _decode(answer, path, _Object).metadata.revision

    async def _write_until(
        self, method: str, target: str, body: bytes, limit_s: float
    ) -> StoreAnswer:
        until_s = time.monotonic() + limit_s
        lost: PlatformUnavailable | None = None
        while True:
            reason = ""
            try:
                answer = await self._transport.call(method, target, body, 0.0)
                if answer.status not in REFUSED and answer.status < 500:
                    return answer
                reason = f"status {answer.status}"
            except PlatformUnavailable as error:
                lost = error
                reason = error.reason
            if time.monotonic() + WRITE_PAUSE_S < until_s:
                await asyncio.sleep(WRITE_PAUSE_S)
                continue
            if lost is not None:
                raise WriteUnknown(f"{target}: {reason}", RETRY_AFTER_S) from lost
            raise PlatformUnavailable(f"{target}: {reason}", RETRY_AFTER_S)

    async def write_status(self, path: str, status: Any) -> None:
        """Replace an object's status, whatever it was.

        Raises
        ------
        PlatformUnavailable
            If the store does not answer or refuses.
        """
        name = path.partition("/")[2]
        body = msgspec.json.encode({"metadata": {"name": name}, "status": status})
        target = f"/objects/{quote(path)}/status"
        answer = await self._transport.call("PUT", target, body, 0.0)
        if answer.status != OK:
            raise PlatformUnavailable(f"{path}: status {answer.status}", RETRY_AFTER_S)

    async def delete(self, path: str) -> None:
        """Remove an object; one that does not exist is no error.

        Raises
        ------
        PlatformUnavailable
            If no answer came.
        """
        target = f"/objects/{quote(path)}"
        answer = await self._transport.call("DELETE", target, b"", 0.0)
        if answer.status in REFUSED:
            raise PlatformUnavailable(f"{path}: status {answer.status}", RETRY_AFTER_S)

    async def list(self, prefix: str, after: str = "") -> WatchAnswer:
        """Return the objects of a kind, those named after `after`."""
        kind, _, name_prefix = prefix.partition("/")
        objects: list[PlatformObject] = []
        revision = 0
        while True:
            target = f"/objects/{quote(kind)}"
            if after:
                target += f"?after={quote(after)}"
            answer = await self._transport.call("GET", target, b"", 0.0)
            listing = _decode(answer, prefix, _Listing)
            # Changes between two pages are found by watching from the first one.
            revision = revision or listing.store_revision
            names = [item.metadata.name for item in listing.items]
            found = [name.startswith(name_prefix) for name in names]
            objects += [
                _to_object(kind, item)
                for item, fits in zip(listing.items, found, strict=True)
                if fits
            ]
            is_past = (
                bool(name_prefix and names)
                and names[-1][: len(name_prefix)] > name_prefix
            )
            if not listing.more or not names or is_past:
                return WatchAnswer(revision, tuple(objects))
            after = names[-1]

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait up to `timeout_s` for changes of a kind after a revision."""
        kind = prefix.partition("/")[0]
        wait_ms = int(timeout_s * 1000)
        target = f"/objects/{quote(kind)}?watch={after}&wait_ms={wait_ms}"
        answer = await self._transport.call("GET", target, b"", timeout_s)
        if answer.status == GONE:
            raise HistoryGone(f"the changes of {prefix} after {after} are gone")
        changes = _decode(answer, prefix, _Changes)
        latest: dict[str, PlatformObject] = {}
        deleted: set[str] = set()
        for event in changes.events:
            item = _to_object(kind, event.object)
            latest.pop(item.path, None)
            deleted.discard(item.path)
            if event.deleted:
                deleted.add(item.path)
            else:
                latest[item.path] = item
        return WatchAnswer(
            changes.store_revision, tuple(latest.values()), tuple(deleted)
        )


def _decode(answer: StoreAnswer, path: str, kind: Any, status: int = OK) -> Any:
    if answer.status != status:
        raise PlatformUnavailable(
            f"{path}: the store answered {answer.status}", RETRY_AFTER_S
        )
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailable(
            f"{path}: the answer cannot be read: {error}", RETRY_AFTER_S
        ) from error


def _to_object(kind: str, stored: _Object) -> PlatformObject:
    path, version = f"{kind}/{stored.metadata.name}", stored.metadata.revision
    try:
        if kind in FOREIGN_KINDS:
            return PlatformObject(path, version, "", msgspec.json.decode(stored.spec))
        own = msgspec.json.decode(stored.spec, type=_Stored)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        logger.warning("store: passing over {}, which cannot be read: {}", path, error)
        return PlatformObject(path, version, "", None)
    return PlatformObject(path, version, own.change_id, own.value)
