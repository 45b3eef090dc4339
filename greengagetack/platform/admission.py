"""greengagetack.platform.admission: decides on a request before its body is read."""

from dataclasses import dataclass
from urllib.parse import unquote

from greengagetack.errors import NotReady
from greengagetack.gateway.clients import Scope
from greengagetack.gateway.routes import Configuration, Route, RouteTable
from greengagetack.http1.message import Headers, header
from greengagetack.platform.identity import Caller, identify

__all__ = ["BODIES_PATH", "RESULTS_PATH", "Admission", "admit", "job_id_from_path"]

RESULTS_PATH = "/lots/"
BODIES_PATH = "/items/"
# Sent as Retry-After while the daemon itself cannot serve.
SUGGESTED_RETRY_S = 0.3


@dataclass(frozen=True, slots=True)
class Admission:
    """An admitted request: its route, None for none, and who sends it."""

    configuration: Configuration
    route: Route | None
    caller: Caller
    is_job_request: bool


def admit(route_table: RouteTable | None, scope: Scope, headers: Headers) -> Admission:
    """Admit a request that has a known key or needs none.

    Raises
    ------
    NotReady
        If there is no configuration yet, whatever the request.
    UnknownKey
        If the request needs a known key and has none.
    """
    if route_table is None:
        raise NotReady("no configuration has been received yet", SUGGESTED_RETRY_S)
    configuration = route_table.configuration
    host = (header(headers, b"host") or b"").decode("latin-1")
    if scope["path"].startswith((RESULTS_PATH, BODIES_PATH)):
        is_public = route_table.has_public_jobs(host)
        caller = identify(route_table.customers, headers, is_public)
        return Admission(configuration, None, caller, True)
    route = route_table.find(host, scope["raw_path"].decode("latin-1"))
    if route is None:
        return Admission(configuration, None, Caller(), False)
    caller = identify(route_table.customers, headers, route.is_public)
    return Admission(configuration, route, caller, False)


def job_id_from_path(path: str) -> str:
    """Return the job identifier in a path, which identifies reads in the log."""
    for prefix in (RESULTS_PATH, BODIES_PATH):
        if path.startswith(prefix):
            return unquote(path.removeprefix(prefix))
    return ""
