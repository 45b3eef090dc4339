"""greengagetack.membership.messages: heartbeats and news within a cell."""

from dataclasses import dataclass

import msgspec
import xxhash

from greengagetack.membership.table import CellTable, ShardPair
from greengagetack.membership.table_change import TableChange
from greengagetack.peers.codec import message
from greengagetack.world import Vm

__all__ = [
    "CellNews",
    "Heartbeat",
    "HeartbeatAck",
    "LeavingSign",
    "NewPairs",
    "Pulse",
    "PulseAck",
    "vm_digest",
]


@message("leaving-sign")
@dataclass(frozen=True, slots=True)
class LeavingSign:
    """The newest word on whether an endpoint leaves; the higher `sequence` wins."""

    endpoint_id: str
    sequence: int
    leaving: bool


@message("heartbeat")
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A member tells the lead that it lives and which news it has."""

    vm: Vm
    table_revision: int
    pairs_version: int
    signs: tuple[LeavingSign, ...] = ()


@message("cell-news")
@dataclass(frozen=True, slots=True)
class CellNews:
    """What the lead tells its members; None stands for nothing newer.

    `lease_version` is the version of the lead object that the lead wrote last.
    `pairs` are those that changed after version `pairs_base`.
    """

    lead_vm_id: str
    lead_epoch: int
    lease_version: int
    table: CellTable | None = None
    table_change: TableChange | None = None
    pairs_base: int = 0
    pairs_version: int = 0
    pairs: tuple[ShardPair, ...] = ()
    signs: tuple[LeavingSign, ...] = ()
    suspected_vm_ids: tuple[str, ...] = ()


@message("heartbeat-ack")
@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """Answer to a heartbeat; None as `news` if the receiver is not the lead.

    `trusted` tells whether the lead still trusted its own lease.
    """

    trusted: bool
    news: CellNews | None = None


@message("new-pairs")
@dataclass(frozen=True, slots=True)
class NewPairs:
    """Shard pairs that changed in the platform after version `base_version`.

    Version 0 says nothing but that these pairs are in force.
    """

    version: int
    pairs: tuple[ShardPair, ...]
    base_version: int = 0


@message("pulse")
@dataclass(frozen=True, slots=True)
class Pulse:
    """A short heartbeat of a member of which the lead knows all by digests."""

    vm_digest: int
    table_revision: int
    pairs_version: int
    news_digest: int


@message("pulse-ack")
@dataclass(frozen=True, slots=True)
class PulseAck:
    """Answer to a pulse; if not `known` the member sends a whole heartbeat."""

    known: bool
    trusted: bool = False
    lease_version: int = 0


def vm_digest(vm: Vm) -> int:
    """Return a digest of all that a heartbeat says about a VM."""
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(vm))
