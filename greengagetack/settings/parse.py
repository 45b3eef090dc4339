"""greengagetack.settings.parse: parses text or plain values into validated settings."""

from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from greengagetack.documents import (
    InvalidDocument,
    Problem,
    find_problems,
    parse_json_with_comments,
)
from greengagetack.errors import register_error
from greengagetack.settings.bounds import check_field, check_name
from greengagetack.settings.schema import (
    DEFAULT_ROLES,
    FleetSettings,
    TeamSettings,
    VmSettings,
)
from greengagetack.world import EndpointKind

__all__ = ["InvalidSettings", "load_vm_settings", "parse_fleet", "parse_team"]

T = TypeVar("T")

DocumentCheck = Callable[[dict[str, Any], str], list[Problem]]

TABLE_BY_KIND: dict[str, str] = {
    EndpointKind.ENGINE.value: "models",
    EndpointKind.SERVICE.value: "services",
}


@register_error
class InvalidSettings(InvalidDocument):
    """The settings were rejected; every fault is listed with its path."""

    code = "invalid_settings"


def load_vm_settings(path: str | Path) -> VmSettings:
    """Load the settings of a daemon from its file.

    Raises
    ------
    InvalidSettings
        If the file cannot be read or is invalid.
    """
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise InvalidSettings(f"{path}: {error.strerror}") from None
    return _validate(_parse_document(text), VmSettings, "", _vm_problems)


def parse_fleet(document: Any) -> FleetSettings:
    """Parse the subtree ``/fleet`` from text or a plain value.

    Raises
    ------
    InvalidSettings
        If the document is invalid; lists all problems.
    """
    return _validate(
        _parse_document(document), FleetSettings, "/fleet", _fleet_problems
    )


def parse_team(team: str, document: Any) -> TeamSettings:
    """Parse the subtree ``/teams/<team>`` from text or a plain value.

    The key ``team`` may be omitted.

    Raises
    ------
    InvalidSettings
        If the document is invalid; lists all problems.
    """
    path = f"/teams/{team}"
    name_problems = check_name(team, path)
    if name_problems:
        raise InvalidSettings.from_problems(name_problems)
    value = _parse_document(document)
    if isinstance(value, dict):
        value = {"team": team, **value}
    return _validate(value, TeamSettings, path, _team_problems)


def _parse_document(document: Any) -> Any:
    if not isinstance(document, str | bytes):
        return document
    try:
        return parse_json_with_comments(document)
    except InvalidDocument as error:
        raise InvalidSettings(error.reason) from None


def _validate(value: Any, settings_type: type[T], path: str, check: DocumentCheck) -> T:
    problems = find_problems(value, settings_type, path, check_field)
    if isinstance(value, dict):
        problems += check(value, path)
    if problems:
        raise InvalidSettings.from_problems(problems)
    return msgspec.convert(value, settings_type)


def _texts(value: dict[str, Any], table: str, key: str = "") -> list[tuple[int, str]]:
    """Return the index and text of each well-formed item of a table.

    Malformed items are reported by `find_problems`.
    """
    items = value.get(table)
    if not isinstance(items, list):
        return []
    texts = []
    for index, item in enumerate(items):
        text = item.get(key) if key and isinstance(item, dict) else item
        if isinstance(text, str):
            texts.append((index, text))
    return texts


def _vm_problems(value: dict[str, Any], path: str) -> list[Problem]:
    problems = _duplicate_problems(value, "roles", "", path)
    for index, name in _texts(value, "roles"):
        if name not in DEFAULT_ROLES:
            reason = f"one of {', '.join(DEFAULT_ROLES)} is expected"
            problems.append(Problem(f"{path}/roles/{index}", reason))
    return problems


def _fleet_problems(value: dict[str, Any], path: str) -> list[Problem]:
    problems = _duplicate_problems(value, "models", "name", path)
    problems += _duplicate_problems(value, "services", "name", path)
    problems += _duplicate_problems(value, "endpoints", "endpoint_id", path)
    known = {
        table: {name for _, name in _texts(value, table, "name")}
        for table in TABLE_BY_KIND.values()
    }
    kinds = dict(_texts(value, "endpoints", "kind"))
    for index, name in _texts(value, "endpoints", "name"):
        table = TABLE_BY_KIND.get(kinds.get(index, ""))
        if table is None or name in known[table]:
            continue
        reason = f"{name!r} is not listed in {path}/{table}"
        problems.append(Problem(f"{path}/endpoints/{index}/name", reason))
    return problems


def _team_problems(value: dict[str, Any], path: str) -> list[Problem]:
    problems = []
    if not path.endswith(f"/{value.get('team')}"):
        reason = f"{value.get('team')!r} does not match the path"
        problems.append(Problem(f"{path}/team", reason))
    problems += _duplicate_problems(value, "policies", "model", path)
    problems += _duplicate_problems(value, "models", "", path)
    problems += _duplicate_problems(value, "services", "", path)
    models = {name for _, name in _texts(value, "models")}
    for index, model in _texts(value, "policies", "model"):
        if model not in models:
            reason = f"{model!r} is not listed in {path}/models"
            problems.append(Problem(f"{path}/policies/{index}/model", reason))
    return problems


def _duplicate_problems(
    value: dict[str, Any], table: str, key: str, path: str
) -> list[Problem]:
    problems = []
    names = Counter(name for _, name in _texts(value, table, key))
    for name, count in names.items():
        if count > 1:
            reason = f"{name!r} is listed {count} times"
            problems.append(Problem(f"{path}/{table}", reason))
    return problems
