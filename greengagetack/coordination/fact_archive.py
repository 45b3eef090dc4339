"""greengagetack.coordination.fact_archive: keeps facts when all daemons are lost."""

import time
from typing import Any, Protocol, TypeVar

import msgspec
from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.facts import FACT_TYPES, Fact, FactTable, decode_fact
from greengagetack.objects.base import ObjectConflict, PlatformObject

__all__ = ["ARCHIVE_PATH", "ArchiveStore", "FactArchive"]

ARCHIVE_PATH = "facts/main"
WRITE_TIMEOUT_S = 0.4

T = TypeVar("T")


class _SavedFact(msgspec.Struct, frozen=True):
    topic: str
    key: str
    value: Any
    # Unix time.
    expires_s: float


class ArchiveStore(Protocol):
    """The operations of the object store that the archive uses."""

    async def read(self, path: str) -> PlatformObject | None:
        """Return an object, None if it does not exist."""

    async def write(
        self, path: str, value: Any, expected_version: int, limit_s: float = 2.0
    ) -> int:
        """Write if the version is `expected_version`; return the new version."""


class FactArchive:
    """Saves the owner's table after changes, and loads it into a new owner's."""

    def __init__(self, store: ArchiveStore, table: FactTable) -> None:
        self._store = store
        self._table = table
        self._is_loaded = False
        self._version = 0
        self._saved: set[tuple[str, str, str]] = set()

    async def synchronize(self) -> None:
        """Load what an earlier owner saved, then save what has changed since.

        A failed call is repeated at the next synchronization.
        """
        self._table.forget_expired()
        if not self._table.is_owner:
            self._is_loaded = False
            return
        try:
            if not self._is_loaded:
                await self._load()
            await self._save()
        except ObjectConflict:
            self._is_loaded = False
        except CodedError as error:
            logger.info("facts: not synchronized: {}", error.reason)

    async def saved(self, value_type: type[T]) -> tuple[T, ...]:
        """Return the saved facts of one type, at any daemon.

        Raises
        ------
        PlatformUnavailable
            If the store does not answer.
        """
        stored = await self._store.read(ARCHIVE_PATH)
        found: list[T] = []
        for fact in _unexpired(stored):
            if FACT_TYPES.get(fact.topic) is not value_type:
                continue
            try:
                found.append(decode_fact(fact))
            except msgspec.ValidationError as error:
                logger.warning("facts: saved {} is invalid: {}", fact.key, error)
        return tuple(found)

    async def _load(self) -> None:
        stored = await self._store.read(ARCHIVE_PATH)
        self._is_loaded = True
        self._version = 0 if stored is None else stored.version
        facts = _unexpired(stored)
        self._table.restore(facts)
        self._saved = _identities(facts)
        logger.info("facts: loaded from the archive", facts=len(facts))

    async def _save(self) -> None:
        facts = self._table.lasting()
        identities = _identities(facts)
        if identities == self._saved:
            return
        now_s = time.time()
        value = msgspec.to_builtins(
            [
                _SavedFact(fact.topic, fact.key, fact.value, now_s + fact.lifetime_s)
                for fact in facts
            ]
        )
        self._version = await self._store.write(
            ARCHIVE_PATH, value, self._version, WRITE_TIMEOUT_S
        )
        self._saved = identities


def _unexpired(stored: PlatformObject | None) -> tuple[Fact, ...]:
    """Return the facts of an archive that still hold, none without an archive."""
    if stored is None:
        return ()
    try:
        saved = msgspec.convert(stored.value, list[_SavedFact])
    except msgspec.ValidationError as error:
        logger.warning("facts: the archive cannot be decoded: {}", error)
        return ()
    now_s = time.time()
    return tuple(
        Fact(fact.topic, fact.key, fact.value, fact.expires_s - now_s)
        for fact in saved
        if fact.expires_s > now_s
    )


def _identities(facts: tuple[Fact, ...]) -> set[tuple[str, str, str]]:
    return {(fact.topic, fact.key, repr(fact.value)) for fact in facts}
