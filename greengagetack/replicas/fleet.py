"""greengagetack.replicas.fleet: the replicas listed by discovery."""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable

from loguru import logger

from greengagetack.replicas.replica import Incarnation, Replica, ReplicaState

__all__ = ["Fleet"]

# An entry that expired during an outage of the store reappears within this time after
# the store's return: about two seconds according to the users of the platform.
EXPIRED_ENTRY_GRACE_S = 2.2
# Share of the drain period in which a leaving replica may still get new requests if no
# other replica of its service is left.
LAST_RESORT_SHARE = 0.5
MAX_REMEMBERED_LEAVING = 1_000


class Fleet:
    """Tracks the listed replicas; keeps entries lost in an outage for a grace period.

    Parameters
    ----------
    store_recovered_s : callable
        Returns the monotonic time of the store's last return, in seconds.
    drain_s : float
        Time after which a leaving replica must not get any new request, in seconds.
    """

    def __init__(
        self, store_recovered_s: Callable[[], float], drain_s: float = 0.0
    ) -> None:
        self._store_recovered_s = store_recovered_s
        self._last_resort_s = drain_s * LAST_RESORT_SHARE
        # Identifier and start of removed replicas, with the time of their announcement.
        self._left: OrderedDict[Incarnation, float] = OrderedDict()
        self._states: dict[str, ReplicaState] = {}
        # Time of the last removal of a replica, by service and software version.
        self._last_removal_s: dict[tuple[str, str], float] = {}
        self._expired_ids: set[str] = set()
        self._listeners: list[Callable[[], None]] = []
        self._removal_listeners: list[Callable[[Replica], None]] = []
        self._observed_limit_listeners: list[Callable[[ReplicaState], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def subscribe_removals(self, listener: Callable[[Replica], None]) -> None:
        """Call `listener` with each replica incarnation that was removed."""
        self._removal_listeners.append(listener)

    def subscribe_observed_limits(
        self, listener: Callable[[ReplicaState], None]
    ) -> None:
        """Call `listener` with each replica that announced another rate limit."""
        self._observed_limit_listeners.append(listener)

    def has_announced_leave(self, replica: Replica) -> bool:
        """Whether a replica that was removed was draining or had announced to leave."""
        return replica.is_draining or replica.incarnation in self._left

    def all_replicas(self) -> list[ReplicaState]:
        """Return the listed replicas of all services."""
        return list(self._states.values())

    def get(self, replica_id: str) -> ReplicaState | None:
        """Return a replica's state, None if it is not listed."""
        return self._states.get(replica_id)

    def replicas_of_service(self, service: str) -> list[ReplicaState]:
        """Return the listed replicas of a service."""
        return [s for s in self._states.values() if s.replica.service == service]

    def recent_software(self, service: str, period_s: float) -> set[str]:
        """Return the software versions of a service that were listed in a period."""
        since_s = time.monotonic() - period_s
        listed = self.replicas_of_service(service)
        return {state.replica.software_version for state in listed} | {
            software
            for (name, software), removed_s in self._last_removal_s.items()
            if name == service and removed_s >= since_s
        }

    def serving_replicas(self, service: str) -> list[ReplicaState]:
        """Return the replicas of a service that may get new requests.

        Replicas that announced that they leave are returned only while no other one
        is listed, and only for a part of the drain period.
        """
        listed = self.replicas_of_service(service)
        serving = [state for state in listed if state.is_serving]
        if serving:
            return serving
        now_s = time.monotonic()
        return [
            state
            for state in listed
            if not (state.is_gone or state.replica.is_draining)
            and state.leaving_since_s is not None
            and now_s - state.leaving_since_s < self._last_resort_s
        ]

    def update(self, changed: Iterable[Replica], removed: Iterable[str]) -> None:
        """Apply changed and removed entries."""
        for replica in changed:
            self._apply_entry(replica)
        for replica_id in removed:
            state = self._states.get(replica_id)
            if state is not None:
                self._handle_removal(replica_id, state)
        self._notify_listeners()

    def _apply_entry(self, replica: Replica) -> None:
        self._expired_ids.discard(replica.replica_id)
        state = self._states.get(replica.replica_id)
        is_new = state is None or state.replica.started_ms != replica.started_ms
        if state is None or is_new or state.replica.address != replica.address:
            if state is not None:
                self._mark_gone(state)
            self._states[replica.replica_id] = ReplicaState(
                replica,
                leaving_since_s=self._left.get(replica.incarnation),
                on_observed_limit=self._on_observed_limit,
            )
            logger.info(
                "replicas: {} of service {} at {} is listed",
                replica.replica_id,
                replica.service,
                replica.address,
            )
            return
        if replica.is_draining and not state.replica.is_draining:
            logger.info("replicas: {} is draining", replica.replica_id)
        state.apply_entry(replica)
        state.is_gone = False

    def _on_observed_limit(self, state: ReplicaState) -> None:
        for listener in self._observed_limit_listeners:
            listener(state)

    def _handle_removal(self, replica_id: str, state: ReplicaState) -> None:
        # Counted from the store's return: an entry that is removed later belongs to a
        # replica that leaves, and must not get requests for as long again.
        delay_s = self._store_recovered_s() + EXPIRED_ENTRY_GRACE_S - time.monotonic()
        if delay_s <= 0:
            self._remove(replica_id, state)
            return
        logger.info(
            "replicas: {} expired during a store outage, removal is delayed",
            replica_id,
            delay_ms=int(delay_s * 1000),
        )
        self._expired_ids.add(replica_id)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._remove_if_expired, replica_id, state)

    def _remove_if_expired(self, replica_id: str, state: ReplicaState) -> None:
        if replica_id in self._expired_ids and self._states.get(replica_id) is state:
            self._remove(replica_id, state)
            self._notify_listeners()

    def _remove(self, replica_id: str, state: ReplicaState) -> None:
        self._expired_ids.discard(replica_id)
        self._states.pop(replica_id, None)
        self._mark_gone(state)
        logger.info("replicas: {} is removed", replica_id)

    def _mark_gone(self, state: ReplicaState) -> None:
        state.is_gone = True
        key = (state.replica.service, state.replica.software_version)
        self._last_removal_s[key] = time.monotonic()
        if state.leaving_since_s is not None:
            self._left[state.replica.incarnation] = state.leaving_since_s
            while len(self._left) > MAX_REMEMBERED_LEAVING:
                self._left.popitem(last=False)
        for listener in self._removal_listeners:
            listener(state.replica)

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
