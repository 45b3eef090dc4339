"""greengagetack.objects.feed: a local copy of the objects under one prefix."""

import asyncio
import time
from collections.abc import Callable

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.objects.base import (
    HistoryGone,
    PlatformObject,
    WatchAnswer,
    WatchedStore,
)

__all__ = ["Feed", "FeedListener"]

RETRY_FIRST_S = 0.05
RETRY_MOST_S = 0.5

FeedListener = Callable[[tuple[PlatformObject, ...], tuple[str, ...]], None]


class Feed:
    """Lists a prefix, then follows its changes; an object never goes back.

    Parameters
    ----------
    store : WatchedStore
        Where the objects are.
    prefix : str
        What is followed, such as ``jobs/``.
    wait_s : float
        How long a watch waits; a silent store is noticed after that time.
    """

    def __init__(self, store: WatchedStore, prefix: str, wait_s: float) -> None:
        self._store = store
        self._prefix = prefix
        self._wait_s = wait_s
        self._listeners: list[FeedListener] = []
        self.objects: dict[str, PlatformObject] = {}
        self.synced = asyncio.Event()
        self.last_answer_s = 0.0
        self.last_failure_s = 0.0
        self._revision = 0

    @property
    def is_synced(self) -> bool:
        """Whether the prefix has been listed."""
        return self.synced.is_set()

    def subscribe(self, listener: FeedListener) -> None:
        """Call `listener` with the changed objects and the removed paths."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        retry_s = RETRY_FIRST_S
        needs_list = True
        while True:
            try:
                if needs_list:
                    self._replace(await self._store.list(self._prefix))
                    needs_list = False
                else:
                    self._apply(
                        await self._store.watch(
                            self._prefix, self._revision, self._wait_s
                        )
                    )
            except HistoryGone:
                logger.info("feed: the history of {} is gone; listing", self._prefix)
                needs_list = True
                continue
            except CodedError as error:
                self._note_failure(error)
                await asyncio.sleep(retry_s)
                retry_s = min(RETRY_MOST_S, retry_s * 2)
                continue
            if self.last_failure_s > self.last_answer_s:
                logger.info("feed: {} is followed again", self._prefix)
            self.last_answer_s = time.monotonic()
            retry_s = RETRY_FIRST_S

    def _note_failure(self, error: CodedError) -> None:
        if self.last_failure_s <= self.last_answer_s:
            logger.warning("feed: {} is not followed: {}", self._prefix, error.reason)
        self.last_failure_s = time.monotonic()

    def _replace(self, answer: WatchAnswer) -> None:
        listed = {item.path for item in answer.objects}
        gone = tuple(path for path in self.objects if path not in listed)
        self._revision = answer.revision
        self.synced.set()
        self._publish(answer.objects, gone)

    def _apply(self, answer: WatchAnswer) -> None:
        self._revision = answer.revision
        self._publish(answer.objects, answer.deleted)

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
        for listener in self._listeners:
            listener(tuple(changed), gone)
