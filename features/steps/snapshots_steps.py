"""features.steps.snapshots_steps: snapshots of shard records on a disk."""

import tempfile
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from features.steps.membership_steps import run, start_cell, until
from features.steps.shards_steps import all_shards_active, drain
from greengagetack.membership.shards import Record
from greengagetack.membership.snapshots import (
    MAGIC,
    ShardSnapshot,
    Snapshot,
    SnapshotFolder,
)
from greengagetack.membership.table import ShardPair
from greengagetack.settings.schema import DataFolderSettings
from greengagetack.world import Fencing

VM_ID = "vm0"
SHARD = 0
LONG_INTERVAL_S = 3_600.0


def make_folder(context: Context) -> Path:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


def snapshot(number: int, vm_id: str = VM_ID) -> Snapshot:
    record = Record(SHARD, "call", "key", f"value-{number}".encode(), number)
    item = ShardSnapshot(ShardPair(SHARD, 1, vm_id), False, (record,))
    return Snapshot(vm_id, f"start-{number}", (item,))


@given("a snapshot folder with {count:d} snapshots")
def step_folder(context: Context, count: int) -> None:
    context.path = make_folder(context)
    context.snapshots = SnapshotFolder(context.path)
    for number in range(1, count + 1):
        context.newest = context.snapshots.write(snapshot(number))


def damage(path: Path, how: str) -> None:
    data = path.read_bytes()
    if how == "empty":
        path.write_bytes(b"")
    elif how == "cut off in the head":
        path.write_bytes(data[: len(MAGIC) + 3])
    elif how == "cut off in the body":
        path.write_bytes(data[:-5])
    elif how == "flipped in one bit":
        path.write_bytes(data[:-5] + bytes([data[-5] ^ 1]) + data[-4:])
    elif how == "of another version":
        path.write_bytes(MAGIC + b"\x63" + data[len(MAGIC) + 1 :])
    elif how == "of another VM":
        path.unlink()
        SnapshotFolder(path.parent).write(snapshot(3, "vm9"))
    elif how == "unfinished":
        path.rename(path.with_suffix(".unfinished"))
    elif how == "noise":
        path.write_bytes(bytes(range(256)) * 40)
    else:
        assert how == "whole", how


@when("the newest snapshot file is {how}")
def step_damage(context: Context, how: str) -> None:
    damage(context.newest, how)


@when("all snapshot files are {how}")
def step_damage_all(context: Context, how: str) -> None:
    for path in context.path.glob("*.snapshot"):
        damage(path, how)


@then("the snapshot read back is number {number:d}")
def step_read(context: Context, number: int) -> None:
    found = context.snapshots.read_newest(VM_ID)
    assert found is not None
    assert found == snapshot(number), found


@then("{count:d} snapshot files are rejected")
def step_aside(context: Context, count: int) -> None:
    assert len(list(context.path.glob("*.rejected"))) == count


@then("no snapshot is read back")
def step_none(context: Context) -> None:
    assert context.snapshots.read_newest(VM_ID) is None


@then("the folder has {count:d} snapshot files, the newest with number {newest:d}")
def step_kept(context: Context, count: int, newest: int) -> None:
    numbers = sorted(int(path.stem) for path in context.path.glob("*.snapshot"))
    assert len(numbers) == count, numbers
    assert numbers[-1] == newest, numbers


@given("a single VM with a data folder and active shards")
def step_single(context: Context) -> None:
    context.path = make_folder(context)
    start_cell(context, 0, 1, Fencing.CHECKED)
    context.cell.data_folder = DataFolderSettings(str(context.path), LONG_INTERVAL_S)
    start_single(context)


def start_single(context: Context) -> None:
    context.single = run(context, context.cell.start(VM_ID))
    until(context, lambda: all_shards_active(context.cell))


def put(context: Context, kind: str, value: bytes) -> None:
    shards = context.single.shards
    run(context, shards.put(SHARD, kind, "key", value, need_backup=True))


@when("the VM writes a call record, a job record and a snapshot")
def step_write(context: Context) -> None:
    put(context, "call", b"not run, may run again")
    put(context, "job", b"job")
    run(context, context.single.shards.snapshots.write())


@when("the VM changes the call record after the snapshot")
def step_change(context: Context) -> None:
    put(context, "call", b"runs")


@when("the VM {ends} and starts again")
def step_end(context: Context, ends: str) -> None:
    if ends == "drains":
        run(context, drain(context.cell, context.single))
    else:
        # A crash writes no last snapshot.
        context.single.shards.snapshots.disable()
        run(context, context.cell.crash(VM_ID))
    start_single(context)


@then("the call record is {call}, the job record is restored and the epoch is {epoch}")
def step_records(context: Context, call: str, epoch: str) -> None:
    shards = context.single.shards
    expected = b"runs" if call == "the last" else None
    assert shards.get(SHARD, "call", "key") == expected
    assert shards.get(SHARD, "job", "key") == b"job"
    assert shards.may_lack_records(SHARD) == (epoch == "not whole")


@when("a snapshot is due and cannot be written")
def step_refuse(context: Context) -> None:
    (context.path / "shards").write_text("a file in the folder's place")
    run(context, context.single.shards.snapshots.write())


@then("the shards of the VM are still active")
def step_still(context: Context) -> None:
    put(context, "call", b"runs")
    assert all_shards_active(context.cell)
