"""bench.soak_callers: callers of the soak, for completions and plain services."""

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

COMPLETION_TOKENS = 40
MAX_KEY_ATTEMPTS = 40


class StreamLoad:
    """A caller that streams completions and logs the text it received of each."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet = fleet
        self._number = number
        self._random = random.Random(f"{fleet.seed}/stream/{number}")

    async def run(self) -> None:
        """Send completions until the soak ends."""
        for turn in itertools.count(1):
            if self._fleet.stopping.is_set():
                return
            await self._complete(turn)
            await asyncio.sleep(self._random.uniform(0.05, 0.3))

    async def _complete(self, turn: int) -> None:
        fleet = self._fleet
        vm_id, url = fleet.pick_daemon(self._random)
        request_id = f"stream-{self._number}-{turn}"
        prompt = f"Where is kiosk {turn} of van {self._number}? [len=32]"
        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": COMPLETION_TOKENS,
            "seed": turn,
            "stream": True,
        }
        headers = fleet.deployment.team_headers(TEAM) | {"X-Request-Id": request_id}
        started_s = time.time()
        answer = await fleet.send(f"{url}/v1/completions", "POST", headers, body)
        if answer.status not in (200, LOST):
            return
        text, is_complete = parse_streamed_text(answer.body)
        fleet.log.answers.append(
            CallerAnswer(
                request_id,
                prompt,
                turn,
                COMPLETION_TOKENS,
                text,
                not is_complete,
                vm_id,
                started_s,
                time.time(),
            )
        )


def parse_streamed_text(body: bytes) -> tuple[str, bool]:
    """Return the text of server-sent events and whether the end marker was received."""
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
    """A caller that books visits, with and without idempotency keys."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet = fleet
        self._number = number
        self._random = random.Random(f"{fleet.seed}/plain/{number}")

    async def run(self) -> None:
        """Send bookings until the soak ends."""
        for turn in itertools.count(1):
            if self._fleet.stopping.is_set():
                return
            name = f"{self._number}-{turn}"
            if turn % 4 == 0:
                await self._attempt(f"once-{name}", "")
            else:
                await self._book_with_key(f"key-{name}")
            await asyncio.sleep(self._random.uniform(0.05, 0.3))

    async def _book_with_key(self, key: str) -> None:
        """Repeat a keyed booking through random daemons until its outcome is final.

        In some rounds two attempts are sent concurrently.
        """
        for number in range(MAX_KEY_ATTEMPTS):
            is_race = self._random.random() < 0.2
            first = number == 0 and not is_race
            attempts = [self._attempt(f"{key}.{number}a", key, first)]
            if is_race:
                attempts.append(self._attempt(f"{key}.{number}b", key))
            final = await asyncio.gather(*attempts)
            if any(final):
                return
            await asyncio.sleep(self._random.uniform(0.2, 0.8))

    async def _attempt(self, request_id: str, key: str, first: bool = False) -> bool:
        """Make one attempt; return whether its outcome is final."""
        fleet = self._fleet
        vm_id, url = fleet.pick_daemon(self._random)
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
    """Return the outcome, error code and booking of an answer."""
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
