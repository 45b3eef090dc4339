"""greengagetack.membership.table: the cell's assignment table and its reader."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import xxhash

from greengagetack.world import Endpoint, Vm

__all__ = [
    "CellTable",
    "Directory",
    "KeeperAssignment",
    "ShardPair",
    "rendezvous_order",
    "shard_of_key",
]


@dataclass(frozen=True, slots=True)
class KeeperAssignment:
    """The keeper VM of an endpoint; its orders carry `fencing_number`."""

    endpoint_id: str
    keeper_vm_id: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class ShardPair:
    """Owner and backup of a shard in one epoch; `backup_vm_id` may be empty.

    A pair names processes, not only VMs: a process that restarts has another
    incarnation and is no longer in the pair. `fresh_epoch` is the newest epoch that
    began without all records of the earlier ones, 0 if there was none.
    """

    shard: int
    epoch: int
    owner_vm_id: str
    backup_vm_id: str = ""
    owner_incarnation: str = ""
    backup_incarnation: str = ""
    fresh_epoch: int = 0


@dataclass(frozen=True, slots=True)
class CellTable:
    """Members of a cell, keepers of its endpoints and leaving endpoints.

    `revision` is the version of the platform object; it only grows.
    """

    cell: str
    revision: int = 0
    lead_epoch: int = 0
    lead_vm_id: str = ""
    members: tuple[Vm, ...] = ()
    keepers: tuple[KeeperAssignment, ...] = ()
    leaving_endpoint_ids: tuple[str, ...] = ()


def rendezvous_order(key: str, candidates: tuple[str, ...]) -> tuple[str, ...]:
    """Return the candidates by descending rendezvous hash for `key`."""

    def weight(candidate: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode())

    return tuple(sorted(candidates, key=weight, reverse=True))


def shard_of_key(key: str, shard_count: int) -> int:
    """Return the shard that a key belongs to."""
    return xxhash.xxh3_64_intdigest(key.encode()) % shard_count


class Directory(Protocol):
    """The interface to the cell's members, endpoints and pairs."""

    @property
    def ready(self) -> bool:
        """Whether the newest table lists this VM."""

    def table(self) -> CellTable:
        """Return the newest table."""

    def live_members(self) -> tuple[Vm, ...]:
        """Return members that are neither leaving nor suspected."""

    def endpoint(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint of the settings."""

    def endpoints_serving(self, name: str) -> tuple[Endpoint, ...]:
        """Return endpoints of a model or service that are not leaving."""

    def is_leaving(self, endpoint_id: str) -> bool:
        """Whether any source has reported that the endpoint is leaving."""

    def report_leaving(self, endpoint_id: str) -> None:
        """Record that an endpoint is leaving."""

    def report_returned(self, endpoint_id: str) -> None:
        """Record that an endpoint which was leaving accepts work again."""

    def keepers_for(self, endpoint_id: str) -> tuple[str, ...]:
        """Return the assigned keeper, then substitutes for completions.

        A substitute may relay requests but never sends orders.
        """

    def fencing_number(self, endpoint_id: str) -> int | None:
        """Return this VM's fencing number, None if it is not the keeper."""

    def holds_keeper_lease(self, endpoint_id: str) -> bool:
        """Whether this VM may safely send unfenced orders now."""

    def pair(self, shard: int) -> ShardPair | None:
        """Return the newest known pair of a shard."""

    def is_lead(self) -> bool:
        """Whether this VM holds the lead's lease and still trusts it."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the table or pairs."""
