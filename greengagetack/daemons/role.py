"""greengagetack.daemons.role: base class and registry of a daemon's roles."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from starlette.routing import BaseRoute

from greengagetack.membership.shards import ShardStore
from greengagetack.membership.table import Directory
from greengagetack.objects.base import ObjectStore
from greengagetack.observability.metrics import Metrics
from greengagetack.observability.traces import SpanStore
from greengagetack.peers.node import PeerNode
from greengagetack.settings.schema import VmSettings
from greengagetack.settings.view import SettingsView
from greengagetack.timer import Timer

if TYPE_CHECKING:
    from greengagetack.routing.shared import SharedRouting

__all__ = ["ROLES", "ROUTE_SOURCES", "Role", "Services", "http_routes", "role"]


@dataclass(frozen=True, slots=True)
class Services:
    """Services of a daemon that its roles may use."""

    vm: VmSettings
    timer: Timer
    peers: PeerNode
    platform: ObjectStore
    settings: SettingsView
    directory: Directory
    shards: ShardStore
    metrics: Metrics
    spans: SpanStore
    routing: "SharedRouting"


class Role:
    """A part of a daemon that is started and stopped on its own.

    Parameters
    ----------
    services : Services
        Services of the daemon.

    Attributes
    ----------
    name : str
        Name of the role.
    started_by : str or None
        Name in the settings' ``roles`` that enables the role: None for its own
        name, empty for a role that runs on every daemon.
    """

    name = ""
    started_by: str | None = None

    def __init__(self, services: Services) -> None:
        self.services = services

    async def start(self) -> None:
        """Register message handlers and subscribe to timers."""

    async def prepare_handover(self) -> None:
        """Finish work that must end before this VM hands over its shards."""

    async def drain(self) -> None:
        """Finish requests in flight."""

    async def close(self) -> None:
        """Release sockets and tasks."""


ROLES: dict[str, type[Role]] = {}
ROUTE_SOURCES: list[Callable[[Services], list[BaseRoute]]] = []


def role(role_type: type[Role]) -> type[Role]:
    """Register a role under its name."""
    if role_type.name in ROLES:
        raise ValueError(f"duplicate role {role_type.name!r}")
    ROLES[role_type.name] = role_type
    return role_type


def http_routes(
    source: Callable[[Services], list[BaseRoute]],
) -> Callable[[Services], list[BaseRoute]]:
    """Register a function that returns routes for the HTTP application."""
    ROUTE_SOURCES.append(source)
    return source
