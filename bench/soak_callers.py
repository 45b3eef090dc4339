"""bench.soak_callers: callers of the soak, streaming and booking."""

import asyncio
import itertools
import json
import random
import time

from bench.audit_log import CallAttempt, CallerAnswer
from bench.clients import LOST, HttpAnswer
from bench.deployment import MODEL, SERVICE
from bench.soak_fleet import TEAM, Fleet

__all__ = ["PlainCallLoad", "StreamLoad"]

CALLER_TOKENS = 40
KEY_ATTEMPTS = 40


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
            races = self._random.random() < 0.2
            first = number == 0 and not races
            attempts = [self._attempt(f"{key}.{number}a", key, first)]
            if races:
                attempts.append(self._attempt(f"{key}.{number}b", key))
            settled = await asyncio.gather(*attempts)
            if any(settled):
                return
            await asyncio.sleep(self._random.uniform(0.2, 0.8))

    async def _attempt(self, request_id: str, key: str, first: bool = False) -> bool:
        """Make one attempt; return whether no further one makes sense."""
        fleet = self._fleet
        vm_id, url = fleet.any_daemon(self._random)
        headers = fleet.deployment.team_headers(TEAM) | {"X-Request-Id": request_id}
        if key:
            headers["Idempotency-Key"] = key
        if first:
            headers["X-First-Attempt"] = "true"
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
