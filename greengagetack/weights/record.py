"""greengagetack.weights.record: announced versions, stored as platform objects."""

from dataclasses import dataclass

import msgspec

from greengagetack.errors import CodedError
from greengagetack.objects.base import ObjectConflict, ObjectStore, PlatformObject

__all__ = ["RolloutRecord", "RolloutRecords"]

PATH_PREFIX = "weights/"


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """The newest announced version of a model; versions only increase."""

    model: str
    version: int
    announced_by: str
    announced_at_s: float


class RolloutRecords:
    """Caches rollout records and writes them when the platform is reachable."""

    def __init__(self, platform: ObjectStore) -> None:
        self._platform = platform
        self._newest: dict[str, RolloutRecord] = {}
        self._stored: dict[str, tuple[int, int]] = {}

    def newest(self, model: str) -> RolloutRecord | None:
        """Return the newest announcement of a model."""
        return self._newest.get(model)

    def models(self) -> tuple[str, ...]:
        """Return the models that have an announced version."""
        return tuple(self._newest)

    def announce(self, record: RolloutRecord) -> None:
        """Set the newest announcement of a model."""
        self._newest[record.model] = record

    def is_stored(self, model: str) -> bool:
        """Whether the newest announcement is stored on the platform."""
        record = self._newest.get(model)
        _, version = self._stored.get(model, (0, 0))
        return record is not None and version >= record.version

    async def load(self) -> None:
        """Read all records; newer ones in memory are kept.

        Raises
        ------
        PlatformUnavailable
            If the platform does not answer.
        """
        listed = await self._platform.list(PATH_PREFIX)
        for stored in listed.objects:
            self._merge(stored)

    def _merge(self, stored: PlatformObject) -> None:
        record = msgspec.convert(stored.value, RolloutRecord)
        self._stored[record.model] = (stored.version, record.version)
        known = self._newest.get(record.model)
        if known is None or known.version < record.version:
            self._newest[record.model] = record

    async def store_all(self) -> None:
        """Store all records that are not stored yet, ignoring failures."""
        for model, record in list(self._newest.items()):
            if self.is_stored(model):
                continue
            try:
                await self._store(record)
            except CodedError:
                # The record stays in memory and is written at the next call.
                continue

    async def _store(self, record: RolloutRecord) -> None:
        path = PATH_PREFIX + record.model
        expected, _ = self._stored.get(record.model, (0, 0))
        try:
            version = await self._platform.write(
                path, msgspec.to_builtins(record), expected
            )
        except ObjectConflict:
            found = await self._platform.read(path)
            if found is not None:
                self._merge(found)
            return
        self._stored[record.model] = (version, record.version)
