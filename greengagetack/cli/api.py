"""greengagetack.cli.api: HTTP client for calls to a daemon."""

import asyncio
import functools
import json
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiosonic
import click
from aiosonic.exceptions import AiosonicError, BaseTimeout
from aiosonic.timeout import Timeouts

from greengagetack.cli.exits import (
    CommandFailed,
    ExitCode,
    Fault,
    exit_code_of_status,
    handle_errors,
)

__all__ = ["Api", "ApiAnswer", "server_command"]

CONNECT_TIMEOUT_S = 5.0
CALL_TIMEOUT_S = 40.0
# A truncated chunked response raises ValueError.
CONNECTION_ERRORS = (
    OSError,
    EOFError,
    TimeoutError,
    ValueError,
    AiosonicError,
    BaseTimeout,
)
TOKEN_VARIABLE = "GREENGAGETACK_TOKEN"


@dataclass(frozen=True, slots=True)
class ApiAnswer:
    """Status and JSON value of a response."""

    status: int
    value: Any


class Api:
    """Calls one daemon over HTTP.

    Parameters
    ----------
    server : str
        Base URL of any daemon.
    token : str
        Bearer token of an operator or a team, empty for an address that needs none.
    timeout_s : float
        Longest wait for an answer.
    """

    def __init__(
        self, server: str, token: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._server = server.rstrip("/")
        self._token = token
        self._timeout_s = timeout_s

    def call(
        self,
        method: str,
        path: str,
        value: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Send a request and return the JSON value of the response.

        Raises
        ------
        CommandFailed
            If the daemon returns an error or does not answer.
        """
        answer = asyncio.run(self._call(method, path, value, headers or {}))
        if answer.status >= 400:
            raise CommandFailed(_fault_from_answer(answer))
        return answer.value

    async def _call(
        self, method: str, path: str, value: Any, headers: dict[str, str]
    ) -> ApiAnswer:
        fields = dict(headers)
        if self._token:
            fields["Authorization"] = f"Bearer {self._token}"
        data = None
        if value is not None:
            data = json.dumps(value).encode()
            fields["Content-Type"] = "application/json"
        timeouts = Timeouts(
            sock_connect=min(CONNECT_TIMEOUT_S, self._timeout_s),
            sock_read=self._timeout_s,
            request_timeout=self._timeout_s,
        )
        async with aiosonic.HTTPClient() as client:
            try:
                response = await client.request(
                    self._server + path, method, fields, data=data, timeouts=timeouts
                )
                body = await response.content()
            except CONNECTION_ERRORS as error:
                raise CommandFailed(
                    _fault_without_answer(self._server, method, error)
                ) from None
        return ApiAnswer(response.status_code, _parse_body(body))


def _parse_body(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return {"error": {"reason": body[:200].decode(errors="replace")}}


def _fault_without_answer(server: str, method: str, error: Exception) -> Fault:
    was_sent = not isinstance(error, ConnectionRefusedError | aiosonic.ConnectTimeout)
    may_have_run = was_sent and method not in ("GET", "POST")
    if may_have_run:
        return Fault(
            "answer_lost",
            f"no answer from {server}; the change may have been accepted",
            "Read the current version before you retry.",
            ExitCode.UNKNOWN,
        )
    reason = str(error) or type(error).__name__
    return Fault(
        "unreachable",
        f"{server} does not answer: {reason}",
        "Check --server, or use another daemon.",
        ExitCode.UNAVAILABLE,
    )


def _fault_from_answer(answer: ApiAnswer) -> Fault:
    found = answer.value if isinstance(answer.value, dict) else {}
    error = found.get("error")
    fields = error if isinstance(error, dict) else {}
    outcome = str(fields.get("outcome", "not_run"))
    return Fault(
        str(fields.get("code", f"http_{answer.status}")),
        str(fields.get("reason", "the daemon returned no reason")),
        str(fields.get("remedy", "Report this to the operators.")),
        exit_code_of_status(answer.status, outcome),
        _detail_lines(fields.get("details")),
        str(fields.get("request_id", "")),
        fields.get("retry_after_s"),
    )


def _detail_lines(details: Any) -> tuple[str, ...]:
    if not isinstance(details, dict):
        return ()
    lines = []
    for problem in details.get("problems") or []:
        lines.append(f"{problem.get('path')}  {problem.get('reason')}")
    for name in ("current", "yours"):
        shown = details.get(name)
        if isinstance(shown, dict):
            value = json.dumps(shown.get("value"), ensure_ascii=False)
            author = shown.get("author") or "unknown"
            lines.append(f"{name}: version {shown.get('version')} by {author}: {value}")
    return tuple(lines)


def server_command(function: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options for reaching a daemon to a command and pass it an `Api`."""

    @click.option(
        "--server",
        envvar="GREENGAGETACK_SERVER",
        required=True,
        show_envvar=True,
        help="Base URL of any daemon, such as http://10.0.0.1:8080.",
    )
    @click.option(
        "--token-file",
        type=click.Path(exists=True, dir_okay=False),
        help="File that contains the bearer token.  [env var: GREENGAGETACK_TOKEN]",
    )
    @click.option("--json", "as_json", is_flag=True, help="Print JSON.")
    @functools.wraps(function)
    @handle_errors
    def run(*arguments: Any, **options: Any) -> Any:
        server = options.pop("server")
        token = _token(options.pop("token_file"))
        return function(*arguments, api=Api(server, token), **options)

    return run


def _token(token_file: str | None) -> str:
    if token_file:
        return Path(token_file).read_text().strip()
    token = os.environ.get(TOKEN_VARIABLE, "").strip()
    if not token:
        raise click.UsageError(f"pass --token-file or set {TOKEN_VARIABLE}")
    return token
