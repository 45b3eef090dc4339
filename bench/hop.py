"""bench.hop: measures the cost of an idle daemon and of a hop through a daemon."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from typing import Any

import aiosonic
import psutil

from bench.deployment import MODEL
from bench.figures import percentile
from bench.shapes import SHAPES
from bench.testbed import Testbed
from bench.workload import CALLER_TEAM
from standins.processes import ProcessGroup

__all__ = ["HopFigures", "measure_hop", "print_hop"]

CALLS = 400
STREAMS = 200
STREAM_TOKENS = 8
IDLE_S = 5.0
FAST_ENGINE = ("--time-scale=200", "--tick-s=0.002")


@dataclass(frozen=True, slots=True)
class HopFigures:
    """Resident memory in megabytes (10^6 bytes) and latencies in milliseconds.

    `cpu_share` is the share of one core that a daemon uses while idle. Streams are
    timed to the first event and to their end. Latencies are given as median and
    99th percentile.
    """

    resident_megabytes: list[float]
    cpu_share: list[float]
    plain_direct_ms: list[float]
    plain_hop_ms: list[float]
    first_event_direct_ms: list[float]
    first_event_hop_ms: list[float]
    stream_direct_ms: list[float]
    stream_hop_ms: list[float]


class Prober:
    """Times single calls to a stand-in or through a daemon."""

    def __init__(self, testbed: Testbed) -> None:
        self._testbed = testbed
        self._http = aiosonic.HTTPClient()
        self._headers = {
            "Authorization": f"Bearer {testbed.token_of(CALLER_TEAM)}",
            "Content-Type": "application/json",
        }
        self._number = 0

    async def time_lookup(self, url: str) -> float:
        """Return the milliseconds of a look-up."""
        started_s = time.perf_counter()
        answer = await self._http.get(url + "/status/box1", headers=self._headers)
        await answer.content()
        if answer.status_code != 200:
            raise RuntimeError(f"look-up failed with status {answer.status_code}")
        return 1e3 * (time.perf_counter() - started_s)

    async def time_stream(self, url: str) -> tuple[float, float]:
        """Return the milliseconds to the first event and to the end."""
        self._number += 1
        body = {
            "model": MODEL,
            "prompt": f"hop{self._number} [len={STREAM_TOKENS}]",
            "max_tokens": STREAM_TOKENS,
            "stream": True,
        }
        started_s = time.perf_counter()
        answer = await self._http.post(
            url + "/v1/completions", headers=self._headers, data=json.dumps(body)
        )
        first_s = 0.0
        received = b""
        async for chunk in answer.read_chunks():
            first_s = first_s or time.perf_counter() - started_s
            received += chunk
        if b"[DONE]" not in received:
            raise RuntimeError(f"stream without end marker: {received[-200:]!r}")
        return 1e3 * first_s, 1e3 * (time.perf_counter() - started_s)


async def call_alternately(
    count: int, sides: tuple[Callable[[], Awaitable[Any]], ...]
) -> list[list[Any]]:
    """Call the sides alternately; return the results of each side."""
    results: list[list[Any]] = [[] for _ in sides]
    for _ in range(count):
        for side, side_results in zip(sides, results, strict=True):
            side_results.append(await side())
    return results


def median_and_p99(values: list[float]) -> list[float]:
    """Return the median and the 99th percentile."""
    return [percentile(values, 0.5), percentile(values, 0.99)]


async def measure_hop() -> HopFigures:
    """Start a small deployment without added latency and measure it."""
    shape = SHAPES["kestrelmoor"]
    shape = type(shape)("hop", 3, 1, 1, 3, 0.0, 0.0)
    with ProcessGroup() as group:
        testbed = Testbed(group, shape, "affinity", engine_options=FAST_ENGINE)
        await testbed.start()
        children = [psutil.Process(daemon.pid) for daemon in testbed.daemons]
        before = [sum(child.cpu_times()[:2]) for child in children]
        await asyncio.sleep(IDLE_S)
        after = [sum(child.cpu_times()[:2]) for child in children]
        cpu_shares = [
            (late - early) / IDLE_S for early, late in zip(before, after, strict=True)
        ]
        resident = [child.memory_info().rss / 1e6 for child in children]
        prober = Prober(testbed)
        entry = testbed.entries[0]
        services = list(testbed.deployment.services.values())
        service, engine = services[0].url, testbed.engines[0].url
        plain = await call_alternately(
            CALLS,
            (
                lambda: prober.time_lookup(service),
                lambda: prober.time_lookup(entry + "/services/booking"),
            ),
        )
        streams = await call_alternately(
            STREAMS,
            (lambda: prober.time_stream(engine), lambda: prober.time_stream(entry)),
        )
    first = [[item[0] for item in side] for side in streams]
    whole = [[item[1] for item in side] for side in streams]
    return HopFigures(
        resident,
        cpu_shares,
        *(median_and_p99(side) for side in plain),
        *(median_and_p99(side) for side in first),
        *(median_and_p99(side) for side in whole),
    )


def print_hop(figures: HopFigures) -> None:
    """Print one line for each figure."""
    for name, value in asdict(figures).items():
        print(f"{name:24} {'  '.join(f'{item:.3f}' for item in value)}", flush=True)
