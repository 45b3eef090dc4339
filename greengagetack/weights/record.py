"""greengagetack.weights.record: announced versions as platform objects."""

from dataclasses import dataclass

import msgspec

from greengagetack.errors import CodedError
from greengagetack.objects.base import ObjectConflict, ObjectStore, PlatformObject

__all__ = ["RolloutRecord", "RolloutRecords"]

PATH = "weights/"


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """The newest announced version of a model; versions only grow."""

    model: str
    version: int
    announced_by: str
    announced_at_s: float


class RolloutRecords:
    """Keeps rollout records in memory and writes them when the platform answers."""

    def __init__(self, platform: ObjectStore) -> None:
        self._platform = platform
        self._newest: dict[str, RolloutRecord] = {}
        self._stored: dict[str, tuple[int, int]] = {}

    def newest(self, model: str) -> RolloutRecord | None:
        """Return the newest announcement of a model."""
        return self._newest.get(model)

    def models(self) -> tuple[str, ...]:
        """Return the models with an announcement."""
        return tuple(self._newest)

    def announce(self, record: RolloutRecord) -> None:
        """Take an announcement."""
        self._newest[record.model] = record

    def is_stored(self, model: str) -> bool:
        """Whether the platform has the newest announcement."""
        record = self._newest.get(model)
        _, version = self._stored.get(model, (0, 0))
        return record is not None and version >= record.version

    async def load(self) -> None:
        """Read all records; newer ones in memory stay.

        Raises
        ------
        PlatformUnavailable
            If the platform does not answer.
        """
        listed = await self._platform.list(PATH)
        for item in listed.objects:
            self._take(item)

    def _take(self, item: PlatformObject) -> None:
        record = msgspec.convert(item.value, RolloutRecord)
        self._stored[record.model] = (item.version, record.version)
        known = self._newest.get(record.model)
        if known is None or known.version < record.version:
            self._newest[record.model] = record

    async def store_all(self) -> None:
        """Write what the platform does not have yet, as far as it answers."""
        for model, record in list(self._newest.items()):
            if self.is_stored(model):
                continue
            try:
                await self._store(record)
            except CodedError:
                # Kept in memory and written at the next turn.
                continue

    async def _store(self, record: RolloutRecord) -> None:
        path = PATH + record.model
        expected, _ = self._stored.get(record.model, (0, 0))
        try:
            version = await self._platform.write(
                path, msgspec.to_builtins(record), expected
            )
        except ObjectConflict:
            found = await self._platform.read(path)
            if found is not None:
                self._take(found)
            return
        self._stored[record.model] = (version, record.version)
