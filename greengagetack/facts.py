"""greengagetack.facts: facts that one daemon learns and all must obey.

The daemon that runs the jobs owns the table of facts. The others get what is new with
the answers to the pings that they send it anyway: a fact costs no call of its own and
reaches every daemon within about one ping interval.
"""

import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec
from loguru import logger

__all__ = [
    "FACT_TYPES",
    "Fact",
    "FactCursor",
    "FactTable",
    "FactUpdate",
    "decode_fact",
    "fact_type",
]

# Bounds the size of one answer and of the table.
MAX_FACTS_PER_UPDATE = 50
MAX_FACTS = 2_000
# Retracted facts are remembered until every daemon has heard of the retraction.
RETRACTION_LIFETIME_S = 30.0

T = TypeVar("T")
FactListener = Callable[[str, Any], None]
Merge = Callable[[T, T], T]

FACT_TYPES: dict[str, type] = {}
_TOPICS: dict[type, str] = {}
_MERGES: dict[type, Merge[Any]] = {}
_LASTING_TOPICS: set[str] = set()


def _take_newer(earlier: T, newer: T) -> T:
    return newer


def fact_type(
    topic: str, merge: Merge[Any] = _take_newer, is_lasting: bool = True
) -> Callable[[type[T]], type[T]]:
    """Register a frozen data class as the value of a topic's facts.

    Parameters
    ----------
    merge : callable
        Called with an earlier and a newer fact of a key; returns what to publish. Only
        a retraction and the end of its lifetime remove a fact without a merge.
    is_lasting : bool
        Whether the facts are saved for a loss of all daemons. Those that change each
        second are not, as each save is a call to the store.

    Raises
    ------
    ValueError
        If the topic is taken.
    """

    def register(value_type: type[T]) -> type[T]:
        if topic in FACT_TYPES:
            raise ValueError(f"duplicate topic {topic!r}")
        FACT_TYPES[topic] = value_type
        _TOPICS[value_type] = topic
        _MERGES[value_type] = merge
        if is_lasting:
            _LASTING_TOPICS.add(topic)
        return value_type

    return register


@dataclass(frozen=True, slots=True)
class Fact:
    """A fact as it is sent; `value` is None for a retracted one."""

    topic: str
    key: str
    value: Any
    lifetime_s: float


@dataclass(frozen=True, slots=True)
class FactCursor:
    """How far a daemon knows the facts of an owner, which `epoch` identifies."""

    epoch: str = ""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class FactUpdate:
    """Facts that follow a cursor, and the cursor to go on from."""

    cursor: FactCursor
    facts: tuple[Fact, ...]


@dataclass(frozen=True, slots=True)
class _Entry:
    value: Any
    revision: int
    expires_s: float


class FactTable:
    """A copy of the facts, or the table itself on the daemon that owns it.

    Parameters
    ----------
    epoch : str
        Identifies this daemon's process as an owner.
    is_owner : callable
        Returns whether this daemon is the owner.
    """

    def __init__(self, epoch: str, is_owner: Callable[[], bool]) -> None:
        self._own_epoch = epoch
        self._is_owner = is_owner
        # In the order of their revisions.
        self._entries: OrderedDict[tuple[str, str], _Entry] = OrderedDict()
        self._listeners: dict[str, list[FactListener]] = {}
        # Encoded updates by cursor, until the next change.
        self._encoded: dict[FactCursor, bytes] = {}
        self.cursor = FactCursor()

    @property
    def is_owner(self) -> bool:
        """Whether this daemon owns the table, so that it may publish."""
        return self._is_owner()

    def subscribe(self, value_type: type, listener: FactListener) -> None:
        """Call `listener` with key and value of each fact learnt, None if retracted."""
        self._listeners.setdefault(_TOPICS[value_type], []).append(listener)

    def get(self, value_type: type[T], key: str) -> T | None:
        """Return a fact, None if it is not known."""
        entry = self._entries.get((_TOPICS[value_type], key))
        return None if entry is None else entry.value

    def values(self, value_type: type[T]) -> tuple[T, ...]:
        """Return all known facts of one type."""
        topic = _TOPICS[value_type]
        return tuple(
            entry.value
            for (found, _), entry in self._entries.items()
            if found == topic and entry.value is not None
        )

    def remaining_s(self, value_type: type, key: str) -> float | None:
        """Return how long a fact still lasts, None if it is not known."""
        entry = self._entries.get((_TOPICS[value_type], key))
        if entry is None or entry.value is None:
            return None
        return entry.expires_s - time.monotonic()

    def publish(self, key: str, value: Any, lifetime_s: float) -> None:
        """Add a fact or merge it into the known one; it ends after `lifetime_s`."""
        known = self.get(type(value), key)
        if known is not None:
            value = _MERGES[type(value)](known, value)
        if value != known:
            self._put(_TOPICS[type(value)], key, value, lifetime_s)

    def retract(self, value_type: type, key: str) -> None:
        """Let all daemons forget a fact."""
        topic = _TOPICS[value_type]
        entry = self._entries.get((topic, key))
        if entry is not None and entry.value is not None:
            self._put(topic, key, None, RETRACTION_LIFETIME_S)

    def _put(self, topic: str, key: str, value: Any, lifetime_s: float) -> None:
        self._begin_epoch()
        revision = self.cursor.revision + 1
        self.cursor = FactCursor(self._own_epoch, revision)
        self._store(topic, key, _Entry(value, revision, time.monotonic() + lifetime_s))

    def _store(self, topic: str, key: str, entry: _Entry) -> None:
        self._encoded.clear()
        self._entries[topic, key] = entry
        self._entries.move_to_end((topic, key))
        if len(self._entries) > MAX_FACTS:
            oldest_topic, oldest_key = next(iter(self._entries))
            logger.warning(
                "facts: the table is full, {} {} is dropped", oldest_topic, oldest_key
            )
            del self._entries[oldest_topic, oldest_key]
        for listener in self._listeners.get(topic, ()):
            listener(key, entry.value)

    def _begin_epoch(self) -> None:
        """Renumber the facts if another daemon has numbered them so far."""
        if self.cursor.epoch == self._own_epoch:
            return
        for number, (key, entry) in enumerate(self._entries.items(), 1):
            self._entries[key] = _Entry(entry.value, number, entry.expires_s)
        self.cursor = FactCursor(self._own_epoch, len(self._entries))

    def update_after(self, cursor: FactCursor) -> bytes | None:
        """Return an encoded update that follows a cursor, None if there is nothing.

        Daemons that have kept up ask for the same update, so it is encoded once.
        """
        if not self._is_owner():
            return None
        self._begin_epoch()
        if cursor == self.cursor:
            return None
        encoded = self._encoded.get(cursor)
        if encoded is None:
            encoded = msgspec.msgpack.encode(self._build_update(cursor))
            self._encoded[cursor] = encoded
        return encoded

    def _build_update(self, cursor: FactCursor) -> FactUpdate:
        after = cursor.revision if cursor.epoch == self._own_epoch else 0
        newer = []
        for (topic, key), entry in reversed(self._entries.items()):
            if entry.revision <= after:
                break
            newer.append((topic, key, entry))
        sent = newer[::-1][:MAX_FACTS_PER_UPDATE]
        is_all = len(sent) == len(newer)
        last = self.cursor.revision if is_all else sent[-1][2].revision
        now_s = time.monotonic()
        facts = tuple(
            Fact(topic, key, _to_builtins(entry.value), entry.expires_s - now_s)
            for topic, key, entry in sent
            if entry.expires_s > now_s
        )
        return FactUpdate(FactCursor(self._own_epoch, last), facts)

    def apply(self, encoded: bytes | None) -> None:
        """Learn what the owner has sent.

        Raises
        ------
        msgspec.DecodeError
            If the update is not a valid one.
        """
        if encoded is None or self._is_owner():
            return
        update = msgspec.msgpack.decode(encoded, type=FactUpdate)
        for fact in update.facts:
            self._learn(fact, update.cursor.revision)
        self.cursor = update.cursor

    def _learn(self, fact: Fact, revision: int) -> None:
        try:
            value = decode_fact(fact)
        except msgspec.ValidationError as error:
            logger.warning("facts: {} {} is invalid: {}", fact.topic, fact.key, error)
            return
        expires_s = time.monotonic() + fact.lifetime_s
        self._store(fact.topic, fact.key, _Entry(value, revision, expires_s))

    def restore(self, facts: tuple[Fact, ...]) -> None:
        """Publish facts that an earlier owner saved, as earlier than the known ones."""
        for fact in facts:
            known = self._entries.get((fact.topic, fact.key))
            if known is not None and known.value is None:
                continue
            try:
                value = decode_fact(fact)
            except msgspec.ValidationError as error:
                logger.warning(
                    "facts: saved {} {} is invalid: {}", fact.topic, fact.key, error
                )
                continue
            if known is not None:
                value = _MERGES[type(value)](value, known.value)
            if known is None or value != known.value:
                self._put(fact.topic, fact.key, value, fact.lifetime_s)

    def current(self) -> tuple[Fact, ...]:
        """Return all facts that are neither retracted nor expired."""
        now_s = time.monotonic()
        return tuple(
            Fact(topic, key, _to_builtins(entry.value), entry.expires_s - now_s)
            for (topic, key), entry in self._entries.items()
            if entry.value is not None and entry.expires_s > now_s
        )

    def lasting(self) -> tuple[Fact, ...]:
        """Return the current facts that are saved for a loss of all daemons."""
        return tuple(fact for fact in self.current() if fact.topic in _LASTING_TOPICS)

    def forget_expired(self) -> None:
        """Drop expired facts and tell their listeners."""
        now_s = time.monotonic()
        # What is left of the lifetimes in them has shrunk.
        self._encoded.clear()
        for (topic, key), entry in list(self._entries.items()):
            if entry.expires_s > now_s:
                continue
            del self._entries[topic, key]
            if entry.value is None:
                continue
            for listener in self._listeners.get(topic, ()):
                listener(key, None)


def decode_fact(fact: Fact) -> Any:
    """Return the value of a received fact, None for a retracted one.

    Raises
    ------
    msgspec.ValidationError
        If the value does not fit its topic, or a newer software version's topic is not
        known here.
    """
    if fact.value is None:
        return None
    value_type = FACT_TYPES.get(fact.topic)
    if value_type is None:
        raise msgspec.ValidationError(f"unknown topic {fact.topic!r}")
    return msgspec.convert(fact.value, value_type)


def _to_builtins(value: Any) -> Any:
    return None if value is None else msgspec.to_builtins(value)
