"""features.steps.hedging_steps: slow samples and their hedges."""

import asyncio
import re
from collections.abc import AsyncGenerator

from behave import given, then, when
from behave.runner import Context

from features.support.memory_shards import MemoryShards
from greengagetack.errors import EndpointFailed
from greengagetack.keeper.messages import Chunk, Complete, Completed, EndpointLoad
from greengagetack.rollouts.hedging import HedgeLimits, SampleLatencies, may_hedge
from greengagetack.rollouts.records import StepRecords
from greengagetack.rollouts.request_ids import hedge_id, sample_of
from greengagetack.rollouts.runner import StepRunner
from greengagetack.rollouts.spec import FinishedSample, GroupSpec, StepSpec
from greengagetack.rollouts.state import StepState
from greengagetack.timer import Timer

LIMITS = HedgeLimits(0.02, 3.0)
TOKENS_PER_SAMPLE = 20
TOKEN_INTERVAL_S = 0.002
SLOW_PROMPT = "prompt 5"
RUN_TIMEOUT_S = 30.0


class TwoEndpoints:
    """Serves samples at e1, hedges at e2; e1 may hang on one prompt."""

    def __init__(self, hang_after_tokens: int | None) -> None:
        self.hang_after_tokens = hang_after_tokens
        self.cancelled: list[str] = []
        self._endpoint_ids: dict[str, str] = {}

    async def complete(
        self, request: Complete, exclude: frozenset[str] = frozenset()
    ) -> AsyncGenerator[Chunk | Completed, None]:
        """Yield one token at a time."""
        endpoint_id = "e2" if "e1" in exclude else "e1"
        self._endpoint_ids[request.request_id] = endpoint_id
        slow = endpoint_id == "e1" and request.prompt == SLOW_PROMPT
        for number in range(TOKENS_PER_SAMPLE):
            if slow and self.hang_after_tokens == number:
                await asyncio.Event().wait()
            await asyncio.sleep(TOKEN_INTERVAL_S)
            yield Chunk(number, 1, f"t{number} ", 1)
        load = EndpointLoad(endpoint_id, 0, 0, 0, 8, 1.0, 0.0, 1)
        yield Completed("stop", TOKENS_PER_SAMPLE, load)

    def endpoint_of(self, request_id: str) -> str:
        """Return the endpoint that runs a request."""
        return self._endpoint_ids.get(request_id, "")

    async def release(self, request_id: str) -> None:
        """Do nothing."""

    async def cancel(self, request_id: str) -> None:
        """Record the cancelled request."""
        self.cancelled.append(request_id)


class QueueingEndpoints(TwoEndpoints):
    """Serves samples at two endpoints with limited slots; counts all tokens."""

    def __init__(self, slots: int) -> None:
        super().__init__(None)
        self.generated_tokens = 0
        self._slots = {name: asyncio.Semaphore(slots) for name in ("e1", "e2")}

    async def complete(
        self, request: Complete, exclude: frozenset[str] = frozenset()
    ) -> AsyncGenerator[Chunk | Completed, None]:
        """Wait for a slot, then yield one token at a time."""
        endpoint_id = "e2" if "e1" in exclude else "e1"
        self._endpoint_ids[request.request_id] = endpoint_id
        async with self._slots[endpoint_id]:
            async for item in super().complete(request, exclude):
                self.generated_tokens += isinstance(item, Chunk)
                yield item


class FailingEndpoints(TwoEndpoints):
    """Lets one sample's first attempt fail at e1 and its hedge hang at e2."""

    FAILS_AFTER_S = 1.0

    def __init__(self) -> None:
        super().__init__(None)
        self.request_ids: list[tuple[str, str]] = []

    async def complete(
        self, request: Complete, exclude: frozenset[str] = frozenset()
    ) -> AsyncGenerator[Chunk | Completed, None]:
        """Fail late at e1, hang at e2, else yield one token at a time."""
        self.request_ids.append((request.prompt, request.request_id))
        if request.prompt == SLOW_PROMPT and not exclude:
            self._endpoint_ids[request.request_id] = "e1"
            await asyncio.sleep(self.FAILS_AFTER_S)
            raise EndpointFailed("the engine has crashed")
        if request.prompt == SLOW_PROMPT and "e1" in exclude:
            self._endpoint_ids[request.request_id] = "e2"
            await asyncio.Event().wait()
        async for item in super().complete(request, exclude):
            yield item


@given(
    "samples usually take {first_token_s:g} s to the first token and "
    "{per_token_s:g} s per token"
)
def step_latencies(context: Context, first_token_s: float, per_token_s: float) -> None:
    context.latencies = SampleLatencies()
    for _ in range(4):
        context.latencies.record(10, first_token_s, first_token_s + 10 * per_token_s)


@given("no samples have finished yet")
def step_no_latencies(context: Context) -> None:
    context.latencies = SampleLatencies()


@given("a step has generated {generated:d} tokens and wasted {wasted:d}")
def step_generated(context: Context, generated: int, wasted: int) -> None:
    context.generated = generated
    context.wasted = wasted


@when("an attempt has generated {tokens:d} tokens after {age:g} s")
def step_attempt(context: Context, tokens: int, age: float) -> None:
    context.hedged = may_hedge(
        tokens,
        age,
        context.latencies.typical(),
        context.wasted,
        context.generated,
        LIMITS,
    )


@then("it is hedged: {hedged}")
def step_hedged(context: Context, hedged: str) -> None:
    assert context.hedged is (hedged == "yes")


def make_step(groups: int) -> StepSpec:
    """Return a step of groups that have one sample each."""
    return StepSpec(
        team="kestrel",
        job="notes",
        step=1,
        model="summary",
        trainer_version=1,
        max_staleness_versions=1,
        groups=tuple(GroupSpec(number, f"prompt {number}") for number in range(groups)),
        samples_per_group=1,
        max_tokens=TOKENS_PER_SAMPLE,
    )


@given(
    "a step of {groups:d} groups of 1 samples and endpoints with {slots:d} slots each"
)
def step_queueing(context: Context, groups: int, slots: int) -> None:
    context.spec = make_step(groups)
    context.endpoints = QueueingEndpoints(slots)


@then(
    "hedging wasted at most {percent:d} percent of its tokens plus {samples:d} sample"
)
def step_wasted_by_hedging(context: Context, percent: int, samples: int) -> None:
    wanted = TOKENS_PER_SAMPLE * len(context.spec.groups)
    wasted = context.endpoints.generated_tokens - wanted
    assert wasted <= wanted * percent / 100 + samples * TOKENS_PER_SAMPLE, wasted


@given("a step of {groups:d} groups of 1 samples and an endpoint that {fault}")
def step_endpoint(context: Context, groups: int, fault: str) -> None:
    found = re.search(r"after (\d+) tokens", fault)
    hang_after_tokens = int(found.group(1)) if found else 0
    context.endpoints = TwoEndpoints(None if fault == "works" else hang_after_tokens)
    context.spec = make_step(groups)


@given(
    "a step of {groups:d} groups of 1 samples, and endpoints of which one fails and "
    "one hangs"
)
def step_failing(context: Context, groups: int) -> None:
    context.endpoints = FailingEndpoints()
    context.spec = make_step(groups)


@then("all requests of a sample name it, among them a hedge of a hedge")
def step_named(context: Context) -> None:
    sent = context.endpoints.request_ids
    samples = {sample_of(request_id) for _, request_id in sent}
    assert len(samples) == len(context.spec.groups), samples
    slow_ids = [request_id for prompt, request_id in sent if prompt == SLOW_PROMPT]
    first_id = slow_ids[0]
    assert slow_ids == [first_id, hedge_id(first_id), hedge_id(hedge_id(first_id))]
    assert {sample_of(request_id) for request_id in slow_ids} == {first_id}


async def _no_scores(
    spec: StepSpec, samples: tuple[FinishedSample, ...]
) -> dict[int, float]:
    return {}


@when("the step runs")
def step_run(context: Context) -> None:
    async def run() -> StepState:
        state = StepState(context.spec)
        runner = StepRunner(
            state,
            StepRecords(MemoryShards()),
            context.endpoints,
            _no_scores,
            lambda: 100,
            Timer(1),
            lambda: RUN_TIMEOUT_S,
            LIMITS,
        )
        runner.start()
        async with asyncio.timeout(RUN_TIMEOUT_S):
            while not state.complete:
                await runner.wait_for_change(1.0)
        await runner.stop(cancel_requests=False)
        return state

    context.state = asyncio.run(run())


@then("each sample is finished once and at most {wasted:d} tokens are wasted")
def step_finished(context: Context, wasted: int) -> None:
    state = context.state
    assert state.finished_samples == len(context.spec.groups)
    assert state.wasted_tokens <= wasted, state.wasted_tokens
    assert state.tokens == TOKENS_PER_SAMPLE * len(context.spec.groups)


@then("{count:d} slow attempts were cancelled")
def step_cancelled(context: Context, count: int) -> None:
    assert len(context.endpoints.cancelled) == count, context.endpoints.cancelled
