"""bench.capacity.lead_process: the cost of a lead, measured in a separate process.

The lead runs in one process and all other members in another. Both reach a platform
stand-in over HTTP, as daemons do. There is only one shard, so that the figures do
not include the cost of shards.
"""

import asyncio
import json
import subprocess
import sys
import time
from dataclasses import dataclass

import msgspec
from loguru import logger

from bench.capacity.cell import BenchCell
from greengagetack.objects.client import PlatformClient
from standins.processes import ProcessGroup

__all__ = ["LeadCost", "measure_lead", "run_lead"]

ONE_SHARD = 1
SETTLE_S = 5.0
IDLE_S = 10.0


@dataclass(frozen=True, slots=True)
class LeadCost:
    """Processor time, bytes sent and bytes received by the lead while idle."""

    members: int
    cpu_ms_per_s: float
    sent_bytes_per_s: float
    received_bytes_per_s: float


def run_lead(count: int, platform_url: str) -> None:
    """Run the lead in this process and print its cost once all members joined."""

    async def lead() -> LeadCost:
        cell = BenchCell(count, ONE_SHARD)
        platform = PlatformClient(platform_url)
        member = await cell.start_member(0, cell.settings(), platform)
        await cell.wait_until(lambda: len(member.directory.table().members) == count)
        await asyncio.sleep(SETTLE_S)
        sent, received = member.peers.sent_bytes, member.peers.received_bytes
        cpu_s, started_s = time.process_time(), time.monotonic()
        await asyncio.sleep(IDLE_S)
        elapsed_s = time.monotonic() - started_s
        cost = LeadCost(
            members=count,
            cpu_ms_per_s=1_000 * (time.process_time() - cpu_s) / elapsed_s,
            sent_bytes_per_s=(member.peers.sent_bytes - sent) / elapsed_s,
            received_bytes_per_s=(member.peers.received_bytes - received) / elapsed_s,
        )
        await cell.close()
        await platform.close()
        return cost

    print(msgspec.json.encode(asyncio.run(lead())).decode(), flush=True)


def measure_lead(count: int) -> LeadCost:
    """Run a lead in its own process, the others in this one; return its cost."""
    with ProcessGroup() as group:
        url = group.start_stand_in("platform").url
        command = [sys.executable, "-m", "bench.capacity", "lead", str(count), url]
        with subprocess.Popen(command, stdout=subprocess.PIPE) as child:
            asyncio.run(_run_other_members(count, url, child))
            assert child.stdout is not None
            return msgspec.convert(json.loads(child.stdout.read()), LeadCost)


async def _run_other_members(
    count: int, url: str, child: "subprocess.Popen[bytes]"
) -> None:
    """Run the other members in this process until the lead process ends."""
    logger.remove()
    cell = BenchCell(count, ONE_SHARD)
    platform = PlatformClient(url)
    settings = cell.settings()
    for number in range(1, count):
        await cell.start_member(number, settings, platform, may_lead=False)
    await asyncio.to_thread(child.wait)
    await cell.close()
    await platform.close()
