"""greengagetack.membership.snapshots: checked copies of shard records on a disk.

Rule for what is read back. A snapshot may be older than what its shard did
later, so that a key which is absent from it, or has a state there that allows a
run, says nothing. Hence, of a snapshot

- job records serve as a base: work made anew from them is made at most twice,
  and delivered once;
- all other kinds count only if nothing newer can exist: the snapshot was
  written after this VM, as the only holder, had sealed the epoch for good, and
  the next epoch is the one that begins now. Otherwise the epoch stays marked as
  begun without all records, and keys without a record are answered "unknown".
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
    """Records of a shard under one pair; `final` if its epoch was sealed alone."""

    pair: ShardPair
    final: bool
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All shards that a VM held at one moment."""

    vm_id: str
    incarnation: str
    shards: tuple[ShardSnapshot, ...]


class SnapshotError(Exception):
    """A file is no whole snapshot of a known version."""


class SnapshotFolder:
    """Writes numbered snapshots into a folder and reads the newest whole one.

    Parameters
    ----------
    folder : Path
        Folder of one VM; it is made if it does not exist.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def write(self, snapshot: Snapshot) -> Path:
        """Write a snapshot durably and remove old ones; it blocks on the disk.

        Raises
        ------
        OSError
            If the disk refuses; former snapshots stay.
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
        """Return the newest whole snapshot of a VM, None without one.

        Files that are cut off, corrupted or of another VM are renamed, never
        used, and reported in the log.
        """
        if not self._folder.exists():
            return None
        for path in self._files(SUFFIX):
            try:
                snapshot = decode(path.read_bytes())
                if snapshot.vm_id != vm_id:
                    raise SnapshotError(f"it belongs to {snapshot.vm_id}")
            except (OSError, SnapshotError) as error:
                logger.warning("snapshots: set {} aside: {}", path.name, error)
                self._set_aside(path)
                continue
            return snapshot
        return None

    def _set_aside(self, path: Path) -> None:
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
        If the file is cut off, corrupted or of another version.
    """
    if len(data) < HEADER_BYTES or not data.startswith(MAGIC):
        raise SnapshotError("it has no whole header")
    version = data[len(MAGIC)]
    if version != VERSION:
        raise SnapshotError(f"it has the unknown version {version}")
    digest = data[len(MAGIC) + 1 : HEADER_BYTES]
    payload = data[HEADER_BYTES:]
    if xxhash.xxh3_128_digest(payload) != digest:
        raise SnapshotError("its digest is wrong")
    try:
        return msgspec.msgpack.decode(payload, type=Snapshot)
    except (msgspec.DecodeError, ValueError) as error:
        raise SnapshotError(str(error)) from error
