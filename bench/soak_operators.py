"""bench.soak_operators: operators of the soak, and who watches their settings."""

import asyncio
import itertools
import random

from bench.audit_log import AcceptedSetting, SettingSeen
from bench.soak_fleet import TEAM, TEAM_PATH, Fleet
from standins.processes import Process

__all__ = ["OperatorLoad", "SettingsWatch"]

POLL_S = 0.25


class OperatorLoad:
    """An operator that changes a team's weight and races others to it."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet = fleet
        self._number = number
        self._random = random.Random(f"{fleet.seed}/operator/{number}")
        self.conflicts = 0

    async def run(self) -> None:
        """Change settings until the soak ends."""
        for turn in itertools.count(1):
            if self._fleet.ending.is_set():
                return
            await self._change(turn)
            await asyncio.sleep(self._random.uniform(0.3, 1.2))

    async def _change(self, turn: int) -> None:
        fleet = self._fleet
        _, url = fleet.any_daemon(self._random)
        path = f"{url}/v1/settings{TEAM_PATH}"
        headers = fleet.deployment.operator_headers()
        known = await fleet.send(path, "GET", headers)
        if known.status != 200:
            return
        weight = 1.0 + (self._number + 1) / 10 + turn / 10_000
        body = {**fleet.deployment.team_settings(TEAM), "weight": weight}
        version = known.json()["version"]
        condition = headers | {"If-Match": f'"{version}"'}
        answer = await fleet.send(path, "PUT", condition, body)
        self.conflicts += answer.status in (409, 412)
        if answer.status == 200:
            accepted = int(answer.json()["version"])
            mark = f"{weight:.4f}"
            fleet.log.accepted.append(AcceptedSetting(TEAM_PATH, accepted, mark))


class SettingsWatch:
    """Asks one daemon again and again which versions it has in force."""

    def __init__(self, fleet: Fleet, vm_id: str) -> None:
        self._fleet = fleet
        self._vm_id = vm_id

    async def run(self) -> None:
        """Ask until the soak ends."""
        while not self._fleet.ending.is_set():
            self._fleet.log.settings_seen.extend(await self.look())
            await asyncio.sleep(POLL_S)

    async def look(self) -> list[SettingSeen]:
        """Return the versions in force, none if the daemon gives no answer."""
        process: Process = self._fleet.deployment.daemons[self._vm_id]
        if not process.running or not process.ready:
            return []
        answer = await self._fleet.send(f"{process.url}/metrics", "GET", {})
        if answer.status != 200:
            return []
        return [
            SettingSeen(self._vm_id, path, version)
            for path, version in versions_of_metrics(answer.body.decode())
        ]


def versions_of_metrics(text: str) -> list[tuple[str, int]]:
    """Return the settings paths and versions that a daemon's metrics show."""
    found: list[tuple[str, int]] = []
    for line in text.splitlines():
        name, _, rest = line.partition("{")
        if line.startswith("#") or not name.endswith("settings_version"):
            continue
        labels, _, value = rest.partition("}")
        path = labels.partition('path="')[2].partition('"')[0]
        found.append((path, int(float(value))))
    return found
