"""bench.soak_load: trainers, callers and operators of the soak."""

import asyncio
import itertools
import json
import random
import time
from dataclasses import dataclass, field

import aiosonic

from bench.audit_log import (
    AcceptedSetting,
    CallAttempt,
    CallerAnswer,
    DeliveredSample,
    SettingSeen,
    SoakLog,
)
from bench.clients import LOST, HttpAnswer, send
from bench.deployment import MODEL, SCORER, SERVICE, Deployment
from greengagetack.errors import CodedError
from greengagetack.rollouts.client import RolloutClient, StepRequest
from greengagetack.rollouts.messages import FetchedGroups
from standins.processes import Process

__all__ = [
    "Fleet",
    "OperatorLoad",
    "PlainCallLoad",
    "SettingsWatch",
    "StreamLoad",
    "TrainerLoad",
]

TEAM = "kestrelmoor"
TEAM_PATH = f"/teams/{TEAM}"
GROUPS = 6
SAMPLES_PER_GROUP = 4
STALENESS_BOUND = 1
MAX_TOKENS = 64
CALLER_TOKENS = 40
FETCH_WAIT_S = 2.0
STEP_DEADLINE_S = 200.0
STEPS_PER_VERSION = 2
KEY_ATTEMPTS = 40
CALL_TIMEOUT_S = 8.0
POLL_S = 0.25
SEED_FACTOR = 1_000_003
SEED_PER_GROUP = 1_000


@dataclass(slots=True)
class Fleet:
    """The deployment as its users see it, and the trainers' newest version."""

    deployment: Deployment
    log: SoakLog
    seed: int
    version: int = 1
    ending: asyncio.Event = field(default_factory=asyncio.Event)

    def any_daemon(self, source: random.Random) -> tuple[str, str]:
        """Return the identifier and base URL of a running daemon."""
        running = [
            (vm_id, process.url)
            for vm_id, process in self.deployment.daemons.items()
            if process.running and process.ready
        ]
        return source.choice(running) if running else ("", "http://127.0.0.1:1")

    async def send(
        self, url: str, method: str, headers: dict[str, str], body: object = None
    ) -> HttpAnswer:
        """Send one request on a connection of its own, bounded in time."""
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                aiosonic.HTTPClient() as http,
            ):
                return await send(http, url, method, headers, body)
        except TimeoutError:
            return HttpAnswer(LOST, {}, b"")


class TrainerLoad:
    """Asks for step after step and takes every sample exactly once."""

    def __init__(self, fleet: Fleet, job: str) -> None:
        self._fleet = fleet
        self._job = job
        self.steps = 0

    async def run(self) -> None:
        """Train until the soak ends; the last step is taken whole."""
        for number in itertools.count(1):
            if self._fleet.ending.is_set():
                return
            await self._train_step(number)
            self.steps += 1

    async def _train_step(self, number: int) -> None:
        fleet = self._fleet
        token = fleet.deployment.teams[TEAM].token
        client = RolloutClient(fleet.deployment.entries(), token, number)
        step = StepRequest(self._job, number, self._body(number))
        prefix = f"{TEAM}/{self._job}/{number}"
        fleet.log.asked.extend(
            f"{prefix}/{group}/{index}"
            for group in range(GROUPS)
            for index in range(SAMPLES_PER_GROUP)
        )
        held: set[int] = set()
        created = False
        try:
            while len(held) < GROUPS:
                try:
                    if not created:
                        await client.create_step(step)
                        created = True
                    await self._fetch(client, step, number, held)
                except CodedError as error:
                    if error.code != "not_found":
                        raise
                    created = False
        finally:
            await client.close()

    async def _fetch(
        self, client: RolloutClient, step: StepRequest, number: int, held: set[int]
    ) -> None:
        version = self._fleet.version
        answer = await client.fetch_once(step, version, held, FETCH_WAIT_S)
        self._take(answer, version, number)
        held.update(group.group_id for group in answer.groups)

    def _take(self, answer: FetchedGroups, version: int, number: int) -> None:
        for group in answer.groups:
            for sample in group.samples:
                group_id, index = sample.group_id, sample.index
                seed = number * SEED_FACTOR + group_id * SEED_PER_GROUP + index
                self._fleet.log.delivered.append(
                    DeliveredSample(
                        f"{TEAM}/{self._job}/{number}/{group_id}/{index}",
                        self._prompt(number, group_id),
                        seed,
                        MAX_TOKENS,
                        sample.text,
                        tuple(part.version for part in sample.versions),
                        version,
                        STALENESS_BOUND,
                        sample.endpoint_id,
                    )
                )

    def _prompt(self, number: int, group_id: int) -> str:
        return f"Summarise fault {group_id} of round {number} for {self._job}."

    def _body(self, number: int) -> dict[str, object]:
        groups = [
            {"group_id": group_id, "prompt": self._prompt(number, group_id)}
            for group_id in range(GROUPS)
        ]
        return {
            "model": MODEL,
            "trainer_version": self._fleet.version,
            "max_staleness_versions": STALENESS_BOUND,
            "groups": groups,
            "samples_per_group": SAMPLES_PER_GROUP,
            "max_tokens": MAX_TOKENS,
            "seed": number,
            "deadline_s": STEP_DEADLINE_S,
            "scorer": SCORER,
        }


class StreamLoad:
    """A caller that streams completions and keeps what it got of each."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet = fleet
        self._number = number
        self._random = random.Random(f"{fleet.seed}/stream/{number}")

    async def run(self) -> None:
        """Call until the soak ends."""
        for turn in itertools.count(1):
            if self._fleet.ending.is_set():
                return
            await self._call(turn)
            await asyncio.sleep(self._random.uniform(0.05, 0.3))

    async def _call(self, turn: int) -> None:
        fleet = self._fleet
        vm_id, url = fleet.any_daemon(self._random)
        request_id = f"stream-{self._number}-{turn}"
        prompt = f"Where is kiosk {turn} of van {self._number}? [len=32]"
        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": CALLER_TOKENS,
            "seed": turn,
            "stream": True,
        }
        headers = fleet.deployment.team_headers(TEAM) | {"X-Request-Id": request_id}
        started_s = time.time()
        answer = await fleet.send(f"{url}/v1/completions", "POST", headers, body)
        if answer.status not in (200, LOST):
            return
        text, whole = streamed_text(answer.body)
        fleet.log.answers.append(
            CallerAnswer(
                request_id,
                prompt,
                turn,
                CALLER_TOKENS,
                text,
                not whole,
                vm_id,
                started_s,
                time.time(),
            )
        )


def streamed_text(body: bytes) -> tuple[str, bool]:
    """Return the text of server-sent events and whether it came to its end."""
    texts: list[str] = []
    for line in body.decode().splitlines():
        if not line.startswith("data: "):
            continue
        data = line.removeprefix("data: ")
        if data == "[DONE]":
            return "".join(texts), True
        event = json.loads(data)
        if "error" in event:
            break
        texts.append(event["choices"][0]["text"])
    return "".join(texts), False


class PlainCallLoad:
    """A caller that books visits, under keys and without."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet = fleet
        self._number = number
        self._random = random.Random(f"{fleet.seed}/plain/{number}")

    async def run(self) -> None:
        """Book until the soak ends."""
        for turn in itertools.count(1):
            if self._fleet.ending.is_set():
                return
            name = f"{self._number}-{turn}"
            if turn % 4 == 0:
                await self._attempt(f"once-{name}", "")
            else:
                await self._book_with_key(f"key-{name}")
            await asyncio.sleep(self._random.uniform(0.05, 0.3))

    async def _book_with_key(self, key: str) -> None:
        """Repeat a keyed booking through any daemon until it is answered for good.

        Now and then two attempts race each other.
        """
        for number in range(KEY_ATTEMPTS):
            attempts = [self._attempt(f"{key}.{number}a", key)]
            if self._random.random() < 0.2:
                attempts.append(self._attempt(f"{key}.{number}b", key))
            settled = await asyncio.gather(*attempts)
            if any(settled):
                return
            await asyncio.sleep(self._random.uniform(0.2, 0.8))

    async def _attempt(self, request_id: str, key: str) -> bool:
        """Make one attempt; return whether no further one makes sense."""
        fleet = self._fleet
        vm_id, url = fleet.any_daemon(self._random)
        headers = fleet.deployment.team_headers(TEAM) | {"X-Request-Id": request_id}
        if key:
            headers["Idempotency-Key"] = key
        body = {"box": f"box-{key or request_id}", "crew": "crew-1"}
        path = f"{url}/services/{SERVICE}/bookings"
        started_s = time.time()
        answer = await fleet.send(path, "POST", headers, body)
        outcome, code, booking = _outcome(answer)
        attempt = CallAttempt(
            request_id, key, outcome, booking, code, vm_id, started_s, time.time()
        )
        fleet.log.attempts.append(attempt)
        return outcome == "done" or code == "call_outcome_unknown"


def _outcome(answer: HttpAnswer) -> tuple[str, str, str]:
    """Return outcome, error code and booking of an answer."""
    if answer.status == LOST:
        return "lost", "", ""
    try:
        content = answer.json()
    except ValueError:
        return "lost", "", ""
    if answer.status == 201:
        return "done", "", str(content["booking"])
    error = content.get("error", {})
    return str(error.get("outcome", "unknown")), str(error.get("code", "")), ""


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
