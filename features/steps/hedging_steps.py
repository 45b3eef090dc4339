"""features.steps.hedging_steps: slow samples and their second attempts."""

import asyncio
import re
from collections.abc import AsyncGenerator

from behave import given, then, when
from behave.runner import Context

from features.support.memory_shards import MemoryShards
from greengagetack.keeper.messages import Chunk, Complete, Completed, EndpointLoad
from greengagetack.rollouts.hedging import HedgeLimits, SampleLatencies, may_hedge
from greengagetack.rollouts.records import StepRecords
from greengagetack.rollouts.runner import StepRunner
from greengagetack.rollouts.spec import FinishedSample, GroupSpec, StepSpec
from greengagetack.rollouts.state import StepState
from greengagetack.timer import Timer

LIMITS = HedgeLimits(0.02, 3.0)
TOKENS = 20
TOKEN_S = 0.002
SLOW_PROMPT = "prompt 5"
RUN_LIMIT_S = 30.0


class TwoEndpoints:
    """Serves every sample at e1 but for one slow prompt; hedges go to e2."""

    def __init__(self, hang_after: int | None) -> None:
        self.hang_after = hang_after
        self.cancelled: list[str] = []
        self._at: dict[str, str] = {}

    async def complete(
        self, request: Complete, exclude: frozenset[str] = frozenset()
    ) -> AsyncGenerator[Chunk | Completed, None]:
        """Yield a token at a time."""
        endpoint_id = "e2" if "e1" in exclude else "e1"
        self._at[request.request_id] = endpoint_id
        slow = endpoint_id == "e1" and request.prompt == SLOW_PROMPT
        for number in range(TOKENS):
            if slow and self.hang_after == number:
                await asyncio.Event().wait()
            await asyncio.sleep(TOKEN_S)
            yield Chunk(number, 1, f"t{number} ", 1)
        load = EndpointLoad(endpoint_id, 0, 0, 0, 8, 1.0, 0.0, 1)
        yield Completed("stop", TOKENS, load)

    def endpoint_of(self, request_id: str) -> str:
        """Return where a request is."""
        return self._at.get(request_id, "")

    async def release(self, request_id: str) -> None:
        """Do nothing."""

    async def cancel(self, request_id: str) -> None:
        """Take note."""
        self.cancelled.append(request_id)


class QueueingEndpoints(TwoEndpoints):
    """Serves samples at two endpoints with few slots; counts all tokens."""

    def __init__(self, slots: int) -> None:
        super().__init__(None)
        self.tokens_made = 0
        self._slots = {name: asyncio.Semaphore(slots) for name in ("e1", "e2")}

    async def complete(
        self, request: Complete, exclude: frozenset[str] = frozenset()
    ) -> AsyncGenerator[Chunk | Completed, None]:
        """Wait for a slot, then yield a token at a time."""
        endpoint_id = "e2" if "e1" in exclude else "e1"
        self._at[request.request_id] = endpoint_id
        async with self._slots[endpoint_id]:
            async for item in super().complete(request, exclude):
                self.tokens_made += isinstance(item, Chunk)
                yield item


@given("samples usually take {wait:g} s to the first token and {pace:g} s per token")
def step_pace(context: Context, wait: float, pace: float) -> None:
    context.paces = SampleLatencies()
    for _ in range(4):
        context.paces.record(10, wait, wait + 10 * pace)


@given("samples have not been seen yet")
def step_no_pace(context: Context) -> None:
    context.paces = SampleLatencies()


@given("a step has made {made:d} tokens and wasted {wasted:d}")
def step_made(context: Context, made: int, wasted: int) -> None:
    context.made = made
    context.wasted = wasted


@when("an attempt has made {tokens:d} tokens after {age:g} s")
def step_attempt(context: Context, tokens: int, age: float) -> None:
    context.hedged = may_hedge(
        tokens, age, context.paces.typical(), context.wasted, context.made, LIMITS
    )


@then("it is hedged: {hedged}")
def step_hedged(context: Context, hedged: str) -> None:
    assert context.hedged is (hedged == "yes")


def step_of(groups: int) -> StepSpec:
    """Return a step of groups with one sample each."""
    return StepSpec(
        team="kestrel",
        job="notes",
        step=1,
        model="summary",
        trainer_version=1,
        max_staleness_versions=1,
        groups=tuple(GroupSpec(number, f"prompt {number}") for number in range(groups)),
        samples_per_group=1,
        max_tokens=TOKENS,
    )


@given(
    "a step of {groups:d} groups of 1 samples and endpoints with {slots:d} slots each"
)
def step_queueing(context: Context, groups: int, slots: int) -> None:
    context.spec = step_of(groups)
    context.endpoints = QueueingEndpoints(slots)


@then(
    "at most {percent:d} percent and {samples:d} sample of its tokens were made in vain"
)
def step_in_vain(context: Context, percent: int, samples: int) -> None:
    wanted = TOKENS * len(context.spec.groups)
    in_vain = context.endpoints.tokens_made - wanted
    assert in_vain <= wanted * percent / 100 + samples * TOKENS, in_vain


@given("a step of {groups:d} groups of 1 samples and an endpoint that {fault}")
def step_endpoint(context: Context, groups: int, fault: str) -> None:
    found = re.search(r"after (\d+) tokens", fault)
    hang_after = int(found.group(1)) if found else 0
    context.endpoints = TwoEndpoints(None if fault == "works" else hang_after)
    context.spec = step_of(groups)


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
            lambda: RUN_LIMIT_S,
            LIMITS,
        )
        runner.start()
        async with asyncio.timeout(RUN_LIMIT_S):
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
    assert state.tokens == TOKENS * len(context.spec.groups)


@then("{count:d} slow attempts were cancelled")
def step_cancelled(context: Context, count: int) -> None:
    assert len(context.endpoints.cancelled) == count, context.endpoints.cancelled
