"""features.steps.reading_steps: readers of jobs that share one daemon."""

import asyncio
import time
from contextlib import suppress
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from features.support.memory_objects import MemoryObjects
from greengagetack.batches import reading
from greengagetack.batches.job import Job, Result, ResultState, Segment
from greengagetack.batches.ledger import Ledger
from greengagetack.batches.log import JobLog
from greengagetack.batches.reading import JobReader

# The outputs of each job fill the cache.
OUTPUT = "x" * 1_000
CACHE_BYTES = 2_000
RESULTS_BEFORE = 3
JOB_RESULTS = 4
WAIT_S = 1.0
READS = 20
READS_AT_ONCE = 2


def _job(job_id: str) -> Job:
    return Job(
        job_id, "r", "host", "service", 0, 0.0, 0.0, 3, JOB_RESULTS, 1, 0, "model"
    )


def _segment(job_id: str, number: int) -> Segment:
    result = Result(f"{job_id}-{number}", ResultState.COMPLETED, OUTPUT, (1,))
    return Segment(number, number, (result,))


class _Dispatcher:
    """Stands for this daemon's dispatcher, which runs none of the jobs."""

    def __init__(self, is_active: bool) -> None:
        self.is_active = is_active

    def log_of(self, job_id: str) -> JobLog | None:
        return None

    def job_of(self, job_id: str) -> Job | None:
        return _job(job_id) if self.is_active else None


class _Peers:
    """Calls to the dispatcher, which waits for a segment as long as it is asked to."""

    def __init__(self, ledger: Ledger, committed: asyncio.Event) -> None:
        self._ledger = ledger
        self._committed = committed

    async def fetch_job(self, job_id: str) -> Job:
        return _job(job_id)

    async def fetch_segments(
        self, job_id: str, first: int, wait_s: float
    ) -> list[Segment]:
        found = await self._ledger.segments(job_id, first, JOB_RESULTS)
        if not found and wait_s:
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._committed.wait()
            found = await self._ledger.segments(job_id, first, JOB_RESULTS)
        return found


class _SlowLedger(Ledger):
    """A ledger whose reads of the open job's next segment take a while."""

    read_s = 0.0

    async def segments(self, job_id: str, first: int, total: int) -> list[Segment]:
        if first == RESULTS_BEFORE:
            await asyncio.sleep(self.read_s)
        return await super().segments(job_id, first, total)


@given(
    "a daemon that {role}, with room for one log, has read 3 results of open job "
    '"{job_id}"'
)
def step_daemon(context: Context, role: str, job_id: str) -> None:
    context.is_dispatcher = role == "is the dispatcher"
    context.job_id = job_id


@when(
    "a reader waits there for the next result, and the logs of {others:d} other jobs "
    "are read"
)
def step_others(context: Context, others: int) -> None:
    context.others = [f"other{number}" for number in range(others)]


@when('{reader} reads "{job_id}" from position 0')
def step_read(context: Context, reader: str, job_id: str) -> None:
    job = _job(job_id)

    async def play() -> None:
        ledger = _SlowLedger(MemoryObjects())
        committed = asyncio.Event()
        for number in range(RESULTS_BEFORE):
            await ledger.commit(job_id, _segment(job_id, number))
        for other in context.others:
            for number in range(JOB_RESULTS):
                await ledger.commit(other, _segment(other, number))
        readers = JobReader(
            ledger,
            _Dispatcher(context.is_dispatcher),  # type: ignore[arg-type]
            _Peers(ledger, committed),  # type: ignore[arg-type]
        )
        first = await readers.log(job, 0, 0.0)
        assert len(first.results) == RESULTS_BEFORE
        del first
        ledger.read_s = WAIT_S / 2
        waiting = asyncio.create_task(readers.log(job, RESULTS_BEFORE, WAIT_S))
        await asyncio.sleep(0.01)
        for other in context.others:
            await readers.log(_job(other), 0, 0.0)
        started_s = time.monotonic()
        if reader == "another daemon":
            context.found = await readers.segments(job_id, 0, 0.0)
        else:
            context.found = list((await readers.log(job, 0, 0.0)).results)
        context.took_s = time.monotonic() - started_s
        await ledger.commit(job_id, _segment(job_id, RESULTS_BEFORE))
        committed.set()
        context.awaited = len((await waiting).results)

    with patch.object(reading, "MAX_CACHED_LOG_BYTES", CACHE_BYTES):
        asyncio.run(play())


@given(
    'a dispatcher that has read {read:d} results of open job "{job_id}", of which '
    "{stored:d} are stored"
)
def step_behind(context: Context, read: int, job_id: str, stored: int) -> None:
    context.read, context.stored = read, stored


@when('another daemon reads "{job_id}" from position 0 there')
def step_read_there(context: Context, job_id: str) -> None:
    async def play() -> None:
        ledger = Ledger(MemoryObjects())
        readers = JobReader(ledger, _Dispatcher(True), None)  # type: ignore[arg-type]
        for number in range(context.read):
            await ledger.commit(job_id, _segment(job_id, number))
        first = await readers.log(_job(job_id), 0, 0.0)
        assert len(first.results) == context.read
        for number in range(context.read, context.stored):
            await ledger.commit(job_id, _segment(job_id, number))
        started_s = time.monotonic()
        context.found = await readers.segments(job_id, 0, 0.0)
        context.took_s = time.monotonic() - started_s

    asyncio.run(play())


@then("it gets {count:d} results within {limit:d} ms")
def step_found(context: Context, count: int, limit: int) -> None:
    assert len(context.found) == count, context.found
    assert context.took_s * 1_000 <= limit, context.took_s


@then("the reader that waits gets the next result once it is committed")
def step_awaited(context: Context) -> None:
    assert context.awaited == RESULTS_BEFORE + 1, context.awaited


@given("{count:d} ended jobs, of which a daemon's cache holds {held:d}")
def step_ended(context: Context, count: int, held: int) -> None:
    context.jobs = [f"job{number}" for number in range(count)]
    context.held = held


@when("{clients:d} clients read one of them each, over and over, at that daemon")
def step_many(context: Context, clients: int) -> None:
    context.most_bytes = 0
    context.short = []

    async def play() -> None:
        ledger = Ledger(MemoryObjects())
        for job_id in context.jobs:
            for number in range(JOB_RESULTS):
                await ledger.commit(job_id, _segment(job_id, number))
        readers = JobReader(ledger, _Dispatcher(True), None)  # type: ignore[arg-type]
        places = asyncio.Semaphore(READS_AT_ONCE)

        async def read_often(client: int) -> None:
            job_id = context.jobs[client % len(context.jobs)]
            for _ in range(READS):
                async with places:
                    log = await readers.log(_job(job_id), 0, 0.0)
                    if len(log.results) != JOB_RESULTS:
                        context.short.append((job_id, len(log.results)))
                    del log
                    used = readers._logs._used.values()
                    held_bytes = sum(one.size_bytes for one in used)
                    context.most_bytes = max(context.most_bytes, held_bytes)
                await asyncio.sleep(0)

        await asyncio.gather(*(read_often(client) for client in range(clients)))

    limit_bytes = context.held * JOB_RESULTS * len(OUTPUT)
    with patch.object(reading, "MAX_CACHED_LOG_BYTES", limit_bytes):
        asyncio.run(play())


@then(
    "each read gets all results, and {most:d} logs are held at most while {at_once:d} "
    "are being read"
)
def step_within(context: Context, most: int, at_once: int) -> None:
    assert at_once == READS_AT_ONCE
    assert not context.short, context.short
    assert 0 < context.most_bytes <= most * JOB_RESULTS * len(OUTPUT)
