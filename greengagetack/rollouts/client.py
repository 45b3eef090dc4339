"""greengagetack.rollouts.client: HTTP client for trainers."""

import asyncio
import itertools
import json
import random
from collections.abc import AsyncGenerator
from dataclasses import dataclass
from typing import Any

import msgspec
from aiosonic.exceptions import AiosonicError, BaseTimeout
from aiosonic.timeout import Timeouts

from greengagetack.errors import CodedError, PeerLost, error_from_code
from greengagetack.httpclient import make_http_client
from greengagetack.rollouts.groupset import to_ranges
from greengagetack.rollouts.messages import FetchedGroups, FinishedGroup

__all__ = ["RolloutClient", "StepRequest"]

CONNECT_TIMEOUT_S = 2.0
RESPONSE_MARGIN_S = 5.0
DEFAULT_RETRY_S = 0.5
MAX_RETRY_S = 5.0
RETRY_CODES = frozenset(
    {
        "no_endpoint",
        "not_ready",
        "overloaded",
        "owner_unavailable",
        "peer_lost",
        "peer_unreachable",
        "platform_unavailable",
    }
)
# aiosonic raises ValueError for a truncated chunked response.
NO_RESPONSE_ERRORS = (
    OSError,
    EOFError,
    TimeoutError,
    ValueError,
    AiosonicError,
    BaseTimeout,
)


@dataclass(frozen=True, slots=True)
class StepRequest:
    """Identifies a step; `body` is the JSON of a `StepBody` that creates it."""

    job: str
    step: int
    body: dict[str, Any]


class RolloutClient:
    """Creates steps and fetches each group exactly once.

    Each fetch lists the groups that the client already holds, so that the
    groups of a lost response are sent again and received groups are not. A
    late response to an abandoned fetch is dropped with its connection.

    Parameters
    ----------
    servers : tuple of str
        Base URLs of entries; the client moves to the next one after a failure.
    token : str
        Bearer token of the trainer's team.
    seed : int
        Seed of the retry jitter.
    """

    def __init__(self, servers: tuple[str, ...], token: str, seed: int = 0) -> None:
        self._servers = itertools.cycle(servers)
        self._server = next(self._servers)
        self._headers = {
            "Authorization": f"Bearer {token}",
            "Content-Type": "application/json",
        }
        self._random = random.Random(seed)
        self._http = make_http_client()
        self.retries = 0

    async def close(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    async def create_step(self, step: StepRequest) -> None:
        """Create a step, retrying until it is accepted; the request is idempotent.

        Raises
        ------
        CodedError
            If the step is refused with an error that is not retried.
        """
        await self._send_with_retries(
            "POST", self._path(step), step.body, RESPONSE_MARGIN_S
        )

    async def fetch_step(
        self, step: StepRequest, trainer_version: int, wait_s: float = 10.0
    ) -> AsyncGenerator[FinishedGroup, None]:
        """Yield the groups of a step as they are finished, each exactly once.

        If the service no longer has the step, it is created again.

        Raises
        ------
        CodedError
            If the step is cancelled or its deadline is over.
        """
        held: set[int] = set()
        while True:
            try:
                answer = await self.fetch_once(step, trainer_version, held, wait_s)
            except CodedError as error:
                if error.code != "not_found":
                    raise
                await self.create_step(step)
                continue
            for group in answer.groups:
                if group.group_id in held:
                    continue
                held.add(group.group_id)
                yield group
            if answer.missing_groups == 0:
                return

    async def fetch_once(
        self,
        step: StepRequest,
        trainer_version: int,
        held: set[int],
        wait_s: float = 10.0,
    ) -> FetchedGroups:
        """Return finished groups not in `held`; may be empty after `wait_s`."""
        body = {
            "trainer_version": trainer_version,
            "held": msgspec.to_builtins(to_ranges(held)),
            "wait_s": wait_s,
        }
        path = self._path(step) + "/fetch"
        answer = await self._send_with_retries(
            "POST", path, body, wait_s + RESPONSE_MARGIN_S
        )
        return msgspec.convert(answer, FetchedGroups)

    async def cancel_step(self, step: StepRequest) -> None:
        """Tell the service that the step is not wanted any more."""
        await self._send_with_retries(
            "DELETE", self._path(step), None, RESPONSE_MARGIN_S
        )

    async def announce_version(self, model: str, version: int) -> None:
        """Announce new weights of a model."""
        path = f"/v1/models/{model}/versions"
        await self._send_with_retries(
            "POST", path, {"version": version}, RESPONSE_MARGIN_S
        )

    def _path(self, step: StepRequest) -> str:
        return f"/v1/jobs/{step.job}/steps/{step.step}"

    async def _send_with_retries(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> Any:
        """Retry an idempotent request until it succeeds or fails permanently."""
        while True:
            try:
                return await self._send(method, path, body, timeout_s)
            except CodedError as error:
                if error.code not in RETRY_CODES:
                    raise
                self.retries += 1
                retry_s = min(error.retry_after_s or DEFAULT_RETRY_S, MAX_RETRY_S)
                self._server = next(self._servers)
                await asyncio.sleep(retry_s * self._random.uniform(0.5, 1.0))

    async def _send(self, method: str, path: str, body: Any, timeout_s: float) -> Any:
        timeouts = Timeouts(
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=timeout_s,
            request_timeout=timeout_s,
        )
        try:
            response = await self._http.request(
                self._server + path,
                method,
                self._headers,
                data=json.dumps(body).encode() if body is not None else None,
                timeouts=timeouts,
            )
            content = await response.content()
        except NO_RESPONSE_ERRORS as error:
            raise PeerLost(f"no response from {self._server}: {error}") from error
        return _decode_response(response.status_code, content)


def _decode_response(status: int, content: bytes) -> Any:
    try:
        value = json.loads(content)
    except ValueError as error:
        raise PeerLost(f"status {status} with a truncated body") from error
    if status < 400:
        return value
    details = value.get("error", {})
    raise error_from_code(
        details.get("code", "internal_error"),
        details.get("reason", ""),
        details.get("retry_after_s"),
    )
