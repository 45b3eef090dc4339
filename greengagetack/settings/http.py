"""greengagetack.settings.http: HTTP handlers of the settings API."""

import re
from typing import Any

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute

from greengagetack.daemons.auth import Principal, require_operator, require_team
from greengagetack.daemons.limits import read_body
from greengagetack.daemons.responses import json_response
from greengagetack.daemons.role import Services, http_routes
from greengagetack.documents import parse_json
from greengagetack.entry.http import authenticated_route
from greengagetack.errors import InvalidRequest, NotFound
from greengagetack.settings.answers import (
    AppliedAnswer,
    CheckAnswer,
    HistoryAnswer,
    SettingsList,
    WrittenAnswer,
    answer_from_object,
)
from greengagetack.settings.changes import find_changes, redact
from greengagetack.settings.messages import (
    AskApplied,
    MemberVersions,
    PushSettings,
    SpreadResult,
    SpreadSettings,
)
from greengagetack.settings.objects import (
    FLEET_PATH,
    SettingsObject,
    settings_path,
    team_of_path,
)
from greengagetack.settings.store import SettingsStore
from greengagetack.settings.writer import SettingsWriter, check_document

__all__ = ["SettingsCalls", "settings_routes"]

MAX_SETTINGS_BYTES = 900_000
MAX_WAIT_S = 30.0

_VERSION_TAG = re.compile(r'"(0|[1-9][0-9]{0,17})"')


class SettingsCalls:
    """HTTP handlers of the settings API on one daemon."""

    def __init__(self, services: Services) -> None:
        store = services.settings
        if not isinstance(store, SettingsStore):
            raise TypeError("the settings API needs a SettingsStore")
        self._store = store
        self._peers = services.peers
        self._writer = SettingsWriter(services.platform, services.timer)

    async def list(self, request: Request, principal: Principal) -> Response:
        """Return the subtrees that the principal may read."""
        visible = [
            one for one in self._store.versions() if _can_access(principal, one.path)
        ]
        return json_response(SettingsList(tuple(visible)))

    async def show(self, request: Request, principal: Principal) -> Response:
        """Return the version that this daemon has applied, also in an outage."""
        path = _authorized_path(request, principal)
        known = self._store.get(path)
        if known is None:
            raise NotFound(f"no settings exist under {path}")
        return _response_with_etag(answer_from_object(known), known.version)

    async def write(self, request: Request, principal: Principal) -> Response:
        """Write a change to the platform and push it to all members."""
        path = _authorized_path(request, principal)
        expected_version = _expected_version(request)
        wait_s = _wait_s(request)
        value = await _read_value(request)
        written = await self._writer.write(path, value, expected_version, principal)
        spread = await self._spread(written, wait_s)
        answer = WrittenAnswer(
            path, written.version, spread.confirmed_vm_ids, spread.missing_vm_ids
        )
        return _response_with_etag(answer, written.version)

    async def _spread(self, written: SettingsObject, wait_s: float) -> SpreadResult:
        body = SpreadSettings(PushSettings.from_object(written), wait_s)
        spread = await self._peers.request(self._peers.vm_id, body)
        assert isinstance(spread, SpreadResult)
        return spread

    async def check(self, request: Request, principal: Principal) -> Response:
        """Validate a document without writing it."""
        path = _authorized_path(request, principal)
        value = await _read_value(request)
        check_document(path, value)
        known = self._store.get(path)
        before = redact(known.value) if known is not None else {}
        changes = find_changes(before, redact(value), path)
        version = self._store.version(path)
        return json_response(CheckAnswer(path, version, tuple(changes)))

    async def history(self, request: Request, principal: Principal) -> Response:
        """Return the versions that the platform stores, newest first."""
        path = _authorized_path(request, principal)
        current = await self._writer.read(path)
        if current is None:
            raise NotFound(f"no settings exist under {path}")
        versions = [answer_from_object(current)]
        for entry in current.history:
            former = SettingsObject(
                path, entry.version, entry.value, entry.author, entry.changed_at_s
            )
            versions.append(answer_from_object(former))
        return json_response(HistoryAnswer(path, tuple(versions)))

    async def applied(self, request: Request, principal: Principal) -> Response:
        """Return the versions that each member of the cell has applied."""
        require_operator(principal)
        members = []
        async for answer in self._peers.stream(self._peers.vm_id, AskApplied()):
            if isinstance(answer, MemberVersions):
                members.append(answer)
        return json_response(AppliedAnswer(tuple(members)))


def _authorized_path(request: Request, principal: Principal) -> str:
    """Return the settings path of a request, after checking authorization."""
    path = settings_path(request.path_params["path"])
    if path == FLEET_PATH:
        require_operator(principal)
    else:
        require_team(principal, team_of_path(path))
    return path


def _can_access(principal: Principal, path: str) -> bool:
    return principal.is_operator or team_of_path(path) == principal.team


def _response_with_etag(answer: Any, version: int) -> Response:
    return json_response(answer, headers={"etag": f'"{version}"'})


def _expected_version(request: Request) -> int:
    if request.headers.get("if-none-match") == "*":
        return 0
    tag = request.headers.get("if-match")
    if tag is None:
        raise InvalidRequest(
            'If-Match: "VERSION" is required, or If-None-Match: * to create a path'
        )
    found = _VERSION_TAG.fullmatch(tag.strip())
    if found is None:
        raise InvalidRequest('If-Match must be a quoted version, such as "3"')
    return int(found.group(1))


def _wait_s(request: Request) -> float:
    text = request.query_params.get("wait_s", "0")
    try:
        wait_s = float(text)
    except ValueError:
        raise InvalidRequest("wait_s is not a number") from None
    if not 0 <= wait_s <= MAX_WAIT_S:
        raise InvalidRequest(f"wait_s must be between 0 and {MAX_WAIT_S:g}")
    return wait_s


async def _read_value(request: Request) -> Any:
    body = await read_body(request, MAX_SETTINGS_BYTES)
    if not body:
        raise InvalidRequest("the request has no body; a JSON body is required")
    return parse_json(body)


@http_routes
def settings_routes(services: Services) -> list[BaseRoute]:
    """Return the routes of the settings API."""
    calls = SettingsCalls(services)
    path = "{path:path}"
    return [
        authenticated_route(services, "/v1/settings", calls.list, "GET"),
        authenticated_route(services, f"/v1/settings/{path}", calls.show, "GET"),
        authenticated_route(services, f"/v1/settings/{path}", calls.write, "PUT"),
        authenticated_route(
            services, f"/v1/settings-check/{path}", calls.check, "POST"
        ),
        authenticated_route(
            services, f"/v1/settings-history/{path}", calls.history, "GET"
        ),
        authenticated_route(services, "/v1/settings-applied", calls.applied, "GET"),
    ]
