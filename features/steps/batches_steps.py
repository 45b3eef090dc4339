"""features.steps.batches_steps: batch jobs on an in-memory ledger."""

import asyncio
import dataclasses
import time

from behave import given, then, when
from behave.runner import Context

from features.support.memory_objects import MemoryObjects
from features.support.virtual_time import run_in_virtual_time
from greengagetack.batches.job import Item, Job, Result, ResultState, Segment
from greengagetack.batches.job_run import JobRun
from greengagetack.batches.ledger import Ledger
from greengagetack.batches.log import JobLog, LogCache
from greengagetack.batches.progress import ItemProgress
from greengagetack.batches.prompts import PromptTracker
from greengagetack.batches.reading import JobReader
from greengagetack.batches.resubmitted import ResubmittedGroups
from greengagetack.errors import PlatformUnavailable
from greengagetack.objects.base import PlatformObject, WatchAnswer
from greengagetack.objects.feed import Feed
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import Replica, ReplicaState
from greengagetack.world import Address

GROUP_SIZE = 2
OBSERVED_S = 3.0
OBSERVATION_S = 0.01


def _items(groups: str) -> tuple[Item, ...]:
    return tuple(
        Item(f"{group}-{number}", "/", (), b"", 10, group)
        for group in groups.split(",")
        for number in range(GROUP_SIZE)
    )


def _job(job_id: str, step: int, total: int, route: str) -> Job:
    return Job(
        job_id, route, "host", "service", 0, 0.0, 0.0, 3, total, 0, step, "model"
    )


@given('jobs {earlier} of trainer "{route}" in the ledger, read by {runner}')
def step_earlier(context: Context, earlier: str, route: str, runner: str) -> None:
    context.store = MemoryObjects()
    context.ledger = Ledger(context.store)
    context.resubmitted = ResubmittedGroups(context.ledger)
    context.jobs = []
    context.route = route

    async def store_jobs() -> None:
        for text in earlier.split():
            name, _, rest = text.partition("=")
            step, _, groups = rest.partition(":")
            other, _, job_id = name.rpartition("@")
            items = _items(groups)
            job = _job(job_id, int(step), len(items), other or route)
            accepted = await context.ledger.accept(job, items, 1.0)
            assert accepted is not None
            context.jobs.append(accepted)
            if runner == "the same daemon":
                await context.resubmitted.find(accepted, items, ())

    asyncio.run(store_jobs())


@given("the ledger's store is unavailable")
def step_store_unavailable(context: Context) -> None:
    context.store.is_away = True


@when('job "{job_id}" of step {step:d} with groups {groups} is opened')
def step_open(context: Context, job_id: str, step: int, groups: str) -> None:
    items = _items(groups)
    job = _job(job_id, step, len(items), context.route)
    context.found = asyncio.run(context.resubmitted.find(job, items, context.jobs))


@then("its required groups are {carried}")
def step_required_groups(context: Context, carried: str) -> None:
    expected = set() if carried == "none" else set(carried.split(","))
    assert context.found == expected, context.found


@given('a ledger with {others:d} other jobs and job "j1", each with {count:d} segments')
def step_segments(context: Context, others: int, count: int) -> None:
    context.store = MemoryObjects()
    context.ledger = Ledger(context.store)

    async def commit_all() -> None:
        for job_id in ["j1", *(f"j1{number}" for number in range(others))]:
            for number in range(count):
                await context.ledger.commit(job_id, Segment(number, number, ()))

    asyncio.run(commit_all())


@when('the segments of "j1" are read from number {first:d}')
def step_read_segments(context: Context, first: int) -> None:
    context.store.reads.clear()
    context.store.immutable_reads.clear()
    context.segments = asyncio.run(context.ledger.segments("j1", first))


@then("segments {found} are returned, and at most {reads:d} objects are read")
def step_segments_found(context: Context, found: str, reads: int) -> None:
    numbers = [segment.number for segment in context.segments]
    first, _, last = found.partition("-")
    expected = [] if found == "none" else list(range(int(first), int(last) + 1))
    assert numbers == expected, numbers
    assert len(context.store.reads) <= reads, context.store.reads
    assert len(context.store.immutable_reads) <= reads, context.store.immutable_reads


def _result(number: int) -> Result:
    return Result(f"i-{number}", ResultState.COMPLETED, "output", (1,))


@given('an open job "j1" of 4 items, {listed:d} committed and {finished:d} finished')
def step_open_job(context: Context, listed: int, finished: int) -> None:
    context.store = MemoryObjects()
    context.ledger = Ledger(context.store)
    items = tuple(Item(f"i-{n}", "/", (), b"", 10, "g") for n in range(4))
    log = JobLog()
    segment = Segment(0, 0, tuple(_result(number) for number in range(listed)))
    asyncio.run(context.ledger.commit("j1", segment))
    log.append_segment(segment)
    job = _job("j1", 0, len(items), "r")
    context.run = JobRun(
        job,
        items,
        log,
        context.ledger,
        Metrics(),
        lambda item, _: ItemProgress(item),
        lambda: 1,
    )
    for number in range(listed, listed + finished):
        context.run.add_result(_result(number))
    context.first_finished = listed


@given("a run of a job with items in groups {groups}, due in {due:g} s")
def step_run(context: Context, groups: str, due: float) -> None:
    names = ["" if name == "-" else name for name in groups.split(",")]
    items = tuple(
        Item(f"i-{number}", "/", (), b"", 10, name) for number, name in enumerate(names)
    )

    def make_run() -> JobRun:
        job = dataclasses.replace(
            _job("j1", 0, len(items), "r"),
            submitted_ms=int(time.time() * 1000),
            due_after_ms=due * 1000,
        )
        return JobRun(
            job,
            items,
            JobLog(),
            Ledger(MemoryObjects()),
            Metrics(),
            lambda item, _: ItemProgress(item),
            lambda: 1,
        )

    context.make_run = make_run


@given("its trainer waits for {wanted:d} groups, among them {required}")
def step_wanted(context: Context, wanted: int, required: str) -> None:
    make_run = context.make_run

    def make_wanted_run() -> JobRun:
        run = make_run()
        run.job = dataclasses.replace(run.job, wanted_groups=wanted)
        run.required_groups = set() if required == "none" else {required}
        return run

    context.make_run = make_wanted_run


@when("its items finish at {finished}")
def step_finish(context: Context, finished: str) -> None:
    async def run_job() -> list[float]:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        run = context.make_run()
        committing = asyncio.create_task(run.run())
        for text in finished.split():
            number, _, at_s = text.partition("@")
            loop.call_at(began_s + float(at_s), run.add_result, _result(int(number)))
        commits: list[float] = []
        while loop.time() < began_s + OBSERVED_S:
            await asyncio.sleep(OBSERVATION_S)
            if run.log.next_segment > len(commits):
                commits.append(round(loop.time() - began_s, 1))
        committing.cancel()
        return commits

    context.commits = run_in_virtual_time(run_job())


@then("its results are committed at {commits}")
def step_commits(context: Context, commits: str) -> None:
    expected = [float(text) for text in commits.split(",")]
    assert context.commits == expected, context.commits


@given("another daemon has committed {count:d} of the finished items")
def step_committed_elsewhere(context: Context, count: int) -> None:
    if not count:
        return
    first = context.first_finished
    results = tuple(_result(number) for number in range(first, first + count))
    asyncio.run(context.ledger.commit("j1", Segment(1, first, results)))


@when("the job is sealed while the store {state}")
def step_seal(context: Context, state: str) -> None:
    context.store.refusals_left = {
        "answers": 0,
        "is away for a while": 3,
        "is away": 1_000,
    }[state]
    asyncio.run(context.run.seal())


@then(
    "its log has {results:d} results, {completed:d} of them completed, and final is "
    "{final}"
)
def step_sealed(context: Context, results: int, completed: int, final: str) -> None:
    log = context.run.log
    assert len(log.results) == results, log.results
    assert len({result.item_id for result in log.results}) == results
    states = [result.state for result in log.results]
    assert states.count(ResultState.COMPLETED) == completed, states
    assert (results == context.run.job.total) == (final == "yes")


@when('logs of sizes {sizes} are cached within 100 bytes and "a" is used after each')
def step_logs(context: Context, sizes: str) -> None:
    cache = LogCache(100)
    for text in sizes.split():
        name, _, size = text.partition(":")
        log = JobLog()
        output = Result("i", ResultState.COMPLETED, "x" * int(size), (1,))
        log.append_segment(Segment(0, 0, (output,)))
        cache.put(name, log)
        cache.get("a")
    context.cache = cache


@then("the cached logs are {kept}")
def step_cached_logs(context: Context, kept: str) -> None:
    found = [name for name in "abc" if context.cache.get(name) is not None]
    assert ",".join(found) == kept, found


class _StoreWithoutChanges:
    """Lists one more object at each call; its watches never return a change."""

    def __init__(self) -> None:
        self.lists = 0

    async def list(self, prefix: str) -> WatchAnswer:
        self.lists += 1
        found = [
            PlatformObject(f"{prefix}{number}", number, "", {})
            for number in range(1, self.lists + 1)
        ]
        return WatchAnswer(self.lists, tuple(found))

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        await asyncio.sleep(timeout_s)
        return WatchAnswer(after, ())


@given("a feed on a store whose watches return no changes")
def step_feed_without_changes(context: Context) -> None:
    store = _StoreWithoutChanges()
    context.feed = Feed(lambda: store, "claims/", lambda: 3_600.0)


@when("an object is written and the feed is refreshed")
def step_refresh(context: Context) -> None:
    async def refreshed() -> None:
        task = asyncio.create_task(context.feed.run())
        await context.feed.synced.wait()
        await asyncio.sleep(0)
        changed = asyncio.Event()
        context.feed.subscribe(lambda objects, gone: changed.set())
        context.feed.refresh()
        async with asyncio.timeout(20):
            await changed.wait()
        task.cancel()
        done, _ = await asyncio.wait({task}, timeout=20)
        context.is_ended = bool(done)

    asyncio.run(refreshed())


@then("the feed has the object before its watch ends")
def step_refreshed(context: Context) -> None:
    assert set(context.feed.objects) == {"claims/1", "claims/2"}


@then("the feed ends when it is cancelled")
def step_feed_ended(context: Context) -> None:
    assert context.is_ended


def _replica(started_ms: int) -> Replica:
    return Replica(
        "a", "service", Address("10.0.0.1", 80), "zone", 4, False, (), started_ms
    )


@given('a fleet with replica "a" of incarnation 1 and a recorded prompt')
def step_fleet(context: Context) -> None:
    context.fleet = Fleet(lambda: float("-inf"))
    context.fleet.update([_replica(1)], [])
    context.prompts = PromptTracker()
    context.prompts.record("a", "g", 1)
    context.gone = []
    context.fleet.subscribe_removals(
        lambda replica: context.gone.append(replica.started_ms)
    )
    context.fleet.subscribe_removals(
        lambda replica: context.prompts.forget(replica.replica_id)
    )


@when("the fleet is updated: {update}")
def step_fleet_update(context: Context, update: str) -> None:
    changes: dict[str, tuple[list[Replica], list[str]]] = {
        "a is removed": ([], ["a"]),
        "a is listed again": ([_replica(1)], []),
        "a starts again": ([_replica(2)], []),
        "b is removed": ([], ["b"]),
    }
    context.fleet.update(*changes[update])


@then("the removed incarnations are {gone}, and its prompt is recorded: {known}")
def step_gone(context: Context, gone: str, known: str) -> None:
    expected = [] if gone == "none" else [int(gone)]
    assert context.gone == expected, context.gone
    assert context.prompts.has_prompt("a", "g", 1) == (known == "yes")


@when("items of {count:d} groups have been sent to a replica")
def step_many_groups(context: Context, count: int) -> None:
    context.prompts = PromptTracker()
    for number in range(count):
        context.prompts.record("a", f"g{number}", 1)
    context.last_group = f"g{count - 1}"


@then("the prompt of the first group is no longer recorded and that of the last is")
def step_bounded(context: Context) -> None:
    assert not context.prompts.has_prompt("a", "g0", 1)
    assert context.prompts.has_prompt("a", context.last_group, 1)


@given("a replica that lists version {listed:d}, assumed to have version {assumed:d}")
def step_assumed(context: Context, listed: int, assumed: int) -> None:
    replica = dataclasses.replace(_replica(1), model_versions=(("model", listed),))
    context.state = ReplicaState(replica)
    context.state.record_version("model", assumed)


@when("it responds with version {version:d}")
def step_answered(context: Context, version: int) -> None:
    context.state.override_version("model", version)


@then("it is assumed to have version {version:d}")
def step_now_assumed(context: Context, version: int) -> None:
    assert context.state.version_of("model") == version


@given(
    "an item with events of versions {made}, minimum version {oldest:d}, "
    "single version {single}"
)
def step_item_versions(context: Context, made: str, oldest: int, single: str) -> None:
    versions = [] if made == "none" else [int(made)]
    item = Item("i", "/", (), b"", 0, "g")
    context.progress = ItemProgress(item, ["x"] * len(versions), versions)
    context.bounds = (oldest, single == "yes")


@then("version {version:d} may continue it: {admitted}")
def step_admitted(context: Context, version: int, admitted: str) -> None:
    found = context.progress.allows_version(version, *context.bounds)
    assert found == (admitted == "yes")


@given("a feed on an in-memory store that pauses {pause:g} s after a change")
def step_pausing_feed(context: Context, pause: float) -> None:
    context.store = MemoryObjects()
    context.feed = Feed(lambda: context.store, "members/", lambda: 20.0, lambda: pause)


@when("{count:d} objects are written in sequence")
def step_write_series(context: Context, count: int) -> None:
    async def write_all() -> None:
        task = asyncio.create_task(context.feed.run())
        await context.feed.synced.wait()
        is_complete = asyncio.Event()

        def check_complete(changed: object, gone: object) -> None:
            if len(context.feed.objects) == count:
                is_complete.set()

        context.feed.subscribe(check_complete)
        for number in range(count):
            await context.store.write(f"members/{number}", {}, 0)
            for _ in range(5):
                await asyncio.sleep(0)
        async with asyncio.timeout(20):
            await is_complete.wait()
        task.cancel()

    asyncio.run(write_all())


@then("the feed has all of them after at most {watches:d} watch requests")
def step_watches(context: Context, watches: int) -> None:
    assert context.store.watches <= watches, context.store.watches


class _RunsOneJob:
    """Stands for the dispatcher that runs one job."""

    is_active = True

    def __init__(self, run: JobRun) -> None:
        self._run = run

    def log_of(self, job_id: str) -> JobLog:
        return self._run.log

    async def refresh_log(self, job_id: str) -> None:
        if self._run.may_be_behind():
            await self._run.refresh()


@given("the finished item is committed by {committer}")
def step_committer(context: Context, committer: str) -> None:
    context.committer = committer


async def _read_position(context: Context, age_s: float) -> list[Result]:
    """Read position 1 after the commit that the context names; then end all tasks."""
    task = None
    if context.committer.startswith("the run"):
        context.store.is_silent_after_writes = True
        task = asyncio.create_task(context.run.run())
    elif context.committer.startswith("a former"):
        context.run.rival_until_s = float("inf")
        await context.ledger.commit("j1", Segment(1, 1, (_result(1),)))
    await asyncio.sleep(age_s)
    reader = JobReader(context.ledger, _RunsOneJob(context.run), None)
    try:
        log = await reader.log(context.run.job, 1, 0.0)
        return list(log.results)
    finally:
        if task is not None:
            task.cancel()


@when('position 1 of "j1" is read where the job runs, after {age:d} ms')
def step_read_position(context: Context, age: int) -> None:
    context.results = asyncio.run(_read_position(context, age / 1000 + 0.5))


@then("{count:d} results are returned")
def step_returned(context: Context, count: int) -> None:
    assert len(context.results) == count, context.results


@then("the job is completed with each item listed once")
def step_each_once(context: Context) -> None:
    context.store.is_silent_after_writes = False
    asyncio.run(context.run.seal())
    listed = [result.item_id for result in context.run.log.results]
    assert sorted(listed) == [f"i-{n}" for n in range(4)], listed


@then('reading position 1 of "j1" fails while the store is away')
def step_read_fails(context: Context) -> None:
    async def read() -> None:
        task = asyncio.create_task(_read_position(context, 0.9))
        await asyncio.sleep(0.6)
        context.store.is_away = True
        await task

    try:
        asyncio.run(read())
    except PlatformUnavailable:
        return
    raise AssertionError("an empty page was served")


@given("its oldest version is {version:d}")
def step_oldest(context: Context, version: int) -> None:
    context.run.job = dataclasses.replace(context.run.job, min_version=version)


@when("an earlier job completes item 2 with version {version:d}, running {running:w}")
def step_earlier_completes(context: Context, version: int, running: str) -> None:
    progress = context.run.unfinished["i-2"]
    progress.outputs, progress.versions = ["x"], [version]
    progress.is_complete = True
    progress.is_running = running == "yes"
    context.progress = progress
    context.run.collect_finished()


@then("item 2 is {state}")
def step_item_2(context: Context, state: str) -> None:
    expected = {
        "finished": (False, True),
        "generated from its start": (True, False),
        "left to its run": (True, True),
    }[state]
    is_open = "i-2" in context.run.unfinished
    assert (is_open, context.progress.is_complete) == expected


@given(
    "a store with {count:d} segments of 2 results, the last {new:d} newer than its "
    "copies"
)
def step_segments(context: Context, count: int, new: int) -> None:
    context.objects = MemoryObjects()
    ledger = Ledger(context.objects)

    async def commit_all() -> None:
        for number in range(count):
            results = (_result(2 * number), _result(2 * number + 1))
            await ledger.commit("j1", Segment(number, 2 * number, results))

    asyncio.run(commit_all())
    context.objects.lag = new


@when("the segments of the job of {total:d} results are read from number {first:d} on")
def step_read_segments(context: Context, total: int, first: int) -> None:
    context.objects.reads.clear()
    ledger = Ledger(context.objects)
    context.segments = asyncio.run(ledger.segments("j1", first, total))
    assert [s.number for s in context.segments] == list(
        range(first, first + len(context.segments))
    )


@then("{found:d} segments are found, with {charged:d} charged reads")
def step_charged(context: Context, found: int, charged: int) -> None:
    assert len(context.segments) == found, context.segments
    assert len(context.objects.reads) == charged, context.objects.reads
