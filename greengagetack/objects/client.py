"""greengagetack.objects.client: the object API and VM list over HTTP."""

import asyncio
import uuid
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from loguru import logger

from greengagetack.errors import InvalidRequest, PlatformUnavailable
from greengagetack.http1.client import HttpClient
from greengagetack.http1.limits import ResponseLimits
from greengagetack.http1.message import ExchangeError, Headers, header
from greengagetack.leases.decisions import WriteResult, resolve_lost_write
from greengagetack.objects.base import (
    ListedVm,
    ObjectConflict,
    PlatformObject,
    WatchAnswer,
    WriteUnknown,
)

__all__ = ["PlatformClient"]

T = TypeVar("T")

CALL_TIMEOUT_S = 2.0
RETRY_AFTER_S = 1.0
WRITE_ATTEMPTS = 2
MAX_VALUE_BYTES = 1_000_000

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 412
HTTP_TOO_LARGE = 413
REFUSED_STATUSES = frozenset({429, 503})
PUT_STATUSES = REFUSED_STATUSES | {
    HTTP_OK,
    HTTP_NOT_FOUND,
    HTTP_CONFLICT,
    HTTP_TOO_LARGE,
}


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    body: bytes
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class _Written:
    path: str
    version: int


@dataclass(frozen=True, slots=True)
class _VmList:
    vms: tuple[ListedVm, ...]


@dataclass(frozen=True, slots=True)
class _Put:
    change_id: str
    value: Any


class _ResponseLost(Exception):
    """The request may have been carried out, but no usable response arrived."""


class PlatformClient:
    """Implements `ObjectStore` over HTTP, see ``docs/INTERFACES.md``.

    Parameters
    ----------
    url : str
        Base URL of the platform.
    token : str or None
        Bearer token, None if the platform requires none.
    timeout_s : float
        Timeout of one call, to which the wait of a watch is added.
    limits : ResponseLimits or None
        What the responses may use.
    """

    def __init__(
        self,
        url: str,
        token: str | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        limits: ResponseLimits | None = None,
    ) -> None:
        self._headers: Headers = ()
        if token:
            self._headers = ((b"authorization", f"Bearer {token}".encode()),)
        self._timeout_s = timeout_s
        self._http = HttpClient(url.rstrip("/"), timeout_s, limits)

    async def read(self, path: str) -> PlatformObject | None:
        """Return an object, None if it does not exist.

        Raises
        ------
        PlatformUnavailable
            If the platform does not answer or refuses the call temporarily.
        """
        return await self._fetch(f"/objects/{_quote_path(path)}", PlatformObject)

    async def write(self, path: str, value: Any, expected_version: int) -> int:
        """Write if the version is `expected_version` (0 = must not exist).

        After a lost response, the object is read back and its change identifier is
        compared with that of this write. Only if the object still has its expected
        version is the same change sent once more; the platform applies it at most
        once, because both attempts expect the same version.

        Raises
        ------
        ObjectConflict
            If another writer was first.
        WriteUnknown
            If it is unknown whether the write took or will take effect.
        PlatformUnavailable
            If the platform refused the write, which then took no effect.
        InvalidRequest
            If the value is larger than the platform accepts.
        """
        change_id = uuid.uuid4().hex
        body = msgspec.json.encode(_Put(change_id, value))
        if len(body) > MAX_VALUE_BYTES:
            raise InvalidRequest(
                f"the value of {path} has {len(body)} bytes, which is over the limit"
            )
        lost_before = False
        for _ in range(WRITE_ATTEMPTS):
            try:
                response = await self._put(path, body, expected_version)
                return _written_version(
                    path, response, expected_version, change_id, lost_before
                )
            except _ResponseLost as lost:
                logger.warning("platform: no usable response to the write of {}", path)
                version = await self._read_back(path, change_id, expected_version, lost)
                if version is not None:
                    return version
                lost_before = True
        raise WriteUnknown(f"no attempt to write {path} was answered", RETRY_AFTER_S)

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects under a prefix with the current revision."""
        path = f"/objects?prefix={quote(prefix, safe='')}"
        return _require_found(path, await self._fetch(path, WatchAnswer))

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait up to `timeout_s` for changes under a prefix after a revision."""
        query = f"prefix={quote(prefix, safe='')}&after={after}&timeout_s={timeout_s:g}"
        path = f"/watch?{query}"
        return _require_found(path, await self._fetch(path, WatchAnswer, timeout_s))

    async def vms(self) -> tuple[ListedVm, ...]:
        """Return the VM list, which lags behind the actual state."""
        return _require_found("/vms", await self._fetch("/vms", _VmList)).vms

    async def close(self) -> None:
        """Close all connections to the platform."""
        self._http.close()

    async def _fetch(
        self, path: str, response_type: type[T], wait_s: float = 0.0
    ) -> T | None:
        """Return the decoded response of a read, None if the path does not exist."""
        try:
            response = await self._call("GET", path, (), b"", wait_s)
            if response.status == HTTP_OK:
                return _decoded(response, response_type)
        except _ResponseLost as lost:
            raise PlatformUnavailable(str(lost), RETRY_AFTER_S) from lost
        if response.status == HTTP_NOT_FOUND:
            return None
        raise _refusal(path, response)

    async def _put(self, path: str, body: bytes, expected_version: int) -> _Response:
        condition = (b"if-none-match", b"*")
        if expected_version:
            condition = (b"if-match", b'"%d"' % expected_version)
        headers = ((b"content-type", b"application/json"), condition)
        response = await self._call(
            "PUT", f"/objects/{_quote_path(path)}", headers, body
        )
        if response.status in PUT_STATUSES:
            return response
        # Any other status leaves open whether the write took effect.
        raise _ResponseLost(f"PUT {path}: status {response.status}")

    async def _call(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        wait_s: float = 0.0,
    ) -> _Response:
        try:
            async with asyncio.timeout(self._timeout_s + wait_s):
                async with self._http.exchange(
                    method,
                    path,
                    (*self._headers, *headers),
                    body,
                    # Only `write` may repeat a write.
                    may_resend=method == "GET",
                ) as exchange:
                    content = await exchange.connection.read_all()
                    head = exchange.head
        except (ExchangeError, TimeoutError) as error:
            raise _ResponseLost(f"{method} {path}: {error!r}") from error
        retry_after_s = _retry_after_s(header(head.headers, b"retry-after"))
        return _Response(head.status, content, retry_after_s)

    async def _read_back(
        self, path: str, change_id: str, expected_version: int, lost: _ResponseLost
    ) -> int | None:
        try:
            current = await self.read(path)
        except PlatformUnavailable as error:
            raise WriteUnknown(
                f"{lost}; reading {path} back failed: {error.reason}",
                error.retry_after_s,
            ) from error
        if current is None:
            current = PlatformObject(path, 0, "", None)
        result = resolve_lost_write(
            current.version, current.change_id, expected_version, change_id
        )
        if result is WriteResult.NOT_APPLIED:
            return None
        return _version_of(result, current, expected_version)


def _decoded(response: _Response, response_type: type[T]) -> T:
    """Decode the body of a response; an invalid body counts as a lost response."""
    try:
        return msgspec.json.decode(response.body, type=response_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise _ResponseLost(f"the response cannot be decoded: {error}") from error


def _require_found(path: str, value: T | None) -> T:
    if value is None:
        raise PlatformUnavailable(f"the platform does not have {path}", RETRY_AFTER_S)
    return value


def _written_version(
    path: str,
    response: _Response,
    expected_version: int,
    change_id: str,
    lost_before: bool,
) -> int:
    """Return the version created by a write, or raise the reason why there is none.

    `lost_before` is true if an earlier attempt of the same write got no response.
    """
    if response.status == HTTP_OK:
        return _decoded(response, _Written).version
    if response.status == HTTP_TOO_LARGE:
        raise InvalidRequest(f"the value of {path} is larger than the platform accepts")
    if response.status in REFUSED_STATUSES and lost_before:
        raise WriteUnknown(
            f"the response to the first write of {path} was lost",
            response.retry_after_s,
        )
    if response.status in REFUSED_STATUSES:
        raise _refusal(path, response)
    if response.status == HTTP_NOT_FOUND:
        raise ObjectConflict(f"the object {path} no longer exists")
    current = _decoded(response, PlatformObject)
    result = WriteResult.CONFLICT
    if lost_before:
        result = resolve_lost_write(
            current.version, current.change_id, expected_version, change_id
        )
    return _version_of(result, current, expected_version)


def _version_of(
    result: WriteResult, current: PlatformObject, expected_version: int
) -> int:
    """Return the version created by the write, or raise what is known of it."""
    if result is WriteResult.APPLIED:
        return current.version
    if result is WriteResult.CONFLICT:
        raise ObjectConflict(
            f"{current.path} is at version {current.version}, not {expected_version}"
        )
    # The write may have taken effect and been overwritten since.
    raise WriteUnknown(
        f"{current.path} is already at version {current.version}",
        RETRY_AFTER_S,
    )


def _refusal(path: str, response: _Response) -> PlatformUnavailable:
    is_refusal = response.status in REFUSED_STATUSES
    reason = "refused the call" if is_refusal else "answered unexpectedly"
    return PlatformUnavailable(
        f"the platform {reason}: {path} returned status {response.status}",
        response.retry_after_s,
    )


def _retry_after_s(value: bytes | None) -> float:
    try:
        return float(value) if value else RETRY_AFTER_S
    except ValueError:
        return RETRY_AFTER_S


def _quote_path(path: str) -> str:
    return quote(path.strip("/"), safe="/")
