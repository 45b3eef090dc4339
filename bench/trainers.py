"""bench.trainers: trainers that ask for steps, wait for them and train."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

from bench.deployment import MODEL
from bench.workload import StepWork, WorkSize, make_step
from greengagetack.errors import CodedError
from greengagetack.rollouts.client import RolloutClient, StepRequest
from greengagetack.rollouts.messages import FinishedGroup
from greengagetack.rollouts.spec import FinishedSample

__all__ = ["StepRecord", "Trainer", "VersionClock"]

ANNOUNCE_LIMIT_S = 10.0


class VersionClock:
    """Newest announced weight version and when each was announced."""

    def __init__(self) -> None:
        self.version = 1
        self._announced_at_s = {1: time.monotonic()}

    def announce(self) -> int:
        """Count up and return the new version."""
        self.version += 1
        self._announced_at_s[self.version] = time.monotonic()
        return self.version

    def age_s(self, version: int) -> float:
        """Return for how long a version has been superseded, 0 if it is not."""
        successor_s = self._announced_at_s.get(version + 1)
        return 0.0 if successor_s is None else time.monotonic() - successor_s


@dataclass(slots=True)
class StepRecord:
    """What became of a step; staleness is per sample, at its delivery."""

    work: StepWork
    wait_s: float = 0.0
    train_s: float = 0.0
    ideal_s: float = 0.0
    tokens: int = 0
    delivered: Counter[tuple[int, int]] = field(default_factory=Counter)
    wrong: int = 0
    beyond_bound: int = 0
    staleness_versions: list[int] = field(default_factory=list)
    staleness_s: list[float] = field(default_factory=list)

    @property
    def missing(self) -> int:
        """Samples that never came."""
        asked = sum(len(group) for group in self.work.lengths)
        return asked - len(self.delivered)

    @property
    def doubled(self) -> int:
        """Samples that came more than once."""
        return sum(count - 1 for count in self.delivered.values())


class Trainer:
    """Runs steps one after the other and says what came.

    Parameters
    ----------
    client : RolloutClient
        The library's client.
    operator : RolloutClient or None
        Announces new weights after each step, None for a trainer that only
        follows.
    """

    def __init__(
        self,
        team: str,
        client: RolloutClient,
        operator: RolloutClient | None,
        clock: VersionClock,
        latency_s: float,
    ) -> None:
        self.team = team
        self.records: list[StepRecord] = []
        self.announcements: list[asyncio.Task[None]] = []
        self.announce_failures: list[str] = []
        self._client = client
        self._operator = operator
        self._clock = clock
        self._latency_s = latency_s

    async def run(
        self, size: WorkSize, seed: int, more: asyncio.Event, tokens_per_s: float
    ) -> None:
        """Run the steps of `size`, and further ones until `more` is set."""
        step = 0
        while step < size.steps or not more.is_set():
            work = make_step(self.team, step, size, seed)
            record = StepRecord(work, ideal_s=work.ideal_s(tokens_per_s))
            self.records.append(record)
            await self._run_step(record, size)
            step += 1
        await asyncio.gather(*self.announcements)

    async def _run_step(self, record: StepRecord, size: WorkSize) -> None:
        version = self._clock.version
        work = record.work
        request = StepRequest("job", work.step, work.body(size, version))
        started_s = time.monotonic()
        await asyncio.sleep(self._latency_s)
        await self._client.create_step(request)
        async for group in self._client.fetch_step(request, version):
            self.take_group(record, group, version, size)
        await asyncio.sleep(self._latency_s)
        record.wait_s = time.monotonic() - started_s
        await asyncio.sleep(size.train_s)
        record.train_s = size.train_s
        if self._operator is not None:
            announcement = self._announce(self._operator, self._clock.version + 1)
            self.announcements.append(asyncio.create_task(announcement))

    async def _announce(self, operator: RolloutClient, version: int) -> None:
        """Announce new weights; trainers use them once that is accepted."""
        try:
            async with asyncio.timeout(ANNOUNCE_LIMIT_S):
                await operator.announce_version(MODEL, version)
        except (CodedError, TimeoutError) as error:
            self.announce_failures.append(f"version {version}: {error!r}")
            return
        self._clock.announce()

    def take_group(
        self, record: StepRecord, group: FinishedGroup, version: int, size: WorkSize
    ) -> None:
        """Count the samples of a group and check them."""
        for sample in group.samples:
            record.delivered[(group.group_id, sample.index)] += 1
            record.tokens += sample.token_count
            record.wrong += not is_whole(record.work, sample)
            oldest = min((part.version for part in sample.versions), default=0)
            record.beyond_bound += oldest < version - size.max_staleness_versions
            record.staleness_versions.append(max(0, version - oldest))
            record.staleness_s.append(self._clock.age_s(oldest))


def is_whole(work: StepWork, sample: FinishedSample) -> bool:
    """Whether a sample has all of its tokens, in order and each once."""
    expected = work.lengths[sample.group_id][sample.index]
    words = sample.text.split()
    if len(words) != expected or sample.token_count != expected:
        return False
    return all(word.startswith(f"tok{index}-") for index, word in enumerate(words))
