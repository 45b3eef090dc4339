"""greengagetack.weights.order_lease: lease on the right to send orders to replicas.

Replicas that do not check fencing numbers must never receive orders from two daemons
within a given time. The holder counts the lease from the moment it sent its last
renewal, on a clock that also advances while the VM is suspended. The next holder waits
until the lease must have expired, and then for the minimum time between the orders of
two daemons.
"""

import time

import msgspec
from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.objects.base import ObjectConflict, WatchedStore

__all__ = ["LEASE_PATH", "OrderLease", "OrderLeaseRecord", "takeover_wait_s"]

LEASE_PATH = "order-lease/main"
# Validity of the lease after a renewal.
LEASE_S = 1.6
RENEWAL_INTERVAL_S = 0.6
# No order is sent this close to the end of the lease, so that it is on its way before
# the lease ends.
SEND_MARGIN_S = 0.4
CLOCK_DRIFT_MARGIN_S = 0.3
# Interval for polling another holder's lease while this daemon wants it.
LEASE_POLL_INTERVAL_S = 0.4


class OrderLeaseRecord(msgspec.Struct, frozen=True):
    """The lease as stored.

    `quiet_s` is the time between the holder's last order and its release of the lease.
    """

    node: str
    fence: int
    renewals: int
    is_released: bool = False
    quiet_s: float = 0.0


def takeover_wait_s(
    is_released: bool,
    quiet_s: float,
    order_spacing_s: float,
    lease_s: float = LEASE_S,
    clock_drift_s: float = CLOCK_DRIFT_MARGIN_S,
) -> float:
    """Return how long a lease must stay unchanged before another VM may acquire it.

    The model checker calls this with ticks instead of seconds.

    Parameters
    ----------
    quiet_s : float
        Time between the holder's last order and its release of the lease.
    order_spacing_s : float
        Minimum time between the orders of two holders.
    """
    if is_released:
        return max(0.0, order_spacing_s + clock_drift_s - quiet_s)
    return lease_s + order_spacing_s + clock_drift_s


def _boottime_s() -> float:
    """Return the time of a clock that also advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class OrderLease:
    """Acquires, renews and releases the lease.

    Parameters
    ----------
    node : str
        Identifier of this VM; a restarted VM counts as the same holder.
    order_spacing_s : float
        Minimum time between the orders of two daemons, in seconds.
    """

    def __init__(self, node: str, store: WatchedStore, order_spacing_s: float) -> None:
        self._node = node
        self._store = store
        self._order_spacing_s = order_spacing_s
        self._seen_version = -1
        self._seen_s = float("-inf")
        self._next_poll_s = float("-inf")
        self._is_held = False
        self._version = 0
        self._record: OrderLeaseRecord | None = None
        self._valid_until_s = float("-inf")
        self._next_renewal_s = float("-inf")
        self._last_order_s = float("-inf")

    @property
    def fence(self) -> int:
        """The fencing number of this holder's orders."""
        return self._record.fence if self._record else 0

    @property
    def held_version(self) -> int:
        """The stored version of the lease while this daemon holds it, else 0."""
        return self._version if self._is_held else 0

    def record_version(self, version: int) -> None:
        """Record a lease version reported by its holder; this counts as a read.

        A successor that received the last renewal's version waits from that time
        instead of from its own first read.
        """
        if version > self._seen_version:
            self._seen_version = version
            self._seen_s = _boottime_s()

    def may_order(self) -> bool:
        """Whether an order may be sent right now."""
        return self._is_held and _boottime_s() < self._valid_until_s - SEND_MARGIN_S

    def record_order(self) -> None:
        """Record that an order was sent."""
        self._last_order_s = _boottime_s()

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
            logger.warning("order lease: not read: {}", error.reason)
            return
        if version != self._seen_version:
            self._seen_version = version
            self._seen_s = now_s
        is_own = record is not None and record.node == self._node
        wait_s = 0.0
        if record is not None and not is_own:
            wait_s = takeover_wait_s(
                record.is_released, record.quiet_s, self._order_spacing_s
            )
        remaining_s = self._seen_s + wait_s - now_s
        if remaining_s > 0:
            self._next_poll_s = now_s + min(LEASE_POLL_INTERVAL_S, remaining_s)
            return
        fence = record.fence + 1 if record else 1
        sent_s = _boottime_s()
        # The time of orders sent before an expiry or a restart is unknown, so the quiet
        # time counts from here.
        self._last_order_s = sent_s
        await self._write(OrderLeaseRecord(self._node, fence, 0), version, sent_s)
        if self._is_held:
            logger.info(
                "order lease: acquired",
                fence=fence,
                former=record.node if record else "",
                waited_ms=int((sent_s - self._seen_s) * 1000),
            )

    async def _read(self) -> tuple[int, OrderLeaseRecord | None]:
        stored = await self._store.read(LEASE_PATH)
        if stored is None:
            return 0, None
        try:
            return stored.version, msgspec.convert(stored.value, OrderLeaseRecord)
        except msgspec.ValidationError as error:
            logger.warning("order lease: not decoded: {}", error)
            return stored.version, OrderLeaseRecord("", 0, 0)

    async def _renew(self, now_s: float) -> None:
        assert self._record is not None
        renewed = msgspec.structs.replace(
            self._record, renewals=self._record.renewals + 1
        )
        await self._write(renewed, self._version, now_s)

    async def _write(
        self, record: OrderLeaseRecord, version: int, sent_s: float
    ) -> None:
        value = msgspec.to_builtins(record)
        try:
            self._version = await self._store.write(LEASE_PATH, value, version)
        except ObjectConflict:
            logger.info("order lease: lost to another daemon", fence=self.fence)
            self._is_held = False
            return
        except CodedError as error:
            logger.warning("order lease: not renewed: {}", error.reason)
            return
        self._record = record
        self._is_held = True
        self._valid_until_s = sent_s + LEASE_S
        self._next_renewal_s = sent_s + RENEWAL_INTERVAL_S

    async def release(self) -> None:
        """Release the lease and store the time since the last order."""
        if not self._is_held or self._record is None:
            return
        self._is_held = False
        quiet_s = min(3600.0, _boottime_s() - self._last_order_s)
        record = msgspec.structs.replace(
            self._record, is_released=True, quiet_s=quiet_s
        )
        try:
            await self._store.write(
                LEASE_PATH, msgspec.to_builtins(record), self._version
            )
            logger.info("order lease: released", fence=record.fence, quiet_s=quiet_s)
        except CodedError as error:
            logger.warning("order lease: not released: {}", error.reason)
