"""greengagetack.coordination.duty_board: makes the holders of duties known.

A holder sends heartbeats to the dispatcher, which publishes the holder as a fact. Every
daemon thus knows it without a call to the store.
"""

import asyncio
import time
from dataclasses import dataclass

from loguru import logger

from greengagetack.facts import FactTable, fact_type

__all__ = ["DutyBoard", "DutyHeartbeat", "DutyHolder"]

TICK_INTERVAL_S = 0.2
# A holder without a heartbeat for this long is no longer published.
SILENCE_S = 3.0
# The holder's next heartbeat publishes it again if this ever ends.
HOLDER_LIFETIME_S = 7 * 86_400.0


@dataclass(frozen=True, slots=True)
class DutyHeartbeat:
    """Says that a daemon holds a duty, or is about to acquire it.

    Attributes
    ----------
    control : str
        HOST:PORT of the daemon's control server.
    fence : int
        The holder's fencing token, 0 for a daemon that is about to acquire the lease.
    since_s : float
        Seconds since the lease was acquired.
    lease_version : int
        Stored version of the lease, 0 if the daemon does not hold it.
    is_released : bool
        Whether the daemon has just given the duty up.
    """

    duty: str
    node: str
    control: str
    fence: int
    since_s: float
    lease_version: int = 0
    is_released: bool = False


@fact_type("duty-holder")
@dataclass(frozen=True, slots=True)
class DutyHolder:
    """The daemon that holds a duty, or with a `fence` of 0 is about to acquire it."""

    duty: str
    node: str
    control: str
    fence: int


class DutyBoard:
    """Publishes the holders of duties while this daemon owns the table of facts."""

    def __init__(self, table: FactTable) -> None:
        self._table = table
        self._heard_s: dict[str, float] = {}
        # Duties whose holders may be published, so that the facts of a former owner are
        # retracted too.
        self._duties: set[str] = set()

    def watch(self, duty: str) -> None:
        """Retract the holder of a duty when its heartbeats end."""
        self._duties.add(duty)

    def holder(self, duty: str) -> DutyHolder | None:
        """Return the known holder of a duty, None if there is none."""
        return self._table.get(DutyHolder, duty)

    def other_holders(self, duty: str) -> frozenset[str]:
        """Return the VMs that hold another duty."""
        holders = (self.holder(other) for other in self._duties if other != duty)
        return frozenset(holder.node for holder in holders if holder is not None)

    def receive(self, heartbeat: DutyHeartbeat) -> bool:
        """Publish the sender of a heartbeat; return whether it is the known holder."""
        if not self._table.is_owner:
            return False
        self._duties.add(heartbeat.duty)
        now_s = time.monotonic()
        known = self.holder(heartbeat.duty)
        if heartbeat.is_released:
            if known is not None and known.node == heartbeat.node:
                self._retract(known, "released")
            return False
        if known is not None and known.node != heartbeat.node:
            is_alive = now_s - self._heard_s.get(heartbeat.duty, now_s) < SILENCE_S
            if is_alive and known.fence >= heartbeat.fence:
                return False
        self._heard_s[heartbeat.duty] = now_s
        holder = DutyHolder(
            heartbeat.duty, heartbeat.node, heartbeat.control, heartbeat.fence
        )
        if holder != known:
            logger.info(
                "duties: holder published",
                duty=holder.duty,
                holder=holder.node,
                fence=holder.fence,
                former=known.node if known else "",
                held_ms=int(heartbeat.since_s * 1000),
            )
            self._table.publish(holder.duty, holder, HOLDER_LIFETIME_S)
        return True

    async def run(self) -> None:
        """Retract holders that have become silent, until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        """Retract holders whose heartbeats have ended."""
        if not self._table.is_owner:
            self._heard_s.clear()
            return
        now_s = time.monotonic()
        for duty in self._duties:
            holder = self.holder(duty)
            if holder is None:
                continue
            silent_s = now_s - self._heard_s.setdefault(duty, now_s)
            if silent_s < SILENCE_S:
                continue
            self._retract(holder, f"silent for {silent_s:.1f} s")

    def _retract(self, holder: DutyHolder, reason: str) -> None:
        logger.info(
            "duties: holder retracted",
            duty=holder.duty,
            holder=holder.node,
            fence=holder.fence,
            reason=reason,
        )
        self._table.retract(DutyHolder, holder.duty)
        self._heard_s.pop(holder.duty, None)
