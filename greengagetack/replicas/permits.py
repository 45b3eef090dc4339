"""greengagetack.replicas.permits: permits for requests to rate-limited replicas.

The daemon that runs the jobs sends most requests to model replicas, so it also grants
the permits: its own requests need no call, and the others ask it once per request.
"""

import asyncio
import copy
import time
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.facts import FactTable, fact_type
from greengagetack.grants import OWNER_UNREACHABLE_PAUSE_S, Grant
from greengagetack.observability.metrics import Metrics
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.rate_limit import (
    TokenBucket,
    burst_permits,
    first_permits,
    grant_rate_per_s,
)
from greengagetack.replicas.replica import Incarnation, Replica, ReplicaState

__all__ = [
    "PermitOwner",
    "PermitRequest",
    "Permits",
    "RateLimit",
    "RateLimitNotice",
]

# An end of a limit takes this long to reach all daemons; until then some still ask for
# permits, which does not mean that the limit is back.
LIMIT_SPREAD_S = 3.0
# A replica names its limit in each response, so that a limit that is forgotten while it
# lasts is soon known again.
LIMIT_LIFETIME_S = 600.0
# Permits that reward calls leave for callers.
RESERVED_FOR_CALLERS = 1.0


@fact_type("rate_limit")
@dataclass(frozen=True, slots=True)
class RateLimit:
    """The limit of the replica that the fact's key names, as all daemons know it."""

    limit_per_s: float


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Asks for one request to a replica; `limit_per_s` is the limit seen here."""

    replica_id: str
    started_ms: int
    limit_per_s: float


@dataclass(frozen=True, slots=True)
class RateLimitNotice:
    """Notifies the owner of a limit that a replica named, None for no limit."""

    replica_id: str
    started_ms: int
    limit_per_s: float | None


class PermitOwner(Protocol):
    """Calls to the daemon that grants the permits."""

    async def request_permit(self, request: PermitRequest) -> Grant:
        """Ask the owner for one permit."""

    async def send_rate_limit(self, notice: RateLimitNotice) -> None:
        """Notify the owner of a replica's limit."""


class Permits:
    """Grants permits while this daemon is their owner, and else asks the owner.

    Parameters
    ----------
    owner : PermitOwner
        Calls to the owner, used while that is another daemon.
    facts : FactTable
        Spreads the limits; its owner grants the permits.
    """

    def __init__(
        self,
        fleet: Fleet,
        owner: PermitOwner,
        facts: FactTable,
        metrics: Metrics,
    ) -> None:
        self._fleet = fleet
        self._owner = owner
        self._facts = facts
        self._metrics = metrics
        self._owner_since_s: float | None = None
        self._owner_unreachable_until_s = float("-inf")
        self._buckets: dict[Incarnation, TokenBucket] = {}
        # Keys of the limits of replicas that are not listed here yet.
        self._unlisted: set[str] = set()
        self._notices: set[asyncio.Task[None]] = set()
        fleet.subscribe(self._apply_to_listed)
        fleet.subscribe_removals(self._on_removal)
        fleet.subscribe_observed_limits(self._on_observed_limit)
        facts.subscribe(RateLimit, self._on_fact)

    def _on_removal(self, replica: Replica) -> None:
        self._buckets.pop(replica.incarnation, None)
        if self._facts.is_owner:
            self._facts.retract(RateLimit, _limit_key(replica))

    # -- requests of this daemon

    async def acquire(self, state: ReplicaState) -> bool:
        """Return whether a request may be sent to a replica now.

        After a refusal, nothing is sent to the replica until the next permit is due.
        """
        if state.rate_limit_per_s is None:
            return True
        if time.monotonic() < state.rate_limited_until_s:
            return False
        if self._is_granting():
            permit = self._grant(state)
        else:
            permit = await self._request(state, state.rate_limit_per_s)
        self._metrics.add("rate_permits", granted=str(permit.is_granted).lower())
        if not permit.is_granted:
            state.rate_limited_until_s = time.monotonic() + permit.wait_s
        return permit.is_granted

    async def _request(self, state: ReplicaState, limit_per_s: float) -> Grant:
        now_s = time.monotonic()
        if now_s < self._owner_unreachable_until_s:
            return Grant(False, self._owner_unreachable_until_s - now_s)
        replica = state.replica
        request = PermitRequest(replica.replica_id, replica.started_ms, limit_per_s)
        try:
            return await self._owner.request_permit(request)
        except CodedError as error:
            logger.info(
                "permits: the owner of the permits for {} does not answer",
                replica.replica_id,
                reason=error.reason,
            )
            pause_s = OWNER_UNREACHABLE_PAUSE_S
            self._owner_unreachable_until_s = time.monotonic() + pause_s
            return Grant(False, pause_s)

    def has_permit(self, state: ReplicaState, is_reward: bool = False) -> bool:
        """Whether `take` may be called, which needs no call to another daemon."""
        if state.rate_limit_per_s is None:
            return True
        if not self._is_granting():
            return False
        reserved = RESERVED_FOR_CALLERS if is_reward else 0.0
        return self._refilled_bucket(state).level >= 1.0 + reserved

    @property
    def is_owner(self) -> bool:
        """Whether this daemon grants the permits."""
        return self._facts.is_owner

    def reading_copy(self) -> "Permits":
        """Return a copy to call `has_permit` of, which grants and refills nothing."""
        twin = copy.copy(self)
        twin._buckets = {key: copy.copy(one) for key, one in self._buckets.items()}
        return twin

    def take(self, state: ReplicaState) -> None:
        """Take a permit that `has_permit` has found."""
        if state.rate_limit_per_s is not None:
            self._refilled_bucket(state).take()

    # -- granting

    def _is_granting(self) -> bool:
        """Whether this daemon is the owner; keeps the time since when it is."""
        if not self._facts.is_owner:
            self._owner_since_s = None
            self._buckets.clear()
            return False
        if self._owner_since_s is None:
            self._owner_since_s = time.monotonic()
        return True

    def _owned_s(self) -> float:
        assert self._owner_since_s is not None
        return time.monotonic() - self._owner_since_s

    def _rate_per_s(self, state: ReplicaState) -> float:
        return grant_rate_per_s(state.rate_limit_per_s or 0.0, self._owned_s())

    def _refilled_bucket(self, state: ReplicaState) -> TokenBucket:
        now_s = time.monotonic()
        incarnation = state.replica.incarnation
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            bucket = TokenBucket(first_permits(self._owned_s()), now_s)
            self._buckets[incarnation] = bucket
        burst = burst_permits(state.rate_limit_per_s or 0.0)
        bucket.refill(now_s, self._rate_per_s(state), burst)
        return bucket

    def _grant(self, state: ReplicaState) -> Grant:
        if state.rate_limit_per_s is None:
            return Grant(True, 0.0)
        bucket = self._refilled_bucket(state)
        if bucket.level < 1.0:
            return Grant(False, bucket.wait_s(self._rate_per_s(state)))
        bucket.take()
        return Grant(True, 0.0)

    def handle_request(self, request: PermitRequest) -> Grant:
        """Answer another daemon's request for a permit."""
        state = self._listed_state(request.replica_id, request.started_ms)
        if state is None or not self._is_granting():
            return Grant(False, OWNER_UNREACHABLE_PAUSE_S)
        since_change_s = time.monotonic() - state.rate_limit_since_s
        if state.rate_limit_per_s is None and since_change_s > LIMIT_SPREAD_S:
            state.record_rate_limit(request.limit_per_s)
        return self._grant(state)

    def handle_notice(self, notice: RateLimitNotice) -> None:
        """Record a limit that a replica named to another daemon."""
        state = self._listed_state(notice.replica_id, notice.started_ms)
        if state is not None:
            state.record_rate_limit(notice.limit_per_s)

    def _listed_state(self, replica_id: str, started_ms: int) -> ReplicaState | None:
        state = self._fleet.get(replica_id)
        is_same = state is not None and state.replica.started_ms == started_ms
        return state if is_same else None

    # -- spreading limits

    def _on_observed_limit(self, state: ReplicaState) -> None:
        """Tell the owner of a limit that began, changed or ended."""
        if self._facts.is_owner:
            return
        replica = state.replica
        notice = RateLimitNotice(
            replica.replica_id, replica.started_ms, state.rate_limit_per_s
        )
        task = asyncio.create_task(self._send_notice(notice))
        self._notices.add(task)
        task.add_done_callback(self._notices.discard)

    async def _send_notice(self, notice: RateLimitNotice) -> None:
        try:
            await self._owner.send_rate_limit(notice)
        except CodedError as error:
            # Requests for permits name the limit too, and the next response without
            # one makes another daemon send this notice again.
            logger.info(
                "permits: limit of {} not sent to the owner",
                notice.replica_id,
                reason=error.reason,
            )

    async def publish_changes(self) -> None:
        """Publish the limits that differ from the known ones, while the owner."""
        if not self._is_granting():
            return
        for state in self._fleet.all_replicas():
            replica, limit_per_s = state.replica, state.rate_limit_per_s
            key = _limit_key(replica)
            if limit_per_s is None:
                self._facts.retract(RateLimit, key)
            elif not state.is_gone:
                self._facts.publish(key, RateLimit(limit_per_s), LIMIT_LIFETIME_S)

    def _on_fact(self, key: str, limit: RateLimit | None) -> None:
        self._unlisted.discard(key)
        is_listed = self._apply(key, limit)
        if limit is not None and not is_listed:
            self._unlisted.add(key)

    def _apply(self, key: str, limit: RateLimit | None) -> bool:
        """Record a limit at its replica; return whether that is listed."""
        replica_id, _, started_ms = key.rpartition("/")
        state = self._listed_state(replica_id, int(started_ms))
        if state is None:
            return False
        state.record_rate_limit(None if limit is None else limit.limit_per_s)
        return True

    def _apply_to_listed(self) -> None:
        """Apply the limits of replicas that have just been listed."""
        for key in list(self._unlisted):
            if self._apply(key, self._facts.get(RateLimit, key)):
                self._unlisted.discard(key)


def _limit_key(replica: Replica) -> str:
    return f"{replica.replica_id}/{replica.started_ms}"
