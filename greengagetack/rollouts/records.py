"""greengagetack.rollouts.records: stores steps and samples as replicated records."""

from dataclasses import dataclass

import msgspec

from greengagetack.membership.shards import ShardStore
from greengagetack.rollouts.spec import FinishedSample, StepSpec, step_key

__all__ = ["BatchRecord", "StepRecord", "StepRecords"]

STEP_KIND = "step"
SAMPLE_KIND = "sample"
BATCH_KIND = "batch"

_DELETED = b""


@dataclass(frozen=True, slots=True)
class StepRecord:
    """A stored step; `created_wall_s` is in seconds since the Unix epoch."""

    spec: StepSpec
    created_wall_s: float
    cancelled: bool = False


@dataclass(frozen=True, slots=True)
class BatchRecord:
    """The samples of a committed numbered batch."""

    samples: tuple[FinishedSample, ...]
    group_ids: tuple[int, ...]


class StepRecords:
    """Reads and writes the records of steps in their shards."""

    def __init__(self, store: ShardStore) -> None:
        self._store = store

    def shard_of(self, team: str, job: str) -> int:
        """Return the shard of a job."""
        return self._store.shard_of(f"{team}/{job}")

    async def put_step(self, record: StepRecord) -> None:
        """Write a step locally and, if the backup is reachable, at the backup."""
        spec = record.spec
        key = step_key(spec.team, spec.job, spec.step)
        await self._put(spec, STEP_KIND, key, msgspec.msgpack.encode(record))

    async def put_sample(self, spec: StepSpec, sample: FinishedSample) -> None:
        """Write a finished sample."""
        key = self._sample_key(spec, sample.group_id, sample.index)
        await self._put(spec, SAMPLE_KIND, key, msgspec.msgpack.encode(sample))

    async def delete_sample(self, spec: StepSpec, group_id: int, index: int) -> None:
        """Delete a sample that will be generated again."""
        key = self._sample_key(spec, group_id, index)
        await self._put(spec, SAMPLE_KIND, key, _DELETED)

    async def put_batch(self, spec: StepSpec, batch: int, record: BatchRecord) -> None:
        """Commit a batch at the owner and the backup.

        Raises
        ------
        OwnerUnavailable
            If the backup does not confirm the write.
        """
        key = f"{step_key(spec.team, spec.job, spec.step)}/{batch}"
        value = msgspec.msgpack.encode(record)
        await self._put(spec, BATCH_KIND, key, value, need_backup=True)

    async def delete_step(self, spec: StepSpec) -> None:
        """Delete a step with all its samples and batches."""
        key = step_key(spec.team, spec.job, spec.step)
        shard = self.shard_of(spec.team, spec.job)
        for kind in (SAMPLE_KIND, BATCH_KIND):
            for record in self._store.records(shard, kind):
                if record.key.startswith(f"{key}/"):
                    await self._put(spec, kind, record.key, _DELETED)
        await self._put(spec, STEP_KIND, key, _DELETED)

    def steps(self, shard: int) -> tuple[StepRecord, ...]:
        """Return the steps of a shard."""
        return tuple(
            msgspec.msgpack.decode(record.value, type=StepRecord)
            for record in self._store.records(shard, STEP_KIND)
        )

    def samples(self, spec: StepSpec) -> tuple[FinishedSample, ...]:
        """Return the finished samples of a step."""
        shard = self.shard_of(spec.team, spec.job)
        prefix = f"{step_key(spec.team, spec.job, spec.step)}/"
        return tuple(
            msgspec.msgpack.decode(record.value, type=FinishedSample)
            for record in self._store.records(shard, SAMPLE_KIND)
            if record.key.startswith(prefix)
        )

    def batch(self, spec: StepSpec, batch: int) -> BatchRecord | None:
        """Return a committed batch, None if it is not committed yet."""
        shard = self.shard_of(spec.team, spec.job)
        key = f"{step_key(spec.team, spec.job, spec.step)}/{batch}"
        value = self._store.get(shard, BATCH_KIND, key)
        if value is None:
            return None
        return msgspec.msgpack.decode(value, type=BatchRecord)

    def may_act(self, spec: StepSpec) -> bool:
        """Whether this VM is certain to be the only owner of the step."""
        return self._store.may_act(self.shard_of(spec.team, spec.job))

    def _sample_key(self, spec: StepSpec, group_id: int, index: int) -> str:
        return f"{step_key(spec.team, spec.job, spec.step)}/{group_id}/{index}"

    async def _put(
        self,
        spec: StepSpec,
        kind: str,
        key: str,
        value: bytes,
        need_backup: bool = False,
    ) -> None:
        shard = self.shard_of(spec.team, spec.job)
        await self._store.put(shard, kind, key, value, need_backup=need_backup)
