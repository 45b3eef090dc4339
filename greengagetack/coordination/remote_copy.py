"""greengagetack.coordination.remote_copy: another daemon's copy as a feed's source."""

import time
from collections.abc import Awaitable, Callable

from loguru import logger

from greengagetack.coordination.client import Copy, CopyRefused, PeerClient
from greengagetack.errors import PeerUnreachable
from greengagetack.freezes import boottime_s
from greengagetack.objects.base import HistoryGone, WatchAnswer
from greengagetack.world import Address

__all__ = ["RemoteCopy"]

# Pause of a source after a failed call. It doubles while the daemon stays unreachable:
# the member list names a dead daemon for up to two minutes.
FAILURE_PAUSE_S = 1.0
MAX_FAILURE_PAUSE_S = 8.0
# Wait of the first watch after a failure, so that another failure costs little time.
PROBE_WAIT_S = 0.1
# A daemon that has refused a call within this time is alive.
RECENT_REFUSAL_S = 2.0
MS_PER_S = 1_000


class RemoteCopy:
    """Reads the copy that a daemon keeps, and remembers its failures.

    A refused prefix is paused alone; an unreachable daemon is paused for all prefixes.

    Parameters
    ----------
    on_dispatcher : callable
        Called with the address when an answer shows that its daemon runs the jobs.
    """

    def __init__(
        self,
        address: Address,
        peers: PeerClient,
        on_dispatcher: Callable[[Address], None],
    ) -> None:
        self.address = address
        self._peers = peers
        self._on_dispatcher = on_dispatcher
        self._failures = 0
        self._paused_until_s = float("-inf")
        self._refused_until_s: dict[str, float] = {}
        self._last_refusal_s = float("-inf")
        self._failed_prefixes: set[str] = set()
        self._confirmed_s: dict[str, float] = {}

    def has_failed(self, prefix: str) -> bool:
        """Whether the last call of a prefix has failed."""
        return prefix in self._failed_prefixes

    def is_usable(self, prefix: str) -> bool:
        """Whether no call of this prefix has failed just now."""
        refused_until_s = self._refused_until_s.get(prefix, float("-inf"))
        return time.monotonic() >= max(self._paused_until_s, refused_until_s)

    @property
    def is_alive_without_copy(self) -> bool:
        """Whether the daemon has just answered that its copy is not confirmed."""
        return time.monotonic() - self._last_refusal_s < RECENT_REFUSAL_S

    def record_overdue(self, prefix: str) -> None:
        """Record that the store has answered before this daemon."""
        self._record_silence(prefix)

    async def list(self, prefix: str) -> WatchAnswer:
        """Return all objects of the copy under a prefix."""
        return await self._record(
            prefix, self._peers.list_objects(self.address, prefix)
        )

    async def watch(self, prefix: str, after: int, timeout_s: float) -> WatchAnswer:
        """Wait for changes of the copy under a prefix."""
        wait_s = min(timeout_s, PROBE_WAIT_S) if self._failures else timeout_s
        confirmed_s = self._confirmed_s.get(prefix)
        age_s = None if confirmed_s is None else boottime_s() - confirmed_s
        call = self._peers.watch_objects(self.address, prefix, after, wait_s, age_s)
        return await self._record(prefix, call)

    async def _record(self, prefix: str, call: Awaitable[Copy]) -> WatchAnswer:
        sent_s = boottime_s()
        try:
            copy = await call
        except HistoryGone:
            self._record_answer(prefix)
            raise
        except CopyRefused:
            self._failed_prefixes.add(prefix)
            now_s = time.monotonic()
            self._failures = 0
            self._last_refusal_s = now_s
            self._refused_until_s[prefix] = now_s + FAILURE_PAUSE_S
            raise
        except PeerUnreachable as error:
            self._log_silence(prefix, sent_s, error)
            self._record_silence(prefix)
            raise
        self._record_answer(prefix)
        answered_s = min(boottime_s(), sent_s + copy.answer.waited_s)
        self._confirmed_s[prefix] = answered_s - copy.answer.age_s
        if copy.is_from_dispatcher:
            self._on_dispatcher(self.address)
        return copy.answer

    def _record_answer(self, prefix: str) -> None:
        self._failures = 0
        self._failed_prefixes.discard(prefix)

    def _log_silence(self, prefix: str, sent_s: float, error: PeerUnreachable) -> None:
        logger.info(
            "copy: no answer from a daemon",
            prefix=prefix,
            source=str(self.address),
            took_ms=int((boottime_s() - sent_s) * MS_PER_S),
            confirmed_age_ms=self._confirmed_age_ms(prefix),
            reason=error.reason,
        )

    def _confirmed_age_ms(self, prefix: str) -> int | None:
        """Return the age of the daemon's last copy, None if it never gave one."""
        confirmed_s = self._confirmed_s.get(prefix)
        if confirmed_s is None:
            return None
        return int((boottime_s() - confirmed_s) * MS_PER_S)

    def _record_silence(self, prefix: str) -> None:
        self._failed_prefixes.add(prefix)
        pause_s = min(MAX_FAILURE_PAUSE_S, FAILURE_PAUSE_S * 2**self._failures)
        # The feeds of a daemon fail together; that counts once.
        if time.monotonic() >= self._paused_until_s:
            self._failures += 1
            self._paused_until_s = time.monotonic() + pause_s
