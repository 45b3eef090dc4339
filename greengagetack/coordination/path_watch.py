"""greengagetack.coordination.path_watch: passes the claim on if its holder is cut off.

The claim says that its holder lives and reaches the store. The holder also needs a path
to the replicas of the jobs that it runs.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

from loguru import logger

from greengagetack.coordination.messages import Member
from greengagetack.errors import CodedError
from greengagetack.world import Address

__all__ = ["ClaimHolder", "PathPeers", "PathWatch", "WorkPaths"]

# Daemons that are asked at once whether they reach the replicas.
MAX_ASKED = 8
# Pause after a search without a result, and after the claim has been passed on.
SEARCH_PAUSE_S = 0.5
HAND_OVER_PAUSE_S = 5.0


class ClaimHolder(Protocol):
    """The claim of this daemon."""

    @property
    def is_acting(self) -> bool:
        """Whether this daemon holds the claim and is not about to release it."""

    async def hand_over(self, successor: Member) -> bool:
        """Pass the claim to another daemon; return whether that succeeded."""


class WorkPaths(Protocol):
    """The paths to the replicas."""

    def is_lost(self, service: str) -> bool:
        """Whether this VM reaches none of a service's replicas."""

    async def check(self, service: str) -> bool:
        """Return whether a replica of a service accepts a connection now."""


class PathPeers(Protocol):
    """Calls to the other daemons."""

    async def reaches(self, address: Address, service: str) -> bool:
        """Return whether a daemon reaches a replica of a service."""


class PathWatch:
    """Hands the claim over while the paths to the jobs' replicas are lost.

    Parameters
    ----------
    services : callable
        Returns the services that run items of jobs.
    successors : callable
        Returns the other daemons, those that rank first for the claim first.
    """

    def __init__(
        self,
        claim: ClaimHolder,
        paths: WorkPaths,
        peers: PathPeers,
        services: Callable[[], list[str]],
        successors: Callable[[], list[Member]],
    ) -> None:
        self._claim = claim
        self._paths = paths
        self._peers = peers
        self._services = services
        self._successors = successors
        self._paused_until_s = float("-inf")

    async def reaches_work(self) -> bool:
        """Return whether this daemon may take the claim: it reaches all services."""
        checks: list[Awaitable[bool]] = [
            self._paths.check(service) for service in self._services()
        ]
        return all(await asyncio.gather(*checks))

    async def tick(self) -> None:
        """Pass the claim on if a path is lost and another daemon has one."""
        if not self._claim.is_acting or time.monotonic() < self._paused_until_s:
            return
        lost = [service for service in self._services() if self._paths.is_lost(service)]
        if not lost:
            return
        successor = await self._find_successor(lost[0])
        if successor is None:
            self._paused_until_s = time.monotonic() + SEARCH_PAUSE_S
            return
        logger.warning(
            "claim: passed on, as no replica of {} is reached from here",
            lost[0],
            successor=successor.node,
        )
        if await self._claim.hand_over(successor):
            self._paused_until_s = time.monotonic() + HAND_OVER_PAUSE_S

    async def _find_successor(self, service: str) -> Member | None:
        """Return the first daemon that answers that it reaches a service."""
        questions = [
            asyncio.create_task(self._ask(member, service))
            for member in self._successors()[:MAX_ASKED]
        ]
        try:
            for answer in asyncio.as_completed(questions):
                member = await answer
                if member is not None:
                    return member
        finally:
            for question in questions:
                question.cancel()
        return None

    async def _ask(self, member: Member, service: str) -> Member | None:
        """Return the daemon if it reaches a service, else None."""
        address = Address.parse(member.control)
        try:
            return member if await self._peers.reaches(address, service) else None
        except CodedError as error:
            logger.info(
                "claim: {} does not say whether it reaches {}",
                member.node,
                service,
                reason=error.reason,
            )
            return None
