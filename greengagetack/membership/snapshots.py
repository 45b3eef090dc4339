"""greengagetack.membership.snapshots: shard records on disk, with checksums.

A snapshot may be older than the shard's last write. If a key is absent from it, or
has a state there that allows a run, the call may still have run later. Hence:

- Job records are always restored: work repeated from them is done at most twice
  and delivered once.
- Records of other kinds are restored only if nothing newer can exist: the
  snapshot was written after this VM, as the only holder, had sealed the epoch for
  good, and the epoch that begins now is the next one. Otherwise the epoch stays
  marked as begun without all records, and keys without a record are answered
  "unknown".
"""

import os
from dataclasses import dataclass
from pathlib import Path

import msgspec
import xxhash
from loguru import logger

from greengagetack.membership.shards import Record
from greengagetack.membership.table import ShardPair

__all__ = ["ShardSnapshot", "Snapshot", "SnapshotFolder"]

MAGIC = b"greengagetack-shards"
VERSION = 1
DIGEST_BYTES = 16
KEPT_SNAPSHOTS = 3
SUFFIX = ".snapshot"
REJECTED_SUFFIX = ".rejected"
HEADER_BYTES = len(MAGIC) + 1 + DIGEST_BYTES


@dataclass(frozen=True, slots=True)
class ShardSnapshot:
    """Records of a shard; `final` if the epoch was sealed and had no backup."""

    pair: ShardPair
    final: bool
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All shards that a VM held at one time."""

    vm_id: str
    incarnation: str
    shards: tuple[ShardSnapshot, ...]


class SnapshotError(Exception):
    """A file is not a valid snapshot of a known version."""


class SnapshotFolder:
    """Writes numbered snapshots to a folder and reads the newest valid one.

    Parameters
    ----------
    folder : Path
        Folder of one VM; it is created if it does not exist.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def write(self, snapshot: Snapshot) -> Path:
        """Write a snapshot durably and remove old ones; blocks on disk I/O.

        Raises
        ------
        OSError
            If writing fails; earlier snapshots stay.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        files = self._files(SUFFIX)
        number = int(files[0].stem) + 1 if files else 1
        target = self._folder / f"{number:010d}{SUFFIX}"
        unfinished = target.with_suffix(".unfinished")
        with unfinished.open("wb") as file:
            file.write(encode(snapshot))
            file.flush()
            os.fsync(file.fileno())
        unfinished.rename(target)
        self._sync_folder()
        for old in self._files(SUFFIX)[KEPT_SNAPSHOTS:]:
            old.unlink(missing_ok=True)
        return target

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _files(self, suffix: str) -> list[Path]:
        """Return the numbered files, newest first."""
        found = [
            path for path in self._folder.glob(f"*{suffix}") if path.stem.isdigit()
        ]
        return sorted(found, key=lambda path: int(path.stem), reverse=True)

    def read_newest(self, vm_id: str) -> Snapshot | None:
        """Return the newest valid snapshot of a VM, None if there is none.

        Files that are truncated, corrupted or of another VM are renamed, logged
        and never used.
        """
        if not self._folder.exists():
            return None
        for path in self._files(SUFFIX):
            try:
                snapshot = decode(path.read_bytes())
                if snapshot.vm_id != vm_id:
                    raise SnapshotError(f"the snapshot belongs to {snapshot.vm_id}")
            except (OSError, SnapshotError) as error:
                logger.warning("snapshots: rejected {}: {}", path.name, error)
                self._reject(path)
                continue
            return snapshot
        return None

    def _reject(self, path: Path) -> None:
        path.rename(path.with_suffix(REJECTED_SUFFIX))
        for old in self._files(REJECTED_SUFFIX)[KEPT_SNAPSHOTS:]:
            old.unlink(missing_ok=True)


def encode(snapshot: Snapshot) -> bytes:
    """Return the bytes of a snapshot file: header, digest and msgpack."""
    payload = msgspec.msgpack.encode(snapshot)
    digest = xxhash.xxh3_128_digest(payload)
    return MAGIC + bytes([VERSION]) + digest + payload


def decode(data: bytes) -> Snapshot:
    """Return the snapshot in a file's bytes.

    Raises
    ------
    SnapshotError
        If the file is truncated, corrupted or of another version.
    """
    if len(data) < HEADER_BYTES or not data.startswith(MAGIC):
        raise SnapshotError("the header is missing or truncated")
    version = data[len(MAGIC)]
    if version != VERSION:
        raise SnapshotError(f"unsupported version {version}")
    digest = data[len(MAGIC) + 1 : HEADER_BYTES]
    payload = data[HEADER_BYTES:]
    if xxhash.xxh3_128_digest(payload) != digest:
        raise SnapshotError("the digest does not match")
    try:
        return msgspec.msgpack.decode(payload, type=Snapshot)
    except (msgspec.DecodeError, ValueError) as error:
        raise SnapshotError(str(error)) from error
