"""greengagetack.settings.bounds: validates the values of single settings fields."""

import ipaddress
import re
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from greengagetack.documents import Problem
from greengagetack.settings.schema import (
    AdmissionSettings,
    BudgetSettings,
    FleetSettings,
    LogSettings,
    PolicySettings,
    RolloutSettings,
    RoutingSettings,
    ServiceSettings,
    TeamSettings,
)
from greengagetack.world import Address, Endpoint

__all__ = ["Bound", "check_field", "check_name", "is_token_hash"]

SECONDS_PER_DAY = 86_400
MAX_NAME_CHARACTERS = 64
MAX_TEXT_CHARACTERS = 1_024

_NAME = re.compile(r"[a-z0-9]([a-z0-9._-]*[a-z0-9])?")
_MODEL_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]*")
_TOKEN_HASH = re.compile(r"sha256:[0-9a-f]{64}")
_METHOD = re.compile(r"[A-Z]+")
_LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")


@dataclass(frozen=True, slots=True)
class Bound:
    """Inclusive range of a numeric field."""

    low: float
    high: float


BOUNDS: dict[tuple[type, str], Bound] = {
    (Address, "port"): Bound(0, 65_535),
    (AdmissionSettings, "queue_limit"): Bound(1, 1_000_000),
    (AdmissionSettings, "max_retry_after_s"): Bound(0.1, 3_600),
    (BudgetSettings, "concurrent_requests"): Bound(0, 10_000_000),
    (BudgetSettings, "period_s"): Bound(1, 366 * SECONDS_PER_DAY),
    (BudgetSettings, "tokens_per_period"): Bound(0, 10**15),
    (Endpoint, "slots"): Bound(1, 100_000),
    (FleetSettings, "shard_count"): Bound(1, 65_536),
    (PolicySettings, "max_staleness_versions"): Bound(0, 1_000),
    (RolloutSettings, "straggler_factor"): Bound(1, 1_000),
    (RoutingSettings, "probes"): Bound(1, 64),
    (RoutingSettings, "slow_factor"): Bound(1, 1_000),
    (TeamSettings, "weight"): Bound(0.001, 1_000),
}
SUFFIX_BOUNDS: dict[str, Bound] = {
    "_ratio": Bound(0, 1),
    "_s": Bound(0.001, 366 * SECONDS_PER_DAY),
    "_concurrency": Bound(1, 10_000),
    "_bytes": Bound(0, 2**40),
}
DEFAULT_BOUND = Bound(0, 10**15)

# Names that other settings refer to or that are used in paths.
NAME_FIELDS = frozenset(
    {"vm_id", "availability_zone", "cell", "endpoint_id", "team", "services", "adapter"}
)
MODEL_FIELDS = frozenset({"model", "models"})
URL_FIELDS = frozenset({"url", "platform_url"})
HASH_FIELDS = frozenset({"token_hashes", "operator_token_hashes"})


def check_field(owner: type, name: str, item: Any, path: str) -> list[Problem]:
    """Return the problems of a value of the field `name` of the class `owner`."""
    if isinstance(item, bool) or item is None:
        return []
    if isinstance(item, int | float):
        return _check_number(owner, name, item, path)
    if isinstance(item, str):
        return _check_text(owner, name, item, path)
    return []


def _check_number(owner: type, name: str, item: float, path: str) -> list[Problem]:
    bound = BOUNDS.get((owner, name)) or _suffix_bound(name)
    if bound.low <= item <= bound.high:
        return []
    reason = f"{item:g} is not between {bound.low:g} and {bound.high:g}"
    return [Problem(path, reason)]


def _suffix_bound(name: str) -> Bound:
    for suffix, bound in SUFFIX_BOUNDS.items():
        if name.endswith(suffix):
            return bound
    return DEFAULT_BOUND


def _check_text(owner: type, name: str, item: str, path: str) -> list[Problem]:
    if len(item) > MAX_TEXT_CHARACTERS:
        return [
            Problem(path, f"text may have at most {MAX_TEXT_CHARACTERS} characters")
        ]
    reason = ""
    if name in HASH_FIELDS:
        reason = _hash_problem(item)
    if name in URL_FIELDS:
        reason = _url_problem(item)
    if name in MODEL_FIELDS or (name == "name" and owner is not ServiceSettings):
        reason = _pattern_problem(item, _MODEL_NAME, 2 * MAX_NAME_CHARACTERS)
    if name in NAME_FIELDS or (name == "name" and owner is ServiceSettings):
        reason = _name_problem(owner, name, item)
    if owner is Address and name == "host":
        reason = _host_problem(item)
    if name == "idempotent_methods":
        reason = _pattern_problem(item, _METHOD, MAX_NAME_CHARACTERS)
    if owner is LogSettings and name == "level" and item not in _LOG_LEVELS:
        reason = f"one of {', '.join(_LOG_LEVELS)} is expected"
    return [Problem(path, reason)] if reason else []


def _name_problem(owner: type, name: str, item: str) -> str:
    if owner is Endpoint and name == "vm_id" and not item:
        return ""
    return _pattern_problem(item, _NAME, MAX_NAME_CHARACTERS)


def _pattern_problem(item: str, pattern: re.Pattern[str], limit: int) -> str:
    if not item:
        return "the name is empty"
    if len(item) > limit:
        return f"a name may have at most {limit} characters"
    if not pattern.fullmatch(item):
        return f"{item!r} does not match {pattern.pattern}"
    return ""


def check_name(item: str, path: str) -> list[Problem]:
    """Return the problem of a name such as a team's, or an empty list."""
    reason = _pattern_problem(item, _NAME, MAX_NAME_CHARACTERS)
    return [Problem(path, reason)] if reason else []


def is_token_hash(item: str) -> bool:
    """Return whether a string is a token hash in the form that settings store."""
    return _TOKEN_HASH.fullmatch(item) is not None


def _hash_problem(item: str) -> str:
    if is_token_hash(item):
        return ""
    if "…" in item:
        return "this is a shortened hash as displayed; the full hash is required"
    return "sha256: and 64 hexadecimal digits are expected (greengagetack token new)"


def _url_problem(item: str) -> str:
    try:
        parts = urlsplit(item)
        port = parts.port
    except ValueError as error:
        return f"invalid URL: {error}"
    if parts.scheme not in ("http", "https") or not parts.hostname:
        return "a URL such as http://10.0.0.1:8000 is expected"
    if port == 0 or parts.query or parts.fragment or parts.username:
        return "a base URL must have no port 0, query, fragment or user"
    return ""


def _host_problem(item: str) -> str:
    try:
        ipaddress.ip_address(item)
    except ValueError:
        return f"{item!r} is no IP number"
    return ""
