"""greengagetack.objects.feed: a local copy of the objects under one prefix."""

import asyncio
import math
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from loguru import logger

from greengagetack.errors import CodedError, PeerUnreachable, PlatformUnavailable
from greengagetack.freezes import FreezeWatch, boottime_s
from greengagetack.objects.base import HistoryGone, PlatformObject, WatchAnswer
from greengagetack.objects.outages import StoreOutages

__all__ = ["Feed", "FeedListener", "FeedSource", "SourceMissing"]

INITIAL_RETRY_PAUSE_S = 0.05
# Half of the time within which a configuration must be in force. Not shorter, because
# refused calls are charged as well.
MAX_RETRY_PAUSE_S = 1.0
# While there is no source to ask, looking for one again costs no call.
MAX_SOURCE_PAUSE_S = 0.2
MAX_RECORDED_REMOVALS = 1_000
# A copy that the store has not confirmed for this long, directly or through the daemons
# that it was copied from, is not served to other daemons.
MAX_COPY_AGE_S = 1.5
# A waiting follower is told of a confirmation that is newer than its own by this much,
# so that the ages of copies of copies do not add up to the waits on the way.
MIN_CONFIRMATION_STEP_S = 0.4

FeedListener = Callable[[tuple[PlatformObject, ...], tuple[str, ...]], None]


class SourceMissing(PeerUnreachable):
    """There is no source to ask at present; no call was made."""


class FeedSource(Protocol):
    """Source of a feed: the store or the feed of another daemon."""

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects under a prefix with the current revision."""

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes under a prefix after a revision."""


class Feed:
    """Lists a prefix, then watches it; an object never returns to an older version.

    Parameters
    ----------
    next_source : callable
        Returns the source for the next call.
    prefix : str
        Path prefix of the objects, such as ``jobs/``.
    wait_s : callable
        Returns the longest wait of the next watch; a stalled source is detected
        after that time.
    pause_s : callable
        Returns the pause after a change, so that a series of changes takes a few
        watches instead of one each.
    freezes : FreezeWatch or None
        Tells whether an answer may have been waiting for this process, None if that
        is not watched.
    outages : StoreOutages or None
        Learns which calls the store has answered, None if that does not matter here.
    """

    def __init__(
        self,
        next_source: Callable[[], FeedSource],
        prefix: str,
        wait_s: Callable[[], float],
        pause_s: Callable[[], float] = lambda: 0.0,
        freezes: FreezeWatch | None = None,
        outages: StoreOutages | None = None,
    ) -> None:
        self._next_source = next_source
        self.prefix = prefix
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._freezes = freezes
        self._outages = outages
        self._listeners: list[FeedListener] = []
        self.objects: dict[str, PlatformObject] = {}
        self.synced = asyncio.Event()
        self.last_answer_s = float("-inf")
        self.last_failure_s = float("-inf")
        self._sent_s = float("-inf")
        self._confirmed_s = float("-inf")
        self.revision = 0
        self.change_count = 0
        self._first_revision = 0
        self._removals: deque[tuple[int, str]] = deque()
        # Set by a change and by a confirmation.
        self._news = asyncio.Event()
        self._needs_list = True
        self._is_refresh_due = False
        self._watch_task: asyncio.Task[WatchAnswer] | None = None

    @property
    def is_synced(self) -> bool:
        """Whether the prefix has been listed at least once."""
        return self.synced.is_set()

    @property
    def is_refresh_due(self) -> bool:
        """Whether the copy is known to be out of date and must come from the store."""
        return self._is_refresh_due

    @property
    def age_s(self) -> float:
        """Seconds since the store confirmed the copy, infinite before that."""
        return boottime_s() - self._confirmed_s

    def subscribe(self, listener: FeedListener) -> None:
        """Call `listener` with the changed objects and removed paths of each change."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        retry_pause_s = INITIAL_RETRY_PAUSE_S
        while True:
            try:
                await self._list_or_watch(self._next_source())
            except HistoryGone:
                logger.info("feed: history gone, listing again", prefix=self.prefix)
                self._needs_list = True
                continue
            except CodedError as error:
                self._log_failure(error)
                self.record_source_failure(error)
                if isinstance(error, SourceMissing):
                    await asyncio.sleep(min(retry_pause_s, MAX_SOURCE_PAUSE_S))
                    continue
                await asyncio.sleep(retry_pause_s)
                retry_pause_s = min(MAX_RETRY_PAUSE_S, retry_pause_s * 2)
                continue
            if self.last_failure_s > self.last_answer_s > float("-inf"):
                logger.info(
                    "feed: recovered",
                    prefix=self.prefix,
                    revision=self.revision,
                    away_ms=int((time.monotonic() - self.last_answer_s) * 1000),
                )
            self.last_answer_s = time.monotonic()
            retry_pause_s = INITIAL_RETRY_PAUSE_S

    async def _list_or_watch(self, source: FeedSource) -> None:
        if self._needs_list:
            self._needs_list = False
            self._sent_s = boottime_s()
            try:
                listing = await source.list(self.prefix)
                answer_due_s = self._sent_s + listing.waited_s
                confirmed_s = self._record_contact(listing, answer_due_s)
                self._apply_listing(listing)
            except CodedError:
                self._needs_list = True
                raise
            self._is_refresh_due = False
            self.confirm(confirmed_s)
            return
        wait_s = self._wait_s()
        self._sent_s = boottime_s()
        watch = source.watch(self.prefix, self.revision, wait_s)
        self._watch_task = asyncio.ensure_future(watch)
        try:
            update = await self._watch_task
            is_change = bool(update.objects or update.deleted)
            answer_due_s = self._sent_s + update.waited_s
            if not is_change and math.isinf(update.waited_s):
                # Without a change, the answer was due when the wait ended.
                answer_due_s = self._sent_s + wait_s
            confirmed_s = self._record_contact(update, answer_due_s)
            self._apply_changes(update)
            self.confirm(confirmed_s)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            return
        finally:
            self._watch_task.cancel()
            self._watch_task = None
        if is_change and self._pause_s():
            await asyncio.sleep(self._pause_s())

    def _record_contact(self, answer: WatchAnswer, answer_due_s: float) -> float:
        """Return when the store confirmed an answer, and record what it shows."""
        answered_s = boottime_s()
        if self._freezes is not None and self._freezes.was_frozen_since(self._sent_s):
            answered_s = self._sent_s
        confirmed_s = min(answered_s, answer_due_s) - answer.age_s
        if self._outages is not None:
            self._outages.learn_return(answer.since_return_s)
            self._outages.record_answer(confirmed_s, answered_s - answer.age_s)
        return confirmed_s

    def confirm(self, confirmed_s: float) -> None:
        """Record that the copy was up to date at a time of `boottime_s`."""
        if confirmed_s <= self._confirmed_s:
            return
        self._confirmed_s = confirmed_s
        self._announce()

    async def wait_until_confirmed(self, since_s: float) -> None:
        """Wait until the copy has everything that was stored at a time.

        Parameters
        ----------
        since_s : float
            Time of `boottime_s`.
        """
        while self._confirmed_s < since_s:
            await self._news.wait()

    def _announce(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    def refresh(self) -> None:
        """List the prefix again at once, as the copy is known to be out of date."""
        self._needs_list = True
        self._is_refresh_due = True
        if self._watch_task is not None:
            self._watch_task.cancel()

    def _log_failure(self, error: CodedError) -> None:
        if self.last_failure_s <= self.last_answer_s:
            logger.warning(
                "feed: update failed",
                prefix=self.prefix,
                revision=self.revision,
                reason=error.reason,
            )
        self.last_failure_s = time.monotonic()

    def record_source_failure(self, error: CodedError) -> None:
        """Record that a call to one of the sources has failed."""
        if self._outages is not None:
            self._outages.record_failure(error, self._sent_s)

    def _apply_listing(self, update: WatchAnswer) -> None:
        if update.revision < self.revision:
            # Only a daemon's copy can be older than what has been seen.
            raise PeerUnreachable(
                f"the listing of {self.prefix} is older than the local copy"
            )
        listed = {item.path for item in update.objects}
        gone = tuple(path for path in self.objects if path not in listed)
        self.revision = update.revision
        if not self.is_synced:
            self._first_revision = update.revision
        self._publish(update.objects, gone)
        self.synced.set()

    def _apply_changes(self, update: WatchAnswer) -> None:
        self.revision = max(self.revision, update.revision)
        self._publish(update.objects, update.deleted)

    def _publish(
        self, objects: tuple[PlatformObject, ...], deleted: tuple[str, ...]
    ) -> None:
        changed: list[PlatformObject] = []
        for item in objects:
            known = self.objects.get(item.path)
            if known is not None and known.version >= item.version:
                continue
            self.objects[item.path] = item
            changed.append(item)
        gone = tuple(path for path in deleted if self.objects.pop(path, None))
        if not changed and not gone:
            return
        self.change_count += 1
        for path in gone:
            self._removals.append((self.revision, path))
        while len(self._removals) > MAX_RECORDED_REMOVALS:
            self._first_revision = self._removals.popleft()[0]
        self._announce()
        for listener in self._listeners:
            listener(tuple(changed), gone)

    # -- serving other daemons

    def snapshot(self) -> WatchAnswer:
        """Return all objects of the copy.

        Raises
        ------
        PlatformUnavailable
            If the copy is not known to be up to date.
        """
        self._require_up_to_date()
        return WatchAnswer(
            self.revision,
            tuple(self.objects.values()),
            age_s=self.age_s,
            since_return_s=self._since_return_s,
        )

    @property
    def _since_return_s(self) -> float:
        return float("inf") if self._outages is None else self._outages.since_return_s

    async def wait_for_changes(
        self, after: int, timeout_s: float, known_age_s: float | None = None
    ) -> WatchAnswer:
        """Return the changes after a revision; wait up to `timeout_s` for one.

        The wait also ends when the copy has been confirmed later than that of the
        follower, which is `known_age_s` old, or than now if that is not known.

        Raises
        ------
        HistoryGone
            If the copy no longer has all changes after that revision.
        PlatformUnavailable
            If the copy is not known to be up to date.
        """
        self._require_up_to_date()
        if after < self._first_revision:
            raise HistoryGone(
                f"changes of {self.prefix} after revision {after} are no longer kept"
            )
        known_s = self._confirmed_s
        if known_age_s is not None:
            known_s = boottime_s() - known_age_s
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not self._has_news(after, known_s):
                    await self._news.wait()
        self._require_up_to_date()
        return self._changes_since(after)

    def _has_news(self, after: int, known_s: float) -> bool:
        if self._confirmed_s >= known_s + MIN_CONFIRMATION_STEP_S:
            return True
        update = self._changes_since(after)
        return bool(update.objects or update.deleted)

    def _changes_since(self, after: int) -> WatchAnswer:
        objects = [item for item in self.objects.values() if item.version > after]
        deleted = [path for revision, path in self._removals if revision > after]
        return WatchAnswer(
            self.revision,
            tuple(objects),
            tuple(path for path in deleted if path not in self.objects),
            self.age_s,
            self._since_return_s,
        )

    def _require_up_to_date(self) -> None:
        age_s = self.age_s
        if not self.is_synced or age_s > MAX_COPY_AGE_S:
            raise PlatformUnavailable(
                f"the copy of {self.prefix} was last confirmed {age_s:.1f} s ago"
            )
