"""bench.soak_operators: operators of the soak and observers of their settings."""

import asyncio
import itertools
import random

from bench.audit_log import AcceptedSetting, ObservedSetting
from bench.soak_fleet import TEAM, TEAM_PATH, Fleet
from standins.processes import Process

__all__ = ["OperatorLoad", "SettingsWatch"]

POLL_S = 0.25


class OperatorLoad:
    """An operator that changes a team's weight concurrently with other operators."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet = fleet
        self._number = number
        self._random = random.Random(f"{fleet.seed}/operator/{number}")
        self.conflicts = 0

    async def run(self) -> None:
        """Change settings until the soak ends."""
        for turn in itertools.count(1):
            if self._fleet.stopping.is_set():
                return
            await self._change(turn)
            await asyncio.sleep(self._random.uniform(0.3, 1.2))

    async def _change(self, turn: int) -> None:
        fleet = self._fleet
        _, url = fleet.pick_daemon(self._random)
        path = f"{url}/v1/settings{TEAM_PATH}"
        headers = fleet.deployment.operator_headers()
        current = await fleet.send(path, "GET", headers)
        if current.status != 200:
            return
        weight = 1.0 + (self._number + 1) / 10 + turn / 10_000
        body = {**fleet.deployment.team_settings(TEAM), "weight": weight}
        version = current.json()["version"]
        conditional = headers | {"If-Match": f'"{version}"'}
        answer = await fleet.send(path, "PUT", conditional, body)
        self.conflicts += answer.status in (409, 412)
        if answer.status == 200:
            accepted = int(answer.json()["version"])
            mark = f"{weight:.4f}"
            fleet.log.accepted.append(AcceptedSetting(TEAM_PATH, accepted, mark))


class SettingsWatch:
    """Polls the settings versions that one daemon has in force."""

    def __init__(self, fleet: Fleet, vm_id: str) -> None:
        self._fleet = fleet
        self._vm_id = vm_id

    async def run(self) -> None:
        """Poll until the soak ends."""
        while not self._fleet.stopping.is_set():
            self._fleet.log.observed_settings.extend(await self.read_versions())
            await asyncio.sleep(POLL_S)

    async def read_versions(self) -> list[ObservedSetting]:
        """Return the versions in force; empty if the daemon does not answer."""
        process: Process = self._fleet.deployment.daemons[self._vm_id]
        if not process.running or not process.ready:
            return []
        answer = await self._fleet.send(f"{process.url}/metrics", "GET", {})
        if answer.status != 200:
            return []
        return [
            ObservedSetting(self._vm_id, path, version)
            for path, version in parse_settings_versions(answer.body.decode())
        ]


def parse_settings_versions(text: str) -> list[tuple[str, int]]:
    """Return the settings paths and versions in a daemon's metrics."""
    found: list[tuple[str, int]] = []
    for line in text.splitlines():
        name, _, rest = line.partition("{")
        if line.startswith("#") or not name.endswith("settings_version"):
            continue
        labels, _, value = rest.partition("}")
        path = labels.partition('path="')[2].partition('"')[0]
        found.append((path, int(float(value))))
    return found
