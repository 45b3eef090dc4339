"""greengagetack.coordination.duty_contact: how a holder stays known and in contact."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from greengagetack.coordination.duty_api import DutyApi
from greengagetack.coordination.duty_board import DutyBoard, DutyHeartbeat
from greengagetack.coordination.duty_lease import DutyLease
from greengagetack.coordination.messages import Member
from greengagetack.errors import CodedError
from greengagetack.world import Address

__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "INFORMED_SUCCESSORS",
    "ApiContact",
    "DutyHeartbeats",
    "DutyPeers",
]

HEARTBEAT_INTERVAL_S = 1.0
# Daemons that rank next and get the heartbeats too, so that a successor waits from the
# last renewal instead of from its own first read.
INFORMED_SUCCESSORS = 2
# A daemon that did not answer a heartbeat gets none for this long; the next one in the
# order of ranks is informed instead.
SUCCESSOR_PAUSE_S = 5.0
# The dispatcher no longer publishes a holder after 3 s without a heartbeat; a holder
# that is not confirmed for this long may miss counts and orders of other daemons.
CONFIRMATION_S = 2.0
PUBLISHED_S = 3.0
API_SILENCE_S = 3.0
MAX_ASKED = 8


class DutyPeers(Protocol):
    """Calls to other daemons."""

    async def send_duty_heartbeat(
        self, heartbeat: DutyHeartbeat, address: Address | None = None
    ) -> bool:
        """Send a heartbeat, by default to the dispatcher; return its answer."""

    async def reaches_api(self, address: Address) -> bool:
        """Return whether a daemon reaches the platform's API."""


class DutyHeartbeats:
    """Tells the dispatcher and the next successors who holds a duty.

    Parameters
    ----------
    is_dispatcher : callable
        Returns whether this daemon is the dispatcher.
    ranked : callable
        Returns all daemons in the order in which they take the duty.
    """

    def __init__(
        self,
        duty: str,
        local_member: Member,
        lease: DutyLease,
        board: DutyBoard,
        is_dispatcher: Callable[[], bool],
        peers: DutyPeers,
        ranked: Callable[[], list[Member]],
    ) -> None:
        self._duty = duty
        self._local_member = local_member
        self._lease = lease
        self._board = board
        self._is_dispatcher = is_dispatcher
        self._peers = peers
        self._ranked = ranked
        self._acquired_s = float("-inf")
        self._confirmed_s = float("-inf")
        self._answered_s = float("-inf")
        # When the dispatcher began to publish this daemon.
        self._known_since_s: float | None = None
        self._silent_until_s: dict[str, float] = {}

    def note_acquired(self) -> None:
        """Start to count the times since the lease was acquired."""
        self._acquired_s = self._answered_s = time.monotonic()

    def note_released(self) -> None:
        """Forget that the others know this daemon as the holder."""
        self._known_since_s = None

    @property
    def is_confirmed(self) -> bool:
        """Whether the dispatcher has just published this daemon as the holder."""
        return time.monotonic() - self._confirmed_s < CONFIRMATION_S

    @property
    def known_s(self) -> float:
        """Seconds since which the others can know this daemon, 0 if they do not."""
        now_s = time.monotonic()
        is_known = now_s - self._confirmed_s < PUBLISHED_S
        if not is_known or self._known_since_s is None:
            return 0.0
        return now_s - self._known_since_s

    @property
    def unanswered_s(self) -> float:
        """Seconds since a dispatcher last answered the holder."""
        return time.monotonic() - self._answered_s

    def successors(self) -> list[Member]:
        """Return the other daemons by rank, without those that did not answer."""
        now_s = time.monotonic()
        return [
            member
            for member in self._ranked()
            if member.node != self._local_member.node
            and self._silent_until_s.get(member.node, now_s) <= now_s
        ]

    async def send(self, is_holder: bool, is_released: bool = False) -> None:
        """Send a heartbeat of the holder, or of a daemon about to acquire the lease."""
        heartbeat = DutyHeartbeat(
            self._duty,
            self._local_member.node,
            self._local_member.control,
            self._lease.fence if is_holder else 0,
            time.monotonic() - self._acquired_s if is_holder else 0.0,
            self._lease.held_version if is_holder else 0,
            is_released,
        )
        await asyncio.gather(
            self._send_to_dispatcher(heartbeat),
            *(
                self._send_to_successor(heartbeat, member)
                for member in self.successors()[:INFORMED_SUCCESSORS]
                if is_holder or is_released
            ),
        )

    async def _send_to_dispatcher(self, heartbeat: DutyHeartbeat) -> None:
        if self._is_dispatcher():
            is_known = self._board.receive(heartbeat)
        else:
            try:
                is_known = await self._peers.send_duty_heartbeat(heartbeat)
            except CodedError as error:
                logger.info(
                    "duties: the dispatcher does not answer a heartbeat",
                    duty=self._duty,
                    reason=error.reason,
                )
                return
        self._answered_s = now_s = time.monotonic()
        if not is_known:
            return
        if now_s - self._confirmed_s > PUBLISHED_S or self._known_since_s is None:
            self._known_since_s = now_s
        self._confirmed_s = now_s

    async def _send_to_successor(
        self, heartbeat: DutyHeartbeat, member: Member
    ) -> None:
        try:
            address = Address.parse(member.control)
            await self._peers.send_duty_heartbeat(heartbeat, address)
        except CodedError as error:
            until_s = time.monotonic() + SUCCESSOR_PAUSE_S
            self._silent_until_s[member.node] = until_s
            logger.debug("duties: no heartbeat to {}: {}", member.node, error.reason)


class ApiContact:
    """Finds out whether only other daemons reach the platform's API."""

    def __init__(
        self,
        duty: str,
        api: DutyApi,
        peers: DutyPeers,
        others: Callable[[], list[Member]],
    ) -> None:
        self._duty = duty
        self._api = api
        self._peers = peers
        self._others = others
        self._reached_s = float("-inf")

    def note_reached(self) -> None:
        """Record that the API has answered, or that a new holder begins to call it."""
        self._reached_s = time.monotonic()

    async def is_lost(self) -> bool:
        """Return whether others reach the API that this daemon has not reached."""
        if time.monotonic() - self._reached_s < HEARTBEAT_INTERVAL_S:
            return False
        if await self._api.is_reachable():
            self.note_reached()
            return False
        silent_s = time.monotonic() - self._reached_s
        if silent_s < API_SILENCE_S:
            return False
        asked = self._others()[:MAX_ASKED]
        answers = await asyncio.gather(*(self._ask(member) for member in asked))
        reaching = [node for node in answers if node]
        logger.warning(
            "duties: the platform's API is not reached from here",
            duty=self._duty,
            silent_ms=int(silent_s * 1000),
            reached_from=",".join(reaching),
        )
        return bool(reaching)

    async def _ask(self, member: Member) -> str:
        """Return a daemon's name if it reaches the platform's API."""
        try:
            address = Address.parse(member.control)
            return member.node if await self._peers.reaches_api(address) else ""
        except CodedError as error:
            logger.debug("duties: {} does not answer: {}", member.node, error.reason)
            return ""
