"""greengagetack.world: data types for VMs, zones, links and endpoints."""

import enum
from dataclasses import dataclass

__all__ = [
    "Address",
    "AvailabilityZone",
    "Contract",
    "Endpoint",
    "EndpointKind",
    "Fencing",
    "Link",
    "Vm",
    "VmState",
]


MAX_PORT = 65_535


class VmState(enum.StrEnum):
    """State of a VM or endpoint as listed by the platform or the cell's table."""

    LIVE = "live"
    LEAVING = "leaving"


class EndpointKind(enum.StrEnum):
    """The kind of backend of an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


class Fencing(enum.StrEnum):
    """Whether an endpoint rejects orders with an older fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse an address from ``HOST:PORT``.

        Raises
        ------
        ValueError
            If the port is not a number from 0 to 65535.
        """
        host, _, port_text = text.rpartition(":")
        if not port_text.isascii():
            raise ValueError(f"port {port_text!r} is not written in ASCII digits")
        port = int(port_text)
        if not 0 <= port <= MAX_PORT:
            raise ValueError(f"port {port} is not within 0 to {MAX_PORT}")
        return cls(host, port)


@dataclass(frozen=True, slots=True)
class AvailabilityZone:
    """An availability zone and the cell that it belongs to."""

    name: str
    cell: str


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM that runs a daemon; `incarnation` changes with each start."""

    vm_id: str
    availability_zone: str
    incarnation: str
    peer: Address
    http: Address
    state: VmState = VmState.LIVE


@dataclass(frozen=True, slots=True)
class Link:
    """A connection between two VMs and the time of the last message on it."""

    local_vm_id: str
    remote_vm_id: str
    last_received_s: float


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A model engine replica or plain service.

    `name` is the model or service that it serves, `adapter` the name of the
    registered adapter for its protocol, and `url` its base URL.
    """

    endpoint_id: str
    kind: EndpointKind
    name: str
    adapter: str
    url: str
    availability_zone: str
    vm_id: str = ""
    fencing: Fencing = Fencing.CHECKED
    slots: int = 8


@dataclass(frozen=True, slots=True)
class Contract:
    """Limits of a team: tokens per period, concurrent requests and weight."""

    team: str
    weight: float = 1.0
    tokens_per_period: int = 0
    period_s: float = 86_400.0
    concurrent_requests: int = 0
    retry_ratio: float = 0.1
