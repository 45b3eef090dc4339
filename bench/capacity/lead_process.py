"""bench.capacity.lead_process: what a lead alone costs, in a process of its own.

The lead is one process, all other members are another; both reach a platform
stand-in over HTTP, as daemons do. There is one shard only, so that what shards
cost stays out.
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
CALM_S = 10.0


@dataclass(frozen=True, slots=True)
class LeadCost:
    """Processor time, bytes sent and bytes received by the lead in calm."""

    members: int
    cpu_ms_per_s: float
    sent_bytes_per_s: float
    received_bytes_per_s: float


def run_lead(count: int, platform_url: str) -> None:
    """Lead a cell in this process and print what it costs once it is whole."""

    async def lead() -> LeadCost:
        cell = BenchCell(count, ONE_SHARD)
        platform = PlatformClient(platform_url)
        member = await cell.start_member(0, cell.settings(), platform)
        await cell.until(lambda: len(member.directory.table().members) == count)
        await asyncio.sleep(SETTLE_S)
        sent, received = member.peers.sent_bytes, member.peers.received_bytes
        cpu_s, started_s = time.process_time(), time.monotonic()
        await asyncio.sleep(CALM_S)
        passed_s = time.monotonic() - started_s
        cost = LeadCost(
            members=count,
            cpu_ms_per_s=1_000 * (time.process_time() - cpu_s) / passed_s,
            sent_bytes_per_s=(member.peers.sent_bytes - sent) / passed_s,
            received_bytes_per_s=(member.peers.received_bytes - received) / passed_s,
        )
        await cell.close()
        await platform.close()
        return cost

    print(msgspec.json.encode(asyncio.run(lead())).decode(), flush=True)


def measure_lead(count: int) -> LeadCost:
    """Run a lead apart from the other members and return what it cost."""
    with ProcessGroup() as group:
        url = group.start_stand_in("platform").url
        command = [sys.executable, "-m", "bench.capacity", "lead", str(count), url]
        with subprocess.Popen(command, stdout=subprocess.PIPE) as child:
            asyncio.run(_follow(count, url, child))
            assert child.stdout is not None
            return msgspec.convert(json.loads(child.stdout.read()), LeadCost)


async def _follow(count: int, url: str, child: "subprocess.Popen[bytes]") -> None:
    """Be the other members until the lead has measured itself."""
    logger.remove()
    cell = BenchCell(count, ONE_SHARD)
    platform = PlatformClient(url)
    settings = cell.settings()
    for number in range(1, count):
        await cell.start_member(number, settings, platform, leads=False)
    await asyncio.to_thread(child.wait)
    await cell.close()
    await platform.close()
