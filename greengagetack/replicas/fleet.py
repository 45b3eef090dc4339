"""greengagetack.replicas.fleet: all replicas that discovery lists."""

import asyncio
import time
from collections.abc import Callable, Iterable

from loguru import logger

from greengagetack.replicas.replica import Replica, ReplicaState

__all__ = ["Fleet"]

# An entry that lapsed in an outage of the store is back within this time (users'
# letter: about two seconds).
LAPSE_GRACE_S = 2.2
# A store that failed less than this ago may have dropped entries by itself.
UNSTABLE_S = 3.0


class Fleet:
    """Keeps the state of each listed replica; entries that lapse wait a while.

    Parameters
    ----------
    store_failed_s : callable
        Returns the monotonic time of the store's last failure, in seconds.
    """

    def __init__(self, store_failed_s: Callable[[], float]) -> None:
        self._store_failed_s = store_failed_s
        self._states: dict[str, ReplicaState] = {}
        self._lapsed: set[str] = set()
        self._listeners: list[Callable[[], None]] = []
        self._removal_listeners: list[Callable[[Replica], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def subscribe_removals(self, listener: Callable[[Replica], None]) -> None:
        """Call `listener` with each incarnation that is gone for good."""
        self._removal_listeners.append(listener)

    def get(self, replica_id: str) -> ReplicaState | None:
        """Return a replica's state, None if it is not listed."""
        return self._states.get(replica_id)

    def of_service(self, service: str) -> list[ReplicaState]:
        """Return the listed replicas of a service."""
        return [s for s in self._states.values() if s.replica.service == service]

    def update(self, changed: Iterable[Replica], removed: Iterable[str]) -> None:
        """Take changed and removed entries."""
        for replica in changed:
            self._take(replica)
        for replica_id in removed:
            state = self._states.get(replica_id)
            if state is not None:
                self._lapse(replica_id, state)
        self._notify()

    def _take(self, replica: Replica) -> None:
        self._lapsed.discard(replica.replica_id)
        state = self._states.get(replica.replica_id)
        is_new = state is None or state.replica.started_ms != replica.started_ms
        if state is None or is_new or state.replica.address != replica.address:
            if state is not None:
                self._forget(state)
            self._states[replica.replica_id] = ReplicaState(replica)
            logger.info(
                "replicas: {} of {} at {} is listed",
                replica.replica_id,
                replica.service,
                replica.address,
            )
            return
        if replica.is_draining and not state.replica.is_draining:
            logger.info("replicas: {} is draining", replica.replica_id)
        state.replica = replica
        state.is_gone = False

    def _lapse(self, replica_id: str, state: ReplicaState) -> None:
        if time.monotonic() - self._store_failed_s() > UNSTABLE_S:
            self._remove(replica_id, state)
            return
        logger.info("replicas: {} lapsed while the store was away", replica_id)
        self._lapsed.add(replica_id)
        loop = asyncio.get_running_loop()
        loop.call_later(LAPSE_GRACE_S, self._remove_if_lapsed, replica_id, state)

    def _remove_if_lapsed(self, replica_id: str, state: ReplicaState) -> None:
        if replica_id in self._lapsed and self._states.get(replica_id) is state:
            self._remove(replica_id, state)
            self._notify()

    def _remove(self, replica_id: str, state: ReplicaState) -> None:
        self._lapsed.discard(replica_id)
        self._states.pop(replica_id, None)
        self._forget(state)
        logger.info("replicas: {} is gone", replica_id)

    def _forget(self, state: ReplicaState) -> None:
        state.is_gone = True
        for listener in self._removal_listeners:
            listener(state.replica)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
