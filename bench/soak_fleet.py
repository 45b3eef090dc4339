"""bench.soak_fleet: the state that the load generators of the soak share."""

import asyncio
import random
from dataclasses import dataclass, field

import aiosonic

from bench.audit_log import SoakLog
from bench.clients import LOST, HttpAnswer, send
from bench.deployment import Deployment

__all__ = ["Fleet", "TEAM", "TEAM_PATH"]

TEAM = "kestrelmoor"
TEAM_PATH = f"/teams/{TEAM}"
CALL_TIMEOUT_S = 8.0


@dataclass(slots=True)
class Fleet:
    """The deployment, the log, the newest weight version and the stop event."""

    deployment: Deployment
    log: SoakLog
    seed: int
    weight_version: int = 1
    stopping: asyncio.Event = field(default_factory=asyncio.Event)

    def pick_daemon(self, source: random.Random) -> tuple[str, str]:
        """Return the identifier and base URL of a random running daemon.

        Without a running daemon the identifier is empty and the URL unreachable.
        """
        running = [
            (vm_id, process.url)
            for vm_id, process in self.deployment.daemons.items()
            if process.running and process.ready
        ]
        return source.choice(running) if running else ("", "http://127.0.0.1:1")

    async def send(
        self, url: str, method: str, headers: dict[str, str], body: object = None
    ) -> HttpAnswer:
        """Send one request on a new connection with a timeout."""
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                aiosonic.HTTPClient() as http,
            ):
                return await send(http, url, method, headers, body)
        except TimeoutError:
            return HttpAnswer(LOST, {}, b"")
