"""greengagetack.cli.exits: exit codes and error output."""

import enum
import functools
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NoReturn

import click

from greengagetack.documents import InvalidDocument
from greengagetack.errors import CodedError

__all__ = [
    "CommandFailed",
    "ExitCode",
    "Fault",
    "WhereExitCode",
    "fault_from_error",
    "handle_errors",
]


class ExitCode(enum.IntEnum):
    """Exit codes, listed in ``greengagetack --help``."""

    OK = 0
    DIFFERS = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    DENIED = 5
    NOT_FOUND = 6
    UNAVAILABLE = 7
    UNKNOWN = 8
    UNCONFIRMED = 9
    FAILED = 10


class WhereExitCode(enum.IntEnum):
    """Exit codes of ``greengagetack where``, which answers a question of its own."""

    NO_CANDIDATE = 3
    NO_ROUTE = 4
    NO_ANSWER = 5


@dataclass(frozen=True, slots=True)
class Fault:
    """An error as printed by the command line; `lines` holds its details."""

    code: str
    reason: str
    remedy: str
    exit_code: ExitCode | WhereExitCode
    lines: tuple[str, ...] = ()
    request_id: str = ""
    retry_after_s: float | None = None


class CommandFailed(Exception):
    """Raised to end a command with a fault."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.reason)
        self.fault = fault


_EXIT_BY_STATUS = {
    400: ExitCode.INVALID,
    401: ExitCode.DENIED,
    403: ExitCode.DENIED,
    404: ExitCode.NOT_FOUND,
    405: ExitCode.INVALID,
    409: ExitCode.CONFLICT,
    413: ExitCode.INVALID,
    429: ExitCode.UNAVAILABLE,
    502: ExitCode.UNAVAILABLE,
    503: ExitCode.UNAVAILABLE,
    504: ExitCode.UNAVAILABLE,
}


def exit_code_of_status(status: int, outcome: str = "not_run") -> ExitCode:
    """Return the exit code for an HTTP status and outcome."""
    exit_code = _EXIT_BY_STATUS.get(status, ExitCode.FAILED)
    if exit_code is ExitCode.UNAVAILABLE and outcome == "unknown":
        return ExitCode.UNKNOWN
    return exit_code


def fault_from_error(error: CodedError) -> Fault:
    """Return the fault for an error raised by the command line itself."""
    lines: tuple[str, ...] = ()
    reason = error.reason
    if isinstance(error, InvalidDocument) and error.problems:
        lines = tuple(f"{one.path}  {one.reason}" for one in error.problems)
        reason = f"{len(lines)} fault{'s' if len(lines) > 1 else ''}"
    exit_code = exit_code_of_status(error.http_status, error.outcome.value)
    return Fault(error.code, reason, error.remedy, exit_code, lines)


def _print_fault(fault: Fault, as_json: bool) -> None:
    if as_json:
        fields: dict[str, Any] = {
            "code": fault.code,
            "reason": fault.reason,
            "remedy": fault.remedy,
            "details": list(fault.lines),
            "request_id": fault.request_id,
            "retry_after_s": fault.retry_after_s,
        }
        click.echo(json.dumps({"error": fields}), err=True)
        return
    code = click.style(fault.code, fg="red", bold=True)
    click.echo(f"error: {code}: {fault.reason}", err=True)
    for line in fault.lines:
        click.echo(f"  {line}", err=True)
    click.echo(f"what to do: {fault.remedy}", err=True)
    if fault.retry_after_s is not None:
        click.echo(f"retry after: {fault.retry_after_s:g} s", err=True)
    if fault.request_id:
        click.echo(f"request: {fault.request_id}", err=True)


def _exit_with_fault(fault: Fault, as_json: bool) -> NoReturn:
    _print_fault(fault, as_json)
    raise SystemExit(int(fault.exit_code))


def handle_errors(function: Callable[..., Any]) -> Callable[..., Any]:
    """Make a command print coded errors and exit with their exit code."""

    @functools.wraps(function)
    def run(*arguments: Any, **options: Any) -> Any:
        as_json = bool(options.get("as_json", False))
        try:
            return function(*arguments, **options)
        except CommandFailed as failure:
            _exit_with_fault(failure.fault, as_json)
        except CodedError as error:
            _exit_with_fault(fault_from_error(error), as_json)

    return run
