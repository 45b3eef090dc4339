"""greengagetack.replicas.paths: whether this VM reaches the replicas of a service.

A VM may be cut off from all replicas while its callers, the store and the other VMs
still reach it. Then no replica answers, and no new connection can be opened.
"""

import asyncio
import random
import time
from typing import Protocol

from loguru import logger

from greengagetack.http1.message import ExchangeError
from greengagetack.replicas.fleet import Fleet
from greengagetack.replicas.replica import ReplicaState
from greengagetack.world import Address

__all__ = ["ConnectionOpener", "ReplicaPaths"]

# Replicas that a check connects to: the others follow once the first one is slow.
MAX_CHECKED = 6
FIRST_CHECK_S = 0.1
# Pause between checks of a service, while its path is in doubt and while it is lost.
CHECK_PAUSE_S = 0.3
LOST_CHECK_PAUSE_S = 0.5


class ConnectionOpener(Protocol):
    """Opens connections to replicas."""

    async def open_idle(self, address: Address) -> None:
        """Open a connection for later use; raises `ConnectFailed` if that fails."""


class ReplicaPaths:
    """Checks the paths to the replicas of a service when they are in doubt."""

    def __init__(self, fleet: Fleet, pool: ConnectionOpener) -> None:
        self._fleet = fleet
        self._pool = pool
        self._rng = random.Random()
        self._last_contact_s: dict[str, float] = {}
        self._last_check_s: dict[str, float] = {}
        self._lost: set[str] = set()
        self._checks: dict[str, asyncio.Task[None]] = {}

    def is_lost(self, service: str) -> bool:
        """Whether this VM reaches none of the service's replicas."""
        return service in self._lost

    def record_contact(self, service: str) -> None:
        """Record that a replica of a service has answered or accepted a connection."""
        self._last_contact_s[service] = time.monotonic()
        if service in self._lost:
            self._lost.discard(service)
            logger.info("paths: the replicas of {} are reached again", service)

    def suspect(self, service: str) -> None:
        """Check the path to a service's replicas in the background."""
        now_s = time.monotonic()
        since_check_s = now_s - self._last_check_s.get(service, float("-inf"))
        if service in self._checks or since_check_s < CHECK_PAUSE_S:
            return
        self._start_checks(service, 0.0)

    def suspect_if_silent(self, service: str, since_s: float, limit_s: float) -> None:
        """Check the path to a service of which nothing was heard for a time.

        `since_s` is the monotonic time since when an answer has been waited for.
        """
        last_contact_s = self._last_contact_s.get(service, since_s)
        if time.monotonic() - max(since_s, last_contact_s) > limit_s:
            self.suspect(service)

    def _start_checks(self, service: str, pause_s: float) -> None:
        """Check a path until it is found."""
        task = asyncio.create_task(self._check_until_found(service, pause_s))
        self._checks[service] = task
        task.add_done_callback(lambda done: self._checks.pop(service, None))

    async def _check_until_found(self, service: str, pause_s: float) -> None:
        await asyncio.sleep(pause_s)
        is_found = await self.check(service)
        while not is_found:
            await asyncio.sleep(LOST_CHECK_PAUSE_S)
            is_found = await self.check(service)

    async def check(self, service: str) -> bool:
        """Return whether a replica of a service accepts a connection now.

        Without a listed replica there is no path that could be lost.
        """
        states = self._fleet.serving_replicas(service)
        checked = self._rng.sample(states, min(MAX_CHECKED, len(states)))
        is_found = not checked or await self._is_any_reached(checked)
        self._last_check_s[service] = time.monotonic()
        if is_found:
            self.record_contact(service)
        elif service not in self._lost:
            self._lost.add(service)
            logger.warning(
                "paths: no replica of {} is reached",
                service,
                checked=len(checked),
                listed=len(states),
            )
            if service not in self._checks:
                self._start_checks(service, LOST_CHECK_PAUSE_S)
        return is_found

    async def _is_any_reached(self, states: list[ReplicaState]) -> bool:
        pending = {asyncio.create_task(self._is_reached(states[0]))}
        timeout_s: float | None = FIRST_CHECK_S
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
                if any(task.result() for task in done):
                    return True
                if timeout_s is not None:
                    timeout_s = None
                    pending |= {
                        asyncio.create_task(self._is_reached(state))
                        for state in states[1:]
                    }
            return False
        finally:
            for task in pending:
                task.cancel()

    async def _is_reached(self, state: ReplicaState) -> bool:
        try:
            await self._pool.open_idle(state.replica.address)
        except ExchangeError as error:
            logger.debug("paths: {}", error)
            return False
        return True
