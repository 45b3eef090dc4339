"""greengagetack.weights.order_lease: the right to give orders to replicas.

Replicas that do not check fencing tokens must never get orders from two daemons
within a given time. The holder trusts its lease only from the sending of its last
renewal on, by a clock that counts pauses. The next holder waits until the lease
must have ended and then as long as orders of two daemons must lie apart.
"""

import time

import msgspec
from loguru import logger

from greengagetack.errors import CodedError
from greengagetack.objects.base import ObjectConflict, WatchedStore

__all__ = ["LEASE_PATH", "OrderLease", "OrderLeaseRecord", "takeover_wait_s"]

LEASE_PATH = "order-lease/main"
# Time for which a renewal holds.
LEASE_S = 1.6
RENEW_S = 0.6
# An order must be on its way before the lease ends.
SEND_MARGIN_S = 0.4
DRIFT_MARGIN_S = 0.3
# How often another's lease is looked at while this daemon wants it.
LOOK_S = 0.4


class OrderLeaseRecord(msgspec.Struct, frozen=True):
    """The lease as stored; `quiet_s` is how long ago a giver-up last sent an order."""

    node: str
    fence: int
    renewals: int
    is_released: bool = False
    quiet_s: float = 0.0


def takeover_wait_s(
    is_released: bool,
    quiet_s: float,
    apart_s: float,
    lease_s: float = LEASE_S,
    drift_s: float = DRIFT_MARGIN_S,
) -> float:
    """Return how long a lease must be seen unchanged before another may take it.

    The model calls this with ticks for seconds.

    Parameters
    ----------
    quiet_s : float
        How long ago the holder had sent its last order when it released the lease.
    apart_s : float
        How far orders of two holders must lie apart.
    """
    if is_released:
        return max(0.0, apart_s + drift_s - quiet_s)
    return lease_s + apart_s + drift_s


def _pause_proof_s() -> float:
    """Return seconds of a clock that goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class OrderLease:
    """Takes, renews and releases the lease.

    Parameters
    ----------
    node : str
        This VM; a VM that restarts is the same holder.
    apart_s : float
        How far orders of two daemons must lie apart, in seconds.
    """

    def __init__(self, node: str, store: WatchedStore, apart_s: float) -> None:
        self._node = node
        self._store = store
        self._apart_s = apart_s
        self._seen_version = -1
        self._seen_s = float("-inf")
        self._next_look_s = float("-inf")
        self._is_held = False
        self._version = 0
        self._record: OrderLeaseRecord | None = None
        self._valid_until_s = float("-inf")
        self._next_renewal_s = float("-inf")
        self._last_order_s = float("-inf")

    @property
    def fence(self) -> int:
        """The fencing token of this holder's orders."""
        return self._record.fence if self._record else 0

    @property
    def held_version(self) -> int:
        """The version of the lease in the store while it is held, else 0."""
        return self._version if self._is_held else 0

    def note_seen(self, version: int) -> None:
        """Take the holder's word that the lease had a version; it counts as a look.

        A successor that has heard of the last renewal waits from then on, not from
        its own first look.
        """
        if version > self._seen_version:
            self._seen_version = version
            self._seen_s = _pause_proof_s()

    def may_order(self) -> bool:
        """Whether an order may be sent right now."""
        return self._is_held and _pause_proof_s() < self._valid_until_s - SEND_MARGIN_S

    def note_order(self) -> None:
        """Remember that an order was sent."""
        self._last_order_s = _pause_proof_s()

    async def keep(self) -> None:
        """Take or renew the lease if it is time to."""
        now_s = _pause_proof_s()
        if self._is_held:
            if now_s >= self._next_renewal_s:
                await self._renew(now_s)
            return
        if now_s < self._next_look_s:
            return
        self._next_look_s = now_s + LOOK_S
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
            wait_s = takeover_wait_s(record.is_released, record.quiet_s, self._apart_s)
        left_s = self._seen_s + wait_s - now_s
        if left_s > 0:
            self._next_look_s = now_s + min(LOOK_S, left_s)
            return
        fence = record.fence + 1 if record else 1
        sent_s = _pause_proof_s()
        # Orders from before a lapse or a restart are not remembered.
        self._last_order_s = sent_s
        await self._write(OrderLeaseRecord(self._node, fence, 0), version, sent_s)
        if self._is_held:
            logger.info(
                "order lease: taken",
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
            logger.warning("order lease: cannot be read: {}", error)
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
        self._next_renewal_s = sent_s + RENEW_S

    async def release(self) -> None:
        """Give the lease up and say how long ago the last order was sent."""
        if not self._is_held or self._record is None:
            return
        self._is_held = False
        quiet_s = min(3600.0, _pause_proof_s() - self._last_order_s)
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
