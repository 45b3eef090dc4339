"""greengagetack.platform.store: client of the platform's object store."""

import asyncio
import time
import uuid
from typing import Any
from urllib.parse import quote

import msgspec
from loguru import logger

from greengagetack.errors import InvalidRequest, PlatformUnavailable
from greengagetack.objects.base import (
    HistoryGone,
    ObjectConflict,
    PlatformObject,
    StoreRateLimited,
    WatchAnswer,
    WriteUnknown,
)
from greengagetack.objects.json_repair import is_too_deep, repair_json
from greengagetack.objects.transport import REFUSED_STATUSES, StoreResponse, Transport
from greengagetack.platform.wire import (
    CONFIG_KIND,
    RETIREMENTS_KIND,
    SERVERS_KIND,
    VERSIONS_KIND,
)

__all__ = ["PlatformStore"]

RETRY_AFTER_S = 0.5
WRITE_RETRY_PAUSE_S = 0.1
# Kinds that other systems write; their objects carry no change identifier.
FOREIGN_KINDS = frozenset({CONFIG_KIND, RETIREMENTS_KIND, SERVERS_KIND, VERSIONS_KIND})

OK = 200
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
TOO_MANY_REQUESTS = 429


class _Metadata(msgspec.Struct, frozen=True):
    name: str
    # The revision of the object's last change.
    revision: int = 0
    deleting: bool = False


class _Object(msgspec.Struct, frozen=True):
    metadata: _Metadata
    # Decoded later: an invalid object of another writer must not fail the entire
    # response.
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
            If the store does not respond or refuses the call temporarily.
        """
        return await self._read(path, "")

    async def read_immutable(self, path: str) -> PlatformObject | None:
        """Return an object that never changes; None if it may not exist yet.

        A copy of the store that is some seconds old may answer, for a tenth of the
        charge.

        Raises
        ------
        PlatformUnavailable
            If the store does not respond or refuses the call temporarily.
        """
        return await self._read(path, "?serializable=1")

    async def _read(self, path: str, query: str) -> PlatformObject | None:
        response = await self._transport.call(
            "GET", f"/objects/{quote(path)}{query}", b"", 0.0
        )
        if response.status == NOT_FOUND:
            return None
        kind = path.partition("/")[0]
        return _to_object(kind, _decode_response(response, path, _Object))

    async def write(
        self, path: str, value: Any, expected_version: int, limit_s: float = 2.0
    ) -> int:
        """Write if the version is `expected_version` (0 = must not exist).

        The conditional call is retried for up to `limit_s`. A conflict with the
        object that an earlier attempt of the same write stored counts as success.

        Raises
        ------
        ObjectConflict
            If another writer was first.
        WriteUnknown
            If it is unknown whether the write took or will take effect.
        PlatformUnavailable
            If the store refused every attempt; the write did not take effect.
        InvalidRequest
            If the value is too large or the store rejects it.
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
            raise InvalidRequest(f"{path} has {len(body)} bytes, more than allowed")
        response = await self._write_with_retries(method, target, body, limit_s)
        if response.status == CONFLICT:
            current = _to_object(
                kind, _decode_response(response, path, _Object, CONFLICT)
            )
            if current.change_id == change_id:
                return current.version
            raise ObjectConflict(f"{path} is at version {current.version}")
        if response.status == NOT_FOUND:
            raise ObjectConflict(f"{path} no longer exists")
        if response.status != OK:
            raise InvalidRequest(
                f"the store responded with status {response.status} "
                f"to the write of {path}"
            )
        return _decode_response(response, path, _Object).metadata.revision

    async def _write_with_retries(
        self, method: str, target: str, body: bytes, limit_s: float
    ) -> StoreResponse:
        until_s = time.monotonic() + limit_s
        unanswered_error: PlatformUnavailable | None = None
        while True:
            reason = ""
            try:
                response = await self._transport.call(method, target, body, 0.0)
                if response.status not in REFUSED_STATUSES and response.status < 500:
                    return response
                reason = f"status {response.status}"
            except PlatformUnavailable as error:
                unanswered_error = error
                reason = error.reason
            if time.monotonic() + WRITE_RETRY_PAUSE_S < until_s:
                await asyncio.sleep(WRITE_RETRY_PAUSE_S)
                continue
            if unanswered_error is not None:
                raise WriteUnknown(
                    f"{target}: {reason}", RETRY_AFTER_S
                ) from unanswered_error
            raise PlatformUnavailable(f"{target}: {reason}", RETRY_AFTER_S)

    async def write_status(self, path: str, status: Any) -> None:
        """Replace an object's status unconditionally.

        Raises
        ------
        PlatformUnavailable
            If the store does not respond or refuses the call.
        """
        name = path.partition("/")[2]
        body = msgspec.json.encode({"metadata": {"name": name}, "status": status})
        target = f"/objects/{quote(path)}/status"
        response = await self._transport.call("PUT", target, body, 0.0)
        if response.status != OK:
            raise PlatformUnavailable(
                f"{path}: status {response.status}", RETRY_AFTER_S
            )

    async def delete(self, path: str) -> None:
        """Remove an object; one that does not exist is no error.

        Raises
        ------
        PlatformUnavailable
            If the store does not respond or refuses the call.
        """
        target = f"/objects/{quote(path)}"
        response = await self._transport.call("DELETE", target, b"", 0.0)
        if response.status in REFUSED_STATUSES:
            raise PlatformUnavailable(
                f"{path}: status {response.status}", RETRY_AFTER_S
            )

    async def list(self, prefix: str, after: str = "") -> WatchAnswer:
        """Return the objects under a prefix whose names sort after `after`."""
        kind, _, name_prefix = prefix.partition("/")
        objects: list[PlatformObject] = []
        revision = 0
        while True:
            target = f"/objects/{quote(kind)}"
            if after:
                target += f"?after={quote(after)}"
            response = await self._transport.call("GET", target, b"", 0.0)
            listing = _decode_response(response, prefix, _Listing)
            # Watching from the first page's revision reports changes between pages.
            revision = revision or listing.store_revision
            names = [item.metadata.name for item in listing.items]
            matches = [name.startswith(name_prefix) for name in names]
            objects += [
                _to_object(kind, item)
                for item, is_match in zip(listing.items, matches, strict=True)
                if is_match
            ]
            is_past_prefix = (
                bool(name_prefix and names)
                and names[-1][: len(name_prefix)] > name_prefix
            )
            if not listing.more or not names or is_past_prefix:
                return WatchAnswer(revision, tuple(objects))
            after = names[-1]

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait up to `timeout_s` for changes of a kind after a revision."""
        kind = prefix.partition("/")[0]
        wait_ms = int(timeout_s * 1000)
        target = f"/objects/{quote(kind)}?watch={after}&wait_ms={wait_ms}"
        response = await self._transport.call("GET", target, b"", timeout_s)
        if response.status == GONE:
            raise HistoryGone(
                f"the store no longer keeps changes of {prefix} after {after}"
            )
        changes = _decode_response(response, prefix, _Changes)
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


def _decode_response(
    response: StoreResponse, path: str, expected_type: Any, status: int = OK
) -> Any:
    if response.status != status:
        is_limited = response.status == TOO_MANY_REQUESTS
        error_type = StoreRateLimited if is_limited else PlatformUnavailable
        raise error_type(
            f"{path}: the store responded with status {response.status}", RETRY_AFTER_S
        )
    try:
        return _decode_body(response.body, path, expected_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PlatformUnavailable(
            f"{path}: the response cannot be decoded: {error}", RETRY_AFTER_S
        ) from error


def _decode_body(body: bytes, path: str, expected_type: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=expected_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        logger.warning("store: {} has values that cannot be decoded: {}", path, error)
        return msgspec.json.decode(repair_json(body), type=expected_type)


def _to_object(kind: str, stored: _Object) -> PlatformObject:
    path, version = f"{kind}/{stored.metadata.name}", stored.metadata.revision
    try:
        return _decode_object(kind, path, version, stored.spec)
    except (ValueError, OverflowError, RecursionError) as error:
        logger.warning(
            "store: ignoring the value of {}, which cannot be decoded: {}", path, error
        )
        return PlatformObject(path, version, "", None)


def _decode_object(
    kind: str, path: str, version: int, spec: msgspec.Raw
) -> PlatformObject:
    if kind in FOREIGN_KINDS:
        if is_too_deep(bytes(spec)):
            raise ValueError("it is nested too deeply")
        value = msgspec.json.decode(spec)
        # Other daemons get a copy in this format, which has no larger integers.
        msgspec.msgpack.encode(value)
        return PlatformObject(path, version, "", value)
    decoded = msgspec.json.decode(spec, type=_Stored)
    return PlatformObject(path, version, decoded.change_id, decoded.value)
