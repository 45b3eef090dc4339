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
    """Whether an endpoint is leaving; the higher `sequence` wins."""

    endpoint_id: str
    sequence: int
    leaving: bool


@message("heartbeat")
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A member's full heartbeat: its VM and the versions of what it has."""

    vm: Vm
    table_revision: int
    pairs_version: int
    signs: tuple[LeavingSign, ...] = ()


@message("cell-news")
@dataclass(frozen=True, slots=True)
class CellNews:
    """News from the lead to a member; None means that nothing is newer.

    `lease_version` is the version of the lead object that the lead last wrote.
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

    `trusted` is whether the lead still trusted its own lease.
    """

    trusted: bool
    news: CellNews | None = None


@message("new-pairs")
@dataclass(frozen=True, slots=True)
class NewPairs:
    """Shard pairs that changed in the platform after version `base_version`.

    Version 0 means that only these pairs are known to be in force.
    """

    version: int
    pairs: tuple[ShardPair, ...]
    base_version: int = 0


@message("pulse")
@dataclass(frozen=True, slots=True)
class Pulse:
    """A short heartbeat: digests that the lead compares with what it has."""

    vm_digest: int
    table_revision: int
    pairs_version: int
    news_digest: int


@message("pulse-ack")
@dataclass(frozen=True, slots=True)
class PulseAck:
    """Answer to a pulse; if not `known`, the member sends a full heartbeat."""

    known: bool
    trusted: bool = False
    lease_version: int = 0


def vm_digest(vm: Vm) -> int:
    """Return a digest of the VM as sent in a full heartbeat."""
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(vm))
