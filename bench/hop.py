"""bench.hop: what an idle daemon holds and what a hop through it costs."""

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
from bench.site import Site
from bench.workload import CALLER_TEAM
from standins.processes import ProcessGroup

__all__ = ["HopFigures", "measure_hop", "show_hop"]

CALLS = 400
STREAMS = 200
STREAM_TOKENS = 8
IDLE_S = 5.0
FAST_ENGINE = ("--time-scale=200", "--tick-s=0.002")


@dataclass(frozen=True, slots=True)
class HopFigures:
    """Resident memory in megabytes (10^6 bytes) and latencies in milliseconds.

    `cpu_share` is of one core while idle. Streams are timed to the first
    event and to their end.
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
    """Times calls at a stand-in and through a daemon in turn."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._http = aiosonic.HTTPClient()
        self._headers = {
            "Authorization": f"Bearer {site.token_of(CALLER_TEAM)}",
            "Content-Type": "application/json",
        }
        self._number = 0

    async def plain(self, url: str) -> float:
        """Return the milliseconds of a look-up."""
        started_s = time.perf_counter()
        answer = await self._http.get(url + "/status/box1", headers=self._headers)
        await answer.content()
        if answer.status_code != 200:
            raise RuntimeError(f"look-up answered {answer.status_code}")
        return 1e3 * (time.perf_counter() - started_s)

    async def stream(self, url: str) -> tuple[float, float]:
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
            raise RuntimeError(f"torn stream: {received[-200:]!r}")
        return 1e3 * first_s, 1e3 * (time.perf_counter() - started_s)


async def in_turn(
    count: int, sides: tuple[Callable[[], Awaitable[Any]], ...]
) -> list[list[Any]]:
    """Call both sides alternately; return what each gave."""
    results: list[list[Any]] = [[] for _ in sides]
    for _ in range(count):
        for side, found in zip(sides, results, strict=True):
            found.append(await side())
    return results


def middle_and_tail(values: list[float]) -> list[float]:
    """Return median and 99th percentile."""
    return [percentile(values, 0.5), percentile(values, 0.99)]


async def measure_hop() -> HopFigures:
    """Start a small deployment without added latency and measure it."""
    shape = SHAPES["kestrelmoor"]
    shape = type(shape)("hop", 3, 1, 1, 3, 0.0, 0.0)
    with ProcessGroup() as group:
        site = Site(group, shape, "affinity", engine_options=FAST_ENGINE)
        await site.start()
        children = [psutil.Process(daemon.pid) for daemon in site.daemons]
        before = [sum(child.cpu_times()[:2]) for child in children]
        await asyncio.sleep(IDLE_S)
        after = [sum(child.cpu_times()[:2]) for child in children]
        spent = [
            (late - early) / IDLE_S for early, late in zip(before, after, strict=True)
        ]
        resident = [child.memory_info().rss / 1e6 for child in children]
        prober = Prober(site)
        entry = site.entries[0]
        services = list(site.deployment.services.values())
        service, engine = services[0].url, site.engines[0].url
        plain = await in_turn(
            CALLS,
            (
                lambda: prober.plain(service),
                lambda: prober.plain(entry + "/services/booking"),
            ),
        )
        streams = await in_turn(
            STREAMS, (lambda: prober.stream(engine), lambda: prober.stream(entry))
        )
    first = [[item[0] for item in side] for side in streams]
    whole = [[item[1] for item in side] for side in streams]
    return HopFigures(
        resident,
        spent,
        *(middle_and_tail(side) for side in plain),
        *(middle_and_tail(side) for side in first),
        *(middle_and_tail(side) for side in whole),
    )


def show_hop(figures: HopFigures) -> None:
    """Print the figures, one line each."""
    for name, value in asdict(figures).items():
        print(f"{name:24} {'  '.join(f'{item:.3f}' for item in value)}", flush=True)
