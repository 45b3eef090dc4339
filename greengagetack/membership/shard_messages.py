"""greengagetack.membership.shard_messages: messages between owner and backup."""

from dataclasses import dataclass

from greengagetack.membership.shards import Record
from greengagetack.membership.table import ShardPair
from greengagetack.peers.codec import message

__all__ = [
    "CopyShard",
    "EpochRecord",
    "FetchShard",
    "PromiseGrant",
    "PromisesGranted",
    "PutRecords",
    "RecordsPut",
    "RenewPromises",
    "ShardRecordsChunk",
]


@message("renew-promises")
@dataclass(frozen=True, slots=True)
class RenewPromises:
    """An owner's request for promises that the backup will not take over."""

    owner_incarnation: str
    pairs: tuple[ShardPair, ...]


@message("promise-grant")
@dataclass(frozen=True, slots=True)
class PromiseGrant:
    """The backup's promise for one shard and epoch, counted from the request.

    `acted` is whether the backup wrote job records while the owner was silent.
    """

    shard: int
    epoch: int
    acted: bool = False


@message("promises-granted")
@dataclass(frozen=True, slots=True)
class PromisesGranted:
    """The granted promises, and newer pairs that the owner lacks."""

    grants: tuple[PromiseGrant, ...]
    newer: tuple[ShardPair, ...] = ()


@message("epoch-record")
@dataclass(frozen=True, slots=True)
class EpochRecord:
    """A record and the epoch of its shard in which it was written."""

    epoch: int
    record: Record


@message("put-records")
@dataclass(frozen=True, slots=True)
class PutRecords:
    """New records of shards that the sender owns."""

    owner_incarnation: str
    records: tuple[EpochRecord, ...]


@message("records-put")
@dataclass(frozen=True, slots=True)
class RecordsPut:
    """Answer to `PutRecords`: the shards whose records the backup refused."""

    refused_shards: tuple[int, ...] = ()


@message("copy-shard")
@dataclass(frozen=True, slots=True)
class CopyShard:
    """A part of a full copy; the last part makes the copy complete."""

    owner_incarnation: str
    shard: int
    epoch: int
    records: tuple[Record, ...]
    first: bool
    last: bool


@message("fetch-shard")
@dataclass(frozen=True, slots=True)
class FetchShard:
    """An owner's request for the records that its backup wrote for it."""

    shard: int


@message("shard-records-chunk")
@dataclass(frozen=True, slots=True)
class ShardRecordsChunk:
    """A part of the answer to `FetchShard`."""

    records: tuple[Record, ...]
