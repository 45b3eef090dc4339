"""bench.callers: callers that send look-ups and completions at a fixed mean rate."""

import asyncio
import itertools
import json
import random
import time
from dataclasses import dataclass, field
from typing import Any

import aiosonic
from aiosonic.exceptions import AiosonicError, BaseTimeout
from aiosonic.timeout import Timeouts

from bench.deployment import MODEL
from standins.tokens import answer_text

__all__ = ["Balancer", "Call", "CallLog", "Callers", "Flood"]

CALL_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 1.0
CHECK_INTERVAL_S = 0.1
MAX_TRIES = 5
CALLER_TOKENS = 16
REFUSALS = (429, 503)
LOST = (OSError, EOFError, TimeoutError, AiosonicError, BaseTimeout)


@dataclass(frozen=True, slots=True)
class Call:
    """One call; `tries` counts requests sent, `tokens` counts tokens received."""

    kind: str
    latency_s: float
    tries: int
    ok: bool
    tokens: int = 0
    reason: str = ""


@dataclass(slots=True)
class CallLog:
    """All calls of a round."""

    calls: list[Call] = field(default_factory=list)

    def latencies_s(self, kind: str) -> list[float]:
        """Return the latencies of the answered calls of a kind."""
        return [call.latency_s for call in self.calls if call.kind == kind and call.ok]


class Balancer:
    """Distributes calls round-robin over the entries that report ready."""

    def __init__(self, urls: tuple[str, ...]) -> None:
        self.urls = urls
        self._ready = set(urls)
        self._turn = itertools.cycle(urls)
        self._http = aiosonic.HTTPClient()
        self._clients = {url: aiosonic.HTTPClient() for url in urls}

    def client_of(self, url: str) -> aiosonic.HTTPClient:
        """Return the HTTP client for an entry.

        A restarted entry gets a new client, because the connection pool does not
        notice that the former process closed its connections.
        """
        return self._clients[url]

    def pick(self) -> str:
        """Return the next ready entry, or any entry if none is ready."""
        for _ in self.urls:
            url = next(self._turn)
            if url in self._ready:
                return url
        return next(self._turn)

    def mark_down(self, url: str) -> None:
        """Skip an entry until it reports ready again."""
        self._ready.discard(url)

    async def run(self) -> None:
        """Check the readiness of all entries periodically."""
        while True:
            await asyncio.gather(*(self._check(url) for url in self.urls))
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check(self, url: str) -> None:
        timeouts = Timeouts(sock_connect=CONNECT_TIMEOUT_S, request_timeout=2.0)
        try:
            answer = await self._http.get(url + "/readyz", timeouts=timeouts)
            await answer.content()
        except LOST:
            self._ready.discard(url)
            return
        if answer.status_code != 200:
            self._ready.discard(url)
            return
        if url not in self._ready:
            self._clients[url] = aiosonic.HTTPClient()
            self._ready.add(url)


class Refused(Exception):
    """The call was refused without running; it may be retried later."""

    def __init__(self, code: str, retry_after_s: float) -> None:
        super().__init__(code)
        self.retry_after_s = retry_after_s


class NotSent(Exception):
    """The entry refused the connection."""


class Callers:
    """Sends look-ups and completions at random times.

    Parameters
    ----------
    balancer : Balancer
        Selects the entry of each call.
    token : str
        Bearer token of the callers' team.
    latency_s : float
        One-way latency between callers and entries.
    """

    def __init__(
        self, balancer: Balancer, token: str, team: str, latency_s: float, seed: int
    ) -> None:
        self.log = CallLog()
        self.team = team
        self._balancer = balancer
        self._latency_s = latency_s
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._headers = {
            "Authorization": f"Bearer {token}",
            "Content-Type": "application/json",
        }
        self._calls: set[asyncio.Task[None]] = set()

    async def run(self, calls_per_s: float, stop: asyncio.Event) -> None:
        """Start both kinds of calls at random times until `stop` is set."""
        while not stop.is_set():
            await asyncio.sleep(self._random.expovariate(2 * calls_per_s))
            number = next(self._numbers)
            work = self.complete(number) if number % 2 else self.look_up(number)
            task = asyncio.create_task(work)
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
        await asyncio.gather(*self._calls)

    async def look_up(self, number: int) -> None:
        """Send one look-up to the plain service."""
        path = f"/services/booking/status/box{number % 50}"
        await self._repeat("look-up", self._look_up_once, path)

    async def complete(self, number: int, tokens: int = CALLER_TOKENS) -> None:
        """Request one streamed completion and check its text."""
        prompt = f"{self.team} call{number} [len={tokens}] where is the fault"
        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": tokens,
            "seed": number,
            "stream": True,
        }
        await self._repeat("completion", self._complete_once, body)

    async def _repeat(self, kind: str, send: Any, argument: Any) -> None:
        started_s = time.monotonic()
        reason = ""
        for tries in range(1, MAX_TRIES + 1):
            await asyncio.sleep(self._latency_s)
            url = self._balancer.pick()
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    tokens = await send(url, argument)
                await asyncio.sleep(self._latency_s)
                latency_s = time.monotonic() - started_s
                self.log.calls.append(Call(kind, latency_s, tries, True, tokens))
                return
            except Refused as refused:
                reason = str(refused)
                await asyncio.sleep(refused.retry_after_s)
            except NotSent as error:
                reason = f"not sent: {error}"
                self._balancer.mark_down(url)
            except (*LOST, ValueError) as error:
                reason = f"{type(error).__name__}: {error}"
                break
        latency_s = time.monotonic() - started_s
        self.log.calls.append(Call(kind, latency_s, tries, False, 0, reason))

    async def _request(self, server: str, method: str, path: str, body: Any) -> Any:
        timeouts = Timeouts(
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=CALL_TIMEOUT_S,
            request_timeout=CALL_TIMEOUT_S,
        )
        data = None if body is None else json.dumps(body).encode()
        try:
            answer = await self._balancer.client_of(server).request(
                server + path, method, self._headers, data=data, timeouts=timeouts
            )
        except ConnectionRefusedError as error:
            raise NotSent(str(error)) from error
        if answer.status_code in REFUSALS:
            raise parse_refusal(await answer.content())
        if answer.status_code != 200:
            text = (await answer.content())[:200]
            raise ValueError(f"status {answer.status_code}: {text!r}")
        return answer

    async def _look_up_once(self, url: str, path: str) -> int:
        answer = await self._request(url, "GET", path, None)
        json.loads(await answer.content())
        return 0

    async def _complete_once(self, url: str, body: dict[str, Any]) -> int:
        answer = await self._request(url, "POST", "/v1/completions", body)
        received = b""
        async for chunk in answer.read_chunks():
            received += chunk
        text, tokens = parse_events(received)
        expected = answer_text(body["prompt"], body["seed"], body["max_tokens"])
        if text != expected:
            raise ValueError(f"wrong text of {tokens} tokens: {received[-200:]!r}")
        return tokens


class Flood:
    """Keeps a constant number of long completions of one team in flight."""

    def __init__(self, callers: Callers, concurrency: int, tokens: int) -> None:
        self._callers = callers
        self._concurrency = concurrency
        self._tokens = tokens

    async def run(self) -> None:
        """Send until cancelled."""
        async with asyncio.TaskGroup() as group:
            for worker in range(self._concurrency):
                group.create_task(self._send(worker))

    async def _send(self, worker: int) -> None:
        for number in itertools.count(worker, self._concurrency):
            await self._callers.complete(number, self._tokens)


def parse_refusal(content: bytes) -> Refused:
    """Return the exception for a refusal's error body."""
    try:
        error = json.loads(content)["error"]
    except (ValueError, KeyError):
        return Refused("no error body", 0.5)
    return Refused(error.get("code", ""), error.get("retry_after_s") or 0.5)


def parse_events(data: bytes) -> tuple[str, int]:
    """Return text and token count of server-sent events.

    Raises
    ------
    ValueError
        If the stream ends with an error or without its end marker.
    """
    text = ""
    tokens = 0
    for line in data.decode().splitlines():
        if line == "data: [DONE]":
            return text, tokens
        if not line.startswith("data: "):
            continue
        event = json.loads(line.removeprefix("data: "))
        if "error" in event:
            raise ValueError(f"stream ended with {event['error']}")
        text += event["choices"][0].get("text", "")
        tokens += event.get("token_count", 0)
    raise ValueError(f"stream without end marker after {tokens} tokens")
