"""greengagetack.membership.shard_messages: what owner and backup tell each other."""

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
    """An owner asks its backup not to take over any of these shards for now."""

    owner_incarnation: str
    pairs: tuple[ShardPair, ...]


@message("promise-grant")
@dataclass(frozen=True, slots=True)
class PromiseGrant:
    """The backup's promise for one shard and epoch, counted from the request.

    `acted` tells that the backup went on with jobs while the owner was silent.
    """

    shard: int
    epoch: int
    acted: bool = False


@message("promises-granted")
@dataclass(frozen=True, slots=True)
class PromisesGranted:
    """The promises that were granted, and newer pairs that the owner lacks."""

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
    """Shards whose records the backup did not take."""

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
    """An owner asks for records that its backup wrote in its stead."""

    shard: int


@message("shard-records-chunk")
@dataclass(frozen=True, slots=True)
class ShardRecordsChunk:
    """A part of the answer to `FetchShard`."""

    records: tuple[Record, ...]
