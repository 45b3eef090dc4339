"""greengagetack.coordination.duty_lease: lease on a role with a single holder.

The receivers of a duty's calls do not check fencing tokens, so they must never receive
calls from two daemons within a given time. The holder counts the lease from the moment
it sent its last renewal, on a clock that also advances while the VM is suspended. The
next holder waits until the lease must have expired, and then for the minimum time
between the calls of two daemons.
"""

import time

import msgspec
from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.objects.base import ObjectConflict, WatchedStore

__all__ = ["ORDER_LEASE_PATH", "DutyLease", "LeaseRecord", "takeover_wait_s"]

# The lease on weight load orders, which the previous release holds in the same way.
ORDER_LEASE_PATH = "order-lease/main"
# Validity of the lease after a renewal.
LEASE_S = 1.6
RENEWAL_INTERVAL_S = 0.6
# No call is sent this close to the end of the lease, so that it is on its way before
# the lease ends.
SEND_MARGIN_S = 0.4
CLOCK_DRIFT_MARGIN_S = 0.3
# Interval for polling another holder's lease while this daemon wants it.
LEASE_POLL_INTERVAL_S = 0.4
MAX_QUIET_S = 3600.0


class LeaseRecord(msgspec.Struct, frozen=True):
    """The lease as stored.

    `quiet_s` is the time between the holder's last call and its release of the lease.
    """

    node: str
    fence: int
    renewals: int
    is_released: bool = False
    quiet_s: float = 0.0


def takeover_wait_s(
    is_released: bool,
    quiet_s: float,
    spacing_s: float,
    lease_s: float = LEASE_S,
    clock_drift_s: float = CLOCK_DRIFT_MARGIN_S,
) -> float:
    """Return how long a lease must stay unchanged before another VM may acquire it.

    The model checker calls this with ticks instead of seconds.

    Parameters
    ----------
    quiet_s : float
        Time between the holder's last call and its release of the lease.
    spacing_s : float
        Minimum time between the calls of two holders.
    """
    if is_released:
        return max(0.0, spacing_s + clock_drift_s - quiet_s)
    return lease_s + spacing_s + clock_drift_s


def _boottime_s() -> float:
    """Return the time of a clock that also advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class DutyLease:
    """Acquires, renews and releases the lease of a duty.

    Parameters
    ----------
    node : str
        Identifier of this VM; a restarted VM counts as the same holder.
    path : str
        Path of the lease's record in the store.
    spacing_s : float
        Minimum time between the calls of two daemons, in seconds.
    name : str
        Name of the duty in log lines.
    lease_s : float
        Validity of the lease after a renewal.
    renewal_s : float
        Interval between renewals.
    """

    def __init__(
        self,
        node: str,
        store: WatchedStore,
        path: str,
        spacing_s: float,
        name: str = "order",
        lease_s: float = LEASE_S,
        renewal_s: float = RENEWAL_INTERVAL_S,
    ) -> None:
        self._node = node
        self._store = store
        self._path = path
        self._spacing_s = spacing_s
        self._name = f"{name} lease"
        self._lease_s = lease_s
        self._renewal_s = renewal_s
        self._seen_version = -1
        self._seen_s = float("-inf")
        self._next_poll_s = float("-inf")
        self._is_held = False
        self._version = 0
        self._record: LeaseRecord | None = None
        self._valid_until_s = float("-inf")
        self._next_renewal_s = float("-inf")
        self._last_call_s = float("-inf")
        self._last_answer_s = float("-inf")

    @property
    def fence(self) -> int:
        """The fencing token of this holder's calls."""
        return self._record.fence if self._record else 0

    @property
    def held_version(self) -> int:
        """The stored version of the lease while this daemon holds it, else 0."""
        return self._version if self._is_held else 0

    @property
    def answered_s_ago(self) -> float:
        """Seconds since the store last answered a call about the lease."""
        return _boottime_s() - self._last_answer_s

    def record_version(self, version: int) -> None:
        """Record a lease version reported by its holder; this counts as a read.

        A successor that received the last renewal's version waits from that time
        instead of from its own first read.
        """
        if version > self._seen_version:
            self._seen_version = version
            self._seen_s = _boottime_s()

    async def observe(self) -> None:
        """Read the lease once, so that a later acquisition waits from now on.

        A daemon that the holder does not inform, because it has failed before this one
        started, would otherwise wait from the time at which it begins to acquire.
        """
        now_s = _boottime_s()
        try:
            version, _ = await self._read()
        except CodedError as error:
            logger.info("{}: not read: {}", self._name, error.reason)
            return
        if version != self._seen_version:
            self._seen_version = version
            self._seen_s = now_s

    def may_act(self) -> bool:
        """Whether a call may be sent right now."""
        return self._is_held and _boottime_s() < self._valid_until_s - SEND_MARGIN_S

    def record_call(self) -> None:
        """Record that a call was sent."""
        self._last_call_s = _boottime_s()

    async def maintain(self) -> None:
        """Acquire or renew the lease if this is due."""
        now_s = _boottime_s()
        if self._is_held:
            if now_s >= self._next_renewal_s:
                await self._renew(now_s)
            return
        if now_s < self._next_poll_s:
            return
        self._next_poll_s = now_s + LEASE_POLL_INTERVAL_S
        try:
            version, record = await self._read()
        except CodedError as error:
            logger.warning("{}: not read: {}", self._name, error.reason)
            return
        self._last_answer_s = _boottime_s()
        if version != self._seen_version:
            self._seen_version = version
            self._seen_s = now_s
        is_own = record is not None and record.node == self._node
        wait_s = 0.0
        if record is not None and not is_own:
            wait_s = takeover_wait_s(
                record.is_released, record.quiet_s, self._spacing_s, self._lease_s
            )
        remaining_s = self._seen_s + wait_s - now_s
        if remaining_s > 0:
            self._next_poll_s = now_s + min(LEASE_POLL_INTERVAL_S, remaining_s)
            return
        fence = record.fence + 1 if record else 1
        sent_s = _boottime_s()
        # The time of calls sent before an expiry or a restart is unknown, so the quiet
        # time counts from here.
        self._last_call_s = sent_s
        await self._write(LeaseRecord(self._node, fence, 0), version, sent_s)
        if self._is_held:
            logger.info(
                f"{self._name}: acquired",
                fence=fence,
                former=record.node if record else "",
                waited_ms=int((sent_s - self._seen_s) * 1000),
            )

    async def _read(self) -> tuple[int, LeaseRecord | None]:
        stored = await self._store.read(self._path)
        if stored is None:
            return 0, None
        try:
            return stored.version, msgspec.convert(stored.value, LeaseRecord)
        except msgspec.ValidationError as error:
            logger.warning("{}: not decoded: {}", self._name, error)
            return stored.version, LeaseRecord("", 0, 0)

    async def _renew(self, now_s: float) -> None:
        assert self._record is not None
        renewed = msgspec.structs.replace(
            self._record, renewals=self._record.renewals + 1
        )
        await self._write(renewed, self._version, now_s)

    async def _write(self, record: LeaseRecord, version: int, sent_s: float) -> None:
        value = msgspec.to_builtins(record)
        try:
            self._version = await self._store.write(self._path, value, version)
        except ObjectConflict:
            logger.info(f"{self._name}: lost to another daemon", fence=self.fence)
            self._is_held = False
            return
        except CodedError as error:
            logger.warning("{}: not renewed: {}", self._name, error.reason)
            return
        self._last_answer_s = _boottime_s()
        self._record = record
        self._is_held = True
        self._valid_until_s = sent_s + self._lease_s
        self._next_renewal_s = sent_s + self._renewal_s

    async def release(self) -> None:
        """Release the lease and store the time since the last call."""
        if not self._is_held or self._record is None:
            return
        self._is_held = False
        quiet_s = min(MAX_QUIET_S, _boottime_s() - self._last_call_s)
        record = msgspec.structs.replace(
            self._record, is_released=True, quiet_s=quiet_s
        )
        try:
            await self._store.write(
                self._path, msgspec.to_builtins(record), self._version
            )
            logger.info(f"{self._name}: released", fence=record.fence, quiet_s=quiet_s)
        except CodedError as error:
            logger.warning("{}: not released: {}", self._name, error.reason)

    def abandon(self) -> None:
        """Stop using the lease without a release, as a call may still be on its way."""
        self._is_held = False
