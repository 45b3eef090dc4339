"""bench.capacity.cell_cost: the cost of membership, leases and shards by size."""

import asyncio
import gc
import os
import statistics
import time
from dataclasses import dataclass
from pathlib import Path

from bench.capacity.cell import BenchCell
from greengagetack.membership.stored import table_path

__all__ = ["IdleCost", "LossCost", "measure_idle", "measure_lead_loss", "resident_kb"]

SETTLE_S = 2.0
IDLE_S = 10.0


@dataclass(frozen=True, slots=True)
class IdleCost:
    """The cost of a converged cell without load or membership changes.

    Bytes are those sent on peer links, counted at the sender.
    """

    members: int
    shards: int
    table_bytes: int
    lead_sent_bytes_per_s: float
    member_sent_bytes_per_s: float
    cpu_ms_per_s: float
    platform_reads_per_s: float
    platform_writes_per_s: float
    resident_kb: float


@dataclass(frozen=True, slots=True)
class LossCost:
    """The cost of losing the lead: time and platform calls until convergence."""

    members: int
    new_lead_s: float
    whole_s: float
    platform_reads: int
    platform_writes: int


def resident_kb() -> float:
    """Return the resident memory of this process in KB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1024


async def _measure_idle(cell: BenchCell, before_kb: float) -> IdleCost:
    await asyncio.sleep(SETTLE_S)
    lead = cell.lead()
    assert lead is not None
    sent = cell.sent_bytes()
    reads, writes = cell.platform.reads, cell.platform.writes
    cpu_s, started_s = time.process_time(), time.monotonic()
    await asyncio.sleep(IDLE_S)
    elapsed_s = time.monotonic() - started_s
    cpu_s = time.process_time() - cpu_s
    rates = {
        name: (now - sent[name]) / elapsed_s for name, now in cell.sent_bytes().items()
    }
    others = [rate for name, rate in rates.items() if name != lead.vm_id]
    gc.collect()
    return IdleCost(
        members=cell.count,
        shards=cell.shards,
        table_bytes=cell.platform.value_bytes(table_path("c")),
        lead_sent_bytes_per_s=rates[lead.vm_id],
        member_sent_bytes_per_s=statistics.fmean(others),
        cpu_ms_per_s=1_000 * cpu_s / elapsed_s,
        platform_reads_per_s=(cell.platform.reads - reads) / elapsed_s,
        platform_writes_per_s=(cell.platform.writes - writes) / elapsed_s,
        resident_kb=resident_kb() - before_kb,
    )


def measure_idle(count: int, shards: int = 16) -> IdleCost:
    """Start a cell, let it settle and measure it while idle."""

    async def measure() -> IdleCost:
        gc.collect()
        before_kb = resident_kb()
        cell = BenchCell(count, shards)
        await cell.start()
        try:
            return await _measure_idle(cell, before_kb)
        finally:
            await cell.close()

    return asyncio.run(measure())


def measure_lead_loss(count: int) -> LossCost:
    """Start a cell, end its lead without notice and wait for convergence."""

    async def measure() -> LossCost:
        cell = BenchCell(count)
        await cell.start()
        try:
            await asyncio.sleep(SETTLE_S)
            return await _lose_lead(cell)
        finally:
            await cell.close()

    return asyncio.run(measure())


async def _lose_lead(cell: BenchCell) -> LossCost:
    lead = cell.lead()
    assert lead is not None
    reads, writes = cell.platform.reads, cell.platform.writes
    started_s = time.monotonic()
    del cell.members[lead.vm_id]
    await lead.stop()
    await cell.wait_until(lambda: cell.lead() is not None)
    new_lead_s = time.monotonic() - started_s
    await cell.wait_until(cell.has_converged)
    return LossCost(
        members=cell.count,
        new_lead_s=new_lead_s,
        whole_s=time.monotonic() - started_s,
        platform_reads=cell.platform.reads - reads,
        platform_writes=cell.platform.writes - writes,
    )
