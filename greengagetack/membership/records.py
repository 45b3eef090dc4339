"""greengagetack.membership.records: this VM's records of one shard."""

from collections.abc import Iterator

from greengagetack.membership.shards import Record

__all__ = ["ShardRecords", "chunked"]

MAX_TOMBSTONES = 1_024
CHUNK_BYTES = 256 * 1024

RecordKey = tuple[str, str]


class ShardRecords:
    """Records by kind and key; the version with the higher sequence is kept.

    Attributes
    ----------
    sequence : int
        The highest sequence seen in this shard.
    complete_epoch : int
        The newest epoch of which all the owner's records are here, or 0.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self.complete_epoch = 0
        self._records: dict[RecordKey, Record] = {}
        self._incoming_copy: dict[RecordKey, Record] | None = None
        self._tombstones = 0

    def get(self, kind: str, key: str) -> bytes | None:
        """Return a value, None without one."""
        record = self._records.get((kind, key))
        return record.value if record and record.value else None

    def find(self, kind: str, key: str) -> Record | None:
        """Return a record or a tombstone, None if there is neither."""
        return self._records.get((kind, key))

    def of_kind(self, kind: str) -> tuple[Record, ...]:
        """Return all records of a kind, without tombstones."""
        return tuple(
            record
            for record in self._records.values()
            if record.kind == kind and record.value
        )

    def all(self) -> tuple[Record, ...]:
        """Return all records, including tombstones."""
        return tuple(self._records.values())

    def apply(self, record: Record) -> None:
        """Store a record unless a newer one is known."""
        if self._incoming_copy is not None:
            _keep_newer(self._incoming_copy, record)
        _keep_newer(self._records, record)
        self.sequence = max(self.sequence, record.sequence)
        if record.value:
            return
        self._tombstones += 1
        if self._tombstones > MAX_TOMBSTONES:
            self._prune_tombstones()

    def _prune_tombstones(self) -> None:
        tombstones = [r for r in self._records.values() if not r.value]
        tombstones.sort(key=lambda record: record.sequence)
        kept_count = MAX_TOMBSTONES // 2
        for record in tombstones[: max(0, len(tombstones) - kept_count)]:
            del self._records[(record.kind, record.key)]
        self._tombstones = min(len(tombstones), kept_count)

    def undo(self, record: Record, former: Record | None) -> None:
        """Undo a failed write, unless a newer record has replaced it."""
        key = (record.kind, record.key)
        if self._records.get(key) != record:
            return
        if former is None:
            del self._records[key]
            return
        self._records[key] = former

    def begin_copy(self) -> None:
        """Start to receive a full copy next to the present records."""
        self._incoming_copy = {}

    def finish_copy(self, epoch: int) -> bool:
        """Replace the records by the received copy; return False if none was begun."""
        if self._incoming_copy is None:
            return False
        self._records = self._incoming_copy
        self._incoming_copy = None
        self.complete_epoch = epoch
        return True


def _keep_newer(records: dict[RecordKey, Record], record: Record) -> None:
    key = (record.kind, record.key)
    known = records.get(key)
    if known is None or _precedence(known) < _precedence(record):
        records[key] = record


def _precedence(record: Record) -> tuple[int, bytes]:
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
