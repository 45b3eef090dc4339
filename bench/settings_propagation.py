"""bench.settings_propagation: measures how long settings changes take to propagate.

Part 1 runs complete daemons as processes. An operator's change is timed from just
before it is sent until the last daemon returns it over HTTP, and until the operator
gets the answer that all daemons have confirmed it. Part 2 runs many members with
real peer links in one process around an in-memory object store. There the time is
measured from acceptance by the platform until the last member has the change in
force. ``COUNTS=`` (daemons) and ``MEMBERS=`` take comma-separated numbers,
``CHANGES=`` the number of changes.
"""

import asyncio
import json
import os
import statistics
import time
from dataclasses import asdict, dataclass

import aiosonic
from loguru import logger

from bench.deployment import Deployment, DeploymentPlan, EnginePlan, ServicePlan
from bench.figures import percentile
from features.support.settings_cell import SettingsCell, wait_until
from features.support.settings_documents import fleet_value
from greengagetack.peers import link
from greengagetack.peers.codec import Frame, encode_frame
from greengagetack.settings.messages import PushSettings, SpreadSettings
from greengagetack.settings.objects import stored_value
from standins.processes import ProcessGroup

__all__ = ["Propagation", "main"]

ZONES = ("a", "b", "c")
TEAM = "quetzal"
PATH = f"/v1/settings/teams/{TEAM}"
READY_TIMEOUT_S = 60.0
IN_FORCE_TIMEOUT_S = 15.0
IDLE_S = 5.0
PROPAGATION_BOUND_S = 3.0
PUSHING_MEMBERS = 3
CONTROL_BYTES_PER_S = 10_000
FLEET_OBJECT = "settings/fleet"


@dataclass(frozen=True, slots=True)
class Propagation:
    """Propagation times of a number of changes in milliseconds."""

    way: str
    daemons: int
    changes: int
    median_ms: float
    p99_ms: float
    max_ms: float
    confirmed_median_ms: float = 0.0
    idle_bytes_per_s: float = 0.0


def _make_propagation(
    way: str,
    daemons: int,
    times_s: list[float],
    confirmed_s: list[float] | None = None,
    idle_bytes_per_s: float = 0.0,
) -> Propagation:
    confirmed_ms = statistics.median(confirmed_s) * 1e3 if confirmed_s else 0.0
    return Propagation(
        way,
        daemons,
        len(times_s),
        round(statistics.median(times_s) * 1e3, 2),
        round(percentile(times_s, 0.99) * 1e3, 2),
        round(max(times_s) * 1e3, 2),
        round(confirmed_ms, 2),
        round(idle_bytes_per_s, 1),
    )


# Complete daemons as processes


async def measure_processes(count: int, changes: int) -> Propagation:
    """Time changes on `count` daemons that run as processes."""
    zones = tuple(ZONES[number % len(ZONES)] for number in range(count))
    plan = DeploymentPlan(zones, (EnginePlan("a"),), (ServicePlan("a"),), (TEAM,))
    with ProcessGroup() as group:
        deployment = Deployment(plan, group)
        await asyncio.to_thread(deployment.start)
        async with aiosonic.HTTPClient() as http:
            return await _measure_deployment(deployment, http, count, changes)


async def _measure_deployment(
    deployment: Deployment, http: aiosonic.HTTPClient, count: int, changes: int
) -> Propagation:
    entries = deployment.entries()
    await _wait_for_members(deployment, http, count)
    times_s: list[float] = []
    confirmed_s: list[float] = []
    for number in range(changes):
        version = number + 2
        entry = entries[number % count]
        watches = [
            asyncio.create_task(_time_in_force(deployment, http, url, version))
            for url in entries
        ]
        await asyncio.sleep(0.05)
        started_s = time.monotonic()
        await _change(deployment, http, entry, version)
        confirmed_s.append(time.monotonic() - started_s)
        ended_s = await asyncio.gather(*watches)
        times_s.append(max(ended_s) - started_s)
    return _make_propagation("operator's PUT, processes", count, times_s, confirmed_s)


async def _wait_for_members(
    deployment: Deployment, http: aiosonic.HTTPClient, count: int
) -> None:
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        ready = 0
        for url in deployment.entries():
            answer = await http.get(
                f"{url}/v1/settings-applied", headers=deployment.operator_headers()
            )
            body = json.loads(await answer.content())
            ready += len(body.get("members", [])) == count
        if ready == count:
            return
        await asyncio.sleep(0.2)
    raise SystemExit(f"{count} daemons did not form one cell in time")


async def _time_in_force(
    deployment: Deployment, http: aiosonic.HTTPClient, url: str, version: int
) -> float:
    """Poll a daemon and return when it first returns a version."""
    headers = deployment.operator_headers()
    deadline_s = time.monotonic() + IN_FORCE_TIMEOUT_S
    while time.monotonic() < deadline_s:
        answer = await http.get(url + PATH, headers=headers)
        body = json.loads(await answer.content())
        if body.get("version", 0) >= version:
            return time.monotonic()
        await asyncio.sleep(0.002)
    raise SystemExit(f"{url} did not return version {version} in time")


async def _change(
    deployment: Deployment, http: aiosonic.HTTPClient, url: str, version: int
) -> None:
    value = {**deployment.team_settings(TEAM), "weight": 1 + version / 1_000}
    headers = {**deployment.operator_headers(), "If-Match": f'"{version - 1}"'}
    target = f"{url}{PATH}?wait_s={IN_FORCE_TIMEOUT_S:g}"
    answer = await http.put(target, headers=headers, data=json.dumps(value).encode())
    body = json.loads(await answer.content())
    if answer.status_code != 200 or body["missing_vm_ids"]:
        raise SystemExit(f"change {version} was not confirmed: {body}")


# Many members in one process


class _SentByteCounter:
    """Counts the bytes of all frames that this process encodes to send them."""

    def __init__(self) -> None:
        self.sent = 0
        link.encode_frame = self._encode

    def _encode(self, frame: Frame) -> bytes:
        data = encode_frame(frame)
        self.sent += len(data)
        return data


async def measure_members(
    count: int, changes: int, sent: _SentByteCounter
) -> list[Propagation]:
    """Time changes among `count` members in one process."""
    cell = SettingsCell()
    await cell.platform.write(FLEET_OBJECT, _stored(1), 0)
    for number in range(count):
        await cell.start(f"v{number}")
    members = list(cell.members.values())
    await wait_until(lambda: all(member.store.ready for member in members))
    version = 1
    pushed_s = []
    for _ in range(changes):
        version += 1
        pushed_s.append(await _time_push(cell, version))
    watched_s = []
    for _ in range(changes):
        version += 1
        watched_s.append(await _time_watch(cell, version))
    await asyncio.sleep(1.0)
    before = sent.sent
    await asyncio.sleep(IDLE_S)
    idle = (sent.sent - before) / IDLE_S / count
    await cell.close()
    return [
        _make_propagation("accepted by a member", count, pushed_s, None, idle),
        _make_propagation("seen by the watchers", count, watched_s, None, idle),
    ]


def _stored(version: int) -> object:
    return stored_value(_value(version), "operator", 0.0, None)


def _value(version: int) -> dict[str, object]:
    return fleet_value(shard_count=version)


async def _time_push(cell: SettingsCell, version: int) -> float:
    member = cell.members[f"v{version % PUSHING_MEMBERS}"]
    await cell.platform.write(FLEET_OBJECT, _stored(version), version - 1)
    started_s = time.monotonic()
    pushed = PushSettings("/fleet", version, _value(version), "operator")
    own = member.peers.vm_id
    asking = asyncio.create_task(
        member.peers.request(own, SpreadSettings(pushed, IN_FORCE_TIMEOUT_S))
    )
    ended_s = await _all_in_force(cell, version)
    await asking
    return ended_s - started_s


async def _time_watch(cell: SettingsCell, version: int) -> float:
    await cell.platform.write(FLEET_OBJECT, _stored(version), version - 1)
    started_s = time.monotonic()
    return await _all_in_force(cell, version) - started_s


async def _all_in_force(cell: SettingsCell, version: int) -> float:
    deadline_s = time.monotonic() + IN_FORCE_TIMEOUT_S
    while time.monotonic() < deadline_s:
        if min(cell.versions("/fleet").values()) >= version:
            return time.monotonic()
        await asyncio.sleep(0.001)
    raise SystemExit(f"version {version} did not reach all members in time")


def _numbers(variable: str, default: str) -> list[int]:
    return [int(text) for text in os.environ.get(variable, default).split(",") if text]


def main() -> int:
    """Measure all counts, print a table and a JSON line.

    Return 0 if all measurements are within the bounds, otherwise 1.
    """
    logger.disable("greengagetack")
    changes = int(os.environ.get("CHANGES", "30"))
    results: list[Propagation] = []
    for count in _numbers("COUNTS", "3,6,9"):
        results.append(asyncio.run(measure_processes(count, changes)))
    sent = _SentByteCounter()
    for count in _numbers("MEMBERS", "3,6,9,30,95"):
        results.extend(asyncio.run(measure_members(count, changes, sent)))
    print(
        f"{'way':<28}{'daemons':>8}{'changes':>8}{'median ms':>11}{'p99 ms':>9}"
        f"{'max ms':>9}{'confirmed ms':>14}{'idle B/s':>10}"
    )
    for row in results:
        print(
            f"{row.way:<28}{row.daemons:>8}{row.changes:>8}{row.median_ms:>11.1f}"
            f"{row.p99_ms:>9.1f}{row.max_ms:>9.1f}{row.confirmed_median_ms:>14.1f}"
            f"{row.idle_bytes_per_s:>10.0f}"
        )
    within_bounds = all(
        result.max_ms <= PROPAGATION_BOUND_S * 1e3
        and result.idle_bytes_per_s <= CONTROL_BYTES_PER_S
        for result in results
    )
    print(
        json.dumps(
            {"settings": [asdict(result) for result in results], "ok": within_bounds}
        )
    )
    return 0 if within_bounds else 1


if __name__ == "__main__":
    raise SystemExit(main())
