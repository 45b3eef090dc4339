"""bench.trainers: trainers that create steps, fetch their samples and train."""

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

__all__ = ["StepRecord", "Trainer", "AnnouncedVersions"]

ANNOUNCE_TIMEOUT_S = 10.0


class AnnouncedVersions:
    """The newest announced weight version and the time of each announcement."""

    def __init__(self) -> None:
        self.version = 1
        self._announced_at_s = {1: time.monotonic()}

    def announce(self) -> int:
        """Record the announcement of the next version and return it."""
        self.version += 1
        self._announced_at_s[self.version] = time.monotonic()
        return self.version

    def age_s(self, version: int) -> float:
        """Return how long ago a version was superseded; 0 for the newest."""
        successor_s = self._announced_at_s.get(version + 1)
        return 0.0 if successor_s is None else time.monotonic() - successor_s


@dataclass(slots=True)
class StepRecord:
    """The results of a step; staleness is measured per sample at its delivery."""

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
        """Number of samples that were not delivered."""
        asked = sum(len(group) for group in self.work.lengths)
        return asked - len(self.delivered)

    @property
    def doubled(self) -> int:
        """Number of repeated deliveries of samples."""
        return sum(count - 1 for count in self.delivered.values())


class Trainer:
    """Runs steps one after another and records the results.

    Parameters
    ----------
    client : RolloutClient
        Client for the trainer's own team.
    operator : RolloutClient or None
        Announces new weights after each step; None for a trainer that does not
        announce weights.
    """

    def __init__(
        self,
        team: str,
        client: RolloutClient,
        operator: RolloutClient | None,
        announced: AnnouncedVersions,
        latency_s: float,
    ) -> None:
        self.team = team
        self.records: list[StepRecord] = []
        self.announcements: list[asyncio.Task[None]] = []
        self.announce_failures: list[str] = []
        self._client = client
        self._operator = operator
        self._announced = announced
        self._latency_s = latency_s

    async def run(
        self, size: WorkSize, seed: int, may_end: asyncio.Event, tokens_per_s: float
    ) -> None:
        """Run the steps of `size`, and further steps until `may_end` is set."""
        step = 0
        while step < size.steps or not may_end.is_set():
            work = make_step(self.team, step, size, seed)
            record = StepRecord(work, ideal_s=work.ideal_s(tokens_per_s))
            self.records.append(record)
            await self._run_step(record, size)
            step += 1
        await asyncio.gather(*self.announcements)

    async def _run_step(self, record: StepRecord, size: WorkSize) -> None:
        version = self._announced.version
        work = record.work
        request = StepRequest("job", work.step, work.body(size, version))
        started_s = time.monotonic()
        await asyncio.sleep(self._latency_s)
        await self._client.create_step(request)
        async for group in self._client.fetch_step(request, version):
            self.record_group(record, group, version, size)
        await asyncio.sleep(self._latency_s)
        record.wait_s = time.monotonic() - started_s
        await asyncio.sleep(size.train_s)
        record.train_s = size.train_s
        if self._operator is not None:
            announcement = self._announce(self._operator, self._announced.version + 1)
            self.announcements.append(asyncio.create_task(announcement))

    async def _announce(self, operator: RolloutClient, version: int) -> None:
        """Announce new weights; trainers state the version once it is accepted."""
        try:
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_S):
                await operator.announce_version(MODEL, version)
        except (CodedError, TimeoutError) as error:
            self.announce_failures.append(f"version {version}: {error!r}")
            return
        self._announced.announce()

    def record_group(
        self, record: StepRecord, group: FinishedGroup, version: int, size: WorkSize
    ) -> None:
        """Check the samples of a group and add them to the record."""
        for sample in group.samples:
            record.delivered[(group.group_id, sample.index)] += 1
            record.tokens += sample.token_count
            record.wrong += not is_complete(record.work, sample)
            oldest = min((part.version for part in sample.versions), default=0)
            record.beyond_bound += oldest < version - size.max_staleness_versions
            record.staleness_versions.append(max(0, version - oldest))
            record.staleness_s.append(self._announced.age_s(oldest))


def is_complete(work: StepWork, sample: FinishedSample) -> bool:
    """Whether a sample has all of its tokens exactly once and in order."""
    expected = work.lengths[sample.group_id][sample.index]
    words = sample.text.split()
    if len(words) != expected or sample.token_count != expected:
        return False
    return all(word.startswith(f"tok{index}-") for index, word in enumerate(words))
