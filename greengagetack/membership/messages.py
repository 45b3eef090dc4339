"""greengagetack.membership.messages: heartbeats and news within a cell."""

from dataclasses import dataclass

from greengagetack.membership.table import CellTable, ShardPair
from greengagetack.peers.codec import message
from greengagetack.world import Vm

__all__ = ["CellNews", "Heartbeat", "HeartbeatAck", "LeavingSign", "NewPairs"]


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
    """

    lead_vm_id: str
    lead_epoch: int
    lease_version: int
    table: CellTable | None = None
    pairs_version: int = 0
    pairs: tuple[ShardPair, ...] | None = None
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
    """Shard pairs as just written to or read from the platform."""

    version: int
    pairs: tuple[ShardPair, ...]
