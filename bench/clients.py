"""bench.clients: HTTP clients of callers and operators for the demonstrations."""

import asyncio
import itertools
import json
from typing import Any

import aiosonic
from aiosonic.exceptions import AiosonicError, BaseTimeout
from aiosonic.timeout import Timeouts

from bench.deployment import Deployment

__all__ = ["CallerClient", "HttpAnswer", "OperatorClient"]

CONNECT_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 30.0
RETRY_LIMIT_S = 20.0
RETRY_S = 0.3
MAX_RETRY_S = 2.0
IN_FORCE_LIMIT_S = 3.0
POLL_S = 0.1
TIMEOUTS = Timeouts(
    sock_connect=CONNECT_TIMEOUT_S,
    sock_read=ANSWER_TIMEOUT_S,
    request_timeout=ANSWER_TIMEOUT_S,
)
# The client raises ValueError if a chunked answer is cut.
LOST_ANSWER_ERRORS = (
    OSError,
    EOFError,
    TimeoutError,
    ValueError,
    AiosonicError,
    BaseTimeout,
)
LOST = 0


class HttpAnswer:
    """Status, headers and body of an answer; status 0 means that it was lost."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    def retry_delay_s(self) -> float:
        """Return the delay before a retry, limited to `MAX_RETRY_S`."""
        return min(float(self.headers.get("retry-after", RETRY_S)), MAX_RETRY_S)


async def send(
    http: aiosonic.HTTPClient,
    url: str,
    method: str,
    headers: dict[str, str],
    body: Any = None,
) -> HttpAnswer:
    """Send one request; a lost answer has status 0."""
    data = json.dumps(body).encode() if body is not None else None
    sent = {"Content-Type": "application/json", **headers}
    try:
        response = await http.request(url, method, sent, data=data, timeouts=TIMEOUTS)
        content = await response.content()
    except LOST_ANSWER_ERRORS:
        return HttpAnswer(LOST, {}, b"")
    found = {name.lower(): value for name, value in response.headers.items()}
    return HttpAnswer(response.status_code, found, content)


class CallerClient:
    """A caller that distributes requests over the entries and retries failures."""

    def __init__(self, deployment: Deployment, team: str) -> None:
        self._deployment = deployment
        self._headers = deployment.team_headers(team)
        self._turn = itertools.count()
        self._http = aiosonic.HTTPClient()

    async def close(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    def _entry(self) -> str:
        entries = self._deployment.entries()
        return entries[next(self._turn) % len(entries)]

    async def _send_with_retries(
        self, method: str, path: str, body: Any, headers: dict[str, str]
    ) -> HttpAnswer:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + RETRY_LIMIT_S
        while True:
            url = self._entry() + path
            sent = {**self._headers, **headers}
            answer = await send(self._http, url, method, sent, body)
            succeeded = 0 < answer.status < 400
            if succeeded or loop.time() > until_s:
                return answer
            await asyncio.sleep(answer.retry_delay_s())

    async def stream_completion(
        self, model: str, prompt: str, max_tokens: int, seed: int
    ) -> str:
        """Return the full text of a streamed completion; empty if all tries failed."""
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "seed": seed,
            "stream": True,
        }
        for _ in range(5):
            answer = await self._send_with_retries("POST", "/v1/completions", body, {})
            text = _parse_streamed_text(answer)
            if text is not None:
                return text
        return ""

    async def book(self, service: str, box: str, key: str) -> str:
        """Book a visit under a key; return the booking, empty on failure."""
        headers = {"Idempotency-Key": key}
        body = {"box": box, "crew": "crew-1"}
        path = f"/services/{service}/bookings"
        answer = await self._send_with_retries("POST", path, body, headers)
        if answer.status != 201:
            return ""
        return str(answer.json()["booking"])


def _parse_streamed_text(answer: HttpAnswer) -> str | None:
    """Return the text of server-sent events, None if the stream was cut."""
    texts: list[str] = []
    for line in answer.body.decode().splitlines():
        if not line.startswith("data: "):
            continue
        data = line.removeprefix("data: ")
        if data == "[DONE]":
            return "".join(texts)
        event = json.loads(data)
        if "error" in event:
            return None
        texts.append(event["choices"][0]["text"])
    return None


class OperatorClient:
    """Sends an operator's requests to the running daemons."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._headers = deployment.operator_headers()
        self._http = aiosonic.HTTPClient()

    async def close(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    async def send(
        self,
        path: str,
        method: str = "GET",
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> HttpAnswer:
        """Send a request to the first daemon that answers."""
        answer = HttpAnswer(LOST, {}, b"")
        for entry in self._deployment.entries():
            sent = {**self._headers, **(headers or {})}
            answer = await send(self._http, entry + path, method, sent, body)
            if answer.status != LOST:
                return answer
        return answer

    async def ready_daemons(self) -> int:
        """Return how many daemons report ready."""
        ready = 0
        for entry in self._deployment.entries():
            answer = await send(self._http, f"{entry}/readyz", "GET", {})
            ready += int(answer.status == 200)
        return ready

    async def owner_of(self, job: str) -> str:
        """Return the VM that owns a job's first listed step."""
        answer = await self.send(f"/v1/jobs/{job}")
        return str(answer.json()["steps"][0]["owner_vm_id"])

    async def change_team_weight(self, team: str, weight: float) -> int:
        """Change a team's weight; return the new version of its subtree."""
        path = f"/v1/settings/teams/{team}"
        current = self._deployment.team_settings(team)
        version = (await self.send(path)).json()["version"]
        answer = await self.send(
            path, "PUT", {**current, "weight": weight}, {"If-Match": f'"{version}"'}
        )
        return int(answer.json()["version"])

    async def wait_in_force(self, path: str, version: int) -> bool:
        """Whether all running daemons have a version in force within the time limit."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + IN_FORCE_LIMIT_S
        while loop.time() < until_s:
            if await self._lowest_version(path) >= version:
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def _lowest_version(self, path: str) -> int:
        status = (await self.send("/v1/status")).json()
        running = {
            vm_id
            for vm_id, process in self._deployment.daemons.items()
            if process.running
        }
        versions = [
            _version_of(daemon, path)
            for daemon in status["daemons"]
            if daemon["vm_id"] in running
        ]
        return min(versions) if len(versions) == len(running) else 0


def _version_of(daemon: dict[str, Any], path: str) -> int:
    if daemon["status"] is None:
        return 0
    for entry in daemon["status"]["settings"]:
        if entry["path"] == path:
            return int(entry["version"])
    return 0
