"""greengagetack.membership.records: the records of one shard on this VM."""

from collections.abc import Iterator

from greengagetack.membership.shards import Record

__all__ = ["ShardRecords", "chunked"]

MAX_DELETIONS = 1_024
CHUNK_BYTES = 256 * 1024

RecordKey = tuple[str, str]


class ShardRecords:
    """Records by kind and key; of two versions the higher sequence stays.

    Attributes
    ----------
    sequence : int
        The highest sequence seen in this shard.
    complete_epoch : int
        The newest epoch whose owner's records are all here, 0 if none is.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self.complete_epoch = 0
        self._records: dict[RecordKey, Record] = {}
        self._incoming: dict[RecordKey, Record] | None = None
        self._deletions = 0

    def get(self, kind: str, key: str) -> bytes | None:
        """Return a value, None without one."""
        record = self._records.get((kind, key))
        return record.value if record and record.value else None

    def find(self, kind: str, key: str) -> Record | None:
        """Return a record, also one that stands for a deletion."""
        return self._records.get((kind, key))

    def of_kind(self, kind: str) -> tuple[Record, ...]:
        """Return all records of a kind."""
        return tuple(
            record
            for record in self._records.values()
            if record.kind == kind and record.value
        )

    def all(self) -> tuple[Record, ...]:
        """Return all records, those that stand for deletions too."""
        return tuple(self._records.values())

    def apply(self, record: Record) -> None:
        """Take a record unless a newer one is known."""
        if self._incoming is not None:
            _keep_newer(self._incoming, record)
        _keep_newer(self._records, record)
        self.sequence = max(self.sequence, record.sequence)
        if record.value:
            return
        self._deletions += 1
        if self._deletions > MAX_DELETIONS:
            self._prune_deletions()

    def _prune_deletions(self) -> None:
        deletions = [r for r in self._records.values() if not r.value]
        deletions.sort(key=lambda record: record.sequence)
        keep = MAX_DELETIONS // 2
        for record in deletions[: max(0, len(deletions) - keep)]:
            del self._records[(record.kind, record.key)]
        self._deletions = min(len(deletions), keep)

    def restore(self, record: Record, former: Record | None) -> None:
        """Take a failed write back, unless a newer one has replaced it."""
        key = (record.kind, record.key)
        if self._records.get(key) != record:
            return
        if former is None:
            del self._records[key]
            return
        self._records[key] = former

    def begin_copy(self) -> None:
        """Start to receive a full copy beside the present records."""
        self._incoming = {}

    def finish_copy(self, epoch: int) -> bool:
        """Let the received copy replace the records; False without a copy."""
        if self._incoming is None:
            return False
        self._records = self._incoming
        self._incoming = None
        self.complete_epoch = epoch
        return True


def _keep_newer(records: dict[RecordKey, Record], record: Record) -> None:
    key = (record.kind, record.key)
    known = records.get(key)
    if known is None or _rank(known) < _rank(record):
        records[key] = record


def _rank(record: Record) -> tuple[int, bytes]:
    return (record.sequence, record.value)


def chunked(records: tuple[Record, ...]) -> Iterator[tuple[Record, ...]]:
    """Yield the records in parts of bounded size, at least one part."""
    part: list[Record] = []
    size_bytes = 0
    for record in records:
        part.append(record)
        size_bytes += len(record.value) + len(record.key)
        if size_bytes >= CHUNK_BYTES:
            yield tuple(part)
            part = []
            size_bytes = 0
    yield tuple(part)
